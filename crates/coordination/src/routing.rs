//! Selects the replica that serves an online request.
//!
//! Among the replicas that accept work, the router estimates the time to first
//! token (TTFT) from the network delay to the data centre, the sequences in
//! flight, the last load report of the replica, and whether its prefix cache
//! probably holds the prompt. A replica that fails, times out or announces that it
//! is leaving is ejected before the platform's instance list shows it, because
//! that list lags; a successful probe or request readmits it.
//!
//! Online requests are packed: all daemons fill the replicas of a data centre in
//! the same order, each up to a configured share of its sequences. The remaining
//! replicas stay free for batch.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::engine::Load;
use bitterncart_protocol::instance::{self, Instance};
use bitterncart_protocol::{Name, admin, hash};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a replica in the routing table.
    pub struct Key;
}

/// Prompt prefixes remembered per replica.
const MAX_PREFIXES: usize = 256;

/// Share of the TTFT that a prefix cache hit saves.
const PREFIX_HIT_SAVED_SHARE: f64 = 0.5;

/// Ejection time after the first failure; doubles with each further failure.
const EJECTION_BASE: Duration = Duration::from_millis(500);

/// Consecutive failed requests that eject a replica.
const EJECTION_THRESHOLD: u32 = 3;

/// Maximum ejection time.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// Time for which a leaving announcement overrides load reports, which lag behind it.
const LEAVING_HOLD: Duration = Duration::from_secs(5);

/// TTFT assumed before the first measurement.
const INITIAL_TTFT: Duration = Duration::from_millis(50);

/// Factor over the best TTFT above which a replica counts as slow.
const SLOW_FACTOR: u32 = 3;

/// Maximum age of a TTFT measurement that can mark a replica as slow.
const TTFT_MAX_AGE: Duration = Duration::from_secs(10);

/// Maximum age of the count of other daemons' online sequences.
const REMOTE_ONLINE_MAX_AGE: Duration = Duration::from_secs(5);

/// Concurrent calls assumed for a server of a plain service, whose capacity the
/// configuration document does not state.
const DEFAULT_SEQUENCES: u32 = 256;

/// Scheduling class of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Interactive: a client waits for the response.
    Online,
    /// Part of a batch job with a deadline hours away.
    Batch,
}

/// Sort key of a candidate replica; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    rank: u64,
    expected_ttft: Duration,
}

/// Online sequences of other daemons on a replica, as reported by its owner.
#[derive(Clone, Copy, Debug, Default)]
struct RemoteOnline {
    running: u32,
    reported: Duration,
}

impl RemoteOnline {
    fn current(&self, now: Duration) -> u32 {
        let fresh = now.saturating_sub(self.reported) < REMOTE_ONLINE_MAX_AGE;
        if fresh { self.running } else { 0 }
    }
}

/// Availability of a replica for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts work.
    Up,
    /// Ejected until the given time; then a successful probe or request readmits it.
    Ejected(Duration),
    /// Leaving since the given time.
    Leaving(Duration),
}

/// Local view of a replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Name in the platform's instance list.
    pub name: Name,
    /// Model or service that it serves.
    pub serves: Name,
    /// Data centre in which it runs.
    pub data_centre: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability for new work.
    pub state: State,
    /// Online sequences in flight from this daemon.
    pub online: u32,
    /// Batch sequences in flight from this daemon.
    pub batch: u32,
    /// Online requests sent by this daemon so far; wraps around.
    pub requests: u32,
    /// Online requests that failed because of the replica; wraps around.
    pub failed_requests: u32,
    /// Failed online requests since the last first token.
    consecutive_failures: u32,
    /// Online requests for which it is still preferred over all others.
    preferred_requests: u32,
    listed_leaving: bool,
    remote_online: RemoteOnline,
    /// Position in the order that all daemons share.
    rank: u64,
    capacity: Capacity,
    one_way_delay: Duration,
    local: bool,
    load: Load,
    ttft: Duration,
    ttft_measured: Duration,
    /// Failed attempts and probes since the last success.
    failed_attempts: u32,
    prefixes: VecDeque<u64>,
}

impl Replica {
    fn accepts_work(&self, now: Duration) -> bool {
        match self.state {
            State::Up => true,
            State::Ejected(until) => now >= until && self.online + self.batch == 0,
            State::Leaving(_) => false,
        }
    }

