//! Runs one daemon's participation in one shard.
//!
//! A participant replays the shard's log stream, competes for ownership and, as
//! the owner, schedules the shard's items and runs its keyed calls. The daemon
//! passes in pages of the stream and appends the record groups that the
//! participant returns. No decision of an owner takes effect before its record has
//! been read back from the stream.

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
use crate::ownership::{self, Action, Ownership};
use crate::queue::Queue;

/// Pending records at which no more items are leased.
const MAX_PENDING_RECORDS: usize = 20_000;

/// Size at which a group takes no more records.
const MAX_GROUP_BYTES: usize = 1 << 20;

/// Assumed size of a record without its contents.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Inputs from the daemon to the ownership decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Preferred owner by rendezvous hashing over the live daemons.
    pub preferred_owner: Option<&'a id::Daemon>,
    /// Whether membership considers the current owner alive.
    pub owner_alive: bool,
    /// Whether this daemon is draining.
    pub draining: bool,
}

/// Effects of an applied page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whether the shard was claimed or released.
    pub owner_changed: bool,
    /// Revoked leases.
    pub revoked: Vec<Lease>,
}

/// Participation of one daemon in one shard.
#[derive(Clone, Debug)]
pub struct Participant {
    shard: Shard,
    ownership: Ownership,
    queue: Option<Queue>,
    last_read: Duration,
    pending: Vec<Record>,
    /// Nonces of the keyed calls that run here.
    running: HashMap<id::Call, u64>,
}

impl Participant {
    /// Participant of the daemon `me` over the recovered state of a shard.
    #[must_use]
    pub fn new(me: id::Daemon, shard: Shard) -> Self {
        Self {
            shard,
            ownership: Ownership::new(me),
            queue: None,
            last_read: Duration::ZERO,
            pending: Vec::new(),
            running: HashMap::new(),
        }
    }

    /// State replayed from the stream.
    #[must_use]
    pub fn shard(&self) -> &Shard {
        &self.shard
    }

    /// Whether this daemon owns the shard according to the replayed state.
    #[must_use]
    pub fn is_mine(&self) -> bool {
        self.ownership.is_mine(&self.shard)
    }

    /// Whether items and keyed calls may start now.
    #[must_use]
    pub fn may_start(&self, now: Duration) -> bool {
        self.queue.is_some() && self.ownership.may_start(now, &self.shard, self.last_read)
    }

    /// Start of the last read that reached the end of the stream.
    #[must_use]
    pub fn last_read(&self) -> Duration {
        self.last_read
    }

    /// Number of records not yet taken for a group.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Applies a page; `read_start` is the time at which its read began.
    pub fn apply(&mut self, read_start: Duration, page: &Page) -> Applied {
        let events = self.shard.apply_page(page);
        if self.shard.next() >= page.next {
            self.last_read = self.last_read.max(read_start);
        }
        let mut applied = Applied::default();
        for event in &events {
            self.apply_event(event, &mut applied);
        }
        applied
    }

    fn apply_event(&mut self, event: &Event, applied: &mut Applied) {
        match event {
            Event::Claimed | Event::Released => {
                applied.owner_changed = true;
                self.pending.clear();
                self.running.clear();
                self.queue = self.is_mine().then(|| Queue::new(&self.shard));
            }
            // An older announcement of the call may be completed while a newer one is pending.
            Event::CallCompleted(call, nonce) if self.running.get(call) == Some(nonce) => {
                self.running.remove(call);
            }
            _ => {}
        }
        let Some(queue) = self.queue.as_mut() else {
            return;
        };
        match event {
            Event::JobSubmitted(key) => queue.add_job(*key),
            Event::ItemFinished(key, item) => queue.commit_end(*key, *item),
            Event::AttemptFailed(key, item, _) | Event::LeaseExpired(key, item) => {
                queue.commit_retry(*key, *item);
            }
            Event::JobCancelled(key) | Event::JobFinished(key) => {
                let job = self.shard.job(*key).map(|job| job.submit.job);
                applied.revoked.extend(
                    job.map(|job| queue.remove_job(*key, job))
                        .unwrap_or_default(),
                );
            }
            _ => {}
        }
    }

    /// Decides the next ownership step; returns a record to append without an epoch.
    ///
    /// Records that only the owner may append are queued for the next group instead.
    pub fn decide(&mut self, now: Duration, inputs: Context<'_>) -> Option<Record> {
        if self.is_mine() && self.queue.is_none() {
            // The state was recovered from the log, so what runs under this epoch is
            // unknown here; release the shard.
            self.pending = vec![Record::Release];
            return None;
        }
        let uncommitted = self.pending.len() + self.running.len();
        let context = ownership::Context {
            shard: &self.shard,
            last_read: self.last_read,
            preferred_owner: inputs.preferred_owner,
            owner_alive: inputs.owner_alive,
            draining: inputs.draining,
            uncommitted: uncommitted as u32,
        };
        match self.ownership.decide(now, context) {
            Some(Action::Unfenced(record)) => Some(record),
            Some(Action::Fenced(record)) => {
                self.pending.push(record);
                None
            }
            None => None,
        }
    }

