//! Admission queue for online requests that found no free slot at a replica.
//!
//! A replica serves requests in order of arrival, so a request sent to a full
//! replica stays queued there even when a slot becomes free at another one.
//! Such a request is queued at the daemon instead. Each slot released by a
//! request of this daemon is offered to a queued request for the same service:
//! first to those that can still meet their latency objective, oldest first,
//! then to the others, oldest first.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::pool;

new_key_type! {
    /// Key of a queued request.
    pub struct Ticket;
}

/// Capacity of one daemon's queue, in requests; further requests are refused
/// immediately.
const MAX_QUEUED: usize = 256;

#[derive(Debug)]
struct Entry {
    service: CompactString,
    /// Order of arrival.
    sequence: u64,
    /// Latest time of sending that meets the latency objective.
    latest_start: Duration,
    /// Replica whose free slot is offered to the request.
    offer: Option<pool::Key>,
}

/// Queued requests of all services.
#[derive(Debug, Default)]
pub struct Queue {
    entries: SlotMap<Ticket, Entry>,
    last_sequence: u64,
}

impl Queue {
    /// Adds a request that meets its latency objective if it is sent by
    /// `latest_start`; `None` if the queue is full.
    pub fn enqueue(&mut self, service: &str, latest_start: Duration) -> Option<Ticket> {
        if self.entries.len() >= MAX_QUEUED {
            return None;
        }
        self.last_sequence += 1;
        Some(self.entries.insert(Entry {
            service: service.into(),
            sequence: self.last_sequence,
            latest_start,
            offer: None,
        }))
    }

    /// Offers a free slot of a replica to a queued request of the service that
    /// has no other offer; returns whether there was one.
    pub fn offer(&mut self, now: Duration, service: &str, replica: pool::Key) -> bool {
        let candidates = self
            .entries
            .values_mut()
            .filter(|e| e.service == service && e.offer.is_none());
        match candidates.min_by_key(|e| (now > e.latest_start, e.sequence)) {
            Some(entry) => {
                entry.offer = Some(replica);
                true
            }
            None => false,
        }
    }

    /// Number of requests by service that have no offer.
    #[must_use]
    pub fn lengths(&self) -> BTreeMap<CompactString, u32> {
        let mut lengths = BTreeMap::new();
        for entry in self.entries.values().filter(|e| e.offer.is_none()) {
            *lengths.entry(entry.service.clone()).or_default() += 1;
        }
        lengths
    }

    /// Takes the offer made to a request, if any; the request stays queued.
    pub fn take_offer(&mut self, ticket: Ticket) -> Option<pool::Key> {
        self.entries.get_mut(ticket)?.offer.take()
    }

    /// Removes a request; returns its service and replica if an offer was not
    /// taken, so that the caller can offer the slot to another request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<(CompactString, pool::Key)> {
        let entry = self.entries.remove(ticket)?;
        entry.offer.map(|key| (entry.service, key))
    }
}
