//! Scheduling of batch items by the owner of a shard.
//!
//! Decides which items the owner may start, in which order, and how many of
//! them. Items that can still finish in time start first, oldest first, and
//! late ones get the remaining slots: under overload, starting the oldest
//! first would make every item late. An item that a live peer reports as
//! running is not started, so that a change of the shard's owner runs no item
//! twice. The remaining time of an item is estimated from the runs measured so
//! far.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::peers::Peers;

/// Snapshot of the peers' state that decides which items may start.
#[derive(Debug)]
pub struct Eligibility {
    is_stable: bool,
    running: HashSet<u32>,
    recently_stopped: HashMap<u32, Duration>,
}

impl Eligibility {
    /// Snapshot of `peers` at the time `now`.
    #[must_use]
    pub fn new(now: Duration, peers: &Peers) -> Self {
        Self {
            recently_stopped: peers.recently_stopped().clone(),
            is_stable: peers.is_stable(now),
            running: peers.running_items(now),
        }
    }

    /// Whether an item of an owned shard, given by its short id, may be started.
    /// `read_at` is the time at which the ledger was last read: an item that a
    /// peer recently stopped running may have ended, so the ledger has to be
    /// read after that. No item is started until the view of the peers is
    /// stable.
    #[must_use]
    pub fn may_start(&self, item_hash: u32, read_at: Duration) -> bool {
        let is_ledger_current = || {
            self.recently_stopped
                .get(&item_hash)
                .is_none_or(|stopped_at| read_at > *stopped_at)
        };
        self.is_stable && !self.running.contains(&item_hash) && is_ledger_current()
    }
}

/// Weight of the newest sample in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// Expected time of an item relative to a run without preemption, as items are
/// preempted by online requests from time to time.
pub const PREEMPTION_FACTOR: f64 = 1.5;

/// Assumed time to produce the events of an item again before a run was measured.
const UNKNOWN_RERUN_TIME: Duration = Duration::from_secs(1);

/// Moving averages of the duration of items.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimator {
    /// Seconds between two events of a run.
    seconds_per_event: Option<f64>,
    /// Events of a finished item.
    events_per_item: Option<f64>,
}

impl Estimator {
    /// Records a run that produced `events` events within `took`.
    pub fn record_run(&mut self, events: u64, took: Duration) {
        if events > 0 {
            update_average(
                &mut self.seconds_per_event,
                took.as_secs_f64() / events as f64,
            );
        }
    }

    /// Records the total number of events of a finished item.
    pub fn record_finished(&mut self, events: u64) {
        update_average(&mut self.events_per_item, events as f64);
    }

    /// Whether an item that has `done` events and has waited for a slot at the build that
    /// wrote them waits on, although other builds have free slots: no longer than it
    /// takes to produce the events again.
    #[must_use]
    pub fn is_worth_waiting(&self, done: u64, waited: Duration) -> bool {
        let rerun = self
            .seconds_per_event
            .map_or(UNKNOWN_RERUN_TIME, |seconds| {
                Duration::from_secs_f64(seconds * done as f64)
            });
        waited < rerun
    }

    /// Estimated remaining time of an item after `done` events; zero until both
    /// averages have a sample.
    #[must_use]
    pub fn remaining(&self, done: u64) -> Duration {
        self.uninterrupted(done).mul_f64(PREEMPTION_FACTOR)
    }

    /// Estimated time of a run that finishes an item after `done` events; zero until
    /// both averages have a sample.
    #[must_use]
    pub fn uninterrupted(&self, done: u64) -> Duration {
        let remaining_events = self
            .events_per_item
            .map_or(0.0, |all| (all - done as f64).max(1.0));
        Duration::from_secs_f64(remaining_events * self.seconds_per_event.unwrap_or(0.0))
    }
}

fn update_average(average: &mut Option<f64>, newest: f64) {
    *average = Some(average.map_or(newest, |old| old + EWMA_WEIGHT * (newest - old)));
}

/// Sort key of an item in the start order, lowest first. `age` is the time
/// since its submission, `remaining` its estimated remaining time, and `due` the
/// deadline relative to its submission; a `due` of zero means no deadline.
#[must_use]
pub fn start_order(age: Duration, remaining: Duration, due: Duration) -> (bool, Reverse<Duration>) {
    let is_late = !due.is_zero() && age + remaining > due;
    (is_late, Reverse(age))
}

/// Share of `amount` for a daemon that has `mine` of `all` units, in
/// proportion. `random` in `0..1` rounds the share stochastically, so that the
/// shares of daemons with the same view add up to about `amount`.
#[must_use]
pub fn proportional_share(amount: u32, mine: u32, all: u32, random: f64) -> u32 {
    match f64::from(mine) / f64::from(all.max(1)) {
        part if part >= 1.0 => amount,
        part => (f64::from(amount) * part + random).floor() as u32,
    }
}
