//! Structured log lines of the daemon.
//!
//! There is one line for each decision about a request and for each change of
//! the state that the daemon acts on. Lines about single requests are subject to
//! a rate limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bitterncart_coordination::fleet::links::{Change, Check};
use bitterncart_coordination::fleet::pool::Selection;
use bitterncart_coordination::fleet::quarantine::{Subject, Suspect, Verdict};
use bitterncart_coordination::fleet::replica::Process;
use bitterncart_coordination::fleet::streams::Answer;
use bitterncart_coordination::fleet::{Build, Decision, Outcome, Profile, Route};
use bitterncart_coordination::fleet::{capacity, token_quota};
use bitterncart_protocol::Code;
use bitterncart_state::ledger::Record;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{Sink, StdStreamSink};
use spdlog::{info, warn};

use crate::answer::Summary;
use crate::clock;
use crate::connection::Error;
use crate::store::Failure;

/// Rate limit of the lines about requests.
mod rate_limit {
    use std::sync::atomic::{AtomicU64, Ordering};

    use spdlog::warn;

    use crate::clock;

    /// Maximum number of lines about requests in one second.
    const MAX_LINES_PER_S: u64 = 100;

    static SECOND: AtomicU64 = AtomicU64::new(0);
    static WRITTEN: AtomicU64 = AtomicU64::new(0);

    /// Whether another line may be written now. The number of dropped lines is
    /// logged in a later second.
    pub(super) fn try_acquire() -> bool {
        let second = clock::now().as_secs();
        if SECOND.swap(second, Ordering::Relaxed) != second {
            let left_out = WRITTEN
                .swap(0, Ordering::Relaxed)
                .saturating_sub(MAX_LINES_PER_S);
            if left_out > 0 {
                warn!("request log lines dropped by the rate limit", kv: { left_out });
            }
        }
        WRITTEN.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_S
    }
}

/// Writes log lines to standard output as JSON.
pub fn init_stdout() {
    let sink = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build();
    let Ok(sink) = sink else { return };
    let logger = spdlog::default_logger().fork_with(|logger| {
        *logger.sinks_mut() = vec![Arc::new(sink) as Arc<dyn Sink>];
        Ok(())
    });
    if let Ok(logger) = logger {
        logger.set_flush_level_filter(spdlog::LevelFilter::All);
        spdlog::set_default_logger(logger);
    }
}

/// Logs that reloaded settings were rejected.
pub fn settings_rejected(problems: &str) {
    warn!("settings rejected; those in force are kept", kv: { problems });
}

pub(crate) fn settings_reloaded(restart_only: &[&str]) {
    info!("settings read again", kv: { until_restart:? = restart_only });
}

pub(crate) fn attempt_failed(
    id: &str,
    route: &Route,
    selection: &Selection,
    outcome: Outcome,
    decision: Decision,
    remaining: Duration,
    profile: &Profile,
) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (outcome, left_ms) = (outcome.name(), remaining.as_millis() as u64);
    let (replica, version) = (selection.id.as_str(), version(selection));
    let parts = join(&profile.shared_parts);
    let fingerprint = profile.fingerprint.to_string();
    info!("attempt failed", kv: {
        request = id, route = route.name.as_str(), replica, version, outcome, then:? = decision,
        left_ms,
        parts = parts.as_str(), fingerprint = fingerprint.as_str()
    });
}

/// A connection was refused or closed as a bound was met.
/// At most one line a second is written, apart from those about requests, as a crowd of clients
/// would take their place; the metrics count all.
pub(crate) fn connection_closed(endpoint: &str, why: &str) {
    static SECOND: AtomicU64 = AtomicU64::new(u64::MAX);
    let second = clock::now().as_secs();
    if SECOND.swap(second, Ordering::Relaxed) == second {
        return;
    }
    info!("connection closed at a bound", kv: { endpoint, why });
}

