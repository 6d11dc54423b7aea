//! Orders to engines under randomised schedules.

use bitterncart_bench::orders::{Broken, run};
use bitterncart_testing::cases;

/// Schedules of each case.
const SCHEDULES: u32 = 3000;

cases! {
    fn keeps_every_rule(seed: u64) {
        if let Err(why) = run(seed, SCHEDULES, None) {
            panic!("{why}");
        }
    }
    seed_1(1);
    seed_2(2);
    seed_3(3);
}

cases! {
    fn catches(broken: Broken) {
        let found = (1..=4).any(|seed| run(seed, SCHEDULES, Some(broken)).is_err());
        assert!(found, "{broken:?} was not caught");
    }
    catches_an_early_check(Broken::EarlyCheck);
    catches_an_issuer_that_does_not_wait(Broken::NoWait);
    catches_an_old_view(Broken::OldView);
}
