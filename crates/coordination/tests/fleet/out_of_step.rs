//! Streams that clients take up while versions come and leave and daemons are out of
//! step with the fleet, in virtual time: the list is a log that each daemon follows, and
//! the catalog of versions is kept beside it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::streams::{
    self, Answer, HOLDERS, History, MAX_ASKED, SoleRoute,
};
use bitterncart_coordination::fleet::{Build, Catalog, Fingerprint, Pool, Replica, Streams};
use bitterncart_testing::cases;
use compact_str::CompactString;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::builds::{self, SERVICE};

const STEP: Duration = Duration::from_millis(10);
const READ_INTERVAL: Duration = Duration::from_millis(600);
const CATALOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which the store keeps the records of the list.
const RETENTION: Duration = Duration::from_secs(20);
const DEAF_AFTER_FREEZE: Duration = Duration::from_millis(200);
const DAEMONS: u16 = 12;
const STREAMS_PER_S: f64 = 60.0;
const LENGTH: Duration = Duration::from_secs(60);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn is_due(now: Duration, interval: Duration) -> bool {
    now.as_millis().is_multiple_of(interval.as_millis())
}

fn route() -> SoleRoute {
    SoleRoute {
        host: "h".into(),
        prefix: "/p/".into(),
        service: SERVICE.into(),
        window_ms: 10_000,
    }
}

/// How a daemon is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// It hears no other daemon, and none hears it.
    NoPeers,
    /// The store does not serve it.
    NoStore,
    /// Both.
    Neither,
    /// The store serves no daemon.
    Outage,
    /// It stands still, with an answer of the store in its socket, and then loses
    /// datagrams for a moment, as its receive buffer is full.
    Frozen,
}

/// What becomes of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// There is one all the time.
    None,
    /// Replicas of a new one join, and those of the old one leave.
    Rolling,
    /// Replicas of a new one join and leave again.
    Undone,
}

/// What happens in a schedule. Times of releases and troubles are drawn.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    /// Trouble of the first daemon around each release.
    trouble: Option<Trouble>,
    /// Whether all daemons are killed during or after each release.
    kill_all: bool,
    release: Release,
    /// Whether the history of the list is deleted during each release.
    truncates: bool,
    /// Share of lost datagrams.
    loss: f64,
}

const CALM: Schedule = Schedule {
    trouble: None,
    kill_all: false,
    release: Release::Rolling,
    truncates: false,
    loss: 0.05,
};

/// Store: the log of the list, and the catalog.
#[derive(Default)]
struct Store {
    list: Vec<(Duration, u8, Option<CompactString>)>,
    /// Offset of the first record that is kept.
    first: usize,
    catalog: HashMap<CompactString, Option<String>>,
}

impl Store {
    /// Offset of the end at a time.
    fn end(&self, now: Duration) -> usize {
        self.list.partition_point(|(at, ..)| *at <= now)
    }

    /// Newest entry of each replica.
    fn newest(&self, end: usize) -> BTreeMap<u8, CompactString> {
        let mut newest = BTreeMap::new();
        for (_, number, version) in &self.list[..end] {
            match version {
                Some(version) => newest.insert(*number, version.clone()),
                None => newest.remove(number),
            };
        }
        newest
    }
}

fn replica(number: u8, version: &str) -> Replica {
    builds::replica(number, version)
}

struct Daemon {
    address: SocketAddr,
    pool: Pool,
    streams: Streams,
    catalog: Catalog,
    /// End of what it has read of the list.
    offset: Option<usize>,
    /// Replicas that it knows.
    known: BTreeMap<u8, CompactString>,
    phase: Duration,
    up_at: Duration,
}

impl Daemon {
    fn new(number: u16, up_at: Duration, random: &mut StdRng) -> Self {
        Self {
            address: ([10, 1, 0, number as u8], 7000).into(),
            pool: Pool::new("here".into(), "d".into()),
            streams: Streams::default(),
            catalog: Catalog::default(),
            offset: None,
            known: BTreeMap::new(),
            phase: ms(random.random_range(0..60) * 10),
            up_at,
        }
    }

