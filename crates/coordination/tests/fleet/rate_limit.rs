//! Rate limits of replicas: the token bucket, what daemons tell each other, and
//! which replicas are selected.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::pool::{Class, Pool, Selection};
use bitterncart_coordination::fleet::rate_limit::{Buckets, Limits, Message, Report, holder};
use bitterncart_coordination::fleet::{Group, Queued};
use bitterncart_testing::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::pool::replica;

const PROCESS: u32 = 5;
const SERVICE: &str = "s";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Most requests that a replica may get in a window of 4 s.
fn allowed(per_s: f64) -> usize {
    (per_s * 4.0 * 1.5 + 5.0) as usize
}

/// Most grants in any window of 4 s.
fn most_in_window(grants: &[Duration]) -> usize {
    let in_window = |start: &Duration| {
        let window = grants
            .iter()
            .filter(|at| **at >= *start && **at < *start + ms(4000));
        window.count()
    };
    grants.iter().map(in_window).max().unwrap_or(0)
}

/// Pattern of the requests of several daemons for one limited replica.
#[derive(Clone, Debug)]
struct Load {
    /// Asks a second in a trough, and in a peak that lasts 2.4 of each 5.8 s.
    trough_per_s: f64,
    peak_per_s: f64,
    /// Time at which the holder of the bucket restarts.
    restart: Option<Duration>,
    /// Limit from the middle of the load on.
    then_per_s: f64,
}

impl Load {
    /// Times of the grants within 40 s.
    fn play(&self, per_s: f64, seed: u64) -> Vec<Duration> {
        let mut random = StdRng::seed_from_u64(seed);
        let mut buckets = Buckets::default();
        let mut grants = Vec::new();
        for step in 0..4000 {
            let now = ms(step * 10);
            if Some(now) == self.restart {
                buckets = Buckets::default();
            }
            let is_peak = step % 580 < 240;
            let asks_per_s = if is_peak {
                self.peak_per_s
            } else {
                self.trough_per_s
            };
            let per_s = if step < 2000 { per_s } else { self.then_per_s };
            if random.random::<f64>() < asks_per_s / 100.0
                && buckets.take(now, PROCESS, per_s, Class::Online).is_ok()
            {
                grants.push(now);
            }
            if step % 50 == 0 {
                buckets.expire(now);
            }
        }
        grants
    }
}

cases! {
    /// The replica gets no more than it takes, and what it takes is used.
    fn grants_keep_the_limit(per_s: f64, load: Load) {
        for seed in 0..20 {
            let grants = load.play(per_s, seed);
            let most = most_in_window(&grants);
            let limit = per_s.max(load.then_per_s);
            assert!(most <= allowed(limit), "seed {seed}: {most} of {}", allowed(limit));
            let asked_for = load.trough_per_s >= 2.0 * limit;
            let taken = (per_s + load.then_per_s) * 20.0;
            assert!(
                !asked_for || grants.len() as f64 >= 0.85 * taken,
                "seed {seed}: {} of {taken}",
                grants.len()
            );
        }
    }
    steady_shortage(
        2.3,
        Load { trough_per_s: 10.0, peak_per_s: 10.0, restart: None, then_per_s: 2.3 }
    );
    peaks_after_idle_troughs(
        2.3,
        Load { trough_per_s: 0.0, peak_per_s: 40.0, restart: None, then_per_s: 2.3 }
    );
    holder_restarts_in_a_peak(
        2.3,
        Load {
            trough_per_s: 10.0,
            peak_per_s: 40.0,
            restart: Some(Duration::from_millis(6900)),
            then_per_s: 2.3
        }
    );
    limit_below_one_a_second(
        0.4,
        Load { trough_per_s: 5.0, peak_per_s: 20.0, restart: None, then_per_s: 0.4 }
    );
    limit_is_raised(
        1.0,
        Load { trough_per_s: 20.0, peak_per_s: 40.0, restart: None, then_per_s: 6.0 }
    );
    limit_is_lowered(
        6.0,
        Load { trough_per_s: 20.0, peak_per_s: 40.0, restart: None, then_per_s: 1.0 }
    );
}

/// Online requests use the tokens first.
#[test]
fn batch_gets_no_token_while_online_asks() {
    let mut buckets = Buckets::default();
    let mut batch = 0;
    for step in 0..400 {
        let now = ms(step * 25);
        batch += usize::from(buckets.take(now, PROCESS, 2.0, Class::Batch).is_ok());
        if step % 4 == 0 {
            let _granted = buckets.take(now, PROCESS, 2.0, Class::Online);
        }
    }
    assert_eq!(batch, 0);
    let later = ms(20_000);
    assert!(
        buckets.take(later, PROCESS, 2.0, Class::Batch).is_ok(),
        "idle"
    );
}

