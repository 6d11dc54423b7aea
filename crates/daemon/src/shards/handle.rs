//! Shared handle to this daemon's part in one shard.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bitterncart_coordination::{Participant, Retention};
use bitterncart_protocol::record::Record;
use bitterncart_protocol::{admin, id};
use event_listener::Event;

use super::recover::Recovered;

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
    retention: Mutex<Retention>,
}

impl Handle {
    /// Handle over a recovered fold.
    #[must_use]
    pub(super) fn new(number: id::Shard, me: id::Daemon, recovered: Recovered) -> Self {
        Self {
            number,
            changed: Event::new(),
            filled: Event::new(),
            participant: Mutex::new(Participant::new(me, recovered.shard)),
            retention: Mutex::new(recovered.retention),
        }
    }

    /// Part in the shard.
    pub(crate) fn participant(&self) -> MutexGuard<'_, Participant> {
        self.participant
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Age of what keeps the shard readable; locked after the part.
    pub(super) fn retention(&self) -> MutexGuard<'_, Retention> {
        self.retention
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues records of the owner and wakes the committer.
    pub(super) fn push(&self, records: impl IntoIterator<Item = Record>) {
        self.participant().push(records);
        self.wake();
    }

    /// Wakes the committer.
    pub(crate) fn wake(&self) {
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
