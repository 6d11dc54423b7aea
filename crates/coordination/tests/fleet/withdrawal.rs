//! End of the routes of accepted jobs.

use std::time::Duration;

use bitterncart_coordination::fleet::withdrawal::{Job, SETTLE_TIME, Table};
use bitterncart_coordination::fleet::{Kind, Manifest, Route};
use bitterncart_testing::cases;
use compact_str::CompactString;

use crate::manifest::manifest;
use crate::retry::route;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Manifest with or without the batch route `/b/`.
fn version(version: u64, has_route: bool) -> Manifest {
    let batch = Route {
        host: "a.example".into(),
        prefix: "/b/".into(),
        ..route(Kind::Batch, 3)
    };
    let mut manifest = manifest();
    manifest.version = version;
    manifest.routes.extend(has_route.then_some(batch));
    manifest
}

/// Whether the route of a job has ended after manifests that the daemon saw at some times,
/// in milliseconds.
fn has_ended(
    accepted_under: Option<u64>,
    seen: &[(u64, Manifest)],
    confirmed_at: Option<Duration>,
) -> bool {
    let id = CompactString::from("job");
    let job = Job {
        id: &id,
        host: "a.example",
        path: "/b/1",
        accepted_under,
    };
    let mut table = Table::default();
    for (at, manifest) in seen {
        table.update(ms(*at), manifest, [job]);
    }
    table.has_ended("job", confirmed_at)
}

const SETTLED: Option<Duration> = Some(SETTLE_TIME.saturating_add(ms(1000)));

cases! {
    /// Guards against a job whose items are given up before its route has ended, or never.
    fn route_of_a_job(
        accepted_under: Option<u64>,
        seen: &[(u64, Manifest)],
        confirmed_at: Option<Duration>,
        expected: bool
    ) {
        assert_eq!(has_ended(accepted_under, seen, confirmed_at), expected);
    }
    route_that_stays_has_not_ended(Some(1), &[(1000, version(2, true))], SETTLED, false);
    route_that_was_removed_has_ended(
        Some(1), &[(500, version(1, true)), (1000, version(2, false))], SETTLED, true
    );
    route_has_not_ended_before_the_time(
        Some(1), &[(1000, version(2, false))], SETTLED.map(|at| at - ms(1)), false
    );
    route_has_not_ended_by_a_manifest_that_is_not_confirmed(
        Some(1), &[(1000, version(2, false))], None, false
    );
    time_counts_from_the_first_version_without_it(
        Some(1), &[(1000, version(2, false)), (5000, version(3, false))], SETTLED, true
    );
    time_begins_anew_with_a_route_that_came_back(
        Some(1),
        &[(1000, version(2, false)), (2000, version(3, true)), (3000, version(4, false))],
        SETTLED,
        false
    );
    daemon_that_is_behind_does_not_decide(Some(3), &[(1000, version(2, false))], SETTLED, false);
    version_under_which_the_job_came_does_not_decide(
        Some(2), &[(1000, version(2, false))], SETTLED, false
    );
    job_of_an_earlier_build_ends_with_its_route(
        None, &[(1000, version(2, false))], SETTLED, true
    );
    part_of_a_manifest_does_not_decide(
        Some(1),
        &[(1000, Manifest { is_partial: true, ..version(2, false) })],
        SETTLED,
        false
    );
}

/// Guards against a table that grows with jobs that are done.
#[test]
fn job_that_is_no_longer_open_is_forgotten() {
    let id = CompactString::from("job");
    let job = Job {
        id: &id,
        host: "a.example",
        path: "/b/1",
        accepted_under: None,
    };
    let mut table = Table::default();
    table.update(ms(1000), &version(2, false), [job]);
    table.update(ms(2000), &version(2, false), []);
    assert!(!table.has_ended("job", SETTLED));
}
