//! Batch slots of one replica beside online work.

use std::time::Duration;

use bitterncart_coordination::Sharing;
use bitterncart_coordination::sharing::Bounds;
use bitterncart_protocol::id;
use bitterncart_testing::cases;

const BOUNDS: Bounds = Bounds {
    max_sequences: 32,
    reserve: 4,
    ttft: Duration::from_millis(1400),
    itl: Duration::from_millis(27),
    batch_weight: 0.5,
};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Time between tokens of an engine that runs a number of sequences.
fn gap(sequences: u32) -> Duration {
    Duration::from_micros(8_000 + 500 * u64::from(sequences))
}

/// Lets the slots follow an engine for a time.
fn run(sharing: &mut Sharing, from: Duration, online: u32, seconds: u64) -> Duration {
    let me = id::Daemon::from("owner");
    let mut now = from;
    while now < from + Duration::from_secs(seconds) {
        now += LOOK;
        sharing.online(now, &me, online, false);
        let batch = sharing.allowed(now);
        assert!(
            batch + online + BOUNDS.reserve <= BOUNDS.max_sequences.max(online + BOUNDS.reserve)
        );
        sharing.token(now, gap(batch + online));
    }
    now
}

cases! {
    fn batch_has(online: u32, least: u32, most: u32) {
        let mut sharing = Sharing::new(Duration::ZERO, BOUNDS);
        let now = run(&mut sharing, Duration::ZERO, online, 20);
        let batch = sharing.allowed(now);
        assert!((least..=most).contains(&batch), "{batch} slots");
    }
    // 0.63 of 27 ms are a step of 18 sequences; a quiet replica fills up to the reserve.
    all_but_the_reserve_on_a_quiet_replica(0, 26, 28);
    what_online_leaves(6, 8, 13);
    nothing_beside_much_online(24, 0, 2);
}

#[test]
fn first_online_sequence_puts_the_smaller_number_in_force() {
    let mut sharing = Sharing::new(Duration::ZERO, BOUNDS);
    let now = run(&mut sharing, Duration::ZERO, 4, 20);
    let busy = sharing.allowed(now);
    let now = run(&mut sharing, now, 0, 20);
    assert!(sharing.allowed(now) > busy + 4);
    sharing.online(now, &id::Daemon::from("other"), 4, false);
    assert!(sharing.allowed(now) <= busy + 1);
}

#[test]
fn new_owner_starts_at_zero() {
    let mut sharing = Sharing::new(Duration::ZERO, BOUNDS);
    assert_eq!(sharing.allowed(Duration::ZERO), 0);
}
