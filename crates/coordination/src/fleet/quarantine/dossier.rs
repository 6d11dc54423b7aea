//! Dossier of one prompt part: the crashes under it, and what speaks against them.

use std::collections::HashSet;
use std::time::Duration;

use super::Verdict;
use crate::fleet::prompt::Part;

/// Crashes, apart from each other, after which a part is quarantined.
pub const MIN_EPISODES: usize = 4;

/// The same for a part with which prompts begin, or whose requests were answered
/// before: all replicas may be down for longer than an answer takes.
pub const MIN_EPISODES_OF_POPULAR: usize = 5;

/// Time within which crashes count as one. Connections to processes that are
/// killed together break within milliseconds.
const EPISODE_GAP: Duration = Duration::from_millis(50);

/// Time after the last crash of a quarantined part after which one request is
/// admitted. It doubles with each trial that fails.
pub const FIRST_TRIAL: Duration = Duration::from_secs(15);

/// Maximum time between two trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// Number of other processes, ending together with one that ran a request, from which
/// on the cause is taken to be another one.
const MIN_WAVE: usize = 2;

/// Maximum number of crashes in a dossier.
pub(super) const MAX_CRASHES: usize = 16;

#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub process: u32,
    pub at: Duration,
}

/// Start of the current episode while crashes are visited by time.
#[derive(Debug, Default)]
struct EpisodeCounter {
    begun: Option<Duration>,
}

impl EpisodeCounter {
    /// Whether a crash begins another episode.
    fn begins(&mut self, crash: &Crash) -> bool {
        let is_first = self
            .begun
            .is_none_or(|begun| crash.at >= begun + EPISODE_GAP);
        if is_first {
            self.begun = Some(crash.at);
        }
        is_first
    }
}

#[derive(Debug, Default)]
pub(super) struct Dossier {
    /// Crashes by time.
    pub crashes: Vec<Crash>,
    /// Completion of the latest answer.
    pub sound_at: Option<Duration>,
    /// Start of the latest trial.
    pub trial_at: Option<Duration>,
    /// Whether this daemon had a request at one of the processes.
    pub is_first_hand: bool,
    /// Whether prompts begin with it.
    pub is_first_part: bool,
    /// Whether it was ever quarantined, so that the peers have to learn of its end.
    pub was_quarantined: bool,
}

impl Dossier {
    /// Adds a crash; returns whether it is news.
    pub(super) fn add(&mut self, process: u32, at: Duration) -> bool {
        let is_full = self.crashes.len() >= MAX_CRASHES;
        let is_older = self.crashes.first().is_some_and(|oldest| at <= oldest.at);
        let is_known = self.crashes.iter().any(|c| c.process == process);
        if is_known || (is_full && is_older) {
            return false;
        }
        if is_full {
            self.crashes.remove(0);
        }
        let position = self.crashes.partition_point(|c| c.at <= at);
        self.crashes.insert(position, Crash { process, at });
        true
    }

    /// Records a completed answer; returns whether that changes what speaks against
    /// the part.
    pub(super) fn clear(&mut self, at: Duration) -> bool {
        if self.sound_at.is_some_and(|known| at <= known) {
            return false;
        }
        let is_news = self.sound_at.is_none() || self.evidence().any(|crash| crash.at <= at);
        self.sound_at = Some(at);
        is_news
    }

    /// Crashes after the latest completed answer.
    pub(super) fn evidence(&self) -> impl Iterator<Item = &Crash> {
        let is_valid = |crash: &&Crash| self.sound_at.is_none_or(|sound| crash.at > sound);
        self.crashes.iter().filter(is_valid)
    }

    /// Number of episodes, without crashes of `explained` processes and those that are
    /// part of a wave among the `ends` of all processes.
    pub(super) fn episodes(&self, explained: &HashSet<u32>, ends: &[Crash]) -> usize {
        let mut counter = EpisodeCounter::default();
        self.evidence()
            .filter(|crash| !explained.contains(&crash.process))
            .filter(|crash| !self.is_in_wave(crash, ends))
            .filter(|crash| counter.begins(crash))
            .count()
    }

    /// Whether several processes without a request of the part ended at the same time.
    pub(super) fn is_in_wave(&self, crash: &Crash, ends: &[Crash]) -> bool {
        let is_of_part = |end: &Crash| self.crashes.iter().any(|c| c.process == end.process);
        let others = ends
            .iter()
            .filter(|end| end.at.abs_diff(crash.at) < EPISODE_GAP && !is_of_part(end));
        others.count() >= MIN_WAVE
    }

    /// Episodes after which it is quarantined.
    pub(super) fn required_episodes(&self) -> usize {
        if self.sound_at.is_some() || self.is_first_part {
            MIN_EPISODES_OF_POPULAR
        } else {
            MIN_EPISODES
        }
    }

    /// Crashes for a report: one of each episode, then the others.
    pub(super) fn reported_crashes(&self) -> impl Iterator<Item = &Crash> {
        let mut counter = EpisodeCounter::default();
        let (first, others): (Vec<_>, Vec<_>) =
            self.evidence().partition(|crash| counter.begins(crash));
        first.into_iter().chain(others)
    }

    pub(super) fn last_crash(&self) -> Duration {
        self.crashes.last().map_or(Duration::ZERO, |c| c.at)
    }

    /// Time from the last crash to the next trial. Crashes of failed trials follow the
    /// ones before them after a long time.
    pub(super) fn trial_interval(&self) -> Duration {
        let crashes = self.crashes.iter().zip(self.crashes.iter().skip(1));
        let failed = crashes.filter(|(before, after)| after.at >= before.at + FIRST_TRIAL);
        MAX_TRIAL_INTERVAL.min(FIRST_TRIAL * (1 << failed.count()))
    }

    pub(super) fn verdict(&self, now: Duration, part: Part) -> Verdict {
        let last = self.last_crash();
        let quiet_since = self.trial_at.map_or(last, |trial| trial.max(last));
        let crashes = self.evidence().count();
        let trial_at = quiet_since + self.trial_interval();
        Verdict {
            part,
            crashes,
            age: now.saturating_sub(last),
            trial_in: trial_at.saturating_sub(now),
            trial_due_for: now.saturating_sub(trial_at),
        }
    }
}