    /// Applies what the store answered at `asked_at`.
    fn read_list(&mut self, store: &Store, asked_at: Duration, now: Duration) {
        let end = store.end(asked_at);
        match self.offset {
            Some(offset) if offset >= store.first => {
                for (_, number, version) in &store.list[offset.min(end)..end] {
                    match version {
                        Some(version) => self.pool.upsert(replica(*number, version)),
                        None => self.pool.delist(now, &format!("r{number}"), None),
                    }
                }
            }
            _ => {
                let newest = store.newest(end);
                let gone: Vec<u8> = self.known.keys().copied().collect();
                for number in gone.into_iter().filter(|n| !newest.contains_key(n)) {
                    self.pool.delist(now, &format!("r{number}"), None);
                }
                for (number, version) in &newest {
                    self.pool.upsert(replica(*number, version));
                }
            }
        }
        let is_continued = self.offset.is_some_and(|offset| offset >= store.first);
        self.known = store.newest(end);
        self.offset = Some(end);
        if is_continued {
            self.pool.record_list_read(asked_at, now);
        } else {
            self.pool.record_list_snapshot(asked_at, now);
        }
    }

    /// Reads the catalog and the records of the list that the store has.
    fn read_past(&mut self, store: &Store, now: Duration) {
        let kept = store.list[store.first..store.end(now)].iter();
        for (at, number, version) in kept {
            if let Some(version) = version.as_deref().filter(|_| *at + RETENTION >= now) {
                self.pool.record_past_replica(replica(*number, version));
            }
        }
        self.read_catalog(store, now);
        self.pool.record_past_read(now);
    }

    fn read_catalog(&mut self, store: &Store, now: Duration) {
        for (key, value) in &store.catalog {
            self.catalog
                .apply(key, value.as_ref().map(String::as_bytes));
        }
        let sole = self.catalog.sole_versions(now.as_millis() as u64);
        self.pool.set_recorded_versions(now, sole);
    }

    fn write_catalog(&mut self, store: &mut Store, now: Duration) {
        let listed = self.pool.listed_versions();
        for change in self.catalog.changes(now.as_millis() as u64, &listed) {
            store.catalog.insert(change.key, change.value);
        }
    }

