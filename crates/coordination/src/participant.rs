//! One daemon's part in one shard.
//!
//! It joins the fold of the shard's stream, the part in its ownership, the
//! schedule of its items and the keyed calls that run here. The daemon brings
//! pages of the stream and takes groups to append; nothing an owner decides
//! takes effect before it has come back in a page.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_protocol::log::Page;
use bitterncart_protocol::peer::{End, Lease};
use bitterncart_protocol::record::{Group, Outcome, Record};
use bitterncart_protocol::{Code, Name, admin, id};
use bitterncart_state::shard::Event;
use bitterncart_state::{Shard, invariant};
use compact_str::CompactString;

use crate::call::{self, Step};
use crate::ownership::{Action, Ownership, View};
use crate::queue::Queue;

/// Records that wait for the log at most before no more items are leased.
const MAX_PENDING: usize = 20_000;

/// Bytes of one group at most.
const GROUP_BYTES: usize = 1 << 20;

/// Bytes that a record adds to its contents.
const RECORD_BYTES: usize = 64;

/// What the daemon knows around a shard.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// Daemon that should own the shard, by rendezvous over the live ones.
    pub winner: Option<&'a id::Daemon>,
    /// Whether the standing owner seems alive.
    pub owner_alive: bool,
    /// Whether this daemon drains.
    pub draining: bool,
}

/// What a page changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whether the shard has a new owner or none.
    pub owner_changed: bool,
    /// Leases that no longer stand.
    pub revoked: Vec<Lease>,
}

/// One daemon's part in one shard.
#[derive(Clone, Debug)]
pub struct Participant {
    shard: Shard,
    ownership: Ownership,
    queue: Option<Queue>,
    read: Duration,
    pending: Vec<Record>,
    running: HashMap<id::Call, u64>,
}

impl Participant {
    /// Part of a daemon over a recovered fold.
    #[must_use]
    pub fn new(me: id::Daemon, shard: Shard) -> Self {
        Self {
            shard,
            ownership: Ownership::new(me),
            queue: None,
            read: Duration::ZERO,
            pending: Vec::new(),
            running: HashMap::new(),
        }
    }

    /// Fold of the stream.
    #[must_use]
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Whether this daemon owns the shard by its fold.
    #[must_use]
    pub fn is_mine(&self) -> bool {
        self.ownership.is_mine(&self.shard)
    }

    /// Whether items and calls may start now.
    #[must_use]
    pub fn may_start(&self, now: Duration) -> bool {
        self.queue.is_some() && self.ownership.may_start(now, &self.shard, self.read)
    }

    /// When the last read of the stream's end began.
    #[must_use]
    pub fn last_read(&self) -> Duration {
        self.read
    }

    /// Records that wait for the log.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Applies a page whose read began at `began`.
    pub fn apply(&mut self, began: Duration, page: &Page) -> Applied {
        let events = self.shard.read(page);
        if self.shard.next() >= page.next {
            self.read = self.read.max(began);
        }
        let mut applied = Applied::default();
        for event in &events {
            self.follow(event, &mut applied);
        }
        applied
    }

    fn follow(&mut self, event: &Event, applied: &mut Applied) {
        match event {
            Event::Claimed | Event::Released => {
                applied.owner_changed = true;
                self.pending.clear();
                self.running.clear();
                self.queue = self.is_mine().then(|| Queue::new(&self.shard));
            }
            // An older announcement of the call may end while a newer one waits.
            Event::Settled(call, nonce) if self.running.get(call) == Some(nonce) => {
                self.running.remove(call);
            }
            _ => {}
        }
        let Some(queue) = self.queue.as_mut() else {
            return;
        };
        match event {
            Event::Submitted(key) => queue.submitted(*key),
            Event::Finished(key, item) => queue.committed(*key, *item),
            Event::Tried(key, item, _) | Event::Lapsed(key, item) => queue.counted(*key, *item),
            Event::Cancelled(key) | Event::Ended(key) => {
                let job = self.shard.job(*key).map(|job| job.submit.job);
                applied
                    .revoked
                    .extend(job.map(|job| queue.ended(*key, job)).unwrap_or_default());
            }
            _ => {}
        }
    }

    /// Decides this daemon's part in the ownership; owner's records are queued.
    pub fn look(&mut self, now: Duration, around: Surroundings<'_>) -> Option<Record> {
        if self.is_mine() && self.queue.is_none() {
            // The fold was read anew: what ran under this epoch is not known here.
            self.pending = vec![Record::Release];
            return None;
        }
        let unfinished = self.pending.len() + self.running.len();
        let view = View {
            shard: &self.shard,
            read: self.read,
            winner: around.winner,
            owner_alive: around.owner_alive,
            draining: around.draining,
            unfinished: unfinished as u32,
        };
        match self.ownership.look(now, view) {
            Some(Action::Open(record)) => Some(record),
            Some(Action::Owned(record)) => {
                self.pending.push(record);
                None
            }
            None => None,
        }
    }

    /// Queues records of the owner.
    pub fn push(&mut self, records: impl IntoIterator<Item = Record>) {
        self.pending.extend(records);
    }

