//! State of a batch job in its shard.
//!
//! A job counts its items' results, failed attempts and expired leases, and
//! lists the log entries that hold the results. Bodies and results stay in the
//! log, so the memory of a job grows with its result entries, not with the
//! size of bodies.

use std::collections::BTreeMap;

use bitterncart_protocol::record::Submit;
use bitterncart_protocol::{id, peer};
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

new_key_type! {
    /// Key of a job in its shard's arena.
    pub struct Key;
}

/// Entry of the shard's stream that holds results of a job, by offset and append time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRef {
    /// Offset of the entry in the stream.
    pub offset: u64,
    /// Append time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Batch job with its progress.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Submission, with the locations of the input chunks.
    pub submit: Submit,
    /// Items that have a result, by index.
    pub done: RoaringBitmap,
    /// Number of items whose result is a failure.
    pub failed: u32,
    /// Highest number of a failed attempt, by index of an item without a result.
    pub tried: BTreeMap<u32, u8>,
    /// Number of expired leases, by index of an item without a result.
    pub lapses: BTreeMap<u32, u8>,
    /// Entries that hold results, by increasing offset.
    pub results: Vec<EntryRef>,
    /// Time of the cancellation, in milliseconds since the Unix epoch; `None` if not cancelled.
    pub cancelled_ms: Option<u64>,
    /// Time of the last result or the cancellation, in milliseconds since the Unix epoch;
    /// `None` while the job is open.
    pub ended_ms: Option<u64>,
}

impl Job {
    /// Open job without results.
    #[must_use]
    pub fn new(submit: Submit) -> Self {
        Self {
            submit,
            done: RoaringBitmap::new(),
            failed: 0,
            tried: BTreeMap::new(),
            lapses: BTreeMap::new(),
            results: Vec::new(),
            cancelled_ms: None,
            ended_ms: None,
        }
    }

    /// Number of items.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.submit.items()
    }

    /// Adds the newest entry of the stream to the result entries.
    ///
    /// An entry that holds several results of the job is listed once.
    pub(crate) fn add_result_entry(&mut self, entry: EntryRef) {
        let last_offset = self.results.last().map(|last| last.offset);
        if last_offset != Some(entry.offset) {
            self.results.push(entry);
        }
    }

    /// Whether the job has neither ended nor been cancelled, so that items may be started.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ended_ms.is_none()
    }

    /// Number of items without a result.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.items() - self.done.len() as u32
    }

    /// Index of the chunk that holds an item, and the line within the chunk; `None` if the item
    /// is out of range.
    #[must_use]
    pub fn locate(&self, item: id::Item) -> Option<(usize, u32)> {
        let mut line = item.0;
        for (index, chunk) in self.submit.chunks.iter().enumerate() {
            if line < chunk.lines {
                return Some((index, line));
            }
            line -= chunk.lines;
        }
        None
    }

    /// Summary for clients and operators.
    #[must_use]
    pub fn summary(&self) -> peer::Progress {
        peer::Progress {
            submit: self.submit.clone(),
            finished: self.done.len() as u32 - self.failed,
            failed: self.failed,
            cancelled_ms: self.cancelled_ms,
            ended_ms: self.ended_ms,
            results: self.results.iter().map(|entry| entry.offset).collect(),
        }
    }
}
