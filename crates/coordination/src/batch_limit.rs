//! Limits the batch sequences of one replica so that online latency holds.
//!
//! Engines have no priorities, so batch can only be limited before it is sent. The
//! owner of a replica adapts the total of concurrent sequences by additive
//! increase and multiplicative decrease: the limit grows in steps while tokens are
//! on time and is cut when one is late. Batch gets what online leaves of this
//! limit, and never the reserve kept free for bursts, so a burst of online requests
//! preempts batch immediately, sequence by sequence. A replica without online is
//! idle and has a higher limit of its own; from the first online sequence on, the
//! lower limit applies again. A new owner starts with a limit of zero.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_protocol::id;

/// Minimum time between two increases of the limit.
const INCREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a cut in which late tokens may still be an effect of the load before it.
const CUT_COOLDOWN: Duration = Duration::from_millis(300);

/// Factor on the limit after a late token was reported.
const LATE_CUT_FACTOR: f64 = 0.5;

/// Range of the factor that one cut applies to the limit.
const CUT_FACTORS: std::ops::RangeInclusive<f64> = 0.5..=0.95;

/// Time within which tokens belong to the same engine step.
const ENGINE_STEP: Duration = Duration::from_millis(2);

/// Weight of a sample above the moving average. It exceeds the weight of lower
/// samples, so that the average follows the tail of the distribution.
const RISE_WEIGHT: f64 = 0.1;

/// Weight of a sample below the moving average.
const FALL_WEIGHT: f64 = 0.02;

/// Time without online sequences after which a replica counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(300);

/// Share of the allowed inter-token latency that batch may use on an idle replica.
const IDLE_ITL_SHARE: f64 = 0.95;

/// Maximum age of a daemon's report of online sequences.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);

/// Limits of one replica, from the configuration document.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum concurrent sequences of the replica.
    pub max_sequences: u32,
    /// Sequences kept free for bursts of online requests.
    pub reserve: u32,
    /// Objective of the time to first token (TTFT) of online requests.
    pub ttft: Duration,
    /// Objective of the inter-token latency (ITL) of online requests.
    pub itl: Duration,
    /// Weight of batch throughput against online latency, 0 to 1.
    pub batch_weight: f64,
}

impl Bounds {
    /// Share of a replica's sequences that online fills before it uses the next
    /// replica.
    #[must_use]
    pub fn online_fill_share(batch_weight: f64) -> f64 {
        0.27 + 0.4 * batch_weight
    }

    /// ITL up to which the limit may grow while online runs.
    fn itl_target(&self) -> Duration {
        self.itl.mul_f64(0.39 + 0.48 * self.batch_weight)
    }

    /// TTFT above which the limit is cut.
    fn ttft_target(&self) -> Duration {
        self.ttft.mul_f64(0.5 + 0.4 * self.batch_weight)
    }

    /// Base increase of the limit, in sequences.
    fn base_increase(&self) -> f64 {
        0.5 + 1.5 * self.batch_weight
    }
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    running: u32,
    reported: Duration,
}

/// Adaptive batch limit of one replica, kept by its owner.
#[derive(Clone, Debug)]
pub struct Limiter {
    bounds: Bounds,
    /// Limit of all sequences, batch and online, while online sequences run.
    busy_limit: f64,
    /// Limit of all sequences while the replica is idle.
    idle_limit: f64,
    last_online: Duration,
    last_increase: Duration,
    last_cut: Option<Duration>,
    /// Moving average of the ITL, weighted towards high samples.
    mean_itl: Duration,
    last_sample: Duration,
    usage: HashMap<id::Daemon, Usage>,
}

impl Limiter {
    /// State of a new owner, with limits of zero.
    #[must_use]
    pub fn new(now: Duration, bounds: Bounds) -> Self {
        Self {
            bounds,
            busy_limit: 0.0,
            idle_limit: 0.0,
            last_online: now,
            last_increase: now,
            last_cut: None,
            mean_itl: Duration::ZERO,
            last_sample: Duration::ZERO,
            usage: HashMap::new(),
        }
    }

    /// Replaces the bounds and keeps the learned limits.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Records a daemon's online sequences on the replica; `late` cuts the limit.
    pub fn record_online(&mut self, now: Duration, daemon: &id::Daemon, running: u32, late: bool) {
        if running > 0 {
            self.last_online = now;
        }
        self.usage.insert(
            daemon.clone(),
            Usage {
                running,
                reported: now,
            },
        );
        if late {
            self.cut(now, LATE_CUT_FACTOR);
        }
    }

