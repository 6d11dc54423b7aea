//! Counters and latency histograms of a daemon.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::links::Check;
use bitterncart_coordination::fleet::preemption::Reason;
use bitterncart_coordination::fleet::token_quota::Verdict;
use bitterncart_coordination::fleet::{Decision, Outcome, Route};
use bitterncart_protocol::Code;
use compact_str::{CompactString, format_compact};
use hdrhistogram::Histogram;

use crate::answer::Framing;

/// Quantiles that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];

/// Counters by name and label, latencies by route.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counts: Mutex<BTreeMap<CompactString, u64>>,
    /// Milliseconds to the first event or the complete response.
    latencies: Mutex<BTreeMap<CompactString, Histogram<u32>>>,
    /// Longest time for which a timer was late, in milliseconds.
    scheduling_delay_ms: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Metrics {
    fn add(&self, name: CompactString) {
        self.add_count(name, 1);
    }

    fn add_count(&self, name: CompactString, count: u64) {
        *lock(&self.counts).entry(name).or_default() += count;
    }

    pub(crate) fn request_answered(
        &self,
        route: &Route,
        failed_attempts: u32,
        time_to_first: Duration,
    ) {
        let attempts = failed_attempts + 1;
        self.add(format_compact!(
            "answered_total{{route=\"{}\",attempts=\"{attempts}\"}}",
            route.name
        ));
        let mut latencies = lock(&self.latencies);
        let histogram = latencies.entry(route.name.clone()).or_insert_with(|| {
            // Two significant digits; the range grows automatically.
            Histogram::new(2).expect("two digits make a histogram")
        });
        histogram.saturating_record(time_to_first.as_millis() as u64);
    }

    /// Complete answer of a replica.
    pub(crate) fn answer_ended(&self, framing: Framing) {
        self.add(format_compact!(
            "answers_total{{framing=\"{}\"}}",
            framing.name()
        ));
    }

    /// Stream that is resumed to confirm its end.
    pub(crate) fn end_questioned(&self) {
        self.add("ends_questioned_total".into());
    }

    pub(crate) fn request_refused(&self, code: Code) {
        self.add(format_compact!("refused_total{{code=\"{}\"}}", code.name()));
    }

    /// Request of a customer with a quota; `granted_by` is `None` if it was refused.
    pub(crate) fn request_quota(&self, customer: &str, granted_by: Option<&str>) {
        let reason = granted_by.unwrap_or("refused");
        self.add(format_compact!("request_quotas_total{{end=\"{reason}\"}}"));
        let end = granted_by.map_or("refused", |_| "granted");
        self.add(format_compact!(
            "customer_requests_total{{customer=\"{customer}\",end=\"{end}\"}}"
        ));
    }

    /// Connection that was refused or closed as a bound was met.
    pub(crate) fn connection_closed(&self, endpoint: &str, why: &str) {
        self.add(format_compact!(
            "connections_closed_total{{endpoint=\"{endpoint}\",why=\"{why}\"}}"
        ));
    }

    pub(crate) fn attempt_failed(&self, outcome: Outcome, decision: Decision) {
        let retried = decision == Decision::Retry;
        self.add(format_compact!(
            "attempts_failed_total{{why=\"{}\",retried=\"{retried}\"}}",
            outcome.name()
        ));
    }

    pub(crate) fn stream_taken_up(&self, build: &str) {
        self.add(format_compact!(
            "streams_taken_up_total{{build=\"{build}\"}}"
        ));
    }

    pub(crate) fn store_failure(&self, call: &str) {
        self.add(format_compact!("store_failures_total{{call=\"{call}\"}}"));
    }

    /// Records of the store that could not be used.
    pub(crate) fn add_invalid(&self, kind: &str, count: u64) {
        let name = format_compact!("invalid_records_total{{kind=\"{kind}\"}}");
        self.add_count(name, count);
    }

    pub(crate) fn reservation(&self, end: &str) {
        self.add(format_compact!("reservations_total{{end=\"{end}\"}}"));
    }

    pub(crate) fn connection_failed(&self, call: &str, why: &str) {
        self.add(format_compact!(
            "connections_failed_total{{call=\"{call}\",why=\"{why}\"}}"
        ));
    }

    /// Request of a peer for a relayed connection.
    pub(crate) fn relay(&self, end: &str) {
        self.add(format_compact!("relays_total{{end=\"{end}\"}}"));
    }

    /// Connection that a peer was asked to relay.
    pub(crate) fn relayed_connection(&self, end: &str) {
        self.add(format_compact!(
            "relayed_connections_total{{end=\"{end}\"}}"
        ));
    }

    pub(crate) fn link_checked(&self, result: Check) {
        self.add(format_compact!(
            "link_checks_total{{result=\"{}\"}}",
            result.name()
        ));
    }

    pub(crate) fn owner_call(&self, end: &str) {
        self.add(format_compact!("owner_calls_total{{end=\"{end}\"}}"));
    }

    /// Change of the learned capacity of a replica by a quarter.
    pub(crate) fn capacity_changed(&self, is_higher: bool) {
        let direction = if is_higher { "up" } else { "down" };
        self.add(format_compact!(
            "capacity_changes_total{{direction=\"{direction}\"}}"
        ));
    }

    pub(crate) fn item_preempted(&self) {
        self.add("batch_gave_way_total".into());
    }

    /// Run of an item that was cut after `events` events, `lost` of which have to be
    /// produced again.
    pub(crate) fn run_cut(&self, reason: Reason, events: u64, lost: u64) {
        let reason = reason.name();
        self.add(format_compact!(
            "batch_runs_cut_total{{reason=\"{reason}\"}}"
        ));
        let name = format_compact!("batch_cut_events_total{{reason=\"{reason}\"}}");
        self.add_count(name, events);
        let name = format_compact!("batch_lost_events_total{{reason=\"{reason}\"}}");
        self.add_count(name, lost);
    }

    pub(crate) fn checkpoint(&self, end: &str) {
        self.add(format_compact!("checkpoints_total{{end=\"{end}\"}}"));
    }

    /// Job on a route with a token quota; decided `by` the records or the own share.
    pub(crate) fn token_quota(&self, by: &str, verdict: Verdict) {
        let verdict = verdict.name();
        self.add(format_compact!(
            "token_quota_decisions_total{{by=\"{by}\",verdict=\"{verdict}\"}}"
        ));
    }

    /// Append of grants that conflicted with one of another daemon.
    pub(crate) fn token_quota_conflict(&self) {
        self.add("token_quota_conflicts_total".into());
    }

    pub(crate) fn item_run(&self, why: &str) {
        self.add(format_compact!("batch_runs_total{{end=\"{why}\"}}"));
    }

    /// Answer, or output of an item, that passed a bound.
    pub(crate) fn answer_too_large(&self, kind: &str) {
        self.add(format_compact!(
            "answers_too_large_total{{kind=\"{kind}\"}}"
        ));
    }

    /// Connection that was closed as its client reads slowly and memory is short.
    pub(crate) fn writer_closed(&self) {
        self.add("slow_readers_closed_total".into());
    }

    /// Time for which a timer was late, as other tasks held the thread.
    pub(crate) fn scheduling_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.scheduling_delay_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Renders all metrics as text, one value a line.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        let delay_ms = self.scheduling_delay_ms.load(Ordering::Relaxed);
        // Writing to a string does not fail.
        let _ = writeln!(text, "bitterncart_scheduling_delay_max_ms {delay_ms}");
        for (name, value) in lock(&self.counts).iter() {
            let _ = writeln!(text, "bitterncart_{name} {value}");
        }
        for (route, histogram) in lock(&self.latencies).iter() {
            for quantile in QUANTILES {
                let ms = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "bitterncart_first_ms{{route=\"{route}\",quantile=\"{quantile}\"}} {ms}"
                );
            }
        }
        text
    }
}
