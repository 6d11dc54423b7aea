//! Records of the store that cannot be used.
//!
//! Each one that is read is counted. A log line names its key and the reason once, and
//! again when the reason has changed or the record was valid in between.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bitterncart_coordination::fleet::reasons::Reasons;
use compact_str::format_compact;

use crate::log;
use crate::metrics::Metrics;
use crate::store::Defect;

/// Maximum size of a key or reason in the log, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Invalid records of one topic.
#[derive(Debug)]
pub(crate) struct InvalidRecords {
    /// Kind of the records in the metrics.
    kind: &'static str,
    metrics: Arc<Metrics>,
    reasons: Mutex<Reasons>,
}

impl InvalidRecords {
    pub(crate) fn new(kind: &'static str, metrics: Arc<Metrics>) -> Self {
        Self {
            kind,
            metrics,
            reasons: Mutex::default(),
        }
    }

    fn reasons(&self) -> MutexGuard<'_, Reasons> {
        self.reasons.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a record is invalid.
    pub(crate) fn record(&self, key: &str, why: &str) {
        self.metrics.add_invalid(self.kind, 1);
        let (key, why) = (truncate(key), truncate(why));
        if self.reasons().record(key, why) {
            log::record_invalid(key, why);
        }
    }

    /// Records that a part of a valid record is invalid.
    pub(crate) fn record_part(&self, version: u64, defect: &Defect) {
        self.metrics.add_invalid(self.kind, 1);
        let entry = truncate(&defect.entry);
        let key = format_compact!("version {version}, {entry}");
        log::record_invalid(&key, truncate(&defect.why));
    }

    /// Records that a record is valid or was removed.
    pub(crate) fn remove(&self, key: &str) {
        self.reasons().remove(truncate(key));
    }
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
