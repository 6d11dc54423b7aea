//! Fold of a shard's stream.
//!
//! The first valid record in offset order decides. A claim is valid if it
//! names the epoch that stands; its offset is the next epoch. A group stamped
//! with another epoch than the standing one is ignored whole, so a paused or
//! cut-off owner can waste work but changes nothing.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bitterncart_protocol::engine::Weights;
use bitterncart_protocol::log::Page;
use bitterncart_protocol::record::{self, Answer, Chunk, Group, Reason, Record, Submit, Upload};
use bitterncart_protocol::{Name, id};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::call::Call;
use crate::invariant;
use crate::job::{Job, Key, Place};
use crate::rollout::Outcome;

/// What a record changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The shard has a new owner.
    Claimed,
    /// The owner gave the shard up.
    Released,
    /// Someone asks the standing owner to show itself.
    Challenged,
    /// The owner showed itself.
    Present,
    /// A job was accepted.
    Submitted(Key),
    /// A job was cancelled before it ended.
    Cancelled(Key),
    /// An item ended.
    Finished(Key, id::Item),
    /// A failed attempt was counted.
    Tried(Key, id::Item, u8),
    /// A lapsed lease was counted.
    Lapsed(Key, id::Item),
    /// The last item of a job ended.
    Ended(Key),
    /// A keyed call may run now.
    Announced(id::Call),
    /// The announcement of a keyed call with this nonce ended.
    Settled(id::Call, u64),
}

/// Fold of a shard's stream.
///
/// ```
/// use bitterncart_protocol::id;
/// use bitterncart_protocol::record::{Group, Reason, Record};
/// use bitterncart_state::Shard;
///
/// let mut shard = Shard::default();
/// let claim = Record::Claim { daemon: "d1".into(), supersedes: shard.epoch(), reason: Reason::Vacant };
/// shard.apply(0, 10, &Group { epoch: None, records: vec![claim] });
/// assert_eq!(shard.owner(), Some(&id::Daemon::from("d1")));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Shard {
    owner: Option<id::Daemon>,
    epoch: id::Epoch,
    released: bool,
    challenged: bool,
    clock_ms: u64,
    next: u64,
    jobs: SlotMap<Key, Job>,
    by_id: HashMap<id::Job, Key>,
    files: HashMap<id::File, Upload>,
    calls: HashMap<id::Call, Call>,
    rollouts: BTreeMap<Name, Outcome>,
    expiry: BTreeSet<(u64, Expiring)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Expiring {
    Job(id::Job),
    File(id::File),
    Call(id::Call),
}

/// How long a settled call is remembered, in milliseconds.
pub const CALL_KEEP_MS: u64 = 24 * 3600 * 1000;

/// Encoded state of a fold.
#[derive(Serialize, Deserialize)]
struct Snapshot {
    owner: Option<id::Daemon>,
    epoch: id::Epoch,
    released: bool,
    challenged: bool,
    clock_ms: u64,
    next: u64,
    jobs: Vec<Job>,
    files: Vec<Upload>,
    calls: BTreeMap<u128, Call>,
    rollouts: BTreeMap<Name, Outcome>,
}

impl Shard {
    /// Standing owner.
    #[must_use]
    pub fn owner(&self) -> Option<&id::Daemon> {
        self.owner.as_ref()
    }

    /// Standing epoch.
    #[must_use]
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Whether the owner gave the shard up.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Time of the last record, in milliseconds since 1970.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Whether a challenge to the standing owner has no answer yet.
    #[must_use]
    pub fn is_challenged(&self) -> bool {
        self.challenged
    }

    /// Jobs by key.
    pub fn jobs(&self) -> impl Iterator<Item = (Key, &Job)> {
        self.jobs.iter()
    }

    /// Job of a key.
    #[must_use]
    pub fn job(&self, key: Key) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Key of a job.
    #[must_use]
    pub fn key(&self, job: id::Job) -> Option<Key> {
        self.by_id.get(&job).copied()
    }

    /// Job of an id.
    #[must_use]
    pub fn find(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(self.key(job)?)
    }

