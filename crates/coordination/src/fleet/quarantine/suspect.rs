//! Which requests are suspected when the process of a replica ends.

use std::time::Duration;

use super::Subject;
use crate::fleet::profile::Profile;

/// Time for which an answer has been written after which its request is not
/// suspected: a replica that cannot bear a request ends when it begins to answer.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Subject of a request that was at a replica when its process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Suspect {
    /// What may have ended the process.
    pub subject: Subject,
    /// Short id of what brought it there: the client attempt of a request, the
    /// request with a part.
    pub source: u32,
    /// Whether the prompt begins with the part, as those of most requests of a kind do.
    pub is_first: bool,
}

impl Suspect {
    /// Suspects of one client attempt with the short id `attempt`.
    pub fn of_attempt(profile: &Profile, attempt: u32) -> impl Iterator<Item = Self> {
        let first_part = profile.shared_parts.first().copied().map(Subject::Part);
        let request = profile.fingerprint.short_hash();
        Subject::of_profile(profile).map(move |subject| Self {
            subject,
            source: if subject.is_request() {
                attempt
            } else {
                request
            },
            is_first: Some(subject) == first_part,
        })
    }
}

/// Progress of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Writing {
    /// Time of the first event.
    since: Option<Duration>,
    has_survived: bool,
}

impl Writing {
    /// Records an event; returns once whether the replica has survived the request.
    pub fn record_event(&mut self, now: Duration) -> bool {
        let since = *self.since.get_or_insert(now);
        let is_news = !self.has_survived && now.saturating_sub(since) >= SURVIVAL_TIME;
        self.has_survived |= is_news;
        is_news
    }

    /// Whether the answer has had an event.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.since.is_some()
    }

    /// Whether the end of the replica may be due to the request.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.since
            .is_none_or(|since| now.saturating_sub(since) < SURVIVAL_TIME)
    }
}
