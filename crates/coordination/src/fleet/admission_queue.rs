//! Admission queue for online requests that found no free slot at a replica.
//!
//! A replica serves requests in order of arrival, so a request sent to a full
//! replica stays queued there even when a slot becomes free at another one.
//! Such a request is queued at the daemon instead. Each slot released by a
//! request of this daemon is offered to a queued request for the same service:
//! first to those that can still meet their latency objective, oldest first,
//! then to the others, oldest first.
//!
//! Customers with a lower priority number come first. Customers of the same priority
//! have equal shares of the slots, by start-time fair queueing: each slot advances the
//! virtual time of its customer, and the customer that is furthest behind is next. One
//! that was idle begins at the virtual time of the others, so it saves no share.

use std::collections::{BTreeMap, HashMap};
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

/// Customer of a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Customer {
    /// Short id.
    pub id: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// Slots that the customers of one priority got for one service.
#[derive(Debug, Default)]
struct Level {
    /// Virtual time of the slot that was offered last.
    virtual_time: u64,
    /// Virtual time at which the next slot of a customer begins.
    next: HashMap<Option<u32>, u64>,
}

impl Level {
    fn start(&self, customer: Option<u32>) -> u64 {
        let next = self.next.get(&customer).copied().unwrap_or_default();
        next.max(self.virtual_time)
    }

    fn charge(&mut self, customer: Option<u32>) {
        let start = self.start(customer);
        self.virtual_time = start;
        // Customers that are not ahead of the others need no entry.
        self.next.retain(|_, next| *next > start);
        self.next.insert(customer, start + 1);
    }

    /// Takes back the charge for a slot that was not used.
    fn refund(&mut self, customer: Option<u32>) {
        if let Some(next) = self.next.get_mut(&customer) {
            *next = next.saturating_sub(1);
        }
    }
}

#[derive(Debug)]
struct Entry {
    service: CompactString,
    /// Customer; requests without one share the slots of one customer of priority 0.
    customer: Option<Customer>,
    /// Order of arrival.
    sequence: u64,
    /// Latest time of sending that meets the latency objective.
    latest_start: Duration,
    /// Replica whose free slot is offered to the request.
    offer: Option<pool::Key>,
}

impl Entry {
    fn priority(&self) -> u32 {
        self.customer.map_or(0, |customer| customer.priority)
    }

    fn customer_id(&self) -> Option<u32> {
        self.customer.map(|customer| customer.id)
    }
}

/// Queued requests of all services.
#[derive(Debug, Default)]
pub struct Queue {
    entries: SlotMap<Ticket, Entry>,
    last_sequence: u64,
    /// By service and priority.
    levels: HashMap<(CompactString, u32), Level>,
}

impl Queue {
    /// Adds a request that meets its latency objective if it is sent by
    /// `latest_start`; `None` if the queue is full. A customer may have as many requests in
    /// the queue as are free in it, so that no customer fills it alone.
    pub fn enqueue(
        &mut self,
        service: &str,
        latest_start: Duration,
        customer: Option<Customer>,
    ) -> Option<Ticket> {
        let free = MAX_QUEUED.saturating_sub(self.entries.len());
        if free == 0 || customer.is_some_and(|customer| self.queued(customer.id) >= free) {
            return None;
        }
        self.last_sequence += 1;
        Some(self.entries.insert(Entry {
            service: service.into(),
            customer,
            sequence: self.last_sequence,
            latest_start,
            offer: None,
        }))
    }

    /// Number of requests of a customer.
    fn queued(&self, customer: u32) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.customer_id() == Some(customer))
            .count()
    }

    /// Offers a free slot of a replica to a queued request of the service that
    /// has no other offer; returns whether there was one.
    pub fn offer(&mut self, now: Duration, service: &str, replica: pool::Key) -> bool {
        let levels = &self.levels;
        let order = |entry: &Entry| {
            let level = levels.get(&(entry.service.clone(), entry.priority()));
            let start = level.map_or(0, |level| level.start(entry.customer_id()));
            let is_late = now > entry.latest_start;
            (entry.priority(), is_late, start, entry.sequence)
        };
        let candidates = self
            .entries
            .values_mut()
            .filter(|e| e.service == service && e.offer.is_none());
        match candidates.min_by_key(|entry| order(entry)) {
            Some(entry) => {
                entry.offer = Some(replica);
                let (key, id) = (
                    (entry.service.clone(), entry.priority()),
                    entry.customer_id(),
                );
                let level = self.levels.entry(key).or_default();
                level.charge(id);
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
        let replica = entry.offer?;
        let id = entry.customer_id();
        let key = (entry.service.clone(), entry.priority());
        if let Some(level) = self.levels.get_mut(&key) {
            level.refund(id);
        }
        Some((entry.service, replica))
    }
}
