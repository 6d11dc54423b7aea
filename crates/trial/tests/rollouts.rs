//! Rollouts of model weights under load: new weights reach all replicas, bad weights
//! halt and are rolled back, and no request fails in the meantime.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};

use bitterncart_protocol::Document;
use bitterncart_protocol::admin::Publish;
use bitterncart_protocol::engine::Role;
use bitterncart_standin::engine;
use bitterncart_testing::cases;
use bitterncart_transport::http::Client;
use bitterncart_trial::Site;
use bitterncart_trial::client::End;
use support::{complete_with, counter_sum, start_document, wait_until};

const SUNHAVEN: &str = include_str!("../../../examples/sunhaven.jsonc");
const SAVANNAH: &str = include_str!("../../../examples/savannah.jsonc");

/// Concurrent clients of the load.
const CLIENTS: u32 = 4;

/// Example document with shorter observation and load times.
fn with_short_times(text: &str) -> Document {
    let mut document = Document::parse(text).expect("the example is valid");
    for model in &mut document.models {
        model.rollout.observe_s = 2;
    }
    document
        .weight_store
        .iter_mut()
        .for_each(|store| store.loads_per_min = 600);
    document
}

/// Reduced document: models with weights have two replicas in each data centre, of
/// which one must serve at all times.
fn reduced(text: &str, checks_fencing: bool) -> Document {
    let mut document = with_short_times(text);
    for model in &mut document.models {
        let has_weights = model.weights.is_some();
        let count = if has_weights { 2 } else { 1 };
        model.replicas.iter_mut().for_each(|row| row.count = count);
        model.checks_fencing = checks_fencing;
        model.rollout.min_up = 1;
    }
    document.log.shards = 2;
    document
}

/// Publishes the document with another version of all weights.
fn publish_weights(site: &Site, version: &str) {
    let mut document = site.document.clone();
    let weights = document
        .models
        .iter_mut()
        .filter_map(|model| model.weights.as_mut());
    weights.for_each(|weights| weights.version = version.into());
    let publish = Publish {
        base: 1,
        text: serde_json::to_string(&document).expect("a document encodes"),
        operator: "rollout".into(),
    };
    let admin = site.entries()[0].settings.admin;
    let posted = smol::block_on(Client::default().post(admin, "/config", &publish));
    assert_eq!(posted.expect("the daemon responds").0, 200);
}

/// Online clients that send requests until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicU32>,
    clients: Vec<JoinHandle<Vec<End>>>,
}

impl Load {
    fn start(site: &Arc<Site>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let completed = Arc::new(AtomicU32::new(0));
        let clients = (0..CLIENTS).map(|number| {
            let (site, stop, completed) =
                (Arc::clone(site), Arc::clone(&stop), Arc::clone(&completed));
            thread::spawn(move || run_client(&site, number, &stop, &completed))
        });
        Self {
            clients: clients.collect(),
            stop,
            completed,
        }
    }

    /// Stops the clients and asserts that every response was complete.
    fn stop_and_assert_no_failures(self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let failed = client.join().expect("no panic");
            assert_eq!(failed, [], "requests failed during the rollout");
        }
        assert!(self.completed.load(Ordering::Relaxed) > CLIENTS);
    }
}

/// Sends requests one after another and returns the ends of those that failed.
fn run_client(site: &Site, number: u32, stop: &AtomicBool, completed: &AtomicU32) -> Vec<End> {
    let model = site
        .document
        .models
        .iter()
        .find(|model| model.online.is_some() && model.weights.is_some());
    let model = model.or_else(|| {
        site.document
            .models
            .iter()
            .find(|model| model.online.is_some())
    });
    let model = model.expect("a model serves online").name.clone();
    let api_key = format!("trial-{}", site.document.customers[0].name);
    let mut failed = Vec::new();
    for request in 0.. {
        if stop.load(Ordering::Relaxed) {
            return failed;
        }
        let addresses = site.callers();
        let address = addresses[(number + request) as usize % addresses.len()];
        let prompt = format!("caller {number} request {request}");
        let end = complete_with(address, &api_key, &model, &prompt, 12);
        if end == End::Whole(engine::completion_text(&prompt, 12)) {
            completed.fetch_add(1, Ordering::Relaxed);
        } else {
            failed.push(end);
        }
    }
    failed
}

