//! Shared handle to the participant of one shard.
//!
//! The tasks that follow, commit and maintain a shard share its handle. It holds
//! the state replayed from the shard's log and the events on which tasks wait. Each
//! task keeps only a weak reference and ends when the handle is dropped.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bitterncart_coordination::{Participant, Retention};
use bitterncart_protocol::record::Record;
use bitterncart_protocol::{admin, id};
use event_listener::Event;

use super::recover::Recovered;

/// Handle to a shard that this daemon follows.
#[derive(Debug)]
pub struct Handle {
    /// Number of the shard.
    pub number: id::Shard,
    /// Notified when entries have been applied or the handle is closed.
    pub(super) state_changed: Event,
    /// Notified when records may have been queued for the log or the handle is closed.
    pub(super) records_queued: Event,
    participant: Mutex<Participant>,
    retention: Mutex<Retention>,
}

impl Handle {
    /// Handle to a shard whose state was recovered from the log.
    #[must_use]
    pub(super) fn new(number: id::Shard, me: id::Daemon, recovered: Recovered) -> Self {
        Self {
            number,
            state_changed: Event::new(),
            records_queued: Event::new(),
            participant: Mutex::new(Participant::new(me, recovered.shard)),
            retention: Mutex::new(recovered.retention),
        }
    }

    /// Participant of the shard.
    pub(crate) fn participant(&self) -> MutexGuard<'_, Participant> {
        self.participant
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Age of the snapshot; locked after the participant.
    pub(super) fn retention(&self) -> MutexGuard<'_, Retention> {
        self.retention
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues records of the owner for the log and notifies the committer.
    pub(super) fn queue_records(&self, records: impl IntoIterator<Item = Record>) {
        self.participant().push(records);
        self.notify_committer();
    }

    /// Notifies the committer that records may have been queued.
    pub(crate) fn notify_committer(&self) {
        self.records_queued.notify(usize::MAX);
    }

    /// Whether this daemon owns the shard, according to the log entries applied so far.
    #[must_use]
    pub fn is_owner(&self) -> bool {
        self.participant().is_mine()
    }

    /// Status of the shard for operators.
    #[must_use]
    pub fn status(&self) -> admin::Shard {
        self.participant().admin_row(self.number)
    }
}
