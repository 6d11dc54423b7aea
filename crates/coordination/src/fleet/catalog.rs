//! Catalog of the software versions of each service, kept in the store.
//!
//! A daemon that has just started has not followed the list of replicas for long, so it
//! cannot tell by itself that a service has had one version for as long as streams take.
//! The catalog tells: one record for each version, with the time since which it has been
//! listed and, once it has left, until when. One daemon writes when the list changes,
//! which is once or twice a release.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use compact_str::{CompactString, format_compact};

use super::streams::MEMORY;

/// Prefix of the keys of its records.
const PREFIX: &str = "version/";

/// Separator between service and version in a key; part of neither in practice.
const SEPARATOR: char = '\u{1f}';

/// Time after which the record of a version that has left is deleted.
const RETENTION: Duration = Duration::from_secs(2 * MEMORY.as_secs());

/// Time ahead of this daemon's clock up to which the clocks of others may be.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Maximum size of a key; versions with longer ones are not recorded.
const MAX_KEY_BYTES: usize = 200;

/// Service and version.
pub type Version = (CompactString, CompactString);

/// Time for which a version has been listed, in milliseconds since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    first_ms: u64,
    /// `None` while it is listed.
    last_ms: Option<u64>,
}

impl Span {
    fn encode(self) -> String {
        match self.last_ms {
            Some(last_ms) => format!("{} {last_ms}", self.first_ms),
            None => self.first_ms.to_string(),
        }
    }

    fn decode(text: &str) -> Option<Self> {
        let mut numbers = text.split(' ').map(str::parse::<u64>);
        let first_ms = numbers.next()?.ok()?;
        let last_ms = numbers.next().transpose().ok()?;
        Some(Self { first_ms, last_ms })
    }
}

/// Change of one record; without a value it is deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key.
    pub key: CompactString,
    /// Value.
    pub value: Option<String>,
}

/// Versions by their records.
#[derive(Debug, Default)]
pub struct Catalog {
    spans: HashMap<Version, Span>,
}

fn key((service, version): &Version) -> CompactString {
    format_compact!("{PREFIX}{service}{SEPARATOR}{version}")
}

impl Catalog {
    /// Whether a record belongs to a catalog.
    #[must_use]
    pub fn is_key(key: &str) -> bool {
        key.starts_with(PREFIX)
    }

    /// Applies a record. One that cannot be read counts as missing.
    pub fn apply(&mut self, key: &str, value: Option<&[u8]>) {
        let version = key.strip_prefix(PREFIX);
        let Some((service, version)) = version.and_then(|text| text.split_once(SEPARATOR)) else {
            return;
        };
        let span = value
            .and_then(|bytes| std::str::from_utf8(bytes).ok())
            .and_then(Span::decode);
        let version = (service.into(), version.into());
        match span {
            Some(span) => self.spans.insert(version, span),
            None => self.spans.remove(&version),
        };
    }

    /// Records to write, given the versions that are listed now.
    #[must_use]
    pub fn changes(&self, now_ms: u64, listed: &BTreeSet<Version>) -> Vec<Change> {
        let change = |version: &Version, span: Option<Span>| Change {
            key: key(version),
            value: span.map(Span::encode),
        };
        let came = listed.iter().filter_map(|version| {
            let known = self.spans.get(version);
            let is_current = known.is_some_and(|span| span.last_ms.is_none());
            let first_ms = known.map_or(now_ms, |span| span.first_ms);
            let span = Span {
                first_ms,
                last_ms: None,
            };
            (!is_current).then(|| change(version, Some(span)))
        });
        let gone = self.spans.iter().filter(|(v, _)| !listed.contains(*v));
        let latest_ms = now_ms.saturating_add(MAX_CLOCK_SKEW.as_millis() as u64);
        let left = gone.filter_map(|(version, span)| match span.last_ms {
            // A time in the future is none: the version would never be forgotten.
            last_ms if last_ms.is_none_or(|ms| ms > latest_ms) => {
                let span = Span {
                    last_ms: Some(now_ms),
                    ..*span
                };
                Some(change(version, Some(span)))
            }
            Some(last_ms) if now_ms.saturating_sub(last_ms) >= RETENTION.as_millis() as u64 => {
                Some(change(version, None))
            }
            _ => None,
        });
        let changes = came.chain(left);
        changes
            .filter(|change| change.key.len() <= MAX_KEY_BYTES)
            .collect()
    }

    /// Services of which one version alone was listed lately, each with that version and
    /// the time for which it has been listed.
    #[must_use]
    pub fn sole_versions(&self, now_ms: u64) -> HashMap<CompactString, (CompactString, Duration)> {
        let memory_ms = MEMORY.as_millis() as u64;
        let is_recent = |span: &Span| {
            span.last_ms
                .is_none_or(|last_ms| now_ms.saturating_sub(last_ms) < memory_ms)
        };
        let mut counts: HashMap<&CompactString, usize> = HashMap::new();
        let recent = || self.spans.iter().filter(|(_, span)| is_recent(span));
        for ((service, _), _) in recent() {
            *counts.entry(service).or_default() += 1;
        }
        let sole = recent().filter(|((service, _), _)| counts[service] == 1);
        sole.filter(|(_, span)| span.last_ms.is_none())
            .map(|((service, version), span)| {
                let age = Duration::from_millis(now_ms.saturating_sub(span.first_ms));
                (service.clone(), (version.clone(), age))
            })
            .collect()
    }
}
