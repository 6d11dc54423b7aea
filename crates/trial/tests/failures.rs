//! Failures of engines, daemons, the log and plain services on a small deployment.
//! Jobs complete with one correct result per item, keyed calls run at most once, and
//! a request is refused as not run only if it did not run.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bitterncart_protocol::admin::Publish;
use bitterncart_protocol::api::Failure;
use bitterncart_protocol::instance::State;
use bitterncart_standin::engine;
use bitterncart_standin::fault::Faults;
use bitterncart_testing::cases;
use bitterncart_transport::http::Client;
use bitterncart_trial::Site;
use bitterncart_trial::client::End;
use bitterncart_trial::jobs::{BatchClient, Job, Totals};
use support::{
    assert_completes, batch_client, complete, create_batch, start, submit, top_up, upload,
    wait_until,
};

#[test]
fn job_completes_although_some_items_always_fail() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit(&mut client, "poisoned", 60, 3);
    assert_completes(&mut client, &job, 3);
}

#[test]
fn job_completes_when_engines_die_with_items_in_flight() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit(&mut client, "workers", 200, 0);
    for replica in 0..2 {
        wait_until("a replica has produced a token", || {
            !site.replicas()[replica].engine.started_prompts().is_empty()
        });
        site.kill_replica(replica);
        site.restart_replica(replica).expect("it restarts");
    }
    assert_completes(&mut client, &job, 0);
}

#[test]
fn job_completes_when_its_owner_dies_after_accepting_it() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit(&mut client, "acknowledged", 60, 0);
    let owner = (0..3).find(|index| {
        let entries = site.entries();
        let shards = entries[*index]
            .daemon
            .as_ref()
            .map(|daemon| daemon.core.shards().clone());
        shards.is_some_and(|shards| {
            shards
                .values()
                .any(|handle| handle.is_owner() && handle.status().open_jobs > 0)
        })
    });
    site.kill_entry(owner.unwrap_or(0));
    assert_completes(&mut client, &job, 0);
}

#[test]
fn job_and_results_survive_the_restart_of_all_entry_instances() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit(&mut client, "replaced", 120, 0);
    for entry in 0..3 {
        site.kill_entry(entry);
        site.restart_entry(entry).expect("it restarts");
    }
    assert_completes(&mut client, &job, 0);
    for entry in 0..3 {
        site.kill_entry(entry);
    }
    for entry in 0..3 {
        site.restart_entry(entry).expect("it restarts");
    }
    assert_completes(&mut client, &job, 0);
}

#[test]
fn job_completes_when_a_lease_holder_is_paused_past_expiry() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit(&mut client, "paused", 300, 0);
    let set_paused = |paused: bool| {
        let entries = site.entries();
        let daemon = entries[1].daemon.as_ref().expect("the daemon is running");
        if paused {
            daemon.workers.pause();
        } else {
            daemon.workers.resume();
        }
    };
    set_paused(true);
    // The other daemons own all shards once those of the paused daemon are taken over.
    wait_until("the paused daemon's shards are taken over", || {
        let owned = site.owned_shard_counts();
        owned[0] + owned[2] == usize::from(site.document.log.shards)
    });
    set_paused(false);
    assert_completes(&mut client, &job, 0);
}

cases! {
    fn job_completes_and_online_continues_despite_log_faults(faults: Faults) {
        let site = start(|_| {});
        let mut client = batch_client(&site);
        let job = submit(&mut client, "log", 150, 0);
        site.log.faults.set(faults);
        // Completions do not depend on the log.
        for number in 0..5 {
            let prompt = format!("during {number}");
            let expected = End::Whole(engine::completion_text(&prompt, 8));
            assert_eq!(complete(site.callers()[0], &prompt, 8), expected);
        }
        std::thread::sleep(Duration::from_secs(4));
        site.log.faults.set(Faults::default());
        assert_completes(&mut client, &job, 0);
    }
    log_is_down(Faults { outage: true, ..Faults::default() });
    log_is_slow(Faults { delay_ms: 700, ..Faults::default() });
    log_loses_answers(Faults { lose_answers: 0.6, ..Faults::default() });
    log_never_answers(Faults { silent: true, ..Faults::default() });
}

