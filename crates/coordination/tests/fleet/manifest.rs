//! Route selection by host and longest prefix, and backend selection by weight.

use std::time::Duration;

use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::{Kind, Limits, Manifest, Route};
use bitterncart_testing::cases;

use crate::retry::route;

pub(crate) fn manifest() -> Manifest {
    let route_at = |host: &str, prefix: &str| Route {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        ..route(Kind::Once, 1)
    };
    Manifest {
        version: 3,
        routes: vec![
            route_at("a.example", "/x/"),
            route_at("a.example", "/x/y/"),
            route_at("b.example", "/"),
        ],
        limits: Limits {
            max_body: 1,
            head: std::time::Duration::ZERO,
            idle: std::time::Duration::ZERO,
            max_head: 16 << 10,
        },
        customers: None,
        is_partial: false,
    }
}

cases! {
    fn route_of(host: &str, path: &str, prefix: Option<&str>) {
        let manifest = manifest();
        let found = manifest.route(host, path).map(|r| r.prefix.as_str());
        assert_eq!(found, prefix);
    }
    longest_of_two_matching_prefixes_wins("a.example", "/x/y/z", Some("/x/y/"));
    longer_prefix_that_does_not_match_is_skipped("a.example", "/x/yy", Some("/x/"));
    host_ignores_case_and_port("A.example:80", "/x/1", Some("/x/"));
    unmatched_path_has_no_route("a.example", "/other", None);
    unknown_host_has_no_route("c.example", "/x/1", None);
    root_prefix_matches_any_path("b.example", "/any", Some("/"));
}

#[test]
fn backends_are_chosen_in_proportion_to_weights() {
    let backend = |service: &str, weight| Backend {
        service: service.into(),
        weight,
        reserves: Duration::ZERO,
    };
    let route = Route {
        backends: vec![backend("none", 0), backend("most", 90), backend("few", 10)],
        ..route(Kind::Once, 1)
    };
    let count = (0..1000)
        .filter(|n| {
            route
                .backend(f64::from(*n) / 1000.0)
                .is_some_and(|b| b.service == "most")
        })
        .count();
    assert_eq!(count, 900);
    assert_eq!(route.backend(0.0).map(|b| b.service.as_str()), Some("most"));
}

/// Guards against a sum of weights that overflows.
#[test]
fn backend_is_chosen_among_the_largest_weights() {
    let backend = |service: &str| Backend {
        service: service.into(),
        weight: u32::MAX,
        reserves: Duration::ZERO,
    };
    let route = Route {
        backends: vec![backend("one"), backend("two")],
        ..route(Kind::Once, 1)
    };
    let chosen = |point| route.backend(point).map(|b| b.service.as_str());
    assert_eq!((chosen(0.4), chosen(0.6)), (Some("one"), Some("two")));
}

#[test]
fn unusable_route_has_no_backend() {
    let route = Route::unusable("r".into(), "a.example".into(), "/x/".into());
    assert_eq!((route.backend(0.5), route.backend_of("s")), (None, None));
}
