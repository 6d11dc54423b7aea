//! Online requests that are queued while batch items run.
//!
//! The load known from heartbeats can be lower than the real one: a replica goes
//! on with the requests of a daemon that was lost, so it refuses reservations
//! although it appears to have free slots, and nothing is preempted there. The
//! number of queued online requests shows the shortage whatever its cause. Each
//! daemon reports its queue by service. Batch items start only at slots of a data
//! centre beyond two for each request queued there, and as far as there are fewer
//! slots than that, items are preempted, at most one for each queued request and
//! round. In a large fleet some requests are always queued, as each asks a few
//! replicas only; while enough slots appear to be free, batch takes no notice.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::peers::short_hash;
use super::schedule::proportional_share;

/// Time between two rounds of preemptions: an item ends, its slot becomes known,
/// and a queued request reserves it.
const ROUND: Duration = Duration::from_millis(200);

/// Slots that have to appear free for each queued request: one that it gets, and
/// one that may be taken by requests of lost daemons.
const SLOTS_PER_REQUEST: u32 = 2;

/// Replicas of one service in one data centre, as a short id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Group(u32);

impl Group {
    /// Group of a service and a data centre.
    #[must_use]
    pub fn new(service: &str, data_centre: &str) -> Self {
        Self(short_hash(&[service.as_bytes(), data_centre.as_bytes()]))
    }
}

/// Online requests that a daemon has queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queued {
    /// Service, and the data centre of the daemon.
    pub group: Group,
    /// Number of requests.
    pub requests: u16,
}

/// Slots of a group, as far as this daemon knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Slots that appear to be free.
    pub free: u32,
    /// Batch items of this daemon.
    pub own: u32,
    /// Batch items of all daemons.
    pub all: u32,
}

/// Queued online requests of all daemons.
#[derive(Debug, Default)]
pub struct Backlog {
    requests: HashMap<Group, u32>,
    /// Start of the latest round by group.
    rounds: HashMap<Group, Duration>,
}

impl Backlog {
    /// Replaces the reports of all daemons.
    pub fn update(&mut self, reports: impl IntoIterator<Item = Queued>) {
        self.requests.clear();
        for queued in reports {
            *self.requests.entry(queued.group).or_default() += u32::from(queued.requests);
        }
    }

    /// Queued requests of a group.
    #[must_use]
    pub fn requests(&self, group: Group) -> u32 {
        self.requests.get(&group).copied().unwrap_or(0)
    }

    /// Slots of a group, of which `free` appear to be free, that batch items may
    /// take.
    #[must_use]
    pub fn batch_slots(&self, group: Group, free: u32) -> u32 {
        free.saturating_sub(self.requests(group).saturating_mul(SLOTS_PER_REQUEST))
    }

    /// Starts a round of preemptions in a group if one is due, and returns the
    /// number of items that this daemon preempts: its share in proportion to the
    /// items that it runs there. `random` in `0..1` rounds it.
    pub fn start_round(&mut self, now: Duration, group: Group, usage: Usage, random: f64) -> u32 {
        let Usage { free, own, all } = usage;
        let queued = self.requests(group);
        let missing = queued
            .saturating_mul(SLOTS_PER_REQUEST)
            .saturating_sub(free);
        let requests = queued.min(missing);
        let is_due = self
            .rounds
            .get(&group)
            .is_none_or(|started| now.saturating_sub(*started) >= ROUND);
        if requests == 0 || own == 0 || !is_due {
            return 0;
        }
        self.rounds.insert(group, now);
        proportional_share(requests.min(all), own, all, random).min(own)
    }
}