#[test]
fn keyed_call_is_refused_as_not_run_while_the_log_is_down() {
    let site = start(|_| {});
    site.log.faults.set(Faults {
        outage: true,
        ..Faults::default()
    });
    let (status, body) = top_up(site.callers()[0], "log-down", Some("log-down"));
    assert_eq!(status, 503);
    assert_eq!(body["error"]["ran"], "not_run");
    assert_eq!(site.service_runs().get("log-down"), None);
    site.log.faults.set(Faults::default());
    wait_until("the key can be used again", || {
        top_up(site.callers()[1], "log-down", Some("log-down")).0 == 200
    });
    assert_eq!(site.service_runs().get("log-down"), Some(&1));
}

#[test]
fn submission_with_a_lost_log_response_is_reported_as_unknown() {
    let site = start(|_| {});
    let address = site.callers()[0];
    let (status, file) = upload(address, "lost answer");
    assert_eq!(status, 200, "{file}");
    site.log.faults.set(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    });
    let (status, body) = create_batch(address, &file["id"]);
    let outcome = (
        status,
        body["error"]["code"].as_u64(),
        body["error"]["ran"].as_str(),
    );
    assert_eq!(outcome, (504, Some(2006), Some("unknown")));
    site.log.faults.set(Faults::default());
    wait_until("the job runs, since its submission was recorded", || {
        site.started_prompts().contains("lost answer")
    });
    let (status, body) = create_batch(site.callers()[1], &file["id"]);
    assert_eq!(status, 200, "{body}");
}

cases! {
    fn call_with_a_lost_response_runs_once(key: Option<&str>) {
        let site = start(|_| {});
        for server in &site.servers {
            server.handler.faults.set(Faults { lose_answers: 1.0, ..Faults::default() });
        }
        let (status, body) = top_up(site.callers()[0], "lost", key);
        assert_eq!((status, body["error"]["ran"].as_str()), (502, Some("unknown")));
        for server in &site.servers {
            server.handler.faults.set(Faults::default());
        }
        if key.is_some() {
            for address in site.callers() {
                let (status, body) = top_up(address, "lost", key);
                assert_eq!((status, body["error"]["ran"].as_str()), (502, Some("unknown")));
            }
        }
        assert_eq!(site.service_runs().get("lost"), Some(&1));
    }
    with_idempotency_key(Some("lost"));
    without_idempotency_key(None);
}

#[test]
fn recorded_response_survives_the_restart_of_all_entry_instances() {
    let site = start(|_| {});
    assert_eq!(
        top_up(site.callers()[0], "recorded", Some("recorded")).0,
        200
    );
    for entry in 0..3 {
        site.kill_entry(entry);
        site.restart_entry(entry).expect("it restarts");
    }
    wait_until("the recorded response is returned", || {
        top_up(site.callers()[2], "recorded", Some("recorded")).0 == 200
    });
    assert_eq!(site.service_runs().get("recorded"), Some(&1));
}

#[test]
fn stream_completes_when_its_engine_stalls() {
    let site = start(|_| {});
    let address = site.callers()[0];
    let stream = std::thread::spawn(move || complete(address, "frozen", 200));
    wait_until("the stream has started", || {
        site.started_prompts().contains("frozen")
    });
    for replica in site.replicas().iter() {
        if replica.engine.started_prompts().contains("frozen") {
            replica.engine.faults.set(Faults {
                freeze: true,
                ..Faults::default()
            });
        }
    }
    let end = stream.join().expect("no panic");
    assert_eq!(end, End::Whole(engine::completion_text("frozen", 200)));
}

