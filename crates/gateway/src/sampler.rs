//! Measures the times of one answer of a replica, from which the pool learns its capacity.

use std::time::Duration;

use bitterncart_coordination::fleet::Class;
use bitterncart_coordination::fleet::capacity::{Kind, Sample};
use bitterncart_coordination::fleet::pool::Key;

use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::store::Store;

/// Maximum time between an event and the wait for the next one. After a longer one, the
/// daemon or its client was busy, and the time between the events is not the replica's.
const MAX_ABSENCE: Duration = Duration::from_millis(20);

/// Sampler of an answer.
#[derive(Debug)]
pub(crate) struct Sampler {
    replica: Key,
    class: Class,
    objective: Option<Duration>,
    /// Time of the latest event, or of the request.
    latest: Duration,
    has_events: bool,
}

impl Sampler {
    /// Sampler of an answer to a request that is sent now.
    pub(crate) fn start(replica: Key, class: Class, objective: Option<Duration>) -> Self {
        Self {
            replica,
            class,
            objective,
            latest: clock::now(),
            has_events: false,
        }
    }

    /// Records an event for which the daemon has waited since `waited_since`; `None` if
    /// it had arrived together with an earlier one.
    pub(crate) fn record_event<S: Store, D: Dialect>(
        &mut self,
        core: &Core<S, D>,
        waited_since: Option<Duration>,
    ) {
        let kind = if self.has_events {
            Kind::Gap
        } else {
            Kind::First
        };
        let is_attended = |since: Duration| since.saturating_sub(self.latest) <= MAX_ABSENCE;
        if kind == Kind::First || waited_since.is_some_and(is_attended) {
            self.record(core, kind);
        }
        self.has_events = true;
        self.latest = clock::now();
    }

    /// Records a complete answer that is no stream.
    pub(crate) fn record_answer<S: Store, D: Dialect>(&self, core: &Core<S, D>) {
        self.record(core, Kind::Answer);
    }

    fn record<S: Store, D: Dialect>(&self, core: &Core<S, D>, kind: Kind) {
        if !core.current_settings().learn_capacity {
            return;
        }
        let now = clock::now();
        let sample = Sample {
            kind,
            class: self.class,
            time: now.saturating_sub(self.latest),
            objective: self.objective.filter(|_| kind != Kind::Gap),
        };
        core.pool().record_sample(now, self.replica, &sample);
    }
}
