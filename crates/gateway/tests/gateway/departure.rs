//! A replica that says in any of its answers that it is leaving gets nothing
//! that arrives later, although it stays listed as ready.

use std::time::Duration;

use bitterncart_coordination::fleet::Replica;
use bitterncart_testing::cases;

use crate::harness::{Gateway, post, request, sized, status, store, wait_until};
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const LEAVING_EVENTS: &str =
    "signature: s\r\nleaving: 1\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const LEAVING_OK: Action = Action::Respond(
    200,
    "signature: s\r\nleaving: 1\r\ncontent-length: 2\r\n",
    "ok",
);
const LEAVING_REFUSAL: Action =
    Action::Respond(503, "not-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n", "");
const LEAVING_RESERVED: Action = Action::Respond(200, "leaving: 1\r\ncontent-length: 2\r\n", "p7");
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n");
const LEAVING_COMPLETE: Action = Action::Respond(200, LEAVING_EVENTS, "id: 1\ndata: a\n\n");

/// Script of the replica that stays.
fn stays(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /reserve ") => vec![RESERVED],
        _ if head.starts_with("POST /once/") => vec![OK_RESPONSE],
        _ => vec![COMPLETE, Action::Finish],
    }
}

/// Starts a replica near the daemon, which it prefers, and one far from it.
async fn start_replicas(near: fn(&str) -> Vec<Action>) -> (ScriptedReplica, ScriptedReplica) {
    let near = ScriptedReplica::start_with("near", near).await;
    let far = ScriptedReplica::start_with("far", stays).await;
    (near, far)
}

fn far_record(far: &ScriptedReplica) -> Replica {
    Replica {
        data_centre: "there".into(),
        ..far.record()
    }
}

/// Waits until the daemon has read the listing of a replica that stays.
async fn wait_until_served(gateway: &Gateway) {
    let is_served = || smol::block_on(gateway.fetch(&post("/once/a", "probe"))).contains(" 200 ");
    wait_until("a replica that stays", is_served).await;
}

cases! {
    /// The first request gets the answer that announces the departure.
    fn gets_no_later_requests(near: fn(&str) -> Vec<Action>, first: String) {
        smol::block_on(async {
            let (near, far) = start_replicas(near).await;
            let store = store(&[&near]);
            let gateway = Gateway::start(&store).await;
            gateway.fetch(&first).await;
            wait_until("the announcement", || near.requests().len() == 1).await;
            store.publish_replica(&near.record());
            store.publish_replica(&far_record(&far));
            wait_until_served(&gateway).await;
            for n in 0..6 {
                for request in [
                    post("/once/a", &format!("plain{n}")),
                    sized("/once/a", &format!("sized{n}")),
                    post("/resumable/a", &format!("stream{n}")),
                ] {
                    let response = gateway.fetch(&request).await;
                    assert_eq!(status(&response), 200, "{response}");
                }
            }
            let job = request("POST", "/items/", "later", "one\nsized-two\nthree\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            wait_until("the items", || {
                far.requests().iter().filter(|h| h.starts_with("POST /items/run")).count() >= 3
            })
            .await;
            assert_eq!(near.requests().len(), 1, "{:?}", near.requests());
        });
    }
    announced_in_an_answer(|_| vec![LEAVING_OK], post("/once/a", "id"));
    announced_in_a_refusal(|_| vec![LEAVING_REFUSAL], post("/once/a", "id"));
    announced_in_a_stream(
        |_| vec![LEAVING_COMPLETE, Action::Finish],
        post("/resumable/a", "id")
    );
    announced_in_a_refused_reservation(|_| vec![LEAVING_REFUSAL], sized("/once/a", "id"));
    announced_to_an_item(
        |_| vec![LEAVING_COMPLETE, Action::Finish],
        request("POST", "/items/", "job", "one\n")
    );
}

/// The slot was reserved before the departure was known, so the request may use
/// it; the next request may not.
#[test]
fn granted_reservation_of_a_leaving_replica_is_the_last() {
    smol::block_on(async {
        let script = |head: &str| {
            let is_reservation = head.starts_with("POST /reserve ");
            vec![if is_reservation {
                LEAVING_RESERVED
            } else {
                OK_RESPONSE
            }]
        };
        let (near, far) = start_replicas(script).await;
        let store = store(&[&near]);
        store.publish_replica(&far_record(&far));
        let gateway = Gateway::start(&store).await;
        for n in 0..4 {
            let response = gateway.fetch(&sized("/once/a", &format!("id{n}"))).await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(near.requests().len(), 2, "{:?}", near.requests());
    });
}

/// A broken stream is not resumed at the replica that announced its departure.
#[test]
fn stream_is_resumed_elsewhere() {
    smol::block_on(async {
        let breaks = |_: &str| {
            vec![
                Action::Respond(200, LEAVING_EVENTS, "id: 1\ndata: a\n\n"),
                Action::Wait(Duration::from_millis(50)),
                Action::Reset,
            ]
        };
        let (near, far) = start_replicas(breaks).await;
        let store = store(&[&near]);
        let gateway = Gateway::start(&store).await;
        let response = gateway.fetch(&post("/resumable/a", "id")).await;
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        store.publish_replica(&far_record(&far));
        wait_until_served(&gateway).await;
        assert_eq!(near.requests().len(), 1, "{:?}", near.requests());
    });
}

/// The only replica is full and leaving, so no wait in the queue could help.
#[test]
fn request_is_refused_at_once_when_no_replica_is_left() {
    smol::block_on(async {
        let near = ScriptedReplica::start_with("near", |_| vec![LEAVING_REFUSAL]).await;
        let gateway = Gateway::start(&store(&[&near])).await;
        let started = std::time::Instant::now();
        let response = gateway.fetch(&sized("/once/a", "id")).await;
        assert_eq!(status(&response), 503, "{response}");
        // The queue would hold it for half of its 3 s.
        assert!(started.elapsed() < Duration::from_millis(1000));
    });
}
