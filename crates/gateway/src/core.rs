//! State shared by the tasks of a daemon.
//!
//! Each table has a lock of its own; the crate documentation gives the
//! order in which they are taken. The state also says whether the daemon is
//! ready, and whether the store is available.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use bitterncart_coordination::fleet::pool::Key as Replica;
use bitterncart_coordination::fleet::quarantine::{Subject, Verdict};
use bitterncart_coordination::fleet::{
    Catalog, CutOff, Freshness, Heartbeat, Manifest, Peers, Pool, Profile, admission_queue,
    ownership,
};
use bitterncart_protocol::hash;
use event_listener::Event;
use smol::{Executor, Task};

use crate::availability::Availability;
use crate::budget::{self, Budget, Share};
use crate::clock::{self, with_timeout};
use crate::confirmation::Confirmations;
use crate::connection::Connector;
use crate::crash;
use crate::datagram::Socket;
use crate::dialect::Dialect;
use crate::intake::Writers;
use crate::links;
use crate::list_reads::ListReads;
use crate::log;
use crate::metrics::Metrics;
use crate::request_quota::RequestQuotas;
use crate::runner::Runs;
use crate::settings::Settings;
use crate::shard::Shard;
use crate::shutdown;
use crate::store::{Failure, Store};
use crate::streams;
use crate::token_quota::TokenQuotas;
use crate::tokens::Tokens;

/// Time between the trials of a quarantined subject by two daemons, of which the
/// second one has to learn how the first one ended.
const TRIAL_SPACING: Duration = Duration::from_secs(2);

/// Time in which a connection that is closed for others gives back its memory.
const CLOSE_TIME: Duration = Duration::from_millis(5);

/// Shared state of one daemon.
pub(crate) struct State<S: Store, D: Dialect> {
    /// Settings at startup, which hold the values that need a restart to change.
    pub settings: Settings,
    /// Settings as last loaded.
    current_settings: RwLock<Settings>,
    pub store: S,
    pub dialect: D,
    pub executor: Arc<Executor<'static>>,
    pub connector: Connector,
    pub crashes: crash::Monitor,
    /// Socket for datagrams to other daemons.
    pub socket: Arc<Socket>,
    pub tokens: Tokens,
    pub request_quotas: RequestQuotas,
    pub token_quotas: TokenQuotas,
    pub streams: streams::Registry,
    pub metrics: Arc<Metrics>,
    /// Memory for the answers that are kept or written, those of peers too.
    pub budget: Budget,
    /// Connections on which a large answer is written.
    pub writers: Writers,
    /// Memory for the bodies of requests.
    pub calls_budget: Budget,
    /// Links to the replicas.
    pub links: links::Monitor,
    pub shards: Vec<Shard>,
    pub shutdown: shutdown::State,
    pub runs: Mutex<Runs>,
    /// Held while a shard is loaded, so that only one is loaded at a time.
    pub load_lock: smol::lock::Mutex<()>,
    /// Held while a large job is decoded and recorded, which takes several times its size.
    pub large_job_lock: smol::lock::Mutex<()>,
    /// Notified when the manifest or the replicas have been read.
    configured: Event,
    manifest: RwLock<Option<Arc<Manifest>>>,
    freshness: Mutex<Freshness>,
    /// Asks of peers for the age of their manifest.
    pub confirmations: Confirmations,
    peers: Arc<Mutex<Peers>>,
    cut_off: Mutex<CutOff>,
    ownership_table: Mutex<ownership::Table>,
    pool: Arc<Mutex<Pool>>,
    admission_queue: Mutex<admission_queue::Queue>,
    catalog: Mutex<Catalog>,
    pub list_reads: ListReads,
    /// Notified when a slot is offered to a request in the admission queue.
    pub slot_offered: Event,
    /// Daemons registered in the store; `None` until they have been read.
    members: Mutex<Option<BTreeSet<SocketAddr>>>,
    replicas_known: AtomicBool,
    store_availability: Availability,
}

/// Handle to the shared state.
pub(crate) struct Core<S: Store, D: Dialect>(Arc<State<S, D>>);

