//! State that all tasks of a daemon share.
//!
//! Each component has a mutex of its own. The lock order is: configuration,
//! membership, placement, admission, routing, load reporter, batch limiters, budget,
//! log health, append rate, shards, one shard's participant, batch streams, attempt
//! ends. A task holds a lock for one short step and never across an `await`.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::batch_limit::{self, Bounds};
use bitterncart_coordination::retry::Budget;
use bitterncart_coordination::routing::{self, Routing};
use bitterncart_coordination::{
    Admission, Membership, Placement, append_rate, load_report, log_health,
};
use bitterncart_protocol::peer::{End, Lease, Member};
use bitterncart_protocol::record::Chunk;
use bitterncart_protocol::{Code, Document, Name, Settings, document, id};
use bitterncart_state::Config;
use bitterncart_state::config::Version;
use bitterncart_transport::http::Client;
use bitterncart_transport::{Blocklist, Runtime, heartbeat, log, peer};
use event_listener::Event;

use crate::counters::Counters;
use crate::shards::Handle;

/// Client of the platform's log.
pub type Log = log::Service;

/// Lines of one chunk of batch input.
pub type Lines = Arc<Vec<String>>;

/// Maximum number of batch input chunks cached in memory.
const MAX_CACHED_CHUNKS: usize = 16;

/// Batch streams; a run stops when the sender held for it is dropped.
pub type Streams = bitterncart_coordination::Streams<async_channel::Sender<()>>;

/// Shared state of one daemon.
#[derive(Debug)]
pub struct Core {
    /// Settings.
    pub settings: Settings,
    /// Identity of this daemon; every start has a new one.
    pub daemon_id: id::Daemon,
    /// Worker pool.
    pub runtime: Runtime,
    /// Client of the platform's log.
    pub log: Log,
    /// Connections to other daemons.
    pub peers: peer::Peers,
    /// Socket for membership packets.
    pub heartbeat: heartbeat::Socket,
    /// HTTP client.
    pub http: Client,
    /// Counters.
    pub counters: Counters,
    config: Mutex<Config>,
    membership: Mutex<Membership>,
    placement: Mutex<Placement>,
    admission: Mutex<Admission>,
    routing: Mutex<Routing>,
    load_reporter: Mutex<load_report::Reporter>,
    batch_limiters: Mutex<HashMap<Name, batch_limit::Limiter>>,
    budget: Mutex<Budget>,
    log_health: Mutex<log_health::Health>,
    append_limiter: Mutex<append_rate::Limiter>,
    shards: Mutex<BTreeMap<id::Shard, Arc<Handle>>>,
    streams: Mutex<Streams>,
    ends: Mutex<HashMap<id::Shard, Vec<(Lease, End)>>>,
    chunk_cache: Mutex<VecDeque<(Chunk, Lines)>>,
    /// Notified after each read of the configuration stream.
    pub config_read: Event,
    /// Number of callers' requests in flight.
    pub in_flight: AtomicU32,
    draining: AtomicBool,
    ending: AtomicBool,
    /// Notified when all requests have to be answered.
    end_requested: Event,
    next_request: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Poisoning is ignored: a panic in another task is a bug there, and every
    // component is consistent between two steps.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

macro_rules! lock_methods {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)*) => {
        $($(#[$doc])*
        pub fn $name(&self) -> MutexGuard<'_, $type> {
            lock(&self.$name)
        })*
    };
}

impl Core {
    lock_methods! {
        /// State replayed from the configuration stream.
        config: Config;
        /// Membership of the fleet.
        membership: Membership;
        /// Admission limits of customers.
        admission: Admission;
        /// Routing table.
        routing: Routing;
        /// Reporter of online load to the owners of replicas.
        load_reporter: load_report::Reporter;
        /// Batch limiter of each replica that this daemon owns.
        batch_limiters: HashMap<Name, batch_limit::Limiter>;
        /// Connectivity to the log.
        log_health: log_health::Health;
        /// Retry budget.
        budget: Budget;
        /// Shards whose log this daemon follows.
        shards: BTreeMap<id::Shard, Arc<Handle>>;
        /// Batch streams.
        streams: Streams;
        /// Ends of batch attempts queued for the owners of their shards.
        ends: HashMap<id::Shard, Vec<(Lease, End)>>;
    }

    /// Initial state of a daemon.
    pub(crate) fn new(
        settings: Settings,
        runtime: Runtime,
        blocklist: Blocklist,
        peers: peer::Peers,
        heartbeat: heartbeat::Socket,
        me: Member,
        seed: u64,
    ) -> Self {
        // Answers that callers read slowly leave the log's records their memory.
        let log_http = Client::default().blocklist(blocklist.clone());
        let http = Client::default().blocklist(blocklist);
        Self {
            daemon_id: me.daemon.clone(),
            log: Log::new(settings.log, log_http),
            http,
            counters: Counters::new(settings.statsd),
            config: Mutex::default(),
            membership: Mutex::new(Membership::new(me, seed)),
            placement: Mutex::default(),
            admission: Mutex::default(),
            routing: Mutex::new(Routing::new(settings.data_centre.clone())),
            load_reporter: Mutex::default(),
            batch_limiters: Mutex::default(),
            budget: Mutex::default(),
            log_health: Mutex::default(),
            append_limiter: Mutex::default(),
            shards: Mutex::default(),
            streams: Mutex::default(),
            ends: Mutex::default(),
            chunk_cache: Mutex::default(),
            config_read: Event::new(),
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            end_requested: Event::new(),
            next_request: AtomicU64::new(0),
            settings,
            runtime,
            peers,
            heartbeat,
        }
    }