/// `suspects` are subjects of the requests that had not been answered for long.
pub(crate) fn replica_ended(
    process: &Process,
    requests: usize,
    suspects: &[Suspect],
    broken_for: Duration,
) {
    let (replica, born_ms) = (process.id.as_str(), process.born_ms);
    let broken_ms = broken_for.as_millis() as u64;
    let (mut parts, mut fingerprints) = (Vec::new(), Vec::new());
    for suspect in suspects {
        match suspect.subject {
            Subject::Request(fingerprint) => fingerprints.push(fingerprint),
            Subject::Part(part) => parts.push(part),
        }
    }
    let (parts, fingerprints) = (join(&parts), join(&fingerprints));
    warn!("process of a replica ended under requests", kv: {
        replica, born_ms, requests, parts = parts.as_str(), fingerprints = fingerprints.as_str(),
        broken_ms
    });
}

/// Texts of several ids, separated by commas.
fn join(ids: &[impl ToString]) -> String {
    let texts: Vec<String> = ids.iter().map(ToString::to_string).collect();
    texts.join(",")
}

/// Software version of a replica; `?` if it is not known.
fn version(selection: &Selection) -> &str {
    selection.version.as_deref().unwrap_or("?")
}

/// A stream continues at another replica after an event.
pub(crate) fn stream_resumed(id: &str, selection: &Selection, last_event_id: u64) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (replica, version) = (selection.id.as_str(), version(selection));
    info!("stream continues", kv: { request = id, replica, version, last_event_id });
}

/// A client takes up a stream after an event; `build` is the one that began it.
pub(crate) fn stream_taken_up(
    id: &str,
    first_attempt: &str,
    last_event_id: u64,
    build: Option<&Build>,
) {
    if !rate_limit::try_acquire() {
        return;
    }
    let build = build.map_or_else(|| "?".into(), Build::to_string);
    info!("client takes up a stream", kv: {
        request = id, first_attempt, last_event_id, build = build.as_str()
    });
}

/// The learned capacity of a replica has changed by a quarter.
pub(crate) fn capacity_changed(replica: &str, change: &capacity::Change) {
    if !rate_limit::try_acquire() {
        return;
    }
    info!("capacity of a replica changed", kv: {
        replica, old = change.old, new = change.new, samples = change.samples
    });
}

pub(crate) fn stream_without_record(own: &Answer, others: &[Answer], build: Option<&Build>) {
    if !rate_limit::try_acquire() {
        return;
    }
    let build = build.map_or_else(|| "?".into(), Build::to_string);
    info!("no daemon has a record of a stream", kv: {
        own:? = own, others:? = others, build = build.as_str()
    });
}

/// Durations of an answered request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// Time spent on acquiring slots.
    pub slot_wait: Duration,
    /// Time from the arrival to the first event or the complete response.
    pub first: Duration,
    /// Time from the arrival to the end of the response.
    pub total: Duration,
}

pub(crate) fn request_answered(
    id: &str,
    route: &str,
    selection: &Selection,
    times: &Times,
    summary: Summary,
) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (replica, own, peers) = (selection.id.as_str(), selection.own, selection.peers);
    let version = version(selection);
    let [waited_ms, first_ms, total_ms] =
        [times.slot_wait, times.first, times.total].map(|time| time.as_millis() as u64);
    let (framing, last_event_id) = (summary.framing.name(), summary.last_event_id);
    info!("request answered", kv: {
        request = id, route, replica, version, own, peers, waited_ms, first_ms, total_ms,
        framing, last_event_id, relayed = summary.is_relayed
    });
}

pub(crate) fn request_refused(id: &str, route: &str, code: Code, remaining: Duration) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (number, name, left_ms) = (code.number(), code.name(), remaining.as_millis() as u64);
    info!("request not served", kv: { request = id, route, code = number, name, left_ms });
}

pub(crate) fn job_accepted(id: &str, route: &str, shard: u16) {
    info!("job accepted", kv: { job = id, route, shard });
}

/// A job on a route with a token quota was decided about; `by` the records or the own share.
pub(crate) fn token_quota_decided(
    ask: &token_quota::Ask,
    by: &str,
    decision: token_quota::Decision,
) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (job, shard, tokens) = (ask.grant.job.as_str(), ask.grant.shard, ask.grant.tokens);
    let quota = format!("{:08x}", ask.quota);
    let (open, granted) = (decision.sums.open, decision.sums.granted);
    let verdict = decision.verdict.name();
    info!("token quota decided", kv: {
        job, shard, quota = quota.as_str(), tokens, open, granted, max = ask.max_tokens, by, verdict
    });
}

pub(crate) fn job_cancelled(id: &str) {
    info!("job cancelled by the client", kv: { job = id });
}

