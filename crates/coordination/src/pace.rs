//! How fast one daemon appends to the log.
//!
//! The log takes several hundred appends a second for the whole fleet. Each
//! daemon may always use its equal share. While the log refuses nothing, one
//! that has more to append takes more, in small steps; a refusal or failure
//! puts it back to its share. So the sum is below the limit when all daemons
//! have work at once, such as after an outage.

use std::time::Duration;

use crate::bucket::Bucket;

/// Part of the limit that the shares add up to.
const SHARES: f64 = 0.8;

/// Part of the limit that one daemon takes at most.
const MOST: f64 = 0.5;

/// Growth with each append that the log confirmed.
const GROWTH: f64 = 1.05;

/// Pace of one daemon's appends.
#[derive(Clone, Debug)]
pub struct Pace {
    bucket: Bucket,
    share: f64,
    most: f64,
    rate: f64,
}

impl Default for Pace {
    /// One append a second, until a document states the limit.
    fn default() -> Self {
        Self {
            bucket: Bucket::new(1.0, 1.0),
            share: 1.0,
            most: 1.0,
            rate: 1.0,
        }
    }
}

impl Pace {
    /// Takes the fleet's limit a second and the number of live daemons.
    pub fn configure(&mut self, now: Duration, appends_per_s: u32, daemons: usize) {
        let limit = f64::from(appends_per_s);
        self.share = limit * SHARES / daemons.max(1) as f64;
        self.most = (limit * MOST).max(self.share);
        self.set(now, self.rate.clamp(self.share, self.most));
    }

    /// Takes a turn, or tells when to ask again.
    ///
    /// # Errors
    ///
    /// The time until the next turn.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if self.bucket.take(now, 1.0) {
            return Ok(());
        }
        Err(self.bucket.wait(now, 1.0))
    }

    /// Notes that the log confirmed an append.
    pub fn confirmed(&mut self, now: Duration) {
        self.set(now, (self.rate * GROWTH).min(self.most));
    }

    /// Notes that the log refused an append or did not answer.
    pub fn failed(&mut self, now: Duration) {
        self.set(now, self.share);
    }

    /// Appends a second that are allowed now.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn set(&mut self, now: Duration, rate: f64) {
        self.rate = rate;
        self.bucket.adjust(now, rate, rate.max(1.0));
    }
}
