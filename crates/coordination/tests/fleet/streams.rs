//! Streams that clients take up: single decisions, and a fleet in virtual time whose
//! daemons tell each other which build began a stream.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::streams::{
    self, Answer, HOLDERS, History, MAX_ASKED, MEMORY, Message, SoleRoute,
};
use bitterncart_coordination::fleet::{Build, Fingerprint, Pool, Replica, Streams};
use bitterncart_testing::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::builds::{self, SERVICE, build};

const STREAM: Fingerprint = Fingerprint(7);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn s(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn began(version: &str) -> Answer {
    Answer::Began(build(version))
}

fn sole(version: &str) -> Answer {
    Answer::History(History::Sole(version.into()))
}

const MIXED: Answer = Answer::History(History::Mixed);
const UNKNOWN: Answer = Answer::History(History::Unknown);

fn sole_route() -> SoleRoute {
    SoleRoute {
        host: "h".into(),
        prefix: "/p/".into(),
        service: SERVICE.into(),
        window_ms: 10_000,
    }
}

cases! {
    fn answers_tell_the_build(own: &Answer, others: &[Answer], version: Option<&str>) {
        let route = sole_route();
        assert_eq!(streams::decide(Some(&route), own, others), version.map(build));
    }
    daemon_that_knows_the_stream_decides(&MIXED, &[began("1"), sole("2"), UNKNOWN], Some("1"));
    two_builds_of_a_stream_tell_nothing(&UNKNOWN, &[began("1"), began("2")], None);
    build_of_this_daemon_and_another_one_tell_nothing(&began("1"), &[began("2")], None);
    only_version_of_the_service_began_the_stream(&sole("1"), &[sole("1")], Some("1"));
    only_version_is_known_without_the_others(&sole("1"), &[], Some("1"));
    only_version_is_known_beside_fresh_daemons(&sole("1"), &[UNKNOWN, UNKNOWN], Some("1"));
    history_of_another_daemon_tells_nothing(&UNKNOWN, &[sole("1")], None);
    histories_of_all_others_tell_nothing(&UNKNOWN, &[sole("1"), sole("1"), sole("1")], None);
    several_versions_tell_nothing(&sole("1"), &[MIXED], None);
    own_versions_tell_nothing(&MIXED, &[sole("1")], None);
    different_histories_tell_nothing(&sole("1"), &[sole("2")], None);
    fresh_daemons_tell_nothing(&UNKNOWN, &[UNKNOWN], None);
    no_answers_tell_nothing(&UNKNOWN, &[], None);
}

/// A route over two services does not tell the service that began the stream.
#[test]
fn history_does_not_tell_the_build_of_a_split_route() {
    assert_eq!(streams::decide(None, &sole("1"), &[sole("1")]), None);
    let known = streams::decide(None, &UNKNOWN, &[began("1")]);
    assert_eq!(known, Some(build("1")));
}

/// The id of a client attempt is chosen by the client.
#[test]
fn stream_that_two_builds_began_is_not_known() {
    let mut streams = Streams::default();
    streams.record(s(1), STREAM, build("1"));
    streams.record(s(2), STREAM, build("2"));
    assert_eq!(streams.answer(STREAM, History::Sole("1".into())), MIXED);
}

#[test]
fn streams_take_bounded_memory() {
    let mut streams = Streams::default();
    for n in 0..20_000 {
        streams.record(ms(n), Fingerprint(u128::from(n)), build("1"));
    }
    let known = |n: u64| streams.answer(Fingerprint(u128::from(n)), History::Unknown) == began("1");
    let count = (0..20_000).filter(|n| known(*n)).count();
    assert!((4096..=8192).contains(&count), "{count}");
    assert!((16_000..20_000).all(known), "the latest streams are known");
    let message = Message::Began {
        stream: Fingerprint(u128::MAX),
        build: build("a-version-of-twenty-b"),
    };
    assert!(message.encode().expect("encodes").len() < 64);
}

#[test]
fn messages_are_decoded_as_they_were_sent() {
    let message = Message::Ask {
        id: 3,
        stream: STREAM,
        route: Some(sole_route()),
    };
    let bytes = message.encode().expect("encodes");
    assert_eq!(Message::decode(&bytes), Some(message));
    assert_eq!(Message::decode(&bytes[1..]), None);
}

fn replica(number: u8, version: Option<&str>) -> Replica {
    Replica {
        version: version.map(Into::into),
        ..builds::replica(number, "")
    }
}

/// Pool that has followed a list with replicas of these versions.
fn followed(versions: &[Option<&str>], time: Duration) -> Pool {
    let mut pool = Pool::new("here".into(), "d".into());
    for (number, version) in (1..).zip(versions) {
        pool.upsert(replica(number, *version));
    }
    pool.record_list_snapshot(s(0), s(0));
    for second in 0..=time.as_secs() {
        pool.record_list_read(s(second), s(second));
    }
    pool
}

cases! {
    fn list_tells_the_history(versions: &[Option<&str>], time: Duration, expected: &History) {
        let pool = followed(versions, time);
        assert_eq!(pool.history(time, SERVICE, MEMORY), *expected);
        assert_eq!(pool.latest_history(SERVICE, MEMORY), *expected);
    }
    one_version_for_long_is_the_only_one(
        &[Some("1"), Some("1")],
        MEMORY,
        &History::Sole("1".into())
    );
    one_version_for_a_short_time_is_not_known_to_be_the_only_one(
        &[Some("1")],
        MEMORY - s(1),
        &History::Unknown
    );
    two_versions_are_mixed(&[Some("1"), Some("2")], MEMORY, &History::Mixed);
    replica_without_a_version_is_mixed(&[Some("1"), None], MEMORY, &History::Mixed);
    replicas_without_a_version_are_mixed(&[None, None], MEMORY, &History::Mixed);
    service_without_replicas_is_not_known(&[], MEMORY, &History::Unknown);
}

#[test]
fn version_that_left_is_remembered() {
    let mut pool = followed(&[Some("1"), Some("2")], MEMORY);
    let left_at = MEMORY;
    pool.delist(left_at, "r1", None);
    let now = left_at + MEMORY - s(1);
    // Other versions are remembered for longer than a stream takes.
    for window in [s(10), MEMORY] {
        assert_eq!(pool.history(now, SERVICE, window), History::Mixed);
    }
    pool.record_list_read(left_at, left_at);
    pool.record_list_read(now, now);
    for window in [s(10), MEMORY] {
        assert_eq!(pool.history(now, SERVICE, window), History::Mixed);
    }
    let now = left_at + MEMORY;
    pool.record_list_read(now, now);
    assert_eq!(
        pool.history(now, SERVICE, MEMORY),
        History::Sole("2".into())
    );
}

/// Guards against a version that came and left while the list was not read, and that
/// counts as long gone when it is.
#[test]
fn version_that_came_and_left_between_two_reads_is_remembered() {
    let mut pool = followed(&[Some("1")], MEMORY);
    pool.upsert(replica(9, Some("2")));
    let now = MEMORY + s(30);
    pool.delist(now, "r9", None);
    pool.record_list_read(now, now);
    assert_eq!(pool.history(now, SERVICE, s(10)), History::Mixed);
    let now = now + MEMORY - s(1);
    pool.record_list_read(now, now);
    assert_eq!(pool.history(now, SERVICE, s(10)), History::Mixed);
}

/// A replica is listed with another version, without a new process.
#[test]
fn version_that_an_entry_had_is_remembered() {
    let mut pool = followed(&[Some("1")], MEMORY);
    pool.upsert(replica(1, Some("2")));
    pool.record_list_read(MEMORY, MEMORY);
    assert_eq!(pool.history(MEMORY, SERVICE, s(10)), History::Mixed);
}

/// Guards against a list whose history was deleted between two reads: versions that came
/// and left meanwhile are in no record.
#[test]
fn snapshot_of_the_list_begins_a_new_history() {
    let mut pool = followed(&[Some("1")], MEMORY);
    let read_at = MEMORY + s(5);
    pool.record_list_snapshot(read_at, read_at);
    assert_eq!(pool.history(read_at, SERVICE, s(10)), History::Unknown);
    let now = read_at + s(10);
    pool.record_list_read(now, now);
    let sole = History::Sole("1".into());
    assert_eq!(pool.history(now, SERVICE, s(10)), sole);
}

/// Guards against a daemon that was suspended, or whose store was slow, and that takes
/// the time at which it read an answer for that of the answer.
#[test]
fn history_ends_when_the_list_was_asked_for() {
    let mut pool = followed(&[Some("1")], MEMORY);
    let (asked_at, now) = (MEMORY + ms(10), MEMORY + s(8));
    pool.record_list_read(asked_at, now);
    assert_eq!(pool.history(now, SERVICE, s(10)), History::Unknown);
    assert!(!pool.is_list_current(now));
    let sole = History::Sole("1".into());
    assert_eq!(pool.history(asked_at, SERVICE, s(10)), sole);
}

/// Guards against a catalog that was read before the list was: versions that came and
/// left in between are in neither.
#[test]
fn catalog_from_before_the_list_tells_nothing() {
    let mut pool = Pool::new("here".into(), "d".into());
    let recorded = || [(SERVICE.into(), ("1".into(), MEMORY))].into();
    pool.set_recorded_versions(s(1), recorded());
    pool.record_past_read(s(1));
    pool.upsert(replica(1, Some("1")));
    pool.record_list_snapshot(s(5), s(5));
    assert!(pool.is_past_unread());
    assert_eq!(pool.history(s(5), SERVICE, s(10)), History::Unknown);
    pool.set_recorded_versions(s(6), recorded());
    pool.record_past_read(s(6));
    assert!(!pool.is_past_unread());
    let sole = History::Sole("1".into());
    assert_eq!(pool.history(s(5), SERVICE, s(10)), sole);
}

/// A daemon that is cut off does not know which versions have come.
#[test]
fn history_of_an_old_list_is_not_known() {
    let pool = followed(&[Some("1")], MEMORY);
    for now in [MEMORY + ms(1), MEMORY + s(2)] {
        assert_eq!(pool.history(now, SERVICE, MEMORY), History::Unknown);
    }
    assert!(!pool.is_list_current(MEMORY + s(2)));
    // While nobody can write to the store, nobody can be listed.
    let sole = History::Sole("1".into());
    assert_eq!(pool.latest_history(SERVICE, MEMORY), sole);
}

/// Guards against a version that came and left before any daemon recorded it, and before
/// all daemons were lost.
#[test]
fn version_of_the_past_is_remembered() {
    let mut pool = Pool::new("here".into(), "d".into());
    pool.upsert(replica(1, Some("1")));
    pool.record_list_snapshot(s(5), s(5));
    pool.record_past_replica(replica(2, Some("2")));
    pool.record_list_read(s(6), s(6));
    let now = s(6) + MEMORY - s(1);
    pool.record_list_read(now, now);
    assert_eq!(pool.history(now, SERVICE, s(10)), History::Mixed);
}

/// Parameters of a simulated fleet.
#[derive(Clone, Debug)]
struct Fleet {
    daemons: u16,
    /// Streams that begin each second.
    streams_per_s: u32,
    /// Share of lost datagrams.
    loss: f64,
    /// Share of the daemons that end each so many seconds, and start again.
    kills: Option<(f64, u64)>,
    /// The second half of the daemons reads no list from this time on.
    cut_at: Option<Duration>,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            daemons: 12,
            streams_per_s: 55,
            loss: 0.1,
            kills: None,
            cut_at: None,
        }
    }
}

