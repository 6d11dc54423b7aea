//! Schedules and runs batch items.
//!
//! The scheduler starts items of the shards that this daemon owns, in their
//! start order, while replicas have slots beyond those reserved for online
//! requests. When online requests need the slots, it preempts the items that
//! lose least. A run keeps the output received so far, so that an item that is
//! preempted or whose connection breaks resumes after its last event. The output
//! is also stored in the ledger, from which another daemon resumes the item.
//! Completed output is kept until the ledger has recorded it. Failed attempts are counted
//! in the ledger, so that the attempt limit holds across daemons.

mod abandonment;
mod attempt;
mod placement;
pub(crate) mod yielding;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::checkpoint::{INTERVAL as CHECKPOINT_INTERVAL, Output};
use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::peers::short_hash;
use bitterncart_coordination::fleet::pool::{Class, Key as Replica};
use bitterncart_coordination::fleet::preemption::{Reason, Work};
use bitterncart_coordination::fleet::schedule::start_order;
use bitterncart_coordination::fleet::{
    Eligibility, Ends, Estimator, Manifest, Outcome, Route, proportional_share, withdrawal,
};
use bitterncart_state::ledger::{self, Decision, Job, Op, OutputPart, Progress};
use compact_str::CompactString;
use smol::Task;

use self::attempt::{Attempt, item_message};
use self::placement::{Budget, select_replica};
use self::yielding::Forecast;
use crate::budget::Share;
use crate::checkpoint;
use crate::clock::{self};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::jobs;
use crate::log;
use crate::shard::Undecided;
use crate::store::Store;
use crate::upstream::Slot;

/// Interval between checks for items to preempt or drop.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Number of polls from one round of starts to the next; in that time the peers
/// learn which items were started.
const POLLS_PER_START: u32 = 3;

/// Minimum number of slots of a replica that are left to online requests.
const MIN_ONLINE_RESERVE: u32 = 1;

/// Delay before an item or a ledger write is retried after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of doublings of [`RETRY_DELAY`], one for each output that was dropped.
const MAX_RETRY_DOUBLINGS: u32 = 6;

/// Delay before it is checked again whether an item with a quarantined prompt part
/// may start. It ends with its give-up time at the latest.
const QUARANTINE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Tolerance for clock skew between daemons, added to the time after which an
/// item is given up.
const GIVE_UP_MARGIN: Duration = Duration::from_secs(3);

/// Timeout of one ledger write; a result that was not recorded in this time is
/// submitted again.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between purges of ended jobs.
const PURGE_INTERVAL: Duration = Duration::from_secs(5);

/// Tolerance for clock skew between daemons, added to the retention of ended
/// jobs.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Maximum number of jobs of a shard purged at a time.
const MAX_PURGED_JOBS: usize = 20;

/// Job id and index of an item.
pub(crate) type ItemId = (CompactString, u32);

/// State of an item across its attempts at this daemon.
#[derive(Debug, Default)]
struct Run {
    /// Output received so far.
    output: Output,
    /// What it takes of the memory for answers.
    share: Option<Share>,
    /// A part of the output is being stored.
    checkpointing: bool,
    failures: u8,
    /// Ends of its answers that were not stated.
    ends: Ends,
    /// Number of outputs that were dropped, as they were too large or nothing confirmed
    /// their end. The stored one may be the beginning of such an output, and is not
    /// resumed here.
    restarts: u32,
    /// Time before which the item is not started again.
    retry_at: Duration,
    /// Time from which it has waited for a slot at the build that wrote its output.
    waits_since: Option<Duration>,
    /// Attempt in progress.
    task: Option<Task<()>>,
    replica: Option<Replica>,
    item_hash: u32,
    shard: u16,
    /// Time by which the item should be finished.
    due_at: Duration,
    /// Id of the last event received before the attempt.
    events_before: u64,
    /// Replica of the latest attempt.
    last_replica: Option<Replica>,
    /// The item has ended, but the ledger has not recorded it yet.
    finishing: bool,
}

impl Run {
    /// Drops the output.
    fn restart(&mut self) {
        self.output = Output::default();
        self.share = None;
        self.restarts = self.restarts.saturating_add(1);
    }

    /// Whether it has an attempt in progress or an end that is not recorded yet.
    fn is_active(&self) -> bool {
        self.task.is_some() || self.finishing
    }

    /// Delay before the next attempt.
    fn retry_delay(&self) -> Duration {
        RETRY_DELAY * (1 << self.restarts.min(MAX_RETRY_DOUBLINGS))
    }
}

/// Runs of one daemon.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: HashMap<ItemId, Run>,
    /// Number of items that are ready to start; some may lack a slot.
    pub(crate) waiting: u32,
    estimator: Estimator,
}