    /// Records the time between two tokens of any sequence on the replica.
    pub fn record_itl(&mut self, now: Duration, gap: Duration) {
        // An engine step yields a token for every sequence; one sample per step is enough.
        if now.saturating_sub(self.last_sample) < ENGINE_STEP {
            return;
        }
        self.last_sample = now;
        let weight = if gap > self.mean_itl {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.mean_itl = self.mean_itl.mul_f64(1.0 - weight) + gap.mul_f64(weight);
        let target = self.itl_target(now);
        if self.mean_itl > target {
            self.cut(now, target.as_secs_f64() / self.mean_itl.as_secs_f64());
        }
    }

    /// Records the TTFT of an online sequence.
    pub fn record_ttft(&mut self, now: Duration, ttft: Duration) {
        if ttft > self.bounds.ttft_target() {
            self.cut(now, LATE_CUT_FACTOR);
        }
    }

    /// Maximum batch sequences now; may first increase the limit.
    pub fn batch_limit(&mut self, now: Duration) -> u32 {
        self.increase(now);
        self.current_limit(now)
    }

    fn current_limit(&self, now: Duration) -> u32 {
        let online = self.online_running(now);
        let limit = if self.is_idle(now) {
            self.idle_limit
        } else {
            self.busy_limit
        };
        let learned = (limit as u32).saturating_sub(online);
        learned.min(self.unreserved(online))
    }

    fn is_idle(&self, now: Duration) -> bool {
        self.online_running(now) == 0 && now.saturating_sub(self.last_online) >= IDLE_AFTER
    }

    fn itl_target(&self, now: Duration) -> Duration {
        if self.is_idle(now) {
            self.bounds.itl.mul_f64(IDLE_ITL_SHARE)
        } else {
            self.bounds.itl_target()
        }
    }

    /// Online sequences reported by all daemons except `daemon`.
    #[must_use]
    pub fn online_except(&self, now: Duration, daemon: &id::Daemon) -> u32 {
        self.reports(now)
            .filter(|(reporter, _)| *reporter != daemon)
            .map(|(_, running)| running)
            .sum()
    }

    fn reports(&self, now: Duration) -> impl Iterator<Item = (&id::Daemon, u32)> {
        self.usage
            .iter()
            .filter(move |(_, usage)| now.saturating_sub(usage.reported) < REPORT_MAX_AGE)
            .map(|(daemon, usage)| (daemon, usage.running))
    }

    /// Online sequences reported by all daemons.
    #[must_use]
    pub fn online_running(&self, now: Duration) -> u32 {
        self.reports(now).map(|(_, running)| running).sum()
    }

    /// Sequences that neither online nor the reserve takes.
    fn unreserved(&self, online: u32) -> u32 {
        let taken = self.bounds.reserve + online;
        self.bounds.max_sequences.saturating_sub(taken)
    }

    /// Whether late tokens may still be an effect of the load before the last cut.
    fn is_cooling_down(&self, now: Duration) -> bool {
        self.last_cut
            .is_some_and(|at| now.saturating_sub(at) < CUT_COOLDOWN)
    }

    /// Raises the limit if the interval has elapsed and the ITL has headroom.
    fn increase(&mut self, now: Duration) {
        if self.is_cooling_down(now) || now.saturating_sub(self.last_increase) < INCREASE_INTERVAL {
            return;
        }
        // An ITL far below its target allows larger increases.
        let headroom = 1.0 - self.mean_itl.as_secs_f64() / self.itl_target(now).as_secs_f64();
        let factor = match headroom {
            headroom if headroom > 0.25 => 2.0,
            headroom if headroom > 0.08 => 0.5,
            _ => 0.0,
        };
        self.last_increase = now;
        let max = f64::from(self.bounds.max_sequences);
        let increase = self.bounds.base_increase() * factor;
        if self.is_idle(now) {
            self.idle_limit = (self.idle_limit.max(self.busy_limit) + increase).min(max);
        } else {
            self.idle_limit = self.busy_limit;
            self.busy_limit = (self.busy_limit + increase).min(max);
        }
    }

    /// Multiplies the limit by a factor, at most once per cooldown, so that one
    /// overload does not cut it several times.
    fn cut(&mut self, now: Duration, factor: f64) {
        // If batch has no room, online alone causes the latency and a cut would not help.
        if self.is_cooling_down(now) || self.current_limit(now) == 0 {
            return;
        }
        self.last_cut = Some(now);
        let factor = factor.clamp(*CUT_FACTORS.start(), *CUT_FACTORS.end());
        if self.is_idle(now) {
            self.idle_limit *= factor;
        } else {
            self.busy_limit *= factor;
        }
        self.mean_itl = self.mean_itl.min(self.itl_target(now));
    }
}
