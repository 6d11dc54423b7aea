//! Whether this daemon reaches the log.
//!
//! One failed exchange says little: answers get lost while appends take
//! effect. A daemon counts as cut off from the log when nothing has succeeded
//! for a while, and says so to the others, who then take its shards over.

use std::time::Duration;

/// Time without a success after which the log counts as lost.
pub const LOST: Duration = Duration::from_secs(3);

/// Time without a failure after which the log counts as steady.
pub const STEADY: Duration = Duration::from_secs(3);

/// Exchanges with the log as one daemon sees them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reach {
    failing_since: Option<Duration>,
    last_failure: Option<Duration>,
}

impl Reach {
    /// Takes note of an exchange.
    pub fn note(&mut self, now: Duration, answered: bool) {
        if answered {
            self.failing_since = None;
            return;
        }
        self.failing_since.get_or_insert(now);
        self.last_failure = Some(now);
    }

    /// Whether the last exchange failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the log counts as lost.
    #[must_use]
    pub fn is_lost(&self, now: Duration) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_sub(since) >= LOST)
    }

    /// Whether no exchange has failed for a while.
    ///
    /// After an outage of the log itself all daemons come back one by one;
    /// only a daemon whose log is steady judges that another one lost it.
    #[must_use]
    pub fn is_steady(&self, now: Duration) -> bool {
        self.last_failure
            .is_none_or(|at| now.saturating_sub(at) >= STEADY)
    }
}
