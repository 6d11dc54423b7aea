//! Current configuration version, computed from the configuration stream.
//!
//! A publication is accepted only if its base is the current version and its
//! text is a valid document. So exactly one of several concurrent valid
//! publications is accepted, and every reader accepts the same one. The version
//! number never decreases.
//!
//! The log keeps records for a limited time, so the current version is
//! appended again before its record expires. A daemon may also adopt a newer
//! version from a peer.

use std::collections::VecDeque;
use std::sync::Arc;

use bitterncart_protocol::record::Publish;
use bitterncart_protocol::{Document, hash};
use compact_str::CompactString;

use crate::invariant;

/// Version of the configuration.
#[derive(Clone, Debug)]
pub struct Version {
    /// Version number: offset of the publication plus one.
    pub number: u64,
    /// Parsed document.
    pub document: Arc<Document>,
    /// Source text of the document, unchanged.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: CompactString,
}

impl Version {
    /// Parses the text of a version; `None` if it is not a valid document.
    #[must_use]
    pub fn parse(number: u64, text: &str) -> Option<Self> {
        let document = Document::parse(text).ok()?;
        Some(Self {
            number,
            document: Arc::new(document),
            text: text.into(),
            digest: hash::digest(text.as_bytes()).into(),
        })
    }
}

/// Outcome of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted; it is now the current version, with this number.
    Accepted(u64),
    /// Rejected: its base was not the current version, which has this number.
    Stale(u64),
    /// Rejected: the text is not a valid document.
    Invalid,
}

/// State of the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct Config {
    current: Option<Version>,
    next: u64,
    /// Version number of the latest record that was a rewrite; 0 for none.
    rewritten: u64,
    /// Time of the latest append of the current version or of its adoption from a peer, in
    /// milliseconds since the Unix epoch.
    appended_ms: u64,
    accepted: VecDeque<Accepted>,
}

/// Accepted publication.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    nonce: u64,
    number: u64,
}

/// Maximum number of accepted publications kept for [`Config::accepted_as`].
const MAX_ACCEPTED: usize = 64;

impl Config {
    /// Current version.
    #[must_use]
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Number of the current version; 0 for none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |version| version.number)
    }

    /// Version number of a recently accepted publication, by its nonce; `None` if it was not
    /// accepted or is no longer known.
    #[must_use]
    pub fn accepted_as(&self, nonce: u64) -> Option<u64> {
        let accepted = self
            .accepted
            .iter()
            .find(|accepted| accepted.nonce == nonce);
        accepted.map(|accepted| accepted.number)
    }

    /// Offset of the next entry to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the current version has to be appended again, so that a new
    /// reader finds it after the older records have expired.
    #[must_use]
    pub fn needs_rewrite(&self, wall_ms: u64, retention_ms: u64) -> bool {
        let is_old = wall_ms.saturating_sub(self.appended_ms) > retention_ms / 2;
        // A rewritten record of an older version would make a new reader adopt that version.
        let is_superseded = self.rewritten != 0 && self.rewritten < self.number();
        self.number() > 0 && (is_old || is_superseded)
    }

    /// Skips an entry that cannot be decoded.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Applies the publication at an offset.
    pub fn apply(&mut self, offset: u64, at_ms: u64, publish: &Publish) -> Outcome {
        self.next = offset + 1;
        let current = self.number();
        if let Some(number) = publish.carried {
            self.rewritten = number;
            if number == current {
                self.appended_ms = at_ms;
            }
        }
        // The records before a rewritten version may have expired, so its base is not checked.
        let (number, is_valid) = match publish.carried {
            Some(number) => (number, number > current),
            None => (offset + 1, publish.base == current),
        };
        if number == current && publish.carried.is_none() {
            // The version was adopted from a peer before its record was read.
            self.add_accepted(publish.nonce, number);
        }
        if !is_valid {
            return Outcome::Stale(current);
        }
        match Version::parse(number, &publish.text) {
            Some(version) => {
                self.set_current(version);
                self.appended_ms = at_ms;
                self.add_accepted(publish.nonce, number);
                Outcome::Accepted(number)
            }
            None => Outcome::Invalid,
        }
    }

    fn add_accepted(&mut self, nonce: u64, number: u64) {
        self.accepted.push_back(Accepted { nonce, number });
        if self.accepted.len() > MAX_ACCEPTED {
            self.accepted.pop_front();
        }
    }

    /// Adopts a version received from a peer if it is valid and newer than the current one;
    /// returns whether it was adopted.
    pub fn adopt(&mut self, wall_ms: u64, number: u64, text: &str) -> bool {
        match Version::parse(number, text) {
            Some(version) if number > self.number() => {
                self.set_current(version);
                self.appended_ms = wall_ms;
                true
            }
            _ => false,
        }
    }

    fn set_current(&mut self, version: Version) {
        invariant::check(
            version.number > self.number(),
            "the configuration version never decreases",
        );
        self.current = Some(version);
    }
}
