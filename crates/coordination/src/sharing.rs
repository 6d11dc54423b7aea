//! Batch slots of one replica.
//!
//! Engines know no priority, so what is not sent is the only priority there
//! is. The owner of a replica learns how many sequences the replica runs within
//! the document's bounds: the number grows by a step while tokens are on time
//! and is cut when one is late. Batch has what online leaves of it, so a burst
//! pushes batch out sequence by sequence, at once. A replica without online is
//! quiet and takes more; the first online sequence there puts the smaller number
//! in force. A reserve stays free, and a new owner starts at zero.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_protocol::id;

/// Time between two steps up.
const STEP: Duration = Duration::from_millis(100);

/// Time after a cut during which late tokens still stem from before it.
const SETTLE: Duration = Duration::from_millis(300);

/// Factor of the slots after a report of a late token.
const LATE_CUT: f64 = 0.5;

/// Factors of the slots between which a cut lies.
const CUT: std::ops::RangeInclusive<f64> = 0.5..=0.95;

/// Time within which tokens stem from the same step of the engine.
const SAME_STEP: Duration = Duration::from_millis(2);

/// Weight of a gap above the mean; the mean then stands for the tail.
const RISE: f64 = 0.1;

/// Weight of a gap below the mean.
const FALL: f64 = 0.02;

/// Time without online use after which a replica is quiet.
const QUIET: Duration = Duration::from_millis(300);

/// Share of the time between tokens that batch fills on a quiet replica.
const QUIET_SHARE: f64 = 0.95;

/// Time after which a daemon's report of use counts for nothing.
const STALE: Duration = Duration::from_secs(5);

/// Bounds of the slots, from the document.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Sequences that the replica runs at once.
    pub max_sequences: u32,
    /// Sequences kept free for a burst.
    pub reserve: u32,
    /// Time to first token that online allows.
    pub ttft: Duration,
    /// Time between tokens that online allows.
    pub itl: Duration,
    /// Weight of batch throughput, 0 to 1.
    pub batch_weight: f64,
}

impl Bounds {
    /// Share of a replica's sequences that online fills before it goes on to
    /// another one.
    #[must_use]
    pub fn fill(batch_weight: f64) -> f64 {
        0.27 + 0.4 * batch_weight
    }

    /// Share of the time between tokens that batch may fill.
    fn itl_target(&self) -> Duration {
        self.itl.mul_f64(0.39 + 0.48 * self.batch_weight)
    }

    fn ttft_target(&self) -> Duration {
        self.ttft.mul_f64(0.5 + 0.4 * self.batch_weight)
    }

    fn step(&self) -> f64 {
        0.5 + 1.5 * self.batch_weight
    }
}

#[derive(Clone, Copy, Debug)]
struct Use {
    running: u32,
    at: Duration,
}

/// Batch slots of one replica at its owner.
#[derive(Clone, Debug)]
pub struct Sharing {
    bounds: Bounds,
    /// Sequences learned while online runs, and while it does not.
    total: f64,
    quiet: f64,
    busy_at: Duration,
    stepped: Duration,
    cut_at: Option<Duration>,
    gap: Duration,
    sampled: Duration,
    online: HashMap<id::Daemon, Use>,
}

impl Sharing {
    /// Slots of a new owner: none yet.
    #[must_use]
    pub fn new(now: Duration, bounds: Bounds) -> Self {
        Self {
            bounds,
            total: 0.0,
            quiet: 0.0,
            busy_at: now,
            stepped: now,
            cut_at: None,
            gap: Duration::ZERO,
            sampled: Duration::ZERO,
            online: HashMap::new(),
        }
    }

