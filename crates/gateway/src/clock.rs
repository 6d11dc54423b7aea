//! Clocks of a daemon.
//!
//! Ages are taken by the boot clock, which counts the time for which a machine
//! was suspended: what a daemon believed before is old when it wakes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started, suspended time included.
pub(crate) fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        time.tv_sec.max(0) as u64,
        time.tv_nsec.clamp(0, 999_999_999) as u32,
    )
}

/// Time since 1970.
pub(crate) fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Result of a future, or `None` after a bound.
pub(crate) async fn within<T>(bound: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timer = async {
        smol::Timer::after(bound).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timer).await
}