impl<S: Store, D: Dialect> Clone for Core<S, D> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<S: Store, D: Dialect> Deref for Core<S, D> {
    type Target = State<S, D>;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl<S: Store, D: Dialect> Core<S, D> {
    pub(crate) fn new(
        settings: Settings,
        store: S,
        dialect: D,
        executor: Arc<Executor<'static>>,
        connector: Connector,
    ) -> Self {
        let shards = (0..settings.shards).map(Shard::new).collect();
        let pool = Pool::new(settings.data_centre.clone(), settings.name.clone());
        let pool = Arc::new(Mutex::new(pool));
        let socket = Arc::<Socket>::default();
        let peers = Arc::<Mutex<Peers>>::default();
        let metrics = Arc::<Metrics>::default();
        let links = links::Monitor::new(links::Shared {
            data_centre: settings.data_centre.clone(),
            capacity: settings.capacity_millicores(),
            pool: Arc::clone(&pool),
            peers: Arc::clone(&peers),
            connector: connector.clone(),
            executor: Arc::clone(&executor),
            metrics: Arc::clone(&metrics),
        });
        Self(Arc::new(State {
            current_settings: RwLock::new(settings.clone()),
            store,
            dialect,
            tokens: Tokens::new(Arc::clone(&socket)),
            confirmations: Confirmations::new(Arc::clone(&socket)),
            request_quotas: RequestQuotas::new(&settings, Arc::clone(&socket)),
            token_quotas: TokenQuotas::default(),
            streams: streams::Registry::new(Arc::clone(&socket)),
            socket,
            crashes: crash::Monitor::new(
                Arc::clone(&pool),
                connector.clone(),
                Arc::clone(&executor),
                links.clone(),
            ),
            executor,
            connector,
            metrics,
            budget: Budget::of_memory(settings.memory_bytes()),
            writers: Writers::default(),
            calls_budget: Budget::of_calls(settings.memory_bytes()),
            settings,
            links,
            shards,
            shutdown: shutdown::State::default(),
            runs: Mutex::default(),
            load_lock: smol::lock::Mutex::new(()),
            large_job_lock: smol::lock::Mutex::new(()),
            configured: Event::new(),
            manifest: RwLock::default(),
            freshness: Mutex::default(),
            peers,
            cut_off: Mutex::default(),
            ownership_table: Mutex::default(),
            members: Mutex::default(),
            pool,
            admission_queue: Mutex::default(),
            catalog: Mutex::default(),
            list_reads: ListReads::default(),
            slot_offered: Event::new(),
            replicas_known: AtomicBool::new(false),
            store_availability: Availability::default(),
        }))
    }

    pub(crate) fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Address by which peers know this daemon.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.settings.peers
    }
}

impl<S: Store, D: Dialect> State<S, D> {
    /// Settings that can change while the daemon runs.
    pub(crate) fn current_settings(&self) -> RwLockReadGuard<'_, Settings> {
        self.current_settings
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies reloaded settings, and logs changes that need a restart.
    pub(crate) fn reload(&self, new: Settings) {
        let restart_only = self.settings.restart_only_changes(&new);
        *self
            .current_settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = new;
        log::settings_reloaded(&restart_only);
    }

