//! Streams that are slow but sound go on, and stalled ones end, even if a byte
//! comes now and then.

use std::time::{Duration, Instant};

use bitterncart_testing::cases;

use crate::harness::{Gateway, post, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";

/// Time in which a stalled stream has to end: its idle limit and some more.
const STALL_BOUND: Duration = Duration::from_millis(2500);

fn event(id: u64) -> Action {
    Action::Send(format!("id: {id}\ndata: e{id}\n\n"))
}

/// Three events with a pause before each.
fn slow(_: &str) -> Vec<Action> {
    let pause = Action::Wait(Duration::from_millis(800));
    let mut script = vec![Action::Respond(200, EVENTS, "")];
    for id in 1..=3 {
        script.extend([pause.clone(), event(id)]);
    }
    script.push(Action::Finish);
    script
}

/// One event, and then a byte of a comment every 100 ms; a resumed stream is
/// completed.
fn drips(head: &str) -> Vec<Action> {
    let start = Action::Respond(200, EVENTS, "");
    if header(head, "last-event").is_some() {
        return vec![start, event(2), event(3), Action::Finish];
    }
    let mut script = vec![start, event(1)];
    for _ in 0..60 {
        script.extend([
            Action::Wait(Duration::from_millis(100)),
            Action::Send(":".into()),
        ]);
    }
    script
}

cases! {
    fn slow_stream_is_complete(path: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", slow).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&post(path, "id")).await;
            assert!(response.contains("data: e3"), "{response}");
            assert!(response.ends_with("0\r\n\r\n"), "{response}");
            assert_eq!(replica.requests().len(), 1);
        });
    }
    slow_resumable_stream_is_complete("/resumable/a");
    slow_non_resumable_stream_is_complete("/stream/a");
}

#[test]
fn stalled_resumable_stream_goes_on_elsewhere() {
    smol::block_on(async {
        let (one, two) = (
            ScriptedReplica::start_with("one", drips).await,
            ScriptedReplica::start_with("two", drips).await,
        );
        let gateway = Gateway::start(&store(&[&one, &two])).await;
        let started = Instant::now();
        let response = gateway.fetch(&post("/resumable/a", "id")).await;
        assert!(response.contains("data: e3"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
        assert!(started.elapsed() < STALL_BOUND, "{:?}", started.elapsed());
    });
}

/// Its deadline is 3 s; it must look broken.
#[test]
fn stalled_non_resumable_stream_ends_at_its_deadline() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", drips).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let started = Instant::now();
        let response = gateway.fetch(&post("/stream/a", "id")).await;
        assert!(response.contains("data: e1"), "{response}");
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        assert!(started.elapsed() < Duration::from_millis(3500));
    });
}

cases! {
    fn item_ends(script: fn(&str) -> Vec<Action>, runs: usize) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", script).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            wait_until("the result", || {
                let read = request("GET", "/jobs/job", "r", "");
                smol::block_on(gateway.fetch(&read)).contains("0 one e1,e2,e3")
            })
            .await;
            assert_eq!(replica.requests().len(), runs);
        });
    }
    slow_item_runs_once(slow, 1);
    stalled_item_is_resumed(drips, 2);
}
