//! Token bucket rate limiter.

use std::time::Duration;

/// Token bucket with an explicit clock.
///
/// ```
/// use std::time::Duration;
/// use bitterncart_coordination::Bucket;
///
/// let mut bucket = Bucket::new(10.0, 1.0);
/// assert!(bucket.take(Duration::ZERO, 1.0));
/// assert!(!bucket.take(Duration::ZERO, 1.0));
/// assert!(bucket.take(Duration::from_millis(100), 1.0));
/// ```
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    last_refill: Duration,
}

impl Bucket {
    /// Full bucket that refills at `rate_per_s` up to `burst`.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            last_refill: Duration::ZERO,
        }
    }

    /// Changes rate and burst and keeps the level, capped at the new burst.
    pub fn adjust(&mut self, now: Duration, rate_per_s: f64, burst: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `amount` if it is available; returns whether it was.
    pub fn take(&mut self, now: Duration, amount: f64) -> bool {
        self.refill(now);
        let is_available = self.level >= amount;
        if is_available {
            self.level -= amount;
        }
        is_available
    }

    /// Takes `amount` unconditionally; the level may become negative.
    pub fn charge(&mut self, now: Duration, amount: f64) {
        self.refill(now);
        self.level -= amount;
    }

    /// Time until `amount` is available; zero if the rate is zero.
    #[must_use]
    pub fn wait(&self, now: Duration, amount: f64) -> Duration {
        let level = self.level_at(now);
        if level >= amount || self.rate_per_s <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((amount - level) / self.rate_per_s)
    }

    fn level_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.last_refill).as_secs_f64();
        (self.level + elapsed * self.rate_per_s).min(self.burst)
    }

    fn refill(&mut self, now: Duration) {
        self.level = self.level_at(now);
        self.last_refill = self.last_refill.max(now);
    }
}
