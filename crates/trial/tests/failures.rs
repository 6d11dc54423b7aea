//! Each failure that the brief names, brought about on a small deployment.

mod support;

use std::time::Duration;

use bitterncart_protocol::admin::Publish;
use bitterncart_protocol::api::Failure;
use bitterncart_protocol::instance::State;
use bitterncart_standin::engine;
use bitterncart_standin::fault::Faults;
use bitterncart_testing::cases;
use bitterncart_transport::http::Client;
use bitterncart_trial::client::End;
use bitterncart_trial::jobs::Totals;
use support::{
    complete, create_batch, finishes, sender, start, submit, top_up, upload, wait_until,
};

#[test]
fn impossible_items_do_not_hold_up_the_rest() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let job = submit(&mut sender, "poisoned", 60, 3);
    finishes(&mut sender, &job, 3);
}

#[test]
fn workers_die_with_items_in_flight() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let job = submit(&mut sender, "workers", 200, 0);
    for replica in 0..2 {
        wait_until("a replica works", || {
            !site.replicas()[replica].engine.started_prompts().is_empty()
        });
        site.kill_replica(replica);
        site.restart_replica(replica).expect("it starts again");
    }
    finishes(&mut sender, &job, 0);
}

#[test]
fn instance_is_lost_just_after_it_acknowledged() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let job = submit(&mut sender, "acknowledged", 60, 0);
    let owner = (0..3).find(|at| {
        let entries = site.entries();
        let shards = entries[*at]
            .daemon
            .as_ref()
            .map(|daemon| daemon.core.shards().clone());
        shards.is_some_and(|shards| {
            shards
                .values()
                .any(|handle| handle.is_mine() && handle.view().open_jobs > 0)
        })
    });
    site.kill_entry(owner.unwrap_or(0));
    finishes(&mut sender, &job, 0);
}

#[test]
fn every_instance_is_replaced() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let job = submit(&mut sender, "replaced", 120, 0);
    for entry in 0..3 {
        site.kill_entry(entry);
        site.restart_entry(entry).expect("it starts again");
    }
    finishes(&mut sender, &job, 0);
    for entry in 0..3 {
        site.kill_entry(entry);
    }
    for entry in 0..3 {
        site.restart_entry(entry).expect("it starts again");
    }
    finishes(&mut sender, &job, 0);
}

#[test]
fn holder_is_paused_past_its_leases() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let job = submit(&mut sender, "paused", 300, 0);
    let pause = |on: bool| {
        let entries = site.entries();
        let daemon = entries[1].daemon.as_ref().expect("it lives");
        if on {
            daemon.workers.pause();
        } else {
            daemon.workers.resume();
        }
    };
    pause(true);
    // Another daemon owns all shards once the paused one's are taken over.
    wait_until("the paused daemon's shards are taken over", || {
        let owned = site.owned_shards();
        owned[0] + owned[2] == usize::from(site.document.log.shards)
    });
    pause(false);
    finishes(&mut sender, &job, 0);
}

cases! {
    fn survives_the_log(faults: Faults) {
        let site = start(|_| {});
        let mut sender = sender(&site);
        let job = submit(&mut sender, "log", 150, 0);
        site.log.faults.set(faults);
        // Online traffic goes on meanwhile.
        for number in 0..5 {
            let prompt = format!("during {number}");
            let expected = End::Whole(engine::completion_text(&prompt, 8));
            assert_eq!(complete(site.callers()[0], &prompt, 8), expected);
        }
        std::thread::sleep(Duration::from_secs(4));
        site.log.faults.set(Faults::default());
        finishes(&mut sender, &job, 0);
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
    wait_until("the key is free again", || {
        top_up(site.callers()[1], "log-down", Some("log-down")).0 == 200
    });
    assert_eq!(site.service_runs().get("log-down"), Some(&1));
}

#[test]
fn submission_with_a_lost_answer_is_not_called_not_run() {
    let site = start(|_| {});
    let to = site.callers()[0];
    let (status, file) = upload(to, "lost answer");
    assert_eq!(status, 200, "{file}");
    site.log.faults.set(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    });
    let (status, body) = create_batch(to, &file["id"]);
    let answer = (
        status,
        body["error"]["code"].as_u64(),
        body["error"]["ran"].as_str(),
    );
    assert_eq!(answer, (504, Some(2006), Some("unknown")));
    site.log.faults.set(Faults::default());
    wait_until("the job that was taken all the same runs", || {
        site.started_prompts().contains("lost answer")
    });
    let (status, body) = create_batch(site.callers()[1], &file["id"]);
    assert_eq!(status, 200, "{body}");
}

