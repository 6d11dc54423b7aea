//! Software versions that the services of a pool had lately.

use std::collections::{BTreeSet, HashMap};
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
    /// By service and version, with the time at which each was last listed.
    listed: Recent<(CompactString, Option<CompactString>), ()>,
    followed_since: Option<Duration>,
    list_read_at: Duration,
    /// By service, the only version that the catalog has, and for how long it had been
    /// listed when the catalog was read.
    recorded: HashMap<CompactString, (CompactString, Duration)>,
    recorded_at: Duration,
}

impl Default for Versions {
    fn default() -> Self {
        Self {
            listed: Recent::with_capacity(MAX_VERSIONS),
            followed_since: None,
            list_read_at: Duration::ZERO,
            recorded: HashMap::new(),
            recorded_at: Duration::ZERO,
        }
    }
}

impl Versions {
    /// Remembers the version of a replica that is no longer listed.
    pub(super) fn record_removed(&mut self, replica: Replica) {
        let key = (replica.service, replica.version);
        self.listed.insert(self.list_read_at, key, ());
    }

    /// Whether the list was followed for `window`, or the catalog tells that there was
    /// no other version than this one before.
    fn covers(&self, now: Duration, window: Duration, service: &str, version: &str) -> bool {
        let is_recorded = || {
            let recorded = self.recorded.get(service);
            recorded.is_some_and(|(of, age)| {
                of == version && *age + now.saturating_sub(self.recorded_at) >= window
            })
        };
        self.followed_since
            .is_some_and(|since| now.saturating_sub(since) >= window || is_recorded())
    }
}

impl Pool {
    /// Records that the list of replicas was read. After a gap, versions may have come
    /// and gone.
    pub fn record_list_read(&mut self, now: Duration) {
        let versions = &mut self.versions;
        if now.saturating_sub(versions.list_read_at) >= MEMORY {
            versions.followed_since = None;
        }
        versions.list_read_at = now;
        versions.followed_since.get_or_insert(now);
        self.remember_versions(now);
    }

    /// Versions that a service had within `window`, at most [`MEMORY`]. The list counts
    /// as read if `is_list_frozen`, as nobody can write to it.
    #[must_use]
    pub fn history(
        &self,
        now: Duration,
        service: &str,
        window: Duration,
        is_list_frozen: bool,
    ) -> History {
        let window = window.min(MEMORY);
        let versions = &self.versions;
        let listed = self.entries.values().map(|e| &e.replica);
        let listed = listed.filter(|replica| replica.service == service);
        let remembered = versions.listed.iter();
        let remembered = remembered
            .filter(|((of, _), at, ())| of == service && now.saturating_sub(*at) < window)
            .map(|((_, version), ..)| version);
        let mut all = listed.map(|replica| &replica.version).chain(remembered);
        let Some(first) = all.next() else {
            return History::Unknown;
        };
        let is_out_of_date = !self.is_list_current(now);
        match first {
            _ if all.any(|version| version != first) => History::Mixed,
            None => History::Mixed,
            _ if is_out_of_date && !is_list_frozen => History::Unknown,
            Some(version) if !versions.covers(now, window, service, version) => History::Unknown,
            Some(version) => History::Sole(version.clone()),
        }
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

    /// Whether the list of replicas is up to date.
    #[must_use]
    pub fn is_list_current(&self, now: Duration) -> bool {
        now.saturating_sub(self.versions.list_read_at) < LIST_TTL
    }

    /// Versions that are listed now.
    #[must_use]
    pub fn listed_versions(&self) -> BTreeSet<Version> {
        let replicas = self.entries.values().map(|e| &e.replica);
        let version = |replica: &Replica| Some((replica.service.clone(), replica.version.clone()?));
        replicas.filter_map(version).collect()
    }

    /// Remembers the versions that are listed now.
    pub(super) fn remember_versions(&mut self, now: Duration) {
        for entry in self.entries.values() {
            let key = (entry.replica.service.clone(), entry.replica.version.clone());
            self.versions.listed.insert(now, key, ());
        }
        self.versions.listed.expire(now, MEMORY);
    }
}
