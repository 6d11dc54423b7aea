//! Costs of whole deployments over loopback.
//!
//! Starts a site of daemons and stand-ins in this process and measures the
//! processor time of the daemons' threads and of the process, and the bytes on
//! the loopback device. Idle costs are measured by the numbers of shards and
//! daemons, load costs by the rate of keyed calls and of tokens.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bitterncart_protocol::Document;
use bitterncart_trial::Site;
use bitterncart_trial::client::Caller;
use bitterncart_trial::site::key;
use serde_json::json;

use super::resources::{loopback_bytes, process_time, thread_time};
use super::{Point, Slope};

/// Time before a measurement for a started deployment to become idle.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Duration of one measurement.
const MEASUREMENT: Duration = Duration::from_secs(6);

/// Name of the daemons' threads.
const DAEMON_THREADS: &str = "daemon";

/// Example document with a change, as text.
pub(super) fn site_document(change: impl FnOnce(&mut Document)) -> Result<String, String> {
    let text = include_str!("../../../../examples/sunhaven.jsonc");
    let mut document =
        Document::parse(text).map_err(|_| "the example document is not valid".to_owned())?;
    change(&mut document);
    serde_json::to_string(&document).map_err(|e| e.to_string())
}

/// Reduces a document to one data centre with one replica of each model, so that the idle costs
/// of the daemons dominate, and raises the limits of the customers above the
/// measured loads.
pub(super) fn minimal_site(document: &mut Document) {
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

/// Cumulative resource use at a point in time.
struct Reading {
    at: Instant,
    daemon_time: Duration,
    process_time: Duration,
    loopback_bytes: u64,
}

impl Reading {
    fn now() -> Self {
        Self {
            at: Instant::now(),
            daemon_time: thread_time(DAEMON_THREADS),
            process_time: process_time(),
            loopback_bytes: loopback_bytes(),
        }
    }

    /// Use per second since this reading: milliseconds of the daemons' threads,
    /// milliseconds of the process, and kilobytes on the loopback device.
    fn since(&self) -> [f64; 3] {
        let now = Self::now();
        let seconds = now.at.duration_since(self.at).as_secs_f64();
        let ms = |time: Duration| time.as_secs_f64() * 1e3 / seconds;
        [
            ms(now.daemon_time.saturating_sub(self.daemon_time)),
            ms(now.process_time.saturating_sub(self.process_time)),
            now.loopback_bytes.saturating_sub(self.loopback_bytes) as f64 / 1e3 / seconds,
        ]
    }
}

/// Costs per second of idle daemons that together own a number of shards.
fn idle_costs(shards: u16, daemons: u32) -> Result<[f64; 3], String> {
    let text = site_document(|document| {
        minimal_site(document);
        document.log.shards = shards;
    })?;
    let site = Site::start(&text, daemons)?;
    thread::sleep(SETTLE_TIME);
    let reading = Reading::now();
    thread::sleep(MEASUREMENT);
    let costs = reading.since();
    drop(site);
    Ok(costs)
}

/// Costs of one idle daemon by the number of shards that it owns.
pub(super) fn shards() -> Result<Slope, String> {
    const SIZES: [u16; 4] = [1, 8, 32, 64];
    let mut points = Vec::new();
    for size in SIZES {
        points.push(Point {
            size: size.into(),
            costs: idle_costs(size, 1)?.into(),
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

/// Costs of each idle daemon by the number of daemons in a data centre, with one
/// shard for each.
pub(super) fn fleet() -> Result<Slope, String> {
    const SIZES: [u16; 4] = [3, 6, 12, 24];
    let mut points = Vec::new();
    for size in SIZES {
        let each = idle_costs(size, size.into())?.map(|cost| cost / f64::from(size));
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

/// Repeats `work` on a number of threads for the duration of a measurement; returns
/// the sum of its results and the costs per second.
fn run_load(
    site: &Arc<Site>,
    threads: usize,
    work: fn(&Site, &Caller, usize, u64) -> u64,
) -> (u64, [f64; 3]) {
    let reading = Reading::now();
    let until = Instant::now() + MEASUREMENT;
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

/// Costs of a daemon by the rate of keyed calls, which must not run twice.
pub(super) fn calls() -> Result<Slope, String> {
    const SIZES: [usize; 4] = [1, 4, 16, 48];
    let mut points = Vec::new();
    for threads in SIZES {
        let site = Arc::new(Site::start(&site_document(minimal_site)?, 1)?);
        let before = site.log.totals();
        let (done, costs) = run_load(&site, threads, call);
        let after = site.log.totals();
        let rate = done as f64 / MEASUREMENT.as_secs_f64();
        let per_s = |n: u64| n as f64 / MEASUREMENT.as_secs_f64();
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

/// Sends a keyed call; returns 1 if it is answered.
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

/// Costs of a daemon by the rate of tokens that it forwards.
pub(super) fn tokens() -> Result<Slope, String> {
    const SIZES: [usize; 4] = [2, 6, 14, 28];
    let text = site_document(|document| {
        minimal_site(document);
        for model in &mut document.models {
            model.replicas[0].count = 3;
        }
    })?;
    let mut points = Vec::new();
    for threads in SIZES {
        let site = Arc::new(Site::start(&text, 1)?);
        let (done, costs) = run_load(&site, threads, completion);
        let rate = done as f64 / MEASUREMENT.as_secs_f64();
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

/// Streams a completion; returns its number of tokens, or 0 if it is cut off.
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
