//! Which runs of batch items yield their slots to online requests, and which items do
//! not start, as they would have to yield soon.
//!
//! A run that yields keeps its output, but its start is paid for again, and its item
//! may be late. So an item starts if its slot is expected to stay free until it ends,
//! or if it would be late otherwise. See `docs/design/preemption.md`.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use super::schedule::PREEMPTION_FACTOR;

/// Time from a decision to preempt until the slot can be used: heartbeats, polls and the
/// end of the run.
const PREEMPTION_TIME: Duration = Duration::from_millis(150);

/// Time between two rounds of preemptions at the same slots, after which the ends of
/// the runs of other daemons are known.
const ROUND: Duration = Duration::from_millis(200);

/// Slack with which an item can be cut and resumed in time. It is longer than the peaks
/// of 2.4 s.
const YIELD_SLACK: Duration = Duration::from_secs(3);

/// Least slack of an item that waits for a slot which stays free long enough. At
/// irregular load of a deployment with customers, 2.1 of 100 items were late with 3 s,
/// 1.3 with 6 s, and 0.6 with 9 s and with fixed headroom.
const START_SLACK: Duration = Duration::from_secs(9);

/// Why a run was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Its slot is kept free for the online requests that arrive next.
    Headroom,
    /// Online requests are queued.
    Backlog,
    /// Another daemon runs the item or has recorded its end.
    Ownership,
    /// The daemon stops.
    Shutdown,
    /// The replica failed, or its connection broke.
    ReplicaFailed,
}

impl Reason {
    /// Name in metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Headroom => "headroom",
            Self::Backlog => "backlog",
            Self::Ownership => "ownership",
            Self::Shutdown => "shutdown",
            Self::ReplicaFailed => "replica_failed",
        }
    }
}

/// Progress of an item that runs or is ready to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Events received in all runs of the item.
    pub events: u64,
    /// Estimated time until the item is finished, of a run without interruption.
    pub remaining: Duration,
    /// Time by which the item should be finished.
    pub due_at: Duration,
}

impl Work {
    /// Whether the item is late, or will be if it waits for `wait`.
    fn is_late_after(&self, now: Duration, wait: Duration) -> bool {
        now + wait + self.remaining.mul_f64(PREEMPTION_FACTOR) > self.due_at
    }

    /// Whether a run frees its slot by itself as soon as a preemption would.
    #[must_use]
    pub fn ends_soon(&self) -> bool {
        !self.remaining.is_zero() && self.remaining <= PREEMPTION_TIME
    }

    /// Order in which runs yield, lowest first: those that are late in any case, those
    /// that can wait, those that would be late by yielding; among these the run with
    /// the fewest events.
    #[must_use]
    pub fn yield_order(&self, now: Duration) -> (u8, u64) {
        let class = if self.is_late_after(now, Duration::ZERO) {
            0
        } else if self.is_late_after(now, YIELD_SLACK) {
            2
        } else {
            1
        };
        (class, self.events)
    }

    /// Whether the item may start at a slot that online requests are expected to want
    /// in `wanted_in`, or not at all. It may if its slot stays free until its end, and if
    /// it could be late otherwise.
    #[must_use]
    pub fn may_start(&self, now: Duration, wanted_in: Option<Duration>) -> bool {
        let is_long_enough = wanted_in.is_none_or(|time| time >= self.remaining);
        is_long_enough || self.is_late_after(now, self.remaining.max(START_SLACK))
    }
}

/// Rounds of preemptions, in each of which a shortage is shared among the daemons once.
///
/// The runs that other daemons end are known only after some heartbeats. Without rounds,
/// each daemon would draw its share of the same shortage anew with each poll.
#[derive(Clone, Debug)]
pub struct Rounds<K> {
    /// Start of the round, and the shortage that was shared and is not yet known to
    /// have ended.
    shared: HashMap<K, (Duration, u32)>,
}

impl<K> Default for Rounds<K> {
    fn default() -> Self {
        Self {
            shared: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> Rounds<K> {
    /// Part of a shortage that was not shared in the present round yet. `share` returns
    /// how much of it this daemon ends.
    pub fn share(
        &mut self,
        now: Duration,
        key: K,
        shortage: u32,
        share: impl FnOnce(u32) -> u32,
    ) -> u32 {
        self.shared
            .retain(|_, (started, _)| now.saturating_sub(*started) < ROUND);
        let (_, shared) = self.shared.entry(key).or_insert((now, 0));
        let new = shortage.saturating_sub(*shared);
        let own = share(new).min(new);
        // What this daemon ends is no longer part of the shortage that it sees.
        *shared = (*shared).max(shortage) - own;
        own
    }
}
