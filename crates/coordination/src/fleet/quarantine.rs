//! Quarantine of prompt parts that crash replicas.
//!
//! A request can crash the replica that begins to answer it, again at each
//! replica to which it or a similar request is sent (a query of death). What such
//! requests have in common is a part of their prompts. A replica runs requests of
//! several daemons when it ends, most of them innocent, so one crash tells little.
//! Each daemon keeps a dossier of the parts under which processes have ended, and
//! the daemons exchange their dossiers in heartbeats:
//!
//! - An answer that is completed after a crash, or written for a second, shows that
//!   its parts are sound, which voids the evidence against them. Popular parts are
//!   cleared within milliseconds; those of a query of death never are.
//! - Crashes at the same time count as one, and as none if processes without such a
//!   request end with them, as a rack or data centre fails as a whole.
//! - A crash is explained by one part. The part with the most evidence is
//!   convicted first, those with which prompts begin last, and the crashes that it
//!   explains count against no other.
//!
//! A part with [`MIN_EPISODES`] unexplained crashes is quarantined: its requests
//! are refused. Every daemon derives this from the same evidence, also one that
//! has seen no crash. The part may be innocent, or the cause may have been removed
//! meanwhile, by new weights for example, so after [`FIRST_TRIAL`] without a crash one
//! daemon admits one request: its answer ends the quarantine, another crash renews it
//! for twice the time.

mod dossier;
mod report;
mod suspect;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use self::dossier::{Crash, Dossier, MAX_CRASHES};
use super::prompt::Part;

pub use self::dossier::{FIRST_TRIAL, MIN_EPISODES, MIN_EPISODES_OF_POPULAR};
pub use self::report::{Digest, Report, ReportedCrash};
pub use self::suspect::{Suspect, Writing};

/// Maximum number of ended processes that are remembered.
const MAX_ENDS: usize = 256;

/// Maximum number of ended processes in a heartbeat.
const MAX_REPORTED_ENDS: usize = 16;

/// Time for which the end of a process is reported.
const REPORTED_ENDS_TTL: Duration = Duration::from_secs(5);

/// Time after which a crash no longer counts against a part that is not
/// quarantined.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);

/// Time for which a completed answer is remembered: as long as a crash before it may
/// count that this daemon has not heard of yet.
const SOUND_TTL: Duration = EVIDENCE_TTL;

/// Time after a crash for which daemons are told that the part is sound.
const OBJECTION_TTL: Duration = Duration::from_secs(10);

/// Maximum number of dossiers, as clients choose the parts of their prompts.
const MAX_DOSSIERS: usize = 512;

/// Maximum number of parts that are remembered as sound.
const MAX_SOUND_PARTS: usize = 8192;

/// Maximum number of dossiers in a heartbeat, and of objections.
const MAX_REPORTS: usize = 12;

/// Maximum number of crashes in all reports of a heartbeat.
const MAX_REPORTED_CRASHES: usize = 64;

/// Why a part is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Part of prompts.
    pub part: Part,
    /// Processes that ended under requests with it.
    pub crashes: usize,
    /// Time since the last of them ended.
    pub age: Duration,
    /// Time until a request is admitted again; zero if a trial is due.
    pub trial_in: Duration,
    /// Time for which a trial has been due.
    pub trial_due_for: Duration,
}

/// Parts whose quarantine began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Parts that are quarantined now.
    pub begun: Vec<Verdict>,
    /// Parts that are no longer quarantined.
    pub ended: Vec<Part>,
}

/// Dossiers of all parts under which processes have ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    dossiers: HashMap<Part, Dossier>,
    quarantined: HashSet<Part>,
    /// Recently completed answers by part.
    sound: HashMap<Part, Duration>,
    /// Ends of processes by the time at which this daemon learned of them.
    ends: VecDeque<Crash>,
}

impl Quarantine {
    /// Records that a process ended at `at` under requests with these parts.
    pub fn record_crash(
        &mut self,
        now: Duration,
        process: u32,
        at: Duration,
        suspects: &[Suspect],
    ) -> Change {
        self.add_end(process, at);
        for suspect in suspects {
            let dossier = self.dossier(suspect.part);
            dossier.add(process, at);
            dossier.is_first_hand = true;
            dossier.is_first_part |= suspect.is_first;
        }
        self.judge(now)
    }