/// Unfinished items of a job were given up, according to a version of the manifest.
pub(crate) fn items_given_up(job: &str, count: usize, reason: &str, manifest: u64) {
    info!("items given up", kv: { job, count, reason, manifest });
}

/// An item is sent to a replica that was selected some time ago, by a version of the
/// manifest.
pub(crate) fn item_sent(
    job: &str,
    index: u32,
    selection: &Selection,
    selected_for: Duration,
    manifest: u64,
    last_event_id: u64,
) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (replica, service) = (selection.id.as_str(), selection.service.as_str());
    let (version, born_ms) = (version(selection), selection.born_ms);
    let selected_ms = selected_for.as_millis() as u64;
    info!("item sent", kv: {
        job, index, replica, service, version, born_ms, limit:? = selection.limit, selected_ms,
        manifest, last_event_id
    });
}

pub(crate) fn item_run_ended(job: &str, index: u32, end: &str) {
    if !rate_limit::try_acquire() {
        return;
    }
    info!("run of an item ended", kv: { job, index, end });
}

/// A run was cut after `events` events, `lost` of which have to be produced again.
pub(crate) fn run_cut(job: &str, index: u32, reason: &str, events: u64, lost: u64) {
    if !rate_limit::try_acquire() {
        return;
    }
    info!("run of an item was cut", kv: { job, index, reason, events, lost });
}

/// An item was completed by the answer of a replica.
pub(crate) fn item_completed(job: &str, index: u32, selection: &Selection, summary: Summary) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (replica, version) = (selection.id.as_str(), version(selection));
    let (framing, last_event_id) = (summary.framing.name(), summary.last_event_id);
    info!("item completed", kv: {
        job, index, replica, version, framing, last_event_id, relayed = summary.is_relayed
    });
}

pub(crate) fn output_too_large(job: &str, index: u32, selection: &Selection, max_bytes: usize) {
    if !rate_limit::try_acquire() {
        return;
    }
    let (replica, born_ms) = (selection.id.as_str(), selection.born_ms);
    warn!("output of an item is too large; it begins anew", kv: {
        job, index, replica, born_ms, max_bytes
    });
}

pub(crate) fn store_call_failed(call: &str, error: &Failure) {
    warn!("call to the store failed", kv: { call, why: = error });
}

pub(crate) fn store_recovered(failed_for: Duration) {
    let failed_ms = failed_for.as_millis() as u64;
    info!("the store is available again", kv: { failed_ms });
}

pub(crate) fn shard_loaded(shard: u16, offset: u64) {
    info!("shard loaded", kv: { shard, offset });
}

pub(crate) fn shard_unloaded(shard: u16) {
    info!("shard unloaded", kv: { shard });
}

pub(crate) fn shard_owner_changed(
    shard: u16,
    mine: bool,
    preferred: Option<SocketAddr>,
    members: usize,
) {
    let message = if mine {
        "shard taken over"
    } else {
        "shard handed over"
    };
    info!("{message}", kv: { shard, best:? = preferred, members });
}

pub(crate) fn owner_call_failed(owner: SocketAddr, why: &str) {
    if !rate_limit::try_acquire() {
        return;
    }
    warn!("call to the owner of a shard failed", kv: { owner:? = owner, why });
}

pub(crate) fn reservation_unsupported(replica: &str, status: u16) {
    if !rate_limit::try_acquire() {
        return;
    }
    warn!("unexpected status of a reservation; sending without one", kv: { replica, status });
}

pub(crate) fn connection_failed(replica: &str, call: &str, error: &Error) {
    if rate_limit::try_acquire() {
        let (why, error) = (error.name(), error.to_string());
        info!("connection to a replica failed", kv: { replica, call, why, error });
    }
}

pub(crate) fn relay_failed(relay: SocketAddr, replica: &str, why: &str) {
    if rate_limit::try_acquire() {
        info!("a peer relays no connection; another one is asked", kv: { relay:? = relay, replica, why });
    }
}

pub(crate) fn link_checked(address: SocketAddr, result: Check) {
    if rate_limit::try_acquire() {
        let result = result.name();
        info!("link to a replica checked", kv: { address:? = address, result });
    }
}

