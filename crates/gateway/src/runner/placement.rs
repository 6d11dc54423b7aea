//! Selection of a replica for an item.

use std::cmp::Reverse;
use std::time::Duration;

use bitterncart_coordination::fleet::checkpoint::Output;
use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::pool::Selection;
use bitterncart_coordination::fleet::{Estimator, Route};
use bitterncart_state::ledger::Progress;

use super::Run;
use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::store::Store;

/// Slots of a service in which this daemon may start items in one round.
pub(super) struct Budget {
    pub(super) slots: u32,
    /// Slots of each replica that are left to online requests.
    pub(super) reserve: u32,
    /// Whether items start by the recent online load.
    pub(super) is_learned: bool,
    /// Expected time until online requests want the slot of the next item.
    pub(super) wanted_in: Option<Duration>,
    /// Number of items that it started.
    pub(super) started: u32,
}

/// Selects a replica for an item: one of the build that wrote its output, the local or
/// the stored one. An item begins anew if no replica can continue it, or none of them
/// had a slot for too long. The new output of the run is `None` if it keeps the local one.
pub(super) fn select_replica<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: &Route,
    backend: &Backend,
    budget: &Budget,
    (run, estimator): (&mut Run, &Estimator),
    stored: Option<&Progress>,
) -> Option<(Selection, Option<Output>)> {
    let now = clock::now();
    let reserve = budget.reserve;
    let mut pool = core.pool();
    let local = (run.output.last_event_id(), run.output.build(), None);
    let stored = stored.map(|stored| (stored.last_event_id, stored.build.as_ref(), Some(stored)));
    let mut outputs: Vec<_> = [local].into_iter().chain(stored).collect();
    outputs.sort_by_key(|(events, ..)| Reverse(*events));
    let mut longest = None;
    for (events, build, stored) in outputs {
        let Some(build) = build.filter(|build| {
            let is_routed = route.backend_of(&build.service).is_some();
            events > 0 && is_routed && pool.has_build(now, build)
        }) else {
            continue;
        };
        let last_replica = run.last_replica.filter(|_| budget.is_learned);
        let selection = last_replica
            .and_then(|key| pool.select_batch_at(now, build, key, reserve))
            .or_else(|| pool.select_batch_build(now, build, reserve, rand::random()));
        if let Some(selection) = selection {
            return Some((selection, stored.map(Output::resume)));
        }
        longest.get_or_insert(events);
    }
    if let Some(events) = longest {
        let waited = now.saturating_sub(*run.waits_since.get_or_insert(now));
        if estimator.is_worth_waiting(events, waited) {
            return None;
        }
    }
    let selection = pool.select_batch(now, &backend.service, reserve, rand::random())?;
    let output = Output::begin(selection.build());
    Some((selection, Some(output)))
}
