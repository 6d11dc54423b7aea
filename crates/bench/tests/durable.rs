//! Promises of the durable decisions under randomised schedules.

use bitterncart_bench::durable::{Broken, run};
use bitterncart_testing::cases;

/// Schedules of each case.
const SCHEDULES: u32 = 1500;

cases! {
    fn keeps_every_promise(seed: u64) {
        if let Err(why) = run(seed, SCHEDULES, None) {
            panic!("{why}");
        }
    }
    seed_1(1);
    seed_2(2);
    seed_3(3);
    seed_4(4);
    // Found carried results beside those that a cancellation had voided.
    seed_77(77);
}

cases! {
    fn catches(broken: Broken) {
        let found = (1..=4).any(|seed| run(seed, SCHEDULES, Some(broken)).is_err());
        assert!(found, "{broken:?} was not caught");
    }
    catches_a_stale_epoch(Broken::StaleEpoch);
    catches_an_early_acknowledgement(Broken::EarlyAck);
    catches_a_repeated_call(Broken::RepeatCall);
    catches_a_missing_snapshot(Broken::NoSnapshot);
    catches_a_stale_snapshot(Broken::LastSnapshot);
    catches_a_passed_gap(Broken::PassedGap);
    catches_an_ignored_cancellation(Broken::IgnoredCancel);
}
