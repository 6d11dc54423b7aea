//! Load balancing over the replicas of each service.
//!
//! A replica serves its requests in order of arrival, so its load is the
//! number of requests that all daemons have there, as a share of those that it takes at
//! its learned speed (see [`capacity`](super::capacity)): this daemon's own count is
//! exact, that of its peers comes from their latest heartbeats. An online
//! request goes to the least loaded of a few replicas drawn at random, a batch
//! item to a free slot drawn at random. A replica that fails is skipped for a
//! backoff that doubles with each consecutive failure.
//!
//! In a data centre with many replicas, each daemon prefers a small subset of
//! them, chosen by rendezvous hashing. Fewer daemons then share a replica, so
//! connections are reused and the known load is less often out of date.
//!
//! A replica that names a rate limit takes a request only with a token of the daemon
//! that has its bucket; see [`rate_limit`](super::rate_limit). While there is none, the
//! replica is not selected.
//!
//! A replica that says in an answer that it is leaving gets no more requests,
//! whatever the listing says, until another process takes its place.

mod capacity;
mod headroom;
mod links;
mod shortage;
mod versions;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;
use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use self::versions::Versions;
use super::backlog::{Backlog, Group};
use super::capacity::{Learned, Reports, Usual};
use super::demand::Demand;
use super::peers::short_hash;
use super::preemption::Rounds;
use super::rate_limit::Limits;
use super::replica::{Build, Process, Replica, Stage};

new_key_type! {
    /// Key of a replica in the pool.
    pub struct Key;
}

/// Scheduling class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A client waits for the answer.
    Online,
    /// Item of a batch job; may be delayed or preempted.
    Batch,
}

/// Backoff after the first failure of a replica.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the backoff of a failing replica.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Time after the store became available again in which a replica may renew
/// an entry that expired during the outage.
const RELIST_GRACE: Duration = Duration::from_secs(2);

/// Time for which a replica is kept after its entry could not be read. A running replica
/// writes its entry several times meanwhile.
const UNREADABLE_GRACE: Duration = Duration::from_secs(4);

/// Time for which a process that announced its departure is remembered after it
/// was last listed, as its entry may return.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(600);

/// Listings after which a process runs that was found to have ended: the first one may
/// have been written before.
const MIN_LISTINGS: u8 = 2;

/// Replicas of this data centre that are compared for one online request. The
/// known load is out of date, so with many candidates all daemons would send
/// to the one replica that appears idle.
const LOCAL_CANDIDATES: usize = 3;

/// Preferred replicas of a daemon for each service in its data centre.
const PREFERRED_REPLICAS: usize = 12;

/// Replicas of other data centres that are compared for one online request.
const REMOTE_CANDIDATES: usize = 2;

/// Time for which a replica counts as full after it reported no free slot;
/// within it, about one of its several slots becomes free.
const FULL_COOLDOWN: Duration = Duration::from_millis(100);

/// Requests in flight at one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Load {
    /// Sum of both classes.
    #[must_use]
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    fn count_mut(&mut self, class: Class) -> &mut u32 {
        match class {
            Class::Online => &mut self.online,
            Class::Batch => &mut self.batch,
        }
    }
}

#[derive(Debug)]
struct Entry {
    replica: Replica,
    /// Short id in heartbeats.
    short_hash: u32,
    /// Short id of its process in heartbeats.
    process_hash: u32,
    /// Rate limit that it named, in requests a second.
    limit: Option<f64>,
    /// Time before which it has no token for an online request.
    token_at: Duration,
    /// Time before which it has no token for a batch item.
    batch_token_at: Duration,
    group: Group,
    /// Whether it is in this daemon's preferred subset.
    preferred: bool,
    own: Load,
    peers: Load,
    /// Consecutive failures.
    failures: u32,
    backoff_until: Duration,
    /// End of the time for which it counts as full.
    full_until: Duration,
    /// Another process answers at its address.
    misdirected: bool,
    /// The process announced its departure in an answer.
    departing: bool,
    /// Listings of the process that are missing to show that it runs; 0 unless it was
    /// found to have ended.
    missing_listings: u8,
    /// End of the grace period after it disappeared from the listing.
    grace_ends_at: Option<Duration>,
    learned: Learned,
    /// Concurrent requests that it takes well, as last learned.
    well: u32,
}

