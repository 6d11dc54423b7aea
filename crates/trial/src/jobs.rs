//! Batch load: submits jobs and verifies their results.
//!
//! A [`BatchClient`] generates jobs from a seed, submits each job twice through
//! random instances, and may cancel it. At the end it reads the results of a job
//! twice and compares them with the expected answers. Every accepted item must have
//! one correct and stable result, a failure with an error code, a due time in the
//! future, or a cancelled job. Requests are retried until a deadline.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bitterncart_protocol::api::{Batch, ResultLine};
use bitterncart_protocol::{Name, document};
use bitterncart_standin::engine;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::client::Caller;
use crate::site::{Site, key};

/// Delay between attempts of a request.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Item of a job.
#[derive(Clone, Debug)]
pub struct Item {
    /// Prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: u32,
}

/// Job from the view of its client.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id assigned on acceptance; empty before.
    pub id: String,
    /// Items by `custom_id`.
    pub items: BTreeMap<String, Item>,
    /// Whether the client cancels the job.
    pub cancel: bool,
}

/// Item counts over jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Items of accepted jobs.
    pub accepted: u64,
    /// Items with a result.
    pub finished: u64,
    /// Items that failed with an error code.
    pub failed: u64,
    /// Unfinished items whose due time is in the future.
    pub owed: u64,
    /// Items of cancelled jobs without a result.
    pub cancelled: u64,
    /// Items in none of the states above.
    pub lost: u64,
    /// Items with two results, or with a result that changed between reads.
    pub doubled: u64,
    /// Items with a wrong result, such as that of another item.
    pub wrong: u64,
}

/// Client of the batch API.
#[derive(Debug)]
pub struct BatchClient {
    site: Arc<Site>,
    client: Caller,
    rng: StdRng,
    deadline: Instant,
}

impl BatchClient {
    /// Creates a client that stops retrying at a deadline.
    #[must_use]
    pub fn new(site: Arc<Site>, seed: u64, deadline: Instant) -> Self {
        let customers = &site.document.customers;
        let customer = customers.get(1).unwrap_or(&customers[0]);
        let client = Caller::new(key(&customer.name));
        Self {
            site,
            client,
            rng: StdRng::seed_from_u64(seed ^ 2),
            deadline,
        }
    }

    /// Generates a job of `count` items, of which the first `poisoned` always fail.
    #[must_use]
    pub fn generate_job(&mut self, name: &str, count: u32, poisoned: u32, cancel: bool) -> Job {
        let items = (0..count)
            .map(|number| {
                let marker = if number < poisoned {
                    engine::POISON_MARKER
                } else {
                    ""
                };
                let prompt = format!("{name} item {number} {marker}");
                (
                    format!("{name}-{number}"),
                    Item {
                        prompt,
                        tokens: self.rng.random_range(10..60),
                    },
                )
            })
            .collect();
        Job {
            id: String::new(),
            items,
            cancel,
        }
    }

    /// Submits a job until it is accepted, then submits it again through a random
    /// instance. Returns `None` if no model serves batch jobs or the job was not
    /// accepted before the deadline, and false if the second submission created
    /// another job.
    pub async fn submit(&mut self, job: &mut Job) -> Option<bool> {
        let model = self.batch_model()?;
        let input = input_file(job, &model);
        let first = self.submit_with_retries(&input).await?;
        job.id = first.clone();
        let second = self.submit_with_retries(&input).await;
        Some(second.is_none_or(|second| second == first))
    }

    fn batch_model(&self) -> Option<Name> {
        let serves_batch = |model: &&document::Model| model.batch.is_some();
        self.site
            .document
            .models
            .iter()
            .find(serves_batch)
            .map(|model| model.name.clone())
    }

    async fn submit_with_retries(&mut self, input: &str) -> Option<String> {
        while Instant::now() < self.deadline {
            if let Some(id) = self.try_submit(input).await {
                return Some(id);
            }
            smol::Timer::after(RETRY_DELAY).await;
        }
        None
    }