#[test]
fn exactly_one_of_concurrent_publications_succeeds() {
    let site = start(|_| {});
    let publish = |index: usize, operator: &str| {
        let admin = site.entries()[index].settings.admin;
        let text = format!("{}\n// {operator}\n", site.document_text);
        let publish = Publish {
            base: 1,
            text,
            operator: operator.into(),
        };
        std::thread::spawn(move || {
            smol::block_on(Client::default().post(admin, "/config", &publish))
                .expect("the daemon responds")
        })
    };
    let publications = [
        publish(0, "first"),
        publish(1, "second"),
        publish(2, "third"),
    ];
    let responses = publications.map(|publication| publication.join().expect("no panic"));
    let successes = responses
        .iter()
        .filter(|(status, _)| *status == 200)
        .count();
    assert_eq!(successes, 1);
    for (_, body) in responses.iter().filter(|(status, _)| *status != 200) {
        let failure: Failure = serde_json::from_slice(body).expect("the response is an error body");
        assert_eq!(failure.error.code.number(), 1402);
    }
    let digests = || -> Vec<String> {
        let entries = site.entries();
        let versions = entries
            .iter()
            .filter_map(|entry| entry.daemon.as_ref()?.core.config_version());
        versions
            .map(|version| format!("{} {}", version.number, version.digest))
            .collect()
    };
    wait_until("all daemons have the published version", || {
        let digests = digests();
        digests.len() == 3
            && digests.iter().all(|d| *d == digests[0])
            && !digests[0].starts_with("1 ")
    });
}

#[test]
fn daemon_started_during_a_log_outage_gets_its_configuration_from_peers() {
    let site = start(|_| {});
    site.log.faults.set(Faults {
        outage: true,
        ..Faults::default()
    });
    site.kill_entry(0);
    site.restart_entry(0).expect("it restarts");
    wait_until("the daemon has a configuration", || {
        let entries = site.entries();
        entries[0]
            .daemon
            .as_ref()
            .is_some_and(|daemon| daemon.core.config_version().is_some())
    });
    wait_until("the daemon serves", || {
        complete(site.callers()[0], "late", 8) == End::Whole(engine::completion_text("late", 8))
    });
}

#[test]
fn drain_waits_for_open_streams() {
    let site = start(|_| {});
    let address = site.callers()[0];
    let streams: Vec<_> = (0..8)
        .map(|number| {
            std::thread::spawn(move || complete(address, &format!("drained {number}"), 250))
        })
        .collect();
    wait_until("the streams have started", || {
        site.started_prompts().len() == 8
    });
    let daemon = site.entries()[0]
        .daemon
        .take()
        .expect("the daemon is running");
    assert!(
        smol::block_on(daemon.drain()),
        "all streams end before the drain timeout"
    );
    for (number, stream) in streams.into_iter().enumerate() {
        let expected = End::Whole(engine::completion_text(&format!("drained {number}"), 250));
        assert_eq!(stream.join().expect("no panic"), expected);
    }
    assert!(
        !daemon
            .core
            .shards()
            .values()
            .any(|handle| handle.is_owner())
    );
}

#[test]
fn cancelled_job_starts_no_more_items() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let mut job = client.generate_job("cancelled", 2000, 0, true);
    assert_eq!(smol::block_on(client.submit(&mut job)), Some(true));
    wait_until("the job runs", || !site.started_prompts().is_empty());
    assert!(smol::block_on(client.cancel(&job)));
    wait_until("the job is cancelled", || {
        smol::block_on(client.status(&job)).is_some_and(|batch| batch.status == "cancelled")
    });
    wait_until("no batch stream runs", || {
        let entries = site.entries();
        let views = entries
            .iter()
            .filter_map(|e| Some(e.daemon.as_ref()?.core.routing().admin_rows()));
        views.flatten().all(|replica| replica.batch == 0)
    });
    let before = site.started_prompts().len();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        site.started_prompts().len(),
        before,
        "an item started after the job was cancelled"
    );
    let mut totals = Totals::default();
    smol::block_on(client.verify(&job, &mut totals));
    assert_eq!((totals.lost, totals.doubled, totals.wrong), (0, 0, 0));
    assert_eq!(totals.finished + totals.cancelled, 2000);
}

