//! Quarantine of requests that crash replicas.
//!
//! A request can crash the replica that begins to answer it, again at each
//! replica to which it or a similar request is sent (a query of death). What the
//! requests under which processes end have in common is a [`Subject`]: a client
//! repeats one request, or different requests share a part of their prompts. A
//! replica runs requests of several daemons when it ends, most of them innocent, so
//! one crash tells little. Each daemon keeps a dossier of the subjects under which
//! processes have ended, and the daemons exchange their dossiers in heartbeats:
//!
//! - An answer that is completed after a crash, or written for a second, shows that
//!   its request and parts are sound, which voids the evidence against them. Popular
//!   parts are cleared within milliseconds; a query of death never is. A sound part
//!   does not clear the requests that have it.
//! - Crashes at the same time count as one, and as none if processes without such a
//!   request end with them, as a rack or data centre fails as a whole.
//! - A crash is explained by one subject. Requests are convicted first, as they are
//!   more specific: what one or two of them explain is no evidence against their
//!   parts. Of the parts, the one with the most evidence is convicted first, those
//!   with which prompts begin last. What a convicted part explains is no evidence
//!   against the requests that have it.
//! - Batch items are no subjects of their own.
//!
//! A subject with enough unexplained crashes is quarantined: its requests are
//! refused. Every daemon derives this from the same evidence, also one that
//! has seen no crash. The subject may be innocent, or the cause may have been removed
//! meanwhile, by new weights for example, so after a time without a crash one
//! daemon admits one request: its answer ends the quarantine, another crash renews it
//! for twice the time.

mod dossier;
mod report;
mod subject;
mod suspect;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use self::dossier::{Crash, Dossier, End, Explained, MAX_CRASHES};
use super::profile::Profile;
use super::recent::Recent;

pub use self::dossier::{
    FIRST_TRIAL, FIRST_TRIAL_OF_REQUEST, MIN_EPISODES, MIN_EPISODES_OF_POPULAR,
    MIN_EPISODES_OF_REQUEST, MIN_REQUESTS_OF_PART,
};
pub use self::report::{Digest, Report, ReportedCrash, ReportedEnd};
pub use self::subject::Subject;
pub use self::suspect::{Suspect, Writing};

/// Maximum number of ended processes that are remembered.
const MAX_ENDS: usize = 256;

/// Maximum number of ended processes in a heartbeat.
const MAX_REPORTED_ENDS: usize = 16;

/// Time for which the end of a process is reported.
const REPORTED_ENDS_TTL: Duration = Duration::from_secs(5);

/// Time after which a crash no longer counts against a subject that is not
/// quarantined.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a completed answer is remembered: as long as a crash before it may
/// count that this daemon has not heard of yet.
const SOUND_TTL: Duration = EVIDENCE_TTL;

/// Time after its last crash for which evidence against a request that is not
/// quarantined is reported; by then all daemons have it.
const REQUEST_REPORT_TTL: Duration = Duration::from_secs(10);

/// Time after a crash for which daemons are told that the subject is sound.
const OBJECTION_TTL: Duration = Duration::from_secs(10);

/// Time after which crashes count against a popular part. By then the daemons have heard what
/// the others know: which request explains them, and which parts were answered since.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// Maximum number of dossiers, as clients choose what they send.
const MAX_DOSSIERS: usize = 512;

/// Maximum number of parts that are remembered as sound.
const MAX_SOUND_PARTS: usize = 8192;

/// Maximum number of requests that are remembered as sound. Few are repeated.
const MAX_SOUND_REQUESTS: usize = 1024;

/// Maximum number of dossiers in a heartbeat, and of objections.
const MAX_REPORTS: usize = 12;

/// Maximum number of crashes in all reports of a heartbeat.
const MAX_REPORTED_CRASHES: usize = 48;

/// Why a subject is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Request or part.
    pub subject: Subject,
    /// Processes that ended under it.
    pub crashes: usize,
    /// Time since the last of them ended.
    pub age: Duration,
    /// Time until a request is admitted again; zero if a trial is due.
    pub trial_in: Duration,
    /// Time for which a trial has been due.
    pub trial_due_for: Duration,
}

/// Subjects whose quarantine began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Subjects that are quarantined now.
    pub begun: Vec<Verdict>,
    /// Subjects that are no longer quarantined.
    pub ended: Vec<Subject>,
}