struct Daemon {
    address: SocketAddr,
    pool: Pool,
    streams: Streams,
    /// Time after which it knows a change of the list.
    lag: Duration,
    is_read: bool,
    ready_at: Duration,
}

impl Daemon {
    fn new(number: u16, random: &mut StdRng) -> Self {
        Self {
            address: ([10, 1, (number >> 8) as u8, number as u8], 7000).into(),
            pool: Pool::new("here".into(), "d".into()),
            streams: Streams::default(),
            lag: ms(random.random_range(0..600)),
            is_read: false,
            ready_at: Duration::ZERO,
        }
    }

    /// Reads the list. Version 1 serves alone, from 90 s on beside version 2, which
    /// leaves again at 110 s and is back from 120 to 130 s.
    fn read_list(&mut self, now: Duration) {
        self.read_list_of(now, now.saturating_sub(self.lag));
    }

    /// Reads what was listed at a time.
    fn read_list_of(&mut self, now: Duration, listed_at: Duration) {
        self.pool.upsert(replica(1, Some("1")));
        let has_second =
            (s(90)..s(110)).contains(&listed_at) || (s(120)..s(130)).contains(&listed_at);
        if has_second {
            self.pool.upsert(replica(2, Some("2")));
        } else {
            self.pool.delist(now, "r2", None);
        }
        if self.is_read {
            self.pool.record_list_read(listed_at, now);
        } else {
            self.pool.record_list_snapshot(listed_at, now);
        }
        self.is_read = true;
    }

