//! In-memory state of a shard, computed from its log stream.
//!
//! A shard holds batch jobs, input files, idempotent service calls and the
//! rollout state of models. Every daemon applies the records of the stream in
//! offset order and computes the same state; of conflicting records, the first
//! valid one takes effect.
//!
//! The stream also decides which daemon owns the shard. A claim is valid if it
//! names the current epoch, and the new epoch is the offset of the claim plus
//! one. A group of records that carries any other epoch than the current one,
//! or that follows the release of the shard, is ignored as a whole. So an owner
//! that was paused or partitioned may run work whose results are discarded, but
//! it cannot change the state after another daemon has claimed the shard.
//!
//! Jobs, files and calls are removed when their retention ends. The clock for
//! this is the append time of the records, so all readers remove an entry at
//! the same offset.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use bitterncart_protocol::engine::Weights;
use bitterncart_protocol::log::Page;
use bitterncart_protocol::record::{self, Answer, Chunk, Group, Reason, Record, Submit, Upload};
use bitterncart_protocol::{Name, id};
use serde::{Deserialize, Serialize};
use slotmap::SlotMap;

use crate::call::Call;
use crate::invariant;
use crate::job::{EntryRef, Job, Key};
use crate::rollout::History;

/// State change caused by a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The shard has a new owner.
    Claimed,
    /// The owner released the shard.
    Released,
    /// A daemon challenged the current owner to confirm that it can append to the stream.
    Challenged,
    /// The owner confirmed that it can append to the stream.
    OwnerConfirmed,
    /// A job was accepted.
    JobSubmitted(Key),
    /// An open job was cancelled.
    JobCancelled(Key),
    /// The result of an item was recorded.
    ItemFinished(Key, id::Item),
    /// A failed attempt at an item was counted; the number is the highest attempt so far.
    AttemptFailed(Key, id::Item, u8),
    /// An expired lease of an item was counted.
    LeaseExpired(Key, id::Item),
    /// The result of the last item of a job was recorded.
    JobFinished(Key),
    /// The intent of a keyed call was recorded, so the call may run now.
    CallStarted(id::Call),
    /// The outcome of the keyed call whose intent has this nonce was recorded.
    CallCompleted(id::Call, u64),
}

/// State of a shard after all entries before offset [`Self::next`].
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
    last_append_ms: u64,
    next: u64,
    jobs: SlotMap<Key, Job>,
    key_by_id: HashMap<id::Job, Key>,
    files: HashMap<id::File, Upload>,
    calls: HashMap<id::Call, Call>,
    rollouts: BTreeMap<Name, History>,
    /// Removal times in milliseconds since the Unix epoch.
    expirations: BTreeSet<(u64, Expirable)>,
}

/// Entry of a shard that is removed when its retention ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Expirable {
    Job(id::Job),
    File(id::File),
    Call(id::Call),
}

/// Retention of a keyed call and its outcome from the time of its intent, in milliseconds.
pub const CALL_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Stored form of a [`Shard`]; the order and types of the fields are part of the format.
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
    rollouts: BTreeMap<Name, History>,
}

impl Shard {
    /// Current owner; `None` if the shard was never claimed. Stays set after a release.
    #[must_use]
    pub fn owner(&self) -> Option<&id::Daemon> {
        self.owner.as_ref()
    }

    /// Current epoch; 0 if the shard was never claimed.
    #[must_use]
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Whether the owner has released the shard.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Offset of the next entry to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Latest append time of the entries applied so far, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn last_append_ms(&self) -> u64 {
        self.last_append_ms
    }

    /// Whether the current owner has an unanswered challenge.
    #[must_use]
    pub fn is_challenged(&self) -> bool {
        self.challenged
    }

    /// Jobs with their keys, in arbitrary order.
    pub fn jobs(&self) -> impl Iterator<Item = (Key, &Job)> {
        self.jobs.iter()
    }

    /// Job with a key.
    #[must_use]
    pub fn job(&self, key: Key) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Key of the job with an id.
    #[must_use]
    pub fn job_key(&self, job: id::Job) -> Option<Key> {
        self.key_by_id.get(&job).copied()
    }

    /// Job with an id.
    #[must_use]
    pub fn job_by_id(&self, job: id::Job) -> Option<&Job> {
        self.jobs.get(self.job_key(job)?)
    }

