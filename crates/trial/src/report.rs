//! Result of a trial.
//!
//! The report counts requests and items by outcome, gives latencies, and counts the
//! violations of each guarantee. It is printed as JSON under its field names or as
//! text.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Counts and latencies of a trial.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Environment of the document.
    pub environment: CompactString,
    /// Seed of load and faults.
    pub seed: u64,
    /// Online completions sent.
    pub online_sent: u64,
    /// Completions with the complete expected text.
    pub online_ok: u64,
    /// Completions refused or failed with an error code.
    pub online_refused: u64,
    /// Completions whose connection failed before the end of the response.
    pub online_lost: u64,
    /// Completions with a wrong or truncated text.
    pub online_wrong: u64,
    /// Median time to first token, in milliseconds.
    pub ttft_ms_p50: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub ttft_ms_p95: f64,
    /// 99th percentile of the time to first token, in milliseconds.
    pub ttft_ms_p99: f64,
    /// 95th percentile of the inter-token latency, in milliseconds.
    pub itl_ms_p95: f64,
    /// Items of accepted jobs.
    pub batch_accepted: u64,
    /// Items with a result.
    pub batch_finished: u64,
    /// Items that failed with an error code.
    pub batch_failed: u64,
    /// Unfinished items whose due time is in the future.
    pub batch_owed: u64,
    /// Items of cancelled jobs without a result.
    pub batch_cancelled: u64,
    /// Items in none of the states above, such as unfinished ones past their due time.
    pub batch_lost: u64,
    /// Items with two results or with a result that changed, and jobs whose second
    /// submission created another job.
    pub batch_doubled: u64,
    /// Items with a wrong result, such as that of another item.
    pub batch_wrong: u64,
    /// Finished items per second.
    pub batch_items_per_s: f64,
    /// Service calls sent that must not run twice.
    pub once_sent: u64,
    /// Such calls with a successful response.
    pub once_ok: u64,
    /// Such calls that ran more than once.
    pub once_ran_twice: u64,
    /// Requests that were refused as not run although they had run.
    pub refused_but_ran: u64,
    /// Times that a daemon went back to an older configuration version.
    pub config_reverted: u64,
    /// Number of invariant checks that ran in the process.
    pub invariant_checks: u64,
    /// Appends to the log in its busiest second.
    pub log_appends_busiest_s: u32,
    /// Refusals by name of the error code.
    pub refusals: BTreeMap<CompactString, u64>,
    /// Sums of the counters of the daemons that were running at the end.
    pub counters: BTreeMap<CompactString, u64>,
}

impl Report {
    /// Whether no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let violations = [
            self.online_wrong,
            self.batch_lost,
            self.batch_doubled,
            self.batch_wrong,
            self.once_ran_twice,
            self.refused_but_ran,
            self.config_reverted,
        ];
        violations.iter().all(|count| *count == 0)
    }

    /// Report as text for a terminal.
    #[must_use]
    pub fn text(&self) -> String {
        let lines = [
            format!("environment {}, seed {}", self.environment, self.seed),
            format!(
                "online   sent {}  ok {}  refused {}  lost connection {}  wrong {}",
                self.online_sent,
                self.online_ok,
                self.online_refused,
                self.online_lost,
                self.online_wrong
            ),
            format!(
                "tokens   first p50 {:.0} p95 {:.0} p99 {:.0} ms, between p95 {:.1} ms",
                self.ttft_ms_p50, self.ttft_ms_p95, self.ttft_ms_p99, self.itl_ms_p95
            ),
            format!(
                "batch    accepted {}  finished {}  failed {}  owed {}  cancelled {}  lost {}  doubled {}  wrong {}  {:.1} items/s",
                self.batch_accepted,
                self.batch_finished,
                self.batch_failed,
                self.batch_owed,
                self.batch_cancelled,
                self.batch_lost,
                self.batch_doubled,
                self.batch_wrong,
                self.batch_items_per_s
            ),
            format!(
                "once     sent {}  answered {}  ran twice {}  refused but ran {}",
                self.once_sent, self.once_ok, self.once_ran_twice, self.refused_but_ran
            ),
            format!(
                "checks   invariants {}  configuration reverted {}  log appends in the busiest second {}",
                self.invariant_checks, self.config_reverted, self.log_appends_busiest_s
            ),
            format!("refusals {:?}", self.refusals),
            if self.is_clean() {
                "all promises kept".to_owned()
            } else {
                "A PROMISE WAS BROKEN".to_owned()
            },
        ];
        lines.join("\n")
    }
}

/// Latency distribution with a resolution of one microsecond and three significant
/// digits.
#[derive(Debug)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        // Three significant digits are within the accepted range of 0 to 5.
        Self(Histogram::new(3).expect("a valid precision"))
    }
}

impl Latency {
    /// Records a latency.
    pub fn note(&mut self, latency: std::time::Duration) {
        // The histogram resizes automatically, so every value can be recorded.
        self.0.record(latency.as_micros() as u64).ok();
    }

    /// Latency at a quantile from 0 to 1, in milliseconds.
    #[must_use]
    pub fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }
}
