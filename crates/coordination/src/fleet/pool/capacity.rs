//! Cost of the replicas of a pool, by their learned capacity.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::{Entry, Key, Pool};
use crate::fleet::capacity::{Change, MAX_REPORTS, Report, Sample};

/// Cost of a hop to another data centre, as a share of a replica's slots.
const HOP_COST_SHARE: f64 = 0.25;

/// Cost of a token of a limited replica, as a share of its slots. Where the rate is
/// limited, slots are plentiful and tokens are not: a token buys a batch item several
/// times as much of a slot as an online request, and an item elsewhere takes the slots
/// of several online requests.
const TOKEN_COST_SHARE: f64 = 0.9;

/// Weight of a free slot of a limited replica for batch items, for the same reason.
const LIMITED_SLOT_WEIGHT: f64 = 4.0;

/// Upper bound of the random load, in requests, that is added to each
/// candidate, so that daemons with the same view choose different replicas.
const MAX_JITTER_REQUESTS: f64 = 1.2;

/// Weight of a free slot in another data centre for batch items; a slot in
/// this data centre has weight 1.
const REMOTE_SLOT_WEIGHT: f64 = 0.1;

/// Share of the slots of a fast replica, the last ones, over which its advantage fades: the
/// known load is out of date, and these slots may be taken.
const FADING_SHARE: f64 = 0.25;

/// Power of the speed of a slow replica with free slots: a request that it takes late has
/// less of its objective left than one elsewhere.
const SLOWNESS_POWER: f64 = 1.5;

/// Cost of a slot of a slow replica above that of a full one of usual speed, as a share of
/// its slots. A request begins at once in such a slot, and waits elsewhere.
const FREE_SLOT_COST_SHARE: f64 = 0.3;

impl Entry {
    /// Concurrent requests that it takes well: at most its slots, and at least one of
    /// them.
    pub(super) fn takes_well(&self) -> u32 {
        self.well.min(self.replica.slots)
    }

    /// `load` requests as a share of the learned capacity, of which `used` are known. It is
    /// their share of the slots where the replica is not known to differ.
    fn share(&self, now: Duration, used: u32, load: f64) -> f64 {
        let slots = self.replica.slots.max(1);
        let speed = f64::from(self.learned.speed(now, used.saturating_add(1), slots));
        let share = load / f64::from(slots);
        if speed > 1.0 && share < 1.0 {
            // The advantage fades towards its last slot, for which others wait.
            let remaining = ((1.0 - share) / FADING_SHARE).min(1.0);
            share * (remaining / speed + 1.0 - remaining)
        } else if speed < 1.0 && used < self.takes_well() {
            let slowed = share / speed.powf(SLOWNESS_POWER);
            slowed.min(1.0 + FREE_SLOT_COST_SHARE * share)
        } else if speed < 1.0 {
            share / speed
        } else if used >= self.takes_well() {
            load / f64::from(self.takes_well().max(1))
        } else {
            share
        }
    }
}

impl Pool {
    /// Share of the learned capacity in use, plus the cost of a hop. `random` in `0..1`
    /// scales the jitter: other daemons select at the same time from the same view, and
    /// would otherwise all choose the same replica.
    pub(super) fn cost(&self, now: Duration, entry: &Entry, random: f64) -> f64 {
        let total = entry.total();
        let used = if now < entry.full_until {
            total.max(entry.replica.slots.max(1))
        } else {
            total
        };
        let hop = if entry.replica.data_centre == self.data_centre {
            0.0
        } else {
            HOP_COST_SHARE
        };
        let token = if entry.limit.is_some() {
            TOKEN_COST_SHARE
        } else {
            0.0
        };
        let load = f64::from(used) + MAX_JITTER_REQUESTS * random;
        entry.share(now, used, load) + hop + token
    }

    /// Free slots for batch items; remote slots count [`REMOTE_SLOT_WEIGHT`] each.
    pub(super) fn batch_weight(&self, now: Duration, entry: &Entry, reserve: u32) -> f64 {
        let free = f64::from(entry.free_batch_slots(now, reserve));
        let is_local = entry.replica.data_centre == self.data_centre;
        let distance = if is_local { 1.0 } else { REMOTE_SLOT_WEIGHT };
        match entry.limit {
            Some(_) => free * distance * LIMITED_SLOT_WEIGHT,
            None => free * distance,
        }
    }

    /// Records a time that was measured at a replica.
    pub fn record_sample(&mut self, now: Duration, key: Key, sample: &Sample) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let service = &entry.replica.service;
        if !self.usual.contains_key(service) {
            self.usual.insert(service.clone(), Default::default());
        }
        if let Some(usual) = self.usual.get_mut(service) {
            let quotient = usual.record(sample);
            let (in_flight, slots) = (entry.total(), entry.replica.slots);
            entry.learned.record(now, in_flight, slots, quotient);
        }
    }

    /// Updates what each replica takes well, and returns the replicas whose capacity has
    /// changed by a quarter.
    pub fn update_capacities(&mut self, now: Duration) -> Vec<(CompactString, Change)> {
        self.speeds.expire(now);
        let reported: HashMap<u32, f32> = self.speeds.speeds();
        let mut changes = Vec::new();
        for entry in self.entries.values_mut() {
            let slots = entry.replica.slots;
            let speed = reported.get(&entry.process_hash).copied();
            entry.learned.set_reported(speed);
            entry.well = entry.learned.takes_well(now, slots).max(1);
            let change = entry.learned.note(now, slots);
            changes.extend(change.map(|change| (entry.replica.id.clone(), change)));
        }
        changes
    }

    /// Replaces the speeds that a peer reports.
    pub fn set_peer_speeds(&mut self, now: Duration, from: SocketAddr, reports: &[Report]) {
        self.speeds.receive(now, from, reports);
    }

    /// Speeds for the peers: the replicas that differ most clearly from their service.
    #[must_use]
    pub fn speed_reports(&self, now: Duration) -> Vec<Report> {
        let entries = self.entries.values();
        let reports = entries.filter_map(|e| e.learned.report(now, e.process_hash));
        let mut reports: Vec<Report> = reports.collect();
        reports.sort_unstable_by_key(|report| (std::cmp::Reverse(report.samples), report.process));
        reports.truncate(MAX_REPORTS);
        reports
    }
}