    /// Input file with an id.
    #[must_use]
    pub fn file(&self, file: id::File) -> Option<&Upload> {
        self.files.get(&file)
    }

    /// Keyed call with an id.
    #[must_use]
    pub fn call(&self, call: id::Call) -> Option<&Call> {
        self.calls.get(&call)
    }

    /// Rollout state of a model; empty if none is recorded.
    #[must_use]
    pub fn rollout(&self, model: &Name) -> History {
        self.rollouts.get(model).cloned().unwrap_or_default()
    }

    /// Number of items without a result in open jobs.
    #[must_use]
    pub fn open_items(&self) -> u64 {
        self.jobs
            .values()
            .filter(|job| job.is_open())
            .map(|job| u64::from(job.remaining()))
            .sum()
    }

    /// Applies the group at an offset and returns the changes.
    ///
    /// # Panics
    ///
    /// If the offset was applied before, or another invariant is violated.
    pub fn apply(&mut self, offset: u64, at_ms: u64, group: &Group) -> Vec<Event> {
        invariant::check(offset >= self.next, "offsets increase");
        self.next = offset + 1;
        self.last_append_ms = self.last_append_ms.max(at_ms);
        self.remove_expired();
        match group.epoch {
            Some(epoch) if epoch != self.epoch || self.released => return Vec::new(),
            // Any record of the current owner answers a challenge.
            Some(_) => self.challenged = false,
            None => {}
        }
        let entry_ref = EntryRef { offset, at_ms };
        let mut events = Vec::new();
        for record in &group.records {
            if group.epoch.is_some() {
                self.apply_fenced(entry_ref, record, &mut events);
            } else {
                self.apply_unfenced(entry_ref, record, &mut events);
            }
        }
        events
    }

    /// Applies a page of the stream and returns the changes.
    ///
    /// Offsets that the log expired before they were read are skipped, and so
    /// are entries that were applied before or cannot be decoded.
    pub fn apply_page(&mut self, page: &Page) -> Vec<Event> {
        let mut events = Vec::new();
        self.next = self.next.max(page.first);
        for entry in &page.entries {
            match Group::decode(&entry.payload) {
                _ if entry.offset < self.next => {}
                Some(group) => events.extend(self.apply(entry.offset, entry.at_ms, &group)),
                // Not a group that this version can decode, e.g. one written by a newer version.
                None => self.next = entry.offset + 1,
            }
        }
        events
    }

    /// Applies a record that any daemon may append, of a group without an epoch.
    fn apply_unfenced(&mut self, entry_ref: EntryRef, record: &Record, events: &mut Vec<Event>) {
        match record {
            Record::Claim {
                daemon,
                supersedes,
                reason,
            } => {
                events.extend(self.claim(entry_ref, daemon, *supersedes, *reason));
            }
            Record::Challenge { epoch, .. } if *epoch == self.epoch && !self.released => {
                self.challenged = true;
                events.push(Event::Challenged);
            }
            Record::Submit(submit) => events.extend(self.add_job(submit)),
            Record::File(upload) => self.add_file(upload),
            Record::Cancel { job, .. } => events.extend(self.cancel_job(*job)),
            _ => {}
        }
    }

