//! One shard of the ledger, which is stored in one partition.
//!
//! The owner keeps its shards loaded. Another daemon that cannot reach the owner
//! loads the shard while it has calls to handle for it. Each daemon has one
//! writer per shard, which plans a group of operations on the current state and
//! appends the records on the condition that the partition has not grown since.
//! If the outcome of an append is unknown, the same append is repeated: at most
//! one of the two can meet the condition, and reading the new records shows
//! whether one did.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bitterncart_state::ledger::{Decision, Ledger, Limits, Op, Record};
use event_listener::Event;

use crate::availability::Availability;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::{Failure, Page, Read, Store, Topic};

/// Interval between reads of records appended by other daemons. A result position
/// that a client has read from another daemon must be known here within 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(800);

/// Age of the state above which it is refreshed before a job is reported as
/// unknown.
const MAX_STATE_AGE: Duration = Duration::from_millis(60);

/// Time after the last call about it for which a shard that this daemon does not
/// own stays loaded.
const UNLOAD_DELAY: Duration = Duration::from_secs(5);

/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of one append.
const APPEND_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of operations in one append.
const MAX_GROUP_OPS: usize = 64;

/// Time after the deadline of an operation for which its caller still waits for
/// the decision.
const DECISION_GRACE: Duration = Duration::from_millis(300);

/// Maximum of the random backoff after an append that conflicted with one of
/// another daemon; it doubles with each further conflict.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(8);

/// Maximum number of doublings of [`CONFLICT_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Why an operation has no decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Undecided {
    /// The operation has no effect.
    NotApplied,
    /// The operation may have taken effect or may still do so.
    Unknown,
}

/// Decision on an operation, or why there is none.
type OpResult = Result<Decision, Undecided>;

/// Operation that waits for its decision.
#[derive(Debug)]
struct PendingOp {
    op: Op,
    deadline: Duration,
    /// Whether it was part of an append whose outcome is unknown.
    sent: bool,
    reply_sender: Sender<OpResult>,
}

impl PendingOp {
    /// Sends the result to the caller, who may have stopped waiting.
    fn reply(&self, result: OpResult) {
        let _sent = self.reply_sender.try_send(result);
    }

    /// Reports that there is no decision.
    fn reply_undecided(&self) {
        self.reply(Err(if self.sent {
            Undecided::Unknown
        } else {
            Undecided::NotApplied
        }));
    }
}

/// Shard of the ledger.
#[derive(Debug)]
pub(crate) struct Shard {
    number: u16,
    ledger: Mutex<Ledger>,
    loaded: AtomicBool,
    owned: AtomicBool,
    /// Time after which an owner has to have read the shard before it serves it, in
    /// milliseconds of the boot clock: that at which it became the owner, or last found
    /// that it had been suspended.
    read_required_ms: AtomicU64,
    /// Time of the last call about the shard at this daemon, in milliseconds of
    /// the boot clock; 0 for none.
    last_used_ms: AtomicU64,
    /// Notified when the shard may need to be loaded.
    load_requested: Event,
    append_availability: Availability,
    /// See [`Self::read_at`], in milliseconds of the boot clock.
    read_at_ms: AtomicU64,
    /// Notified when the state has changed.
    pub changed: Event,
    ops: Sender<PendingOp>,
    op_queue: Receiver<PendingOp>,
}

