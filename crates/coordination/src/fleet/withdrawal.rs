//! Decides when the route of an accepted job has ended.
//!
//! The operator may remove a route, or give its path to a route of another kind. Items of
//! its jobs can then never run again, and are given up. A manifest without the route is not
//! yet the end of it. Versions come in quick series, and a later one may bring the route
//! back; and a daemon that is behind may not know the version yet that added it. So a
//! route has ended for a job once it was missing for [`SETTLE_TIME`], and the manifest
//! without it was still the newest one at the end of that time. A version that is not later
//! than that under which the job was accepted says nothing of the job.
//!
//! The owner of the job's shard decides, each owner anew. What counts for everyone is the
//! result that the ledger records; an item that finishes elsewhere before that is completed.

use std::collections::HashMap;
use std::mem;
use std::time::Duration;

use compact_str::CompactString;

use super::manifest::{BatchRoute, Manifest};

/// Time for which a route has to be missing before its jobs end. Longer than the 4 s that a
/// manifest may take to be in force everywhere, so that a version that is withdrawn at once
/// ends no job.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Job, as far as it decides which route it has.
#[derive(Clone, Copy, Debug)]
pub struct Job<'a> {
    /// Id.
    pub id: &'a CompactString,
    /// Host that it was submitted to.
    pub host: &'a str,
    /// Path that it was submitted to.
    pub path: &'a str,
    /// Version of the manifest under which it was accepted, if it is known.
    pub accepted_under: Option<u64>,
}

impl Job<'_> {
    /// Whether a manifest says that the job has no batch route any more.
    fn lacks_route(&self, manifest: &Manifest) -> bool {
        let is_later = |version| manifest.version > version;
        self.accepted_under.is_none_or(is_later)
            && manifest.batch_route(self.host, self.path) == BatchRoute::Missing
    }
}

/// Open jobs of one daemon whose route is missing.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Time at which the route of a job was first missed.
    missing_since: HashMap<CompactString, Duration>,
}

impl Table {
    /// Updates the table from all open jobs for which this daemon decides. A job that has its
    /// route again, or is not among them, is forgotten.
    pub fn update<'a>(
        &mut self,
        now: Duration,
        manifest: &Manifest,
        jobs: impl IntoIterator<Item = Job<'a>>,
    ) {
        let before = mem::take(&mut self.missing_since);
        let missing = jobs.into_iter().filter(|job| job.lacks_route(manifest));
        self.missing_since = missing
            .map(|job| (job.id.clone(), before.get(job.id).copied().unwrap_or(now)))
            .collect();
    }

    /// Whether the route of a job has ended, if all versions of the manifest that were written
    /// before `confirmed_at` are known.
    #[must_use]
    pub fn has_ended(&self, job: &str, confirmed_at: Option<Duration>) -> bool {
        let settled_at = self.missing_since.get(job).map(|at| *at + SETTLE_TIME);
        settled_at.is_some_and(|settled_at| confirmed_at >= Some(settled_at))
    }
}
