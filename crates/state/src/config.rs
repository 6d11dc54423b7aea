//! Fold of the configuration stream.
//!
//! A publication counts only if it names the version that stands, so of racing
//! operators exactly one wins, at every reader the same. A version never
//! falls.

use std::collections::VecDeque;
use std::sync::Arc;

use bitterncart_protocol::record::Publish;
use bitterncart_protocol::{Document, hash};
use compact_str::CompactString;

use crate::invariant;

/// Version in force.
#[derive(Clone, Debug)]
pub struct Version {
    /// Number: offset of the publication plus one.
    pub number: u64,
    /// Document.
    pub document: Arc<Document>,
    /// Document, byte for byte.
    pub text: Arc<str>,
    /// Digest of the text.
    pub digest: CompactString,
}

impl Version {
    /// Version of a text; `None` if the text is no valid document.
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

/// Verdict on a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force as this version.
    Accepted(u64),
    /// Another version stood; this is its number.
    Stale(u64),
    /// It is no valid document.
    Invalid,
}

/// Fold of the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct Config {
    current: Option<Version>,
    next: u64,
    carried: u64,
    written_ms: u64,
    won: VecDeque<Won>,
}

/// Publication that was accepted.
#[derive(Clone, Copy, Debug)]
struct Won {
    nonce: u64,
    number: u64,
}

/// Accepted publications that are remembered.
const REMEMBERED: usize = 64;

impl Config {
    /// Version in force.
    #[must_use]
    pub fn current(&self) -> Option<&Version> {
        self.current.as_ref()
    }

    /// Number of the version in force; 0 for none.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |version| version.number)
    }

    /// Version that a recent publication became; `None` if it was not accepted.
    #[must_use]
    pub fn won(&self, nonce: u64) -> Option<u64> {
        let won = self.won.iter().find(|won| won.nonce == nonce);
        won.map(|won| won.number)
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether the version in force has to be written again, so that a new
    /// reader finds it after the older records have expired.
    #[must_use]
    pub fn needs_carry(&self, wall_ms: u64, retention_ms: u64) -> bool {
        let old = wall_ms.saturating_sub(self.written_ms) > retention_ms / 2;
        // A carried record of an older version would mislead a new reader.
        let overtaken = self.carried != 0 && self.carried < self.number();
        self.number() > 0 && (old || overtaken)
    }

    /// Moves past an entry that no version of us wrote.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Applies the entry at an offset.
    pub fn apply(&mut self, offset: u64, at_ms: u64, publish: &Publish) -> Verdict {
        self.next = offset + 1;
        let standing = self.number();
        if let Some(number) = publish.carried {
            self.carried = number;
            if number == standing {
                self.written_ms = at_ms;
            }
        }
        // The records before a carried one have expired, so it stands on its own.
        let (number, fits) = match publish.carried {
            Some(number) => (number, number > standing),
            None => (offset + 1, publish.base == standing),
        };
        if number == standing && publish.carried.is_none() {
            // It was taken from a peer before its record was read.
            self.remember(publish.nonce, number);
        }
        if !fits {
            return Verdict::Stale(standing);
        }
        match Version::parse(number, &publish.text) {
            Some(version) => {
                self.adopt(version);
                self.written_ms = at_ms;
                self.remember(publish.nonce, number);
                Verdict::Accepted(number)
            }
            None => Verdict::Invalid,
        }
    }

    fn remember(&mut self, nonce: u64, number: u64) {
        self.won.push_back(Won { nonce, number });
        if self.won.len() > REMEMBERED {
            self.won.pop_front();
        }
    }

    /// Takes a peer's version if it is newer than the one in force.
    pub fn offer(&mut self, wall_ms: u64, number: u64, text: &str) -> bool {
        match Version::parse(number, text) {
            Some(version) if number > self.number() => {
                self.adopt(version);
                self.written_ms = wall_ms;
                true
            }
            _ => false,
        }
    }

    fn adopt(&mut self, version: Version) {
        invariant::check(
            version.number > self.number(),
            "a configuration version never falls",
        );
        self.current = Some(version);
    }
}
