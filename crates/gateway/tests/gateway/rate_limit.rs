//! Replicas that name in their answers how many requests a second they take from
//! all daemons together.

use std::time::{Duration, Instant};

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};

/// Limit that the limited replica names, in requests a second.
const LIMIT_PER_S: usize = 2;

/// Time for which clients send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Time between two requests of one client.
const REQUEST_GAP: Duration = Duration::from_millis(60);

const LIMITED: Action = Action::Respond(
    200,
    "signature: s\r\nlimit: 2.0\r\ncontent-length: 2\r\n",
    "ok",
);
const UNLIMITED: Action = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");

/// Most requests that a replica may get in `LOAD_TIME`.
fn allowed() -> usize {
    LIMIT_PER_S * LOAD_TIME.as_secs() as usize * 3 / 2 + 5
}

/// Sends requests to a daemon for [`LOAD_TIME`]; returns how many were answered.
async fn send_load(gateway: &Gateway, name: &str) -> usize {
    let started = Instant::now();
    let mut answered = 0;
    for n in 0.. {
        if started.elapsed() >= LOAD_TIME {
            break;
        }
        let response = gateway.fetch(&post("/once/a", &format!("{name}{n}"))).await;
        assert_eq!(status(&response), 200, "{response}");
        answered += 1;
        smol::Timer::after(REQUEST_GAP).await;
    }
    answered
}

/// Two daemons; the second replica takes what the first one does not.
#[test]
fn limited_replica_gets_no_more_than_it_takes_from_all_daemons() {
    smol::block_on(async {
        let limited = ScriptedReplica::start_with("limited", |_| vec![LIMITED]).await;
        let other = ScriptedReplica::start_with("other", |_| vec![UNLIMITED]).await;
        let store = store(&[&limited, &other]);
        let (a, b) = (Gateway::start(&store).await, Gateway::start(&store).await);
        wait_until("both daemons", || store.registered_daemons().len() == 2).await;
        futures_lite::future::zip(send_load(&a, "a"), send_load(&b, "b")).await;
        let got = limited.requests().len();
        assert!(got <= allowed(), "{got} of {} allowed", allowed());
        assert!(got >= LIMIT_PER_S * 2, "{got}: the limit is not used");
    });
}