    async fn try_submit(&mut self, input: &str) -> Option<String> {
        let address = self.pick_address()?;
        let (status, bytes) = self
            .client
            .post(address, "/v1/files", None, input)
            .await
            .ok()?;
        let file: serde_json::Value = serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)?;
        let create = json!({
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "1h",
        });
        let address = self.pick_address()?;
        let (status, bytes) = self
            .client
            .post(address, "/v1/batches", None, create.to_string())
            .await
            .ok()?;
        let batch: Batch = serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)?;
        Some(batch.id.to_string())
    }

    fn pick_address(&mut self) -> Option<std::net::SocketAddr> {
        let addresses = self.site.callers();
        (!addresses.is_empty()).then(|| addresses[self.rng.random_range(0..addresses.len())])
    }

    /// Cancels a job. Returns false if no attempt succeeded before the deadline.
    pub async fn cancel(&mut self, job: &Job) -> bool {
        while Instant::now() < self.deadline {
            if let Some(address) = self.pick_address() {
                let path = format!("/v1/batches/{}/cancel", job.id);
                // A job that has already ended responds with a conflict.
                if let Ok((200 | 409, _)) = self.client.post(address, &path, None, "").await {
                    return true;
                }
            }
            smol::Timer::after(RETRY_DELAY).await;
        }
        false
    }

    /// Status of a job, or `None` if it could not be read.
    pub async fn status(&mut self, job: &Job) -> Option<Batch> {
        let address = self.pick_address()?;
        let path = format!("/v1/batches/{}", job.id);
        let (status, bytes) = self.client.get(address, &path).await.ok()?;
        serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)
    }

    async fn results(&mut self, job: &Job) -> Option<Vec<ResultLine>> {
        let address = self.pick_address()?;
        let path = format!("/v1/files/output-{}/content", job.id);
        let (status, bytes) = self.client.get(address, &path).await.ok()?;
        let text = String::from_utf8(bytes).ok().filter(|_| status == 200)?;
        text.lines()
            .map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Reads status and results of a job and adds the comparison with the expected
    /// results to `totals`. All items count as lost if the results cannot be read
    /// before the deadline.
    pub async fn verify(&mut self, job: &Job, totals: &mut Totals) {
        totals.accepted += job.items.len() as u64;
        let (mut status, mut first, mut second) = (None, None, None);
        while Instant::now() < self.deadline && (first.is_none() || second.is_none()) {
            status = self.status(job).await;
            first = self.results(job).await;
            second = self.results(job).await;
            if status.is_none() || first.is_none() || second.is_none() {
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
        let (Some(status), Some(first), Some(second)) = (status, first, second) else {
            totals.lost += job.items.len() as u64;
            return;
        };
        verify_results(job, &status, &first, &second, totals);
    }
}

/// Input file of a job, as JSON lines.
fn input_file(job: &Job, model: &Name) -> String {
    let line = |(id, item): (&String, &Item)| {
        let body = json!({
            "model": model,
            "max_tokens": item.tokens,
            "messages": [{"role": "user", "content": item.prompt}],
        });
        let line =
            json!({"custom_id": id, "method": "POST", "url": "/v1/chat/completions", "body": body});
        format!("{line}\n")
    };
    job.items.iter().map(line).collect()
}

/// Adds the comparison of two reads of the results of a job to `totals`.
fn verify_results(
    job: &Job,
    status: &Batch,
    first: &[ResultLine],
    second: &[ResultLine],
    totals: &mut Totals,
) {
    let now_s = bitterncart_transport::runtime::unix_time_ms() / 1000;
    let mut first_lines: HashMap<&str, &ResultLine> = HashMap::new();
    for line in first {
        if first_lines.insert(&line.custom_id, line).is_some() {
            totals.doubled += 1;
        }
        totals.wrong += u64::from(!is_expected(job, line));
        totals.failed += u64::from(line.error.is_some());
        totals.finished += u64::from(line.response.is_some());
    }
    let mut second_counts: HashMap<&str, u32> = HashMap::new();
    for line in second {
        *second_counts.entry(&line.custom_id).or_default() += 1;
        let changed = first_lines
            .get(line.custom_id.as_str())
            .is_some_and(|before| !is_equal(before, line));
        totals.doubled += u64::from(changed);
    }
    totals.doubled += second_counts.values().filter(|count| **count > 1).count() as u64;
    let disappeared = first_lines
        .keys()
        .filter(|id| !second_counts.contains_key(*id))
        .count() as u64;
    totals.lost += disappeared;
    let missing = job
        .items
        .keys()
        .filter(|id| !first_lines.contains_key(id.as_str()))
        .count() as u64;
    match status.status.as_str() {
        "cancelled" if job.cancel => totals.cancelled += missing,
        "in_progress" if status.expires_at > now_s => totals.owed += missing,
        _ => totals.lost += missing,
    }
}

fn is_equal(a: &ResultLine, b: &ResultLine) -> bool {
    serde_json::to_value(a).ok() == serde_json::to_value(b).ok()
}

fn is_expected(job: &Job, line: &ResultLine) -> bool {
    let Some(item) = job.items.get(line.custom_id.as_str()) else {
        return false;
    };
    match &line.response {
        None => line.error.is_some(),
        Some(response) => {
            let text = response.body["choices"][0]["message"]["content"].as_str();
            text == Some(engine::completion_text(&item.prompt, item.tokens).as_str())
        }
    }
}
