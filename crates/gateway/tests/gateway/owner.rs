//! Calls that are forwarded to an owner which refuses, times out or resets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitterncart_coordination::fleet::Heartbeat;
use bitterncart_coordination::fleet::peers::Ownership;
use bitterncart_gateway::store::Topic;
use bitterncart_state::ledger::{Ledger, Op, Outcome};
use bitterncart_testing::cases;
use smol::Task;
use smol::net::UdpSocket;

use crate::harness::{Gateway, WAIT_TIMEOUT, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};
use crate::store::{Fault, MemoryStore};

const REFUSED: Action = Action::Respond(503, "content-length: 0\r\n", "");
const FULL: Action = Action::Respond(429, "content-length: 0\r\n", "");
const SILENT: Action = Action::Wait(Duration::from_millis(1500));

/// Sends gossip to a daemon that names `owner` as the owner of its only shard.
/// The owner is lost when the task is dropped.
pub(crate) async fn send_heartbeats_as_owner(store: &MemoryStore, owner: SocketAddr) -> Task<()> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let daemon = store.registered_daemons()[0];
    let heartbeats = async move {
        for seq in 1.. {
            let heartbeat = Heartbeat {
                from: owner,
                born_us: 1,
                seq,
                data_centre: "here".into(),
                period_ms: 100,
                leaving: false,
                writes: true,
                capacity: 1_000_000,
                shards: vec![Ownership {
                    shard: 0,
                    tokens: Vec::new(),
                }],
                waiting: 0,
                load: Vec::new(),
                running: Vec::new(),
                queued: Vec::new(),
                quarantine: Default::default(),
                limits: Vec::new(),
                links: None,
                speeds: Vec::new(),
                recent_jobs: None,
            };
            let bytes = postcard::to_stdvec(&heartbeat).expect("a heartbeat");
            // A lost heartbeat is followed by others.
            let _sent = socket.send_to(&bytes, daemon).await;
            smol::Timer::after(Duration::from_millis(100)).await;
        }
    };
    smol::spawn(heartbeats)
}

cases! {
    /// The daemon cannot reach the store, so the responses of the owner decide
    /// whether the job may still be accepted. A refusal that follows an attempt
    /// without a response must be reported as an unknown outcome.
    fn submission_forwarded_to_owner(scripts: Vec<Vec<Action>>, expected: u16) {
        smol::block_on(async {
            let owner = ScriptedReplica::start("owner", scripts).await;
            let store = store(&[]);
            store.set_fault(Fault::Unavailable);
            let gateway = Gateway::start_without_waiting(&store).await;
            wait_until("the daemon to be registered", || !store.registered_daemons().is_empty()).await;
            wait_until("the manifest", || gateway.daemon.manifest_version().is_some()).await;
            let _heartbeats = send_heartbeats_as_owner(&store, owner.address).await;
            smol::Timer::after(Duration::from_millis(200)).await;
            let response = gateway.fetch(&request("POST", "/items/", "job", "one\n")).await;
            assert_eq!(status(&response), expected, "{response}");
        });
    }
    refused_submission_is_reported_as_refused(vec![vec![REFUSED]], 503);
    full_owner_is_reported_as_rate_limit(vec![vec![FULL]], 429);
    timeout_then_refusal_is_reported_as_unknown(
        vec![vec![SILENT, Action::Close], vec![REFUSED]], 504
    );
    timeout_then_full_is_reported_as_unknown(vec![vec![SILENT, Action::Close], vec![FULL]], 504);
    reset_then_refusal_is_reported_as_unknown(vec![vec![Action::Reset], vec![REFUSED]], 504);
}

/// Waits until a daemon forwards calls about jobs to their owner.
async fn wait_until_forwarded(gateway: &Gateway, owner: &ScriptedReplica) {
    let started = Instant::now();
    while owner.requests().is_empty() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "no call is forwarded");
        gateway.fetch(&request("GET", "/jobs/job", "r", "")).await;
    }
}

/// Refusal of an owner that has no memory for the job.
const DECIDED: Action = Action::Respond(503, "content-length: 0\r\ndecided: 1\r\n", "");

cases! {
    /// Guards against a job that an owner refuses for its memory and another daemon records for
    /// it. After any other refusal this daemon records the job itself.
    fn refusal_of_an_owner(refusal: Action, expected: u16, heads: usize) {
        smol::block_on(async {
            let owner = ScriptedReplica::start_with("owner", move |_| vec![refusal.clone()]).await;
            let store = store(&[]);
            let gateway = Gateway::start(&store).await;
            let _heartbeats = send_heartbeats_as_owner(&store, owner.address).await;
            wait_until_forwarded(&gateway, &owner).await;
            let response = gateway.fetch(&request("POST", "/items/", "job", "one\n")).await;
            assert_eq!(status(&response), expected, "{response}");
            assert!(!response.contains("decided"), "{response}");
            assert_eq!(store.count_records("j/job"), heads);
            assert!(owner.requests().iter().any(|head| head.starts_with("POST")));
        });
    }
    job_that_an_owner_has_no_memory_for_is_not_recorded(DECIDED, 503, 0);
    job_of_an_owner_without_the_store_is_recorded(REFUSED, 202, 1);
}

/// Appends the result of the first item of a job, as another daemon does.
pub(crate) fn record_result(store: &MemoryStore, job: &str) {
    let mut ledger = Ledger::default();
    for (offset, record) in (0..).zip(&store.records(Topic::Ledger(0))) {
        ledger.apply(offset, record);
    }
    let op = Op::RecordResult(job.into(), 0, Outcome::Completed("a".into()));
    let plan = ledger.plan([&op]);
    assert!(!plan.records.is_empty(), "nothing to append");
    for record in plan.records {
        let value = String::from_utf8(record.value.expect("a value")).expect("text");
        store.put(Topic::Ledger(0), &record.key, &value);
    }
}

/// The daemon kept the shard loaded while another one owned it, but could not read
/// what that one recorded. It owns the shard again before it has read on.
#[test]
fn owner_that_returns_answers_from_no_outdated_state() {
    smol::block_on(async {
        let store = store(&[]);
        let gateway = Gateway::start(&store).await;
        wait_until("the shard", || gateway.daemon.is_serving(0)).await;
        let submit = request("POST", "/items/", "job", "one\ntwo\n");
        assert_eq!(status(&gateway.fetch(&submit).await), 202);
        let absent = ScriptedReplica::start("absent", vec![vec![Action::Close]]).await;
        let heartbeats = send_heartbeats_as_owner(&store, absent.address).await;
        wait_until("the other owner", || !gateway.daemon.is_serving(0)).await;
        let read = request("GET", "/jobs/job", "r", "");
        gateway.fetch(&read).await;
        store.set_fault(Fault::SlowReads(Duration::from_secs(20)));
        // A read that has begun is not slowed.
        smol::Timer::after(Duration::from_millis(900)).await;
        record_result(&store, "job");
        gateway.fetch(&read).await;
        heartbeats.cancel().await;
        let started = std::time::Instant::now();
        while started.elapsed() < Duration::from_secs(3) {
            let response = gateway.fetch(&read).await;
            let is_outdated = status(&response) == 200 && !response.contains("0 one a");
            assert!(!is_outdated, "{response}");
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    });
}
