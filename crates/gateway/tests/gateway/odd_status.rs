//! Replicas and peers whose answers have a status that ends no request.

use std::time::{Duration, Instant};

use bitterncart_testing::cases;

use crate::batch::results;
use crate::harness::{Gateway, post, request, sized, status, store, wait_until};
use crate::owner::send_heartbeats_as_owner;
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica};

const EVENTS: &str = "signature: s\r\ntransfer-encoding: chunked\r\n";
const STREAM: &str = "10\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n";
const LENGTH: &str = "signature: s\r\ncontent-length: 3\r\n";
const CHUNKS: &str = "signature: s\r\ntransfer-encoding: chunked\r\n";
const UNFRAMED: &str = "signature: s\r\n";

fn sound(head: &str) -> Vec<Action> {
    match head {
        _ if head.starts_with("POST /reserve ") => vec![RESERVED],
        _ if head.starts_with("POST /items/run ")
            || head.contains(" /resumable/")
            || head.contains(" /stream/") =>
        {
            vec![Action::Respond(200, EVENTS, STREAM)]
        }
        _ => vec![OK_RESPONSE],
    }
}

fn odd(status: u16, headers: &'static str) -> Vec<Action> {
    let body = match headers {
        CHUNKS => "3\r\nodd\r\n0\r\n\r\n",
        _ => "odd",
    };
    vec![Action::Respond(status, headers, body), Action::Close]
}

cases! {
    /// Guards against a status that is none in the protocol, which a client got as the answer
    /// to its request. The replica may have run it, so no refusal may promise otherwise.
    fn odd_status_is_no_answer(code: u16, headers: &'static str, path: &str) {
        smol::block_on(async {
            let replica = ScriptedReplica::start_with("r", move |_| odd(code, headers)).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let response = gateway.fetch(&post(path, "id")).await;
            assert!([502, 504].contains(&status(&response)), "{response}");
            assert!(!response.contains("\r\n\r\nodd"), "{response}");
        });
    }
    status_000_of_a_call(0, LENGTH, "/once/a");
    status_099_of_a_call(99, LENGTH, "/once/a");
    status_101_of_a_call(101, LENGTH, "/once/a");
    status_600_of_a_call(600, LENGTH, "/once/a");
    status_999_of_a_call(999, LENGTH, "/once/a");
    status_600_of_a_call_in_chunks(600, CHUNKS, "/once/a");
    status_600_of_a_call_without_a_length(600, UNFRAMED, "/once/a");
    status_600_of_a_stream(600, LENGTH, "/stream/a");
    status_999_of_a_stream(999, UNFRAMED, "/stream/a");
}

cases! {
    /// Guards against a replica with an odd status that keeps a request which another one can
    /// serve.
    fn request_goes_on_at_a_sound_replica(code: u16, request: &str, expected: &str) {
        smol::block_on(async {
            let faulty = ScriptedReplica::start_with("faulty", move |_| odd(code, LENGTH)).await;
            let replica = ScriptedReplica::start_with("r", sound).await;
            let gateway = Gateway::start(&store(&[&faulty, &replica])).await;
            for n in 0..10 {
                let request = request.replace("ID", &format!("id{n}"));
                let response = gateway.fetch(&request).await;
                assert_eq!(status(&response), 200, "{response}");
                assert!(response.contains(expected), "{response}");
            }
        });
    }
    idempotent_call(600, &post("/idempotent/a", "ID"), "ok");
    resumable_stream(999, &post("/resumable/a", "ID"), "data: a");
    call_with_a_reservation(600, &sized("/idempotent/a", "ID"), "ok");
}

/// Guards against an item whose answer has an odd status and that is not run elsewhere.
#[test]
fn item_goes_on_at_a_sound_replica() {
    smol::block_on(async {
        let faulty = ScriptedReplica::start_with("faulty", |_| odd(600, LENGTH)).await;
        let replica = ScriptedReplica::start_with("r", sound).await;
        let gateway = Gateway::start(&store(&[&faulty, &replica])).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        assert_eq!(results(&gateway, "job", 1).await, ["0 one a"]);
    });
}

/// Guards against an odd status of the owner of a job, which a client got as the answer.
#[test]
fn odd_status_of_an_owner_is_no_answer() {
    smol::block_on(async {
        let owner = ScriptedReplica::start_with("owner", |_| odd(600, LENGTH)).await;
        let store = store(&[]);
        let gateway = Gateway::start(&store).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        let _heartbeats = send_heartbeats_as_owner(&store, owner.address).await;
        wait_until("the other owner", || !gateway.daemon.is_serving(0)).await;
        let response = gateway.fetch(&request("GET", "/jobs/job", "r", "")).await;
        assert!([200, 503].contains(&status(&response)), "{response}");
        assert!(!response.contains("\r\n\r\nodd"), "{response}");
    });
}

/// Guards against a replica that answers wrongly at once, looks fastest, and draws most of the
/// requests: one of three got three quarters of them.
#[test]
fn replica_with_odd_answers_draws_no_load() {
    smol::block_on(async {
        let faulty = ScriptedReplica::start_with("faulty", |_| odd(600, LENGTH)).await;
        let mut replicas = vec![faulty.clone()];
        for id in ["r1", "r2"] {
            let slow = Action::Wait(Duration::from_millis(5));
            let script = move |_: &str| vec![slow.clone(), OK_RESPONSE];
            replicas.push(ScriptedReplica::start_with(id, script).await);
        }
        let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
        let started = Instant::now();
        let mut served = 0;
        while started.elapsed() < Duration::from_secs(3) {
            let response = gateway
                .fetch(&post("/idempotent/a", &format!("id{served}")))
                .await;
            assert_eq!(status(&response), 200, "{response}");
            served += 1;
        }
        let drawn = faulty.requests().len();
        assert!(drawn * 3 < served, "{drawn} of {served} requests");
    });
}
