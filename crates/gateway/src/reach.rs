//! Whether calls of one kind get through.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::clock;

/// Time for which calls fail before what they go to counts as away.
const FAILS: Duration = Duration::from_millis(400);

/// Record of calls that failed since one was answered.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// Time of the first of them, in milliseconds of the boot clock; 0 for none.
    failed_ms: AtomicU64,
    /// Time at which an answer last ended an absence, likewise.
    back_ms: AtomicU64,
}

impl Reach {
    /// Notes an answer; tells how long calls had failed.
    pub(crate) fn answered(&self) -> Option<Duration> {
        let now = clock::now();
        if self.is_away(now) {
            self.back_ms.store(millis(now), Ordering::Relaxed);
        }
        match self.failed_ms.swap(0, Ordering::Relaxed) {
            0 => None,
            since => Some(now.saturating_sub(Duration::from_millis(since))),
        }
    }

    /// Notes a failure; tells whether it is the first since an answer.
    pub(crate) fn failed(&self) -> bool {
        let now = millis(clock::now());
        self.failed_ms
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
    }

    /// Whether calls have failed for a while.
    pub(crate) fn is_away(&self, now: Duration) -> bool {
        let failed = Duration::from_millis(self.failed_ms.load(Ordering::Relaxed));
        !failed.is_zero() && now.saturating_sub(failed) > FAILS
    }

    /// Time at which an absence last ended.
    pub(crate) fn back(&self) -> Option<Duration> {
        let back = Duration::from_millis(self.back_ms.load(Ordering::Relaxed));
        Some(back).filter(|back| !back.is_zero())
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
