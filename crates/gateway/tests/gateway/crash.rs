//! Requests that end each replica that begins to answer them: repetitions of one, or
//! different ones that share a part of their prompts.

use std::time::Duration;

use bitterncart_coordination::fleet::quarantine::FIRST_TRIAL;
use bitterncart_testing::cases;
use futures_lite::future;

use crate::harness::{Gateway, WAIT_TIMEOUT, post, request, sized, status, store, wait_until};
use crate::replica::{Action, OK_RESPONSE, RESERVED, ScriptedReplica, header};

/// Part of the prompt that ends a replica.
const BAD: &str = "7";

/// Part that all requests share.
const SHARED: &str = "1";

/// Path of requests that end a replica.
const CRASHING_PATH: &str = "/idempotent/crash";

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

/// Time between two crashes, longer than between those of one incident.
const CRASH_GAP: Duration = Duration::from_millis(350);

fn script(head: &str) -> Vec<Action> {
    let parts = header(head, "prompt").unwrap_or_default();
    match head {
        _ if head.starts_with("POST /reserve ") => vec![RESERVED],
        _ if parts.split(',').any(|part| part == BAD) => vec![Action::End],
        _ if head.starts_with(&format!("POST {CRASHING_PATH}")) => vec![Action::End],
        _ if head.starts_with("POST /once/") => vec![OK_RESPONSE],
        _ => vec![COMPLETE, Action::Finish],
    }
}

async fn start_replicas(count: usize) -> Vec<ScriptedReplica> {
    let mut replicas = Vec::new();
    for n in 0..count {
        replicas.push(ScriptedReplica::start_with(&format!("r{n}"), script).await);
    }
    replicas
}

fn ended(replicas: &[ScriptedReplica]) -> usize {
    replicas.iter().filter(|r| !r.is_running()).count()
}

fn with_prompt(request: &str, prompt: &str) -> String {
    request.replacen("\r\n", &format!("\r\nprompt: {prompt}\r\n"), 1)
}

/// No two requests are alike, and they come at different daemons.
#[test]
fn requests_with_one_part_do_not_end_replica_after_replica() {
    smol::block_on(async {
        let replicas = start_replicas(10).await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateways = [Gateway::start(&store).await, Gateway::start(&store).await];
        wait_until("both daemons", || store.registered_daemons().len() == 2).await;
        for n in 0..10 {
            let sound = with_prompt(&post("/once/a", &format!("sound{n}")), SHARED);
            for gateway in &gateways {
                let response = gateway.fetch(&sound).await;
                assert_eq!(status(&response), 200, "{response}");
            }
            gateways[n % 2].fetch(&bad_request(n)).await;
            smol::Timer::after(CRASH_GAP).await;
        }
        let ended = ended(&replicas);
        assert!(ended <= 5, "{ended} replicas ended");
    });
}

/// Guards against a request that its caller repeats at any daemon and that ends each
/// replica that begins to run it, as it meets each daemon as a new one.
#[test]
fn repeated_request_does_not_end_replica_after_replica() {
    smol::block_on(async {
        let replicas = start_replicas(20).await;
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateways = [Gateway::start(&store).await, Gateway::start(&store).await];
        wait_until("both daemons", || store.registered_daemons().len() == 2).await;
        for n in 0..8 {
            let sound = request("POST", "/once/a", &format!("sound{n}"), "sound");
            for gateway in &gateways {
                let response = gateway.fetch(&sound).await;
                assert_eq!(status(&response), 200, "{response}");
            }
            let bad = post(CRASHING_PATH, &format!("bad{n}"));
            gateways[n % 2].fetch(&bad).await;
            smol::Timer::after(CRASH_GAP).await;
            let ended = ended(&replicas);
            assert!(ended <= 6, "{ended} replicas ended");
        }
    });
}

/// Daemon that has quarantined a request, with the replicas that still run.
async fn after_conviction_of_request() -> (Gateway, Vec<ScriptedReplica>) {
    let replicas = start_replicas(9).await;
    let gateway = Gateway::start(&store(&replicas.iter().collect::<Vec<_>>())).await;
    for n in 0..3 {
        let crashing = post(CRASHING_PATH, &format!("bad{n}"));
        gateway.fetch(&crashing).await;
        smol::Timer::after(CRASH_GAP).await;
    }
    (gateway, replicas)
}

