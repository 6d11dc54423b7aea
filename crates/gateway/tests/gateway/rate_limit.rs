//! Replicas that name in their answers how many requests a second they take from
//! all daemons together.

use std::time::{Duration, Instant};

use bitterncart_coordination::fleet::rate_limit::Message;
use bitterncart_testing::cases;
use futures_lite::future;
use smol::net::UdpSocket;

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};
use crate::store::MemoryStore;

/// Limit that the limited replica names, in requests a second.
const LIMIT_PER_S: usize = 2;

/// Time for which clients send requests.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Clients of one daemon, each with one request at a time. All of them together have
/// more requests than the other replica has slots.
const CLIENTS: usize = 6;

/// Time that the other replica takes for a request.
const RUN_TIME: Duration = Duration::from_millis(300);

const LIMITED: Action = Action::Respond(
    200,
    "signature: s\r\nlimit: 2.0\r\ncontent-length: 2\r\n",
    "ok",
);
const UNLIMITED: Action = Action::Respond(200, "signature: s\r\ncontent-length: 2\r\n", "ok");

/// Waits for all futures.
async fn join_all(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = futures.map(|future| executor.spawn(future)).collect();
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    executor.run(all).await;
}

/// Most requests that a replica may get in `LOAD_TIME`.
fn allowed() -> usize {
    LIMIT_PER_S * LOAD_TIME.as_secs() as usize * 3 / 2 + 5
}

/// Sends requests to a daemon for [`LOAD_TIME`].
async fn send_load(gateway: &Gateway, client: usize) {
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < LOAD_TIME {
        let id = format!("{client}-{sent}");
        let response = gateway.fetch(&post("/once/a", &id)).await;
        assert_eq!(status(&response), 200, "{response}");
        sent += 1;
    }
}

/// Two daemons; the second replica takes what the first one does not.
#[test]
fn limited_replica_gets_no_more_than_it_takes_from_all_daemons() {
    smol::block_on(async {
        let limited = ScriptedReplica::start_with("limited", |_| vec![LIMITED]).await;
        let other =
            ScriptedReplica::start_with("other", |_| vec![Action::Wait(RUN_TIME), UNLIMITED]).await;
        let store = store(&[&limited, &other]);
        let (a, b) = (Gateway::start(&store).await, Gateway::start(&store).await);
        wait_until("both daemons", || store.registered_daemons().len() == 2).await;
        smol::Timer::after(Duration::from_millis(500)).await;
        let clients = (0..2 * CLIENTS).map(|n| send_load(if n % 2 == 0 { &a } else { &b }, n));
        join_all(clients).await;
        let got = limited.requests().len();
        assert!(got <= allowed(), "{got} of {} allowed", allowed());
        assert!(got >= LIMIT_PER_S * 2, "{got}: the limit is not used");
    });
}

/// The only replica takes a request each two seconds. Requests that cannot start within
/// the time that they would be queued are refused when they are late, not at its end.
#[test]
fn requests_of_a_deep_shortage_are_refused_early() {
    smol::block_on(async {
        let limited = ScriptedReplica::start_with("limited", |_| {
            vec![Action::Respond(
                200,
                "signature: s\r\nlimit: 0.5\r\ncontent-length: 2\r\n",
                "ok",
            )]
        })
        .await;
        let gateway = Gateway::start(&store(&[&limited])).await;
        let first = gateway.fetch(&post("/once/a", "first")).await;
        assert_eq!(status(&first), 200, "{first}");
        let refused_early = std::cell::Cell::new(0);
        let client = async |n: usize| {
            let started = Instant::now();
            let response = gateway.fetch(&post("/once/a", &format!("{n}"))).await;
            let is_early = started.elapsed() < Duration::from_millis(1000);
            if status(&response) == 503 && response.contains("queue_expired") && is_early {
                assert!(response.contains("retry-after: "), "{response}");
                refused_early.set(refused_early.get() + 1);
            }
        };
        join_all((0..24).map(client)).await;
        assert!(refused_early.get() >= 16, "{}", refused_early.get());
    });
}

/// Limit in the asks of another daemon, in requests a second.
const ASKED_PER_S: u32 = 50;

/// Asks for a token, 20 ms apart; returns how many were granted.
async fn ask(gateway: &Gateway, store: &MemoryStore, process: u32, age: Option<Duration>) -> u32 {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let holder = store.registered_daemons()[0];
    assert!(gateway.daemon.is_ready());
    let mut granted = 0;
    for id in 0..100 {
        let ask = Message::Ask {
            id,
            process,
            per_1000_s: ASKED_PER_S * 1000,
            is_batch: false,
        };
        let datagram = match age {
            Some(age) => ask.encode_ask(age),
            None => ask.encode(),
        };
        let sent = socket.send_to(&datagram.expect("a message"), holder).await;
        sent.expect("sent");
        let mut buffer = [0; 64];
        let reply = async { socket.recv(&mut buffer).await.ok() };
        let timer = async {
            smol::Timer::after(Duration::from_millis(200)).await;
            None
        };
        let size = future::or(reply, timer).await.expect("a reply");
        match Message::decode(&buffer[..size]) {
            Some(Message::Reply { retry_ms, .. }) => granted += u32::from(retry_ms.is_none()),
            other => panic!("{other:?}"),
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    granted
}

cases! {
    /// Guards against a daemon with an older limit of a replica that gets tokens by it from
    /// a holder that knows a later one.
    fn latest_limit_decides_about_tokens(age: Option<Duration>, granted: std::ops::Range<u32>) {
        smol::block_on(async {
            let limited = ScriptedReplica::start_with("limited", |_| vec![LIMITED]).await;
            let store = store(&[&limited]);
            let gateway = Gateway::start(&store).await;
            wait_until("the daemon to be registered", || !store.registered_daemons().is_empty()).await;
            let response = gateway.fetch(&post("/once/a", "first")).await;
            assert_eq!(status(&response), 200, "{response}");
            smol::Timer::after(Duration::from_millis(50)).await;
            let process = limited.record().process().short_hash();
            let count = ask(&gateway, &store, process, age).await;
            assert!(granted.contains(&count), "{count} of {granted:?}");
        });
    }
    asker_has_an_older_limit(Some(Duration::from_secs(10)), 2..13);
    asker_has_a_later_limit(Some(Duration::ZERO), 50..101);
    asker_is_of_an_earlier_build(None, 2..13);
}
