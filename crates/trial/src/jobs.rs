//! Batch callers: they send jobs, send them again, and read the results back.

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

/// Time between two tries of a batch caller.
const RETRY: Duration = Duration::from_millis(300);

/// Item that its caller expects a result for.
#[derive(Clone, Debug)]
pub struct Item {
    /// Prompt.
    pub prompt: String,
    /// Tokens.
    pub tokens: u32,
}

/// Job as its caller holds it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id, once it was accepted.
    pub id: String,
    /// Items by the caller's name.
    pub items: BTreeMap<String, Item>,
    /// Whether the caller cancels it.
    pub cancel: bool,
}

/// Totals over jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Items accepted.
    pub accepted: u64,
    /// With a result.
    pub finished: u64,
    /// With a numbered failure.
    pub failed: u64,
    /// Not ended, due time ahead.
    pub owed: u64,
    /// Of cancelled jobs, without a result.
    pub cancelled: u64,
    /// Neither.
    pub lost: u64,
    /// Two results, or one that changed.
    pub doubled: u64,
    /// Another item's result.
    pub wrong: u64,
}

/// Batch caller.
#[derive(Debug)]
pub struct Sender {
    site: Arc<Site>,
    caller: Caller,
    rng: StdRng,
    until: Instant,
}

impl Sender {
    /// Caller that gives up at a time.
    #[must_use]
    pub fn new(site: Arc<Site>, seed: u64, until: Instant) -> Self {
        let customers = &site.document.customers;
        let customer = customers.get(1).unwrap_or(&customers[0]);
        let caller = Caller::new(key(&customer.name));
        Self {
            site,
            caller,
            rng: StdRng::seed_from_u64(seed ^ 2),
            until,
        }
    }

    /// Makes a job of a number of items; a few can never be completed.
    #[must_use]
    pub fn plan(&mut self, name: &str, count: u32, poisoned: u32, cancel: bool) -> Job {
        let items = (0..count)
            .map(|number| {
                let poison = if number < poisoned {
                    engine::POISON_MARKER
                } else {
                    ""
                };
                let prompt = format!("{name} item {number} {poison}");
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

    /// Sends a job until it is accepted, and then once more through another
    /// instance; returns whether it was accepted and stayed one job.
    pub async fn submit(&mut self, job: &mut Job) -> Option<bool> {
        let model = self.batch_model()?;
        let input = input(job, &model);
        let first = self.send(&input).await?;
        job.id = first.clone();
        let second = self.send(&input).await;
        Some(second.is_none_or(|second| second == first))
    }

    fn batch_model(&self) -> Option<Name> {
        let takes = |model: &&document::Model| model.batch.is_some();
        self.site
            .document
            .models
            .iter()
            .find(takes)
            .map(|model| model.name.clone())
    }

    async fn send(&mut self, input: &str) -> Option<String> {
        while Instant::now() < self.until {
            if let Some(id) = self.try_send(input).await {
                return Some(id);
            }
            smol::Timer::after(RETRY).await;
        }
        None
    }

    async fn try_send(&mut self, input: &str) -> Option<String> {
        let to = self.pick()?;
        let (status, bytes) = self.caller.post(to, "/v1/files", None, input).await.ok()?;
        let file: serde_json::Value = serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)?;
        let create = json!({
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "1h",
        });
        let to = self.pick()?;
        let (status, bytes) = self
            .caller
            .post(to, "/v1/batches", None, create.to_string())
            .await
            .ok()?;
        let batch: Batch = serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)?;
        Some(batch.id.to_string())
    }

    fn pick(&mut self) -> Option<std::net::SocketAddr> {
        let callers = self.site.callers();
        (!callers.is_empty()).then(|| callers[self.rng.random_range(0..callers.len())])
    }

    /// Cancels a job.
    pub async fn cancel(&mut self, job: &Job) -> bool {
        while Instant::now() < self.until {
            if let Some(to) = self.pick() {
                let path = format!("/v1/batches/{}/cancel", job.id);
                // A job that has ended answers with a conflict.
                if let Ok((200 | 409, _)) = self.caller.post(to, &path, None, "").await {
                    return true;
                }
            }
            smol::Timer::after(RETRY).await;
        }
        false
    }

    /// Status of a job.
    pub async fn status(&mut self, job: &Job) -> Option<Batch> {
        let to = self.pick()?;
        let path = format!("/v1/batches/{}", job.id);
        let (status, bytes) = self.caller.get(to, &path).await.ok()?;
        serde_json::from_slice(&bytes)
            .ok()
            .filter(|_| status == 200)
    }

    async fn results(&mut self, job: &Job) -> Option<Vec<ResultLine>> {
        let to = self.pick()?;
        let path = format!("/v1/files/output-{}/content", job.id);
        let (status, bytes) = self.caller.get(to, &path).await.ok()?;
        let text = String::from_utf8(bytes).ok().filter(|_| status == 200)?;
        text.lines()
            .map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Compares what the caller holds of a job with what it was promised.
    pub async fn check(&mut self, job: &Job, totals: &mut Totals) {
        totals.accepted += job.items.len() as u64;
        let (mut status, mut first, mut second) = (None, None, None);
        while Instant::now() < self.until && (first.is_none() || second.is_none()) {
            status = self.status(job).await;
            first = self.results(job).await;
            second = self.results(job).await;
            if status.is_none() || first.is_none() || second.is_none() {
                smol::Timer::after(RETRY).await;
            }
        }
        let (Some(status), Some(first), Some(second)) = (status, first, second) else {
            totals.lost += job.items.len() as u64;
            return;
        };
        compare(job, &status, &first, &second, totals);
    }
}

fn input(job: &Job, model: &Name) -> String {
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

fn compare(
    job: &Job,
    status: &Batch,
    first: &[ResultLine],
    second: &[ResultLine],
    totals: &mut Totals,
) {
    let now_s = bitterncart_transport::runtime::wall_ms() / 1000;
    let mut seen: HashMap<&str, &ResultLine> = HashMap::new();
    for line in first {
        if seen.insert(&line.custom_id, line).is_some() {
            totals.doubled += 1;
        }
        totals.wrong += u64::from(!is_right(job, line));
        totals.failed += u64::from(line.error.is_some());
        totals.finished += u64::from(line.response.is_some());
    }
    let mut again: HashMap<&str, u32> = HashMap::new();
    for line in second {
        *again.entry(&line.custom_id).or_default() += 1;
        let changed = seen
            .get(line.custom_id.as_str())
            .is_some_and(|before| !same(before, line));
        totals.doubled += u64::from(changed);
    }
    totals.doubled += again.values().filter(|count| **count > 1).count() as u64;
    let gone = seen.keys().filter(|id| !again.contains_key(*id)).count() as u64;
    totals.lost += gone;
    let missing = job
        .items
        .keys()
        .filter(|id| !seen.contains_key(id.as_str()))
        .count() as u64;
    match status.status.as_str() {
        "cancelled" if job.cancel => totals.cancelled += missing,
        "in_progress" if status.expires_at > now_s => totals.owed += missing,
        _ => totals.lost += missing,
    }
}

fn same(a: &ResultLine, b: &ResultLine) -> bool {
    serde_json::to_value(a).ok() == serde_json::to_value(b).ok()
}

fn is_right(job: &Job, line: &ResultLine) -> bool {
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
