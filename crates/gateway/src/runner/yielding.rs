//! Preemption of runs at replicas whose slots online requests need.

use std::time::Duration;

use bitterncart_coordination::fleet::Pool;
use bitterncart_coordination::fleet::pool::Key as Replica;
use bitterncart_coordination::fleet::preemption::{Reason, Work};

use super::{ItemId, Run, Runs};
use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::Store;

/// Which services are scheduled by the recent online load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Forecast {
    /// None: the settings do not ask for it.
    Off,
    /// Those whose load has a rhythm. Steady load is left to the fixed headroom.
    Rhythms,
    /// All, as the manifest names customers.
    All,
}

impl Forecast {
    pub(super) fn of<S: Store, D: Dialect>(core: &Core<S, D>) -> Self {
        match (
            core.current_settings().forecast_demand,
            core.names_customers(),
        ) {
            (false, _) => Self::Off,
            (true, false) => Self::Rhythms,
            (true, true) => Self::All,
        }
    }

    /// Whether the runs of a service yield, and its items start, by the recent online load.
    pub(super) fn applies(self, pool: &Pool, service: &str) -> bool {
        match self {
            Self::Off => false,
            Self::Rhythms => pool.has_rhythm(service),
            Self::All => true,
        }
    }
}

impl Run {
    /// Events of the attempt in progress.
    fn events_of_attempt(&self) -> u64 {
        let events = self.output.last_event_id();
        events.saturating_sub(self.events_before)
    }
}

impl Runs {
    /// Progress of a run.
    fn work(&self, run: &Run) -> Work {
        let events = run.output.last_event_id();
        Work {
            events,
            remaining: self.estimator.uninterrupted(events),
            due_at: run.due_at,
        }
    }

    /// Item at one of `replicas` that loses least by being preempted. With fixed
    /// headroom, that is one that will miss its due time in any case, otherwise the one
    /// with the fewest events.
    /// Restricted to owned shards, as only their items are resumed here.
    fn preemption_victim(
        &self,
        replicas: &[Replica],
        now: Duration,
        is_learned: bool,
        owned: impl Fn(u16) -> bool,
    ) -> Option<ItemId> {
        let order = |run: &Run| {
            if is_learned {
                return self.work(run).yield_order(now);
            }
            let events = run.output.last_event_id();
            let meets_due_time = now + self.estimator.remaining(events) <= run.due_at;
            (u8::from(meets_due_time), events)
        };
        self.runs
            .iter()
            .filter(|(_, run)| run.task.is_some())
            .filter(|(_, run)| run.replica.is_some_and(|at| replicas.contains(&at)))
            .filter(|(_, run)| owned(run.shard))
            .min_by_key(|(_, run)| order(run))
            .map(|(id, _)| id.clone())
    }
}

/// Preempts items at replicas whose slots are needed by online requests.
pub(super) fn preempt<S: Store, D: Dialect>(core: &Core<S, D>) {
    let owned =
        |shard: u16| !core.shutdown.has_begun() && core.shards[usize::from(shard)].is_owned();
    let now = clock::now();
    let forecast = Forecast::of(core);
    let mut pool = core.pool();
    if forecast != Forecast::Off {
        pool.observe_online(now);
    }
    let yields = pool.yields(
        now,
        |pool, service| forecast.applies(pool, service),
        rand::random,
    );
    let yields: Vec<_> = yields
        .into_iter()
        .map(|(replicas, count, reason)| {
            let service = replicas.first().and_then(|key| pool.service_of(*key));
            let learned = service.is_some_and(|service| forecast.applies(&pool, service));
            (replicas, count, reason, learned)
        })
        .collect();
    drop(pool);
    for (replicas, count, reason, learned) in yields {
        for _ in 0..count {
            let mut runs = core.runs();
            let Some(id) = runs.preemption_victim(&replicas, now, learned, owned) else {
                break;
            };
            let ends_soon = runs
                .runs
                .get(&id)
                .is_some_and(|run| runs.work(run).ends_soon());
            if learned && ends_soon {
                // Its slot becomes free as soon without a preemption.
                break;
            }
            let events = runs.runs.get(&id).map_or(0, Run::events_of_attempt);
            let task = runs.runs.get_mut(&id).and_then(|run| run.task.take());
            runs.clear_task(&id);
            drop(runs);
            // Dropping the task releases the slot; the lock is not held meanwhile.
            drop(task);
            core.metrics.item_preempted();
            record_cut(core, &id, reason, events, 0);
        }
    }
}

/// Counts a run that was cut after `events` events of its own, `lost` of which have to
/// be produced again.
fn record_cut<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: &ItemId,
    reason: Reason,
    events: u64,
    lost: u64,
) {
    core.metrics.run_cut(reason, events, lost);
    log::run_cut(&id.0, id.1, reason.name(), events, lost);
}

/// Counts the run of an item if it is in progress. It keeps its output if the item is
/// resumed here; otherwise the events behind the stored ones are lost.
pub(super) fn record_end<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: &ItemId,
    reason: Reason,
    lost: u64,
) {
    let runs = core.runs();
    let run = runs.runs.get(id).filter(|run| run.task.is_some());
    let Some(events) = run.map(Run::events_of_attempt) else {
        return;
    };
    drop(runs);
    record_cut(core, id, reason, events, lost);
}

/// Counts the runs that the end of the process cuts. The events behind their stored ones
/// are lost.
pub(crate) fn record_shutdown<S: Store, D: Dialect>(core: &Core<S, D>) {
    let active: Vec<(ItemId, u64)> = {
        let runs = core.runs();
        let active = runs.runs.iter().filter(|(_, run)| run.task.is_some());
        active
            .map(|(id, run)| (id.clone(), run.output.last_event_id()))
            .collect()
    };
    for (id, received) in active {
        let ledger = crate::jobs::shard_of(core, &id.0).ledger();
        let stored = ledger.job(&id.0).map_or(0, |job| job.stored_events(id.1));
        drop(ledger);
        record_end(core, &id, Reason::Shutdown, received.saturating_sub(stored));
    }
}
