//! Software versions that the services of a pool had lately.
//!
//! What the list says holds up to the time at which it was asked for, not the time at
//! which the answer was read: a daemon that was suspended in between reads an old answer.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use compact_str::CompactString;

use super::Pool;
use crate::fleet::catalog::Version;
use crate::fleet::recent::Recent;
use crate::fleet::replica::Replica;
use crate::fleet::streams::{History, MEMORY};

/// Time after which the list is out of date if it was not read again.
const LIST_TTL: Duration = Duration::from_secs(2);

/// Maximum number of versions that are remembered, of all services.
const MAX_VERSIONS: usize = 1024;

/// Versions that are no longer listed, and since when the list is followed.
#[derive(Debug)]
pub(super) struct Versions {
    /// By service and version, with the time at which each was last listed at the latest.
    listed: Recent<(CompactString, Option<CompactString>), ()>,
    /// Versions of entries that were removed since the list was last read.
    removed: HashSet<(CompactString, Option<CompactString>)>,
    /// Time since which no entry has been missed.
    followed_since: Option<Duration>,
    /// Time at which the list was asked for that is known.
    list_asked_at: Duration,
    /// By service, the only version that the catalog has, and for how long it had been
    /// listed at `recorded_at`.
    recorded: HashMap<CompactString, (CompactString, Duration)>,
    recorded_at: Duration,
    /// Time at which the store was asked for the catalog and the past of the list; `None`
    /// if they were not read.
    past_asked_at: Option<Duration>,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            listed: Recent::with_capacity(MAX_VERSIONS),
            removed: HashSet::new(),
            followed_since: None,
            list_asked_at: Duration::ZERO,
            recorded: HashMap::new(),
            recorded_at: Duration::ZERO,
            past_asked_at: None,
        }
    }
}

impl Versions {
    /// Remembers the version of a replica that is no longer listed.
    pub(super) fn record_removed(&mut self, replica: Replica) {
        self.removed.insert((replica.service, replica.version));
    }

    /// Whether no other version than this one can have been listed between `window`
    /// before `time` and the time since which the list is followed.
    fn covers(&self, time: Duration, window: Duration, service: &str, version: &str) -> bool {
        let Some(since) = self.followed_since else {
            return false;
        };
        let is_recorded = || {
            let recorded = self.recorded.get(service);
            recorded.is_some_and(|(of, age)| {
                of == version && *age + time.saturating_sub(self.recorded_at) >= window
            })
        };
        let is_past_known = self.past_asked_at.is_some_and(|at| at >= since);
        since + window <= time || (is_past_known && is_recorded())
    }
}

impl Pool {
    /// Records that the list of replicas was read on from what was known; `asked_at` is
    /// the time before the store was asked.
    pub fn record_list_read(&mut self, asked_at: Duration, now: Duration) {
        self.versions.list_asked_at = asked_at;
        self.remember_versions(now);
    }

    /// Records that the list of replicas was read as a whole. Versions may have come and
    /// gone since the last read.
    pub fn record_list_snapshot(&mut self, asked_at: Duration, now: Duration) {
        self.versions.followed_since = Some(now);
        self.record_list_read(asked_at, now);
    }

    /// Versions that may have begun a stream at a replica of a service between `window`
    /// before `time` and `time`. The list has to have been asked for at `time` or later.
    #[must_use]
    pub fn history(&self, time: Duration, service: &str, window: Duration) -> History {
        let versions = &self.versions;
        let listed = self.entries.values().map(|e| &e.replica);
        let listed = listed.filter(|replica| replica.service == service);
        let remembered = versions.listed.iter().map(|(key, ..)| key);
        let remembered = remembered.chain(&versions.removed);
        let remembered = remembered
            .filter(|(of, _)| of == service)
            .map(|(_, version)| version);
        let mut all = listed.map(|replica| &replica.version).chain(remembered);
        let Some(first) = all.next() else {
            return History::Unknown;
        };
        match first {
            _ if all.any(|version| version != first) => History::Mixed,
            None => History::Mixed,
            _ if versions.list_asked_at < time => History::Unknown,
            Some(version) if !versions.covers(time, window, service, version) => History::Unknown,
            Some(version) => History::Sole(version.clone()),
        }
    }

    /// As [`Self::history`], until the list was last asked for.
    #[must_use]
    pub fn latest_history(&self, service: &str, window: Duration) -> History {
        self.history(self.versions.list_asked_at, service, window)
    }

    /// Whether the catalog and the past of the list have to be read, as the list was not
    /// followed all the time since they were.
    #[must_use]
    pub fn is_past_unread(&self) -> bool {
        let versions = &self.versions;
        let Some(since) = versions.followed_since else {
            return false;
        };
        versions.past_asked_at.is_none_or(|at| at < since)
    }

    /// Remembers the version of a replica that was listed before the list was followed.
    pub fn record_past_replica(&mut self, replica: Replica) {
        self.versions.record_removed(replica);
    }

    /// Sets the services of which the catalog has one version, with the time for which
    /// it has been listed.
    pub fn set_recorded_versions(
        &mut self,
        now: Duration,
        recorded: HashMap<CompactString, (CompactString, Duration)>,
    ) {
        self.versions.recorded = recorded;
        self.versions.recorded_at = now;
    }

    /// Records that the whole catalog and the past of the list were read; `asked_at` is
    /// the time before the store was asked.
    pub fn record_past_read(&mut self, asked_at: Duration) {
        self.versions.past_asked_at = Some(asked_at);
    }

    /// Whether the list of replicas is up to date.
    #[must_use]
    pub fn is_list_current(&self, now: Duration) -> bool {
        now.saturating_sub(self.versions.list_asked_at) < LIST_TTL
    }

    /// Versions that are listed now.
    #[must_use]
    pub fn listed_versions(&self) -> BTreeSet<Version> {
        let replicas = self.entries.values().map(|e| &e.replica);
        let version = |replica: &Replica| Some((replica.service.clone(), replica.version.clone()?));
        replicas.filter_map(version).collect()
    }

    /// Remembers the versions that are listed now and those that were until now.
    fn remember_versions(&mut self, now: Duration) {
        for key in std::mem::take(&mut self.versions.removed) {
            self.versions.listed.insert(now, key, ());
        }
        for entry in self.entries.values() {
            let key = (entry.replica.service.clone(), entry.replica.version.clone());
            self.versions.listed.insert(now, key, ());
        }
        self.versions.listed.expire(now, MEMORY);
    }
}