/// Dossiers of all subjects under which processes have ended.
#[derive(Debug)]
pub struct Quarantine {
    dossiers: HashMap<Subject, Dossier>,
    quarantined: HashSet<Subject>,
    /// Recently completed answers.
    sound_parts: Recent<Subject, ()>,
    sound_requests: Recent<Subject, ()>,
    /// Ends of processes by the time at which this daemon learned of them.
    ends: VecDeque<End>,
    /// Time at which evidence has settled that did not count yet.
    settles_at: Option<Duration>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            dossiers: HashMap::new(),
            quarantined: HashSet::new(),
            sound_parts: Recent::with_capacity(MAX_SOUND_PARTS),
            sound_requests: Recent::with_capacity(MAX_SOUND_REQUESTS),
            ends: VecDeque::new(),
            settles_at: None,
        }
    }
}

impl Quarantine {
    /// Records that a process ended at `at` under requests with these subjects.
    pub fn record_crash(
        &mut self,
        now: Duration,
        process: u32,
        at: Duration,
        suspects: &[Suspect],
    ) -> Change {
        self.add_end(process, at);
        for suspect in suspects {
            let dossier = self.dossier(suspect.subject);
            dossier.add(Crash {
                process,
                source: suspect.source,
                at,
            });
            dossier.is_first_hand = true;
            dossier.is_first_part |= suspect.is_first;
        }
        self.judge(now)
    }

    /// Records a completed answer to a request.
    pub fn record_sound(&mut self, now: Duration, profile: &Profile) -> Change {
        let mut is_news = false;
        for subject in Subject::of_profile(profile) {
            self.answers_mut(subject).insert(now, subject, ());
            let dossier = self.dossiers.get_mut(&subject);
            is_news |= dossier.is_some_and(|dossier| dossier.clear(now));
        }
        if is_news {
            self.judge(now)
        } else {
            Change::default()
        }
    }

    fn answers_mut(&mut self, subject: Subject) -> &mut Recent<Subject, ()> {
        match subject {
            Subject::Request(_) => &mut self.sound_requests,
            Subject::Part(_) => &mut self.sound_parts,
        }
    }

    /// Records the end of a process; returns whether that is news.
    fn add_end(&mut self, process: u32, at: Duration) -> bool {
        if self.ends.iter().any(|end| end.process == process) {
            return false;
        }
        if self.ends.len() >= MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(End { process, at });
        true
    }

    /// Adds what a peer reports.
    pub fn merge(&mut self, now: Duration, digest: &Digest) -> Change {
        let time = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let mut is_news = false;
        for end in digest.ends.iter().take(MAX_REPORTED_ENDS) {
            is_news |= self.add_end(end.process, time(end.age_ms));
        }
        for report in &digest.reports {
            let crashes = report.crashes.iter().take(MAX_CRASHES);
            let dossier = match self.dossiers.get_mut(&report.subject) {
                Some(dossier) => dossier,
                None if report.crashes.is_empty() => continue,
                None => self.dossier(report.subject),
            };
            dossier.is_first_part |= report.is_first;
            for crash in crashes {
                is_news |= dossier.add(Crash {
                    process: crash.process,
                    source: crash.source,
                    at: time(crash.age_ms),
                });
            }
            if let Some(age_ms) = report.sound_ms {
                is_news |= dossier.clear(time(age_ms));
            }
        }
        if is_news {
            self.judge(now)
        } else {
            Change::default()
        }
    }

    /// Verdict on a request: of its quarantined subjects, the one with the latest trial.
    #[must_use]
    pub fn verdict(&self, now: Duration, profile: &Profile) -> Option<Verdict> {
        if self.quarantined.is_empty() {
            return None;
        }
        Subject::of_profile(profile)
            .filter(|subject| self.quarantined.contains(subject))
            .filter_map(|subject| Some(self.dossiers.get(&subject)?.verdict(now)))
            .max_by_key(|verdict| (verdict.trial_in, Reverse(verdict.trial_due_for)))
    }

    /// Starts a trial of a quarantined subject; `false` if none is due.
    pub fn start_trial(&mut self, now: Duration, subject: Subject) -> bool {
        let dossier = self.dossiers.get_mut(&subject);
        match dossier.filter(|dossier| dossier.verdict(now).trial_in.is_zero()) {
            Some(dossier) => {
                dossier.trial_at = Some(now);
                true
            }
            None => false,
        }
    }

