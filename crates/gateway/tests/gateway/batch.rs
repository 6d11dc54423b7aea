//! Batch jobs with several daemons and an unreliable store.

use std::time::Duration;

use bitterncart_coordination::fleet::{Replica, Stage};
use bitterncart_testing::cases;
use futures_lite::future;
use smol::net::TcpStream;

use crate::harness::{Gateway, request, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica, header};
use crate::store::{Fault, MemoryStore};

const EVENTS: &str = "signature: s\r\ncontent-type: text/event-stream\r\nconnection: close\r\n";
const COMPLETE: Action = Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");

pub(crate) fn submit(id: &str) -> String {
    request("POST", "/items/", id, "one\ntwo\n")
}

fn read(id: &str) -> String {
    request("GET", &format!("/jobs/{id}"), "r", "")
}

/// Polls a daemon until a job has at least `count` results.
pub(crate) async fn results(gateway: &Gateway, id: &str, count: usize) -> Vec<String> {
    loop {
        let response = gateway.fetch(&read(id)).await;
        assert_eq!(status(&response), 200, "{response}");
        let body = response.split("\r\n\r\n").nth(1).unwrap_or_default();
        let lines: Vec<String> = body.lines().map(str::to_owned).collect();
        if lines.len() >= count {
            return lines;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
}

#[test]
fn submitted_job_runs_once_and_has_same_results_at_all_daemons() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let store = store(&[&replica]);
        let (one, two) = (Gateway::start(&store).await, Gateway::start(&store).await);
        assert_eq!(status(&one.fetch(&submit("job")).await), 202);
        let first = results(&one, "job", 2).await;
        assert_eq!(first, results(&two, "job", 2).await);
        assert!(first.iter().all(|line| line.ends_with("a,b")), "{first:?}");
        assert_eq!(status(&two.fetch(&submit("job")).await), 202);
        assert_eq!(status(&two.fetch(&read("other")).await), 404);
        assert_eq!(replica.requests().len(), 2);
    });
}

cases! {
    /// A client submits a job at two daemons at once while appends are slow or get
    /// no response. The job must be stored once and can be submitted again.
    fn concurrent_submissions_store_job_once(fault: Fault) {
        smol::block_on(async {
            let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
            let store = store(&[&replica]);
            let (one, two) = (Gateway::start(&store).await, Gateway::start(&store).await);
            wait_until("both daemons to be registered", || store.count_records("127.") == 2).await;
            store.set_fault(fault);
            let (first, second) = (submit("job"), submit("job"));
            let back = async {
                smol::Timer::after(Duration::from_millis(1500)).await;
                store.set_fault(Fault::None);
            };
            let responses = future::zip(one.fetch(&first), two.fetch(&second));
            let ((a, b), ()) = future::zip(responses, back).await;
            for response in [&a, &b] {
                assert!([202, 504].contains(&status(response)), "{response}");
            }
            assert_eq!(status(&two.fetch(&submit("job")).await), 202);
            assert_eq!(store.count_records("j/job"), 1);
            let mut items = results(&two, "job", 2).await;
            items.retain(|line| line.contains(" a,b") || line.ends_with("a,b"));
            assert_eq!(items.len(), 2);
        });
    }
    concurrent_submissions_with_slow_appends_store_job_once(
        Fault::Slow(Duration::from_millis(200))
    );
    concurrent_submissions_without_append_responses_store_job_once(
        Fault::NoResponse(Duration::from_millis(50))
    );
    concurrent_submissions_with_late_appends_store_job_once(
        Fault::NoResponse(Duration::from_millis(1200))
    );
}

#[test]
fn submission_is_refused_and_not_run_while_store_is_unavailable() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let store = store(&[&replica]);
        let gateway = Gateway::start(&store).await;
        wait_until("the daemon to be registered", || {
            store.count_records("127.") == 1
        })
        .await;
        store.set_fault(Fault::Unavailable);
        let response = gateway.fetch(&submit("job")).await;
        assert_eq!(status(&response), 503, "{response}");
        assert!(header(&response, "retry-after").is_some(), "{response}");
        store.set_fault(Fault::None);
        // Another job is accepted when it is submitted again, and the refused one
        // still does not exist.
        while status(&gateway.fetch(&submit("next")).await) != 202 {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        results(&gateway, "next", 2).await;
        assert_eq!(status(&gateway.fetch(&read("job")).await), 404);
        assert_eq!(replica.requests().len(), 2);
    });
}