    /// Time since the daemon started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.runtime.now()
    }

    /// Current version of the configuration.
    #[must_use]
    pub fn config_version(&self) -> Option<Version> {
        self.config().current().cloned()
    }

    /// Current document.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] if no configuration has been read yet.
    pub fn document(&self) -> Result<Arc<Document>, Code> {
        let config = self.config();
        config
            .current()
            .map(|version| Arc::clone(&version.document))
            .ok_or(Code::NoConfiguration)
    }

    /// Sequence number for a request's id.
    #[must_use]
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon is draining and rejects new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Makes the daemon reject new requests from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Answers the requests in flight now, as the daemon ends.
    pub fn end_requests(&self) {
        self.ending.store(true, Ordering::Relaxed);
        self.end_requested.notify(usize::MAX);
    }

    /// Waits until the requests in flight have to be answered.
    pub async fn ending(&self) {
        while !self.ending.load(Ordering::Relaxed) {
            let requested = self.end_requested.listen();
            if !self.ending.load(Ordering::Relaxed) {
                requested.await;
            }
        }
    }

    /// Records whether an exchange with the log succeeded.
    pub fn record_log_result(&self, answered: bool) {
        let now = self.now();
        self.log_health().record(now, answered);
    }

    /// Whether the last exchange with the log failed.
    #[must_use]
    pub fn is_log_failing(&self) -> bool {
        self.log_health().is_failing()
    }

    /// Live daemon that should own a shard, by rendezvous hashing; for the orders
    /// shard, a daemon of this data centre.
    #[must_use]
    pub fn preferred_owner(&self, shard: id::Shard) -> Option<id::Daemon> {
        let membership = self.membership();
        let mut placement = lock(&self.placement);
        if shard.is_orders() {
            return placement.order_issuer(&membership, shard, &self.settings.data_centre);
        }
        placement.shard(&membership, shard)
    }

    /// Owner of a replica: a live daemon of the replica's data centre.
    #[must_use]
    pub fn replica_owner(&self, name: &Name, data_centre: &Name) -> Option<Member> {
        let membership = self.membership();
        let owner = lock(&self.placement).replica(&membership, name, data_centre)?;
        membership.member(&owner).cloned()
    }

    /// Applies the current configuration and membership to admission, routing and
    /// the rate limit on appends.
    pub fn reconfigure(&self) {
        let Ok(document) = self.document() else {
            return;
        };
        let now = self.now();
        let (daemons, local) = {
            let membership = self.membership();
            let home = &self.settings.data_centre;
            let local = membership.live().filter(|m| m.data_centre == *home);
            (membership.live().count().max(1), local.count().max(1))
        };
        self.admission()
            .configure(now, &document.customers, daemons, local);
        let home = self.settings.data_centre.as_str();
        let home_region = document
            .region_of_data_centre(home)
            .map(|region| region.name.clone());
        let distances = document.regions.iter().flat_map(|region| {
            let is_home_region = Some(&region.name) == home_region.as_ref();
            // The document states no delay between regions; a long delay ranks the
            // other regions last.
            let other_region = Duration::from_millis(50);
            let one_way = if is_home_region {
                Duration::from_secs_f64(region.one_way_ms / 1e3)
            } else {
                other_region
            };
            region
                .data_centres
                .iter()
                .map(move |data_centre| routing::Distance {
                    data_centre: data_centre.clone(),
                    one_way: if data_centre.as_str() == home {
                        Duration::ZERO
                    } else {
                        one_way
                    },
                })
        });
        let capacities = document
            .models
            .iter()
            .map(|model| (model.name.clone(), capacity(&document, model)));
        self.routing().configure(distances, capacities);
        lock(&self.append_limiter).configure(now, document.log.appends_per_s, daemons);
    }

    /// Waits until the rate limit on appends to the log admits one.
    pub async fn wait_to_append(&self) {
        loop {
            let now = self.now();
            let taken = lock(&self.append_limiter).take(now);
            let Err(wait) = taken else { return };
            smol::Timer::after(wait.max(Duration::from_millis(1))).await;
        }
    }

    /// Records the result of an append, which adjusts the rate limit on appends.
    pub fn record_append(&self, confirmed: bool) {
        self.record_log_result(confirmed);
        let now = self.now();
        let mut limiter = lock(&self.append_limiter);
        if confirmed {
            limiter.record_confirmed(now);
        } else {
            limiter.record_failure(now);
        }
    }

    /// Lines of a chunk, if they are cached.
    #[must_use]
    pub fn cached_lines(&self, chunk: &Chunk) -> Option<Lines> {
        let cache = lock(&self.chunk_cache);
        cache
            .iter()
            .find(|(known, _)| known == chunk)
            .map(|(_, lines)| Arc::clone(lines))
    }

    /// Caches the lines of a chunk and evicts the oldest chunk when the cache is full.
    pub fn cache_lines(&self, chunk: Chunk, lines: Lines) {
        let mut cache = lock(&self.chunk_cache);
        cache.push_back((chunk, lines));
        if cache.len() > MAX_CACHED_CHUNKS {
            cache.pop_front();
        }
    }
}

/// Capacity of a replica of a model.
///
/// Online requests are concentrated on few replicas only if the model also takes
/// batch work.
fn capacity(document: &Document, model: &document::Model) -> routing::Capacity {
    let weight = document.sharing.batch_weight;
    routing::Capacity {
        sequences: model.max_sequences,
        online_fill_share: model
            .batch
            .as_ref()
            .map_or(0.0, |_| Bounds::online_fill_share(weight)),
    }
}