/// The time to the next ask grows, so that the holder's load is bounded.
#[test]
fn many_askers_come_back_later() {
    let mut buckets = Buckets::default();
    let mut retry = Duration::ZERO;
    for step in 0..200 {
        if let Err(after) = buckets.take(ms(step * 10), PROCESS, 2.0, Class::Online) {
            retry = after;
        }
    }
    assert!(retry >= ms(800), "{retry:?}");
}

#[test]
fn daemons_agree_on_the_holder_and_share_the_work() {
    let daemons: Vec<SocketAddr> = (1..=12).map(|n| ([10, 0, 0, n], 7).into()).collect();
    let reversed: Vec<SocketAddr> = daemons.iter().rev().copied().collect();
    let mut holders: Vec<_> = (0..48)
        .map(|process| {
            let chosen = holder(process, daemons.iter().copied());
            assert_eq!(chosen, holder(process, reversed.iter().copied()));
            chosen
        })
        .collect();
    holders.sort_unstable();
    holders.dedup();
    assert!(holders.len() >= 9, "{}", holders.len());
    assert_eq!(holder(1, std::iter::empty()), None);
}

#[test]
fn latest_answer_decides() {
    let (mut first, mut second) = (Limits::default(), Limits::default());
    assert!(first.record(ms(1000), PROCESS, Some(2.5)));
    assert!(!first.record(ms(1100), PROCESS, Some(2.5)));
    second.merge(ms(1200), &first.reports(ms(1200)));
    assert_eq!(second.get(PROCESS), Some(2.5));
    assert!(second.record(ms(2000), PROCESS, None), "the limit ended");
    second.merge(ms(2100), &first.reports(ms(2100)));
    assert_eq!(second.get(PROCESS), None);
    first.merge(ms(2200), &second.reports(ms(2200)));
    assert_eq!(first.get(PROCESS), None);
}

#[test]
fn replicas_without_a_limit_are_not_reported() {
    let mut limits = Limits::default();
    assert!(!limits.record(ms(1000), PROCESS, None));
    assert_eq!(limits.reports(ms(1000)), []);
}

#[test]
fn messages_are_decoded() {
    let ask = Message::Ask {
        id: 1,
        process: PROCESS,
        per_1000_s: 2300,
        is_batch: false,
    };
    let datagram = ask.encode().expect("encodes");
    assert_eq!(Message::decode(&datagram), Some(ask));
    assert_eq!(Message::decode(&datagram[..3]), None);
    assert_eq!(Message::decode(&[0, 1, 2]), None, "a heartbeat");
}

/// The age of the limit follows the message, so that an earlier version reads the ask.
#[test]
fn asks_of_two_versions_are_decoded() {
    let ask = Message::Ask {
        id: 1,
        process: PROCESS,
        per_1000_s: 2300,
        is_batch: true,
    };
    // As the version before encodes it.
    let earlier = [0xa5, 0, 1, 5, 0xfc, 0x11, 1];
    assert_eq!(ask.encode().expect("encodes"), earlier);
    assert_eq!(Message::decode(&earlier), Some(ask));
    assert_eq!(Message::decode_report(&earlier), None);
    let datagram = ask.encode_ask(ms(300)).expect("encodes");
    assert_eq!(Message::decode(&datagram), Some(ask));
    let report = Report {
        process: PROCESS,
        per_1000_s: Some(2300),
        age_ms: 300,
    };
    assert_eq!(Message::decode_report(&datagram), Some(report));
    let reply = Message::Reply {
        id: 1,
        retry_ms: Some(7),
    };
    let reply = reply.encode().expect("encodes");
    assert_eq!(Message::decode_report(&reply), None);
}

/// Pool with replicas 0 and 1, of which 0 has named a limit.
fn limited_pool() -> (Pool, Selection) {
    let mut pool = Pool::new("here".into(), "d".into());
    pool.upsert(replica(0, 4));
    let selection = select(&mut pool, ms(0)).expect("a replica");
    pool.release(selection.key, Class::Online);
    assert!(pool.record_limit(ms(0), &selection, Some(2.0)));
    pool.upsert(replica(1, 4));
    (pool, selection)
}

fn select(pool: &mut Pool, now: Duration) -> Option<Selection> {
    pool.select(now, SERVICE, &[], &[], || 0.5)
}

#[test]
fn replica_without_a_token_is_not_selected() {
    let (mut pool, limited) = limited_pool();
    pool.record_no_token(ms(0), limited.key, Class::Online, ms(300));
    for _ in 0..8 {
        let selected = select(&mut pool, ms(100)).expect("the other one");
        assert_ne!(selected.key, limited.key);
    }
    assert_eq!(pool.select_at(ms(100), limited.key), None);
    let again = pool
        .select_at(ms(300), limited.key)
        .expect("a token may be there");
    assert_eq!(again.limit, Some(2.0));
    assert_eq!(pool.limited(ms(100), SERVICE), [limited.key]);
}

