//! Open-loop online load: the shape of a day, and bursts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Factor of a burst.
const BURST: f64 = 3.0;

/// Length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(5);

/// Time between the starts of two bursts.
const BURST_EVERY: Duration = Duration::from_secs(30);

/// Prompts that share a prefix.
const TOPICS: u32 = 50;

/// Online request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When it arrives.
    pub at: Duration,
    /// Daemon that the balancer picks, as a share of all.
    pub daemon: f64,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
}

/// Online load of one run.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests by time.
    pub arrivals: Vec<Arrival>,
    /// Starts of the bursts.
    pub bursts: Vec<Duration>,
}

impl Load {
    /// Load of a mean rate over a time; the time stands for a whole day.
    #[must_use]
    pub fn new(seed: u64, length: Duration, per_s: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let bursts: Vec<Duration> = (1..)
            .map(|i| BURST_EVERY * i)
            .take_while(|start| *start + BURST_LENGTH < length)
            .collect();
        let mut arrivals = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            let rate = rate(at, length, per_s, &bursts);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-uniform.ln() / rate);
            if at >= length {
                return Self { arrivals, bursts };
            }
            arrivals.push(Arrival {
                at,
                daemon: rng.random(),
                tokens: rng.random_range(32..256),
                prefix: rng.random_range(0..TOPICS).into(),
            });
        }
    }

    /// Whether a time lies in a burst.
    #[must_use]
    pub fn in_burst(&self, at: Duration) -> bool {
        in_burst(at, &self.bursts)
    }
}

fn in_burst(at: Duration, bursts: &[Duration]) -> bool {
    bursts
        .iter()
        .any(|start| at >= *start && at < *start + BURST_LENGTH)
}

/// Night, a morning rise, a long noon and an evening fall, times the bursts.
fn rate(at: Duration, length: Duration, per_s: f64, bursts: &[Duration]) -> f64 {
    let day = at.as_secs_f64() / length.as_secs_f64();
    let shape = 1.0 - 0.7 * (std::f64::consts::TAU * day).cos();
    let burst = if in_burst(at, bursts) { BURST } else { 1.0 };
    per_s * shape.max(0.1) * burst
}
