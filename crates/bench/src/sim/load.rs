//! Open-loop online load.
//!
//! Arrivals form a Poisson process whose rate follows the shape of one day,
//! compressed into the duration of the run, with a short burst at a fixed
//! interval. The same seed, duration and mean rate give the same arrivals
//! under every policy.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Factor on the arrival rate during a burst.
const BURST_FACTOR: f64 = 3.0;

/// Duration of a burst.
const BURST_DURATION: Duration = Duration::from_secs(5);

/// Interval between the starts of two bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(30);

/// Number of distinct prompt prefixes.
const PREFIXES: u32 = 50;

/// Arrival of an online request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Daemon chosen by the load balancer, as a position from 0 to 1 among all daemons.
    pub daemon: f64,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// Online load of a run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Start times of the bursts.
    pub bursts: Vec<Duration>,
}

impl Load {
    /// Generates the load of a run; `duration` represents a whole day and
    /// `mean_rate` is in requests per second, without the bursts.
    #[must_use]
    pub fn new(seed: u64, duration: Duration, mean_rate: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let bursts: Vec<Duration> = (1..)
            .map(|i| BURST_INTERVAL * i)
            .take_while(|start| *start + BURST_DURATION < duration)
            .collect();
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let rate = rate(at, duration, mean_rate, &bursts);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / rate);
            if at >= duration {
                return Self { arrivals, bursts };
            }
            arrivals.push(Arrival {
                at,
                daemon: rng.random(),
                tokens: rng.random_range(32..256),
                prefix: rng.random_range(0..PREFIXES).into(),
            });
        }
    }

    /// Whether a burst is in progress at a time.
    #[must_use]
    pub fn in_burst(&self, at: Duration) -> bool {
        in_burst(at, &self.bursts)
    }
}

fn in_burst(at: Duration, bursts: &[Duration]) -> bool {
    bursts
        .iter()
        .any(|start| at >= *start && at < *start + BURST_DURATION)
}

/// Arrival rate at a time, in requests per second: lowest at night, rising to a peak at noon,
/// and multiplied during a burst.
fn rate(at: Duration, duration: Duration, mean_rate: f64, bursts: &[Duration]) -> f64 {
    let day = at.as_secs_f64() / duration.as_secs_f64();
    let shape = 1.0 - 0.7 * (std::f64::consts::TAU * day).cos();
    let burst = if in_burst(at, bursts) {
        BURST_FACTOR
    } else {
        1.0
    };
    mean_rate * shape.max(0.1) * burst
}
