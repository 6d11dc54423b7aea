//! Invariants, checked in release builds too.

use std::sync::atomic::{AtomicU64, Ordering};

static CHECKS: AtomicU64 = AtomicU64::new(0);

/// Invariants checked by this process so far.
#[must_use]
pub fn checks() -> u64 {
    CHECKS.load(Ordering::Relaxed)
}

/// Checks one invariant.
///
/// # Panics
///
/// If it does not hold: going on would break a promise to a caller.
#[track_caller]
pub fn check(holds: bool, what: &str) {
    CHECKS.fetch_add(1, Ordering::Relaxed);
    assert!(holds, "invariant broken: {what}");
}