#[test]
fn results_and_recorded_responses_survive_log_retention() {
    let site = start(|document| document.log.retention_s = 12);
    let mut client = batch_client(&site);
    let job = submit(&mut client, "retention", 40, 0);
    assert_completes(&mut client, &job, 0);
    // The shard of the recorded response has no later activity.
    let key = Some("retention");
    assert_eq!(top_up(site.callers()[0], "retention", key).0, 200);
    let version = site.entries()[1]
        .daemon
        .as_ref()
        .and_then(|daemon| daemon.core.config_version());
    // The original log records of the job, its results and the call expire meanwhile.
    std::thread::sleep(Duration::from_secs(30));
    for entry in 0..3 {
        site.kill_entry(entry);
    }
    for entry in 0..3 {
        site.restart_entry(entry).expect("it restarts");
    }
    assert_completes(&mut client, &job, 0);
    wait_until("the recorded response is returned", || {
        top_up(site.callers()[1], "retention", key).0 == 200
    });
    assert_eq!(site.service_runs().get("retention"), Some(&1));
    let after = site.entries()[1]
        .daemon
        .as_ref()
        .and_then(|daemon| daemon.core.config_version());
    assert_eq!(after.map(|v| v.number), version.map(|v| v.number));
}

/// How a backend server announces that it is leaving.
enum LeavingSignal {
    /// Through its state in the instance list.
    InstanceList,
    /// By refusing requests.
    Refusal,
}

cases! {
    fn leaving_server_gets_no_new_work(signal: LeavingSignal) {
        let site = start(|_| {});
        let mut client = batch_client(&site);
        let job = submit(&mut client, "leaving", 900, 0);
        let name = site.replicas()[0].name.clone();
        match signal {
            LeavingSignal::InstanceList => {
                let mut list = site.instance_list.newest();
                let leaving = list.iter_mut().filter(|instance| instance.name == name);
                leaving.for_each(|instance| instance.state = State::Leaving);
                site.instance_list.set(list);
            }
            LeavingSignal::Refusal => site.replicas()[0].engine.faults.set(Faults {
                leaving: true,
                ..Faults::default()
            }),
        }
        let local_address = site.callers()[0];
        wait_until("the daemon of its data centre sees it as leaving", || {
            // The daemon of the same data centre receives the refusal directly.
            complete(local_address, "to learn of it", 4);
            let entries = site.entries();
            let daemon = entries[0].daemon.as_ref().expect("the daemon is running");
            let view = daemon.core.routing().admin_rows();
            view.iter().any(|row| row.name == name && row.state == "leaving")
        });
        // Work that was sent before the signal is not counted, so it must end first.
        wait_until("the server has no sequences", || {
            site.replicas()[0].engine.placement().running == 0
        });
        let before = site.replicas()[0].engine.started_prompts();
        for number in 0..12 {
            let prompt = format!("after the sign {number}");
            assert_eq!(complete(local_address, &prompt, 8), End::Whole(engine::completion_text(&prompt, 8)));
        }
        assert_completes(&mut client, &job, 0);
        let after = site.replicas()[0].engine.started_prompts();
        let new_prompts: Vec<_> = after.difference(&before).collect();
        assert!(
            new_prompts.is_empty(),
            "new work was sent to the leaving server: {new_prompts:?}"
        );
    }
    leaving_in_the_instance_list(LeavingSignal::InstanceList);
    leaving_by_refusal(LeavingSignal::Refusal);
}

/// Publishes the document with or without batch work for all models.
fn publish_batch(site: &Site, base: u64, has_batch: bool) {
    let mut document = site.document.clone();
    if !has_batch {
        document.models.iter_mut().for_each(|m| m.batch = None);
    }
    let publish = Publish {
        base,
        text: serde_json::to_string(&document).expect("a document encodes"),
        operator: "batch".into(),
    };
    let admin = site.entries()[0].settings.admin;
    let posted = smol::block_on(Client::default().post(admin, "/config", &publish));
    let (status, body) = posted.expect("the daemon responds");
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
}

/// Job whose items cannot run, as all replicas are gone.
fn submit_without_replicas(site: &Arc<Site>, client: &mut BatchClient) -> Job {
    let count = site.replicas().len();
    (0..count).for_each(|replica| site.kill_replica(replica));
    submit(client, "withdrawn", 30, 0)
}

/// Guards against items that stay open for good, as their model takes no batch work any
/// more.
#[test]
fn items_of_a_model_without_batch_work_end() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit_without_replicas(&site, &mut client);
    publish_batch(&site, 1, false);
    wait_until("the job completes", || {
        smol::block_on(client.status(&job)).is_some_and(|batch| batch.status == "completed")
    });
    let mut totals = Totals::default();
    smol::block_on(client.verify(&job, &mut totals));
    assert_eq!((totals.finished, totals.failed), (0, 30));
    assert_eq!((totals.lost, totals.doubled), (0, 0));
}

