//! Metrics of a run.
//!
//! [`Metrics`] collects counts, latency distributions and one [`Sample`]
//! per second while the simulation runs. [`Metrics::row`] reduces them to the row
//! of a report: shares of the requests sent, percentiles and rates.

use std::time::Duration;

use bitterncart_trial::report::Latency;
use serde::Serialize;

/// State of a run at one point in time, for plots.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time since the start of the run, in seconds.
    pub at_s: f64,
    /// Batch sequences at all engines.
    pub batch: usize,
    /// Online requests in flight.
    pub online: usize,
    /// 99th percentile of the time to first token over the last second, in milliseconds.
    pub ttft_ms_p99: f64,
}

/// Counts and latencies of a run.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Online requests sent.
    pub sent: u64,
    /// Online requests answered completely.
    pub answered: u64,
    /// Online requests that failed before any attempt may have run.
    pub refused: u64,
    /// Online requests that failed after an attempt may have run.
    pub failed: u64,
    /// Retries of online requests.
    pub retries: u64,
    /// Tokens generated for online requests.
    pub online_tokens: u64,
    /// Tokens generated for batch items, including those of preempted sequences.
    pub batch_tokens: u64,
    /// Batch items completed.
    pub batch_items: u64,
    /// Preemptions of batch sequences.
    pub preempted: u64,
    /// Prompts whose prefix was in the engine's cache.
    pub cache_hits: u64,
    /// Prompts whose prefix was not in the engine's cache.
    pub cache_misses: u64,
    /// Messages between daemons that report online use of a replica.
    pub messages: u64,
    /// Time from arrival to first token.
    pub ttft: Latency,
    /// Time between two tokens of an online request.
    pub itl: Latency,
    /// Time from arrival to the complete answer.
    pub total_latency: Latency,
    /// Longest continuous time in a burst during which batch occupied the reserve.
    pub longest_reserve_use: Duration,
    /// Samples in order of time.
    pub samples: Vec<Sample>,
}

/// Row of a report. Times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: &'static str,
    /// Online requests sent.
    pub online_sent: u64,
    /// Share of them answered completely.
    pub online_ok: f64,
    /// Share of them that failed before any attempt may have run.
    pub online_refused: f64,
    /// Retries, as a share of the requests.
    pub extra_attempts: f64,
    /// Median time to first token.
    pub ttft_ms_p50: f64,
    /// 95th percentile of the time to first token.
    pub ttft_ms_p95: f64,
    /// 99th percentile of the time to first token.
    pub ttft_ms_p99: f64,
    /// 95th percentile of the time between tokens.
    pub itl_ms_p95: f64,
    /// 99th percentile of the time between tokens.
    pub itl_ms_p99: f64,
    /// 99th percentile of the time to the complete answer.
    pub whole_ms_p99: f64,
    /// Tokens per second generated for online requests.
    pub online_tokens_per_s: f64,
    /// Tokens per second generated for batch items.
    pub batch_tokens_per_s: f64,
    /// Batch items completed per second.
    pub batch_items_per_s: f64,
    /// Preemptions of batch sequences per second.
    pub gave_way_per_s: f64,
    /// Longest continuous time in a burst during which batch occupied the reserve.
    pub give_way_ms: f64,
    /// Share of prompts whose prefix was in the engine's cache.
    pub prefix_hits: f64,
    /// Messages per second between daemons that report online use of a replica.
    pub messages_per_s: f64,
}

impl Metrics {
    /// Report row of a run that lasted `duration`.
    #[must_use]
    pub fn row(&self, policy: &'static str, duration: Duration) -> Row {
        let seconds = duration.as_secs_f64();
        let share = |part: u64| part as f64 / self.sent.max(1) as f64;
        Row {
            policy,
            online_sent: self.sent,
            online_ok: share(self.answered),
            online_refused: share(self.refused),
            extra_attempts: share(self.retries),
            ttft_ms_p50: self.ttft.ms(0.5),
            ttft_ms_p95: self.ttft.ms(0.95),
            ttft_ms_p99: self.ttft.ms(0.99),
            itl_ms_p95: self.itl.ms(0.95),
            itl_ms_p99: self.itl.ms(0.99),
            whole_ms_p99: self.total_latency.ms(0.99),
            online_tokens_per_s: self.online_tokens as f64 / seconds,
            batch_tokens_per_s: self.batch_tokens as f64 / seconds,
            batch_items_per_s: self.batch_items as f64 / seconds,
            gave_way_per_s: self.preempted as f64 / seconds,
            give_way_ms: self.longest_reserve_use.as_secs_f64() * 1e3,
            prefix_hits: self.cache_hits as f64
                / (self.cache_hits + self.cache_misses).max(1) as f64,
            messages_per_s: self.messages as f64 / seconds,
        }
    }
}