    /// What the peers should know: the strongest evidence, and objections to
    /// evidence against subjects that are sound.
    #[must_use]
    pub fn digest(&self, now: Duration) -> Digest {
        let age_ms =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let ends = self.ends.as_slices();
        let (explained, ends) = (self.explained(), &[ends.0, ends.1].concat());
        let mut ranked: Vec<_> = self
            .dossiers
            .values()
            .filter(|dossier| self.is_reported(now, dossier, &explained, ends))
            .map(|dossier| {
                let is_quarantined = self.quarantined.contains(&dossier.subject);
                let episodes = dossier.episodes(&explained, ends);
                let rank = (is_quarantined, episodes, dossier.is_first_hand);
                (rank, dossier.last_crash(), dossier.subject, dossier)
            })
            .collect();
        ranked.sort_unstable_by_key(|(rank, last, subject, _)| Reverse((*rank, *last, *subject)));
        let mut budget = MAX_REPORTED_CRASHES;
        let evidence = ranked.into_iter().map(|(_, _, subject, dossier)| Report {
            subject,
            is_first: dossier.is_first_part,
            crashes: dossier
                .reported_crashes()
                .take_while(|_| {
                    let is_within = budget > 0;
                    budget = budget.saturating_sub(1);
                    is_within
                })
                .map(|crash| ReportedCrash {
                    process: crash.process,
                    source: crash.source,
                    age_ms: age_ms(crash.at),
                })
                .collect(),
            sound_ms: None,
        });
        let mut cleared: Vec<_> = self
            .dossiers
            .iter()
            .filter(|(_, dossier)| {
                dossier.was_quarantined || now.saturating_sub(dossier.last_crash()) < OBJECTION_TTL
            })
            .filter_map(|(subject, dossier)| {
                Some((dossier.last_crash(), *subject, dossier.sound_at?))
            })
            .collect();
        cleared.sort_unstable_by_key(|(last, subject, _)| Reverse((*last, *subject)));
        let objections = cleared.into_iter().map(|(_, subject, sound_at)| Report {
            subject,
            is_first: false,
            crashes: Vec::new(),
            sound_ms: Some(age_ms(sound_at)),
        });
        let recent_ends = self.ends.iter().rev();
        let recent_ends = recent_ends.filter(|end| now.saturating_sub(end.at) < REPORTED_ENDS_TTL);
        Digest {
            ends: recent_ends
                .take(MAX_REPORTED_ENDS)
                .map(|end| ReportedEnd {
                    process: end.process,
                    age_ms: age_ms(end.at),
                })
                .collect(),
            reports: evidence
                .take(MAX_REPORTS)
                .chain(objections.take(MAX_REPORTS))
                .collect(),
        }
    }

    /// Whether the peers should know the evidence against a subject. What a wave or a part
    /// seems to explain here may not be explained by the evidence of all daemons, so that
    /// against a request is reported whatever explains it, for a short time.
    fn is_reported(
        &self,
        now: Duration,
        dossier: &Dossier,
        explained: &Explained,
        ends: &[End],
    ) -> bool {
        match dossier.subject {
            subject if self.quarantined.contains(&subject) => true,
            Subject::Request(_) => {
                let is_recent = now.saturating_sub(dossier.last_crash()) < REQUEST_REPORT_TTL;
                is_recent && dossier.evidence().next().is_some()
            }
            Subject::Part(_) => dossier.episodes(explained, ends) > 0,
        }
    }

    /// Forgets evidence that no longer counts, and counts what has settled.
    pub fn expire(&mut self, now: Duration) -> Change {
        self.sound_parts.expire(now, SOUND_TTL);
        self.sound_requests.expire(now, SOUND_TTL);
        let quarantined = &self.quarantined;
        let count = self.dossiers.len();
        self.dossiers.retain(|subject, dossier| {
            quarantined.contains(subject) || now.saturating_sub(dossier.last_crash()) < EVIDENCE_TTL
        });
        let has_settled = self.settles_at.is_some_and(|at| now >= at);
        if self.dossiers.len() == count && !has_settled {
            return Change::default();
        }
        self.judge(now)
    }

    /// Dossier of a subject; a new one takes the place of the weakest one if there are
    /// too many.
    fn dossier(&mut self, subject: Subject) -> &mut Dossier {
        if !self.dossiers.contains_key(&subject) && self.dossiers.len() >= MAX_DOSSIERS {
            let strength = |(subject, dossier): &(&Subject, &Dossier)| {
                let is_quarantined = self.quarantined.contains(*subject);
                (
                    is_quarantined,
                    dossier.evidence().count(),
                    dossier.last_crash(),
                )
            };
            let weakest = self.dossiers.iter().min_by_key(strength);
            if let Some(weakest) = weakest.map(|(subject, _)| *subject) {
                self.dossiers.remove(&weakest);
            }
        }
        let sound_at = self.answers_mut(subject).get(&subject).map(|(at, ())| at);
        self.dossiers
            .entry(subject)
            .or_insert_with(|| Dossier::new(subject, sound_at))
    }