/// The answer says that it has not run and when to come back.
#[test]
fn quarantined_request_is_refused_with_its_own_code() {
    smol::block_on(async {
        let (gateway, replicas) = after_conviction_of_request().await;
        let before = ended(&replicas);
        let response = gateway.fetch(&post(CRASHING_PATH, "again")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(response.contains("request_quarantined"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
        assert_eq!(ended(&replicas), before);
    });
}

cases! {
    /// A request that differs from a quarantined one reaches a replica.
    fn other_request_is_sent(request: String) {
        smol::block_on(async {
            let (gateway, replicas) = after_conviction_of_request().await;
            let before = ended(&replicas);
            gateway.fetch(&request).await;
            assert!(ended(&replicas) > before);
        });
    }
    other_body_is_sent(request("POST", CRASHING_PATH, "id", "other body"));
    other_caller_is_sent(post(CRASHING_PATH, "id").replacen("\r\n", "\r\ncaller: other\r\n", 1));
    other_query_is_sent(post(&format!("{CRASHING_PATH}?n=2"), "id"));
}

/// Items under which replicas ended are still owed; neither they nor their parts are
/// suspected.
#[test]
fn item_under_which_replicas_ended_is_completed() {
    smol::block_on(async {
        let mut replicas = Vec::new();
        for n in 0..6 {
            let ends = |_: &str| vec![Action::End];
            replicas.push(ScriptedReplica::start_with(&format!("r{n}"), ends).await);
        }
        let store = store(&replicas.iter().collect::<Vec<_>>());
        let gateway = Gateway::start(&store).await;
        let job = request("POST", "/items/", "job", "bad-item\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        wait_until("all replicas to end", || ended(&replicas) == 6).await;
        let sound = ScriptedReplica::start_with("sound", |_| vec![COMPLETE, Action::Finish]).await;
        store.publish_replica(&sound.record());
        let results = request("GET", "/jobs/job", "read", "");
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        while !gateway.fetch(&results).await.contains("bad-item a,b") {
            assert!(
                std::time::Instant::now() < deadline,
                "the item is not completed"
            );
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    });
}

/// Daemon that has quarantined the bad part, with the replicas that still run.
async fn after_conviction() -> (Gateway, Vec<ScriptedReplica>, crate::store::MemoryStore) {
    let replicas = start_replicas(7).await;
    let store = store(&replicas.iter().collect::<Vec<_>>());
    let gateway = Gateway::start(&store).await;
    for n in 0..4 {
        gateway.fetch(&bad_request(n)).await;
        smol::Timer::after(CRASH_GAP).await;
    }
    assert_eq!(ended(&replicas), 4);
    (gateway, replicas, store)
}

/// One of several requests with the bad part, which differ in their bodies.
fn bad_request(number: usize) -> String {
    let id = format!("bad{number}");
    bad(&request("POST", "/stream/a", &id, &id))
}

fn bad(request: &str) -> String {
    with_prompt(request, &format!("{SHARED},{BAD}"))
}

cases! {
    /// No replica ends, nothing is reserved, and the answer says so.
    fn is_refused_with_its_own_code(request: String) {
        smol::block_on(async {
            let (gateway, replicas, _) = after_conviction().await;
            let requests = |replicas: &[ScriptedReplica]| -> usize {
                replicas.iter().map(|r| r.requests().len()).sum()
            };
            let before = requests(&replicas);
            let response = gateway.fetch(&bad(&request)).await;
            assert_eq!(status(&response), 503, "{response}");
            assert!(response.contains("prompt_quarantined"), "{response}");
            assert!(response.contains("retry-after: "), "{response}");
            assert_eq!(requests(&replicas), before);
        });
    }
    call_is_refused(post("/once/a", "id"));
    repeatable_call_is_refused(post("/idempotent/a", "id"));
    stream_is_refused(post("/stream/a", "id"));
    resumable_stream_is_refused(post("/resumable/a", "id"));
    continued_stream_is_refused(post("/resumable/a", "id").replacen("\r\n", "\r\nlast-event: 3\r\n", 1));
    call_with_reservation_is_refused(sized("/once/a", "id"));
    stream_with_reservation_is_refused(sized("/resumable/a", "id"));
}

/// Requests with the other parts of the bad ones are not affected.
#[test]
fn sound_requests_with_the_same_first_part_are_served() {
    smol::block_on(async {
        let (gateway, _replicas, _) = after_conviction().await;
        for n in 0..6 {
            let sound = with_prompt(&post("/stream/a", &format!("sound{n}")), SHARED);
            let response = gateway.fetch(&sound).await;
            assert_eq!(status(&response), 200, "{response}");
        }
    });
}

/// A daemon that restarts learns of the quarantine before it can end a replica.
#[test]
fn restarted_daemon_learns_of_the_quarantine() {
    smol::block_on(async {
        let (_gateway, replicas, store) = after_conviction().await;
        let restarted = Gateway::start(&store).await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        let response = restarted.fetch(&bad(&post("/once/a", "id"))).await;
        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(ended(&replicas), 4);
    });
}

/// A broken answer of a replica that still accepts connections is no crash.
#[test]
fn broken_answers_quarantine_nothing() {
    smol::block_on(async {
        let breaks = |_: &str| vec![Action::Reset];
        let replica = ScriptedReplica::start_with("r0", breaks).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        for n in 0..5 {
            let id = format!("id{n}");
            let response = gateway.fetch(&bad(&post("/once/a", &id))).await;
            assert_eq!(status(&response), 502, "{response}");
            smol::Timer::after(CRASH_GAP).await;
        }
    });
}

/// Items wait, and the other items of the job are not held up.
#[test]
fn item_with_a_quarantined_part_is_not_started() {
    smol::block_on(async {
        let (gateway, replicas, _) = after_conviction().await;
        let job = request("POST", "/items/", "job", "bad-item\nsound\n");
        assert_eq!(status(&gateway.fetch(&job).await), 202);
        wait_until("the other item", || {
            let is_item = |head: &String| head.starts_with("POST /items/run");
            replicas.iter().any(|r| r.requests().iter().any(is_item))
        })
        .await;
        smol::Timer::after(Duration::from_millis(1500)).await;
        assert_eq!(ended(&replicas), 4);
    });
}

/// The requests come together when a trial is due; only one of them is the trial.
#[test]
fn trial_of_a_quarantined_part_is_one_request() {
    smol::block_on(async {
        let (gateway, replicas, _) = after_conviction().await;
        smol::Timer::after(FIRST_TRIAL).await;
        let requests: Vec<String> = (0..3)
            .map(|n| bad(&post("/once/a", &format!("trial{n}"))))
            .collect();
        let [first, second, third] = [0, 1, 2].map(|n| gateway.fetch(&requests[n]));
        future::zip(first, future::zip(second, third)).await;
        assert_eq!(ended(&replicas), 5);
    });
}
