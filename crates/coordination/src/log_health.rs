//! Tracks whether this daemon can reach the log.
//!
//! A single failed request is not conclusive, because an answer can be lost while
//! the append takes effect. A daemon counts as disconnected from the log when no
//! request has succeeded for some time. It then reports this to the other daemons,
//! which take over its shards.

use std::time::Duration;

/// Time of failures without a success after which the log counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(3);

/// Time without a failure after which the log counts as stable.
pub const STABLE_AFTER: Duration = Duration::from_secs(3);

/// Connectivity of one daemon to the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failing_since: Option<Duration>,
    last_failure: Option<Duration>,
}

impl Health {
    /// Records the result of a request to the log.
    pub fn record(&mut self, now: Duration, answered: bool) {
        if answered {
            self.failing_since = None;
            return;
        }
        self.failing_since.get_or_insert(now);
        self.last_failure = Some(now);
    }

    /// Whether the last request failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the log counts as lost to this daemon.
    #[must_use]
    pub fn is_lost(&self, now: Duration) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_sub(since) >= LOST_AFTER)
    }

    /// Whether no request has failed for some time.
    ///
    /// After an outage of the log itself, daemons reconnect one by one. Only a daemon
    /// with a stable connection may conclude that another daemon has lost the log.
    #[must_use]
    pub fn is_stable(&self, now: Duration) -> bool {
        self.last_failure
            .is_none_or(|at| now.saturating_sub(at) >= STABLE_AFTER)
    }
}
