//! Replicas of a pool as targets of this daemon's links.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::{Entry, Key, Pool};
use crate::fleet::links::Target;

impl Pool {
    /// Forgets the backoffs of all replicas, as the links of this daemon were the cause.
    pub fn forget_failures(&mut self) {
        for entry in self.entries.values_mut() {
            entry.failures = 0;
            entry.backoff_until = Duration::ZERO;
        }
    }

    /// Replicas in service, as targets of links.
    #[must_use]
    pub fn link_targets(&self, now: Duration) -> Vec<Target> {
        let entries = self.entries.values().filter(|e| e.is_in_service(now));
        let target = |e: &Entry| Target {
            id: e.replica.id.clone(),
            address: e.replica.address,
            service: e.replica.service.clone(),
            data_centre: e.replica.data_centre.clone(),
        };
        entries.map(target).collect()
    }

    /// Addresses of the replicas at which this daemon has requests.
    pub fn in_use(&self) -> impl Iterator<Item = SocketAddr> {
        let entries = self.entries.values().filter(|e| e.own.total() > 0);
        entries.map(|e| e.replica.address)
    }

    /// Data centre of a replica.
    #[must_use]
    pub fn data_centre_of(&self, key: Key) -> Option<CompactString> {
        Some(self.entries.get(key)?.replica.data_centre.clone())
    }

    /// Address of a replica that may be connected to.
    #[must_use]
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        let entry = self.entries.get(*self.by_id.get(id)?)?;
        Some(entry.replica.address)
    }
}