    fn history(&self, now: Duration) -> History {
        if self.pool.is_list_current(now) {
            self.pool.latest_history(SERVICE, sole_route().window())
        } else {
            History::Unknown
        }
    }
}

/// Streams that were taken up.
#[derive(Debug, Default)]
struct Outcome {
    continued: usize,
    refused: usize,
    wrong: usize,
    /// Datagrams about streams.
    messages: usize,
}

impl Fleet {
    fn play(&self, seed: u64) -> Outcome {
        const STEP: Duration = Duration::from_millis(50);
        let mut random = StdRng::seed_from_u64(seed);
        let mut daemons: Vec<Daemon> = Vec::new();
        for number in 0..self.daemons {
            daemons.push(Daemon::new(number, &mut random));
        }
        let mut outcome = Outcome::default();
        let (mut number, mut broken) = (0_u128, Vec::new());
        for step in 0..(140 * 20_u32) {
            let now = STEP * step;
            let is_second = step % 20 == 0;
            for (index, daemon) in daemons.iter_mut().enumerate() {
                let is_cut = index >= usize::from(self.daemons) / 2
                    && self.cut_at.is_some_and(|at| now >= at);
                if !is_cut && step % 12 == index as u32 % 12 {
                    daemon.read_list(now);
                }
            }
            if let Some((share, each_s)) = self.kills
                && is_second
                && now.as_secs() % each_s == each_s - 1
            {
                for number in 0..self.daemons {
                    if random.random::<f64>() < share {
                        let ended = &mut daemons[usize::from(number)];
                        *ended = Daemon::new(number, &mut random);
                        ended.ready_at = now + s(1);
                    }
                }
            }
            let live: Vec<usize> = (0..daemons.len())
                .filter(|n| now >= daemons[*n].ready_at && now > s(5))
                .collect();
            if live.is_empty() {
                continue;
            }
            for _ in 0..self.streams_per_s.div_ceil(20) {
                let at = live[random.random_range(0..live.len())];
                number += 1;
                let stream = Fingerprint(number);
                let selection = daemons[at]
                    .pool
                    .select(now, SERVICE, &[], &[], || random.random());
                let Some(build) = selection.and_then(|selection| selection.build()) else {
                    continue;
                };
                daemons[at].streams.record(now, stream, build.clone());
                let own = daemons[at].address;
                let others = live
                    .iter()
                    .map(|n| daemons[*n].address)
                    .filter(|a| *a != own);
                for holder in streams::ranked(stream, others).into_iter().take(HOLDERS) {
                    outcome.messages += 1;
                    if random.random::<f64>() >= self.loss {
                        let holder = daemons.iter_mut().find(|d| d.address == holder);
                        let holder = holder.expect("a daemon");
                        holder.streams.record(now, stream, build.clone());
                    }
                }
                let back_at = now + ms(random.random_range(50..1500));
                broken.push((back_at, stream, build));
            }
            let due = broken.iter().filter(|(at, ..)| *at <= now).cloned();
            let due: Vec<(Duration, Fingerprint, Build)> = due.collect();
            broken.retain(|(at, ..)| *at > now);
            for (_, stream, build) in due {
                let at = live[random.random_range(0..live.len())];
                let others: Vec<SocketAddr> = live
                    .iter()
                    .filter(|n| **n != at)
                    .map(|n| daemons[*n].address)
                    .collect();
                let mut answers = Vec::new();
                for asked in streams::ranked(stream, others).into_iter().take(MAX_ASKED) {
                    outcome.messages += 1;
                    if random.random::<f64>() >= self.loss {
                        let asked = daemons.iter().find(|d| d.address == asked);
                        let asked = asked.expect("a daemon");
                        answers.push(asked.streams.answer(stream, asked.history(now)));
                    }
                }
                let is_cut =
                    at >= usize::from(self.daemons) / 2 && self.cut_at.is_some_and(|at| now >= at);
                if !is_cut {
                    daemons[at].read_list_of(now, now);
                }
                let route = sole_route();
                let history = daemons[at].pool.history(now, SERVICE, route.window());
                let own = daemons[at].streams.answer(stream, history);
                match streams::decide(Some(&route), &own, &answers) {
                    Some(found) if found == build => outcome.continued += 1,
                    Some(_) => outcome.wrong += 1,
                    None => outcome.refused += 1,
                }
            }
        }
        outcome
    }
}