    /// Moving average of the TTFT.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.ttft
    }

    /// Whether the replica is in this daemon's data centre.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Whether its TTFT is far above the best one.
    ///
    /// An outdated measurement does not count, so that a slow replica gets
    /// requests again and can be measured.
    fn is_slow(&self, now: Duration, best_ttft: Duration) -> bool {
        let fresh = now.saturating_sub(self.ttft_measured) < TTFT_MAX_AGE;
        fresh && self.ttft > best_ttft * SLOW_FACTOR
    }

    fn preference(&self, now: Duration, prefix: Option<u64>, best_ttft: Duration) -> Preference {
        let online = self.online + self.remote_online.current(now);
        let online_limit = f64::from(self.capacity.sequences) * self.capacity.online_fill_share;
        let is_preferred = f64::from(online) < online_limit && !self.is_slow(now, best_ttft);
        Preference {
            rank: match is_preferred {
                _ if self.preferred_requests > 0 => 0,
                true => self.rank,
                false => u64::MAX,
            },
            expected_ttft: self.expected_ttft(online, prefix),
        }
    }

    fn expected_ttft(&self, online: u32, prefix: Option<u64>) -> Duration {
        let is_cached = prefix.is_some_and(|prefix| self.prefixes.contains(&prefix));
        let prefill = self.ttft.mul_f64(if is_cached {
            1.0 - PREFIX_HIT_SAVED_SHARE
        } else {
            1.0
        });
        let sequences = f64::from(self.capacity.sequences.max(1));
        let online_load = f64::from(online) / sequences;
        let reported_load = f64::from(self.load.running + self.load.waiting) / sequences;
        let load = online_load.max(0.5 * reported_load);
        let queueing = INITIAL_TTFT.mul_f64(4.0 * load * load);
        let overload = if load >= 1.0 {
            self.ttft.mul_f64(load)
        } else {
            Duration::ZERO
        };
        self.one_way_delay * 2 + prefill.mul_f64(1.0 + online_load) + queueing + overload
    }
}

/// Capacity of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Maximum concurrent sequences.
    pub sequences: u32,
    /// Share of the sequences, 0 to 1, that online fills before it uses the next
    /// replica; 0 spreads online over all replicas.
    pub online_fill_share: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            sequences: DEFAULT_SEQUENCES,
            online_fill_share: 0.0,
        }
    }
}

/// Network delay to a data centre.
#[derive(Clone, Debug)]
pub struct Distance {
    /// Data centre.
    pub data_centre: Name,
    /// One-way delay.
    pub one_way: Duration,
}

/// Routing query for one attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Requested model or service.
    pub serves: &'a str,
    /// Hash of the prompt prefix, if the prefix cache can apply.
    pub prefix: Option<u64>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Replicas excluded because an earlier attempt used them.
    pub excluded: &'a [Key],
}

/// Routing table of a daemon.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    home: Name,
    distances: HashMap<Name, Duration>,
    capacities: HashMap<Name, Capacity>,
    replicas: SlotMap<Key, Replica>,
    by_name: HashMap<Name, Key>,
}

impl Routing {
    /// Empty table of a daemon in the data centre `home`.
    #[must_use]
    pub fn new(home: Name) -> Self {
        Self {
            home,
            ..Self::default()
        }
    }

    /// Replaces the delays per data centre and the capacities per model or service.
    pub fn configure(
        &mut self,
        distances: impl IntoIterator<Item = Distance>,
        capacities: impl IntoIterator<Item = (Name, Capacity)>,
    ) {
        self.distances = distances
            .into_iter()
            .map(|d| (d.data_centre, d.one_way))
            .collect();
        self.capacities = capacities.into_iter().collect();
        for replica in self.replicas.values_mut() {
            replica.one_way_delay = self
                .distances
                .get(&replica.data_centre)
                .copied()
                .unwrap_or_default();
            replica.capacity = self
                .capacities
                .get(&replica.serves)
                .copied()
                .unwrap_or_default();
        }
    }

