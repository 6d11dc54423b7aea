//! Answers whose replica closes within the head, or in the lines around a chunk.

use std::time::Duration;

use bitterncart_testing::cases;

use crate::batch::results;
use crate::ends::Relayed;
use crate::harness::{Gateway, looks_complete, post, request, sized, status, store};
use crate::replica::{Action, OK_RESPONSE, ScriptedReplica};

const COMPLETE: Action = Action::Respond(
    200,
    "signature: s\r\ncontent-length: 15\r\n",
    "id: 1\ndata: a\n\n",
);

/// Answers that end too early, and heads of two answers that run together. `ID` stands for
/// the id of the request.
const CUT: [&str; 13] = [
    "HTTP/1.1 200 X",
    "HTTP/1.1 200 X\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsigna",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ncontent-length: 0\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ncontent-length: 0\r\n\r",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\nf",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignaHTTP/1.1 200 X\r\nattempt: other\r\n\
     signature: s\r\ncontent-length: 15\r\n\r\nid: 1\ndata: b\n\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nx: HTTP/1.1 200 X\r\nattempt: other\r\n\
     signature: s\r\ncontent-length: 15\r\n\r\nid: 1\ndata: b\n\n",
    "HTTP/1.1 200 X\r\nattempt: other\r\nx: HTTP/1.1 200 X\r\nattempt: ID\r\n\
     signature: s\r\ncontent-length: 15\r\n\r\nid: 1\ndata: b\n\n",
];

/// Cut answer to the request with an id.
fn cut(n: usize, id: &str) -> Vec<Action> {
    // The end has to come behind the bytes, not with them.
    let pause = Action::Wait(Duration::from_millis(10));
    vec![Action::Send(CUT[n].replace("ID", id)), pause, Action::Close]
}

/// How the connection leads to the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    New,
    Kept,
    Relayed,
}

/// Replica that cuts its answers to `id`, and serves the other requests.
async fn start(n: usize) -> ScriptedReplica {
    ScriptedReplica::start_with("r", move |head| match head {
        _ if head.contains("attempt: id\r\n") => cut(n, "id"),
        _ => vec![OK_RESPONSE],
    })
    .await
}

async fn fetch(n: usize, way: Way, path: &str) -> String {
    let replicas = [start(n).await];
    if way == Way::Relayed {
        let relayed = Relayed::start(&replicas).await;
        return relayed.gateway.fetch(&post(path, "id")).await;
    }
    let gateway = Gateway::start(&store(&[&replicas[0]])).await;
    if way == Way::Kept {
        let before = gateway.fetch(&post("/once/a", "before")).await;
        assert_eq!(status(&before), 200, "{before}");
    }
    gateway.fetch(&post(path, "id")).await
}

cases! {
    /// Guards against a success with an empty or a foreign body, as the replica stopped
    /// within the head of its answer.
    fn cut_answer_is_no_success(way: Way, path: &str) {
        smol::block_on(async {
            for (n, cut) in CUT.iter().enumerate() {
                let response = fetch(n, way, path).await;
                assert!(!looks_complete(&response), "{cut:?}: {response}");
                assert!(!response.contains("data: b"), "{cut:?}: {response}");
                assert!(!matches!(status(&response), 429 | 503), "{cut:?}: {response}");
            }
        });
    }
    cut_call(Way::New, "/once/a");
    cut_call_on_a_kept_connection(Way::Kept, "/once/a");
    cut_call_behind_a_relay(Way::Relayed, "/once/a");
    cut_repeatable_call(Way::New, "/idempotent/a");
    cut_stream(Way::New, "/stream/a");
    cut_stream_on_a_kept_connection(Way::Kept, "/stream/a");
    cut_stream_behind_a_relay(Way::Relayed, "/stream/a");
    cut_resumable_stream(Way::New, "/resumable/a");
    cut_resumable_stream_behind_a_relay(Way::Relayed, "/resumable/a");
}

/// Guards against an item that is completed without its output.
#[test]
fn cut_answer_completes_no_item() {
    smol::block_on(async {
        for (n, cut_answer) in CUT.iter().enumerate() {
            let whole = vec![COMPLETE];
            let replica = ScriptedReplica::start("r", vec![cut(n, "one"), whole]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            let is_resumed = cut_answer.contains("data: a");
            if is_resumed {
                continue;
            }
            assert_eq!(
                results(&gateway, "job", 1).await,
                ["0 one a"],
                "{cut_answer:?}"
            );
        }
    });
}

/// Guards against a reservation of an empty name, or a request that counts as refused, as
/// the answer to the call was cut.
#[test]
fn cut_answer_reserves_nothing() {
    smol::block_on(async {
        for (n, cut_answer) in CUT.iter().enumerate() {
            let replica = ScriptedReplica::start_with("r", move |head| match head {
                _ if head.starts_with("POST /reserve ") => cut(n, ""),
                _ => vec![OK_RESPONSE],
            });
            let replica = replica.await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&sized("/once/a", "id")).await;
            assert_eq!(status(&response), 200, "{cut_answer:?}: {response}");
            let heads = replica.requests();
            let runs = heads.iter().filter(|head| head.starts_with("POST /once/"));
            assert_eq!(runs.count(), 1, "{cut_answer:?}");
        }
    });
}
