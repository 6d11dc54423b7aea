//! Report of a trial.

use std::collections::BTreeMap;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Report of a trial. Times are in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// Environment.
    pub environment: CompactString,
    /// Seed.
    pub seed: u64,
    /// Online completions sent.
    pub online_sent: u64,
    /// Those answered whole and right.
    pub online_ok: u64,
    /// Those refused or failed with a number.
    pub online_refused: u64,
    /// Those whose connection failed without an answer.
    pub online_lost: u64,
    /// Answers that are not the caller's own or not whole.
    pub online_wrong: u64,
    /// Time to first token.
    pub ttft_ms_p50: f64,
    /// Time to first token.
    pub ttft_ms_p95: f64,
    /// Time to first token.
    pub ttft_ms_p99: f64,
    /// Time between tokens.
    pub itl_ms_p95: f64,
    /// Items of accepted jobs.
    pub batch_accepted: u64,
    /// Those with a result.
    pub batch_finished: u64,
    /// Those with a numbered failure.
    pub batch_failed: u64,
    /// Those not ended whose due time is ahead.
    pub batch_owed: u64,
    /// Those of cancelled jobs without a result.
    pub batch_cancelled: u64,
    /// Items without result, failure or a due time ahead.
    pub batch_lost: u64,
    /// Items with two results, or one that changed.
    pub batch_doubled: u64,
    /// Items whose result is another item's.
    pub batch_wrong: u64,
    /// Items finished a second.
    pub batch_items_per_s: f64,
    /// Calls sent that may not be repeated.
    pub once_sent: u64,
    /// Those answered.
    pub once_ok: u64,
    /// Those that ran more than once.
    pub once_ran_twice: u64,
    /// Requests said not to have run that had.
    pub refused_but_ran: u64,
    /// Configurations that went back to an older version.
    pub config_reverted: u64,
    /// Invariants checked.
    pub invariant_checks: u64,
    /// Appends in the busiest second of the log.
    pub log_appends_busiest_s: u32,
    /// Refusals by code.
    pub refusals: BTreeMap<CompactString, u64>,
    /// Counters of all daemons that lived to the end.
    pub counters: BTreeMap<CompactString, u64>,
}

impl Report {
    /// Whether all promises were kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let broken = [
            self.online_wrong,
            self.batch_lost,
            self.batch_doubled,
            self.batch_wrong,
            self.once_ran_twice,
            self.refused_but_ran,
            self.config_reverted,
        ];
        broken.iter().all(|count| *count == 0)
    }

    /// Report for a person.
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

/// Times in microseconds.
#[derive(Debug)]
pub struct Latency(Histogram<u64>);

impl Default for Latency {
    fn default() -> Self {
        // Three significant digits never fail.
        Self(Histogram::new(3).expect("a valid precision"))
    }
}

impl Latency {
    /// Notes a time.
    pub fn note(&mut self, time: std::time::Duration) {
        // The histogram grows by itself and so takes any time.
        self.0.record(time.as_micros() as u64).ok();
    }

    /// Value at a quantile, in milliseconds.
    #[must_use]
    pub fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }
}
