//! Age of what a daemon knows of the manifest.
//!
//! A key that was withdrawn must stop working everywhere within a bound, also at a daemon
//! that cannot reach the store. So a daemon serves requests with keys only while it can
//! show that its manifest was the newest one a short time ago. The age counts from the
//! moment at which the question was sent, not from the answer: the manifest may have
//! changed right after the store answered. All times are of a clock that includes
//! suspensions, so a daemon that wakes up knows that its manifest is old.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::datagram::Mark;

/// Share of the maximum age up to which requests are served. The rest covers clocks that
/// run at different rates and requests that are being read when the age is reached.
const SERVED_SHARE: f64 = 0.9;

/// Share of the maximum age from which peers are asked. At a bound of 5 s it is above the
/// two seconds that long polls of one second reach in calm.
const ASK_SHARE: f64 = 0.5;

const MARK: Mark = Mark(0xa9);

/// Message between daemons about the age of their manifests.
///
/// The age of the asker counts from its ask, so that a reply that waited in a socket while
/// the asker was suspended shows no more than it knew when it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a peer for the age of its manifest.
    Ask {
        /// Number that the reply repeats.
        id: u32,
    },
    /// Answers an ask.
    Reply {
        /// Number of the ask.
        id: u32,
        /// Version of the manifest.
        version: u64,
        /// Age of the manifest, in milliseconds, rounded up.
        age_ms: u32,
    },
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// If a field cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        MARK.encode(self)
    }

    /// Decodes a datagram; `None` if it is no message about the age of a manifest.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        MARK.decode(datagram)
    }
}

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

    /// Records the reply of a peer with the same version to an ask sent at `asked_at`. The
    /// peer's age was at least `age` when it read the ask.
    pub fn confirm_by_peer(&mut self, asked_at: Duration, age: Duration) {
        if let Some(at) = asked_at.checked_sub(age) {
            self.confirm(at);
        }
    }

    /// Whether peers should be asked for the age of their manifests.
    #[must_use]
    pub fn is_ask_due(&self, now: Duration, max_age: Duration) -> bool {
        self.age(now)
            .is_some_and(|age| age >= max_age.mul_f64(ASK_SHARE))
    }

    /// Records whether the newest record could be read.
    pub fn record_readable(&mut self, is_readable: bool) {
        self.is_unreadable = !is_readable;
    }

    /// Time up to which all versions that were written are known; `None` if no version was
    /// ever confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
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
