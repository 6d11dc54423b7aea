//! The batch limit of a replica adapts to online load.

use std::time::Duration;

use bitterncart_coordination::batch_limit::{Bounds, Limiter};
use bitterncart_protocol::id;
use bitterncart_testing::cases;

const BOUNDS: Bounds = Bounds {
    max_sequences: 32,
    reserve: 4,
    ttft: Duration::from_millis(1400),
    itl: Duration::from_millis(27),
    batch_weight: 0.5,
};

/// Interval of simulation steps.
const INTERVAL: Duration = Duration::from_millis(20);

/// Inter-token latency of an engine that runs a number of sequences.
fn inter_token_latency(sequences: u32) -> Duration {
    Duration::from_micros(8_000 + 500 * u64::from(sequences))
}

/// Simulates an engine with constant online load and returns the end time.
fn simulate(limiter: &mut Limiter, from: Duration, online: u32, seconds: u64) -> Duration {
    let me = id::Daemon::from("owner");
    let mut now = from;
    while now < from + Duration::from_secs(seconds) {
        now += INTERVAL;
        limiter.record_online(now, &me, online, false);
        let batch = limiter.batch_limit(now);
        assert!(
            batch + online + BOUNDS.reserve <= BOUNDS.max_sequences.max(online + BOUNDS.reserve)
        );
        limiter.record_itl(now, inter_token_latency(batch + online));
    }
    now
}

cases! {
    fn batch_limit_settles(online: u32, min: u32, max: u32) {
        let mut limiter = Limiter::new(Duration::ZERO, BOUNDS);
        let now = simulate(&mut limiter, Duration::ZERO, online, 20);
        let batch = limiter.batch_limit(now);
        assert!((min..=max).contains(&batch), "batch limit is {batch}");
    }
    // 0.63 of 27 ms is the engine step of 18 sequences; an idle replica fills up to the
    // reserve.
    idle_replica_fills_up_to_the_reserve(0, 26, 28);
    batch_uses_what_online_leaves(6, 8, 13);
    heavy_online_load_leaves_no_batch(24, 0, 2);
}

#[test]
fn first_online_sequence_restores_the_busy_limit() {
    let mut limiter = Limiter::new(Duration::ZERO, BOUNDS);
    let now = simulate(&mut limiter, Duration::ZERO, 4, 20);
    let busy = limiter.batch_limit(now);
    let now = simulate(&mut limiter, now, 0, 20);
    assert!(limiter.batch_limit(now) > busy + 4);
    limiter.record_online(now, &id::Daemon::from("other"), 4, false);
    assert!(limiter.batch_limit(now) <= busy + 1);
}

#[test]
fn new_owner_starts_with_zero_batch() {
    let mut limiter = Limiter::new(Duration::ZERO, BOUNDS);
    assert_eq!(limiter.batch_limit(Duration::ZERO), 0);
}
