//! Jobs of a shard.

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

/// Entry of the shard's stream that holds results of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Offset.
    pub offset: u64,
    /// When the log took it, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Job as the fold knows it: its size grows with ended entries, not with bodies.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Job {
    /// Submission.
    pub submit: Submit,
    /// Items that have ended.
    pub done: RoaringBitmap,
    /// Items that ended with a failure.
    pub failed: u32,
    /// Attempts that failed, by item that has not ended.
    pub tried: BTreeMap<u32, u8>,
    /// Leases that lapsed, by item that has not ended.
    pub lapses: BTreeMap<u32, u8>,
    /// Where the results lie, by rising offset.
    pub results: Vec<Place>,
    /// When the cancellation took effect, in milliseconds since 1970.
    pub cancelled_ms: Option<u64>,
    /// When the job ended, in milliseconds since 1970.
    pub ended_ms: Option<u64>,
}

impl Job {
    /// Job without results.
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

    /// Items of the job.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.submit.items()
    }

    /// Notes that the entry at a place, the newest one, holds results.
    ///
    /// An entry that holds several records of the job is listed once.
    pub(crate) fn held_at(&mut self, place: Place) {
        let listed = self.results.last().map(|last| last.offset);
        if listed != Some(place.offset) {
            self.results.push(place);
        }
    }

    /// Whether items may still be started.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.ended_ms.is_none()
    }

    /// Items that have not ended.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.items() - self.done.len() as u32
    }

    /// Chunk that holds an item, and the line in it.
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

    /// View for callers and operators.
    #[must_use]
    pub fn view(&self) -> peer::Job {
        peer::Job {
            submit: self.submit.clone(),
            finished: self.done.len() as u32 - self.failed,
            failed: self.failed,
            cancelled_ms: self.cancelled_ms,
            ended_ms: self.ended_ms,
            results: self.results.iter().map(|place| place.offset).collect(),
        }
    }
}