impl Runs {
    /// Hashes of the active items, in ascending order, for gossip.
    pub(crate) fn running_items(&self) -> Vec<u32> {
        let mut hashes: Vec<u32> = self.active().map(|run| run.item_hash).collect();
        hashes.sort_unstable();
        hashes
    }

    /// Whether a shard has active items.
    pub(crate) fn has_active_in(&self, shard: u16) -> bool {
        self.active().any(|run| run.shard == shard)
    }

    /// Whether any item is active.
    pub(crate) fn has_active(&self) -> bool {
        self.active().next().is_some()
    }

    /// Items whose output can be stored: those that run, and preempted ones of the
    /// shards for which `is_owned` holds.
    pub(crate) fn with_output(&self, is_owned: impl Fn(u16) -> bool) -> Vec<ItemId> {
        let is_stored_here = |run: &Run| run.task.is_some() || is_owned(run.shard);
        let unsaved = self
            .runs
            .iter()
            .filter(|(_, run)| !run.finishing && !run.checkpointing && is_stored_here(run));
        unsaved.map(|(id, _)| id.clone()).collect()
    }

    /// Part of an item's output behind the stored one, if there is one. The item
    /// has no further checkpoint before [`Self::end_checkpoint`].
    pub(crate) fn start_checkpoint(
        &mut self,
        id: &ItemId,
        stored: Option<&Progress>,
    ) -> Option<OutputPart> {
        let run = self.runs.get_mut(id)?;
        let part = run.output.part_behind(id.1, stored)?;
        run.checkpointing = true;
        Some(part)
    }

    pub(crate) fn end_checkpoint(&mut self, id: &ItemId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.checkpointing = false;
        }
    }

    /// Runs with an attempt in progress or an end that is not recorded yet.
    fn active(&self) -> impl Iterator<Item = &Run> {
        self.runs.values().filter(|run| run.is_active())
    }

    /// Events of an item of which `stored` are in the ledger.
    fn events(&self, id: &ItemId, stored: u64) -> u64 {
        let received = self.runs.get(id);
        received.map_or(stored, |run| run.output.last_event_id().max(stored))
    }

    /// Whether an item has an attempt in progress or an end that is not recorded yet.
    fn is_active(&self, id: &ItemId) -> bool {
        self.runs.get(id).is_some_and(Run::is_active)
    }

    /// Number of items with an end that is not recorded yet.
    fn finishing(&self) -> usize {
        self.runs.values().filter(|run| run.finishing).count()
    }

    /// Whether an item is not active and its retry delay has passed.
    fn is_startable(&self, id: &ItemId, now: Duration) -> bool {
        !self.is_active(id) && self.runs.get(id).is_none_or(|run| now >= run.retry_at)
    }

    fn clear_task(&mut self, id: &ItemId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.task = None;
            run.replica = None;
        }
    }
}

/// Item that is ready to start.
struct Candidate {
    id: ItemId,
    shard: u16,
    work: Work,
    start_order: (bool, Reverse<Duration>),
    item_hash: u32,
}

/// Where an item goes, according to one version of the manifest.
#[derive(Clone, Copy, Debug)]
struct Target<'a> {
    manifest_version: u64,
    route: &'a Route,
    backend: &'a Backend,
}

/// Runs the scheduler: starts, preempts and drops items.
pub(crate) async fn schedule<S: Store, D: Dialect>(core: Core<S, D>) {
    core.spawn(purge_ended_jobs(core.clone())).detach();
    let mut next_checkpoint = clock::now();
    let mut withdrawals = withdrawal::Table::default();
    for poll in 0_u32.. {
        let due = clock::now() + POLL_INTERVAL;
        smol::Timer::after(POLL_INTERVAL).await;
        core.metrics
            .scheduling_delay(clock::now().saturating_sub(due));
        if clock::now() >= next_checkpoint {
            next_checkpoint = clock::now() + CHECKPOINT_INTERVAL;
            checkpoint::store_outputs(&core);
        }
        yielding::preempt(&core);
        drop_unneeded(&core);
        if core.shutdown.has_begun() {
            // Active items may finish; other daemons start the rest.
            continue;
        }
        if !poll.is_multiple_of(POLLS_PER_START) || !may_record_ends(&core) {
            continue;
        }
        abandonment::give_up_items(&core, &mut withdrawals);
        // An item needs a path to a replica.
        if !core.links.has_no_path() {
            start_items(&core);
        }
    }
}

/// Whether items may start or end. Without the store, those of the loaded shards go on:
/// their results are recorded when it is back. At a daemon that is cut off none do, as
/// others have taken its shards over.
fn may_record_ends<S: Store, D: Dialect>(core: &Core<S, D>) -> bool {
    let now = clock::now();
    !core.is_store_unavailable(now) || core.peers().is_store_outage(now)
}

