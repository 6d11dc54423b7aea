//! Requests that come, or are still at work, late in the shutdown of a daemon.
//!
//! With a stop timeout of 4 s a daemon accepts connections for 1.3 s, and answers what is left
//! at 3.3 s.

use std::time::{Duration, Instant};

use bitterncart_testing::cases;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use crate::harness::{Gateway, request, status, store, wait_until};
use crate::link::{Link, State};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica, header};
use crate::store::{Fault, MemoryStore};

/// Time at which the process would be killed.
const KILLED_AFTER: Duration = Duration::from_secs(4);

const SETTINGS: &str = r#""stop_s": 4,"#;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Request with a deadline, in milliseconds.
fn with_deadline(method: &str, path: &str, id: &str, deadline: u64) -> String {
    let deadline = format!("deadline: {deadline}");
    request(method, path, id, "one\n").replace("deadline: 3000", &deadline)
}

/// Sends a request in two parts at some times of the shutdown, `split` bytes first, and stops
/// the daemon. Returns the response; it is empty if the connection closes without one.
async fn fetch_while_stopping(
    gateway: &Gateway,
    request: &str,
    split: usize,
    (first_at, rest_at): (Duration, Duration),
) -> String {
    let started = Instant::now();
    let fetch = async {
        smol::Timer::at(started + first_at).await;
        let mut stream = gateway.send(&request[..split]).await;
        smol::Timer::at(started + rest_at).await;
        // The daemon may have closed the connection.
        let _sent = stream.write_all(&request.as_bytes()[split..]).await;
        let mut response = Vec::new();
        let _end = stream.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    };
    let stop = async {
        gateway.daemon.stop().await;
        assert!(started.elapsed() < KILLED_AFTER, "killed");
        // The process ends.
        smol::Timer::after(ms(20)).await;
    };
    let answered = future::zip(fetch, stop);
    let ended = async {
        smol::Timer::after(KILLED_AFTER).await;
        (String::new(), ())
    };
    future::or(answered, ended).await.0
}

/// Bytes of a request before the end of its head, or of its body.
fn split_of(request: &str, is_head: bool) -> usize {
    if is_head {
        request.find("\r\n\r\n").expect("a head") + 2
    } else {
        request.len() - 1
    }
}

async fn start(replica: &ScriptedReplica) -> (MemoryStore, Gateway) {
    let store = store(&[replica]);
    let gateway = Gateway::start_with(&store, SETTINGS).await;
    wait_until("the shard", || gateway.daemon.is_serving(0)).await;
    (store, gateway)
}

cases! {
    /// Guards against a request that comes late in the shutdown, is passed on, and is cut
    /// with no answer at its end. It is refused, and has not run.
    fn late_request_is_refused(path: &str, is_head: bool) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", |_| vec![Action::AwaitDisconnect]).await;
            let (_, gateway) = start(&replica).await;
            let request = with_deadline("POST", path, "late", 4000);
            let split = split_of(&request, is_head);
            let response =
                fetch_while_stopping(&gateway, &request, split, (ms(500), ms(1800))).await;
            assert_eq!(status(&response), 503, "{response:?}");
            assert!(response.contains("\"draining\""), "{response}");
            assert!(header(&response, "retry-after").is_some(), "{response}");
            assert_eq!(replica.requests(), Vec::<String>::new());
        });
    }
    late_head_of_a_call_that_may_not_be_repeated("/once/a", true);
    late_body_of_a_call_that_may_not_be_repeated("/once/a", false);
    late_body_of_a_stream("/stream/a", false);
    late_body_of_a_resumable_stream("/resumable/a", false);
    late_body_of_a_call_of_unknown_length("/idempotent/a", false);
}

cases! {
    /// Guards against a late request that is refused although it is answered in time.
    fn late_request_is_served(path: &str, deadline: u64) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", |_| vec![OK_RESPONSE]).await;
            let (_, gateway) = start(&replica).await;
            let before = with_deadline("POST", "/idempotent/a", "before", 4000);
            assert_eq!(status(&gateway.fetch(&before).await), 200);
            let request = with_deadline("POST", path, "late", deadline);
            let split = split_of(&request, true);
            let response =
                fetch_while_stopping(&gateway, &request, split, (ms(500), ms(1800))).await;
            assert_eq!(status(&response), 200, "{response:?}");
        });
    }
    late_call_with_a_near_deadline("/once/a", 1000);
    late_call_that_may_be_repeated_and_is_short("/idempotent/a", 4000);
}