impl Entry {
    fn total(&self) -> u32 {
        self.own.total() + self.peers.total()
    }

    /// Slots that it takes well, without a known request; 0 while the replica counts as full.
    fn free_slots(&self, now: Duration) -> u32 {
        if now < self.full_until {
            return 0;
        }
        self.takes_well().saturating_sub(self.total())
    }

    /// Free slots for batch items. A limited replica takes one at a time, as each
    /// needs a token.
    fn free_batch_slots(&self, now: Duration, reserve: u32) -> u32 {
        let free = self.free_slots(now).saturating_sub(reserve);
        match self.limit {
            Some(_) if now < self.batch_token_at => 0,
            Some(_) => free.min(1),
            None => free,
        }
    }

    fn accepts_requests(&self, now: Duration) -> bool {
        self.accepts(now, Class::Online)
    }

    /// Whether it may be sent a request of a class.
    fn accepts(&self, now: Duration, class: Class) -> bool {
        let token_at = match class {
            Class::Online => self.token_at,
            Class::Batch => self.batch_token_at,
        };
        let lacks_token = self.limit.is_some() && now < token_at;
        !lacks_token && self.is_in_service(now)
    }

    /// Whether it is known to be a replica of a build. A process at the address of one
    /// that ended may have another version than is listed.
    fn is_of_build(&self, build: &Build) -> bool {
        self.replica.service == build.service
            && self.replica.version.as_ref() == Some(&build.version)
            && self.missing_listings == 0
    }

    fn is_in_service(&self, now: Duration) -> bool {
        self.replica.stage == Stage::Ready
            && !self.misdirected
            && !self.departing
            && self.grace_ends_at.is_none_or(|at| now < at)
    }
}

/// Replica selected for a request, with a slot assigned.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Key in the pool.
    pub key: Key,
    /// Id of the replica.
    pub id: CompactString,
    /// Service.
    pub service: CompactString,
    /// Address.
    pub address: SocketAddr,
    /// Start time of the replica, in milliseconds since 1970.
    pub born_ms: u64,
    /// This daemon's requests in flight there, without this one.
    pub own: u32,
    /// Requests in flight there from all peers, by their latest heartbeats.
    pub peers: u32,
    /// Short id of its process.
    pub process_hash: u32,
    /// Rate limit that it named, in requests a second; a request needs a token.
    pub limit: Option<f64>,
    /// Version of its software, if it is known.
    pub version: Option<CompactString>,
}

impl Selection {
    /// Build that was selected, if its version is known.
    #[must_use]
    pub fn build(&self) -> Option<Build> {
        Some(Build {
            service: self.service.clone(),
            version: self.version.clone()?,
        })
    }

    /// Process that was selected.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            id: self.id.clone(),
            address: self.address,
            born_ms: self.born_ms,
        }
    }
}

/// Known replicas with their load and health.
#[derive(Debug)]
pub struct Pool {
    data_centre: CompactString,
    name: CompactString,
    entries: SlotMap<Key, Entry>,
    by_id: HashMap<CompactString, Key>,
    /// Processes that announced their departure, with the time at which each was
    /// last in the pool.
    departing: HashMap<Process, Duration>,
    backlog: Backlog,
    limits: Limits,
    /// Average time for which an online request of a service holds a slot.
    run_times: HashMap<CompactString, Duration>,
    versions: Versions,
    /// Online load by service.
    demand: HashMap<CompactString, Demand>,
    replica_rounds: Rounds<Key>,
    group_rounds: Rounds<Group>,
    /// Usual times by service.
    usual: HashMap<CompactString, Usual>,
    speeds: Reports,
}

