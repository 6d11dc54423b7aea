//! Dossier of one subject: the crashes under it, and what speaks against them.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::{Subject, Verdict};

/// Crashes, apart from each other, after which a part is quarantined.
pub const MIN_EPISODES: usize = 4;

/// The same for a part with which prompts begin, or whose requests were answered
/// before: all replicas may be down for longer than an answer takes.
pub const MIN_EPISODES_OF_POPULAR: usize = 5;

/// The same for a single request, which is more specific than a part.
pub const MIN_EPISODES_OF_REQUEST: usize = 3;

/// The same for a request that was answered before.
const MIN_EPISODES_OF_ANSWERED_REQUEST: usize = 4;

/// Different requests that have to be behind the crashes under a part: what fewer
/// explain is no fault of the part.
pub const MIN_REQUESTS_OF_PART: usize = 3;

/// Time within which crashes count as one. Connections to processes that are
/// killed together break within milliseconds.
const EPISODE_GAP: Duration = Duration::from_millis(50);

/// Time after the last crash of a quarantined part after which one request is
/// admitted. It doubles with each trial that fails.
pub const FIRST_TRIAL: Duration = Duration::from_secs(15);

/// The same for a single request, which fewer callers miss.
pub const FIRST_TRIAL_OF_REQUEST: Duration = Duration::from_secs(30);

/// Maximum time between two trials.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// Number of other processes, ending together with one that ran a request, from which
/// on the cause is taken to be another one.
const MIN_WAVE: usize = 2;

/// Maximum number of crashes in a dossier.
pub(super) const MAX_CRASHES: usize = 16;

/// Whether two processes ended at the same time.
fn is_near(at: Duration, other: Duration) -> bool {
    at.abs_diff(other) < EPISODE_GAP
}

/// End of a process.
#[derive(Clone, Copy, Debug)]
pub(super) struct End {
    pub process: u32,
    pub at: Duration,
}

/// End of a process under a request of the subject.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub process: u32,
    /// See [`super::Suspect::source`].
    pub source: u32,
    pub at: Duration,
}

/// Processes whose end is explained.
#[derive(Debug, Default)]
pub(super) struct Explained {
    by_part: HashSet<u32>,
    /// Short id of the request by process.
    by_request: HashMap<u32, u32>,
}

impl Explained {
    /// Adds the crashes of a quarantined subject.
    pub(super) fn add(&mut self, dossier: &Dossier) {
        let processes = dossier.evidence().map(|crash| crash.process);
        match dossier.subject {
            Subject::Part(_) => self.by_part.extend(processes),
            Subject::Request(fingerprint) => {
                let request = fingerprint.short_hash();
                self.by_request.extend(processes.map(|p| (p, request)));
            }
        }
    }

    fn contains(&self, process: u32) -> bool {
        self.by_part.contains(&process) || self.by_request.contains_key(&process)
    }
}

/// Counts crashes that are independent evidence, visited by time.
#[derive(Debug, Default)]
struct EpisodeCounter {
    /// Start of the current episode.
    begun: Option<Duration>,
    /// Sources of its crashes, if they count each.
    sources: Option<Vec<u32>>,
}

impl EpisodeCounter {
    /// Whether a crash counts. A client makes one attempt after the other, so attempts
    /// at one request under which processes end together are independent; the
    /// requests with a part are not.
    fn counts(&mut self, crash: &Crash) -> bool {
        let begins = self
            .begun
            .is_none_or(|begun| crash.at >= begun + EPISODE_GAP);
        if begins {
            self.begun = Some(crash.at);
        }
        let Some(sources) = &mut self.sources else {
            return begins;
        };
        if begins {
            sources.clear();
        }
        let is_new = !sources.contains(&crash.source);
        sources.push(crash.source);
        begins || is_new
    }
}

#[derive(Debug)]
pub(super) struct Dossier {
    pub subject: Subject,
    /// Crashes by time.
    crashes: Vec<Crash>,
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
    pub(super) fn new(subject: Subject, sound_at: Option<Duration>) -> Self {
        Self {
            subject,
            crashes: Vec::new(),
            sound_at,
            trial_at: None,
            is_first_hand: false,
            is_first_part: false,
            was_quarantined: false,
        }
    }

