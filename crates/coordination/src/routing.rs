//! Which replica an online request goes to.
//!
//! A replica is chosen by the expected time to its first token: delay to its
//! data centre, what this daemon has running there, the lagging report, and
//! whether its prefix cache probably holds the prompt. A replica that fails,
//! goes silent or says that it leaves is left out before the list says so, and
//! let back in by probes.
//!
//! Online is gathered: the replicas of a data centre are filled one after
//! another, in an order that all daemons share, each up to a share of its
//! sequences. The others stay free for batch.

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

/// Prefixes remembered per replica.
const PREFIXES: usize = 256;

/// Share of the time to first token that a cached prefix saves.
const PREFIX_GAIN: f64 = 0.5;

/// Time that a replica stays out after its first failure; doubles with each.
const OUT: Duration = Duration::from_millis(500);

/// Failed requests in a row after which a replica is left out.
const IN_A_ROW: u32 = 3;

/// Time that a replica stays out at most.
const OUT_MAX: Duration = Duration::from_secs(8);

/// Time after which a server that said it leaves may say that it stays.
const STAYS: Duration = Duration::from_secs(5);

/// Time to first token assumed before one was measured.
const FIRST_GUESS: Duration = Duration::from_millis(50);

/// Factor over the best time to first token above which a replica is slow.
const SLOW: u32 = 3;

/// Time after which a measured time to first token says little.
const MEASURED: Duration = Duration::from_secs(10);

/// Time after which the count of other daemons' sequences says nothing.
const OTHERS: Duration = Duration::from_secs(5);

/// Calls at once taken for what a server of a plain service carries, for which the
/// document states nothing.
const UNSTATED: u32 = 256;

/// Class of a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits.
    Online,
    /// Due hours later.
    Batch,
}

/// Place of a replica among those that could take a request; the least is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u64,
    expected: Duration,
}

/// Online sequences of other daemons on a replica, as its owner counted them.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    running: u32,
    at: Duration,
}

impl Others {
    fn now(&self, now: Duration) -> u32 {
        let fresh = now.saturating_sub(self.at) < OTHERS;
        if fresh { self.running } else { 0 }
    }
}

/// Whether a replica takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Up,
    /// Left out until then; a probe or a trial request lets it back in.
    Out(Duration),
    /// Said that it leaves, at that time.
    Leaving(Duration),
}

/// Replica as this daemon knows it.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Name.
    pub name: Name,
    /// Model or service.
    pub serves: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: State,
    /// This daemon's online sequences.
    pub online: u32,
    /// This daemon's batch sequences.
    pub batch: u32,
    /// Online requests that this daemon sent it so far.
    pub requests: u32,
    /// Of these, those that failed because of it.
    pub faults: u32,
    in_a_row: u32,
    trials: u32,
    listed_leaving: bool,
    others: Others,
    rank: u64,
    capacity: Capacity,
    distance: Duration,
    local: bool,
    load: Load,
    ttft: Duration,
    measured: Duration,
    failures: u32,
    prefixes: VecDeque<u64>,
}

impl Replica {
    fn takes_work(&self, now: Duration) -> bool {
        match self.state {
            State::Up => true,
            State::Out(until) => now >= until && self.online + self.batch == 0,
            State::Leaving(_) => false,
        }
    }

    /// Time to the first token.
    #[must_use]
    pub fn ttft(&self) -> Duration {
        self.ttft
    }

    /// Whether it is in this daemon's data centre.
    #[must_use]
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Whether its first tokens are late beside the best ones; one that was not
    /// measured for a while gets another try.
    fn is_slow(&self, now: Duration, best: Duration) -> bool {
        let fresh = now.saturating_sub(self.measured) < MEASURED;
        fresh && self.ttft > best * SLOW
    }

    fn place(&self, now: Duration, prefix: Option<u64>, best: Duration) -> Place {
        let all = self.online + self.others.now(now);
        let room = f64::from(self.capacity.sequences) * self.capacity.fill;
        let open = f64::from(all) < room && !self.is_slow(now, best);
        Place {
            rank: match open {
                _ if self.trials > 0 => 0,
                true => self.rank,
                false => u64::MAX,
            },
            expected: self.expected(all, prefix),
        }
    }

