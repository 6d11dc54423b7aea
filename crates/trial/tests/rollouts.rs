//! Changes of weights: they come up, halt, go back, and harm no request.

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
use support::{complete_with, counted, start_document, wait_until};

const SUNHAVEN: &str = include_str!("../../../examples/sunhaven.jsonc");
const SAVANNAH: &str = include_str!("../../../examples/savannah.jsonc");

/// Callers at once.
const CALLERS: u32 = 4;

/// Document as stated, but for times that suit a test.
fn whole(text: &str) -> Document {
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

/// Two replicas in each data centre, of which one serves at all times.
fn small(text: &str, checks: bool) -> Document {
    let mut document = whole(text);
    for model in &mut document.models {
        let changes = model.weights.is_some();
        let count = if changes { 2 } else { 1 };
        model.replicas.iter_mut().for_each(|row| row.count = count);
        model.checks_fencing = checks;
        model.rollout.min_up = 1;
    }
    document.log.shards = 2;
    document
}

fn publish(site: &Site, version: &str) {
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
    assert_eq!(posted.expect("the daemon answers").0, 200);
}

/// Online callers that go on until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    whole: Arc<AtomicU32>,
    callers: Vec<JoinHandle<Vec<End>>>,
}

impl Load {
    fn start(site: &Arc<Site>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let whole = Arc::new(AtomicU32::new(0));
        let callers = (0..CALLERS).map(|number| {
            let (site, stop, whole) = (Arc::clone(site), Arc::clone(&stop), Arc::clone(&whole));
            thread::spawn(move || call(&site, number, &stop, &whole))
        });
        Self {
            callers: callers.collect(),
            stop,
            whole,
        }
    }

    /// Ends the callers; every answer was whole.
    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            let broken = caller.join().expect("no panic");
            assert_eq!(broken, [], "requests were harmed");
        }
        assert!(self.whole.load(Ordering::Relaxed) > CALLERS);
    }
}

/// Sends requests one after another and returns those that were not whole.
fn call(site: &Site, number: u32, stop: &AtomicBool, whole: &AtomicU32) -> Vec<End> {
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
    let key = format!("trial-{}", site.document.customers[0].name);
    let mut broken = Vec::new();
    for request in 0.. {
        if stop.load(Ordering::Relaxed) {
            return broken;
        }
        let callers = site.callers();
        let to = callers[(number + request) as usize % callers.len()];
        let prompt = format!("caller {number} request {request}");
        let end = complete_with(to, &key, &model, &prompt, 12);
        if end == End::Whole(engine::completion_text(&prompt, 12)) {
            whole.fetch_add(1, Ordering::Relaxed);
        } else {
            broken.push(end);
        }
    }
    broken
}

/// Versions of the engines that serve.
fn versions(site: &Site) -> BTreeSet<String> {
    let replicas = site.replicas();
    let placed = replicas.iter().map(|replica| replica.engine.placement());
    let versions = placed.filter_map(|placed| {
        let weights = placed.weights?;
        let settled = placed.role == Role::Serving && !placed.loading;
        Some(if settled {
            weights.version.to_string()
        } else {
            "changing".to_owned()
        })
    });
    versions.collect()
}

fn only(version: &str) -> BTreeSet<String> {
    BTreeSet::from([version.to_owned()])
}

/// No engine took an order of an earlier issuer after one of a later.
fn orders_are_in_order(site: &Site) {
    for replica in site.replicas().iter() {
        let orders = replica.engine.orders();
        let fencing: Vec<u64> = orders.iter().map(|order| order.fencing).collect();
        assert!(fencing.is_sorted(), "{}: {fencing:?}", replica.name);
    }
}

fn halted(site: &Site) -> u64 {
    counted(site, "rollout.halted")
}

cases! {
    fn new_weights_come_up_and_harm_no_request(document: &Document) {
        let site = start_document(document, 1);
        let load = Load::start(&site);
        publish(&site, "next");
        wait_until("all replicas run the new weights", || versions(&site) == only("next"));
        load.end();
        orders_are_in_order(&site);
    }
    sunhaven_as_stated(&whole(SUNHAVEN));
    savannah_as_stated(&whole(SAVANNAH));
    sunhaven_with_fencing(&small(SUNHAVEN, true));
    sunhaven_without_fencing(&small(SUNHAVEN, false));
    savannah_with_fencing(&small(SAVANNAH, true));
}

#[test]
fn bad_weights_halt_and_go_back() {
    let site = start_document(&small(SUNHAVEN, true), 1);
    for replica in site.replicas().iter() {
        replica.engine.fail_version("bad");
    }
    let load = Load::start(&site);
    publish(&site, "bad");
    wait_until("a rollout halts in each data centre", || halted(&site) >= 3);
    wait_until("the replicas are back", || {
        versions(&site) == only("2026-11")
    });
    load.end();
    orders_are_in_order(&site);
    let bad: usize = site.store.load_requests().len();
    assert_eq!(
        bad, 6,
        "one replica of each data centre went there and back"
    );
}

cases! {
    fn issuers_are_lost_during_a_rollout(checks: bool) {
        let site = start_document(&small(SUNHAVEN, checks), 2);
        publish(&site, "next");
        wait_until("the rollout has begun", || versions(&site).contains("changing"));
        // In each data centre one of the two daemons is held still.
        let pause = |on: bool| {
            for entry in site.entries().iter().step_by(2) {
                let daemon = entry.daemon.as_ref().expect("it lives");
                if on { daemon.workers.pause() } else { daemon.workers.resume() }
            }
        };
        pause(true);
        wait_until("the others go on", || versions(&site) == only("next"));
        pause(false);
        let first = site.entries()[0].settings.callers;
        wait_until("the first daemon serves again", || {
            complete_with(first, "trial-front-desk", &"assistant".into(), "woken", 8)
                == End::Whole(engine::completion_text("woken", 8))
        });
        orders_are_in_order(&site);
    }
    with_fencing(true);
    without_fencing(false);
}
