//! Age of what a daemon knows of the manifest.
//!
//! A key that was withdrawn must stop working everywhere within a bound, also at a daemon
//! that cannot reach the store. So a daemon serves requests with keys only while it can
//! show that its manifest was the newest one a short time ago. The age counts from the
//! moment at which the question was sent, not from the answer: the manifest may have
//! changed right after the store answered. All times are of a clock that includes
//! suspensions, so a daemon that wakes up knows that its manifest is old.

use std::time::Duration;

/// Share of the maximum age up to which requests are served. The rest covers clocks that
/// run at different rates and requests that are being read when the age is reached.
const SERVED_SHARE: f64 = 0.9;

/// Age of the manifest of one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Start of the latest call whose answer showed that no newer version was there.
    confirmed_at: Option<Duration>,
    /// Whether the newest record cannot be read, so that a newer version may be there.
    is_unreadable: bool,
}

impl Freshness {
    /// Records that all versions written before `asked_at` are known.
    pub fn confirm(&mut self, asked_at: Duration) {
        if !self.is_unreadable {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Records whether the newest record could be read.
    pub fn record_readable(&mut self, is_readable: bool) {
        self.is_unreadable = !is_readable;
    }

    /// Age of the manifest; `None` if no version was ever confirmed.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Whether requests with keys may be served, if a manifest may be `max_age` old.
    #[must_use]
    pub fn is_served(&self, now: Duration, max_age: Option<Duration>) -> bool {
        match (max_age, self.age(now)) {
            (None, _) => true,
            (Some(max_age), Some(age)) => age < max_age.mul_f64(SERVED_SHARE),
            (Some(_), None) => false,
        }
    }
}