cases! {
    /// Guards against a connection that closes with no answer to a request that a replica is
    /// still at work on at the end of the shutdown.
    fn request_at_work_is_answered(path: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", |_| vec![Action::AwaitDisconnect]).await;
            let (_, gateway) = start(&replica).await;
            let request = with_deadline("POST", path, "work", 4000);
            let split = split_of(&request, false);
            let response =
                fetch_while_stopping(&gateway, &request, split, (ms(900), ms(1000))).await;
            assert!([502, 504].contains(&status(&response)), "{response:?}");
            assert!(!replica.requests().is_empty());
        });
    }
    call_that_may_not_be_repeated("/once/a");
    stream_before_its_first_event("/stream/a");
}

/// Guards against an upload that is not whole at the end of the shutdown and is closed with no
/// answer.
#[test]
fn upload_that_is_not_whole_is_refused() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |_| vec![OK_RESPONSE]).await;
        let (_, gateway) = start(&replica).await;
        let request = with_deadline("POST", "/once/a", "slow", 4000);
        let split = split_of(&request, false);
        let response = fetch_while_stopping(&gateway, &request, split, (ms(900), ms(3600))).await;
        assert_eq!(status(&response), 503, "{response:?}");
        assert_eq!(replica.requests(), Vec::<String>::new());
    });
}

cases! {
    /// Guards against a call about a job that is taken late in the shutdown, beside a store
    /// that does not answer, and closed with no answer. One that is refused has no effect.
    fn late_call_about_a_job(method: &str, path: &str, at: u64, expected: u16) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", |_| vec![Action::AwaitDisconnect]).await;
            let (store, gateway) = start(&replica).await;
            let first = with_deadline("POST", "/items/", "first", 4000);
            assert_eq!(status(&gateway.fetch(&first).await), 202);
            store.set_fault(Fault::Slow(Duration::from_secs(3)));
            let request = with_deadline(method, path, "late", 4000);
            let split = split_of(&request, true);
            let response =
                fetch_while_stopping(&gateway, &request, split, (ms(500), ms(at))).await;
            assert_eq!(status(&response), expected, "{response:?}");
            if expected == 503 {
                smol::Timer::after(Duration::from_secs(3)).await;
                assert_eq!(store.count_records("j/late"), 0);
                assert_eq!(store.count_records("c/first"), 0);
            }
        });
    }
    submission_that_the_store_does_not_confirm("POST", "/items/", 2000, 504);
    submission_at_the_end("POST", "/items/", 2900, 503);
    cancellation_that_the_store_does_not_confirm("DELETE", "/jobs/first", 2000, 504);
    cancellation_at_the_end("DELETE", "/jobs/first", 2900, 503);
    read_at_the_end("GET", "/jobs/first", 2900, 503);
}

/// Guards against requests that a daemon without links sends through a relay that shuts down,
/// and that are cut at its end, while another relay is there.
#[test]
fn requests_take_no_relay_that_shuts_down() {
    smol::block_on(async {
        let slow = Action::Wait(ms(150));
        let script = move |_: &str| vec![slow.clone(), OK_RESPONSE];
        let replica = ScriptedReplica::start_with("r", script).await;
        let store = store(&[&replica]);
        let link = Link::start(&replica);
        let stopping = Gateway::start_with(&store, SETTINGS).await;
        let staying = Gateway::start_with(&store, SETTINGS).await;
        let cut_off = Gateway::start(&store.seen_over(std::slice::from_ref(&link))).await;
        wait_until("heartbeats", || cut_off.daemon.live_peers() == 2).await;
        link.set(State::Silent);
        wait_until("a request to be served over a relay", || {
            let before = with_deadline("POST", "/idempotent/a", "before", 1000);
            status(&smol::block_on(cut_off.fetch(&before))) == 200
        })
        .await;
        let requests = async {
            let started = Instant::now();
            let mut statuses = Vec::new();
            while started.elapsed() < KILLED_AFTER {
                let id = format!("id{}", statuses.len());
                let request = with_deadline("POST", "/once/a", &id, 3000);
                statuses.push(status(&cut_off.fetch(&request).await));
            }
            statuses
        };
        let stop = async {
            stopping.daemon.stop().await;
            drop(stopping);
        };
        let (statuses, ()) = future::zip(requests, stop).await;
        assert!(statuses.len() > 10, "{statuses:?}");
        assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
        drop(staying);
    });
}