impl Pool {
    /// Empty pool of the daemon `name` in `data_centre`.
    #[must_use]
    pub fn new(data_centre: CompactString, name: CompactString) -> Self {
        Self {
            data_centre,
            name,
            entries: SlotMap::with_key(),
            by_id: HashMap::new(),
            departing: HashMap::new(),
            backlog: Backlog::default(),
            limits: Limits::default(),
            run_times: HashMap::new(),
            versions: Versions::default(),
            demand: HashMap::new(),
            replica_rounds: Rounds::default(),
            group_rounds: Rounds::default(),
            usual: HashMap::new(),
            speeds: Reports::default(),
        }
    }

    /// Adds a listed replica or updates its entry. A new start time or address
    /// replaces the entry, so that load and failures begin at zero.
    pub fn upsert(&mut self, replica: Replica) {
        let known = self.by_id.get(&replica.id).copied();
        match known.and_then(|key| self.entries.get_mut(key)) {
            Some(entry) if entry.replica.process() == replica.process() => {
                entry.grace_ends_at = None;
                entry.missing_listings = entry.missing_listings.saturating_sub(1);
                let previous = std::mem::replace(&mut entry.replica, replica);
                self.versions.record_removed(previous);
            }
            _ => {
                self.remove(&replica.id.clone());
                let id = replica.id.clone();
                let departing = self.departing.contains_key(&replica.process());
                let process_hash = replica.process().short_hash();
                let key = self.entries.insert(Entry {
                    short_hash: short_hash(&[id.as_bytes()]),
                    process_hash,
                    limit: self.limits.get(process_hash),
                    token_at: Duration::ZERO,
                    batch_token_at: Duration::ZERO,
                    group: Group::new(&replica.service, &replica.data_centre),
                    replica,
                    departing,
                    preferred: false,
                    own: Load::default(),
                    peers: Load::default(),
                    failures: 0,
                    backoff_until: Duration::ZERO,
                    full_until: Duration::ZERO,
                    misdirected: false,
                    missing_listings: 0,
                    grace_ends_at: None,
                    learned: Learned::default(),
                    well: u32::MAX,
                });
                self.by_id.insert(id, key);
                self.update_preferred();
            }
        }
    }

    /// Removes a replica that is no longer listed. `store_back` is the time at
    /// which the store last became available after an outage: an entry may
    /// have expired during the outage while its replica was running, so a
    /// ready replica is kept for a grace period after that time.
    pub fn delist(&mut self, now: Duration, id: &str, store_back: Option<Duration>) {
        let grace_end = store_back.map(|back| back + RELIST_GRACE);
        match (
            grace_end,
            self.by_id
                .get(id)
                .and_then(|key| self.entries.get_mut(*key)),
        ) {
            (Some(grace_end), Some(entry))
                if now < grace_end && entry.replica.stage == Stage::Ready =>
            {
                entry.grace_ends_at = Some(grace_end);
            }
            _ => self.remove(id),
        }
    }

