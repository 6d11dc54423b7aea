//! Small deployments and what their callers do.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitterncart_protocol::{Document, Name};
use bitterncart_trial::Site;
use bitterncart_trial::client::{Caller, End};
use bitterncart_trial::jobs::{Job, Sender, Totals};
use serde_json::{Value, json};

const SUNHAVEN: &str = include_str!("../../../../examples/sunhaven.jsonc");

/// Time after which a test is given up; no test passes because of it.
const GIVE_UP: Duration = Duration::from_secs(90);

/// Small deployment of a changed example document, one daemon in each data centre.
pub fn start(change: impl FnOnce(&mut Document)) -> Arc<Site> {
    let mut document = Document::parse(SUNHAVEN).expect("the example is valid");
    for model in &mut document.models {
        model.replicas.iter_mut().for_each(|row| row.count = 1);
        // A single replica is never given away, so it has no weights to change.
        model.weights = None;
    }
    document.log.shards = 4;
    change(&mut document);
    start_document(&document, 1)
}

/// Deployment of a document with a number of daemons in each data centre.
pub fn start_document(document: &Document, daemons: u32) -> Arc<Site> {
    let text = serde_json::to_string(document).expect("a document encodes");
    Arc::new(Site::start(&text, daemons).expect("the deployment starts"))
}

/// Waits until something holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + GIVE_UP;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not within {GIVE_UP:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Batch caller.
pub fn sender(site: &Arc<Site>) -> Sender {
    Sender::new(Arc::clone(site), 7, Instant::now() + GIVE_UP)
}

/// Job that was accepted.
pub fn submit(sender: &mut Sender, name: &str, items: u32, poisoned: u32) -> Job {
    let mut job = sender.plan(name, items, poisoned, false);
    let one = smol::block_on(sender.submit(&mut job));
    assert_eq!(one, Some(true), "the job is accepted and stays one job");
    job
}

/// Waits for a job's end and checks every item's result.
pub fn finishes(sender: &mut Sender, job: &Job, failed: u64) {
    wait_until("the job ends", || {
        smol::block_on(sender.status(job)).is_some_and(|batch| batch.status == "completed")
    });
    let mut totals = Totals::default();
    smol::block_on(sender.check(job, &mut totals));
    let items = job.items.len() as u64;
    assert_eq!((totals.finished, totals.failed), (items - failed, failed));
    assert_eq!((totals.lost, totals.doubled, totals.wrong), (0, 0, 0));
}

fn caller() -> Caller {
    Caller::new("trial-front-desk".to_owned())
}

/// Sends a call that may not be repeated.
pub fn top_up(to: SocketAddr, call: &str, key: Option<&str>) -> (u16, Value) {
    let body = json!({"call": call}).to_string();
    let sent = smol::block_on(caller().post(to, "/services/minutes/topups", key, body));
    let (status, bytes) = sent.expect("the daemon answers");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Sends a completion and reads its stream.
pub fn complete(to: SocketAddr, prompt: &str, tokens: u32) -> End {
    complete_with(
        to,
        "trial-front-desk",
        &Name::from("assistant"),
        prompt,
        tokens,
    )
}

/// Sends a completion of a customer for a model and reads its stream.
pub fn complete_with(to: SocketAddr, key: &str, model: &Name, prompt: &str, tokens: u32) -> End {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
    let caller = Caller::new(key.to_owned());
    smol::block_on(caller.stream(to, "/v1/completions", &body)).0
}

/// Sends a file of one item.
pub fn upload(to: SocketAddr, prompt: &str) -> (u16, Value) {
    let line = json!({
        "custom_id": "item",
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": "assistant", "prompt": prompt, "max_tokens": 8},
    });
    let back_office = Caller::new("trial-back-office".to_owned());
    let sent = smol::block_on(back_office.post(to, "/v1/files", None, line.to_string()));
    let (status, bytes) = sent.expect("the daemon answers");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Submits a job over a file.
pub fn create_batch(to: SocketAddr, file: &Value) -> (u16, Value) {
    let create = json!({
        "input_file_id": file,
        "endpoint": "/v1/completions",
        "completion_window": "1h",
    });
    let back_office = Caller::new("trial-back-office".to_owned());
    let sent = smol::block_on(back_office.post(to, "/v1/batches", None, create.to_string()));
    let (status, bytes) = sent.expect("the daemon answers");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Counter of a name in sum over the daemons that live.
pub fn counted(site: &Site, name: &str) -> u64 {
    let entries = site.entries();
    let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
    let views = daemons.map(|daemon| daemon.core.counters.snapshot());
    views.map(|view| view.get(name).copied().unwrap_or(0)).sum()
}
