//! What can be quarantined.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::fleet::profile::{Fingerprint, Profile};
use crate::fleet::prompt::Part;

/// What the requests under which processes end may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Subject {
    /// All repetitions of one request.
    Request(Fingerprint),
    /// All requests with a part in their prompts.
    Part(Part),
}

impl Subject {
    /// Subjects to which a request belongs. A batch item is none of its own: it is
    /// not the cause of crashes by itself.
    pub fn of_profile(profile: &Profile) -> impl Iterator<Item = Self> {
        let request = (!profile.is_item).then_some(Self::Request(profile.fingerprint));
        let parts = profile.shared_parts.iter().copied().map(Self::Part);
        request.into_iter().chain(parts)
    }

    /// Whether it is a single request.
    #[must_use]
    pub fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}
