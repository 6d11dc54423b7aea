//! Online load of a service in the last seconds.
//!
//! Batch items take the slots that online requests leave free. The load at which a slot
//! was wanted before shows how long it will stay free. Nothing is assumed about the
//! length or the regularity of a rhythm, and what is older than [`WINDOW`] is forgotten.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which the load is remembered. It covers two troughs of 3.4 s and the peak
/// of 2.4 s between them.
pub const WINDOW: Duration = Duration::from_secs(10);

/// Time over which the load is averaged for one sample.
const SAMPLE: Duration = Duration::from_millis(100);

/// Samples that are averaged to compare peak and trough.
const SAMPLES_PER_MEAN: usize = 10;

/// Least ratio of peak to trough in a rhythm.
const MIN_RHYTHM_RATIO: f64 = 1.5;

/// Least difference between peak and trough in a rhythm, in square roots of the mean.
/// Steady random arrivals that hold their slots for 0.5 s stay below it.
const MIN_RHYTHM_DEVIATIONS: f64 = 4.5;

/// Average of the observations in progress.
#[derive(Clone, Copy, Debug, Default)]
struct Sampling {
    /// Number of the interval of [`SAMPLE`] since time zero.
    interval: u128,
    sum: f64,
    count: u32,
}

/// Concurrent online requests of one service over the last [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Averages of successive intervals, newest first.
    samples: VecDeque<f64>,
    sampling: Option<Sampling>,
}

impl Demand {
    /// Records the number of concurrent online requests.
    pub fn observe(&mut self, now: Duration, online: u32) {
        let interval = now.as_millis() / SAMPLE.as_millis();
        let capacity = (WINDOW.as_millis() / SAMPLE.as_millis()) as usize;
        let sampling = self.sampling.get_or_insert(Sampling {
            interval,
            ..Sampling::default()
        });
        if interval > sampling.interval {
            let mean = sampling.sum / f64::from(sampling.count.max(1));
            // Intervals without an observation, as the process was suspended, count
            // like the last one before them.
            let elapsed = (interval - sampling.interval).min(capacity as u128) as usize;
            for _ in 0..elapsed {
                self.samples.push_front(mean);
            }
            self.samples.truncate(capacity);
            *sampling = Sampling {
                interval,
                ..Sampling::default()
            };
        }
        sampling.sum += f64::from(online);
        sampling.count += 1;
    }

    /// Whether peak and trough differ by more than random arrivals explain. It takes
    /// half of the window to say so.
    #[must_use]
    pub fn has_rhythm(&self) -> bool {
        let all: Vec<f64> = self.samples.iter().copied().collect();
        let means: Vec<f64> = all
            .chunks_exact(SAMPLES_PER_MEAN)
            .map(|chunk| chunk.iter().sum::<f64>() / SAMPLES_PER_MEAN as f64)
            .collect();
        let seen = (WINDOW.as_millis() / SAMPLE.as_millis()) as usize / SAMPLES_PER_MEAN;
        if means.len() * 2 < seen {
            return false;
        }
        let peak = means.iter().copied().fold(0.0, f64::max);
        let trough = means.iter().copied().fold(f64::INFINITY, f64::min);
        let mean = means.iter().sum::<f64>() / means.len() as f64;
        peak >= MIN_RHYTHM_RATIO * trough
            && peak - trough >= MIN_RHYTHM_DEVIATIONS * mean.max(1.0).sqrt()
    }

    /// Highest load below which the `quantile` of the samples is; 0 if there are none.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let rank = (quantile * sorted.len() as f64) as usize;
        let last = sorted.len().saturating_sub(1);
        sorted.get(rank.min(last)).copied().unwrap_or(0.0)
    }

    /// Expected time until the load reaches `level` again; `None` if it did not within
    /// the window.
    ///
    /// It is the median of what followed in the spells below the level that lasted longer
    /// than the present one. If all were shorter, the rise is expected now; once the
    /// present one is twice as long as any, the rhythm is taken to have changed, and
    /// the spell to last as long again.
    #[must_use]
    pub fn time_until(&self, level: f64) -> Option<Duration> {
        let mut spells = self.samples.iter().fold(vec![0_u32], |mut spells, load| {
            match spells.last_mut() {
                Some(length) if *load < level => *length += 1,
                _ => spells.push(0),
            }
            spells
        });
        if spells.len() == 1 {
            return None;
        }
        let present = spells.remove(0);
        if present == 0 {
            return Some(Duration::ZERO);
        }
        // The oldest spell began before the window, so it was longer than is known.
        let oldest = spells.pop().unwrap_or(0);
        if spells.iter().all(|spell| *spell == 0) {
            spells.push(oldest);
        }
        let mut longer: Vec<u32> = spells.iter().copied().filter(|s| *s > present).collect();
        longer.sort_unstable();
        let longest = spells.iter().copied().max().unwrap_or(0);
        let samples = match longer.get(longer.len().saturating_sub(1) / 2) {
            Some(length) => length - present,
            None if present > 2 * longest => present,
            None => 0,
        };
        Some(SAMPLE * samples)
    }
}