    /// Takes new bounds and keeps what was learned.
    pub fn configure(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Notes a daemon's online use of the replica.
    pub fn online(&mut self, now: Duration, daemon: &id::Daemon, running: u32, late: bool) {
        if running > 0 {
            self.busy_at = now;
        }
        self.online.insert(daemon.clone(), Use { running, at: now });
        if late {
            self.cut(now, LATE_CUT);
        }
    }

    /// Notes the time between two tokens of any sequence on the replica.
    pub fn token(&mut self, now: Duration, gap: Duration) {
        // All sequences get their token in one step of the engine; one speaks for it.
        if now.saturating_sub(self.sampled) < SAME_STEP {
            return;
        }
        self.sampled = now;
        let weight = if gap > self.gap { RISE } else { FALL };
        self.gap = self.gap.mul_f64(1.0 - weight) + gap.mul_f64(weight);
        let target = self.target(now);
        if self.gap > target {
            self.cut(now, target.as_secs_f64() / self.gap.as_secs_f64());
        }
    }

    /// Notes the time to the first token of an online sequence.
    pub fn first(&mut self, now: Duration, ttft: Duration) {
        if ttft > self.bounds.ttft_target() {
            self.cut(now, LATE_CUT);
        }
    }

    /// Batch sequences allowed now.
    pub fn allowed(&mut self, now: Duration) -> u32 {
        self.step_up(now);
        self.batch_room(now)
    }

    fn batch_room(&self, now: Duration) -> u32 {
        let online = self.online_running(now);
        let total = if self.is_quiet(now) {
            self.quiet
        } else {
            self.total
        };
        let learned = (total as u32).saturating_sub(online);
        learned.min(self.room(online))
    }

    fn is_quiet(&self, now: Duration) -> bool {
        self.online_running(now) == 0 && now.saturating_sub(self.busy_at) >= QUIET
    }

    fn target(&self, now: Duration) -> Duration {
        if self.is_quiet(now) {
            self.bounds.itl.mul_f64(QUIET_SHARE)
        } else {
            self.bounds.itl_target()
        }
    }

    /// Online sequences that daemons but one reported.
    #[must_use]
    pub fn others(&self, now: Duration, daemon: &id::Daemon) -> u32 {
        self.reports(now)
            .filter(|(of, _)| *of != daemon)
            .map(|(_, running)| running)
            .sum()
    }

    fn reports(&self, now: Duration) -> impl Iterator<Item = (&id::Daemon, u32)> {
        self.online
            .iter()
            .filter(move |(_, report)| now.saturating_sub(report.at) < STALE)
            .map(|(of, report)| (of, report.running))
    }

    /// Online sequences that daemons reported.
    #[must_use]
    pub fn online_running(&self, now: Duration) -> u32 {
        self.reports(now).map(|(_, running)| running).sum()
    }

    fn room(&self, online: u32) -> u32 {
        let taken = self.bounds.reserve + online;
        self.bounds.max_sequences.saturating_sub(taken)
    }

    /// Whether late tokens may still stem from before the last cut.
    fn is_settling(&self, now: Duration) -> bool {
        self.cut_at
            .is_some_and(|at| now.saturating_sub(at) < SETTLE)
    }

    fn step_up(&mut self, now: Duration) {
        if self.is_settling(now) || now.saturating_sub(self.stepped) < STEP {
            return;
        }
        // A gap well below its bound leaves room for larger steps.
        let headroom = 1.0 - self.gap.as_secs_f64() / self.target(now).as_secs_f64();
        let near = match headroom {
            headroom if headroom > 0.25 => 2.0,
            headroom if headroom > 0.08 => 0.5,
            _ => 0.0,
        };
        self.stepped = now;
        let most = f64::from(self.bounds.max_sequences);
        let step = self.bounds.step() * near;
        if self.is_quiet(now) {
            self.quiet = (self.quiet.max(self.total) + step).min(most);
        } else {
            self.quiet = self.total;
            self.total = (self.total + step).min(most);
        }
    }

    /// Cuts the sequences by a factor, once for what one cause made late.
    fn cut(&mut self, now: Duration, factor: f64) {
        // What online alone makes late is not for batch to mend.
        if self.is_settling(now) || self.batch_room(now) == 0 {
            return;
        }
        self.cut_at = Some(now);
        let factor = factor.clamp(*CUT.start(), *CUT.end());
        if self.is_quiet(now) {
            self.quiet *= factor;
        } else {
            self.total *= factor;
        }
        self.gap = self.gap.min(self.target(now));
    }
}
