//! Token bucket.

use std::time::Duration;

/// Token bucket over an explicit clock.
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
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl Bucket {
    /// Full bucket with a rate a second and a burst.
    #[must_use]
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: Duration::ZERO,
        }
    }

    /// Changes rate and burst and keeps the level.
    pub fn adjust(&mut self, now: Duration, rate: f64, burst: f64) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes `amount` if it is there.
    pub fn take(&mut self, now: Duration, amount: f64) -> bool {
        self.refill(now);
        let there = self.level >= amount;
        if there {
            self.level -= amount;
        }
        there
    }

    /// Takes `amount` and may go into debt.
    pub fn charge(&mut self, now: Duration, amount: f64) {
        self.refill(now);
        self.level -= amount;
    }

    /// Time until `amount` is there.
    #[must_use]
    pub fn wait(&self, now: Duration, amount: f64) -> Duration {
        let level = self.level_at(now);
        if level >= amount || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((amount - level) / self.rate)
    }

    fn level_at(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        (self.level + passed * self.rate).min(self.burst)
    }

    fn refill(&mut self, now: Duration) {
        self.level = self.level_at(now);
        self.at = self.at.max(now);
    }
}
