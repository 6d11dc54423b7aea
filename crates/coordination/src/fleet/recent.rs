//! Table of what happened recently, of bounded size.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// Values by key with the time of each. Clients choose the keys, so the older half is
/// forgotten when the table is full.
#[derive(Debug)]
pub(crate) struct Recent<K, V> {
    capacity: usize,
    entries: HashMap<K, (Duration, V)>,
}

impl<K: Eq + Hash, V> Recent<K, V> {
    pub(crate) fn with_capacity(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
        }
    }

    /// Adds an entry, or replaces the one of its key.
    pub(crate) fn insert(&mut self, now: Duration, key: K, value: V) {
        self.entries.insert(key, (now, value));
        if self.entries.len() > self.capacity {
            self.forget_older_half();
        }
    }

    /// Entry of a key, with its time.
    pub(crate) fn get(&self, key: &K) -> Option<(Duration, &V)> {
        self.entries.get(key).map(|(at, value)| (*at, value))
    }

    /// All entries with their times.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, Duration, &V)> {
        self.entries
            .iter()
            .map(|(key, (at, value))| (key, *at, value))
    }

    /// Forgets entries that are `ttl` old.
    pub(crate) fn expire(&mut self, now: Duration, ttl: Duration) {
        self.entries
            .retain(|_, (at, _)| now.saturating_sub(*at) < ttl);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Duration> = self.entries.values().map(|(at, _)| *at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.entries.retain(|_, (at, _)| *at > median);
    }
}
