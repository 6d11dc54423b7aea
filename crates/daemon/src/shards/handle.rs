//! Shared handle to this daemon's part in one shard.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::Participant;
use bitterncart_protocol::record::Record;
use bitterncart_protocol::{admin, id};
use bitterncart_state::Shard;
use event_listener::Event;

/// When snapshots of a shard are due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Snapshots {
    /// Entries since the last one.
    pub(super) entries: u32,
    /// When the last one was written.
    pub(super) at: Duration,
}

/// Part in one shard and the events around it.
#[derive(Debug)]
pub struct Handle {
    /// Number of the shard.
    pub number: id::Shard,
    /// Fires when the fold moved or the handle is closed.
    pub(super) changed: Event,
    /// Fires when records wait.
    pub(super) filled: Event,
    participant: Mutex<Participant>,
    snapshots: Mutex<Snapshots>,
}

impl Handle {
    /// Handle over a recovered fold.
    #[must_use]
    pub(super) fn new(number: id::Shard, me: id::Daemon, shard: Shard, now: Duration) -> Self {
        Self {
            number,
            changed: Event::new(),
            filled: Event::new(),
            participant: Mutex::new(Participant::new(me, shard)),
            snapshots: Mutex::new(Snapshots {
                entries: 0,
                at: now,
            }),
        }
    }

    /// Part in the shard.
    pub(super) fn participant(&self) -> MutexGuard<'_, Participant> {
        self.participant
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// When snapshots are due; locked after the part.
    pub(super) fn snapshots(&self) -> MutexGuard<'_, Snapshots> {
        self.snapshots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues records of the owner and wakes the committer.
    pub(super) fn push(&self, records: impl IntoIterator<Item = Record>) {
        self.participant().push(records);
        self.wake();
    }

    /// Wakes the committer.
    pub(super) fn wake(&self) {
        self.filled.notify(usize::MAX);
    }

    /// Whether this daemon owns the shard by its fold.
    #[must_use]
    pub fn is_mine(&self) -> bool {
        self.participant().is_mine()
    }

    /// Row for operators.
    #[must_use]
    pub fn view(&self) -> admin::Shard {
        self.participant().view(self.number)
    }
}
