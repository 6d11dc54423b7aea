//! Detects processes of replicas that end while they answer, and keeps the requests
//! that crash them from other replicas.
//!
//! A broken answer alone does not show that the process is gone, as a replica may
//! cut off one answer or close one connection. So its address is probed: if it
//! refuses connections, the process has ended, and the requests whose answers
//! broke were there at the time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::peers::short_hash;
use bitterncart_coordination::fleet::pool::Selection;
use bitterncart_coordination::fleet::quarantine::{
    Change, Digest, Subject, Suspect, Verdict, Writing,
};
use bitterncart_coordination::fleet::replica::Process;
use bitterncart_coordination::fleet::{Pool, Profile, Quarantine};
use smol::Executor;

use crate::clock;
use crate::connection::Connector;
use crate::links;
use crate::log;

/// Timeout of the probe of an address.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before an address that accepted a connection is probed again.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// Broken answers of a process, until the probe of its address has a result.
#[derive(Debug, Default)]
struct Suspicion {
    /// Time of the first broken answer.
    broken_at: Duration,
    /// Subjects of the requests, without duplicates.
    suspects: Vec<Suspect>,
    requests: usize,
}

/// Monitor of the processes of replicas.
#[derive(Clone, Debug)]
pub(crate) struct Monitor(Arc<State>);

#[derive(Debug)]
struct State {
    pool: Arc<Mutex<Pool>>,
    connector: Connector,
    executor: Arc<Executor<'static>>,
    links: links::Monitor,
    suspicions: Mutex<HashMap<Process, Suspicion>>,
    quarantine: Mutex<Quarantine>,
    /// Processes that were found to have ended.
    ended: AtomicUsize,
}

impl Monitor {
    pub(crate) fn new(
        pool: Arc<Mutex<Pool>>,
        connector: Connector,
        executor: Arc<Executor<'static>>,
        links: links::Monitor,
    ) -> Self {
        Self(Arc::new(State {
            pool,
            connector,
            executor,
            links,
            suspicions: Mutex::default(),
            quarantine: Mutex::default(),
            ended: AtomicUsize::default(),
        }))
    }

    /// Watches the answer to a request that is about to be sent.
    pub(crate) fn watch(
        &self,
        selection: &Selection,
        profile: &Arc<Profile>,
        attempt_id: &[u8],
    ) -> Watch {
        Watch {
            monitor: self.clone(),
            process: selection.process(),
            profile: Arc::clone(profile),
            attempt: short_hash(&[attempt_id]),
            writing: Writing::default(),
        }
    }

    fn suspicions(&self) -> MutexGuard<'_, HashMap<Process, Suspicion>> {
        let suspicions = &self.0.suspicions;
        suspicions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a broken answer, and probes the address unless a probe is running.
    fn suspect(&self, process: &Process, suspects: impl IntoIterator<Item = Suspect>) {
        let mut suspicions = self.suspicions();
        let is_probing = suspicions.contains_key(process);
        let suspicion = suspicions.entry(process.clone()).or_insert(Suspicion {
            broken_at: clock::now(),
            ..Suspicion::default()
        });
        suspicion.requests += 1;
        suspicion.suspects.extend(suspects);
        suspicion.suspects.sort_unstable();
        suspicion.suspects.dedup_by_key(|suspect| suspect.subject);
        drop(suspicions);
        if !is_probing {
            let probe = self.clone().probe(process.clone());
            self.0.executor.spawn(probe).detach();
        }
    }

    async fn probe(self, process: Process) {
        let mut has_ended = self.is_refused(process.address).await;
        if !has_ended {
            // The listener of a process may close after its connections.
            smol::Timer::after(PROBE_DELAY).await;
            has_ended = self.is_refused(process.address).await;
        }
        if has_ended {
            // The refusal may come from a broken link of this daemon.
            let links = &self.0.links;
            has_ended = !links.is_reached_by_peer(&process.id, process.address).await;
        }
        let suspicion = self.suspicions().remove(&process);
        if let (Some(suspicion), true) = (suspicion, has_ended) {
            let (now, suspects) = (clock::now(), &suspicion.suspects);
            let broken_for = now.saturating_sub(suspicion.broken_at);
            self.0.ended.fetch_add(1, Ordering::Relaxed);
            log::replica_ended(&process, suspicion.requests, suspects, broken_for);
            let pool = self.0.pool.lock();
            pool.unwrap_or_else(PoisonError::into_inner)
                .record_ended(&process);
            let change = self.quarantine().record_crash(
                now,
                process.short_hash(),
                suspicion.broken_at,
                suspects,
            );
            log_change(&change);
        }
    }

    async fn is_refused(&self, address: SocketAddr) -> bool {
        let connector = &self.0.connector;
        connector.is_refused(address, PROBE_TIMEOUT).await == Some(true)
    }

    /// Number of processes that were found to have ended.
    pub(crate) fn ended(&self) -> usize {
        self.0.ended.load(Ordering::Relaxed)
    }

    fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        let quarantine = &self.0.quarantine;
        quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Verdict on a request that is quarantined.
    pub(crate) fn verdict(&self, profile: &Profile) -> Option<Verdict> {
        self.quarantine().verdict(clock::now(), profile)
    }

    /// Starts a trial of a quarantined subject; `false` if none is due.
    pub(crate) fn start_trial(&self, subject: Subject) -> bool {
        let is_started = self.quarantine().start_trial(clock::now(), subject);
        if is_started {
            log::quarantine_trial(subject);
        }
        is_started
    }

    /// Adds what a peer reports.
    pub(crate) fn merge(&self, now: Duration, digest: &Digest) {
        if !digest.is_empty() {
            log_change(&self.quarantine().merge(now, digest));
        }
    }

    /// What the peers should know.
    pub(crate) fn digest(&self, now: Duration) -> Digest {
        self.quarantine().digest(now)
    }

    /// Forgets evidence that no longer counts.
    pub(crate) fn expire(&self) {
        log_change(&self.quarantine().expire(clock::now()));
    }

    fn record_sound(&self, profile: &Profile) {
        log_change(&self.quarantine().record_sound(clock::now(), profile));
    }
}

fn log_change(change: &Change) {
    change.begun.iter().for_each(log::quarantine_begun);
    change.ended.iter().copied().for_each(log::quarantine_ended);
}

/// Watch of one answer of a replica.
#[derive(Debug)]
pub(crate) struct Watch {
    monitor: Monitor,
    process: Process,
    profile: Arc<Profile>,
    /// Short id of the client attempt.
    attempt: u32,
    writing: Writing,
}

impl Watch {
    /// Records an event of the answer.
    pub(crate) fn record_event(&mut self) {
        if self.writing.record_event(clock::now()) {
            self.monitor.record_sound(&self.profile);
        }
    }

    /// Whether the answer has had an event.
    pub(crate) fn has_events(&self) -> bool {
        self.writing.has_begun()
    }

    /// Records that the answer is complete.
    pub(crate) fn record_complete(&self) {
        self.monitor.record_sound(&self.profile);
    }

    /// Records that the answer broke.
    pub(crate) fn record_broken(&self) {
        let is_suspect = self.writing.is_suspect(clock::now());
        let suspects = Suspect::of_attempt(&self.profile, self.attempt);
        let suspects = suspects.filter(|_| is_suspect);
        self.monitor.suspect(&self.process, suspects);
    }
}
