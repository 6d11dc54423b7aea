//! What a run measured.

use std::time::Duration;

use bitterncart_trial::report::Latency;
use serde::Serialize;

/// State at one time, for plots.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time, in seconds.
    pub at_s: f64,
    /// Batch sequences at all engines.
    pub batch: usize,
    /// Online sequences at all engines.
    pub online: usize,
    /// Time to first token of the last second at the 99th percentile, in milliseconds.
    pub ttft_ms_p99: f64,
}

/// Figures of a run.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Online requests sent.
    pub sent: u64,
    /// Answered whole.
    pub answered: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts beyond the first.
    pub extra: u64,
    /// Online tokens.
    pub online_tokens: u64,
    /// Batch tokens, those of streams that gave way among them.
    pub batch_tokens: u64,
    /// Batch items finished.
    pub batch_items: u64,
    /// Batch streams that gave way.
    pub gave_way: u64,
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// Prompts whose prefix was not.
    pub misses: u64,
    /// Messages between daemons on online use.
    pub messages: u64,
    /// Time to first token, from arrival.
    pub ttft: Latency,
    /// Time between tokens.
    pub itl: Latency,
    /// Time to the whole answer, from arrival.
    pub whole: Latency,
    /// Longest stretch in a burst with batch in the reserve.
    pub give_way: Duration,
    /// Samples over time.
    pub samples: Vec<Sample>,
}

/// Row of a report. Times are in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Policy.
    pub policy: &'static str,
    /// Online requests sent.
    pub online_sent: u64,
    /// Share of them answered whole.
    pub online_ok: f64,
    /// Share of them refused.
    pub online_refused: f64,
    /// Attempts beyond the first, as a share of the requests.
    pub extra_attempts: f64,
    /// Time to first token.
    pub ttft_ms_p50: f64,
    /// Time to first token.
    pub ttft_ms_p95: f64,
    /// Time to first token.
    pub ttft_ms_p99: f64,
    /// Time between tokens.
    pub itl_ms_p95: f64,
    /// Time between tokens.
    pub itl_ms_p99: f64,
    /// Time to the whole answer.
    pub whole_ms_p99: f64,
    /// Online tokens a second.
    pub online_tokens_per_s: f64,
    /// Batch tokens a second.
    pub batch_tokens_per_s: f64,
    /// Batch items a second.
    pub batch_items_per_s: f64,
    /// Batch streams that gave way, a second.
    pub gave_way_per_s: f64,
    /// Longest stretch in a burst with batch in the reserve.
    pub give_way_ms: f64,
    /// Share of prompts whose prefix was cached.
    pub prefix_hits: f64,
    /// Messages between daemons on online use, a second.
    pub messages_per_s: f64,
}

impl Metrics {
    /// Row of a report over a run's length.
    #[must_use]
    pub fn row(&self, policy: &'static str, length: Duration) -> Row {
        let seconds = length.as_secs_f64();
        let share = |part: u64| part as f64 / self.sent.max(1) as f64;
        Row {
            policy,
            online_sent: self.sent,
            online_ok: share(self.answered),
            online_refused: share(self.refused),
            extra_attempts: share(self.extra),
            ttft_ms_p50: self.ttft.ms(0.5),
            ttft_ms_p95: self.ttft.ms(0.95),
            ttft_ms_p99: self.ttft.ms(0.99),
            itl_ms_p95: self.itl.ms(0.95),
            itl_ms_p99: self.itl.ms(0.99),
            whole_ms_p99: self.whole.ms(0.99),
            online_tokens_per_s: self.online_tokens as f64 / seconds,
            batch_tokens_per_s: self.batch_tokens as f64 / seconds,
            batch_items_per_s: self.batch_items as f64 / seconds,
            gave_way_per_s: self.gave_way as f64 / seconds,
            give_way_ms: self.give_way.as_secs_f64() * 1e3,
            prefix_hits: self.hits as f64 / (self.hits + self.misses).max(1) as f64,
            messages_per_s: self.messages as f64 / seconds,
        }
    }
}
