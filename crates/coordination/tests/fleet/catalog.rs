//! Catalog of software versions: what is written and what a new daemon learns from it.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bitterncart_coordination::fleet::Catalog;
use bitterncart_coordination::fleet::catalog::Version;
use compact_str::CompactString;

const SERVICE: &str = "models";

fn listed(versions: &[&str]) -> BTreeSet<Version> {
    let version = |version: &&str| (SERVICE.into(), (*version).into());
    versions.iter().map(version).collect()
}

/// Store with the newest record of each key.
#[derive(Default)]
struct Store {
    records: HashMap<CompactString, Option<String>>,
    writes: usize,
}

impl Store {
    /// Catalog of a daemon that starts now.
    fn catalog(&self) -> Catalog {
        let mut catalog = Catalog::default();
        for (key, value) in &self.records {
            assert!(Catalog::is_key(key));
            catalog.apply(key, value.as_ref().map(String::as_bytes));
        }
        catalog
    }

    /// One daemon compares the catalog with the list and writes.
    fn follow(&mut self, now_s: u64, versions: &[&str]) {
        for change in self.catalog().changes(now_s * 1000, &listed(versions)) {
            self.records.insert(change.key, change.value);
            self.writes += 1;
        }
    }

    fn sole(&self, now_s: u64) -> Option<(CompactString, Duration)> {
        self.catalog().sole_versions(now_s * 1000).remove(SERVICE)
    }
}

#[test]
fn version_is_written_once_and_known_after_a_restart_of_all() {
    let mut store = Store::default();
    for now_s in 100..200 {
        store.follow(now_s, &["1"]);
    }
    assert_eq!(store.writes, 1);
    assert_eq!(
        store.sole(230),
        Some(("1".into(), Duration::from_secs(130)))
    );
}

/// Streams of the old version may be taken up for a minute after it has left.
#[test]
fn release_leaves_one_version_after_a_minute() {
    let mut store = Store::default();
    store.follow(100, &["1"]);
    store.follow(110, &["1", "2"]);
    assert_eq!(store.sole(111), None);
    store.follow(120, &["2"]);
    assert_eq!(store.sole(121), None);
    assert_eq!(store.sole(179), None);
    assert_eq!(store.sole(181), Some(("2".into(), Duration::from_secs(71))));
    assert_eq!(store.writes, 3);
    // The record of the old version is deleted in the end.
    store.follow(300, &["2"]);
    assert_eq!(store.writes, 4);
    assert_eq!(
        store.sole(301).map(|(version, _)| version),
        Some("2".into())
    );
}

/// All daemons were lost during a release: the old version still counts until one of
/// them has written that it has left, and for a minute from then on.
#[test]
fn version_that_left_while_no_daemon_ran_is_no_less_known() {
    let mut store = Store::default();
    store.follow(100, &["1"]);
    assert_eq!(
        store.sole(300).map(|(version, _)| version),
        Some("1".into())
    );
    store.follow(300, &["2"]);
    assert_eq!(store.sole(301), None);
    assert_eq!(
        store.sole(361).map(|(version, _)| version),
        Some("2".into())
    );
}

/// Replicas disappear from the list in an outage of the store and return.
#[test]
fn version_that_returns_keeps_its_time() {
    let mut store = Store::default();
    store.follow(100, &["1"]);
    store.follow(150, &[]);
    assert_eq!(store.sole(151), None);
    store.follow(152, &["1"]);
    assert_eq!(store.sole(153), Some(("1".into(), Duration::from_secs(53))));
}

#[test]
fn record_that_cannot_be_read_counts_as_missing() {
    let mut store = Store::default();
    store.follow(100, &["1"]);
    let key = store.records.keys().next().expect("a record").clone();
    for value in ["", "x", "1 x"] {
        store.records.insert(key.clone(), Some(value.into()));
        assert_eq!(store.sole(200), None, "{value}");
    }
}
