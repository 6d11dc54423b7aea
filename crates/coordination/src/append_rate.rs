//! Limits the rate at which one daemon appends to the log.
//!
//! The log accepts several hundred appends per second from the whole fleet. Each
//! daemon may always use an equal share. It raises its rate in small steps while
//! the log confirms appends, and returns to its share when an append is refused or
//! fails. The total is therefore below the limit even when all daemons have work
//! at once, such as after an outage.

use std::time::Duration;

use crate::bucket::Bucket;

/// Share of the limit that the base rates of all daemons add up to.
const TOTAL_SHARE: f64 = 0.8;

/// Maximum share of the limit for one daemon, unless its base rate is higher.
const MAX_SHARE: f64 = 0.5;

/// Factor on the rate for each confirmed append.
const GROWTH_FACTOR: f64 = 1.05;

/// Append rate limiter of one daemon.
#[derive(Clone, Debug)]
pub struct Limiter {
    bucket: Bucket,
    base_rate: f64,
    max_rate: f64,
    rate: f64,
}

impl Default for Limiter {
    /// One append per second, until a configuration document states the limit.
    fn default() -> Self {
        Self {
            bucket: Bucket::new(1.0, 1.0),
            base_rate: 1.0,
            max_rate: 1.0,
            rate: 1.0,
        }
    }
}

impl Limiter {
    /// Applies the fleet's limit in appends per second and the number of live daemons.
    pub fn configure(&mut self, now: Duration, appends_per_s: u32, daemons: usize) {
        let limit = f64::from(appends_per_s);
        self.base_rate = limit * TOTAL_SHARE / daemons.max(1) as f64;
        self.max_rate = (limit * MAX_SHARE).max(self.base_rate);
        self.set_rate(now, self.rate.clamp(self.base_rate, self.max_rate));
    }

    /// Takes permission for one append.
    ///
    /// # Errors
    ///
    /// The time until permission is available.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        if self.bucket.take(now, 1.0) {
            return Ok(());
        }
        Err(self.bucket.wait(now, 1.0))
    }

    /// Records a confirmed append and raises the rate.
    pub fn record_confirmed(&mut self, now: Duration) {
        self.set_rate(now, (self.rate * GROWTH_FACTOR).min(self.max_rate));
    }

    /// Records an append that was refused or not answered, and resets the rate.
    pub fn record_failure(&mut self, now: Duration) {
        self.set_rate(now, self.base_rate);
    }

    /// Current rate in appends per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn set_rate(&mut self, now: Duration, rate: f64) {
        self.rate = rate;
        self.bucket.adjust(now, rate, rate.max(1.0));
    }
}