cases! {
    /// No stream goes on at another build, and most of them go on.
    fn fleet_finds_the_build_of_a_stream(fleet: Fleet, seeds: u64, min_share: f64) {
        for seed in 0..seeds {
            let outcome = fleet.play(seed);
            assert_eq!(outcome.wrong, 0, "seed {seed}: {outcome:?}");
            let all = outcome.continued + outcome.refused;
            let share = outcome.continued as f64 / all as f64;
            assert!(share >= min_share, "seed {seed}: {outcome:?}");
        }
    }
    builds_are_found_in_a_calm_fleet(Fleet::default(), 4, 0.99);
    builds_are_found_on_lossy_links(Fleet { loss: 0.5, ..Fleet::default() }, 4, 0.75);
    builds_are_found_when_daemons_end(
        Fleet { kills: Some((0.33, 3)), ..Fleet::default() },
        4,
        0.75
    );
    builds_are_found_when_most_daemons_end(
        Fleet { kills: Some((0.6, 10)), ..Fleet::default() },
        4,
        0.75
    );
    builds_are_found_when_half_of_the_daemons_are_cut_off(
        Fleet { cut_at: Some(s(85)), ..Fleet::default() },
        4,
        0.9
    );
    builds_are_found_in_a_large_fleet(
        Fleet { daemons: 195, streams_per_s: 490, kills: Some((0.33, 5)), ..Fleet::default() },
        1,
        0.75
    );
}
