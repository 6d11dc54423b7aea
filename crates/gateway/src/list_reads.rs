//! Reads of the list of replicas when a request needs what is listed now.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event, EventListener};

use crate::clock::{self, with_timeout};

/// Minimum interval between two reads of the list.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Times {
    /// Latest time that a read is wanted to begin at or after.
    wanted_at: Duration,
    /// Time at which the latest complete read began.
    read_at: Duration,
    /// Offset at which the latest snapshot ended.
    snapshot_end: u64,
}

/// Reads that are wanted and done.
#[derive(Debug, Default)]
pub(crate) struct ListReads {
    times: Mutex<Times>,
    wanted: Event,
    read: Event,
    snapshot_read: Event,
}

impl ListReads {
    fn times(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a read that began at `asked_at`.
    pub(crate) fn record(&self, asked_at: Duration) {
        self.times().read_at = asked_at;
        self.read.notify(usize::MAX);
    }

    /// Records a read of the whole list, with the offset of the records that follow.
    pub(crate) fn record_snapshot(&self, asked_at: Duration, end_offset: u64) {
        self.times().snapshot_end = end_offset;
        self.record(asked_at);
        self.snapshot_read.notify(usize::MAX);
    }

    /// Offset at which the latest snapshot ended.
    pub(crate) fn snapshot_end(&self) -> u64 {
        self.times().snapshot_end
    }

    /// Notified when the whole list was read.
    pub(crate) fn next_snapshot(&self) -> EventListener {
        self.snapshot_read.listen()
    }

    /// Waits for a read that begins at `time` or later, at most for `timeout`.
    pub(crate) async fn wait_for(&self, time: Duration, timeout: Duration) {
        let is_read = async {
            loop {
                let read = self.read.listen();
                {
                    let mut times = self.times();
                    if times.read_at >= time {
                        return;
                    }
                    times.wanted_at = times.wanted_at.max(time);
                }
                self.wanted.notify(usize::MAX);
                read.await;
            }
        };
        // Without it, the list is from before `time`.
        let _end = with_timeout(timeout, is_read).await;
    }

    /// Pauses after a read that began at `asked_at`, for `delay` or until another one is
    /// wanted.
    pub(crate) async fn pause(&self, asked_at: Duration, delay: Duration) {
        let is_wanted = async {
            loop {
                let wanted = self.wanted.listen();
                if self.times().wanted_at > asked_at {
                    break;
                }
                wanted.await;
            }
            let since_asked = clock::now().saturating_sub(asked_at);
            smol::Timer::after(MIN_INTERVAL.saturating_sub(since_asked)).await;
        };
        let _end = with_timeout(delay, is_wanted).await;
    }
}
