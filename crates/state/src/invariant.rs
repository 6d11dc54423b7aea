//! Invariant checks that also run in release builds.
//!
//! The checks are counted per process, so that status and test reports can
//! show that they ran.

use std::sync::atomic::{AtomicU64, Ordering};

static CHECKS: AtomicU64 = AtomicU64::new(0);

/// Number of invariant checks that this process has made.
#[must_use]
pub fn checks() -> u64 {
    CHECKS.load(Ordering::Relaxed)
}

/// Checks an invariant.
///
/// # Panics
///
/// If `holds` is false: continuing would break a guarantee given to a client.
#[track_caller]
pub fn check(holds: bool, invariant: &str) {
    CHECKS.fetch_add(1, Ordering::Relaxed);
    assert!(holds, "invariant broken: {invariant}");
}