cases! {
    fn call_with_a_lost_answer_runs_once(key: Option<&str>) {
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
            for to in site.callers() {
                let (status, body) = top_up(to, "lost", key);
                assert_eq!((status, body["error"]["ran"].as_str()), (502, Some("unknown")));
            }
        }
        assert_eq!(site.service_runs().get("lost"), Some(&1));
    }
    lost_answer_with_a_key(Some("lost"));
    lost_answer_without_a_key(None);
}

#[test]
fn recorded_answer_outlives_its_owner() {
    let site = start(|_| {});
    assert_eq!(
        top_up(site.callers()[0], "recorded", Some("recorded")).0,
        200
    );
    for entry in 0..3 {
        site.kill_entry(entry);
        site.restart_entry(entry).expect("it starts again");
    }
    wait_until("the recorded answer comes back", || {
        top_up(site.callers()[2], "recorded", Some("recorded")).0 == 200
    });
    assert_eq!(site.service_runs().get("recorded"), Some(&1));
}

#[test]
fn open_streams_go_silent_while_new_ones_work() {
    let site = start(|_| {});
    let to = site.callers()[0];
    let long = std::thread::spawn(move || complete(to, "frozen", 200));
    wait_until("the stream has begun", || {
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
    let end = long.join().expect("the caller gets its answer");
    assert_eq!(end, End::Whole(engine::completion_text("frozen", 200)));
}

#[test]
fn racing_operators_have_one_winner() {
    let site = start(|_| {});
    let publish = |at: usize, who: &str| {
        let admin = site.entries()[at].settings.admin;
        let text = format!("{}\n// {who}\n", site.text);
        let publish = Publish {
            base: 1,
            text,
            operator: who.into(),
        };
        std::thread::spawn(move || {
            smol::block_on(Client::default().post(admin, "/config", &publish)).expect("it answers")
        })
    };
    let posts = [
        publish(0, "first"),
        publish(1, "second"),
        publish(2, "third"),
    ];
    let answers = posts.map(|post| post.join().expect("no panic"));
    let won = answers.iter().filter(|(status, _)| *status == 200).count();
    assert_eq!(won, 1);
    for (_, body) in answers.iter().filter(|(status, _)| *status != 200) {
        let failure: Failure = serde_json::from_slice(body).expect("a numbered error");
        assert_eq!(failure.error.code.number(), 1402);
    }
    let digests = || -> Vec<String> {
        let entries = site.entries();
        let versions = entries
            .iter()
            .filter_map(|entry| entry.daemon.as_ref()?.core.version());
        versions
            .map(|version| format!("{} {}", version.number, version.digest))
            .collect()
    };
    wait_until("all daemons have the winner", || {
        let digests = digests();
        digests.len() == 3
            && digests.iter().all(|d| *d == digests[0])
            && !digests[0].starts_with("1 ")
    });
}

#[test]
fn daemon_that_starts_while_the_log_is_down_has_its_peers_configuration() {
    let site = start(|_| {});
    site.log.faults.set(Faults {
        outage: true,
        ..Faults::default()
    });
    site.kill_entry(0);
    site.restart_entry(0).expect("it starts again");
    wait_until("the daemon is ready", || {
        let entries = site.entries();
        entries[0]
            .daemon
            .as_ref()
            .is_some_and(|daemon| daemon.core.version().is_some())
    });
    wait_until("it serves", || {
        complete(site.callers()[0], "late", 8) == End::Whole(engine::completion_text("late", 8))
    });
}

#[test]
fn drain_cuts_off_no_stream() {
    let site = start(|_| {});
    let to = site.callers()[0];
    let streams: Vec<_> = (0..8)
        .map(|number| std::thread::spawn(move || complete(to, &format!("drained {number}"), 250)))
        .collect();
    wait_until("the streams have begun", || {
        site.started_prompts().len() == 8
    });
    let daemon = site.entries()[0].daemon.take().expect("it lives");
    assert!(
        smol::block_on(daemon.drain()),
        "everything was finished in time"
    );
    for (number, stream) in streams.into_iter().enumerate() {
        let expected = End::Whole(engine::completion_text(&format!("drained {number}"), 250));
        assert_eq!(stream.join().expect("no panic"), expected);
    }
    assert!(!daemon.core.shards().values().any(|handle| handle.is_mine()));
}

#[test]
fn cancelled_job_stops() {
    let site = start(|_| {});
    let mut sender = sender(&site);
    let mut job = sender.plan("cancelled", 2000, 0, true);
    assert_eq!(smol::block_on(sender.submit(&mut job)), Some(true));
    wait_until("the job runs", || !site.started_prompts().is_empty());
    assert!(smol::block_on(sender.cancel(&job)));
    wait_until("the job is cancelled", || {
        smol::block_on(sender.status(&job)).is_some_and(|batch| batch.status == "cancelled")
    });
    wait_until("no batch stream runs", || {
        let entries = site.entries();
        let views = entries
            .iter()
            .filter_map(|e| Some(e.daemon.as_ref()?.core.routing().view()));
        views.flatten().all(|replica| replica.batch == 0)
    });
    let before = site.started_prompts().len();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        site.started_prompts().len(),
        before,
        "an item started after the cancellation"
    );
    let mut totals = Totals::default();
    smol::block_on(sender.check(&job, &mut totals));
    assert_eq!((totals.lost, totals.doubled, totals.wrong), (0, 0, 0));
    assert_eq!(totals.finished + totals.cancelled, 2000);
}

#[test]
fn results_outlive_the_log_s_retention() {
    let site = start(|document| document.log.retention_s = 12);
    let mut sender = sender(&site);
    let job = submit(&mut sender, "retention", 40, 0);
    finishes(&mut sender, &job, 0);
    // A recorded answer lies in a shard where nothing happens afterwards.
    let key = Some("retention");
    assert_eq!(top_up(site.callers()[0], "retention", key).0, 200);
    let version = site.entries()[1]
        .daemon
        .as_ref()
        .and_then(|daemon| daemon.core.version());
    // Every record of the job's submission and results expires meanwhile.
    std::thread::sleep(Duration::from_secs(30));
    for entry in 0..3 {
        site.kill_entry(entry);
    }
    for entry in 0..3 {
        site.restart_entry(entry).expect("it starts again");
    }
    finishes(&mut sender, &job, 0);
    wait_until("the recorded answer comes back", || {
        top_up(site.callers()[1], "retention", key).0 == 200
    });
    assert_eq!(site.service_runs().get("retention"), Some(&1));
    let after = site.entries()[1]
        .daemon
        .as_ref()
        .and_then(|daemon| daemon.core.version());
    assert_eq!(after.map(|v| v.number), version.map(|v| v.number));
}

/// How a server says that it leaves.
enum Sign {
    /// By the platform's list.
    List,
    /// By refusing requests itself.
    Refusal,
}

cases! {
    fn leaving_server_gets_no_new_work(sign: Sign) {
        let site = start(|_| {});
        let mut sender = sender(&site);
        let job = submit(&mut sender, "leaving", 900, 0);
        let name = site.replicas()[0].name.clone();
        match sign {
            Sign::List => {
                let mut list = site.list.newest();
                let leaving = list.iter_mut().filter(|instance| instance.name == name);
                leaving.for_each(|instance| instance.state = State::Leaving);
                site.list.set(list);
            }
            Sign::Refusal => site.replicas()[0].engine.faults.set(Faults {
                leaving: true,
                ..Faults::default()
            }),
        }
        let home = site.callers()[0];
        wait_until("all daemons know", || {
            // Its own data centre's daemon meets the refusal itself.
            complete(home, "to learn of it", 4);
            let entries = site.entries();
            let daemon = entries[0].daemon.as_ref().expect("it lives");
            let view = daemon.core.routing().view();
            view.iter().any(|row| row.name == name && row.state == "leaving")
        });
        // What was sent before the sign is set aside; the engine sees it end.
        wait_until("the server is empty", || {
            site.replicas()[0].engine.placement().running == 0
        });
        let before = site.replicas()[0].engine.started_prompts();
        for number in 0..12 {
            let prompt = format!("after the sign {number}");
            assert_eq!(complete(home, &prompt, 8), End::Whole(engine::completion_text(&prompt, 8)));
        }
        finishes(&mut sender, &job, 0);
        let after = site.replicas()[0].engine.started_prompts();
        let new: Vec<_> = after.difference(&before).collect();
        assert!(new.is_empty(), "new work went to the leaving server: {new:?}");
    }
    leaves_by_the_list(Sign::List);
    leaves_by_its_own_word(Sign::Refusal);
}