/// Versions of the weights that engines serve; `changing` stands for an engine that
/// drains or loads.
fn served_versions(site: &Site) -> BTreeSet<String> {
    let replicas = site.replicas();
    let placements = replicas.iter().map(|replica| replica.engine.placement());
    let versions = placements.filter_map(|placement| {
        let weights = placement.weights?;
        let serves = placement.role == Role::Serving && !placement.loading;
        Some(if serves {
            weights.version.to_string()
        } else {
            "changing".to_owned()
        })
    });
    versions.collect()
}

fn only_version(version: &str) -> BTreeSet<String> {
    BTreeSet::from([version.to_owned()])
}

/// Asserts that no engine accepted an order of an earlier issuer after one of a later
/// issuer.
fn assert_fencing_numbers_ascend(site: &Site) {
    for replica in site.replicas().iter() {
        let orders = replica.engine.orders();
        let fencing: Vec<u64> = orders.iter().map(|order| order.fencing).collect();
        assert!(fencing.is_sorted(), "{}: {fencing:?}", replica.name);
    }
}

fn halted_rollouts(site: &Site) -> u64 {
    counter_sum(site, "rollout.halted")
}

cases! {
    fn new_weights_reach_all_replicas_without_failed_requests(document: &Document) {
        let site = start_document(document, 1);
        let load = Load::start(&site);
        publish_weights(&site, "next");
        wait_until("all replicas run the new weights", || served_versions(&site) == only_version("next"));
        load.stop_and_assert_no_failures();
        assert_fencing_numbers_ascend(&site);
    }
    sunhaven_full_size(&with_short_times(SUNHAVEN));
    savannah_full_size(&with_short_times(SAVANNAH));
    sunhaven_with_fencing(&reduced(SUNHAVEN, true));
    sunhaven_without_fencing(&reduced(SUNHAVEN, false));
    savannah_with_fencing(&reduced(SAVANNAH, true));
}

#[test]
fn failing_weights_halt_and_are_rolled_back() {
    let site = start_document(&reduced(SUNHAVEN, true), 1);
    for replica in site.replicas().iter() {
        replica.engine.fail_version("bad");
    }
    let load = Load::start(&site);
    publish_weights(&site, "bad");
    wait_until("a rollout halts in each data centre", || {
        halted_rollouts(&site) >= 3
    });
    wait_until("the replicas are rolled back", || {
        served_versions(&site) == only_version("2026-11")
    });
    load.stop_and_assert_no_failures();
    assert_fencing_numbers_ascend(&site);
    let loads: usize = site.weight_store.load_requests().len();
    assert_eq!(
        loads, 6,
        "one replica of each data centre loads the bad weights and the old ones again"
    );
}

cases! {
    fn rollout_completes_while_issuers_are_paused(checks_fencing: bool) {
        let site = start_document(&reduced(SUNHAVEN, checks_fencing), 2);
        publish_weights(&site, "next");
        wait_until("the rollout has started", || served_versions(&site).contains("changing"));
        // Pauses one of the two daemons in each data centre.
        let set_paused = |paused: bool| {
            for entry in site.entries().iter().step_by(2) {
                let daemon = entry.daemon.as_ref().expect("the daemon is running");
                if paused { daemon.workers.pause() } else { daemon.workers.resume() }
            }
        };
        set_paused(true);
        wait_until("the other daemons complete the rollout", || served_versions(&site) == only_version("next"));
        set_paused(false);
        let first_address = site.entries()[0].settings.callers;
        wait_until("the first daemon serves again", || {
            complete_with(first_address, "trial-front-desk", &"assistant".into(), "woken", 8)
                == End::Whole(engine::completion_text("woken", 8))
        });
        assert_fencing_numbers_ascend(&site);
    }
    with_fencing(true);
    without_fencing(false);
}
