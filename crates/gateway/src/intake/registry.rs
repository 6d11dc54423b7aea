//! Open connections of one address, by the time for which they have had no whole request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event, EventListener};

use super::capacity::Capacity;

/// Id of a connection, in the order of their opening.
type Id = u64;

#[derive(Debug, Default)]
struct State {
    next: Id,
    entries: BTreeMap<Id, Entry>,
    /// Connections without a whole request, by the time from which they may be closed.
    waiting: BTreeMap<(Duration, Id), ()>,
    /// Connections with an incomplete head, by the time of its first byte.
    partial: BTreeMap<(Duration, Id), usize>,
    /// Bytes of all incomplete heads.
    head_bytes: usize,
}

#[derive(Debug)]
struct Entry {
    /// Time from which it may be closed; `None` while a request is served.
    closable: Option<Duration>,
    /// Time of the first byte of an incomplete head.
    head_start: Option<Duration>,
    is_evicted: bool,
    evicted: Arc<Event>,
}

/// Open connections of one address.
#[derive(Clone, Debug)]
pub struct Registry {
    state: Arc<Mutex<State>>,
    capacity: Capacity,
}

impl Registry {
    /// Creates a registry without connections.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            state: Arc::default(),
            capacity,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open connections, without those that are being closed for others.
    #[must_use]
    pub fn open(&self) -> usize {
        let state = self.lock();
        state.entries.values().filter(|e| !e.is_evicted).count()
    }

    /// Adds a connection. If there are too many, the one that has been open longest without a
    /// whole request is closed for it; `None` if all are in use.
    #[must_use]
    pub fn admit(&self, now: Duration) -> Option<Ticket> {
        let mut state = self.lock();
        if state.entries.len() >= self.capacity.connections {
            let (&(closable, id), ()) = state.waiting.first_key_value()?;
            if closable > now {
                return None;
            }
            state.evict(id);
        }
        let id = state.next;
        state.next += 1;
        let evicted = Arc::new(Event::new());
        let entry = Entry {
            closable: Some(now),
            head_start: None,
            is_evicted: false,
            evicted: Arc::clone(&evicted),
        };
        state.entries.insert(id, entry);
        state.waiting.insert((now, id), ());
        Some(Ticket {
            registry: self.clone(),
            id,
            evicted,
        })
    }
}

impl State {
    /// Marks a connection as closed for others and tells its task.
    fn evict(&mut self, id: Id) {
        self.end_wait(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_evicted = true;
            entry.evicted.notify(usize::MAX);
        }
    }

    /// Removes a connection from those that may be closed, with the bytes of its head.
    fn end_wait(&mut self, id: Id) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(closable) = entry.closable.take() {
            self.waiting.remove(&(closable, id));
        }
        self.end_head(id);
    }

    /// Stops counting the bytes of the head of a connection.
    fn end_head(&mut self, id: Id) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(start) = entry.head_start.take() {
            let bytes = self.partial.remove(&(start, id)).unwrap_or(0);
            self.head_bytes -= bytes;
        }
    }
}

/// Entry of an open connection, removed on drop.
#[derive(Debug)]
pub struct Ticket {
    registry: Registry,
    id: Id,
    evicted: Arc<Event>,
}

/// Closes a connection for others.
#[derive(Debug)]
pub struct Closer {
    registry: Registry,
    id: Id,
}

impl Closer {
    /// Closes the connection, if it is still open.
    pub fn close(self) {
        self.registry.lock().evict(self.id);
    }
}

impl Ticket {
    /// Closer of the connection.
    #[must_use]
    pub fn closer(&self) -> Closer {
        Closer {
            registry: self.registry.clone(),
            id: self.id,
        }
    }

    /// Listener for the time when the connection has to be closed for others.
    #[must_use]
    pub fn eviction(&self) -> EventListener {
        self.evicted.listen()
    }

    /// Whether the connection has to be closed for others.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        let state = self.registry.lock();
        state.entries.get(&self.id).is_some_and(|e| e.is_evicted)
    }

    /// Counts bytes of a head. If all incomplete heads are too large together, the connections
    /// with the oldest ones are closed.
    pub fn add_head_bytes(&self, count: usize, now: Duration) {
        let mut state = self.registry.lock();
        let state = &mut *state;
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return;
        };
        if entry.is_evicted {
            return;
        }
        let start = *entry.head_start.get_or_insert(now);
        *state.partial.entry((start, self.id)).or_default() += count;
        state.head_bytes += count;
        while state.head_bytes > self.registry.capacity.head_bytes && state.partial.len() > 1 {
            let Some((&(_, id), _)) = state.partial.first_key_value() else {
                return;
            };
            state.evict(id);
        }
    }

    /// Stops counting the bytes of the head, as it is complete.
    pub fn head_received(&self) {
        self.registry.lock().end_head(self.id);
    }

    /// Marks the connection as in use, as it has a whole request.
    pub fn request_received(&self) {
        self.registry.lock().end_wait(self.id);
    }

    /// Marks the connection as idle; it may be closed for others from `closable` on.
    pub fn response_ended(&self, closable: Duration) {
        let mut state = self.registry.lock();
        let state = &mut *state;
        if let Some(entry) = state.entries.get_mut(&self.id)
            && !entry.is_evicted
        {
            if let Some(before) = entry.closable.replace(closable) {
                state.waiting.remove(&(before, self.id));
            }
            state.waiting.insert((closable, self.id), ());
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        state.end_wait(self.id);
        state.entries.remove(&self.id);
    }
}