    /// Applies the platform's instance list.
    ///
    /// The list lags, so it never revokes a leaving state. A replica that is no
    /// longer listed is removed once its last sequence has ended.
    pub fn update_instances(&mut self, now: Duration, instances: &[Instance]) {
        for instance in instances.iter().filter(|i| i.kind != instance::Kind::Entry) {
            self.update_instance(now, instance);
        }
        let removed: Vec<Key> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.online + replica.batch == 0)
            .filter(|(_, replica)| !instances.iter().any(|i| i.name == replica.name))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            if let Some(replica) = self.replicas.remove(key) {
                self.by_name.remove(&replica.name);
            }
        }
    }

    fn update_instance(&mut self, now: Duration, instance: &Instance) {
        let key = self.by_name.get(&instance.name).copied();
        let leaving = instance.state == instance::State::Leaving;
        if let Some(replica) = key.and_then(|key| self.replicas.get_mut(key)) {
            replica.listed_leaving = leaving;
        }
        match key.and_then(|key| self.replicas.get_mut(key)) {
            Some(replica) if replica.address == instance.address => {
                if leaving && !matches!(replica.state, State::Leaving(_)) {
                    replica.state = State::Leaving(now);
                }
            }
            Some(replica) => {
                // The same name at another address is a new server.
                replica.address = instance.address;
                replica.state = if leaving {
                    State::Leaving(now)
                } else {
                    State::Up
                };
                replica.failed_attempts = 0;
                replica.prefixes.clear();
            }
            None => {
                let key = self
                    .replicas
                    .insert(self.new_replica(now, instance, leaving));
                self.by_name.insert(instance.name.clone(), key);
            }
        }
    }

    fn new_replica(&self, now: Duration, instance: &Instance, leaving: bool) -> Replica {
        Replica {
            name: instance.name.clone(),
            serves: instance.serves.clone(),
            data_centre: instance.data_centre.clone(),
            address: instance.address,
            state: if leaving {
                State::Leaving(now)
            } else {
                State::Up
            },
            online: 0,
            batch: 0,
            requests: 0,
            failed_requests: 0,
            consecutive_failures: 0,
            preferred_requests: 0,
            listed_leaving: leaving,
            remote_online: RemoteOnline::default(),
            rank: hash::rendezvous_score(
                instance.serves.as_str().as_bytes(),
                instance.name.as_str().as_bytes(),
            ),
            capacity: self
                .capacities
                .get(&instance.serves)
                .copied()
                .unwrap_or_default(),
            one_way_delay: self
                .distances
                .get(&instance.data_centre)
                .copied()
                .unwrap_or_default(),
            local: instance.data_centre == self.home,
            load: Load::default(),
            ttft: INITIAL_TTFT,
            ttft_measured: now,
            failed_attempts: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Selects a replica whose expected TTFT is within the deadline.
    ///
    /// Prefers the first replica in the shared order that has room for online and
    /// is not slow; if there is none, the one with the least expected TTFT. Another
    /// data centre is used only if the local one has no replica available or
    /// cannot meet the deadline.
    #[must_use]
    pub fn choose(&self, now: Duration, query: Query<'_>) -> Option<Key> {
        let best_candidate = |local: bool| {
            let candidates = || {
                self.replicas
                    .iter()
                    .filter(|(_, replica)| replica.local == local)
                    .filter(|(_, replica)| replica.serves.as_str() == query.serves)
                    .filter(|(key, replica)| {
                        replica.accepts_work(now) && !query.excluded.contains(key)
                    })
            };
            let best_ttft = candidates().map(|(_, replica)| replica.ttft).min()?;
            candidates()
                .map(|(key, replica)| (replica.preference(now, query.prefix, best_ttft), key))
                .min()
                .map(|(preference, key)| (preference.expected_ttft, key))
        };
        let (local, remote) = (best_candidate(true), best_candidate(false));
        match (local, remote) {
            (Some((expected_ttft, key)), _) if expected_ttft < query.time_left => Some(key),
            (_, Some((expected_ttft, key))) if expected_ttft < query.time_left => Some(key),
            _ => None,
        }
    }

    /// Whether any replica serves the model or service, available or not.
    #[must_use]
    pub fn serves(&self, serves: &str) -> bool {
        self.replicas
            .values()
            .any(|replica| replica.serves.as_str() == serves)
    }

    /// Replica with the given key.
    #[must_use]
    pub fn replica(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Replica with the given name, and its key.
    #[must_use]
    pub fn by_name(&self, name: &Name) -> Option<(Key, &Replica)> {
        let key = *self.by_name.get(name)?;
        Some((key, self.replicas.get(key)?))
    }

    /// All replicas with their keys.
    pub fn replicas(&self) -> impl Iterator<Item = (Key, &Replica)> {
        self.replicas.iter()
    }

    /// Records the start of a sequence.
    pub fn start(&mut self, key: Key, class: Class, prefix: Option<u64>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            match class {
                Class::Online => {
                    replica.online += 1;
                    replica.requests = replica.requests.wrapping_add(1);
                    replica.preferred_requests = replica.preferred_requests.saturating_sub(1);
                }
                Class::Batch => replica.batch += 1,
            }
            replica.prefixes.extend(prefix);
            if replica.prefixes.len() > MAX_PREFIXES {
                replica.prefixes.pop_front();
            }
        }
    }

    /// Records the end of a sequence, whether or not it succeeded.
    pub fn end(&mut self, key: Key, class: Class) {
        if let Some(replica) = self.replicas.get_mut(key) {
            match class {
                Class::Online => replica.online = replica.online.saturating_sub(1),
                Class::Batch => replica.batch = replica.batch.saturating_sub(1),
            }
        }
    }

    /// Records a successful response; readmits the replica unless it is leaving.
    pub fn record_success(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.failed_attempts = 0;
            if !matches!(replica.state, State::Leaving(_)) {
                replica.state = State::Up;
            }
        }
    }

    /// Records the online sequences of other daemons, as reported by the replica's owner.
    pub fn set_remote_online(&mut self, now: Duration, key: Key, running: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.remote_online = RemoteOnline {
                running,
                reported: now,
            };
        }
    }

    /// Records the TTFT of an online request.
    pub fn record_ttft(&mut self, now: Duration, key: Key, ttft: Duration) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.ttft_measured = now;
            replica.consecutive_failures = 0;
            replica.ttft = replica.ttft.mul_f64(0.8) + ttft.mul_f64(0.2);
        }
    }

    /// Prefers a replica over all others for the next `requests` online requests.
    pub fn prefer(&mut self, key: Key, requests: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.preferred_requests = requests;
        }
    }

    /// Records an online request that failed because of the replica.
    ///
    /// Several consecutive failures eject the replica even if it answers probes;
    /// only a first token resets the count. A single failure does not eject it,
    /// because the request itself may be the cause.
    pub fn record_request_failure(&mut self, now: Duration, key: Key) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.failed_requests = replica.failed_requests.wrapping_add(1);
        replica.consecutive_failures += 1;
        let excess = replica.consecutive_failures.checked_sub(EJECTION_THRESHOLD);
        if let (Some(excess), State::Up | State::Ejected(_)) = (excess, replica.state) {
            replica.preferred_requests = 0;
            let ejection = EJECTION_BASE * (1 << excess.min(5));
            replica.state = State::Ejected(now + ejection.min(EJECTION_MAX));
        }
    }

    /// Records an attempt or probe that failed because of the replica, and ejects it.
    pub fn record_attempt_failure(&mut self, now: Duration, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            let factor = 1 << replica.failed_attempts.min(5);
            replica.failed_attempts += 1;
            if !matches!(replica.state, State::Leaving(_)) {
                replica.state = State::Ejected(now + (EJECTION_BASE * factor).min(EJECTION_MAX));
            }
        }
    }

    /// Marks a replica as leaving: it accepts no new work.
    pub fn mark_leaving(&mut self, now: Duration, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.state = State::Leaving(now);
        }
    }

    /// Records a load report of the replica.
    pub fn record_load(&mut self, now: Duration, key: Key, load: Load) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.load = load;
            match replica.state {
                // A report may be older than the announcement, so it cannot revoke a recent one.
                State::Leaving(since)
                    if !load.leaving && !replica.listed_leaving && now >= since + LEAVING_HOLD =>
                {
                    replica.state = State::Up;
                }
                State::Leaving(_) => {}
                _ if load.leaving => replica.state = State::Leaving(now),
                _ => {}
            }
        }
    }

    /// Rows for the admin API, sorted by name.
    #[must_use]
    pub fn admin_rows(&self) -> Vec<admin::Replica> {
        let mut rows: Vec<_> = self
            .replicas
            .values()
            .map(|replica| admin::Replica {
                name: replica.name.clone(),
                serves: replica.serves.clone(),
                data_centre: replica.data_centre.clone(),
                state: match replica.state {
                    State::Up => "up".into(),
                    State::Ejected(_) => "out".into(),
                    State::Leaving(_) => "leaving".into(),
                },
                online: replica.online,
                batch: replica.batch,
                slots: None,
            })
            .collect();
        rows.sort_by(|a, b| a.name.cmp(&b.name));
        rows
    }
}