    /// Records a completed answer to a request with these parts.
    pub fn record_sound(&mut self, now: Duration, parts: &[Part]) -> Change {
        for part in parts {
            self.sound.insert(*part, now);
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            self.forget_oldest_answers();
        }
        let dossiers = &mut self.dossiers;
        let cleared = parts.iter().filter(|part| {
            dossiers
                .get_mut(part)
                .is_some_and(|dossier| dossier.clear(now))
        });
        if cleared.count() > 0 {
            self.judge(now)
        } else {
            Change::default()
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
        self.ends.push_back(Crash { process, at });
        true
    }

    /// Forgets the older half of the completed answers.
    fn forget_oldest_answers(&mut self) {
        let mut times: Vec<Duration> = self.sound.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.sound.retain(|_, at| *at > median);
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
            let dossier = match self.dossiers.get_mut(&report.part) {
                Some(dossier) => dossier,
                None if report.crashes.is_empty() => continue,
                None => self.dossier(report.part),
            };
            dossier.is_first_part |= report.is_first;
            for crash in crashes {
                is_news |= dossier.add(crash.process, time(crash.age_ms));
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

    /// Verdict on the first quarantined part of a request.
    #[must_use]
    pub fn verdict(&self, now: Duration, parts: &[Part]) -> Option<Verdict> {
        if self.quarantined.is_empty() {
            return None;
        }
        let part = parts.iter().find(|part| self.quarantined.contains(part))?;
        Some(self.dossiers.get(part)?.verdict(now, *part))
    }

    /// Starts a trial of a quarantined part; `false` if none is due.
    pub fn start_trial(&mut self, now: Duration, part: Part) -> bool {
        let dossier = self.dossiers.get_mut(&part);
        match dossier.filter(|dossier| dossier.verdict(now, part).trial_in.is_zero()) {
            Some(dossier) => {
                dossier.trial_at = Some(now);
                true
            }
            None => false,
        }
    }

    /// What the peers should know: the strongest evidence, and objections to
    /// evidence against parts that are sound.
    #[must_use]
    pub fn digest(&self, now: Duration) -> Digest {
        let age_ms =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let ends = self.ends.as_slices();
        let (explained, ends) = (self.explained(), &[ends.0, ends.1].concat());
        let mut ranked: Vec<_> = self
            .dossiers
            .iter()
            .map(|(part, dossier)| {
                let is_quarantined = self.quarantined.contains(part);
                let episodes = dossier.episodes(&explained, ends);
                let rank = (is_quarantined, episodes, dossier.is_first_hand);
                (rank, dossier.last_crash(), *part, dossier)
            })
            .filter(|((is_quarantined, episodes, _), ..)| *is_quarantined || *episodes > 0)
            .collect();
        ranked.sort_unstable_by_key(|(rank, last, part, _)| Reverse((*rank, *last, *part)));
        let mut budget = MAX_REPORTED_CRASHES;
        let evidence = ranked.into_iter().map(|(_, _, part, dossier)| Report {
            part,
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
            .filter_map(|(part, dossier)| Some((dossier.last_crash(), *part, dossier.sound_at?)))
            .collect();
        cleared.sort_unstable_by_key(|(last, part, _)| Reverse((*last, *part)));
        let objections = cleared.into_iter().map(|(_, part, sound_at)| Report {
            part,
            is_first: false,
            crashes: Vec::new(),
            sound_ms: Some(age_ms(sound_at)),
        });
        let recent_ends = self.ends.iter().rev();
        let recent_ends = recent_ends.filter(|end| now.saturating_sub(end.at) < REPORTED_ENDS_TTL);
        Digest {
            ends: recent_ends
                .take(MAX_REPORTED_ENDS)
                .map(|end| ReportedCrash {
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

    /// Forgets evidence that no longer counts.
    pub fn expire(&mut self, now: Duration) -> Change {
        self.sound
            .retain(|_, at| now.saturating_sub(*at) < SOUND_TTL);
        let quarantined = &self.quarantined;
        let count = self.dossiers.len();
        self.dossiers.retain(|part, dossier| {
            quarantined.contains(part) || now.saturating_sub(dossier.last_crash()) < EVIDENCE_TTL
        });
        if self.dossiers.len() == count {
            return Change::default();
        }
        self.judge(now)
    }

    /// Dossier of a part; a new one takes the place of the weakest one if there are
    /// too many.
    fn dossier(&mut self, part: Part) -> &mut Dossier {
        if !self.dossiers.contains_key(&part) && self.dossiers.len() >= MAX_DOSSIERS {
            let strength = |(part, dossier): &(&Part, &Dossier)| {
                let is_quarantined = self.quarantined.contains(*part);
                (
                    is_quarantined,
                    dossier.evidence().count(),
                    dossier.last_crash(),
                )
            };
            let weakest = self.dossiers.iter().min_by_key(strength);
            if let Some(weakest) = weakest.map(|(part, _)| *part) {
                self.dossiers.remove(&weakest);
            }
        }
        let sound = &self.sound;
        self.dossiers.entry(part).or_insert_with(|| Dossier {
            sound_at: sound.get(&part).copied(),
            ..Dossier::default()
        })
    }

    /// Processes whose end is explained by quarantined parts.
    fn explained(&self) -> HashSet<u32> {
        let quarantined = self.quarantined.iter();
        let dossiers = quarantined.filter_map(|part| self.dossiers.get(part));
        dossiers
            .flat_map(Dossier::evidence)
            .map(|crash| crash.process)
            .collect()
    }

    /// Derives the quarantined parts from the evidence.
    fn judge(&mut self, now: Duration) -> Change {
        let before = std::mem::take(&mut self.quarantined);
        let ends = self.ends.make_contiguous();
        let mut explained = HashSet::new();
        while let Some((_, _, part, dossier)) = self
            .dossiers
            .iter()
            .filter(|(part, _)| !self.quarantined.contains(part))
            .map(|(part, d)| (d.episodes(&explained, ends), d.evidence().count(), *part, d))
            .filter(|(episodes, .., dossier)| *episodes >= dossier.required_episodes())
            .max_by_key(|(episodes, count, part, dossier)| {
                let is_specific = !dossier.is_first_part;
                (
                    is_specific,
                    dossier.sound_at.is_none(),
                    *episodes,
                    *count,
                    *part,
                )
            })
        {
            explained.extend(dossier.evidence().map(|crash| crash.process));
            self.quarantined.insert(part);
        }
        for part in &self.quarantined {
            if let Some(dossier) = self.dossiers.get_mut(part) {
                dossier.was_quarantined = true;
            }
        }
        let begun = self.quarantined.difference(&before);
        let begun = begun.filter_map(|part| Some(self.dossiers.get(part)?.verdict(now, *part)));
        Change {
            begun: begun.collect(),
            ended: before.difference(&self.quarantined).copied().collect(),
        }
    }
}