    /// Takes queued records for one group of the standing epoch.
    pub fn take_group(&mut self) -> Option<Group> {
        if !self.is_mine() {
            // The standing epoch is another daemon's.
            self.pending.clear();
            return None;
        }
        let carried = is_carried(self.pending.first()?);
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let fits = bytes < GROUP_BYTES && is_carried(record) == carried;
            bytes += size(record);
            fits
        };
        let count = self.pending.iter().take_while(fits).count();
        let records: Vec<Record> = self.pending.drain(..count).collect();
        (!records.is_empty()).then(|| Group {
            epoch: Some(self.shard.epoch()),
            records,
        })
    }

    /// Whether a group may still be appended.
    #[must_use]
    pub fn stands(&self, group: &Group) -> bool {
        self.is_mine() && group.epoch == Some(self.shard.epoch())
    }

    /// Leases up to `count` items of a model.
    pub fn pull(&mut self, now: Duration, wall_ms: u64, model: &Name, count: usize) -> Vec<Lease> {
        let may_start = self.may_start(now) && self.pending.len() < MAX_PENDING;
        match self.queue.as_mut() {
            Some(queue) if may_start => queue.pull(now, wall_ms, &self.shard, model, count),
            _ => Vec::new(),
        }
    }

    /// Notes the caller's name for a leased item.
    pub fn name(&mut self, lease: Lease, custom_id: CompactString) {
        if let Some(queue) = self.queue.as_mut() {
            queue.name(&self.shard, lease, custom_id);
        }
    }

    /// Takes the end of an attempt.
    pub fn finish(&mut self, lease: Lease, end: End, attempts: u8) {
        if let Some(queue) = self.queue.as_mut() {
            self.pending
                .extend(queue.finish(&self.shard, lease, end, attempts));
        }
    }

    /// Extends leases and returns those that no longer stand.
    pub fn renew(&mut self, now: Duration, leases: &[Lease]) -> Vec<Lease> {
        match self.queue.as_mut() {
            Some(queue) => queue.renew(now, &self.shard, leases),
            None => leases.to_vec(),
        }
    }

    /// Takes lapsed leases back and returns their number.
    pub fn expire(&mut self, now: Duration, attempts: u8) -> u32 {
        let Some(queue) = self.queue.as_mut() else {
            return 0;
        };
        let (records, lapses) = queue.expire(now, &self.shard, attempts);
        self.pending.extend(records);
        lapses
    }

    /// Decides a keyed call; on [`Step::Announce`] its announcement is queued.
    pub fn call(&mut self, call: id::Call, nonce: u64, request: u128, at_ms: u64) -> Step {
        let step = call::decide(&self.shard, call, request, self.running.contains_key(&call));
        if step == Step::Announce {
            self.running.insert(call, nonce);
            self.pending.push(Record::Intent {
                call,
                nonce,
                request,
                at_ms,
            });
        }
        step
    }

    /// Whether the fold has this announcement, so that its call may run once.
    #[must_use]
    pub fn is_announced(&self, call: id::Call, nonce: u64) -> bool {
        let known = self.shard.call(call);
        let stands = known.is_some_and(|known| {
            known.epoch == self.shard.epoch() && known.nonce == nonce && known.outcome.is_none()
        });
        stands && self.is_mine() && self.running.get(&call) == Some(&nonce)
    }

    /// Queues the outcome of a call that ran or certainly did not.
    pub fn settle(&mut self, call: id::Call, nonce: u64, outcome: Outcome) {
        let seen = self
            .shard
            .call(call)
            .is_some_and(|known| known.nonce == nonce);
        invariant::check(
            seen || matches!(outcome, Outcome::NotRun(_)),
            "a call runs only after its announcement is in the log",
        );
        self.pending.push(Record::Outcome {
            call,
            nonce,
            outcome,
        });
    }

    /// Withdraws a call whose announcement did not come back in time.
    pub fn withdraw(&mut self, call: id::Call, nonce: u64, code: Code) {
        self.settle(call, nonce, Outcome::NotRun(code));
        if self.running.get(&call) == Some(&nonce) {
            self.running.remove(&call);
        }
    }

    /// Row for operators.
    #[must_use]
    pub fn view(&self, number: id::Shard) -> admin::Shard {
        let shard = &self.shard;
        admin::Shard {
            shard: number,
            owner: shard.owner().cloned().filter(|_| !shard.is_released()),
            epoch: shard.epoch(),
            mine: self.is_mine(),
            open_jobs: shard.jobs().filter(|(_, job)| job.is_open()).count() as u32,
            open_items: shard.open_items(),
            leased: self.queue.as_ref().map_or(0, Queue::leased),
            waiting: self.pending.len() as u32,
        }
    }
}

/// Whether a record writes results again.
///
/// Such records have groups of their own: a cancellation that lands before a group
/// voids the new results in it but not the carried ones, and an entry's results
/// are read all or not at all.
fn is_carried(record: &Record) -> bool {
    matches!(record, Record::Carry { .. })
}

fn size(record: &Record) -> usize {
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
