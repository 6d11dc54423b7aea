//! Simulated log: the stream of one shard and its snapshots.
//!
//! Each append has a delivery that decides whether the entry arrives and whether
//! the writer receives a confirmation. A delayed append arrives when the
//! schedule delivers it, after entries that were appended later. Truncation
//! removes only entries that a snapshot covers and that hold no live result.

use std::collections::VecDeque;
use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::record::{Answer, Group};
use bitterncart_state::Shard;

use super::defect::{Defect, rewrite_page};
use super::op::Delivery;

/// Number of recent snapshots among which recovery first looks for the newest state.
const RECENT_SNAPSHOTS: usize = 4;

/// Append that is not written yet.
#[derive(Debug)]
enum Delayed {
    Group(Group),
    Snapshot(Vec<u8>),
}

/// Stream of one shard and its snapshots.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: VecDeque<Entry>,
    /// Offset of the oldest entry kept.
    first: u64,
    snapshots: Vec<Vec<u8>>,
    delayed: VecDeque<Delayed>,
}

impl Log {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Entries from an offset onwards that are still kept.
    pub(crate) fn page(&self, from: u64) -> Page {
        let skip = from.saturating_sub(self.first) as usize;
        Page {
            first: self.first,
            next: self.next(),
            entries: self.entries.iter().skip(skip).cloned().collect(),
        }
    }

    /// Appends a group as `delivery` determines; returns whether the writer gets a
    /// confirmation.
    pub(crate) fn append(&mut self, now: Duration, group: Group, delivery: Delivery) -> bool {
        match delivery {
            Delivery::Confirmed | Delivery::ResponseLost => self.push(now, &group),
            Delivery::Delayed => self.delayed.push_back(Delayed::Group(group)),
            Delivery::Lost => {}
        }
        delivery == Delivery::Confirmed
    }

    fn push(&mut self, now: Duration, group: &Group) {
        let offset = self.next();
        self.entries.push_back(Entry {
            offset,
            at_ms: now.as_millis() as u64,
            payload: group.encode(),
        });
    }

    /// Writes a snapshot as `delivery` determines.
    pub(crate) fn snapshot(&mut self, bytes: Vec<u8>, delivery: Delivery) {
        match delivery {
            Delivery::Confirmed | Delivery::ResponseLost => self.snapshots.push(bytes),
            Delivery::Delayed => self.delayed.push_back(Delayed::Snapshot(bytes)),
            Delivery::Lost => {}
        }
    }

    /// Delivers the oldest delayed append, if any.
    pub(crate) fn deliver_delayed(&mut self, now: Duration) {
        match self.delayed.pop_front() {
            Some(Delayed::Group(group)) => self.push(now, &group),
            Some(Delayed::Snapshot(bytes)) => self.snapshots.push(bytes),
            None => {}
        }
    }

    /// Results of a job in the entry at an offset, or `None` if it is truncated.
    pub(crate) fn results(&self, job: id::Job, offset: u64) -> Option<Vec<(id::Item, Answer)>> {
        let index = offset.checked_sub(self.first)?;
        let entry = self.entries.get(index as usize)?;
        let group = Group::decode(&entry.payload)?;
        Some(group.into_results(job).collect())
    }

    /// State of the shard as a daemon without any state recovers it: the newest
    /// snapshot and the entries after it.
    pub(crate) fn recover(&self, defect: Option<Defect>) -> Shard {
        let limit = match defect {
            Some(Defect::LastSnapshot) => 1,
            _ => RECENT_SNAPSHOTS,
        };
        let mut shard = newest_state(self.snapshots.iter().rev().take(limit));
        // None of these snapshots reaches the oldest entry kept, but an earlier one may.
        if shard.next() < self.first && defect != Some(Defect::LastSnapshot) {
            shard = newest_state(self.snapshots.iter());
        }
        let page = rewrite_page(defect, &shard, self.page(shard.next()));
        shard.apply_page(&page);
        shard
    }

    /// Removes entries that a snapshot covers, up to the oldest one with a live result.
    pub(crate) fn truncate(&mut self, defect: Option<Defect>, reference: &Shard) {
        let covered = match defect {
            Some(Defect::NoSnapshot) => self.next(),
            _ => newest_state(self.snapshots.iter()).next(),
        };
        let places = reference.jobs().flat_map(|(_, job)| &job.results);
        let oldest = places.map(|place| place.offset).min();
        let first = oldest.unwrap_or(covered).min(covered);
        while self.first < first {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

/// State of the snapshot that covers the most entries.
fn newest_state<'a>(snapshots: impl Iterator<Item = &'a Vec<u8>>) -> Shard {
    snapshots
        .filter_map(|bytes| Shard::restore(bytes))
        .max_by_key(Shard::next)
        .unwrap_or_default()
}
