//! Shared helpers of the integration tests: small deployments and client requests.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitterncart_protocol::{Document, Name};
use bitterncart_trial::Site;
use bitterncart_trial::client::{Caller, End};
use bitterncart_trial::jobs::{BatchClient, Job, Totals};
use serde_json::{Value, json};

const SUNHAVEN: &str = include_str!("../../../../examples/sunhaven.jsonc");

/// Timeout after which a wait fails the test; no test passes by reaching it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Starts a small deployment of the example document with a change applied: one
/// daemon in each data centre, one replica of each model, and four shards.
pub fn start(change: impl FnOnce(&mut Document)) -> Arc<Site> {
    let mut document = Document::parse(SUNHAVEN).expect("the example is valid");
    for model in &mut document.models {
        model.replicas.iter_mut().for_each(|row| row.count = 1);
        // A rollout never takes the only replica out of service, so weights are unset.
        model.weights = None;
    }
    document.log.shards = 4;
    change(&mut document);
    start_document(&document, 1)
}

/// Starts a deployment of a document with a number of daemons in each data centre.
pub fn start_document(document: &Document, daemons_per_data_centre: u32) -> Arc<Site> {
    let text = serde_json::to_string(document).expect("a document encodes");
    Arc::new(Site::start(&text, daemons_per_data_centre).expect("the deployment starts"))
}

/// Waits until a condition holds; panics with its description after the timeout.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "{description}: not within {WAIT_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Batch client that retries until the wait timeout.
pub fn batch_client(site: &Arc<Site>) -> BatchClient {
    BatchClient::new(Arc::clone(site), 7, Instant::now() + WAIT_TIMEOUT)
}

/// Submits a job twice and asserts that it is accepted as one job.
pub fn submit(client: &mut BatchClient, name: &str, items: u32, poisoned: u32) -> Job {
    let mut job = client.generate_job(name, items, poisoned, false);
    let is_one_job = smol::block_on(client.submit(&mut job));
    assert_eq!(is_one_job, Some(true), "the job is accepted as one job");
    job
}

/// Waits until a job completes, and asserts that `failed` of its items have failed
/// and all others have the expected result.
pub fn assert_completes(client: &mut BatchClient, job: &Job, failed: u64) {
    wait_until("the job completes", || {
        smol::block_on(client.status(job)).is_some_and(|batch| batch.status == "completed")
    });
    let mut totals = Totals::default();
    smol::block_on(client.verify(job, &mut totals));
    let items = job.items.len() as u64;
    assert_eq!((totals.finished, totals.failed), (items - failed, failed));
    assert_eq!((totals.lost, totals.doubled, totals.wrong), (0, 0, 0));
}

fn online_client() -> Caller {
    Caller::new("trial-front-desk".to_owned())
}

/// Sends a service call that must not run twice; returns status and JSON body.
pub fn top_up(address: SocketAddr, call: &str, idempotency_key: Option<&str>) -> (u16, Value) {
    let body = json!({"call": call}).to_string();
    let sent = smol::block_on(online_client().post(
        address,
        "/services/minutes/topups",
        idempotency_key,
        body,
    ));
    let (status, bytes) = sent.expect("the daemon responds");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Sends a streaming completion for the default model and customer.
pub fn complete(address: SocketAddr, prompt: &str, tokens: u32) -> End {
    complete_with(
        address,
        "trial-front-desk",
        &Name::from("assistant"),
        prompt,
        tokens,
    )
}

/// Sends a streaming completion for a model with a customer key.
pub fn complete_with(
    address: SocketAddr,
    api_key: &str,
    model: &Name,
    prompt: &str,
    tokens: u32,
) -> End {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
    let client = Caller::new(api_key.to_owned());
    smol::block_on(client.stream(address, "/v1/completions", &body)).0
}

/// Uploads an input file with one item; returns status and JSON body.
pub fn upload(address: SocketAddr, prompt: &str) -> (u16, Value) {
    let line = json!({
        "custom_id": "item",
        "method": "POST",
        "url": "/v1/completions",
        "body": {"model": "assistant", "prompt": prompt, "max_tokens": 8},
    });
    let batch_customer = Caller::new("trial-back-office".to_owned());
    let sent = smol::block_on(batch_customer.post(address, "/v1/files", None, line.to_string()));
    let (status, bytes) = sent.expect("the daemon responds");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Submits a job for an uploaded file; returns status and JSON body.
pub fn create_batch(address: SocketAddr, file: &Value) -> (u16, Value) {
    let create = json!({
        "input_file_id": file,
        "endpoint": "/v1/completions",
        "completion_window": "1h",
    });
    let batch_customer = Caller::new("trial-back-office".to_owned());
    let sent =
        smol::block_on(batch_customer.post(address, "/v1/batches", None, create.to_string()));
    let (status, bytes) = sent.expect("the daemon responds");
    (status, serde_json::from_slice(&bytes).unwrap_or_default())
}

/// Sum of a counter over the running daemons.
pub fn counter_sum(site: &Site, name: &str) -> u64 {
    let entries = site.entries();
    let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
    let views = daemons.map(|daemon| daemon.core.counters.snapshot());
    views.map(|view| view.get(name).copied().unwrap_or(0)).sum()
}