    /// File of an id.
    #[must_use]
    pub fn file(&self, file: id::File) -> Option<&Upload> {
        self.files.get(&file)
    }

    /// Keyed call of an id.
    #[must_use]
    pub fn call(&self, call: id::Call) -> Option<&Call> {
        self.calls.get(&call)
    }

    /// Outcome of the rollouts of a model.
    #[must_use]
    pub fn rollout(&self, model: &Name) -> Outcome {
        self.rollouts.get(model).cloned().unwrap_or_default()
    }

    /// Items that have not ended.
    #[must_use]
    pub fn open_items(&self) -> u64 {
        self.jobs
            .values()
            .filter(|job| job.is_open())
            .map(|job| u64::from(job.remaining()))
            .sum()
    }

    /// Applies the group at an offset and tells what it changed.
    ///
    /// # Panics
    ///
    /// If offsets do not rise, or an invariant is broken.
    pub fn apply(&mut self, offset: u64, at_ms: u64, group: &Group) -> Vec<Event> {
        invariant::check(offset >= self.next, "offsets rise");
        self.next = offset + 1;
        self.clock_ms = self.clock_ms.max(at_ms);
        self.expire();
        match group.epoch {
            Some(epoch) if epoch != self.epoch || self.released => return Vec::new(),
            // Any record of the owner answers a challenge.
            Some(_) => self.challenged = false,
            None => {}
        }
        let place = Place { offset, at_ms };
        let mut events = Vec::new();
        for record in &group.records {
            if group.epoch.is_some() {
                self.apply_owned(place, record, &mut events);
            } else {
                self.apply_open(place, record, &mut events);
            }
        }
        events
    }

    /// Applies a page of the stream and tells what it changed.
    ///
    /// What expired before it was read is passed over.
    pub fn read(&mut self, page: &Page) -> Vec<Event> {
        let mut events = Vec::new();
        self.next = self.next.max(page.first);
        for entry in &page.entries {
            match Group::decode(&entry.payload) {
                _ if entry.offset < self.next => {}
                Some(group) => events.extend(self.apply(entry.offset, entry.at_ms, &group)),
                // No version of us wrote it, or a newer one did.
                None => self.next = entry.offset + 1,
            }
        }
        events
    }

    fn apply_open(&mut self, place: Place, record: &Record, events: &mut Vec<Event>) {
        match record {
            Record::Claim {
                daemon,
                supersedes,
                reason,
            } => {
                events.extend(self.claim(place, daemon, *supersedes, *reason));
            }
            Record::Challenge { epoch, .. } if *epoch == self.epoch && !self.released => {
                self.challenged = true;
                events.push(Event::Challenged);
            }
            Record::Submit(submit) => events.extend(self.submit(submit)),
            Record::File(upload) => self.upload(upload),
            Record::Cancel { job, .. } => events.extend(self.cancel(*job)),
            _ => {}
        }
    }

    fn apply_owned(&mut self, place: Place, record: &Record, events: &mut Vec<Event>) {
        match record {
            Record::Present => events.push(Event::Present),
            Record::Release => {
                self.released = true;
                events.push(Event::Released);
            }
            Record::Done { job, item, answer } => self.done(place, *job, *item, answer, events),
            Record::Tried { job, item, attempt } => {
                events.extend(self.tried(*job, *item, *attempt));
            }
            Record::Good { model, weights } => self.good(model, weights),
            Record::Halted { model, weights } => self.halted(model, weights),
            Record::Lapsed { job, item } => events.extend(self.lapsed(*job, *item)),
            Record::Carry { job, from, answers } => self.carry(place, *job, *from, answers.len()),
            Record::Move { job, index, chunk } => self.relocate(*job, *index, *chunk),
            Record::Intent {
                call,
                nonce,
                request,
                at_ms,
            } => {
                let entry = Call {
                    epoch: self.epoch,
                    nonce: *nonce,
                    request: *request,
                    at_ms: *at_ms,
                    outcome: None,
                };
                events.extend(self.announce(*call, entry));
            }
            Record::Outcome {
                call,
                nonce,
                outcome,
            } => {
                events.extend(self.settle(*call, *nonce, outcome));
            }
            _ => {}
        }
    }

