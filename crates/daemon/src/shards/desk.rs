//! Tables of one shard.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::{Ownership, Queue};
use bitterncart_protocol::record::{Group, Record};
use bitterncart_protocol::{admin, id};
use bitterncart_state::Shard;
use event_listener::Event;

/// Records that wait for the log at most before the shard leases no more items.
pub(super) const MAX_WAITING: usize = 20_000;

/// Bytes of one group at most.
const GROUP_BYTES: usize = 1 << 20;

/// Bytes that a record adds to its contents.
const RECORD_BYTES: usize = 64;

/// What a desk guards.
#[derive(Debug)]
pub(super) struct Table {
    /// Fold of the stream.
    pub(super) shard: Shard,
    /// Part in the ownership.
    pub(super) ownership: Ownership,
    /// Schedule, while this daemon is the owner.
    pub(super) queue: Option<Queue>,
    /// When the stream was last read to its end.
    pub(super) read: Duration,
    /// Records of the owner that wait for the log.
    pub(super) pending: Vec<Record>,
    /// Keyed calls that run here.
    pub(super) running: HashSet<id::Call>,
    /// Entries since the last snapshot.
    pub(super) since_snapshot: u32,
    /// When the last snapshot was written.
    pub(super) snapshot_at: Duration,
}

impl Table {
    /// Whether items and calls may start now.
    pub(super) fn may_start(&self, now: Duration) -> bool {
        self.ownership.may_start(now, &self.shard, self.read)
    }

    /// Takes pending records for one group of the standing epoch.
    pub(super) fn take_group(&mut self) -> Option<Group> {
        let mut bytes = 0;
        let count = self
            .pending
            .iter()
            .take_while(|record| {
                let fits = bytes < GROUP_BYTES;
                bytes += size(record);
                fits
            })
            .count();
        let records: Vec<Record> = self.pending.drain(..count).collect();
        (!records.is_empty()).then(|| Group {
            epoch: Some(self.shard.epoch()),
            records,
        })
    }
}

fn size(record: &Record) -> usize {
    use bitterncart_protocol::record::Outcome;
    let contents = match record {
        Record::Done { answer, .. } => answer.body.len(),
        Record::Carry { answers, .. } => answers
            .iter()
            .map(|(_, answer)| answer.body.len() + RECORD_BYTES)
            .sum(),
        Record::Outcome {
            outcome: Outcome::Answered { body, .. },
            ..
        } => body.len(),
        _ => 0,
    };
    RECORD_BYTES + contents
}

/// Tables of one shard and the events around them.
#[derive(Debug)]
pub struct Desk {
    /// Number of the shard.
    pub number: id::Shard,
    /// Fires when the fold moved or the desk is closed.
    pub(super) changed: Event,
    /// Fires when records wait.
    pub(super) filled: Event,
    table: Mutex<Table>,
}

impl Desk {
    /// Desk over a recovered fold.
    #[must_use]
    pub(super) fn new(number: id::Shard, me: id::Daemon, shard: Shard, now: Duration) -> Self {
        let table = Table {
            shard,
            ownership: Ownership::new(me),
            queue: None,
            read: Duration::ZERO,
            pending: Vec::new(),
            running: HashSet::new(),
            since_snapshot: 0,
            snapshot_at: now,
        };
        Self {
            number,
            changed: Event::new(),
            filled: Event::new(),
            table: Mutex::new(table),
        }
    }

    /// The shard's tables.
    pub(super) fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds records of the owner and wakes the committer.
    pub(super) fn push(&self, records: impl IntoIterator<Item = Record>) {
        self.table().pending.extend(records);
        self.filled.notify(usize::MAX);
    }

    /// Whether this daemon owns the shard by its fold.
    #[must_use]
    pub fn is_mine(&self) -> bool {
        let table = self.table();
        table.ownership.is_mine(&table.shard)
    }

    /// Row for operators.
    #[must_use]
    pub fn view(&self) -> admin::Shard {
        let table = self.table();
        let shard = &table.shard;
        admin::Shard {
            shard: self.number,
            owner: shard.owner().cloned().filter(|_| !shard.is_released()),
            epoch: shard.epoch(),
            mine: table.ownership.is_mine(shard),
            open_jobs: shard.jobs().filter(|(_, job)| job.is_open()).count() as u32,
            open_items: shard.open_items(),
            leased: table.queue.as_ref().map_or(0, Queue::leased),
            waiting: table.pending.len() as u32,
        }
    }
}