/// Guards against items that end, as a version of the document that the next one withdraws
/// has no batch work.
#[test]
fn items_of_a_model_that_takes_batch_work_again_complete() {
    let site = start(|_| {});
    let mut client = batch_client(&site);
    let job = submit_without_replicas(&site, &mut client);
    publish_batch(&site, 1, false);
    std::thread::sleep(Duration::from_secs(2));
    publish_batch(&site, 2, true);
    std::thread::sleep(Duration::from_secs(12));
    let count = site.replicas().len();
    for replica in 0..count {
        site.restart_replica(replica).expect("it restarts");
    }
    assert_completes(&mut client, &job, 0);
}

/// Sends a request and reads the beginning of the response; its status and the connection, if
/// there is a response.
fn begin(address: SocketAddr, request: &str) -> Option<(u16, TcpStream)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    let status = std::str::from_utf8(&start[9..]).ok()?.parse().ok()?;
    Some((status, stream))
}

/// Sends a service call with a long deadline; the status of the response, if there is one.
fn top_up_slowly(address: SocketAddr) -> Option<u16> {
    let body = r#"{"call": "slow"}"#;
    let request = format!(
        "POST /services/minutes/topups HTTP/1.1\r\nhost: a\r\n\
         authorization: Bearer trial-front-desk\r\nx-deadline-ms: 60000\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    begin(address, &request).map(|(status, _)| status)
}

/// Guards against a connection that closes with no answer, as its request outlasts the drain.
#[test]
fn request_that_outlasts_the_drain_is_answered() {
    let site = start(|_| {});
    site.kill_entry(0);
    site.entries()[0].settings.drain_ms = 5000;
    site.restart_entry(0).expect("it restarts");
    let address = site.callers()[0];
    wait_until("the daemon serves", || {
        top_up(address, "before", None).0 == 200
    });
    for server in &site.servers {
        server.handler.faults.set(Faults {
            silent: true,
            ..Faults::default()
        });
    }
    let call = std::thread::spawn(move || top_up_slowly(address));
    let daemon = site.entries()[0]
        .daemon
        .take()
        .expect("the daemon is running");
    wait_until("the request is in flight", || {
        daemon.core.in_flight.load(Ordering::SeqCst) > 0
    });
    smol::block_on(daemon.drain());
    drop(daemon);
    assert_eq!(call.join().expect("no panic"), Some(502));
}

/// Size of a large answer, in bytes: more than the buffers of a connection take.
const LARGE_BYTES: usize = 8_000_000;

/// Large answers that are asked for at once.
const LARGE_ANSWERS: usize = 16;

/// Memory of a daemon for answers, in bytes.
const MAX_HELD_BYTES: usize = 64 << 20;

/// Begins to read a large answer; its status and the connection.
fn begin_large_answer(address: SocketAddr) -> (u16, TcpStream) {
    let request = format!(
        "GET /services/minutes/bytes/{LARGE_BYTES} HTTP/1.1\r\nhost: a\r\n\
         authorization: Bearer trial-front-desk\r\nx-deadline-ms: 20000\r\n\r\n"
    );
    begin(address, &request).expect("an answer")
}

/// Guards against answers that no limit counts while callers read them slowly, and against
/// servers that count as failing as there is no memory for their answers.
#[test]
fn slow_readers_of_answers_are_bounded() {
    let site = start(|_| {});
    let address = site.callers()[0];
    let answers = (0..LARGE_ANSWERS).map(|_| begin_large_answer(address));
    let answers: Vec<_> = answers.collect();
    let statuses: Vec<_> = answers.iter().map(|(status, _)| *status).collect();
    let begun = statuses.iter().filter(|status| **status == 200).count();
    assert!(
        begun > 0 && begun * LARGE_BYTES <= MAX_HELD_BYTES,
        "{statuses:?}"
    );
    assert!(!statuses.contains(&503), "{statuses:?}");
    assert_eq!(top_up(address, "beside slow readers", None).0, 200);
    wait_until("the slowest readers to give way", || {
        begin_large_answer(address).0 == 200
    });
    drop(answers);
}
