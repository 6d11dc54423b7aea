//! What daemons tell each other about requests that crash replicas.

use serde::{Deserialize, Serialize};

use super::Subject;

/// Evidence in a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Processes that have ended lately.
    pub ends: Vec<ReportedEnd>,
    /// What the daemon knows about subjects.
    pub reports: Vec<Report>,
}

impl Digest {
    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.reports.is_empty()
    }

    /// The digest without its ages, which change all the time.
    #[must_use]
    pub fn without_ages(&self) -> Self {
        Self {
            ends: self.ends.iter().map(ReportedEnd::without_age).collect(),
            reports: self.reports.iter().map(Report::without_ages).collect(),
        }
    }
}

/// End of a process in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// Short id of the process.
    pub process: u32,
    /// Time since its end, in milliseconds.
    pub age_ms: u32,
}

/// Crash in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Short id of the process that ended.
    pub process: u32,
    /// See [`super::Suspect::source`].
    pub source: u32,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// What a daemon knows about a subject, in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Request or part.
    pub subject: Subject,
    /// Whether prompts begin with it.
    pub is_first: bool,
    /// Processes that ended under it.
    pub crashes: Vec<ReportedCrash>,
    /// Time since an answer to such a request was completed, in milliseconds.
    pub sound_ms: Option<u32>,
}

impl ReportedEnd {
    fn without_age(&self) -> Self {
        Self { age_ms: 0, ..*self }
    }
}

impl ReportedCrash {
    fn without_age(&self) -> Self {
        Self { age_ms: 0, ..*self }
    }
}

impl Report {
    fn without_ages(&self) -> Self {
        Self {
            crashes: self
                .crashes
                .iter()
                .map(ReportedCrash::without_age)
                .collect(),
            sound_ms: self.sound_ms.map(|_| 0),
            ..*self
        }
    }
}
