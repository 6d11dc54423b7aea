//! Slots that batch items may take, and the runs that yield theirs to online requests.

use std::collections::HashMap;
use std::time::Duration;

use super::{Entry, Group, Key, Pool};
use crate::fleet::backlog::{self, Queued};
use crate::fleet::demand::Demand;
use crate::fleet::preemption::Reason;
use crate::fleet::schedule::proportional_share;

/// Headroom as a share of the online requests at a replica: about as many
/// arrive while batch items are being preempted. Preemption takes about 0.15 s
/// for heartbeats, poll intervals and the end of a run, and an online request
/// holds its slot for 0.7 s.
const HEADROOM_SHARE: f64 = 0.2;

impl Pool {
    /// Replaces the queued online requests of all daemons.
    pub fn set_backlog(&mut self, reports: impl IntoIterator<Item = Queued>) {
        self.backlog.update(reports);
    }

    /// Slots of a service that batch items may take, by data centre, less
    /// `reserve` at each replica.
    pub(super) fn batch_slots_by_group(
        &self,
        now: Duration,
        service: &str,
        reserve: u32,
    ) -> HashMap<Group, u32> {
        let mut slots: HashMap<Group, u32> = HashMap::new();
        let of_service = self
            .entries
            .values()
            .filter(|e| e.replica.service == service);
        for e in of_service.filter(|e| e.accepts_requests(now) && now >= e.backoff_until) {
            *slots.entry(e.group).or_default() += e.free_batch_slots(now, reserve);
        }
        for (group, free) in &mut slots {
            *free = self.backlog.batch_slots(*group, *free);
        }
        slots
    }

    /// Overcommitted replicas where this daemon runs batch items, with the
    /// number of its items to preempt there. Headroom for online requests
    /// counts as used. The excess is divided among the daemons in proportion
    /// to their batch items at the replica.
    pub fn preemptions(&self, mut random: impl FnMut() -> f64) -> Vec<(Key, u32)> {
        let entries = self.entries.iter().filter(|(_, e)| e.own.batch > 0);
        let mut headroom_by_service: HashMap<&str, u32> = HashMap::new();
        entries
            .map(|(key, e)| {
                let service = e.replica.service.as_str();
                let headroom = *headroom_by_service
                    .entry(service)
                    .or_insert_with(|| self.online_headroom(service));
                let excess = (e.total() + headroom).saturating_sub(e.takes_well());
                let batch = e.own.batch + e.peers.batch;
                let preempted = proportional_share(excess.min(batch), e.own.batch, batch, random());
                (key, preempted.min(e.own.batch))
            })
            .filter(|(_, preempted)| *preempted > 0)
            .collect()
    }