    fn claim(
        &mut self,
        place: Place,
        daemon: &id::Daemon,
        supersedes: id::Epoch,
        reason: Reason,
    ) -> Option<Event> {
        if supersedes != self.epoch {
            return None;
        }
        let allowed = match reason {
            Reason::Vacant => self.owner.is_none(),
            Reason::Released => self.released,
            Reason::Unanswered => self.owner.is_some(),
        };
        if !allowed {
            return None;
        }
        // Offset 0 plus one, so that epoch 0 always means "never claimed".
        let epoch = id::Epoch(place.offset + 1);
        invariant::check(epoch > self.epoch, "epochs rise");
        self.epoch = epoch;
        self.owner = Some(daemon.clone());
        self.released = false;
        self.challenged = false;
        Some(Event::Claimed)
    }

    fn submit(&mut self, submit: &Submit) -> Option<Event> {
        if self.by_id.contains_key(&submit.job) || submit.items() == 0 {
            return None;
        }
        let key = self.jobs.insert(Job::new(submit.clone()));
        self.by_id.insert(submit.job, key);
        Some(Event::Submitted(key))
    }

    fn upload(&mut self, upload: &Upload) {
        if self.files.contains_key(&upload.file) {
            return;
        }
        let until = upload.at_ms + upload.keep_ms;
        self.expiry.insert((until, Expiring::File(upload.file)));
        self.files.insert(upload.file, upload.clone());
    }

    fn cancel(&mut self, id: id::Job) -> Option<Event> {
        let key = self.key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() {
            return None;
        }
        job.cancelled_ms = Some(self.clock_ms);
        job.ended_ms = Some(self.clock_ms);
        job.tried.clear();
        job.lapses.clear();
        self.keep(id, key);
        Some(Event::Cancelled(key))
    }

    fn done(
        &mut self,
        place: Place,
        id: id::Job,
        item: id::Item,
        answer: &Answer,
        events: &mut Vec<Event>,
    ) {
        let Some(key) = self.key(id) else { return };
        let job = &mut self.jobs[key];
        if !job.is_open() || item.0 >= job.items() || !job.done.insert(item.0) {
            return;
        }
        job.tried.remove(&item.0);
        job.lapses.remove(&item.0);
        job.failed += u32::from(answer.code.is_some());
        job.held_at(place);
        invariant::check(
            job.done.len() <= u64::from(job.items()),
            "no more results than items",
        );
        events.push(Event::Finished(key, item));
        if job.remaining() == 0 {
            job.ended_ms = Some(self.clock_ms);
            self.keep(id, key);
            events.push(Event::Ended(key));
        }
    }

    fn tried(&mut self, id: id::Job, item: id::Item, attempt: u8) -> Option<Event> {
        let key = self.key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() || job.done.contains(item.0) {
            return None;
        }
        let count = job.tried.entry(item.0).or_default();
        *count = attempt.max(*count);
        Some(Event::Tried(key, item, *count))
    }

    fn lapsed(&mut self, id: id::Job, item: id::Item) -> Option<Event> {
        let key = self.key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() || item.0 >= job.items() || job.done.contains(item.0) {
            return None;
        }
        let count = job.lapses.entry(item.0).or_default();
        *count = count.saturating_add(1);
        Some(Event::Lapsed(key, item))
    }

    fn carry(&mut self, place: Place, id: id::Job, from: u64, answers: usize) {
        let Some(key) = self.key(id) else { return };
        let job = &mut self.jobs[key];
        let before = job.results.len();
        job.results.retain(|old| old.offset != from);
        if job.results.len() < before && answers > 0 {
            job.held_at(place);
        }
    }

    fn relocate(&mut self, id: id::Job, index: u32, chunk: Chunk) {
        let Some(key) = self.key(id) else { return };
        match self.jobs[key].submit.chunks.get_mut(index as usize) {
            Some(old) if old.lines == chunk.lines => *old = chunk,
            _ => {}
        }
    }

