//! Learned capacity: what a daemon learns about the replicas of a service, and which of
//! its peers' reports it believes.

mod model;

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::capacity::{
    Kind, Learned, MAX_REPORTS, Report, Reports, Sample, Usual,
};
use bitterncart_coordination::fleet::{Class, Heartbeat, Pool};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ownership::heartbeat;
use super::pool::replica;

const SLOTS: u32 = 8;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn gap(time_s: f64) -> Sample {
    Sample {
        kind: Kind::Gap,
        class: Class::Online,
        time: Duration::from_secs_f64(time_s),
        objective: None,
    }
}

fn first(time_s: f64) -> Sample {
    Sample {
        kind: Kind::First,
        objective: Some(ms(300)),
        ..gap(time_s)
    }
}

/// Usual times of a service whose events take 100 ms.
fn usual() -> Usual {
    let mut usual = Usual::default();
    for _ in 0..200 {
        usual.record(&gap(0.1));
        usual.record(&first(0.1));
    }
    usual
}

/// Feeds the events of two streams, whose time is the usual one times `factor(now)`.
fn feed(
    learned: &mut Learned,
    (from, until): (u64, u64),
    in_flight: u32,
    factor: impl Fn(u64) -> f64,
) {
    let usual = usual();
    let mut at = from;
    while at < until {
        let factor = factor(at);
        let quotient = usual.clone().record(&gap(0.1 * factor));
        learned.record(ms(at), in_flight, SLOTS, quotient);
        at += (50.0 * factor) as u64;
    }
}

/// A replica that turns slow or fast is known within 3 s, and so is its return within 5 s.
#[test]
fn lasting_change_is_followed_and_forgotten() {
    for factor in [0.55, 2.2, 5.0] {
        let mut learned = Learned::default();
        feed(&mut learned, (0, 10_000), 2, |_| 1.0);
        assert_eq!(learned.speed(ms(10_000), 2, SLOTS), 1.0);
        feed(&mut learned, (10_000, 13_000), 2, |_| factor);
        let speed = f64::from(learned.speed(ms(13_000), 2, SLOTS));
        let expected = (1.0 / factor).clamp(0.25, 2.0);
        assert!((speed / expected - 1.0).abs() < 0.2, "{factor}: {speed}");
        feed(&mut learned, (13_000, 18_000), 2, |_| 1.0);
        assert_eq!(learned.speed(ms(18_000), 2, SLOTS), 1.0, "{factor}");
    }
}

/// Disturbances of 2.5 times in 15 of 100 moments are no change of the speed.
#[test]
fn disturbed_moments_do_not_change_the_speed() {
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let moments: Vec<bool> = (0..300).map(|_| random.random_bool(0.15)).collect();
        let mut learned = Learned::default();
        let mut wrong = 0;
        for at in (0..30_000).step_by(100) {
            let is_disturbed = moments[at as usize / 100];
            let factor = if is_disturbed { 2.5 } else { 1.0 };
            feed(&mut learned, (at, at + 100), 2, |_| factor);
            wrong += u32::from(learned.speed(ms(at), 2, SLOTS) != 1.0);
        }
        assert!(wrong <= 9, "seed {seed}: {wrong} of 300 moments");
    }
}

/// The bound of the memory that is used at 600 replicas.
#[test]
fn state_of_a_replica_is_small() {
    assert_eq!(size_of::<Learned>(), 368);
}

/// A replica without requests is not avoided for good.
#[test]
fn knowledge_expires_without_samples() {
    let mut learned = Learned::default();
    feed(&mut learned, (0, 3_000), 2, |_| 3.0);
    assert!(learned.speed(ms(3_000), 2, SLOTS) < 0.5);
    assert_eq!(learned.speed(ms(7_000), 2, SLOTS), 1.0);
}

/// A replica that slows down from half of its slots takes as many well, and all of them
/// again when it has recovered; one of even speed takes all.
#[test]
fn knee_limits_what_a_replica_takes_well() {
    let mut learned = Learned::default();
    for at in (0..3_000).step_by(100) {
        feed(&mut learned, (at, at + 50), 3, |_| 1.0);
        feed(&mut learned, (at + 50, at + 100), 6, |_| 2.0);
    }
    assert_eq!(learned.takes_well(ms(3_000), SLOTS), SLOTS / 2);
    assert_eq!(learned.takes_well(ms(7_500), SLOTS), SLOTS);
    feed(&mut learned, (8_000, 11_000), 3, |_| 1.0);
    feed(&mut learned, (8_000, 11_000), 6, |_| 1.0);
    assert_eq!(learned.takes_well(ms(11_000), SLOTS), SLOTS);
}

/// However slow a replica is, it is tried with a request; a replica with one slot has one.
#[test]
fn slowest_replica_takes_one() {
    let mut learned = Learned::default();
    let usual = usual();
    for at in (0..3_000).step_by(50) {
        let quotient = usual.clone().record(&first(2.0));
        learned.record(ms(at), 1, SLOTS, quotient);
    }
    assert_eq!(learned.takes_well(ms(3_000), SLOTS), 1);
    assert_eq!(learned.takes_well(ms(3_000), 1), 1);
}

fn from(peer: u16) -> SocketAddr {
    ([127, 0, 0, 1], peer).into()
}

fn report(speed: i8, samples: u8) -> Report {
    Report {
        process: 7,
        speed,
        samples,
    }
}

