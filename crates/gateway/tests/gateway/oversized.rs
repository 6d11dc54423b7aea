//! Answers to items that are larger than what may be kept and stored of them.

use std::time::Duration;

use bitterncart_coordination::fleet::{Batch, Kind};
use futures_lite::future;

use crate::batch::results;
use crate::harness::{Gateway, WAIT_TIMEOUT, manifest, post, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::{CALL_BYTES, Fault};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

/// Bytes of an answer that no record of the store holds.
const OVERSIZED_BYTES: usize = 1 << 20;

/// Events of an item, and further ones behind the last one.
fn oversized() -> Vec<Action> {
    let data = "x".repeat(OVERSIZED_BYTES / 100);
    let further = (3..103).map(|id| format!("id: {id}\ndata: {data}\n\n"));
    let further = Action::Send(further.collect());
    vec![COMPLETE, further, Action::AwaitDisconnect]
}

fn job() -> String {
    request("POST", "/items/", "job", "one\n")
}

/// Guards against an item that keeps what follows its last event: the run that goes on
/// behind it would end as complete, with the text of both.
#[test]
fn item_whose_output_is_too_large_begins_anew() {
    smol::block_on(async {
        let scripts = vec![oversized(), vec![COMPLETE, Action::Finish]];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        assert_eq!(status(&gateway.fetch(&job()).await), 202);
        wait_until("the end of the answer", || replica.disconnects() == 1).await;
        assert_eq!(results(&gateway, "job", 1).await, ["0 one a,b"]);
        for head in replica.requests() {
            assert_eq!(header(&head, "last-event"), None, "{head}");
        }
    });
}

/// An item whose output is too large in each run is given up in the end, and runs less
/// and less often until then. Other requests are served meanwhile.
#[test]
fn item_whose_output_is_always_too_large_is_given_up() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |head| match head {
            _ if head.starts_with("POST /items/") => oversized(),
            _ => vec![Action::Respond(
                200,
                "signature: s\r\ncontent-length: 2\r\n",
                "ok",
            )],
        });
        let replica = replica.await;
        let store = store(&[&replica]);
        let mut manifest = manifest(2);
        for route in manifest.routes.iter_mut().filter(|r| r.kind == Kind::Batch) {
            route.batch = Batch {
                give_up: Duration::from_millis(1500),
                ..route.batch
            };
        }
        store.publish_manifest(&manifest);
        let gateway = Gateway::start(&store).await;
        assert_eq!(status(&gateway.fetch(&job()).await), 202);
        wait_until("a run that ends", || replica.disconnects() > 0).await;
        let response = gateway.fetch(&post("/once/a", "id")).await;
        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(results(&gateway, "job", 1).await, ["0 one given up"]);
        let items = replica.requests();
        let runs = items
            .iter()
            .filter(|head| head.starts_with("POST /items/"))
            .count();
        assert!((2..=6).contains(&runs), "{runs} runs");
    });
}

/// Guards against results that are never recorded, as the store refuses the call that
/// holds all of them.
#[test]
fn results_too_large_for_one_call_are_all_recorded() {
    smol::block_on(async {
        let data = "x".repeat(CALL_BYTES / 2);
        let answer = Action::Send(format!("id: 1\ndata: {data}\n\n"));
        let script = vec![Action::Respond(200, EVENTS, ""), answer, Action::Finish];
        let replica = ScriptedReplica::start("r", vec![script]).await;
        let store = store(&[&replica]);
        let gateway = Gateway::start(&store).await;
        // The results wait for the append before them, and come in one group.
        store.set_fault(Fault::Slow(Duration::from_millis(300)));
        let job = request("POST", "/items/", "job", "one\ntwo\nthree\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        let recorded = results(&gateway, "job", 3);
        let timer = async {
            smol::Timer::after(WAIT_TIMEOUT).await;
            Vec::new()
        };
        assert_eq!(future::or(recorded, timer).await.len(), 3);
        assert_eq!(replica.requests().len(), 3);
    });
}

/// Guards against a job that is answered with 503 each time it comes, and makes the jobs
/// beside it wait.
#[test]
fn job_too_large_for_one_call_is_refused() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        let items = |count: usize| {
            let id = |n: usize| format!("{n:04}{}\n", "x".repeat(1000));
            (0..count).map(id).collect::<String>()
        };
        let large = request("POST", "/items/", "large", &items(200));
        let small = request("POST", "/items/", "small", &items(100));
        let (large, small) = future::zip(gateway.fetch(&large), gateway.fetch(&small)).await;
        assert_eq!(status(&large), 413, "{large}");
        assert!(large.contains("body_too_large"), "{large}");
        assert_eq!(status(&small), 202, "{small}");
        let unknown = gateway.fetch(&request("GET", "/jobs/large", "r", "")).await;
        assert_eq!(status(&unknown), 404, "{unknown}");
    });
}