    /// Adds a crash; returns whether it is news.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_full = self.crashes.len() >= MAX_CRASHES;
        let oldest = self.crashes.first();
        let is_older = oldest.is_some_and(|oldest| crash.at <= oldest.at);
        let is_known = self.crashes.iter().any(|c| c.process == crash.process);
        if is_known || (is_full && is_older) {
            return false;
        }
        if is_full {
            self.crashes.remove(0);
        }
        let position = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(position, crash);
        true
    }

    /// Records a completed answer; returns whether that changes what speaks against
    /// the subject.
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

    fn counter(&self) -> EpisodeCounter {
        EpisodeCounter {
            begun: None,
            sources: self.subject.is_request().then(Vec::new),
        }
    }

    /// Evidence without what another subject explains and without crashes that are part
    /// of a wave among the `ends` of all processes. Parts keep what requests explain.
    fn unexplained<'a>(
        &'a self,
        explained: &'a Explained,
        ends: &'a [End],
    ) -> impl Iterator<Item = &'a Crash> {
        let is_explained = move |crash: &Crash| match self.subject {
            Subject::Request(_) => explained.contains(crash.process) && !self.is_in_herd(crash),
            Subject::Part(_) => explained.by_part.contains(&crash.process),
        };
        self.evidence()
            .filter(move |crash| !is_explained(crash))
            .filter(move |crash| !self.is_in_wave(crash, explained, ends))
    }

    /// Whether a crash was one of several at the same time under different attempts,
    /// which no neighbour of another request makes.
    fn is_in_herd(&self, crash: &Crash) -> bool {
        let near = self.crashes.iter().filter(|c| is_near(c.at, crash.at));
        let attempts: HashSet<u32> = near.map(|c| c.source).collect();
        attempts.len() >= MIN_EPISODES_OF_REQUEST
    }

    /// Number of unexplained episodes.
    pub(super) fn episodes(&self, explained: &Explained, ends: &[End]) -> usize {
        self.count(self.unexplained(explained, ends))
    }

    /// Whether the evidence suffices for a quarantine; against a part, that of
    /// different requests. Against a popular part, the crashes of a convicted request
    /// count as one, and only those before `settled_before` count.
    pub(super) fn is_convicting(
        &self,
        explained: &Explained,
        ends: &[End],
        settled_before: Duration,
    ) -> bool {
        if self.evidence().count() < self.required_episodes() {
            return false;
        }
        let unexplained = self.unexplained(explained, ends);
        let episodes = if self.is_popular_part() {
            // Its requests are everywhere, also beside a convicted one.
            let settled = unexplained.filter(|crash| crash.at <= settled_before);
            let culprit = |crash: &Crash| explained.by_request.get(&crash.process).copied();
            let (of_culprits, others): (Vec<_>, Vec<_>) =
                settled.partition(|crash| culprit(crash).is_some());
            let culprits: HashSet<u32> = of_culprits.into_iter().filter_map(culprit).collect();
            culprits.len() + self.count(others.into_iter())
        } else {
            self.count(unexplained)
        };
        episodes >= self.required_episodes()
            && (self.subject.is_request() || self.has_several_requests(explained, ends))
    }

    /// Number of crashes that are independent evidence.
    fn count<'a>(&self, crashes: impl Iterator<Item = &'a Crash>) -> usize {
        let mut counter = self.counter();
        crashes.filter(|crash| counter.counts(crash)).count()
    }

    /// Whether it is a part of sound requests, as far as is known.
    pub(super) fn is_popular_part(&self) -> bool {
        !self.subject.is_request() && (self.is_first_part || self.sound_at.is_some())
    }

    /// Whether the same processes ended under another subject.
    pub(super) fn has_crashes_of(&self, other: &Self) -> bool {
        let processes = |dossier: &Self| -> HashSet<u32> {
            dossier.evidence().map(|crash| crash.process).collect()
        };
        processes(self) == processes(other)
    }

    /// Whether enough different requests are behind the crashes under a part.
    fn has_several_requests(&self, explained: &Explained, ends: &[End]) -> bool {
        let request = |crash: &Crash| {
            let culprit = explained.by_request.get(&crash.process);
            culprit.copied().unwrap_or(crash.source)
        };
        let requests: HashSet<u32> = self.unexplained(explained, ends).map(request).collect();
        requests.len() >= MIN_REQUESTS_OF_PART
    }

    /// Whether a crash was one of several at the same time whose cause is another one:
    /// for a request, most of the processes were without it.
    fn is_in_wave(&self, crash: &Crash, explained: &Explained, ends: &[End]) -> bool {
        let is_of_subject = |end: &End| self.crashes.iter().any(|c| c.process == end.process);
        let others = ends
            .iter()
            .filter(|end| is_near(end.at, crash.at) && !is_of_subject(end))
            .filter(|end| !explained.contains(end.process))
            .count();
        let own = self.crashes.iter();
        let own = own.filter(|c| is_near(c.at, crash.at)).count();
        others >= MIN_WAVE && (others > own || !self.subject.is_request())
    }

    /// Episodes after which it is quarantined.
    fn required_episodes(&self) -> usize {
        let is_answered = self.sound_at.is_some();
        match self.subject {
            Subject::Request(_) if is_answered => MIN_EPISODES_OF_ANSWERED_REQUEST,
            Subject::Request(_) => MIN_EPISODES_OF_REQUEST,
            Subject::Part(_) if self.is_popular_part() => MIN_EPISODES_OF_POPULAR,
            Subject::Part(_) => MIN_EPISODES,
        }
    }

    /// Crashes for a report: one of each episode, then the others.
    pub(super) fn reported_crashes(&self) -> impl Iterator<Item = &Crash> {
        let mut counter = self.counter();
        let (first, others): (Vec<_>, Vec<_>) =
            self.evidence().partition(|crash| counter.counts(crash));
        first.into_iter().chain(others)
    }

    pub(super) fn last_crash(&self) -> Duration {
        self.crashes.last().map_or(Duration::ZERO, |c| c.at)
    }

    fn first_trial(&self) -> Duration {
        match self.subject {
            Subject::Request(_) => FIRST_TRIAL_OF_REQUEST,
            Subject::Part(_) => FIRST_TRIAL,
        }
    }

    /// Time from the last crash to the next trial. Crashes of failed trials follow the
    /// ones before them after a long time.
    fn trial_interval(&self) -> Duration {
        let first = self.first_trial();
        let crashes = self.crashes.iter().zip(self.crashes.iter().skip(1));
        let failed = crashes.filter(|(before, after)| after.at >= before.at + first);
        MAX_TRIAL_INTERVAL.min(first * (1 << failed.count()))
    }

    pub(super) fn verdict(&self, now: Duration) -> Verdict {
        let last = self.last_crash();
        let quiet_since = self.trial_at.map_or(last, |trial| trial.max(last));
        let crashes = self.evidence().count();
        let trial_at = quiet_since + self.trial_interval();
        Verdict {
            subject: self.subject,
            crashes,
            age: now.saturating_sub(last),
            trial_in: trial_at.saturating_sub(now),
            trial_due_for: now.saturating_sub(trial_at),
        }
    }
}
