//! What of a shard has to be written again before the log drops it.
//!
//! The log keeps records for a limited time. Results that are still owed, the
//! input of open jobs and the snapshot are written again well before their
//! records expire: an idle shard too needs its snapshot renewed, or a keyed
//! call that already ran would be forgotten with it.

use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::record::Chunk;
use bitterncart_state::Shard;
use bitterncart_state::job::{Job, Place};

/// Entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u32 = 500;

/// Part of the retention after which a snapshot is written again.
const SNAPSHOT_PART: u64 = 4;

/// Part of the retention after which results and input are written again.
const CARRY_PART: u64 = 2;

/// Records carried in one round.
const CARRY_ROUND: usize = 8;

/// Record that has to be written again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Results of a job in one entry.
    Results(id::Job, Place),
    /// Chunk of an open job's input, by its index.
    Input(id::Job, u32, Chunk),
}

/// Age of what keeps a shard readable.
///
/// Times are the log's, in milliseconds since 1970, so that a new owner goes
/// on from the snapshot that the one before it wrote.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    snapshot_ms: Option<u64>,
    entries: u32,
}

impl Retention {
    /// Age of a shard whose newest snapshot was written at a time, if it has one.
    #[must_use]
    pub fn new(snapshot_ms: Option<u64>) -> Self {
        Self {
            snapshot_ms,
            entries: 0,
        }
    }

    /// Counts entries that no snapshot holds.
    pub fn read(&mut self, entries: usize) {
        self.entries = self.entries.saturating_add(entries as u32);
    }

    /// Entries that no snapshot holds.
    #[must_use]
    pub fn entries(&self) -> u32 {
        self.entries
    }

    /// Whether a snapshot has to be written, with the log's retention.
    #[must_use]
    pub fn is_snapshot_due(&self, now_ms: u64, retention: Duration) -> bool {
        let period = millis(retention) / SNAPSHOT_PART;
        match self.snapshot_ms {
            _ if self.entries >= SNAPSHOT_ENTRIES => true,
            Some(written) => now_ms.saturating_sub(written) >= period,
            None => self.entries > 0,
        }
    }

    /// Takes note of a snapshot that holds a number of the counted entries.
    pub fn written(&mut self, at_ms: u64, entries: u32) {
        self.snapshot_ms = Some(at_ms);
        self.entries = self.entries.saturating_sub(entries);
    }

    /// Records that have to be written again, a few at a time.
    #[must_use]
    pub fn due(shard: &Shard, now_ms: u64, retention: Duration) -> Vec<Due> {
        let before = now_ms.saturating_sub(millis(retention) / CARRY_PART);
        let mut due = Vec::new();
        for (_, job) in shard.jobs() {
            due.extend(results(job, before));
            if job.is_open() {
                due.extend(input(job, before));
            }
            if due.len() >= CARRY_ROUND {
                break;
            }
        }
        due.truncate(CARRY_ROUND);
        due
    }
}

fn results(job: &Job, before: u64) -> impl Iterator<Item = Due> {
    let id = job.submit.job;
    let old = job
        .results
        .iter()
        .filter(move |place| place.at_ms < before)
        .take(CARRY_ROUND);
    old.map(move |place| Due::Results(id, *place))
}

fn input(job: &Job, before: u64) -> impl Iterator<Item = Due> {
    let id = job.submit.job;
    let chunks = job.submit.chunks.iter().enumerate();
    let old = chunks.filter(move |(_, chunk)| chunk.at_ms < before);
    old.take(CARRY_ROUND)
        .map(move |(index, chunk)| Due::Input(id, index as u32, *chunk))
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
