//! Counters and latency histograms of a daemon.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};

use bitterncart_coordination::fleet::{Outcome, Route, Step};
use bitterncart_protocol::Code;
use compact_str::{CompactString, format_compact};

/// Counters by name and label.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    counts: Mutex<BTreeMap<CompactString, u64>>,
}

impl Metrics {
    fn add(&self, name: CompactString) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(name).or_default() += 1;
    }

    pub(crate) fn answered(&self, route: &Route, sent: u32) {
        self.add(format_compact!(
            "answered_total{{route=\"{}\",attempts=\"{}\"}}",
            route.name,
            sent + 1
        ));
    }

    pub(crate) fn refused(&self, code: Code) {
        self.add(format_compact!("refused_total{{code=\"{}\"}}", code.name()));
    }

    pub(crate) fn retry(&self, outcome: Outcome, step: Step) {
        let retried = step == Step::Retry;
        self.add(format_compact!(
            "attempts_failed_total{{why=\"{}\",retried=\"{retried}\"}}",
            outcome.name()
        ));
    }

    pub(crate) fn store(&self, call: &str) {
        self.add(format_compact!("store_failures_total{{call=\"{call}\"}}"));
    }

    pub(crate) fn gave_way(&self) {
        self.add("batch_gave_way_total".into());
    }

    pub(crate) fn item(&self, why: &str) {
        self.add(format_compact!("batch_runs_total{{end=\"{why}\"}}"));
    }

    /// All counters as text, one a line.
    pub(crate) fn text(&self) -> String {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts
            .iter()
            .fold(String::new(), |mut text, (name, value)| {
                // Writing to a string does not fail.
                let _ = writeln!(text, "bitterncart_{name} {value}");
                text
            })
    }
}