    /// Applies a record that only the current owner may append.
    fn apply_fenced(&mut self, entry_ref: EntryRef, record: &Record, events: &mut Vec<Event>) {
        match record {
            Record::Present => events.push(Event::OwnerConfirmed),
            Record::Release => {
                self.released = true;
                events.push(Event::Released);
            }
            Record::Done { job, item, answer } => {
                self.record_result(entry_ref, *job, *item, answer, events);
            }
            Record::Tried { job, item, attempt } => {
                events.extend(self.record_failed_attempt(*job, *item, *attempt));
            }
            Record::Good { model, weights } => self.record_good_weights(model, weights),
            Record::Halted { model, weights } => self.record_halted_weights(model, weights),
            Record::Lapsed { job, item } => events.extend(self.record_expired_lease(*job, *item)),
            Record::Carry { job, from, answers } => {
                self.replace_results(entry_ref, *job, *from, answers.len());
            }
            Record::Move { job, index, chunk } => self.replace_chunk(*job, *index, *chunk),
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
                events.extend(self.record_intent(*call, entry));
            }
            Record::Outcome {
                call,
                nonce,
                outcome,
            } => {
                events.extend(self.record_outcome(*call, *nonce, outcome));
            }
            _ => {}
        }
    }

    fn claim(
        &mut self,
        entry_ref: EntryRef,
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
        // One more than the offset, so that epoch 0 always means "never claimed".
        let epoch = id::Epoch(entry_ref.offset + 1);
        invariant::check(epoch > self.epoch, "epochs increase");
        self.epoch = epoch;
        self.owner = Some(daemon.clone());
        self.released = false;
        self.challenged = false;
        Some(Event::Claimed)
    }

    fn add_job(&mut self, submit: &Submit) -> Option<Event> {
        if self.key_by_id.contains_key(&submit.job) || submit.items() == 0 {
            return None;
        }
        let key = self.jobs.insert(Job::new(submit.clone()));
        self.key_by_id.insert(submit.job, key);
        Some(Event::JobSubmitted(key))
    }

    fn add_file(&mut self, upload: &Upload) {
        if self.files.contains_key(&upload.file) {
            return;
        }
        let expires_ms = upload.at_ms + upload.keep_ms;
        self.expirations
            .insert((expires_ms, Expirable::File(upload.file)));
        self.files.insert(upload.file, upload.clone());
    }

    fn cancel_job(&mut self, id: id::Job) -> Option<Event> {
        let key = self.job_key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() {
            return None;
        }
        job.cancelled_ms = Some(self.last_append_ms);
        job.ended_ms = Some(self.last_append_ms);
        job.tried.clear();
        job.lapses.clear();
        self.schedule_job_expiration(id, key);
        Some(Event::JobCancelled(key))
    }

    fn record_result(
        &mut self,
        entry_ref: EntryRef,
        id: id::Job,
        item: id::Item,
        answer: &Answer,
        events: &mut Vec<Event>,
    ) {
        let Some(key) = self.job_key(id) else { return };
        let job = &mut self.jobs[key];
        if !job.is_open() || item.0 >= job.items() || !job.done.insert(item.0) {
            return;
        }
        job.tried.remove(&item.0);
        job.lapses.remove(&item.0);
        job.failed += u32::from(answer.code.is_some());
        job.add_result_entry(entry_ref);
        invariant::check(
            job.done.len() <= u64::from(job.items()),
            "a job has no more results than items",
        );
        events.push(Event::ItemFinished(key, item));
        if job.remaining() == 0 {
            job.ended_ms = Some(self.last_append_ms);
            self.schedule_job_expiration(id, key);
            events.push(Event::JobFinished(key));
        }
    }

    fn record_failed_attempt(&mut self, id: id::Job, item: id::Item, attempt: u8) -> Option<Event> {
        let key = self.job_key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() || job.done.contains(item.0) {
            return None;
        }
        let count = job.tried.entry(item.0).or_default();
        *count = attempt.max(*count);
        Some(Event::AttemptFailed(key, item, *count))
    }

    fn record_expired_lease(&mut self, id: id::Job, item: id::Item) -> Option<Event> {
        let key = self.job_key(id)?;
        let job = &mut self.jobs[key];
        if !job.is_open() || item.0 >= job.items() || job.done.contains(item.0) {
            return None;
        }
        let count = job.lapses.entry(item.0).or_default();
        *count = count.saturating_add(1);
        Some(Event::LeaseExpired(key, item))
    }

    /// Replaces a results entry by the one at `entry_ref`, which holds the same
    /// results; unknown entries are ignored.
    fn replace_results(
        &mut self,
        entry_ref: EntryRef,
        id: id::Job,
        replaced_offset: u64,
        answer_count: usize,
    ) {
        let Some(key) = self.job_key(id) else { return };
        let job = &mut self.jobs[key];
        let previous_len = job.results.len();
        job.results.retain(|old| old.offset != replaced_offset);
        if job.results.len() < previous_len && answer_count > 0 {
            job.add_result_entry(entry_ref);
        }
    }

    fn replace_chunk(&mut self, id: id::Job, index: u32, chunk: Chunk) {
        let Some(key) = self.job_key(id) else { return };
        match self.jobs[key].submit.chunks.get_mut(index as usize) {
            Some(old) if old.lines == chunk.lines => *old = chunk,
            _ => {}
        }
    }

    /// Records the intent to run a call, unless the call has one already; after
    /// the outcome `NotRun` it may run again.
    fn record_intent(&mut self, call: id::Call, entry: Call) -> Option<Event> {
        let is_available = match self.calls.get(&call) {
            None => true,
            Some(previous) => matches!(previous.outcome, Some(record::Outcome::NotRun(_))),
        };
        if !is_available {
            return None;
        }
        self.expirations
            .insert((entry.at_ms + CALL_RETENTION_MS, Expirable::Call(call)));
        self.calls.insert(call, entry);
        Some(Event::CallStarted(call))
    }

    fn record_outcome(
        &mut self,
        id: id::Call,
        nonce: u64,
        outcome: &record::Outcome,
    ) -> Option<Event> {
        let call = self.calls.get_mut(&id)?;
        if call.outcome.is_some() || call.nonce != nonce {
            return None;
        }
        call.outcome = Some(outcome.clone());
        Some(Event::CallCompleted(id, nonce))
    }

    fn record_good_weights(&mut self, model: &Name, weights: &Weights) {
        let history = self.rollouts.entry(model.clone()).or_default();
        history.good = Some(weights.clone());
    }

    fn record_halted_weights(&mut self, model: &Name, weights: &Weights) {
        let history = self.rollouts.entry(model.clone()).or_default();
        history.halted = Some(weights.clone());
    }

    fn schedule_job_expiration(&mut self, id: id::Job, key: Key) {
        let expires_ms = self.last_append_ms + self.jobs[key].submit.keep_ms;
        self.expirations.insert((expires_ms, Expirable::Job(id)));
    }

    fn remove_expired(&mut self) {
        while let Some(&(expires_ms, expirable)) = self.expirations.first() {
            if expires_ms > self.last_append_ms {
                return;
            }
            self.expirations.pop_first();
            self.remove(expirable);
        }
    }

    fn remove(&mut self, expirable: Expirable) {
        match expirable {
            Expirable::Job(id) => {
                if let Some(key) = self.key_by_id.remove(&id) {
                    self.jobs.remove(key);
                }
            }
            Expirable::File(id) => {
                self.files.remove(&id);
            }
            Expirable::Call(id) => {
                // A call whose intent was recorded again after `NotRun` expires later, by its own
                // entry.
                let is_expired =
                    |call: &Call| call.at_ms + CALL_RETENTION_MS <= self.last_append_ms;
                if self.calls.get(&id).is_some_and(is_expired) {
                    self.calls.remove(&id);
                }
            }
        }
    }

    /// Encodes the state for [`Self::restore`].
    ///
    /// # Panics
    ///
    /// Never: all types of a snapshot can be encoded.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = Snapshot {
            owner: self.owner.clone(),
            epoch: self.epoch,
            released: self.released,
            challenged: self.challenged,
            clock_ms: self.last_append_ms,
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
        postcard::to_stdvec(&snapshot).expect("a snapshot can be encoded")
    }

    /// Decodes a state that [`Self::snapshot`] encoded; `None` if the bytes cannot be decoded.
    #[must_use]
    pub fn restore(bytes: &[u8]) -> Option<Self> {
        let snapshot: Snapshot = postcard::from_bytes(bytes).ok()?;
        let mut shard = Self {
            owner: snapshot.owner,
            epoch: snapshot.epoch,
            released: snapshot.released,
            challenged: snapshot.challenged,
            last_append_ms: snapshot.clock_ms,
            next: snapshot.next,
            rollouts: snapshot.rollouts,
            ..Self::default()
        };
        for upload in &snapshot.files {
            shard.add_file(upload);
        }
        for job in snapshot.jobs {
            let id = job.submit.job;
            let expires_ms = job.ended_ms.map(|ended| ended + job.submit.keep_ms);
            let key = shard.jobs.insert(job);
            shard.key_by_id.insert(id, key);
            shard
                .expirations
                .extend(expires_ms.map(|expires_ms| (expires_ms, Expirable::Job(id))));
        }
        for (id, call) in snapshot.calls {
            let id = id::Call(id);
            shard
                .expirations
                .insert((call.at_ms + CALL_RETENTION_MS, Expirable::Call(id)));
            shard.calls.insert(id, call);
        }
        Some(shard)
    }
}