    pub(crate) fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn admission_queue(&self) -> MutexGuard<'_, admission_queue::Queue> {
        self.admission_queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn catalog(&self) -> MutexGuard<'_, Catalog> {
        self.catalog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Offers a free slot to the requests in the admission queue.
    pub(crate) fn offer_slot(&self, service: &str, replica: Replica) {
        if self.admission_queue().offer(clock::now(), service, replica) {
            self.slot_offered.notify(usize::MAX);
        }
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn cut_off(&self) -> MutexGuard<'_, CutOff> {
        self.cut_off.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ownership_table(&self) -> MutexGuard<'_, ownership::Table> {
        self.ownership_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Daemons registered in the store; empty until they have been read.
    pub(crate) fn members(&self) -> BTreeSet<SocketAddr> {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.clone().unwrap_or_default()
    }

    /// Sets the daemons registered in the store. After the first call,
    /// peers are not considered silent until they have had time to send a heartbeat.
    pub(crate) fn set_members(&self, addresses: BTreeSet<SocketAddr>) {
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = members.replace(addresses).is_none();
        drop(members);
        if is_first {
            self.peers().delay_stability(clock::now());
        }
    }

    /// Whether the registered daemons have been read from the store.
    pub(crate) fn knows_members(&self) -> bool {
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.is_some()
    }

    /// Whether a request may be sent now. One that is sent although it is quarantined
    /// is a trial.
    pub(crate) fn admits(&self, profile: &Profile) -> bool {
        self.crashes.verdict(profile).is_none_or(|verdict| {
            self.may_make_trial(&verdict) && self.crashes.start_trial(verdict.subject)
        })
    }

    /// Verdict on a quarantined request; `None` if this daemon may admit it.
    pub(crate) fn verdict(&self, profile: &Profile) -> Option<Verdict> {
        let verdict = self.crashes.verdict(profile)?;
        (!self.may_make_trial(&verdict)).then_some(verdict)
    }

    /// Whether a trial is due and it is this daemon's turn.
    fn may_make_trial(&self, verdict: &Verdict) -> bool {
        verdict.trial_in.is_zero()
            && verdict.trial_due_for >= TRIAL_SPACING * self.trial_rank(verdict.subject)
    }

    /// Number of live daemons that make a trial of a subject before this one.
    fn trial_rank(&self, subject: Subject) -> u32 {
        let subject = subject.to_string();
        let score = |address: SocketAddr| {
            hash::rendezvous_score(subject.as_bytes(), address.to_string().as_bytes())
        };
        let own_score = score(self.settings.peers);
        let peers = self.peers();
        let before = peers
            .live(clock::now())
            .filter(|peer| score(peer.from) > own_score);
        before.count() as u32
    }

    /// Makes room for an answer, as the memory is spent: closes the connection whose client has
    /// read longest. `false` if all may still be written.
    pub(crate) async fn make_room(&self) -> bool {
        if !self.writers.close_slowest(clock::now()) {
            return false;
        }
        self.metrics.writer_closed();
        // Its task ends, and drops what was to be written.
        smol::Timer::after(CLOSE_TIME).await;
        true
    }

    /// Share of the memory for answers, for which slow readers give way; `None` if there is no
    /// room.
    pub(crate) async fn reserve_answer(&self, bytes: usize) -> Option<Share> {
        let mut share = self.budget.share();
        while !share.try_resize(bytes) {
            if !self.make_room().await {
                return None;
            }
        }
        Some(share)
    }

    /// Whether a job whose request has this size fits in the memory beside those of the loaded
    /// shards.
    pub(crate) fn has_room_for_job(&self, bytes: usize) -> bool {
        let kept: usize = self.shards.iter().map(|s| s.ledger().memory_bytes()).sum();
        kept + bytes <= budget::max_job_bytes(self.settings.memory_bytes())
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Installs a manifest if its version is higher than that of the current one.
    pub(crate) fn install_manifest(&self, new: Manifest) -> bool {
        let mut manifest = self
            .manifest
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let is_newer = manifest
            .as_ref()
            .is_none_or(|old| new.version > old.version);
        if is_newer {
            if let Some(old) = manifest.as_deref() {
                self.streams.record_moved_routes(old, &new);
            }
            *manifest = Some(Arc::new(new));
        }
        drop(manifest);
        self.configured.notify(usize::MAX);
        is_newer
    }

    /// Age of the manifest.
    pub(crate) fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether requests with keys may run: no key that the manifest holds has been
    /// withdrawn for longer than the settings allow.
    pub(crate) fn is_manifest_current(&self) -> bool {
        let max_age = self.current_settings().max_manifest_age();
        self.freshness().is_served(clock::now(), max_age)
    }

    /// Waits until the manifest and the replicas are known. They are read before
    /// the ledger, as online requests need them.
    pub(crate) async fn wait_until_configured(&self) {
        loop {
            let configured = self.configured.listen();
            if self.replicas_known.load(Ordering::Relaxed) && self.manifest().is_some() {
                return;
            }
            configured.await;
        }
    }

    /// Waits until the manifest has a version or a later one; `false` if it has not
    /// within `timeout`.
    pub(crate) async fn wait_for_manifest(&self, version: u64, timeout: Duration) -> bool {
        let installed = async {
            loop {
                let configured = self.configured.listen();
                let manifest = self.manifest();
                if manifest.is_some_and(|manifest| manifest.version >= version) {
                    return;
                }
                configured.await;
            }
        };
        with_timeout(timeout, installed).await.is_some()
    }

    pub(crate) fn set_replicas_known(&self) {
        self.replicas_known.store(true, Ordering::Relaxed);
        self.configured.notify(usize::MAX);
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.shutdown.has_begun()
            && self.replicas_known.load(Ordering::Relaxed)
            && self.manifest().is_some()
            && !self.is_helpless()
            && !self.lacks_current_keys()
    }

    /// Whether this daemon can send no request to a replica, not even through a peer,
    /// while peers can. Clients are then better served elsewhere.
    fn is_helpless(&self) -> bool {
        let has_link = |peer: &Heartbeat| peer.links.is_none_or(|links| !links.cut_off);
        self.links.has_no_path() && self.peers().live(clock::now()).any(has_link)
    }

    /// Whether the manifest names customers, so that requests need keys.
    pub(crate) fn names_customers(&self) -> bool {
        let manifest = self.manifest();
        manifest.is_some_and(|manifest| manifest.customers.is_some())
    }

    /// Whether requests need keys and the daemon must refuse them, or most of them. Clients
    /// are then better served elsewhere.
    fn lacks_current_keys(&self) -> bool {
        // Without the list of daemons, no quota can be shared.
        self.names_customers() && !(self.is_manifest_current() && self.knows_members())
    }

    /// Records a successful call to the store.
    pub(crate) fn record_store_success(&self) {
        if let Some(failed_for) = self.store_availability.record_success() {
            log::store_recovered(failed_for);
        }
    }

    /// Records a failed call to the store.
    pub(crate) fn record_store_failure(&self, call: &str, error: &Failure) {
        if matches!(error, Failure::Truncated | Failure::Conflict) {
            // The store has answered; the caller reads further or reloads.
            return self.record_store_success();
        }
        self.metrics.store_failure(call);
        if self.store_availability.record_failure() {
            log::store_call_failed(call, error);
        }
    }

    /// Whether calls to the store fail persistently.
    pub(crate) fn is_store_unavailable(&self, now: Duration) -> bool {
        self.store_availability.is_unavailable(now)
    }

    /// Time at which the store last became available again.
    pub(crate) fn store_recovered_at(&self) -> Option<Duration> {
        self.store_availability.recovered_at()
    }
}
