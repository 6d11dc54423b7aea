//! Clients of batch jobs, and the checks of the results.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::Rng;
use rand::rngs::SmallRng;
use serde::Deserialize;
use serde_json::json;

use crate::client::draw_id;
use crate::content;
use crate::fleet::Fleet;
use crate::http::{self, Request};
use crate::verdict::Verdict;
use bitterncart_platform::wire;

/// Timeout of a call about a job.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Pause between two jobs.
const INTERVAL: Duration = Duration::from_millis(700);

/// Pause between two reads of a job.
const READ_INTERVAL: Duration = Duration::from_millis(400);

/// Items of a job.
const ITEMS: usize = 8;

/// Time in which all items have to end after the last fault or result, as the platform
/// bounds it.
pub const FINISH_TIME: Duration = Duration::from_secs(18);

/// Job that was accepted.
#[derive(Debug)]
pub struct Job {
    id: String,
    items: Vec<String>,
    results: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct Entry {
    id: String,
    state: String,
    output: String,
}

#[derive(Deserialize)]
struct Page {
    total: usize,
    results: Vec<Entry>,
}

/// Jobs of a run.
#[derive(Debug, Default)]
pub struct Jobs {
    accepted: Mutex<Vec<Job>>,
    /// Items of all jobs, and whether their job was accepted at some attempt.
    items: Mutex<HashMap<String, bool>>,
}

impl Jobs {
    /// Submits one job after the other until `is_over`.
    pub fn submit_until(
        &self,
        fleet: &Fleet,
        verdict: &Verdict,
        is_over: &AtomicBool,
        mut random: SmallRng,
    ) {
        while !is_over.load(Ordering::SeqCst) {
            self.submit(fleet, verdict, &mut random);
            thread::sleep(INTERVAL);
        }
    }

    fn submit(&self, fleet: &Fleet, verdict: &Verdict, random: &mut SmallRng) {
        let id = draw_id(random);
        let items: Vec<String> = (0..ITEMS).map(|_| draw_id(random)).collect();
        let encoded = items.iter().map(|item| {
            json!({
                "id": item, "path": format!("{}run/{item}", wire::BATCH_PREFIX),
                "headers": {
                    "Model": "m", "Token-Counts": "540,400",
                    "Prompt-Prefix": format!("9c2e41:300,{item}:240"),
                },
                "body": STANDARD.encode(format!("body of {item}")), "tokens": 940,
            })
        });
        let body = json!({"items": encoded.collect::<Vec<_>>()}).to_string();
        let request = Request {
            method: "POST".into(),
            target: format!("{}{id}", wire::BATCH_PREFIX),
            headers: http::headers(&[
                ("Host", wire::HOST),
                (wire::ATTEMPT, &id),
                (wire::CREDENTIALS, wire::CUSTOMER_CREDENTIALS),
                ("Content-Type", "application/json"),
            ]),
            body: body.into_bytes(),
        };
        let mut is_refused = true;
        for _ in 0..3 {
            let daemon = fleet.balance(random.random());
            let address = fleet.daemons[daemon].addresses.clients;
            let answer = http::call(address, &request, TIMEOUT);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            verdict.count(&format!("Job: {status}"));
            verdict.note(&format!("job {id} daemon {daemon}: {status}"));
            is_refused &= matches!(status, 429 | 503 | 408 | 421);
            if status == 202 {
                let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
                accepted.push(Job {
                    id,
                    items: items.clone(),
                    results: Vec::new(),
                });
                break;
            }
            thread::sleep(READ_INTERVAL);
        }
        let mut all = self.items.lock().unwrap_or_else(PoisonError::into_inner);
        all.extend(items.into_iter().map(|item| (item, !is_refused)));
    }

