//! Invariants of the orders to engines under randomised schedules.

use bitterncart_bench::orders::{Defect, run};
use bitterncart_testing::cases;

/// Number of schedules in each case.
const SCHEDULES: u32 = 3000;

cases! {
    fn invariants_hold(seed: u64) {
        if let Err(reason) = run(seed, SCHEDULES, None) {
            panic!("{reason}");
        }
    }
    invariants_hold_with_seed_1(1);
    invariants_hold_with_seed_2(2);
    invariants_hold_with_seed_3(3);
}

cases! {
    fn defect_is_detected(defect: Defect) {
        let detected = (1..=4).any(|seed| run(seed, SCHEDULES, Some(defect)).is_err());
        assert!(detected, "{defect:?} was not detected");
    }
    checking_only_at_the_decision_is_detected(Defect::EarlyCheck);
    issuing_without_waiting_is_detected(Defect::NoWait);
    issuing_from_old_placements_is_detected(Defect::OldView);
}