impl Shard {
    pub(crate) fn new(number: u16) -> Self {
        let (ops, op_queue) = async_channel::unbounded();
        Self {
            number,
            ledger: Mutex::default(),
            loaded: AtomicBool::new(false),
            owned: AtomicBool::new(false),
            read_required_ms: AtomicU64::new(0),
            last_used_ms: AtomicU64::new(0),
            load_requested: Event::new(),
            append_availability: Availability::default(),
            read_at_ms: AtomicU64::new(0),
            changed: Event::new(),
            ops,
            op_queue,
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the ledger has been read to its end.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    pub(crate) fn number(&self) -> u16 {
        self.number
    }

    pub(crate) fn is_owned(&self) -> bool {
        self.owned.load(Ordering::Relaxed)
    }

    /// Whether this daemon owns the shard and has read it since it became the owner or
    /// was suspended. The shard may have been loaded before, and another daemon may have
    /// appended to it meanwhile.
    pub(crate) fn is_serving(&self) -> bool {
        let required = self.read_required_ms.load(Ordering::Relaxed);
        let is_current = self.read_at_ms.load(Ordering::Relaxed) >= required;
        self.is_owned() && self.is_loaded() && is_current
    }

    /// Sets whether this daemon owns the shard; an owner starts to load it, or to read
    /// on.
    pub(crate) fn set_owned(&self, owned: bool) {
        self.require_read(clock::now());
        self.owned.store(owned, Ordering::Relaxed);
        self.load_requested.notify(usize::MAX);
    }

    /// Requires the shard to be read after `now` before it is served.
    pub(crate) fn require_read(&self, now: Duration) {
        let now = now.as_millis() as u64;
        self.read_required_ms.store(now, Ordering::Relaxed);
    }

    /// Waits until the shard is loaded, and starts to load it if necessary;
    /// `false` if it is not loaded within `timeout`.
    pub(crate) async fn wait_until_loaded(&self, timeout: Duration) -> bool {
        let now = clock::now().as_millis() as u64;
        self.last_used_ms.store(now, Ordering::Relaxed);
        let loaded = async {
            loop {
                let changed = self.changed.listen();
                if self.is_loaded() {
                    return;
                }
                self.load_requested.notify(usize::MAX);
                changed.await;
            }
        };
        with_timeout(timeout, loaded).await.is_some()
    }

    /// Whether the shard has to be loaded: it is owned, had a call within
    /// [`UNLOAD_DELAY`] or has active items.
    fn is_needed<S: Store, D: Dialect>(&self, core: &Core<S, D>) -> bool {
        let used = Duration::from_millis(self.last_used_ms.load(Ordering::Relaxed));
        let is_in_use = !used.is_zero() && clock::now().saturating_sub(used) < UNLOAD_DELAY;
        self.is_owned() || is_in_use || core.runs().has_active_in(self.number)
    }

    /// Drops the state of the shard.
    fn unload(&self) {
        let mut ledger = self.ledger();
        self.loaded.store(false, Ordering::Release);
        *ledger = Ledger::default();
        drop(ledger);
        log::shard_unloaded(self.number);
    }

    /// Whether appends to this shard fail persistently.
    pub(crate) fn is_append_unavailable(&self, now: Duration) -> bool {
        self.append_availability.is_unavailable(now)
    }

    /// Time since the state was last read or appended to.
    pub(crate) fn staleness(&self) -> Duration {
        clock::now().saturating_sub(self.read_at())
    }

    /// Time as of which the state is known: the start of the last read or append.
    pub(crate) fn read_at(&self) -> Duration {
        Duration::from_millis(self.read_at_ms.load(Ordering::Relaxed))
    }

    fn topic(&self) -> Topic {
        Topic::Ledger(self.number)
    }

    /// Submits an operation to the writer and waits for the decision until
    /// [`DECISION_GRACE`] after `deadline`.
    ///
    /// # Errors
    ///
    /// Whether the operation may have taken effect.
    pub(crate) async fn submit(&self, op: Op, deadline: Duration) -> OpResult {
        let (reply_sender, reply) = async_channel::bounded(1);
        let op = PendingOp {
            op,
            deadline,
            sent: false,
            reply_sender,
        };
        if self.ops.send(op).await.is_err() {
            return Err(Undecided::NotApplied);
        }
        let timeout = deadline.saturating_sub(clock::now()) + DECISION_GRACE;
        let decision = with_timeout(timeout, reply.recv()).await;
        decision
            .and_then(Result::ok)
            .unwrap_or(Err(Undecided::Unknown))
    }

    /// Applies the records that follow the current state, from a read or append that
    /// began at `started`. The daemon may have been suspended since. Returns the number of
    /// invalid records.
    fn apply(&self, read: &Read, started: Duration) -> u64 {
        let started = started.as_millis() as u64;
        self.read_at_ms.fetch_max(started, Ordering::Relaxed);
        let mut ledger = self.ledger();
        let before = ledger.next();
        if read.start_offset > before {
            // The shard was reloaded during the read; the next one returns these
            // records again.
            return 0;
        }
        let invalid_before = ledger.invalid_records();
        let new_records = (read.start_offset..).zip(&read.records);
        for (offset, record) in new_records {
            ledger.apply(offset, record);
        }
        let invalid = ledger.invalid_records() - invalid_before;
        if ledger.next() != before {
            drop(ledger);
            self.changed.notify(usize::MAX);
        }
        invalid
    }

    /// Counts and logs invalid records of the partition.
    fn report_invalid<S: Store, D: Dialect>(&self, core: &Core<S, D>, count: u64) {
        if count > 0 {
            core.metrics.add_invalid("ledger", count);
            log::ledger_records_invalid(self.number, count);
        }
    }

    /// Applies all records up to the end of the partition.
    ///
    /// # Errors
    ///
    /// If the shard is not loaded, its records have been deleted or a read fails.
    pub(crate) async fn catch_up<S: Store, D: Dialect>(
        &self,
        core: &Core<S, D>,
    ) -> Result<(), Failure> {
        loop {
            if !self.is_loaded() {
                return Err(Failure::Truncated);
            }
            let start_offset = self.ledger().next();
            let started = clock::now();
            let read = core
                .store
                .read(self.topic(), start_offset, Duration::ZERO)
                .await;
            match read {
                Ok(read) => {
                    core.record_store_success();
                    let invalid = self.apply(&read, started);
                    self.report_invalid(core, invalid);
                    if self.ledger().next() >= read.end_offset {
                        return Ok(());
                    }
                }
                Err(Failure::Truncated) => self.loaded.store(false, Ordering::Release),
                Err(e @ Failure::Undecodable(_)) => {
                    // A read from the same offset may bring the same; pages do not.
                    core.record_store_failure("read", &e);
                    self.loaded.store(false, Ordering::Release);
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Builds the state from the newest record of each key. Only a page that
    /// fails is read again, not the ones before it, as many daemons may load
    /// shards at the same time and share the read capacity of the store.
    async fn load<S: Store, D: Dialect>(&self, core: &Core<S, D>) {
        let _loading = core.load_lock.lock().await;
        let started = clock::now();
        let mut ledger = Ledger::default();
        let mut after: Option<String> = None;
        let mut start_offset = None;
        loop {
            let page = core.store.read_newest(self.topic(), after.as_deref()).await;
            let Page {
                records,
                has_more,
                end_offset,
            } = match page {
                Ok(page) => page,
                Err(e) => {
                    core.record_store_failure("load", &e);
                    smol::Timer::after(RETRY_DELAY).await;
                    if self.is_needed(core) {
                        continue;
                    }
                    return;
                }
            };
            core.record_store_success();
            start_offset.get_or_insert(end_offset);
            for record in &records {
                ledger.apply_newest(record);
            }
            match records.last() {
                Some(last) if has_more => after = Some(last.key.to_string()),
                _ => break,
            }
        }
        ledger.set_next(start_offset.unwrap_or(0));
        self.report_invalid(core, ledger.invalid_records());
        *self.ledger() = ledger;
        let started = started.as_millis() as u64;
        self.read_at_ms.store(started, Ordering::Relaxed);
        self.loaded.store(true, Ordering::Release);
        self.changed.notify(usize::MAX);
        log::shard_loaded(self.number, start_offset.unwrap_or(0));
    }
}

/// Loads a shard while it is needed, follows the appends of other daemons and
/// unloads it afterwards.
pub(crate) async fn maintain<S: Store, D: Dialect>(core: Core<S, D>, number: usize) {
    let shard = &core.shards[number];
    loop {
        let mut load_requested = shard.load_requested.listen();
        match (shard.is_needed(&core), shard.is_loaded()) {
            (true, false) => {
                core.wait_until_configured().await;
                shard.load(&core).await;
                continue;
            }
            (true, true) => {
                if let Err(e) = shard.catch_up(&core).await {
                    core.record_store_failure("read", &e);
                }
            }
            (false, true) => {
                shard.unload();
                continue;
            }
            (false, false) => {
                load_requested.await;
                continue;
            }
        }
        let poll = async {
            smol::Timer::after(POLL_INTERVAL).await;
        };
        let became_owner = async {
            loop {
                load_requested.await;
                if shard.is_owned() && !shard.is_serving() {
                    return;
                }
                load_requested = shard.load_requested.listen();
            }
        };
        futures_lite::future::or(poll, became_owner).await;
    }
}

/// Planned append of the first of the pending operations, one for each decision.
struct Group {
    /// Offset at which the partition must end.
    expected_end: u64,
    records: Vec<Record>,
    decisions: Vec<Decision>,
}

impl Group {
    fn plan(shard: &Shard, pending: &[PendingOp], limits: &Limits) -> Self {
        let ledger = shard.ledger();
        let ops: Vec<&Op> = pending.iter().map(|op| &op.op).collect();
        let plan = ledger.plan_within(&ops, limits);
        Self {
            expected_end: ledger.next(),
            records: plan.records,
            decisions: plan.decisions,
        }
    }
}

/// Writer of a shard: appends the operations that this daemon submits.
pub(crate) async fn run_writer<S: Store, D: Dialect>(core: Core<S, D>, number: usize) {
    let shard = &core.shards[number];
    let limits = core.settings.store_limits();
    let mut pending: Vec<PendingOp> = Vec::new();
    let mut conflicts = 0;
    loop {
        if pending.is_empty() {
            conflicts = 0;
            match shard.op_queue.recv().await {
                Ok(op) => pending.push(op),
                Err(_) => return,
            }
        }
        while pending.len() < MAX_GROUP_OPS {
            match shard.op_queue.try_recv() {
                Ok(op) => pending.push(op),
                Err(_) => break,
            }
        }
        reply_to_expired(&mut pending);
        if pending.is_empty() {
            continue;
        }
        if !shard.is_loaded() {
            for op in pending.drain(..) {
                op.reply_undecided();
            }
            continue;
        }
        let mut group = Group::plan(shard, &pending, &limits);
        // The append condition validates every decision except `UnknownJob`, which is
        // only as reliable as the state is recent.
        if group.decisions.contains(&Decision::UnknownJob) && shard.staleness() > MAX_STATE_AGE {
            if let Err(e) = shard.catch_up(&core).await {
                core.record_store_failure("read", &e);
                reply_if_unavailable(&core, shard, &mut pending);
                smol::Timer::after(RETRY_DELAY).await;
                continue;
            }
            group = Group::plan(shard, &pending, &limits);
        }
        if group.records.is_empty() || append(&core, shard, &group, &mut pending, conflicts).await {
            let planned = pending.drain(..group.decisions.len());
            for (op, decision) in planned.zip(group.decisions) {
                op.reply(Ok(decision));
            }
        } else {
            conflicts += 1;
        }
    }
}

/// Reports operations whose deadline has passed as undecided and removes them.
fn reply_to_expired(pending: &mut Vec<PendingOp>) {
    let now = clock::now();
    pending.retain(|op| {
        let has_time = now < op.deadline;
        if !has_time {
            op.reply_undecided();
        }
        has_time
    });
}

/// Reports operations as undecided and removes them: all if the store or the
/// partition is unavailable, otherwise those whose deadline has passed.
fn reply_if_unavailable<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    pending: &mut Vec<PendingOp>,
) {
    let now = clock::now();
    if core.is_store_unavailable(now) || shard.is_append_unavailable(now) {
        for op in pending.drain(..) {
            op.reply_undecided();
        }
    }
    reply_to_expired(pending);
}

/// Appends a group; `false` if the operations have to be planned again.
async fn append<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    group: &Group,
    pending: &mut Vec<PendingOp>,
    conflicts: u32,
) -> bool {
    let mut outcome_unknown = false;
    loop {
        let started = clock::now();
        match core
            .store
            .append(
                shard.topic(),
                Some(group.expected_end),
                &group.records,
                APPEND_TIMEOUT,
            )
            .await
        {
            Ok(_) => {
                core.record_store_success();
                let _failed = shard.append_availability.record_success();
                let appended = Read {
                    start_offset: group.expected_end,
                    records: group.records.clone(),
                    end_offset: 0,
                    first_offset: 0,
                };
                let invalid = shard.apply(&appended, started);
                shard.report_invalid(core, invalid);
                return true;
            }
            Err(Failure::Conflict) => {
                core.record_store_success();
                let _failed = shard.append_availability.record_success();
                return read_after_conflict(core, shard, pending, outcome_unknown, conflicts).await;
            }
            Err(e) => {
                outcome_unknown |= !e.is_without_effect();
                core.record_store_failure("append", &e);
                // `record_store_failure` has logged it.
                let _first = shard.append_availability.record_failure();
                if !outcome_unknown {
                    reply_if_unavailable(core, shard, pending);
                    smol::Timer::after(RETRY_DELAY).await;
                    return false;
                }
                for op in pending.iter_mut().take(group.decisions.len()) {
                    op.sent = true;
                }
                // Callers get their reply in time, but the outcome of the group
                // still has to be determined.
                reply_unknown_to_expired(pending);
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Random time to wait after an append that conflicted with one of another daemon.
pub(crate) fn conflict_backoff(conflicts: u32) -> Duration {
    let max_backoff = CONFLICT_BACKOFF * (1 << conflicts.min(MAX_BACKOFF_DOUBLINGS));
    max_backoff.mul_f64(rand::random())
}

/// Reads the records that caused a conflict after a random backoff. Always
/// returns `false`, as the operations have to be planned again.
async fn read_after_conflict<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    pending: &mut Vec<PendingOp>,
    outcome_unknown: bool,
    conflicts: u32,
) -> bool {
    // The backoff precedes the read, so that the next append follows the read
    // immediately.
    smol::Timer::after(conflict_backoff(conflicts)).await;
    loop {
        match shard.catch_up(core).await {
            Ok(()) => break,
            Err(e) => {
                core.record_store_failure("read", &e);
                if outcome_unknown {
                    reply_unknown_to_expired(pending);
                } else {
                    reply_if_unavailable(core, shard, pending);
                }
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
    // If the earlier append took effect, planning its operations again on the
    // new state appends nothing and gives the decision `Unchanged`.
    false
}

/// Reports operations whose deadline has passed as unknown, but keeps them.
fn reply_unknown_to_expired(pending: &mut [PendingOp]) {
    let now = clock::now();
    for op in pending {
        if now >= op.deadline {
            op.reply(Err(Undecided::Unknown));
        }
    }
}
