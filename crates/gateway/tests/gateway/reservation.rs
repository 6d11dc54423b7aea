//! Slots that are reserved at replicas before a request is sent.

use std::time::Duration;

use crate::harness::{Gateway, request, sized, status, store, wait_until};
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica, header};

const FULL: Action = Action::Respond(503, "not-run: 1\r\ncontent-length: 0\r\n", "");
const COMPLETE: Action = Action::Respond(
    200,
    "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n",
    "id: 1\ndata: a\n\n",
);

/// Script that answers reservation calls with `reply` and requests with status
/// 200.
fn reserves(head: &str, reply: Action) -> Vec<Action> {
    if head.starts_with("POST /reserve ") {
        vec![reply]
    } else {
        vec![OK_RESPONSE]
    }
}

/// Requests received by a replica other than reservation calls.
fn work_requests(replica: &ScriptedReplica) -> Vec<String> {
    let mut heads = replica.requests();
    heads.retain(|head| !head.starts_with("POST /reserve "));
    heads
}

#[test]
fn request_uses_reserved_slot() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![RESERVED], vec![OK_RESPONSE]]).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let response = gateway.fetch(&sized("/once/a", "id")).await;
        assert_eq!(status(&response), 200, "{response}");
        let work_requests = work_requests(&replica);
        assert_eq!(
            header(&work_requests[0], "reservation").as_deref(),
            Some("p7")
        );
        assert_eq!(replica.requests().len(), 2);
    });
}

/// The route allows two attempts, and a refused reservation does not count as
/// one.
#[test]
fn full_replica_gets_no_requests() {
    smol::block_on(async {
        let full = ScriptedReplica::start("full", vec![vec![FULL]]).await;
        let free = ScriptedReplica::start_with("free", |head| reserves(head, RESERVED)).await;
        let gateway = Gateway::start(&store(&[&full, &free])).await;
        for n in 0..4 {
            let response = gateway.fetch(&sized("/once/a", &format!("id{n}"))).await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert!(
            work_requests(&full).is_empty(),
            "{:?}",
            work_requests(&full)
        );
    });
}

#[test]
fn request_is_sent_without_reservation_when_all_are_full() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |head| reserves(head, FULL)).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let started = std::time::Instant::now();
        let response = gateway.fetch(&sized("/once/a", "id")).await;
        assert_eq!(status(&response), 200, "{response}");
        // Half of the deadline of 3 s is kept for the queue of the replica.
        assert!(started.elapsed() < Duration::from_secs(2));
        assert_eq!(header(&work_requests(&replica)[0], "reservation"), None);
    });
}

/// A replica closes an idle connection without notice, so the next call on it is
/// reset. Only the reservation call may be affected, not the request.
#[test]
fn reset_of_idle_connection_affects_only_the_reservation() {
    smol::block_on(async {
        let scripts = vec![
            vec![RESERVED],
            vec![OK_RESPONSE],
            vec![Action::Reset],
            vec![RESERVED],
            vec![OK_RESPONSE],
        ];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        for id in ["id0", "id1"] {
            let response = gateway.fetch(&sized("/once/a", id)).await;
            assert_eq!(status(&response), 200, "{response}");
        }
        assert_eq!(work_requests(&replica).len(), 2);
    });
}

#[test]
fn replica_without_reservations_gets_requests() {
    smol::block_on(async {
        let unknown =
            |head: &str| reserves(head, Action::Respond(404, "content-length: 0\r\n", ""));
        let replica = ScriptedReplica::start_with("r", unknown).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let response = gateway.fetch(&sized("/once/a", "id")).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(replica.requests().len(), 2);
    });
}

/// While the replica is full, an item is not sent, so that it does not wait in the
/// queue of the replica ahead of online requests.
#[test]
fn item_is_sent_only_with_a_reservation() {
    smol::block_on(async {
        let refusals = vec![
            vec![FULL],
            vec![FULL],
            vec![RESERVED],
            vec![COMPLETE, Action::Finish],
        ];
        let replica = ScriptedReplica::start("r", refusals).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let job = request("POST", "/items/", "job", "sized-one\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        wait_until("the item to run", || work_requests(&replica).len() == 1).await;
        assert_eq!(replica.requests().len(), 4);
        assert_eq!(
            header(&work_requests(&replica)[0], "reservation").as_deref(),
            Some("p7")
        );
    });
}

/// The replica answers an earlier request a second time, when the next caller has
/// the connection. Its reservation must not be taken from that answer.
#[test]
fn stale_response_is_not_taken_as_a_reservation() {
    smol::block_on(async {
        let stale = Action::Send(
            "HTTP/1.1 200 OK\r\nattempt: id0\r\nsignature: s\r\ncontent-length: 2\r\n\r\np0".into(),
        );
        let scripts = vec![
            vec![OK_RESPONSE],
            vec![stale],
            vec![RESERVED],
            vec![OK_RESPONSE],
        ];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let first = request("POST", "/once/a", "id0", "body");
        assert_eq!(status(&gateway.fetch(&first).await), 200);
        let response = gateway.fetch(&sized("/once/a", "id1")).await;
        assert_eq!(status(&response), 200, "{response}");
        let work = work_requests(&replica);
        assert_eq!(header(&work[1], "reservation").as_deref(), Some("p7"));
    });
}
