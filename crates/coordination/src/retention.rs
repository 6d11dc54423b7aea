//! Selects the records that must be rewritten before the log expires them.
//!
//! The log keeps records for a limited time. Results that are still available to
//! customers, the input of open jobs, and the snapshot are rewritten well before
//! they expire. An idle shard needs a new snapshot too: without one, a keyed call
//! that already ran would be forgotten and could run again.

use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::record::Chunk;
use bitterncart_state::Shard;
use bitterncart_state::job::{EntryRef, Job};

/// Entries since the last snapshot after which a new one is due.
const SNAPSHOT_ENTRIES: u32 = 500;

/// A snapshot is due after the retention divided by this.
const SNAPSHOT_DIVISOR: u64 = 4;

/// Results and input are due after the retention divided by this.
const CARRY_DIVISOR: u64 = 2;

/// Maximum records returned by one call of [`Retention::due`].
const MAX_CARRIED_RECORDS: usize = 8;

/// Record that must be rewritten.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rewrite {
    /// Results of a job in one log entry.
    Results(id::Job, EntryRef),
    /// Chunk of an open job's input, with its index.
    Input(id::Job, u32, Chunk),
}

/// Snapshot schedule of one shard.
///
/// Times are those of the log, in milliseconds since the Unix epoch, so that a new
/// owner continues from the snapshot of the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    snapshot_ms: Option<u64>,
    entries: u32,
}

impl Retention {
    /// Schedule of a shard with the time of its newest snapshot, if it has one.
    #[must_use]
    pub fn new(snapshot_ms: Option<u64>) -> Self {
        Self {
            snapshot_ms,
            entries: 0,
        }
    }

    /// Counts entries that were read after the newest snapshot.
    pub fn read(&mut self, entries: usize) {
        self.entries = self.entries.saturating_add(entries as u32);
    }

    /// Number of entries that the newest snapshot does not include.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Whether a snapshot is due, given the log's retention.
    #[must_use]
    pub fn is_snapshot_due(&self, now_ms: u64, retention: Duration) -> bool {
        let period = millis(retention) / SNAPSHOT_DIVISOR;
        match self.snapshot_ms {
            _ if self.entries >= SNAPSHOT_ENTRIES => true,
            Some(written) => now_ms.saturating_sub(written) >= period,
            None => self.entries > 0,
        }
    }

    /// Records a new snapshot that includes `entries` of the counted entries.
    pub fn written(&mut self, at_ms: u64, entries: u32) {
        self.snapshot_ms = Some(at_ms);
        self.entries = self.entries.saturating_sub(entries);
    }

    /// Records that must be rewritten, a few at a time.
    #[must_use]
    pub fn due(shard: &Shard, now_ms: u64, retention: Duration) -> Vec<Rewrite> {
        let before = now_ms.saturating_sub(millis(retention) / CARRY_DIVISOR);
        let mut due = Vec::new();
        for (_, job) in shard.jobs() {
            due.extend(expiring_results(job, before));
            if job.is_open() {
                due.extend(expiring_input(job, before));
            }
            if due.len() >= MAX_CARRIED_RECORDS {
                break;
            }
        }
        due.truncate(MAX_CARRIED_RECORDS);
        due
    }
}

fn expiring_results(job: &Job, before: u64) -> impl Iterator<Item = Rewrite> {
    let id = job.submit.job;
    let old = job
        .results
        .iter()
        .filter(move |entry| entry.at_ms < before)
        .take(MAX_CARRIED_RECORDS);
    old.map(move |entry| Rewrite::Results(id, *entry))
}

fn expiring_input(job: &Job, before: u64) -> impl Iterator<Item = Rewrite> {
    let id = job.submit.job;
    let chunks = job.submit.chunks.iter().enumerate();
    let old = chunks.filter(move |(_, chunk)| chunk.at_ms < before);
    old.take(MAX_CARRIED_RECORDS)
        .map(move |(index, chunk)| Rewrite::Input(id, index as u32, *chunk))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