    /// Answer to another daemon.
    fn answer(&self, stream: Fingerprint, now: Duration) -> Answer {
        let history = match self.pool.is_list_current(now) {
            true => self.pool.latest_history(SERVICE, route().window()),
            false => History::Unknown,
        };
        self.streams.answer(stream, history)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    continued: usize,
    refused: usize,
    wrong: Vec<String>,
}

struct Fleet {
    schedule: Schedule,
    random: StdRng,
    store: Store,
    daemons: Vec<Daemon>,
    /// Times of the trouble of the first daemon.
    troubles: Vec<(Duration, Duration)>,
    kills: Vec<Duration>,
    truncations: Vec<Duration>,
}

impl Fleet {
    fn new(schedule: Schedule, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut store = Store::default();
        let mut list = vec![
            (Duration::ZERO, 1, Some("v1".into())),
            (Duration::ZERO, 2, Some("v1".into())),
        ];
        let (mut troubles, mut kills, mut truncations) = (Vec::new(), Vec::new(), Vec::new());
        let (mut old, mut number) = (vec![1, 2], 3);
        for (round, version) in [(0, "v2"), (1, "v3")] {
            let joins_at = s(18 + 20 * round) + ms(random.random_range(0..100) * 10);
            let leaves_at = joins_at + ms(random.random_range(50..400) * 10);
            let new = vec![number, number + 1];
            number += 2;
            let is_released = schedule.release != Release::None;
            for replica in new.iter().filter(|_| is_released) {
                list.push((joins_at, *replica, Some(version.into())));
            }
            let leaving = match schedule.release {
                Release::None => Vec::new(),
                Release::Rolling => std::mem::replace(&mut old, new),
                Release::Undone => new,
            };
            list.extend(
                leaving
                    .into_iter()
                    .map(|replica| (leaves_at, replica, None)),
            );
            let begins_at = joins_at - ms(random.random_range(0..200) * 10);
            let ends_at = joins_at + ms(random.random_range(10..400) * 10);
            troubles.push((begins_at, ends_at));
            // Some before the catalog is written.
            let kill_ends = if random.random() { 90 } else { 900 };
            kills.push(joins_at + ms(random.random_range(10..kill_ends) * 10));
            truncations.push(joins_at + ms(random.random_range(50..400) * 10));
        }
        list.sort_by_key(|(at, ..)| *at);
        store.list = list;
        let mut fleet = Self {
            schedule,
            random,
            store,
            daemons: Vec::new(),
            troubles,
            kills: if schedule.kill_all { kills } else { Vec::new() },
            truncations: if schedule.truncates {
                truncations
            } else {
                Vec::new()
            },
        };
        for number in 0..DAEMONS {
            let daemon = Daemon::new(number, Duration::ZERO, &mut fleet.random);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    /// Trouble of a daemon, with its beginning.
    fn trouble(&self, daemon: usize, now: Duration) -> Option<(Trouble, Duration)> {
        let trouble = self.schedule.trouble?;
        if daemon > 0 && trouble != Trouble::Outage {
            return None;
        }
        let is_during = |(from, to): &&(Duration, Duration)| *from <= now && now < *to;
        let (from, _) = self.troubles.iter().find(is_during)?;
        Some((trouble, *from))
    }

    fn is_running(&self, daemon: usize, now: Duration) -> bool {
        let is_frozen = matches!(self.trouble(daemon, now), Some((Trouble::Frozen, _)));
        self.daemons[daemon].up_at <= now && !is_frozen
    }

    fn reaches_store(&self, daemon: usize, now: Duration) -> bool {
        !matches!(
            self.trouble(daemon, now),
            Some((Trouble::NoStore | Trouble::Neither | Trouble::Outage, _))
        )
    }

    fn reaches_peers(&self, daemon: usize, now: Duration) -> bool {
        let was_frozen = matches!(
            self.trouble(daemon, now.saturating_sub(DEAF_AFTER_FREEZE)),
            Some((Trouble::Frozen, _))
        );
        !was_frozen
            && !matches!(
                self.trouble(daemon, now),
                Some((Trouble::NoPeers | Trouble::Neither, _))
            )
    }

    /// Running daemons that exchange datagrams with this one, with their addresses.
    fn peers(&self, daemon: usize, now: Duration) -> Vec<SocketAddr> {
        let others = (0..self.daemons.len()).filter(|n| *n != daemon);
        let is_heard = |n: &usize| self.is_running(*n, now) && self.reaches_peers(*n, now);
        let reaches_any = self.reaches_peers(daemon, now);
        let heard = others.filter(|n| reaches_any && is_heard(n));
        heard.map(|n| self.daemons[n].address).collect()
    }

    fn by_address(&mut self, address: SocketAddr) -> &mut Daemon {
        let mut daemons = self.daemons.iter_mut();
        daemons.find(|d| d.address == address).expect("a daemon")
    }

    fn is_lost(&mut self) -> bool {
        self.random.random::<f64>() < self.schedule.loss
    }

    /// Reads the list and the catalog where that is due.
    fn follow(&mut self, now: Duration) {
        for n in 0..self.daemons.len() {
            let before = self.trouble(n, now.saturating_sub(STEP));
            if let (Some((Trouble::Frozen, from)), None) = (before, self.trouble(n, now)) {
                // The answer to the last read was in the socket.
                self.daemons[n].read_list(&self.store, from, now);
            }
            if !self.is_running(n, now) || !self.reaches_store(n, now) {
                continue;
            }
            let daemon = &mut self.daemons[n];
            let is_fresh = daemon.offset.is_none();
            let is_due = is_due(now + daemon.phase, READ_INTERVAL);
            if is_fresh || is_due {
                daemon.read_list(&self.store, now, now);
            }
            if daemon.pool.is_past_unread() {
                daemon.read_past(&self.store, now);
            }
        }
        if is_due(now, CATALOG_INTERVAL) {
            let mut candidates = 1..self.daemons.len();
            let writer =
                candidates.find(|n| self.is_running(*n, now) && self.reaches_store(*n, now));
            if let Some(n) = writer {
                let Self { daemons, store, .. } = self;
                daemons[n].read_catalog(store, now);
                daemons[n].write_catalog(store, now);
            }
        }
    }

    /// Begins a stream at a daemon.
    fn begin(&mut self, at: usize, stream: Fingerprint, now: Duration) -> Option<Build> {
        let random = self.random.random::<f64>();
        let selection = self.daemons[at]
            .pool
            .select(now, SERVICE, &[], &[], || random)?;
        self.daemons[at].pool.release(
            selection.key,
            bitterncart_coordination::fleet::Class::Online,
        );
        let build = selection.build()?;
        self.daemons[at].streams.record(now, stream, build.clone());
        let peers = self.peers(at, now);
        for holder in streams::ranked(stream, peers).into_iter().take(HOLDERS) {
            if !self.is_lost() {
                let holder = self.by_address(holder);
                holder.streams.record(now, stream, build.clone());
            }
        }
        Some(build)
    }

    /// Build at which a daemon lets a stream go on.
    fn take_up(&mut self, at: usize, stream: Fingerprint, now: Duration) -> Option<Build> {
        let mut others = Vec::new();
        let peers = self.peers(at, now);
        let mut asked = streams::ranked(stream, peers);
        asked.truncate(MAX_ASKED);
        for asked in &asked {
            if !self.is_lost() {
                let answer = self.by_address(*asked).answer(stream, now);
                others.push(answer);
            }
        }
        let is_complete = !others.is_empty() && others.len() == asked.len();
        let is_outage = matches!(self.trouble(at, now), Some((Trouble::Outage, _)));
        if self.reaches_store(at, now) {
            self.daemons[at].read_list(&self.store, now, now);
        }
        let daemon = &self.daemons[at];
        let window = route().window();
        let history = match is_outage && is_complete {
            true => daemon.pool.latest_history(SERVICE, window),
            false => daemon.pool.history(now, SERVICE, window),
        };
        let own = daemon.streams.answer(stream, history);
        streams::decide(Some(&route()), &own, &others)
    }

    fn play(mut self) -> Outcome {
        let mut outcome = Outcome::default();
        let mut broken: Vec<(Duration, usize, Fingerprint, Build)> = Vec::new();
        let mut number = 0;
        let mut now = Duration::ZERO;
        while now < LENGTH {
            if self.kills.contains(&now) {
                let up_at = now + ms(self.random.random_range(50..250) * 10);
                for n in 0..self.daemons.len() {
                    self.daemons[n] = Daemon::new(n as u16, up_at, &mut self.random);
                }
            }
            if self.truncations.contains(&now) {
                self.store.first = self.store.end(now);
            }
            self.follow(now);
            let due: Vec<_> = broken.extract_if(.., |(at, ..)| *at <= now).collect();
            for (_, at, stream, build) in due {
                if !self.is_running(at, now) {
                    broken.push((now + STEP, at, stream, build));
                    continue;
                }
                match self.take_up(at, stream, now) {
                    Some(found) if found == build => outcome.continued += 1,
                    Some(found) => outcome.wrong.push(format!(
                        "{:.2} s: {build:?} at {found:?} by daemon {at}",
                        now.as_secs_f64()
                    )),
                    None => outcome.refused += 1,
                }
            }
            if now > s(12) && self.random.random::<f64>() < STREAMS_PER_S * STEP.as_secs_f64() {
                number += 1;
                let stream = Fingerprint(number);
                let at = self.random.random_range(0..self.daemons.len());
                if self.is_running(at, now)
                    && let Some(build) = self.begin(at, stream, now)
                {
                    let back_at = now + ms(self.random.random_range(3..150) * 10);
                    let back_at_first = self.random.random::<f64>() < 0.3;
                    let at = match back_at_first {
                        true => 0,
                        false => self.random.random_range(0..self.daemons.len()),
                    };
                    broken.push((back_at, at, stream, build));
                }
            }
            now += STEP;
        }
        outcome
    }
}

cases! {
    /// No stream goes on at another build, and enough of them go on.
    fn streams_go_on_at_their_build(schedule: Schedule, seeds: u64, min_share: f64) {
        let (mut continued, mut all) = (0, 0);
        let mut wrong = Vec::new();
        for seed in 0..seeds {
            let outcome = Fleet::new(schedule, seed).play();
            wrong.extend(outcome.wrong.iter().map(|w| format!("seed {seed}, {w}")));
            continued += outcome.continued;
            all += outcome.continued + outcome.refused;
        }
        assert!(wrong.is_empty(), "{} wrong of {all}: {:?}", wrong.len(), &wrong[..wrong.len().min(4)]);
        let share = continued as f64 / all as f64;
        assert!(share >= min_share, "{continued} of {all}");
    }
    releases(CALM, 20, 0.9);
    daemon_without_peers(Schedule { trouble: Some(Trouble::NoPeers), ..CALM }, 20, 0.9);
    daemon_without_the_store(Schedule { trouble: Some(Trouble::NoStore), ..CALM }, 20, 0.9);
    daemon_that_is_cut_off(Schedule { trouble: Some(Trouble::Neither), ..CALM }, 20, 0.9);
    daemon_that_stood_still(Schedule { trouble: Some(Trouble::Frozen), loss: 0.3, ..CALM }, 20, 0.9);
    loss_of_all_daemons(Schedule { kill_all: true, ..CALM }, 20, 0.9);
    loss_of_all_daemons_with_one_version(
        Schedule { kill_all: true, release: Release::None, ..CALM },
        20,
        0.95
    );
    undone_releases(Schedule { release: Release::Undone, ..CALM }, 20, 0.9);
    loss_of_all_daemons_in_undone_releases(
        Schedule { kill_all: true, release: Release::Undone, ..CALM },
        20,
        0.85
    );
    outages_of_the_store(Schedule { trouble: Some(Trouble::Outage), ..CALM }, 20, 0.9);
    outages_of_the_store_with_one_version(
        Schedule { trouble: Some(Trouble::Outage), release: Release::None, ..CALM },
        20,
        0.95
    );
    list_without_its_history(Schedule { truncates: true, trouble: Some(Trouble::NoStore), ..CALM }, 20, 0.9);
}
