//! Clocks and timeouts.
//!
//! Ages are measured with the boot clock, which includes the time for which the
//! machine was suspended. After a suspension, everything that the daemon knew
//! before therefore counts as old.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since boot, including suspended time.
pub(crate) fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.max(0) as u64,
        time.tv_nsec.clamp(0, 999_999_999) as u32,
    )
}

/// Wall clock time since the Unix epoch.
pub(crate) fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Waits for a future; `None` if it is not ready within `timeout`.
pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let timer = async {
        smol::Timer::after(timeout).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timer).await
}