    /// Records that the entry of a replica cannot be read, as another writer has replaced
    /// it. The replica is kept for [`UNREADABLE_GRACE`] after the first such entry, and
    /// longer if it is listed again.
    pub fn record_unreadable(&mut self, now: Duration, id: &str) {
        let key = self.by_id.get(id);
        if let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) {
            entry.grace_ends_at.get_or_insert(now + UNREADABLE_GRACE);
        }
    }

    /// Ids of all replicas in the pool.
    pub fn ids(&self) -> impl Iterator<Item = &CompactString> {
        self.by_id.keys()
    }

    /// Removes replicas that were not listed again within the grace period, and
    /// forgets processes that left long ago.
    pub fn expire(&mut self, now: Duration) {
        for entry in self.entries.values().filter(|e| e.departing) {
            self.departing.insert(entry.replica.process(), now);
        }
        self.departing
            .retain(|_, seen| now.saturating_sub(*seen) < DEPARTURE_RETENTION);
        let expired: Vec<CompactString> = self
            .entries
            .values()
            .filter(|e| e.grace_ends_at.is_some_and(|at| now >= at))
            .map(|e| e.replica.id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
        let processes: HashSet<u32> = self.entries.values().map(|e| e.process_hash).collect();
        self.limits
            .expire(now, |process| processes.contains(&process));
    }

    fn remove(&mut self, id: &str) {
        if let Some(key) = self.by_id.remove(id) {
            if let Some(entry) = self.entries.remove(key) {
                self.versions.record_removed(entry.replica);
            }
            self.update_preferred();
        }
    }

    /// Recomputes the preferred subset by rendezvous hashing, so that each
    /// daemon prefers different replicas.
    fn update_preferred(&mut self) {
        let score =
            |e: &Entry| hash::rendezvous_score(self.name.as_bytes(), e.replica.id.as_bytes());
        let local = self
            .entries
            .iter()
            .filter(|(_, e)| e.replica.data_centre == self.data_centre);
        let mut ranked: Vec<(Key, CompactString, u64)> = local
            .map(|(key, e)| (key, e.replica.service.clone(), score(e)))
            .collect();
        ranked.sort_unstable_by_key(|(_, _, score)| *score);
        let mut counts: HashMap<CompactString, usize> = HashMap::new();
        for (key, service, _) in ranked {
            let count = counts.entry(service).or_default();
            self.entries[key].preferred = *count < PREFERRED_REPLICAS;
            *count += 1;
        }
    }

    /// Selects a replica of a service for an online request and assigns a
    /// slot. Replicas in `tried` and `full` are excluded, and those in backoff
    /// are used only if there is no other. If `full` is not empty, preferred
    /// replicas have no precedence over other local ones.
    pub fn select(
        &mut self,
        now: Duration,
        service: &str,
        tried: &[Key],
        full: &[Key],
        random: impl FnMut() -> f64,
    ) -> Option<Selection> {
        self.select_among(now, |e| e.replica.service == service, tried, full, random)
    }

    /// Selects like [`Self::select`] a replica of one build, for a stream that replicas
    /// of another one cannot continue. A replica whose process was found to have ended is
    /// excluded until it is listed again and again, or another process is listed.
    pub fn select_build(
        &mut self,
        now: Duration,
        build: &Build,
        tried: &[Key],
        full: &[Key],
        random: impl FnMut() -> f64,
    ) -> Option<Selection> {
        self.select_among(now, |e| e.is_of_build(build), tried, full, random)
    }

    fn select_among(
        &mut self,
        now: Duration,
        is_considered: impl Fn(&Entry) -> bool,
        tried: &[Key],
        full: &[Key],
        mut random: impl FnMut() -> f64,
    ) -> Option<Selection> {
        let mut cheapest = |exclude_backoff: bool| {
            let usable = self.entries.iter().filter(|(key, e)| {
                is_considered(e)
                    && e.accepts_requests(now)
                    && !(tried.contains(key) || full.contains(key))
                    && (!exclude_backoff || now >= e.backoff_until)
            });
            self.cheapest_candidate(now, usable, full.is_empty(), &mut random)
        };
        let key = cheapest(true).or_else(|| cheapest(false))?;
        Some(self.assign_slot(key, Class::Online))
    }

    /// Whether a build has a replica that accepts requests, now or when it has a token
    /// again.
    #[must_use]
    pub fn has_build(&self, now: Duration, build: &Build) -> bool {
        let mut entries = self.entries.values();
        entries.any(|e| e.is_of_build(build) && e.is_in_service(now))
    }

    /// Whether all replicas of a service that accept requests are of one build. Processes
    /// that ended accept none.
    #[must_use]
    pub fn is_sole_build(&self, now: Duration, build: &Build) -> bool {
        let mut of_service = self.entries.values().filter(|e| {
            let is_running = e.is_in_service(now) && e.missing_listings == 0;
            e.replica.service == build.service && is_running
        });
        of_service.all(|e| e.is_of_build(build))
    }

    /// Assigns a slot of a given replica to an online request; `None` if the
    /// replica no longer accepts requests.
    pub fn select_at(&mut self, now: Duration, key: Key) -> Option<Selection> {
        self.select_again(now, key, Class::Online, None)
    }

    /// Cheapest of a few replicas drawn at random, local and remote. If `prefer`,
    /// local replicas that are not preferred are drawn only if there are fewer
    /// preferred ones than [`LOCAL_CANDIDATES`].
    fn cheapest_candidate<'a>(
        &self,
        now: Duration,
        usable: impl Iterator<Item = (Key, &'a Entry)>,
        prefer: bool,
        random: &mut impl FnMut() -> f64,
    ) -> Option<Key> {
        let (local, mut remote): (Vec<_>, Vec<_>) =
            usable.partition(|(_, e)| e.replica.data_centre == self.data_centre);
        let (mut preferred, mut others): (Vec<_>, Vec<_>) =
            local.into_iter().partition(|(_, e)| e.preferred || !prefer);
        let preferred = draw(&mut preferred, LOCAL_CANDIDATES, random);
        let others = draw(&mut others, LOCAL_CANDIDATES - preferred.len(), random);
        let remote = draw(&mut remote, REMOTE_CANDIDATES, random);
        preferred
            .iter()
            .chain(others)
            .chain(remote)
            .map(|(key, e)| (*key, self.cost(now, e, random())))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _)| key)
    }

    /// Selects a replica of a service with more than `reserve` free slots for
    /// a batch item and assigns a slot. `random` in `0..1` draws the replica
    /// with a probability proportional to its weighted free slots, as other
    /// daemons select at the same time from the same view.
    pub fn select_batch(
        &mut self,
        now: Duration,
        service: &str,
        reserve: u32,
        random: f64,
    ) -> Option<Selection> {
        self.select_batch_among(now, service, |_| true, reserve, random)
    }

    /// Selects for a batch item the replica that ran it before, if it is of the build
    /// and has more than `reserve` free slots.
    pub fn select_batch_at(
        &mut self,
        now: Duration,
        build: &Build,
        key: Key,
        reserve: u32,
    ) -> Option<Selection> {
        let process = self.entries.get(key)?.process_hash;
        let is_same = |e: &Entry| e.process_hash == process && e.is_of_build(build);
        self.select_batch_among(now, &build.service, is_same, reserve, 0.0)
    }

    /// Selects like [`Self::select_batch`] a replica of one build.
    pub fn select_batch_build(
        &mut self,
        now: Duration,
        build: &Build,
        reserve: u32,
        random: f64,
    ) -> Option<Selection> {
        let service = &build.service;
        self.select_batch_among(now, service, |e| e.is_of_build(build), reserve, random)
    }

    fn select_batch_among(
        &mut self,
        now: Duration,
        service: &str,
        is_considered: impl Fn(&Entry) -> bool,
        reserve: u32,
        random: f64,
    ) -> Option<Selection> {
        let slots = self.batch_slots_by_group(now, service, reserve);
        let free: Vec<(Key, f64)> = self
            .entries
            .iter()
            .filter(|(_, e)| is_considered(e))
            .filter(|(_, e)| slots.get(&e.group).is_some_and(|slots| *slots > 0))
            .filter(|(_, e)| e.accepts_requests(now) && now >= e.backoff_until)
            .map(|(key, e)| (key, self.batch_weight(now, e, reserve)))
            .filter(|(_, weight)| *weight > 0.0)
            .collect();
        let total: f64 = free.iter().map(|(_, weight)| weight).sum();
        let mut remaining = random * total;
        let key = free
            .iter()
            .find(|(_, weight)| {
                remaining -= weight;
                remaining < 0.0
            })
            .or(free.last())?
            .0;
        Some(self.assign_slot(key, Class::Batch))
    }

    fn assign_slot(&mut self, key: Key, class: Class) -> Selection {
        let entry = &mut self.entries[key];
        let (own, peers) = (entry.own.total(), entry.peers.total());
        *entry.own.count_mut(class) += 1;
        Selection {
            own,
            peers,
            key,
            process_hash: entry.process_hash,
            limit: entry.limit,
            version: entry.replica.version.clone(),
            id: entry.replica.id.clone(),
            service: entry.replica.service.clone(),
            address: entry.replica.address,
            born_ms: entry.replica.born_ms,
        }
    }

    /// Assigns a slot like [`Self::select_at`] if the replica is of a build.
    pub fn select_build_at(&mut self, now: Duration, key: Key, build: &Build) -> Option<Selection> {
        self.select_again(now, key, Class::Online, Some(build))
    }

    /// Assigns one more slot of a replica that was selected before; `None` if it is not of
    /// the build or may not be sent a request of the class now. Whoever keeps a selection
    /// while an answer arrives has to select again before the next request.
    pub fn select_again(
        &mut self,
        now: Duration,
        key: Key,
        class: Class,
        build: Option<&Build>,
    ) -> Option<Selection> {
        let entry = self.entries.get(key)?;
        let is_of_build = build.is_none_or(|build| entry.is_of_build(build));
        let is_usable = is_of_build && entry.accepts(now, class);
        is_usable.then(|| self.assign_slot(key, class))
    }

    /// Releases a slot.
    pub fn release(&mut self, key: Key, class: Class) {
        if let Some(entry) = self.entries.get_mut(key) {
            let count = entry.own.count_mut(class);
            *count = count.saturating_sub(1);
        }
    }

    /// Records a complete answer, which ends the replica's backoff.
    pub fn record_success(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.failures = 0;
            entry.backoff_until = Duration::ZERO;
        }
    }

    /// Records a failed attempt, which starts or extends the backoff.
    pub fn record_failure(&mut self, now: Duration, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            let backoff = INITIAL_BACKOFF.saturating_mul(1 << entry.failures.min(8));
            entry.failures += 1;
            entry.backoff_until = now + backoff.min(MAX_BACKOFF);
        }
    }

    /// Records that a replica reported no free slot.
    pub fn record_full(&mut self, now: Duration, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.full_until = entry.full_until.max(now + FULL_COOLDOWN);
        }
    }

    /// Records that another process answers at a replica's address, which
    /// excludes the replica until it is listed with a new start time or address.
    pub fn record_misdirected(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.misdirected = true;
        }
    }

    /// Records that a process ended. Its entry may be listed for some time.
    pub fn record_ended(&mut self, process: &Process) {
        let key = self.by_id.get(&process.id);
        let entry = key.and_then(|key| self.entries.get_mut(*key));
        if let Some(entry) = entry.filter(|entry| entry.replica.process() == *process) {
            entry.missing_listings = MIN_LISTINGS;
        }
    }

    /// Records that a selected replica announced its departure in an answer;
    /// returns whether that is news. The listing may have dropped it meanwhile
    /// and may list it again.
    pub fn record_departing(&mut self, now: Duration, selection: &Selection) -> bool {
        let process = selection.process();
        let entry = self
            .by_id
            .get(&process.id)
            .and_then(|key| self.entries.get_mut(*key))
            .filter(|entry| entry.replica.process() == process);
        if let Some(entry) = entry {
            entry.departing = true;
        }
        self.departing.insert(process, now).is_none()
    }

    /// This daemon's load by short id of the replica, without idle replicas.
    pub fn own_load(&self) -> impl Iterator<Item = (u32, Load)> {
        self.entries
            .values()
            .filter(|e| e.own.total() > 0)
            .map(|e| (e.short_hash, e.own))
    }

    /// Sets the load from all peers at each replica, given its short id.
    pub fn set_peer_load(&mut self, load: impl Fn(u32) -> Load) {
        for entry in self.entries.values_mut() {
            entry.peers = load(entry.short_hash);
        }
    }
}

/// Moves `count` elements drawn at random to the front and returns them.
fn draw<'a, T>(all: &'a mut [T], count: usize, random: &mut impl FnMut() -> f64) -> &'a [T] {
    let count = count.min(all.len());
    for n in 0..count {
        let remaining = (all.len() - n) as f64;
        let chosen = n + (random() * remaining) as usize;
        all.swap(n, chosen.min(all.len() - 1));
    }
    &all[..count]
}