/// Two daemons that agree on the owner of the only shard, the owner first.
async fn owner_and_other(store: &MemoryStore) -> (Gateway, Gateway) {
    let (one, two) = (Gateway::start(store).await, Gateway::start(store).await);
    wait_until("an owner", || {
        one.daemon.is_serving(0) != two.daemon.is_serving(0)
    })
    .await;
    if one.daemon.is_serving(0) {
        (one, two)
    } else {
        (two, one)
    }
}

/// An append without a response turns out to have taken effect at the deadline of
/// the submission. The client must not be told that the job was refused.
#[test]
fn stored_job_is_not_reported_as_refused() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let store = store(&[&replica]);
        let gateway = Gateway::start(&store).await;
        wait_until("the daemon to own the shard", || {
            gateway.daemon.is_serving(0)
        })
        .await;
        store.set_fault(Fault::NoResponse(Duration::from_millis(50)));
        let back = async {
            // Two appends time out after 0.6 s each; the third one conflicts with
            // the first, which took effect.
            smol::Timer::after(Duration::from_millis(1350)).await;
            store.set_fault(Fault::SlowReads(Duration::from_millis(300)));
        };
        let job = submit("job");
        let (response, ()) = future::zip(gateway.fetch(&job), back).await;
        assert!([202, 504].contains(&status(&response)), "{response}");
        assert_eq!(store.count_records("j/job"), 1);
    });
}

/// The owner of a shard is killed while items run; another daemon takes the shard
/// over and runs them again.
#[test]
fn items_of_failed_owner_run_at_another_daemon() {
    smol::block_on(async {
        let hangs = vec![
            Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n"),
            Action::AwaitDisconnect,
        ];
        let scripts = vec![hangs.clone(), hangs, vec![COMPLETE, Action::Finish]];
        let replica = ScriptedReplica::start("r", scripts).await;
        let store = store(&[&replica]);
        let (one, two) = owner_and_other(&store).await;
        assert_eq!(status(&two.fetch(&submit("job")).await), 202);
        wait_until("both items to run", || replica.requests().len() == 2).await;
        drop(one);
        let lines = results(&two, "job", 2).await;
        assert!(lines.iter().all(|line| line.ends_with("a,b")), "{lines:?}");
    });
}

#[test]
fn broken_run_resumes_after_last_event() {
    smol::block_on(async {
        let breaks = vec![
            Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\nda"),
            Action::Reset,
        ];
        let resumes = vec![
            Action::Respond(200, EVENTS, "id: 2\ndata: b\n\n"),
            Action::Finish,
        ];
        let scripts = vec![breaks.clone(), breaks, resumes];
        let replica = ScriptedReplica::start("r", scripts).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
        let lines = results(&gateway, "job", 2).await;
        assert!(lines.iter().all(|line| line.ends_with("a,b")), "{lines:?}");
        let heads = replica.requests();
        assert_eq!(header(&heads[2], "last-event").as_deref(), Some("1"));
    });
}

cases! {
    fn failing_item_is_given_up(response: Action, runs: usize) {
        smol::block_on(async {
            let replica = ScriptedReplica::start("r", vec![vec![response]]).await;
            let gateway = Gateway::start(&store(&[&replica])).await;
            let job = request("POST", "/items/", "job", "one\n");
            assert_eq!(status(&gateway.fetch(&job).await), 202);
            assert_eq!(results(&gateway, "job", 1).await, ["0 one given up"]);
            assert_eq!(replica.requests().len(), runs);
        });
    }
    unprocessable_item_is_given_up_at_once(
        Action::Respond(422, "signature: s\r\ncontent-length: 0\r\n", ""), 1
    );
    item_with_server_errors_is_given_up_after_attempt_limit(
        Action::Respond(500, "signature: s\r\ncontent-length: 0\r\n", ""), 3
    );
}

#[test]
fn cancelled_job_stops_its_runs() {
    smol::block_on(async {
        let hangs = vec![
            Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n"),
            Action::AwaitDisconnect,
        ];
        let replica = ScriptedReplica::start("r", vec![hangs]).await;
        let store = store(&[&replica]);
        let (one, two) = (Gateway::start(&store).await, Gateway::start(&store).await);
        assert_eq!(status(&one.fetch(&submit("job")).await), 202);
        wait_until("both items to run", || replica.requests().len() == 2).await;
        let end = request("DELETE", "/jobs/job", "e", "");
        assert_eq!(status(&two.fetch(&end).await), 200);
        wait_until("the runs to end", || replica.disconnects() == 2).await;
        assert_eq!(status(&two.fetch(&end).await), 200);
        assert_eq!(replica.requests().len(), 2);
    });
}