/// One daemon alone, whatever it reports and however often, changes nothing: it may lie,
/// or its own link may be slow.
#[test]
fn single_reporter_is_not_believed() {
    let mut reports = Reports::default();
    reports.receive(ms(0), from(1), &[report(-128, 255); MAX_REPORTS]);
    assert!(reports.speeds().is_empty());
    reports.receive(ms(0), from(2), &[report(-5, 6)]);
    let speed = reports.speeds()[&7];
    assert!((speed - (-0.25_f32).exp()).abs() < 0.01, "{speed}");
    reports.receive(ms(0), from(2), &[report(20, 255)]);
    assert_eq!(reports.speeds()[&7], 1.0, "contradicting reports");
    reports.expire(ms(3_000));
    assert!(reports.speeds().is_empty());
}

/// A lying minority doesn't move the speed that the others agree on.
#[test]
fn minority_of_reporters_is_outvoted() {
    let mut reports = Reports::default();
    for peer in 1..=4 {
        reports.receive(ms(0), from(peer), &[report(-16, 10)]);
    }
    for peer in 5..=6 {
        reports.receive(ms(0), from(peer), &[report(127, 255)]);
    }
    let speed = reports.speeds()[&7];
    assert!((speed - (-0.8_f32).exp()).abs() < 0.01, "{speed}");
}

/// Own measurements count for the own choice, whatever the peers report.
#[test]
fn own_measurements_override_reports() {
    let mut learned = Learned::default();
    learned.set_reported(Some(0.5));
    assert_eq!(learned.speed(ms(0), 1, SLOTS), 0.5);
    feed(&mut learned, (0, 3_000), 1, |_| 1.0);
    assert_eq!(learned.speed(ms(3_000), 1, SLOTS), 1.0);
}

/// Equal replicas add the length of an empty list to a heartbeat, one byte; earlier
/// builds ignore what follows the links, and their heartbeats are decoded.
#[test]
fn speeds_follow_the_links_in_a_heartbeat() {
    let without = heartbeat(1, 1);
    let sent = Heartbeat {
        speeds: vec![report(-16, 10)],
        recent_jobs: None,
        ..without.clone()
    };
    let datagram = sent.encode().expect("a datagram");
    assert_eq!(Heartbeat::decode(&datagram).expect("a heartbeat"), sent);
    let empty = without.encode().expect("a datagram");
    let of_earlier_build = &empty[..empty.len() - 1];
    let decoded = Heartbeat::decode(of_earlier_build).expect("a heartbeat");
    assert_eq!(decoded, without);
    // An earlier build reads the links with `postcard::from_bytes`, which ignores the rest.
    assert!(datagram.starts_with(of_earlier_build));
    let links: Option<bitterncart_coordination::fleet::links::Report> =
        postcard::from_bytes(&datagram[of_earlier_build.len() - 1..]).expect("links");
    assert_eq!(links, None);
}

/// Learning costs equal replicas nothing: with equal random numbers, a pool that has
/// measured them chooses as one that has not.
#[test]
fn equal_replicas_are_chosen_as_by_counting() {
    let mut random = SmallRng::seed_from_u64(1);
    let mut counting = Pool::new("here".into(), "d".into());
    let mut learning = Pool::new("here".into(), "d".into());
    for n in 0..20 {
        counting.upsert(replica(n, SLOTS));
        learning.upsert(replica(n, SLOTS));
    }
    let mut held = Vec::new();
    for n in 0..5_000_u64 {
        let now = ms(n * 10);
        let draws: Vec<f64> = (0..20).map(|_| random.random()).collect();
        let select = |pool: &mut Pool| {
            let mut rest = draws.iter().copied();
            if n % 4 == 0 {
                let class = Class::Batch;
                (pool.select_batch(now, "s", 1, draws[0]), class)
            } else {
                let random = || rest.next().expect("a number");
                (pool.select(now, "s", &[], &[], random), Class::Online)
            }
        };
        let (counted, class) = select(&mut counting);
        let (learned, _) = select(&mut learning);
        assert_eq!(counted, learned);
        held.extend(learned.zip(counted).map(|(l, c)| (l.key, c.key, class)));
        if held.len() > 60 {
            let (l, c, class) = held.swap_remove(random.random_range(0..held.len()));
            learning.release(l, class);
            counting.release(c, class);
            let sample = gap(0.1 * random.random_range(0.9..1.1));
            learning.record_sample(now, l, &sample);
        }
        assert!(learning.update_capacities(now).is_empty());
    }
    assert!(learning.speed_reports(ms(50_000)).is_empty());
}

/// Another process at the place of a slow one is not judged by what that one did.
#[test]
fn another_process_is_not_known() {
    let mut pool = Pool::new("here".into(), "d".into());
    (0..4).for_each(|n| pool.upsert(replica(n, SLOTS)));
    let keys: Vec<_> = (0..40)
        .filter_map(|n| pool.select(ms(n), "s", &[], &[], || 0.5))
        .collect();
    for at in (0..5_000).step_by(20) {
        for selection in &keys {
            let slow = if selection.id == "i-0" { 3.0 } else { 1.0 };
            pool.record_sample(ms(at), selection.key, &gap(0.1 * slow));
        }
    }
    assert_eq!(pool.speed_reports(ms(5_000)).len(), 1);
    assert_eq!(pool.update_capacities(ms(5_000)).len(), 1);
    let mut other = replica(0, SLOTS);
    other.born_ms += 1;
    pool.upsert(other);
    assert!(pool.speed_reports(ms(5_000)).is_empty());
}
