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
    pub(crate) fn answered(&self) {
        let now = clock::now();
        if self.is_away(now) {
            self.back_ms.store(millis(now), Ordering::Relaxed);
        }
        self.failed_ms.store(0, Ordering::Relaxed);
    }

    pub(crate) fn failed(&self) {
        let now = millis(clock::now());
        // An earlier failure stands.
        let _stands = self
            .failed_ms
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed);
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