/// A daemon that does not own the shard forwards calls to the owner, and answers
/// them itself as soon as the owner is killed.
#[test]
fn calls_are_forwarded_to_owner_and_answered_locally_after_it_fails() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let store = store(&[&replica]);
        let (owner, other) = owner_and_other(&store).await;
        assert_eq!(status(&other.fetch(&submit("job")).await), 202);
        results(&other, "job", 2).await;
        assert!(!other.daemon.is_serving(0));
        drop(owner);
        assert_eq!(status(&other.fetch(&submit("next")).await), 202);
        let end = request("DELETE", "/jobs/next", "e", "");
        assert_eq!(status(&other.fetch(&end).await), 200);
        wait_until("the shard to be taken over", || other.daemon.is_serving(0)).await;
        assert_eq!(results(&other, "job", 2).await.len(), 2);
    });
}

/// An owner that shuts down finishes its items. The other daemon takes the shard
/// over and must not run the same items again.
#[test]
fn draining_owner_finishes_its_items() {
    smol::block_on(async {
        let slow = vec![
            Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n"),
            Action::Wait(Duration::from_millis(1200)),
            Action::Send("id: 2\ndata: b\n\n".to_owned()),
            Action::Finish,
        ];
        let replica = ScriptedReplica::start("r", vec![slow]).await;
        let store = store(&[&replica]);
        let (owner, other) = owner_and_other(&store).await;
        assert_eq!(status(&owner.fetch(&submit("job")).await), 202);
        wait_until("both items to run", || replica.requests().len() == 2).await;
        owner.daemon.stop().await;
        let lines = results(&other, "job", 2).await;
        assert!(lines.iter().all(|line| line.ends_with("a,b")), "{lines:?}");
        assert_eq!(replica.requests().len(), 2);
    });
}

/// A daemon that has closed its client connections may still wait for its items.
/// It must not accept new connections, as their requests might not be finished.
#[test]
fn draining_daemon_refuses_connections_after_closing_its_own() {
    smol::block_on(async {
        let beat = |id: u32| {
            let event = format!("id: {id}\ndata: a\n\n");
            [
                Action::Wait(Duration::from_millis(900)),
                Action::Send(event),
            ]
        };
        let mut long = vec![Action::Respond(200, EVENTS, "id: 1\ndata: a\n\n")];
        long.extend((2..7).flat_map(beat));
        long.push(Action::Finish);
        let replica = ScriptedReplica::start("r", vec![long]).await;
        let gateway = Gateway::start(&store(&[&replica])).await;
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 202);
        wait_until("both items to run", || replica.requests().len() == 2).await;
        let late = async {
            smol::Timer::after(Duration::from_millis(3200)).await;
            TcpStream::connect(gateway.daemon.client_address())
                .await
                .is_ok()
        };
        let ((), accepted) = future::zip(gateway.daemon.stop(), late).await;
        assert!(!accepted, "a connection was accepted");
    });
}

/// Failed attempts at the first daemon count at the one that takes over.
#[test]
fn attempt_limit_holds_across_daemons() {
    smol::block_on(async {
        let fails = Action::Respond(500, "signature: s\r\ncontent-length: 0\r\n", "");
        let replica = ScriptedReplica::start("r", vec![vec![fails]]).await;
        let store = store(&[&replica]);
        let (one, two) = owner_and_other(&store).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&one.fetch(&job).await), 202);
        wait_until("a counted failure", || store.count_records("f/job") > 0).await;
        let before = store.count_records("f/job");
        drop(one);
        assert_eq!(results(&two, "job", 1).await, ["0 one given up"]);
        // The first daemon may have got one more failure that it could not record.
        let runs = replica.requests().len();
        assert!((3..=4).contains(&runs), "{runs} runs, {before} counted");
    });
}