    fn expected(&self, online: u32, prefix: Option<u64>) -> Duration {
        let known = prefix.is_some_and(|prefix| self.prefixes.contains(&prefix));
        let prefill = self
            .ttft
            .mul_f64(if known { 1.0 - PREFIX_GAIN } else { 1.0 });
        let sequences = f64::from(self.capacity.sequences.max(1));
        let own = f64::from(online) / sequences;
        let reported = f64::from(self.load.running + self.load.waiting) / sequences;
        let crowd = own.max(0.5 * reported);
        let queue = FIRST_GUESS.mul_f64(4.0 * crowd * crowd);
        let full = if crowd >= 1.0 {
            self.ttft.mul_f64(crowd)
        } else {
            Duration::ZERO
        };
        self.distance * 2 + prefill.mul_f64(1.0 + own) + queue + full
    }
}

/// What a replica carries.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Sequences at once.
    pub sequences: u32,
    /// Share of them that online fills before it goes on to another replica;
    /// 0 spreads online over all.
    pub fill: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            sequences: UNSTATED,
            fill: 0.0,
        }
    }
}

/// Delay to a data centre, one way.
#[derive(Clone, Debug)]
pub struct Distance {
    /// Data centre.
    pub data_centre: Name,
    /// One way.
    pub one_way: Duration,
}

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Model or service.
    pub serves: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Time left until the answer is due.
    pub left: Duration,
    /// Replicas that were tried.
    pub tried: &'a [Key],
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
    /// Table of a daemon in a data centre.
    #[must_use]
    pub fn new(home: Name) -> Self {
        Self {
            home,
            ..Self::default()
        }
    }

    /// Takes delays and what the replicas of each model carry.
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
            replica.distance = self
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

    /// Takes the platform's list; it lags, so a leaving sign is not undone by it.
    pub fn list(&mut self, now: Duration, instances: &[Instance]) {
        for instance in instances.iter().filter(|i| i.kind != instance::Kind::Entry) {
            self.list_one(now, instance);
        }
        let gone: Vec<Key> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.online + replica.batch == 0)
            .filter(|(_, replica)| !instances.iter().any(|i| i.name == replica.name))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if let Some(replica) = self.replicas.remove(key) {
                self.by_name.remove(&replica.name);
            }
        }
    }

    fn list_one(&mut self, now: Duration, instance: &Instance) {
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
                // The name came back at another address: a new server.
                replica.address = instance.address;
                replica.state = if leaving {
                    State::Leaving(now)
                } else {
                    State::Up
                };
                replica.failures = 0;
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
            faults: 0,
            in_a_row: 0,
            trials: 0,
            listed_leaving: leaving,
            others: Others::default(),
            rank: hash::score(
                instance.serves.as_str().as_bytes(),
                instance.name.as_str().as_bytes(),
            ),
            capacity: self
                .capacities
                .get(&instance.serves)
                .copied()
                .unwrap_or_default(),
            distance: self
                .distances
                .get(&instance.data_centre)
                .copied()
                .unwrap_or_default(),
            local: instance.data_centre == self.home,
            load: Load::default(),
            ttft: FIRST_GUESS,
            measured: now,
            failures: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// First replica in the shared order that has room, or the one with the least
    /// expected time to the first token; in time for the deadline.
    ///
    /// The local data centre goes first; another one only if the local one has
    /// no replica or cannot meet the deadline.
    #[must_use]
    pub fn choose(&self, now: Duration, query: Query<'_>) -> Option<Key> {
        let best = |local: bool| {
            let candidates = || {
                self.replicas
                    .iter()
                    .filter(|(_, replica)| replica.local == local)
                    .filter(|(_, replica)| replica.serves.as_str() == query.serves)
                    .filter(|(key, replica)| replica.takes_work(now) && !query.tried.contains(key))
            };
            let best = candidates().map(|(_, replica)| replica.ttft).min()?;
            candidates()
                .map(|(key, replica)| (replica.place(now, query.prefix, best), key))
                .min()
                .map(|(place, key)| (place.expected, key))
        };
        let (near, far) = (best(true), best(false));
        match (near, far) {
            (Some((near, key)), _) if near < query.left => Some(key),
            (_, Some((far, key))) if far < query.left => Some(key),
            _ => None,
        }
    }

    /// Whether any replica serves the name, taking work or not.
    #[must_use]
    pub fn serves(&self, serves: &str) -> bool {
        self.replicas
            .values()
            .any(|replica| replica.serves.as_str() == serves)
    }

    /// Replica of a key.
    #[must_use]
    pub fn replica(&self, key: Key) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// Replica of a name.
    #[must_use]
    pub fn named(&self, name: &Name) -> Option<(Key, &Replica)> {
        let key = *self.by_name.get(name)?;
        Some((key, self.replicas.get(key)?))
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = (Key, &Replica)> {
        self.replicas.iter()
    }

    /// Notes that a sequence was sent.
    pub fn start(&mut self, key: Key, class: Class, prefix: Option<u64>) {
        if let Some(replica) = self.replicas.get_mut(key) {
            match class {
                Class::Online => {
                    replica.online += 1;
                    replica.requests = replica.requests.wrapping_add(1);
                    replica.trials = replica.trials.saturating_sub(1);
                }
                Class::Batch => replica.batch += 1,
            }
            replica.prefixes.extend(prefix);
            if replica.prefixes.len() > PREFIXES {
                replica.prefixes.pop_front();
            }
        }
    }

    /// Notes that a sequence ended, well or not.
    pub fn end(&mut self, key: Key, class: Class) {
        if let Some(replica) = self.replicas.get_mut(key) {
            match class {
                Class::Online => replica.online = replica.online.saturating_sub(1),
                Class::Batch => replica.batch = replica.batch.saturating_sub(1),
            }
        }
    }

    /// Notes a sign of life; lets the replica back in.
    pub fn alive(&mut self, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.failures = 0;
            if !matches!(replica.state, State::Leaving(_)) {
                replica.state = State::Up;
            }
        }
    }

    /// Takes the online sequences of other daemons as the replica's owner counts them.
    pub fn others(&mut self, now: Duration, key: Key, running: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.others = Others { running, at: now };
        }
    }

    /// Notes the time to the first token.
    pub fn first(&mut self, now: Duration, key: Key, ttft: Duration) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.measured = now;
            replica.in_a_row = 0;
            replica.ttft = replica.ttft.mul_f64(0.8) + ttft.mul_f64(0.2);
        }
    }

    /// Puts a replica before others for a number of requests.
    pub fn try_first(&mut self, key: Key, requests: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.trials = requests;
        }
    }

    /// Notes that an online request failed because of the replica.
    ///
    /// A replica that fails several requests in a row is left out, though it
    /// answers probes; its next first token lets it back in for good. One failure
    /// may be the request's own doing.
    pub fn fault(&mut self, now: Duration, key: Key) {
        let Some(replica) = self.replicas.get_mut(key) else {
            return;
        };
        replica.faults = replica.faults.wrapping_add(1);
        replica.in_a_row += 1;
        let beyond = replica.in_a_row.checked_sub(IN_A_ROW);
        if let (Some(beyond), State::Up | State::Out(_)) = (beyond, replica.state) {
            replica.trials = 0;
            let out = OUT * (1 << beyond.min(5));
            replica.state = State::Out(now + out.min(OUT_MAX));
        }
    }

    /// Notes that an attempt failed because of the replica.
    pub fn failed(&mut self, now: Duration, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            let factor = 1 << replica.failures.min(5);
            replica.failures += 1;
            if !matches!(replica.state, State::Leaving(_)) {
                replica.state = State::Out(now + (OUT * factor).min(OUT_MAX));
            }
        }
    }

    /// Notes that a replica takes no new work any more.
    pub fn leaving(&mut self, now: Duration, key: Key) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.state = State::Leaving(now);
        }
    }

    /// Takes a lagging report.
    pub fn report(&mut self, now: Duration, key: Key, load: Load) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.load = load;
            match replica.state {
                // The report lags, so it cannot take a fresh sign back.
                State::Leaving(since)
                    if !load.leaving && !replica.listed_leaving && now >= since + STAYS =>
                {
                    replica.state = State::Up;
                }
                State::Leaving(_) => {}
                _ if load.leaving => replica.state = State::Leaving(now),
                _ => {}
            }
        }
    }

    /// Rows for operators.
    #[must_use]
    pub fn view(&self) -> Vec<admin::Replica> {
        let mut rows: Vec<_> = self
            .replicas
            .values()
            .map(|replica| admin::Replica {
                name: replica.name.clone(),
                serves: replica.serves.clone(),
                data_centre: replica.data_centre.clone(),
                state: match replica.state {
                    State::Up => "up".into(),
                    State::Out(_) => "out".into(),
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
