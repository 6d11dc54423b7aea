//! Log of a schedule: one shard's stream and its snapshots.

use std::collections::VecDeque;
use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::record::{Answer, Group};
use bitterncart_state::Shard;

use super::broken::{Broken, rewrite};
use super::op::Fate;

/// Snapshots that are read at first to find the newest state.
const SNAPSHOTS: usize = 4;

#[derive(Debug)]
enum Late {
    Group(Group),
    Snapshot(Vec<u8>),
}

/// One shard's stream and its snapshots.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: VecDeque<Entry>,
    first: u64,
    snapshots: Vec<Vec<u8>>,
    late: VecDeque<Late>,
}

impl Log {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Entries from an offset on that are still kept.
    pub(crate) fn page(&self, from: u64) -> Page {
        let skip = from.saturating_sub(self.first) as usize;
        Page {
            first: self.first,
            next: self.next(),
            entries: self.entries.iter().skip(skip).cloned().collect(),
        }
    }

    /// Appends a group as its fate will have it; returns whether it was confirmed.
    pub(crate) fn append(&mut self, now: Duration, group: Group, fate: Fate) -> bool {
        match fate {
            Fate::Lands | Fate::AnswerLost => self.push(now, &group),
            Fate::Late => self.late.push_back(Late::Group(group)),
            Fate::Lost => {}
        }
        fate == Fate::Lands
    }

    fn push(&mut self, now: Duration, group: &Group) {
        let offset = self.next();
        self.entries.push_back(Entry {
            offset,
            at_ms: now.as_millis() as u64,
            payload: group.encode(),
        });
    }

    /// Appends a snapshot as its fate will have it.
    pub(crate) fn snapshot(&mut self, bytes: Vec<u8>, fate: Fate) {
        match fate {
            Fate::Lands | Fate::AnswerLost => self.snapshots.push(bytes),
            Fate::Late => self.late.push_back(Late::Snapshot(bytes)),
            Fate::Lost => {}
        }
    }

    /// Lands the append that has been late longest.
    pub(crate) fn land(&mut self, now: Duration) {
        match self.late.pop_front() {
            Some(Late::Group(group)) => self.push(now, &group),
            Some(Late::Snapshot(bytes)) => self.snapshots.push(bytes),
            None => {}
        }
    }

    /// Results of a job in one entry, if it is still kept.
    pub(crate) fn results(&self, job: id::Job, offset: u64) -> Option<Vec<(id::Item, Answer)>> {
        let at = offset.checked_sub(self.first)?;
        let entry = self.entries.get(at as usize)?;
        let group = Group::decode(&entry.payload)?;
        Some(group.into_results(job).collect())
    }

    /// Reads the shard as a daemon that has nothing.
    pub(crate) fn recover(&self, broken: Option<Broken>) -> Shard {
        let look_back = match broken {
            Some(Broken::LastSnapshot) => 1,
            _ => SNAPSHOTS,
        };
        let mut shard = furthest(self.snapshots.iter().rev().take(look_back));
        if shard.next() < self.first && broken != Some(Broken::LastSnapshot) {
            shard = furthest(self.snapshots.iter());
        }
        let page = rewrite(broken, &shard, self.page(shard.next()));
        shard.apply_page(&page);
        shard
    }

    /// Drops what a snapshot holds and no result lies in.
    pub(crate) fn truncate(&mut self, broken: Option<Broken>, reference: &Shard) {
        let held = match broken {
            Some(Broken::NoSnapshot) => self.next(),
            _ => furthest(self.snapshots.iter()).next(),
        };
        let places = reference.jobs().flat_map(|(_, job)| &job.results);
        let oldest = places.map(|place| place.offset).min();
        let first = oldest.unwrap_or(held).min(held);
        while self.first < first {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

fn furthest<'a>(snapshots: impl Iterator<Item = &'a Vec<u8>>) -> Shard {
    snapshots
        .filter_map(|bytes| Shard::restore(bytes))
        .max_by_key(Shard::next)
        .unwrap_or_default()
}