/// A daemon that cannot load the ledger yet is ready, but must not report a job as
/// nonexistent. It accepts jobs once the ledger is loaded.
#[test]
fn job_calls_are_refused_until_ledger_is_loaded() {
    smol::block_on(async {
        let replica = ScriptedReplica::start("r", vec![vec![COMPLETE, Action::Finish]]).await;
        let store = store(&[&replica]);
        store.set_fault(Fault::Unavailable);
        let gateway = Gateway::start(&store).await;
        assert_eq!(status(&gateway.fetch(&read("job")).await), 503);
        assert_eq!(status(&gateway.fetch(&submit("job")).await), 503);
        store.set_fault(Fault::None);
        while status(&gateway.fetch(&submit("job")).await) != 202 {
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        results(&gateway, "job", 2).await;
        assert_eq!(status(&gateway.fetch(&read("other")).await), 404);
    });
}

/// Sends two events and goes silent, but completes an item that is resumed.
fn stalls_after_two(head: &str) -> Vec<Action> {
    match header(head, "last-event").as_deref() {
        Some(_) => vec![
            Action::Respond(200, EVENTS, "id: 3\ndata: c\n\n"),
            Action::Finish,
        ],
        _ => vec![
            Action::Respond(200, EVENTS, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
            Action::AwaitDisconnect,
        ],
    }
}

/// Neither the loss of the daemon nor that of its memory starts the item anew.
#[test]
fn item_of_a_lost_daemon_resumes_after_its_stored_output() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", stalls_after_two).await;
        let store = store(&[&replica]);
        let one = Gateway::start(&store).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&one.fetch(&job).await), 202);
        wait_until("a checkpoint", || store.count_records("p/job") > 0).await;
        drop(one);
        let sent_before = replica.requests().len();
        let two = Gateway::start(&store).await;
        assert_eq!(results(&two, "job", 1).await, ["0 one a,b,c"]);
        let requests = replica.requests();
        assert!(requests.len() > sent_before);
        for head in &requests[sent_before..] {
            assert_eq!(header(head, "last-event").as_deref(), Some("2"), "{head}");
        }
    });
}

/// Writes its own text, goes silent after two events, and completes what continues.
fn stalls_and_writes(text: &'static str) -> impl Fn(&str) -> Vec<Action> + Clone + Send + Sync {
    move |head| {
        let event = |n: u64| format!("id: {n}\ndata: {text}{n}\n\n");
        match header(head, "last-event").as_deref() {
            Some(_) => vec![
                Action::Respond(200, EVENTS, ""),
                Action::Send(event(3)),
                Action::Finish,
            ],
            _ => vec![
                Action::Respond(200, EVENTS, ""),
                Action::Send(event(1) + &event(2)),
                Action::AwaitDisconnect,
            ],
        }
    }
}

/// Guards against an item whose stored output goes on at another software version.
#[test]
fn item_continues_at_the_version_that_wrote_its_stored_output() {
    smol::block_on(async {
        let old = ScriptedReplica::start_with("old", stalls_and_writes("o")).await;
        let store = store(&[&old]);
        let one = Gateway::start(&store).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&one.fetch(&job).await), 202);
        wait_until("a checkpoint", || store.count_records("p/job") > 0).await;
        drop(one);
        for n in 0..3 {
            let id = format!("new{n}");
            let new = ScriptedReplica::start_with(&id, stalls_and_writes("n")).await;
            store.publish_replica(&new.with_version("2").record());
        }
        let two = Gateway::start(&store).await;
        assert_eq!(results(&two, "job", 1).await, ["0 one o1,o2,o3"]);
    });
}

/// The version that wrote the stored output has left.
#[test]
fn item_begins_anew_when_its_version_is_gone() {
    smol::block_on(async {
        let old = ScriptedReplica::start_with("old", stalls_and_writes("o")).await;
        let store = store(&[&old]);
        let one = Gateway::start(&store).await;
        let job = request("POST", "/items/", "job", "one\n");
        assert_eq!(status(&one.fetch(&job).await), 202);
        wait_until("a checkpoint", || store.count_records("p/job") > 0).await;
        drop(one);
        store.publish_replica(&Replica {
            stage: Stage::Draining,
            ..old.record()
        });
        let new = ScriptedReplica::start_with("new", |head| {
            let body = match header(head, "last-event").as_deref() {
                None | Some("1") => "id: 1\ndata: n1\n\n",
                Some(_) => "id: 3\ndata: x\n\n",
            };
            vec![Action::Respond(200, EVENTS, body), Action::Finish]
        });
        store.publish_replica(&new.await.with_version("2").record());
        let two = Gateway::start(&store).await;
        assert_eq!(results(&two, "job", 1).await, ["0 one n1"]);
    });
}