/// Removes ended jobs from the ledger whose submission is older than the retention.
async fn purge_ended_jobs<S: Store, D: Dialect>(core: Core<S, D>) {
    loop {
        smol::Timer::after(PURGE_INTERVAL).await;
        let wall_ms = clock::wall().as_millis() as u64;
        let retention_ms =
            (core.current_settings().retention() + RETENTION_MARGIN).as_millis() as u64;
        for shard in core.shards.iter().filter(|shard| shard.is_serving()) {
            let expired: Vec<CompactString> = {
                let ledger = shard.ledger();
                ledger
                    .jobs()
                    .map(|(_, job)| job)
                    .filter(|job| job.is_expired(wall_ms, retention_ms))
                    .map(|job| job.submission.id.clone())
                    .take(MAX_PURGED_JOBS)
                    .collect()
            };
            for id in expired {
                if shard
                    .submit(Op::Purge(id), clock::now() + LEDGER_TIMEOUT)
                    .await
                    .is_err()
                {
                    break;
                }
            }
        }
    }
}

/// Drops runs whose item has a recorded end or whose job was cancelled or
/// removed.
fn drop_unneeded<S: Store, D: Dialect>(core: &Core<S, D>) {
    let ids: Vec<ItemId> = core.runs().runs.keys().cloned().collect();
    for id in ids {
        let ledger = jobs::shard_of(core, &id.0).ledger();
        let job = ledger.job(&id.0);
        let needed = job.is_some_and(|job| !job.cancelled && !job.has_result[id.1 as usize]);
        let has_result = job.is_some_and(|job| job.has_result[id.1 as usize]);
        drop(ledger);
        if !needed {
            if has_result {
                // Another daemon has recorded the end, as it owns the shard.
                let lost = core
                    .runs()
                    .runs
                    .get(&id)
                    .map_or(0, |r| r.output.last_event_id());
                yielding::record_end(core, &id, Reason::Ownership, lost);
            }
            let run = core.runs().runs.remove(&id);
            drop(run);
        }
    }
}

/// Starts items up to this daemon's share of the free slots of each service.
fn start_items<S: Store, D: Dialect>(core: &Core<S, D>) {
    let Some(manifest) = core.manifest() else {
        return;
    };
    let candidates = candidates(core, &manifest);
    let now = clock::now();
    let waiting = candidates.len() as u32;
    core.runs().waiting = waiting;
    let all_waiting = waiting + core.peers().waiting_items(now);
    let forecast = Forecast::of(core);
    let mut budgets: HashMap<CompactString, Budget> = HashMap::new();
    for candidate in candidates {
        let ledger = core.shards[usize::from(candidate.shard)].ledger();
        let Some(job) = ledger.job(&candidate.id.0) else {
            continue;
        };
        let Some(route) = jobs::route_of(&manifest, &job.submission) else {
            continue;
        };
        let Some(backend) = route.backend(rand::random()) else {
            continue;
        };
        let service = &backend.service;
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let pool = core.pool();
            let reserve = pool.online_headroom(service).max(MIN_ONLINE_RESERVE);
            let free = pool.free_batch_slots(now, service, reserve);
            Budget {
                slots: proportional_share(free, waiting, all_waiting, rand::random()),
                reserve,
                is_learned: forecast.applies(&pool, service),
                wanted_in: pool.wanted_in(now, service, 0),
                started: 0,
            }
        });
        if budget.slots == 0 {
            continue;
        }
        if budget.is_learned && !candidate.work.may_start(now, budget.wanted_in) {
            continue;
        }
        let target = Target {
            manifest_version: manifest.version,
            route,
            backend,
        };
        if start_run(core, &target, budget, job, &candidate) {
            budget.slots -= 1;
            budget.started += 1;
            if budget.is_learned {
                // Peers start their share of the waiting items meanwhile; own ones count
                // in the pool.
                let others = budget.started * all_waiting.saturating_sub(waiting) / waiting.max(1);
                budget.wanted_in = core.pool().wanted_in(now, service, others);
            }
        }
    }
}