    /// Processes whose end is explained by quarantined subjects.
    fn explained(&self) -> Explained {
        let mut explained = Explained::default();
        let quarantined = self.quarantined.iter();
        for dossier in quarantined.filter_map(|subject| self.dossiers.get(subject)) {
            explained.add(dossier);
        }
        explained
    }

    /// Derives the quarantined subjects from the evidence.
    fn judge(&mut self, now: Duration) -> Change {
        let before = std::mem::take(&mut self.quarantined);
        self.ends.make_contiguous();
        let (ends, _) = self.ends.as_slices();
        let case = Case {
            dossiers: &self.dossiers,
            ends,
            settled_before: now.saturating_sub(SETTLING_TIME),
        };
        self.quarantined = case.convictions();
        self.settles_at = case.last_unsettled().map(|at| at + SETTLING_TIME);
        for subject in &self.quarantined {
            if let Some(dossier) = self.dossiers.get_mut(subject) {
                dossier.was_quarantined = true;
            }
        }
        let begun = self.quarantined.difference(&before);
        let begun = begun.filter_map(|subject| Some(self.dossiers.get(subject)?.verdict(now)));
        Change {
            begun: begun.collect(),
            ended: before.difference(&self.quarantined).copied().collect(),
        }
    }
}

/// All evidence at one time.
#[derive(Clone, Copy, Debug)]
struct Case<'a> {
    dossiers: &'a HashMap<Subject, Dossier>,
    ends: &'a [End],
    /// Time before which crashes count against popular parts.
    settled_before: Duration,
}

impl Case<'_> {
    /// Subjects that the evidence convicts.
    fn convictions(&self) -> HashSet<Subject> {
        let mut explained = Explained::default();
        let requests = self.convict(&mut explained, Subject::is_request);
        let parts = self.convict(&mut explained, |subject| !subject.is_request());
        let mut explained_by_parts = Explained::default();
        for dossier in parts.iter().filter_map(|part| self.dossiers.get(part)) {
            explained_by_parts.add(dossier);
        }
        let is_own_fault = |request: &Subject| {
            let dossier = self.dossiers.get(request);
            dossier.is_some_and(|dossier| self.is_convicting(dossier, &explained_by_parts))
        };
        let requests = requests.into_iter().filter(is_own_fault);
        requests.chain(parts).collect()
    }

    /// Convicts subjects of one kind, each by what those before it do not explain.
    fn convict(
        &self,
        explained: &mut Explained,
        is_considered: impl Fn(Subject) -> bool,
    ) -> HashSet<Subject> {
        let mut convicted = HashSet::new();
        while let Some(dossier) = self
            .dossiers
            .values()
            .filter(|d| is_considered(d.subject) && !convicted.contains(&d.subject))
            .filter(|d| self.is_convicting(d, explained))
            .max_by_key(|d| {
                let is_specific = !d.is_first_part;
                (
                    is_specific,
                    d.sound_at.is_none(),
                    d.episodes(explained, self.ends),
                    d.evidence().count(),
                    d.subject,
                )
            })
        {
            // Of requests under which the same processes ended, any may be the cause.
            let is_twin = |d: &&Dossier| {
                d.subject.is_request()
                    && self.is_convicting(d, explained)
                    && d.has_crashes_of(dossier)
            };
            let twins: Vec<&Dossier> = self.dossiers.values().filter(is_twin).collect();
            convicted.extend(twins.iter().map(|d| d.subject));
            convicted.insert(dossier.subject);
            explained.add(dossier);
        }
        convicted
    }

    fn is_convicting(&self, dossier: &Dossier, explained: &Explained) -> bool {
        dossier.is_convicting(explained, self.ends, self.settled_before)
    }

    /// Time of the last crash under a popular part that does not count yet.
    fn last_unsettled(&self) -> Option<Duration> {
        let parts = self.dossiers.values().filter(|d| d.is_popular_part());
        let last_crashes = parts.map(Dossier::last_crash);
        last_crashes.filter(|at| *at > self.settled_before).max()
    }
}