    fn announce(&mut self, call: id::Call, entry: Call) -> Option<Event> {
        let free = match self.calls.get(&call) {
            None => true,
            Some(known) => matches!(known.outcome, Some(record::Outcome::NotRun(_))),
        };
        if !free {
            return None;
        }
        self.expiry
            .insert((entry.at_ms + CALL_KEEP_MS, Expiring::Call(call)));
        self.calls.insert(call, entry);
        Some(Event::Announced(call))
    }

    fn settle(&mut self, id: id::Call, nonce: u64, outcome: &record::Outcome) -> Option<Event> {
        let call = self.calls.get_mut(&id)?;
        if call.outcome.is_some() || call.nonce != nonce {
            return None;
        }
        call.outcome = Some(outcome.clone());
        Some(Event::Settled(id, nonce))
    }

    fn good(&mut self, model: &Name, weights: &Weights) {
        let outcome = self.rollouts.entry(model.clone()).or_default();
        outcome.good = Some(weights.clone());
    }

    fn halted(&mut self, model: &Name, weights: &Weights) {
        let outcome = self.rollouts.entry(model.clone()).or_default();
        outcome.halted = Some(weights.clone());
    }

    fn keep(&mut self, id: id::Job, key: Key) {
        let until = self.clock_ms + self.jobs[key].submit.keep_ms;
        self.expiry.insert((until, Expiring::Job(id)));
    }

    fn expire(&mut self) {
        while let Some(&(until, what)) = self.expiry.first() {
            if until > self.clock_ms {
                return;
            }
            self.expiry.pop_first();
            self.forget(what);
        }
    }

    fn forget(&mut self, what: Expiring) {
        match what {
            Expiring::Job(id) => {
                if let Some(key) = self.by_id.remove(&id) {
                    self.jobs.remove(key);
                }
            }
            Expiring::File(id) => {
                self.files.remove(&id);
            }
            Expiring::Call(id) => {
                // A call that was announced again after `NotRun` has a later term of its own.
                let due = |call: &Call| call.at_ms + CALL_KEEP_MS <= self.clock_ms;
                if self.calls.get(&id).is_some_and(due) {
                    self.calls.remove(&id);
                }
            }
        }
    }

    /// Encoded state, from which [`Self::restore`] goes on.
    ///
    /// # Panics
    ///
    /// Never: the types of the fold always encode.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            owner: self.owner.clone(),
            epoch: self.epoch,
            released: self.released,
            challenged: self.challenged,
            clock_ms: self.clock_ms,
            next: self.next,
            jobs: self.jobs.values().cloned().collect(),
            files: self.files.values().cloned().collect(),
            calls: self
                .calls
                .iter()
                .map(|(id, call)| (id.0, call.clone()))
                .collect(),
            rollouts: self.rollouts.clone(),
        };
        postcard::to_stdvec(&snapshot).expect("a snapshot encodes")
    }

    /// State of an encoded snapshot; `None` for what no version of us wrote.
    #[must_use]
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let snapshot: Snapshot = postcard::from_bytes(bytes).ok()?;
        let mut shard = Self {
            owner: snapshot.owner,
            epoch: snapshot.epoch,
            released: snapshot.released,
            challenged: snapshot.challenged,
            clock_ms: snapshot.clock_ms,
            next: snapshot.next,
            rollouts: snapshot.rollouts,
            ..Self::default()
        };
        for upload in &snapshot.files {
            shard.upload(upload);
        }
        for job in snapshot.jobs {
            let id = job.submit.job;
            let until = job.ended_ms.map(|ended| ended + job.submit.keep_ms);
            let key = shard.jobs.insert(job);
            shard.by_id.insert(id, key);
            shard
                .expiry
                .extend(until.map(|until| (until, Expiring::Job(id))));
        }
        for (id, call) in snapshot.calls {
            let id = id::Call(id);
            shard
                .expiry
                .insert((call.at_ms + CALL_KEEP_MS, Expiring::Call(id)));
            shard.calls.insert(id, call);
        }
        Some(shard)
    }
}
