//! Availability of a service, derived from the results of calls to it.
//!
//! The service counts as unavailable once calls have failed for a minimum time
//! without a success in between, and as available again at the next success.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock;

/// Time of failures without a success after which a service counts as
/// unavailable.
const UNAVAILABLE_AFTER: Duration = Duration::from_millis(400);

/// Record of failed calls since the last success.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    /// Time of the first failure, in milliseconds of the boot clock; 0 for none.
    failing_since_ms: AtomicU64,
    /// Time of the last success after the service was unavailable, likewise.
    recovered_at_ms: AtomicU64,
}

impl Availability {
    /// Records a success; returns for how long calls had failed.
    pub(crate) fn record_success(&self) -> Option<Duration> {
        let now = clock::now();
        if self.is_unavailable(now) {
            self.recovered_at_ms.store(millis(now), Ordering::Relaxed);
        }
        match self.failing_since_ms.swap(0, Ordering::Relaxed) {
            0 => None,
            since => Some(now.saturating_sub(Duration::from_millis(since))),
        }
    }

    /// Records a failure; returns whether it is the first since a success.
    pub(crate) fn record_failure(&self) -> bool {
        let now = millis(clock::now());
        self.failing_since_ms
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Whether calls have failed for longer than [`UNAVAILABLE_AFTER`].
    pub(crate) fn is_unavailable(&self, now: Duration) -> bool {
        let failing_since = Duration::from_millis(self.failing_since_ms.load(Ordering::Relaxed));
        !failing_since.is_zero() && now.saturating_sub(failing_since) > UNAVAILABLE_AFTER
    }

    /// Time at which the service last became available again.
    pub(crate) fn recovered_at(&self) -> Option<Duration> {
        let recovered_at = Duration::from_millis(self.recovered_at_ms.load(Ordering::Relaxed));
        Some(recovered_at).filter(|at| !at.is_zero())
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
