//! Detects processes of replicas that end while they answer.
//!
//! A broken answer alone does not show that the process is gone, as a replica may
//! cut off one answer or close one connection. So its address is probed: if it
//! refuses connections, the process has ended, and the requests whose answers
//! broke were there at the time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::Part;
use bitterncart_coordination::fleet::pool::Selection;
use bitterncart_coordination::fleet::replica::Process;
use smol::Executor;

use crate::clock;
use crate::connection::Connector;
use crate::log;

/// Timeout of the probe of an address.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an answer has been written after which its request is not
/// suspected: a replica that cannot bear a request ends when it begins to answer.
const MAX_SUSPECT_AGE: Duration = Duration::from_secs(1);

/// Broken answers of a process, until the probe of its address has a result.
#[derive(Debug, Default)]
struct Suspicion {
    /// Time of the first broken answer.
    broken_at: Duration,
    /// Shared parts of the prompts, without duplicates.
    parts: Vec<Part>,
    requests: usize,
}

/// Monitor of the processes of replicas.
#[derive(Clone, Debug)]
pub(crate) struct Monitor(Arc<State>);

#[derive(Debug)]
struct State {
    connector: Connector,
    executor: Arc<Executor<'static>>,
    suspicions: Mutex<HashMap<Process, Suspicion>>,
}

impl Monitor {
    pub(crate) fn new(connector: Connector, executor: Arc<Executor<'static>>) -> Self {
        Self(Arc::new(State {
            connector,
            executor,
            suspicions: Mutex::default(),
        }))
    }

    /// Watches the answer to a request that is about to be sent.
    pub(crate) fn watch(&self, selection: &Selection, parts: &Arc<[Part]>) -> Watch {
        Watch {
            monitor: self.clone(),
            process: selection.process(),
            parts: Arc::clone(parts),
            written_since: None,
        }
    }

    fn suspicions(&self) -> MutexGuard<'_, HashMap<Process, Suspicion>> {
        let suspicions = &self.0.suspicions;
        suspicions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a broken answer, and probes the address unless a probe is running.
    fn suspect(&self, process: &Process, parts: &[Part]) {
        let mut suspicions = self.suspicions();
        let is_probing = suspicions.contains_key(process);
        let suspicion = suspicions.entry(process.clone()).or_insert(Suspicion {
            broken_at: clock::now(),
            ..Suspicion::default()
        });
        suspicion.requests += 1;
        suspicion.parts.extend(parts);
        suspicion.parts.sort_unstable();
        suspicion.parts.dedup();
        drop(suspicions);
        if !is_probing {
            let probe = self.clone().probe(process.clone());
            self.0.executor.spawn(probe).detach();
        }
    }

    async fn probe(self, process: Process) {
        let connector = &self.0.connector;
        let refused = connector.is_refused(process.address, PROBE_TIMEOUT).await;
        let suspicion = self.suspicions().remove(&process);
        if let (Some(suspicion), Some(true)) = (suspicion, refused) {
            log::replica_ended(
                &process,
                suspicion.requests,
                &suspicion.parts,
                clock::now().saturating_sub(suspicion.broken_at),
            );
        }
    }
}

/// Watch of one answer of a replica.
#[derive(Debug)]
pub(crate) struct Watch {
    monitor: Monitor,
    process: Process,
    parts: Arc<[Part]>,
    /// Time of the first event.
    written_since: Option<Duration>,
}

impl Watch {
    /// Records an event of the answer.
    pub(crate) fn record_event(&mut self) {
        self.written_since.get_or_insert_with(clock::now);
    }

    /// Records that the answer broke.
    pub(crate) fn record_broken(&self) {
        let is_suspect = self
            .written_since
            .is_none_or(|since| clock::now().saturating_sub(since) < MAX_SUSPECT_AGE);
        let parts = if is_suspect { &self.parts[..] } else { &[] };
        self.monitor.suspect(&self.process, parts);
    }
}