    /// Queues records that only the owner may append.
    pub fn push(&mut self, records: impl IntoIterator<Item = Record>) {
        self.pending.extend(records);
    }

    /// Takes queued records for one group of the current epoch.
    pub fn take_group(&mut self) -> Option<Group> {
        if !self.is_mine() {
            // Another daemon owns the current epoch.
            self.pending.clear();
            return None;
        }
        let carried = is_carried(self.pending.first()?);
        let mut bytes = 0;
        let fits = |record: &&Record| {
            let fits = bytes < MAX_GROUP_BYTES && is_carried(record) == carried;
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

    /// Whether a group taken earlier may still be appended: its epoch is current.
    #[must_use]
    pub fn is_current(&self, group: &Group) -> bool {
        self.is_mine() && group.epoch == Some(self.shard.epoch())
    }

    /// Leases up to `count` items of a model; none unless items may start.
    pub fn pull(&mut self, now: Duration, wall_ms: u64, model: &Name, count: usize) -> Vec<Lease> {
        let may_start = self.may_start(now) && self.pending.len() < MAX_PENDING_RECORDS;
        match self.queue.as_mut() {
            Some(queue) if may_start => queue.pull(now, wall_ms, &self.shard, model, count),
            _ => Vec::new(),
        }
    }

    /// Sets the client's `custom_id` of a leased item.
    pub fn set_custom_id(&mut self, lease: Lease, custom_id: CompactString) {
        if let Some(queue) = self.queue.as_mut() {
            queue.set_custom_id(&self.shard, lease, custom_id);
        }
    }

    /// Handles the end of an attempt and queues its record.
    pub fn finish(&mut self, lease: Lease, end: End, attempts: u8) {
        if let Some(queue) = self.queue.as_mut() {
            self.pending
                .extend(queue.finish(&self.shard, lease, end, attempts));
        }
    }

    /// Renews leases and returns those that are no longer valid.
    pub fn renew(&mut self, now: Duration, leases: &[Lease]) -> Vec<Lease> {
        match self.queue.as_mut() {
            Some(queue) => queue.renew(now, &self.shard, leases),
            None => leases.to_vec(),
        }
    }

    /// Handles expired leases and returns their number.
    pub fn expire(&mut self, now: Duration, attempts: u8) -> u32 {
        let Some(queue) = self.queue.as_mut() else {
            return 0;
        };
        let (records, expired) = queue.expire(now, &self.shard, attempts);
        self.pending.extend(records);
        expired
    }

    /// Decides a keyed call; queues its announcement on [`Step::Announce`].
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

    /// Whether the log has this announcement as the current one, so that the call may run.
    #[must_use]
    pub fn is_announced(&self, call: id::Call, nonce: u64) -> bool {
        let known = self.shard.call(call);
        let is_current = known.is_some_and(|known| {
            known.epoch == self.shard.epoch() && known.nonce == nonce && known.outcome.is_none()
        });
        is_current && self.is_mine() && self.running.get(&call) == Some(&nonce)
    }

    /// Queues the outcome of a call that ran or certainly did not run.
    pub fn record_outcome(&mut self, call: id::Call, nonce: u64, outcome: Outcome) {
        let is_announced = self
            .shard
            .call(call)
            .is_some_and(|known| known.nonce == nonce);
        invariant::check(
            is_announced || matches!(outcome, Outcome::NotRun(_)),
            "a call runs only after its announcement is in the log",
        );
        self.pending.push(Record::Outcome {
            call,
            nonce,
            outcome,
        });
    }

    /// Withdraws a call whose announcement was not read back from the log in time.
    pub fn withdraw(&mut self, call: id::Call, nonce: u64, code: Code) {
        self.record_outcome(call, nonce, Outcome::NotRun(code));
        if self.running.get(&call) == Some(&nonce) {
            self.running.remove(&call);
        }
    }

    /// Row for the admin API.
    #[must_use]
    pub fn admin_row(&self, number: id::Shard) -> admin::Shard {
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

/// Whether a record carries results forward before the log drops them.
///
/// Such records need groups of their own: a cancellation appended before a group
/// voids the group's new results but not the carried ones, and the results of a
/// log entry are read either all or not at all.
fn is_carried(record: &Record) -> bool {
    matches!(record, Record::Carry { .. })
}

fn size(record: &Record) -> usize {
    let contents = match record {
        Record::Done { answer, .. } => answer.body.len(),
        Record::Carry { answers, .. } => answers
            .iter()
            .map(|(_, answer)| answer.body.len() + RECORD_OVERHEAD_BYTES)
            .sum(),
        Record::Outcome {
            outcome: Outcome::Answered { body, .. },
            ..
        } => body.len(),
        _ => 0,
    };
    RECORD_OVERHEAD_BYTES + contents
}