    /// Items of this daemon to preempt for queued online requests: replicas of a
    /// service in a data centre, and the number of items at any of them.
    pub fn backlog_preemptions(
        &mut self,
        now: Duration,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(Vec<Key>, u32)> {
        let mut groups: HashMap<Group, (Vec<Key>, backlog::Usage)> = HashMap::new();
        // An item at a limited replica has spent its token; its end would free none.
        for (key, e) in self.entries.iter().filter(|(_, e)| e.limit.is_none()) {
            let (replicas, usage) = groups.entry(e.group).or_default();
            usage.own += e.own.batch;
            usage.all += e.own.batch + e.peers.batch;
            if e.accepts_requests(now) && now >= e.backoff_until {
                usage.free += e.free_slots(now);
            }
            if e.own.batch > 0 {
                replicas.push(key);
            }
        }
        groups
            .into_iter()
            .map(|(group, (replicas, usage))| {
                let count = self.backlog.start_round(now, group, usage, random());
                (replicas, count)
            })
            .filter(|(_, count)| *count > 0)
            .collect()
    }

    /// Headroom of each replica of a service: slots kept free of batch items
    /// for the online requests that arrive next.
    #[must_use]
    pub fn online_headroom(&self, service: &str) -> u32 {
        let entries = self.entries.values();
        let of_service = entries.filter(|e| e.replica.service == service);
        let (count, online) = of_service.fold((0_u32, 0_u32), |(count, online), e| {
            (count + 1, online + e.own.online + e.peers.online)
        });
        (f64::from(online) / f64::from(count.max(1)) * HEADROOM_SHARE).round() as u32
    }

    /// Free slots for batch items at all replicas of a service, less `reserve`
    /// at each replica.
    #[must_use]
    pub fn free_batch_slots(&self, now: Duration, service: &str, reserve: u32) -> u32 {
        self.batch_slots_by_group(now, service, reserve)
            .into_values()
            .sum()
    }

    /// Service of a replica.
    #[must_use]
    pub fn service_of(&self, key: Key) -> Option<&str> {
        let entry = self.entries.get(key)?;
        Some(&entry.replica.service)
    }

    /// Records the online load of each service.
    pub fn observe_online(&mut self, now: Duration) {
        let mut online: HashMap<&str, u32> = HashMap::new();
        for e in self.entries.values() {
            *online.entry(&e.replica.service).or_default() += e.own.online + e.peers.online;
        }
        self.demand
            .retain(|service, _| online.contains_key(service.as_str()));
        for (service, online) in online {
            match self.demand.get_mut(service) {
                Some(demand) => demand.observe(now, online),
                None => {
                    let mut demand = Demand::default();
                    demand.observe(now, online);
                    self.demand.insert(service.into(), demand);
                }
            }
        }
    }

    /// Whether the online load of a service has a rhythm.
    #[must_use]
    pub fn has_rhythm(&self, service: &str) -> bool {
        self.demand.get(service).is_some_and(Demand::has_rhythm)
    }

    /// Expected time until online requests want the slot of one more batch item of a
    /// service, with `others` about to start; `None` if they do not.
    #[must_use]
    pub fn wanted_in(&self, now: Duration, service: &str, others: u32) -> Option<Duration> {
        let level = self.load_that_wants(now, service, others);
        self.demand.get(service)?.time_until(level)
    }

    /// Whether a quantile of the recent online load wants the slot of one more batch item.
    #[must_use]
    pub fn is_wanted_at(&self, now: Duration, service: &str, others: u32, quantile: f64) -> bool {
        let level = self.load_that_wants(now, service, others);
        let demand = self.demand.get(service);
        demand.is_some_and(|demand| demand.quantile(quantile) >= level)
    }

    /// Online load that wants, with its headroom, a slot of the batch items of a service
    /// and of `others` more.
    fn load_that_wants(&self, now: Duration, service: &str, others: u32) -> f64 {
        let usable = self.entries.values().filter(|e| {
            let is_usable = e.accepts_requests(now) && now >= e.backoff_until;
            e.replica.service == service && is_usable
        });
        let (slots, batch) = usable.fold((0_u32, 0_u32), |(slots, batch), e| {
            (slots + e.replica.slots, batch + e.own.batch + e.peers.batch)
        });
        f64::from(slots.saturating_sub(batch + others)) / (1.0 + HEADROOM_SHARE)
    }

    /// Items of this daemon that yield, with the replicas at any of which they run.
    ///
    /// Without `is_learned`, or where the online load has no rhythm, each replica keeps
    /// its headroom. Otherwise the headroom is that of all replicas of a data centre
    /// together, as an online request chooses among several; and each shortage is shared
    /// among the daemons once a round.
    pub fn yields(
        &mut self,
        now: Duration,
        mut is_learned: impl FnMut(&Self, &str) -> bool,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(Vec<Key>, u32, Reason)> {
        let services: Vec<_> = self.demand.keys().cloned().collect();
        let learned: Vec<_> = services
            .into_iter()
            .filter(|service| is_learned(self, service))
            .collect();
        let is_learned = |e: &Entry| learned.contains(&e.replica.service);
        let counted = self.preemptions(&mut random).into_iter();
        let mut yields: Vec<_> = counted
            .filter(|(key, _)| !is_learned(&self.entries[*key]))
            .map(|(key, count)| (vec![key], count, Reason::Headroom))
            .collect();
        if !learned.is_empty() {
            yields.extend(self.overcommitted(now, is_learned, &mut random));
            yields.extend(self.short_groups(now, is_learned, &mut random));
        }
        let queued = self.backlog_preemptions(now, random).into_iter();
        yields.extend(queued.map(|(replicas, count)| (replicas, count, Reason::Backlog)));
        yields
    }

    /// Items that exceed the slots of a replica.
    fn overcommitted(
        &mut self,
        now: Duration,
        is_considered: impl Fn(&Entry) -> bool,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(Vec<Key>, u32, Reason)> {
        let rounds = &mut self.replica_rounds;
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, e)| e.own.batch > 0 && is_considered(e));
        entries
            .map(|(key, e)| {
                let batch = e.own.batch + e.peers.batch;
                let excess = e.total().saturating_sub(e.takes_well()).min(batch);
                let count = rounds.share(now, key, excess, |new| {
                    proportional_share(new, e.own.batch, batch, random()).min(e.own.batch)
                });
                (vec![key], count, Reason::Headroom)
            })
            .filter(|(_, count, _)| *count > 0)
            .collect()
    }

    /// Items in whose place a data centre lacks headroom.
    fn short_groups(
        &mut self,
        now: Duration,
        is_considered: impl Fn(&Entry) -> bool,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(Vec<Key>, u32, Reason)> {
        let mut groups: HashMap<Group, (Vec<Key>, backlog::Usage, u32)> = HashMap::new();
        let entries = self.entries.iter();
        // An item at a limited replica has spent its token; its end would free none.
        for (key, e) in entries.filter(|(_, e)| e.limit.is_none() && is_considered(e)) {
            let (replicas, usage, online) = groups.entry(e.group).or_default();
            usage.own += e.own.batch;
            usage.all += e.own.batch + e.peers.batch;
            *online += e.own.online + e.peers.online;
            if e.accepts_requests(now) && now >= e.backoff_until {
                usage.free += e.free_slots(now);
            }
            if e.own.batch > 0 {
                replicas.push(key);
            }
        }
        let rounds = &mut self.group_rounds;
        groups
            .into_iter()
            .filter(|(_, (replicas, ..))| !replicas.is_empty())
            .map(|(group, (replicas, usage, online))| {
                let headroom = (f64::from(online) * HEADROOM_SHARE).round() as u32;
                let missing = headroom.saturating_sub(usage.free).min(usage.all);
                let count = rounds.share(now, group, missing, |new| {
                    proportional_share(new, usage.own, usage.all, random()).min(usage.own)
                });
                (replicas, count, Reason::Headroom)
            })
            .filter(|(_, count, _)| *count > 0)
            .collect()
    }
}