/// Items that this daemon may start, in their start order.
fn candidates<S: Store, D: Dialect>(core: &Core<S, D>, manifest: &Manifest) -> Vec<Candidate> {
    let now = clock::now();
    let wall_ms = clock::wall().as_millis() as u64;
    let mut found = Vec::new();
    let eligibility = Eligibility::new(now, &core.peers());
    for shard in core.shards.iter().filter(|shard| shard.is_serving()) {
        let ledger = shard.ledger();
        let read_at = shard.read_at();
        let runs = core.runs();
        for (_, job) in ledger.jobs().filter(|(_, job)| job.is_open()) {
            let submission = &job.submission;
            let age = Duration::from_millis(wall_ms.saturating_sub(submission.submitted_ms));
            let due = jobs::route_of(manifest, submission).map_or(Duration::ZERO, |r| r.batch.due);
            for index in job.unfinished_items() {
                let id = (submission.id.clone(), index);
                let item_hash = short_hash(&[submission.id.as_bytes(), &index.to_be_bytes()]);
                if runs.is_startable(&id, now) && eligibility.may_start(item_hash, read_at) {
                    let events = runs.events(&id, job.stored_events(index));
                    let remaining = runs.estimator.remaining(events);
                    found.push(Candidate {
                        start_order: start_order(age, remaining, due),
                        id,
                        shard: shard.number(),
                        work: Work {
                            events,
                            remaining: runs.estimator.uninterrupted(events),
                            due_at: (now + due).saturating_sub(age),
                        },
                        item_hash,
                    });
                }
            }
        }
    }
    found.sort_by_key(|candidate: &Candidate| candidate.start_order);
    found
}

/// Starts an attempt at a replica with a free slot; `false` if there is none.
fn start_run<S: Store, D: Dialect>(
    core: &Core<S, D>,
    target: &Target<'_>,
    budget: &Budget,
    job: &Job,
    candidate: &Candidate,
) -> bool {
    let Target { route, backend, .. } = *target;
    let mut runs = core.runs();
    let Runs {
        runs, estimator, ..
    } = &mut *runs;
    let run = runs.entry(candidate.id.clone()).or_default();
    let stored = job.progress.get(&candidate.id.1);
    let stored = stored.filter(|_| run.restarts == 0);
    let selected = select_replica(core, route, backend, budget, (run, estimator), stored);
    let Some((selection, output)) = selected else {
        return false;
    };
    let backend = route.backend_of(&selection.service).unwrap_or(backend);
    let slot = Slot::new(core, selection, Class::Batch);
    run.item_hash = candidate.item_hash;
    run.shard = candidate.shard;
    run.due_at = candidate.work.due_at;
    run.replica = Some(slot.selection.key);
    run.last_replica = run.replica;
    if let Some(output) = output {
        run.output = output;
    }
    run.waits_since = None;
    let last_event_id = run.output.last_event_id();
    run.events_before = last_event_id;
    let Some(message) = item_message(core, &job.submission, candidate.id.1, last_event_id) else {
        run.retry_at = clock::now() + RETRY_DELAY;
        return true;
    };
    if core.verdict(&message.profile).is_some() {
        run.retry_at = clock::now() + QUARANTINE_RETRY_DELAY;
        run.replica = None;
        core.metrics.item_run(Outcome::Quarantined.name());
        return false;
    }
    let attempt = Attempt {
        core: core.clone(),
        id: candidate.id.clone(),
        item_hash: candidate.item_hash,
        started: (clock::now(), last_event_id),
        max_attempts: route.max_attempts,
        manifest_version: target.manifest_version,
        message,
        reserves: backend.reserves,
        slot,
    };
    run.task = Some(core.spawn(attempt.run()));
    true
}

/// Records the end of an item in the ledger; retries until it is recorded.
fn finish_item<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: ItemId,
    item_hash: u32,
    outcome: ledger::Outcome,
    reason: &str,
) {
    let mut runs = core.runs();
    let run = runs.runs.entry(id.clone()).or_default();
    run.item_hash = item_hash;
    run.shard = jobs::shard_of(core, &id.0).number();
    run.finishing = true;
    drop(runs);
    log::item_run_ended(&id.0, id.1, reason);
    core.metrics.item_run(reason);
    let executor = Arc::clone(&core.executor);
    let core = core.clone();
    let write = async move {
        let op = Op::RecordResult(id.0.clone(), id.1, outcome);
        loop {
            let shard = jobs::shard_of(&core, &id.0);
            match shard
                .submit(op.clone(), clock::now() + LEDGER_TIMEOUT)
                .await
            {
                Ok(Decision::TooLarge) => {
                    return restart_item(&core, &id);
                }
                Ok(_) => break,
                Err(Undecided::NotApplied | Undecided::Unknown) => {
                    smol::Timer::after(RETRY_DELAY).await;
                }
            }
        }
    };
    executor.spawn(write).detach();
}

/// Begins an item anew whose result no record of the store can hold.
fn restart_item<S: Store, D: Dialect>(core: &Core<S, D>, id: &ItemId) {
    core.metrics.answer_too_large("result");
    log::item_run_ended(&id.0, id.1, "result_too_large");
    if let Some(run) = core.runs().runs.get_mut(id) {
        run.restart();
        run.finishing = false;
        run.task = None;
        run.retry_at = clock::now() + run.retry_delay();
    }
}