    /// Reads results until `is_over`, and checks them.
    pub fn read_until(
        &self,
        fleet: &Fleet,
        verdict: &Verdict,
        is_over: &AtomicBool,
        mut random: SmallRng,
    ) {
        loop {
            let count = self.lock().len();
            for n in 0..count {
                let (id, known, total) = {
                    let jobs = self.lock();
                    let job = &jobs[n];
                    (job.id.clone(), job.results.len(), job.items.len())
                };
                let is_whole = known == total;
                // Results that are known are read again now and then.
                if is_whole && random.random_range(0..20) > 0 {
                    continue;
                }
                let after = if random.random_range(0..8) == 0 {
                    0
                } else {
                    known
                };
                self.read(fleet, verdict, (n, &id, after), &mut random);
            }
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(READ_INTERVAL);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Job>> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether all items of all jobs have ended.
    #[must_use]
    pub fn are_finished(&self) -> bool {
        let jobs = self.lock();
        jobs.iter().all(|job| job.results.len() == job.items.len())
    }

    /// Number of results that were read.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.lock().iter().map(|job| job.results.len()).sum()
    }

    fn read(
        &self,
        fleet: &Fleet,
        verdict: &Verdict,
        (n, id, after): (usize, &str, usize),
        random: &mut SmallRng,
    ) {
        let daemon = fleet.balance(random.random());
        let request = Request {
            method: "GET".into(),
            target: wire::results_path(id, after),
            headers: http::headers(&[
                ("Host", wire::HOST),
                (wire::CREDENTIALS, wire::CUSTOMER_CREDENTIALS),
            ]),
            body: Vec::new(),
        };
        let address = fleet.daemons[daemon].addresses.clients;
        let Ok(answer) = http::call(address, &request, TIMEOUT) else {
            return verdict.count("Results: no answer");
        };
        verdict.count(&format!("Results: {}", answer.status));
        if answer.status != 200 || !answer.is_complete {
            return;
        }
        let page: Page = match serde_json::from_slice(&answer.body) {
            Ok(page) => page,
            Err(e) => return verdict.broken("results readable", id, e.to_string()),
        };
        let mut jobs = self.lock();
        let job = &mut jobs[n];
        if page.total != job.items.len() {
            let seen = format!(
                "total is {}, {} items were sent",
                page.total,
                job.items.len()
            );
            verdict.broken("whole job", id, seen);
        }
        for (position, entry) in page.results.into_iter().enumerate() {
            let position = after + position;
            match job.results.get(position) {
                Some(known) if *known != entry => {
                    let seen = format!("position {position} held {known:?} and holds {entry:?}");
                    verdict.broken("results stay", id, seen);
                }
                Some(_) => {}
                None if position == job.results.len() => {
                    job.check(&entry, verdict);
                    job.results.push(entry);
                }
                None => {}
            }
        }
    }

    /// Checks items against the replicas' records: how often each failed, and whether
    /// items of refused jobs ran.
    pub fn check(&self, verdict: &Verdict, runs: &HashMap<String, crate::runs::Runs>) {
        let jobs = self.lock();
        for job in jobs.iter() {
            for entry in &job.results {
                let failed = runs.get(&entry.id).map_or(0, |runs| runs.failed);
                if entry.state == "dead_letter" && failed < wire::MAX_ATTEMPTS {
                    let seen = format!("given up after {failed} failed runs");
                    verdict.broken("items get their attempts", &entry.id, seen);
                }
                verdict.count(&format!("Item: {}", entry.state));
            }
            let missing = job.items.len() - job.results.len();
            if missing > 0 {
                let seen = format!(
                    "{missing} items have not ended, and no result came for {FINISH_TIME:?}"
                );
                verdict.broken("items end", &job.id, seen);
            }
        }
        let items = self.items.lock().unwrap_or_else(PoisonError::into_inner);
        for (item, is_allowed) in items.iter() {
            if !is_allowed && runs.get(item).is_some_and(|runs| runs.started > 0) {
                let seen = "ran though its job was refused at every attempt".to_owned();
                verdict.broken("refused is not run", item, seen);
            }
        }
    }

    /// Whether an item was sent.
    #[must_use]
    pub fn has_item(&self, id: &str) -> bool {
        let items = self.items.lock().unwrap_or_else(PoisonError::into_inner);
        items.contains_key(id)
    }
}

impl Job {
    fn check(&self, entry: &Entry, verdict: &Verdict) {
        if !self.items.contains(&entry.id) {
            let seen = format!("job {} lists it, and does not hold it", self.id);
            verdict.broken("own items", &entry.id, seen);
        }
        if self.results.iter().any(|known| known.id == entry.id) {
            let seen = format!("job {} lists it twice", self.id);
            verdict.broken("one result", &entry.id, seen);
        }
        let version = content::version(&entry.output).unwrap_or_default();
        let whole = content::output(&entry.id, version);
        if entry.state == "completed" && entry.output != whole {
            let lines = entry.output.lines().count();
            let seen = format!("completed with {lines} events: {:.120?}", entry.output);
            verdict.broken("item whole", &entry.id, seen);
        }
    }
}