/// A batch item that got no token leaves the replica to online requests.
#[test]
fn batch_without_a_token_does_not_stop_online() {
    let (mut pool, limited) = limited_pool();
    pool.record_no_token(ms(0), limited.key, Class::Batch, ms(300));
    assert!(pool.select_at(ms(100), limited.key).is_some());
    for n in 0..4 {
        let selected = pool.select_batch(ms(100), SERVICE, 0, f64::from(n) / 4.0);
        assert_ne!(selected.map(|s| s.key), Some(limited.key));
    }
}

#[test]
fn limit_ends_with_the_process() {
    let (mut pool, limited) = limited_pool();
    let mut restarted = replica(0, 4);
    restarted.born_ms += 1;
    pool.upsert(restarted);
    assert_eq!(pool.limited(ms(100), SERVICE), []);
    assert!(
        pool.limit_reports(ms(100))
            .iter()
            .any(|r| r.process == limited.process_hash)
    );
}

/// Number of 40 selections that go to the limited replica.
fn selections_of(limited: &Selection, mut select: impl FnMut(u32) -> Option<Selection>) -> usize {
    let selected = (0..40).filter_map(&mut select);
    selected.filter(|s| s.key == limited.key).count()
}

/// In a trough the tokens are left to batch items, whose runs are longer.
#[test]
fn online_uses_tokens_only_when_other_replicas_are_full() {
    let (mut pool, limited) = limited_pool();
    let in_trough = selections_of(&limited, |_| {
        let selected = select(&mut pool, ms(100))?;
        pool.release(selected.key, Class::Online);
        Some(selected)
    });
    assert_eq!(in_trough, 0);
    let in_peak = selections_of(&limited, |_| select(&mut pool, ms(100)));
    assert!(in_peak >= 15, "{in_peak}");
}

#[test]
fn items_prefer_limited_replicas() {
    let (mut pool, limited) = limited_pool();
    let items = selections_of(&limited, |n| {
        let selected = pool.select_batch(ms(100), SERVICE, 0, f64::from(n) / 40.0)?;
        pool.release(selected.key, Class::Batch);
        Some(selected)
    });
    assert!(items >= 20, "{items}");
}

/// The end of an item at a limited replica would free no token for the queue.
#[test]
fn items_at_limited_replicas_are_not_preempted_for_the_queue() {
    let (mut pool, limited) = limited_pool();
    while let Some(selected) = pool.select_batch(ms(100), SERVICE, 0, 0.0) {
        if selected.key != limited.key {
            pool.release(selected.key, Class::Batch);
            break;
        }
    }
    pool.set_backlog([Queued {
        group: Group::new(SERVICE, "here"),
        requests: 20,
    }]);
    let preempted = pool.backlog_preemptions(ms(100), || 0.5);
    assert!(
        preempted
            .iter()
            .all(|(replicas, _)| !replicas.contains(&limited.key)),
        "{preempted:?}"
    );
}

/// Pool with replicas 0 and 2 of 4 slots each in this data centre, whose requests take 500 ms, and so many
/// queued requests; replica 0 limits its rate if `limit` says so.
fn pool_with_queue(queued: u16, limit: Option<f64>) -> Pool {
    let (mut pool, limited) = limited_pool();
    pool.record_limit(ms(1), &limited, limit);
    pool.upsert(replica(2, 4));
    for _ in 0..200 {
        pool.record_run_time(SERVICE, ms(500));
    }
    pool.set_backlog([Queued {
        group: Group::new(SERVICE, "here"),
        requests: queued,
    }]);
    pool
}

cases! {
    /// Replicas without a limit start 8 requests a second each.
    fn queue_wait_is_foreseen(queued: u16, limit: Option<f64>, expected_ms: u64) {
        let pool = pool_with_queue(queued, limit);
        let wait = pool.expected_queue_wait(ms(100), SERVICE).expect("a wait");
        assert!(wait.abs_diff(ms(expected_ms)) < ms(5), "{wait:?}");
    }
    queue_of_a_short_peak(4, None, 250);
    queue_of_a_long_peak(48, None, 3000);
    queue_while_a_replica_limits_its_rate(40, Some(2.0), 4000);
    queue_is_empty(0, Some(2.0), 0);
}

#[test]
fn queue_wait_is_unknown_before_the_first_answer() {
    let (pool, _) = limited_pool();
    assert_eq!(pool.expected_queue_wait(ms(100), SERVICE), None);
}

/// Nothing starts, so the wait is longer than any client's.
#[test]
fn queue_wait_without_a_usable_replica_is_long() {
    let mut pool = pool_with_queue(3, Some(2.0));
    for id in ["i-0", "i-2"] {
        pool.delist(ms(100), id, None);
    }
    let wait = pool.expected_queue_wait(ms(100), SERVICE).expect("a wait");
    assert!(wait > Duration::from_secs(60), "{wait:?}");
}