pub(crate) fn links_changed(change: Change) {
    match change {
        Change::CutOff { is_silent } => {
            warn!("cut off from the replicas; peers relay connections", kv: { is_silent });
        }
        Change::Restored => info!("links to the replicas are back"),
    }
}

pub(crate) fn versions_recorded(records: &[Record]) {
    let keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
    info!("catalog of software versions changed", kv: { keys:? = keys });
}

pub(crate) fn replica_departing(replica: &str, born_ms: u64) {
    info!("replica announced its departure; it gets no more requests", kv: { replica, born_ms });
}

pub(crate) fn quarantine_begun(verdict: &Verdict) {
    let crashes = verdict.crashes;
    let age_ms = verdict.age.as_millis() as u64;
    match verdict.subject {
        Subject::Request(fingerprint) => {
            let fingerprint = fingerprint.to_string();
            warn!("request quarantined; its repetitions are refused", kv: {
                fingerprint = fingerprint.as_str(), crashes, age_ms
            });
        }
        Subject::Part(part) => {
            let part = part.to_string();
            warn!("prompt part quarantined; requests with it are refused", kv: {
                part = part.as_str(), crashes, age_ms
            });
        }
    }
}

pub(crate) fn quarantine_trial(subject: Subject) {
    match subject {
        Subject::Request(fingerprint) => {
            let fingerprint = fingerprint.to_string();
            info!("trial of a quarantined request", kv: { fingerprint = fingerprint.as_str() });
        }
        Subject::Part(part) => {
            let part = part.to_string();
            info!("trial of a quarantined prompt part", kv: { part = part.as_str() });
        }
    }
}

pub(crate) fn quarantine_ended(subject: Subject) {
    match subject {
        Subject::Request(fingerprint) => {
            let fingerprint = fingerprint.to_string();
            info!("quarantine of a request ended", kv: { fingerprint = fingerprint.as_str() });
        }
        Subject::Part(part) => {
            let part = part.to_string();
            info!("quarantine of a prompt part ended", kv: { part = part.as_str() });
        }
    }
}

/// See [`request_refused`].
pub(crate) fn request_quarantined(id: &str, route: &str, verdict: &Verdict) {
    if !rate_limit::try_acquire() {
        return;
    }
    let crashes = verdict.crashes;
    let age_ms = verdict.age.as_millis() as u64;
    match verdict.subject {
        Subject::Request(fingerprint) => {
            let fingerprint = fingerprint.to_string();
            info!("request is quarantined", kv: {
                request = id, route, fingerprint = fingerprint.as_str(), crashes, age_ms
            });
        }
        Subject::Part(part) => {
            let part = part.to_string();
            info!("request has a quarantined prompt part", kv: {
                request = id, route, part = part.as_str(), crashes, age_ms
            });
        }
    }
}

pub(crate) fn replica_limit_changed(replica: &str, born_ms: u64, per_s: Option<f64>) {
    match per_s {
        Some(per_s) => info!("replica limits its rate", kv: { replica, born_ms, per_s }),
        None => info!("replica no longer limits its rate", kv: { replica, born_ms }),
    }
}

pub(crate) fn customer_refused(customer: &str) {
    info!("requests of a customer pass its request_quota", kv: { customer });
}

pub(crate) fn customer_refusals_ended(customer: &str, refused: u64) {
    info!("requests of a customer are within its request_quota again", kv: { customer, refused });
}

pub(crate) fn manifest_installed(version: u64) {
    info!("manifest in force", kv: { version });
}

pub(crate) fn record_invalid(key: &str, why: &str) {
    warn!("invalid record", kv: { key, why });
}

pub(crate) fn ledger_records_invalid(shard: u16, records: u64) {
    warn!("invalid records of a shard", kv: { shard, records });
}

pub(crate) fn datagram_error(why: &str) {
    warn!("gossip datagram error", kv: { why });
}

pub(crate) fn started(name: &str) {
    info!("started", kv: { name });
}

pub(crate) fn stopping(name: &str) {
    info!("stopping", kv: { name });
}

/// All requests are answered now, as the shutdown ends.
pub(crate) fn ending(name: &str, open: usize) {
    info!("answering what is left", kv: { name, open });
}

pub(crate) fn stopped(name: &str, open: usize) {
    info!("stopped", kv: { name, open });
}
