//! Costs of whole daemons over loopback.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bitterncart_protocol::Document;
use bitterncart_trial::Site;
use bitterncart_trial::client::Caller;
use bitterncart_trial::site::key;
use serde_json::json;

use super::machine::{loopback_bytes, process_time, thread_time};
use super::{Point, Slope};

/// Time for a deployment to settle.
const SETTLE: Duration = Duration::from_secs(4);

/// Time of one measurement.
const MEASURE: Duration = Duration::from_secs(6);

/// Name of the daemons' threads.
const DAEMON: &str = "daemon";

pub(super) fn document(change: impl FnOnce(&mut Document)) -> Result<String, String> {
    let text = include_str!("../../../../examples/sunhaven.jsonc");
    let mut document = Document::parse(text).map_err(|_| "the example is not valid".to_owned())?;
    change(&mut document);
    serde_json::to_string(&document).map_err(|e| e.to_string())
}

/// One data centre with few replicas, so that idle costs stand out.
pub(super) fn small(document: &mut Document) {
    document.regions[0].data_centres.truncate(1);
    for model in &mut document.models {
        model.replicas.truncate(1);
        model.replicas[0].count = 1;
        model.weights = None;
    }
    for service in &mut document.services {
        service.replicas.truncate(1);
    }
    for customer in &mut document.customers {
        customer.requests_per_s = 100_000;
        customer.tokens_per_s = 10_000_000;
        customer.concurrency = 10_000;
    }
}

struct Reading {
    at: Instant,
    daemon: Duration,
    process: Duration,
    bytes: u64,
}

impl Reading {
    fn take() -> Self {
        Self {
            at: Instant::now(),
            daemon: thread_time(DAEMON),
            process: process_time(),
            bytes: loopback_bytes(),
        }
    }

    /// Milliseconds of the daemons' threads, of the process, and kilobytes, a second.
    fn since(&self) -> [f64; 3] {
        let now = Self::take();
        let seconds = now.at.duration_since(self.at).as_secs_f64();
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / seconds;
        [
            ms(now.daemon.saturating_sub(self.daemon)),
            ms(now.process.saturating_sub(self.process)),
            now.bytes.saturating_sub(self.bytes) as f64 / 1e3 / seconds,
        ]
    }
}

/// Costs of idle daemons that own a number of shards together.
fn idle(shards: u16, daemons: u32) -> Result<[f64; 3], String> {
    let text = document(|document| {
        small(document);
        document.log.shards = shards;
    })?;
    let site = Site::start(&text, daemons)?;
    thread::sleep(SETTLE);
    let reading = Reading::take();
    thread::sleep(MEASURE);
    let costs = reading.since();
    drop(site);
    Ok(costs)
}

/// Shards that one idle daemon owns.
pub(super) fn shards() -> Result<Slope, String> {
    const SIZES: [u16; 4] = [1, 8, 32, 64];
    let mut points = Vec::new();
    for size in SIZES {
        points.push(Point {
            size: size.into(),
            costs: idle(size, 1)?.into(),
        });
    }
    let costs = [
        "ms/s of the daemon's threads",
        "ms/s of the process",
        "KB/s on the wire",
    ];
    Ok(Slope::new(
        "shards",
        "shards owned by an idle daemon",
        &costs,
        points,
    ))
}

/// Idle daemons of one data centre, with one shard for each.
pub(super) fn fleet() -> Result<Slope, String> {
    const SIZES: [u16; 4] = [3, 6, 12, 24];
    let mut points = Vec::new();
    for size in SIZES {
        let each = idle(size, size.into())?.map(|cost| cost / f64::from(size));
        points.push(Point {
            size: size.into(),
            costs: each.into(),
        });
    }
    let costs = [
        "ms/s of one daemon's threads",
        "ms/s of the process for each",
        "KB/s for each",
    ];
    Ok(Slope::new(
        "fleet",
        "idle daemons with one shard each",
        &costs,
        points,
    ))
}

/// Runs `work` on some threads until the time is up and counts its results.
fn hammer(
    site: &Arc<Site>,
    threads: usize,
    work: fn(&Site, &Caller, usize, u64) -> u64,
) -> (u64, [f64; 3]) {
    let reading = Reading::take();
    let until = Instant::now() + MEASURE;
    let workers: Vec<_> = (0..threads)
        .map(|number| {
            let site = Arc::clone(site);
            thread::spawn(move || {
                let caller = Caller::new(key(&site.document.customers[0].name));
                let mut done = 0;
                let mut round = 0;
                while Instant::now() < until {
                    round += 1;
                    done += work(&site, &caller, number, round);
                }
                done
            })
        })
        .collect();
    let done = workers
        .into_iter()
        .map(|worker| worker.join().unwrap_or(0))
        .sum();
    (done, reading.since())
}

/// Keyed calls that may not be repeated.
pub(super) fn calls() -> Result<Slope, String> {
    const SIZES: [usize; 4] = [1, 4, 16, 48];
    let mut points = Vec::new();
    for threads in SIZES {
        let site = Arc::new(Site::start(&document(small)?, 1)?);
        let before = site.log.totals();
        let (done, costs) = hammer(&site, threads, call);
        let after = site.log.totals();
        let rate = done as f64 / MEASURE.as_secs_f64();
        let per_s = |n: u64| n as f64 / MEASURE.as_secs_f64();
        points.push(Point {
            size: rate,
            costs: vec![
                costs[0],
                per_s(after.appends - before.appends),
                per_s(after.bytes - before.bytes) / 1e3,
            ],
        });
    }
    let costs = ["ms/s of the daemon's threads", "appends/s", "KB/s appended"];
    Ok(Slope::new("calls", "keyed calls a second", &costs, points))
}

fn call(site: &Site, caller: &Caller, thread: usize, round: u64) -> u64 {
    let name = format!("call-{thread}-{round}");
    let body = json!({"call": name}).to_string();
    let sent = caller.post(
        site.callers()[0],
        "/services/minutes/topups",
        Some(&name),
        body,
    );
    u64::from(matches!(smol::block_on(sent), Ok((200, _))))
}

/// Tokens passed through one daemon.
pub(super) fn tokens() -> Result<Slope, String> {
    const SIZES: [usize; 4] = [2, 6, 14, 28];
    let text = document(|document| {
        small(document);
        for model in &mut document.models {
            model.replicas[0].count = 3;
        }
    })?;
    let mut points = Vec::new();
    for threads in SIZES {
        let site = Arc::new(Site::start(&text, 1)?);
        let (done, costs) = hammer(&site, threads, completion);
        let rate = done as f64 / MEASURE.as_secs_f64();
        points.push(Point {
            size: rate,
            costs: vec![costs[0], costs[2]],
        });
    }
    let costs = [
        "ms/s of the daemon's threads",
        "KB/s on the wire, both sides",
    ];
    Ok(Slope::new(
        "tokens",
        "tokens a second passed through",
        &costs,
        points,
    ))
}

fn completion(site: &Site, caller: &Caller, thread: usize, round: u64) -> u64 {
    const TOKENS: u64 = 64;
    let body = json!({
        "model": "assistant",
        "prompt": format!("slope {thread} {round}"),
        "max_tokens": TOKENS,
    });
    let (end, _) = smol::block_on(caller.stream(site.callers()[0], "/v1/completions", &body));
    if matches!(end, bitterncart_trial::client::End::Whole(_)) {
        TOKENS
    } else {
        0
    }
}
