//! Tables that all tasks of a daemon share.
//!
//! Lock order: configuration, membership, placement, admission, routing, interest,
//! sharing, budget, log reach, log pacing, shards, one shard's part, batch streams, ends.
//! A task holds a lock for one short step and never across a wait.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::retry::Budget;
use bitterncart_coordination::routing::{self, Routing};
use bitterncart_coordination::sharing::Bounds;
use bitterncart_coordination::{Admission, Interest, Membership, Pace, Placement, Reach, Sharing};
use bitterncart_protocol::peer::{End, Lease, Member};
use bitterncart_protocol::record::Chunk;
use bitterncart_protocol::{Code, Document, Name, Settings, document, id};
use bitterncart_state::Config;
use bitterncart_state::config::Version;
use bitterncart_transport::http::Client;
use bitterncart_transport::{Links, Runtime, heartbeat, log, peer};
use event_listener::Event;

use crate::counters::Counters;
use crate::shards::Handle;

/// The platform's log as this daemon meets it.
pub type Log = log::Service;

/// Lines of one chunk of input.
pub type Lines = Arc<Vec<String>>;

/// Chunks of input kept in memory.
const BODIES: usize = 16;

/// Batch streams; a run stops when its channel closes.
pub type Streams = bitterncart_coordination::Streams<async_channel::Sender<()>>;

/// Tables of one daemon.
#[derive(Debug)]
pub struct Core {
    /// Settings.
    pub settings: Settings,
    /// This life of the daemon.
    pub me: id::Daemon,
    /// Worker pool.
    pub runtime: Runtime,
    /// The platform's log.
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
    members: Mutex<Membership>,
    placement: Mutex<Placement>,
    admission: Mutex<Admission>,
    routing: Mutex<Routing>,
    interest: Mutex<Interest>,
    sharing: Mutex<HashMap<Name, Sharing>>,
    budget: Mutex<Budget>,
    reach: Mutex<Reach>,
    pace: Mutex<Pace>,
    shards: Mutex<BTreeMap<id::Shard, Arc<Handle>>>,
    streams: Mutex<Streams>,
    ends: Mutex<HashMap<id::Shard, Vec<(Lease, End)>>>,
    bodies: Mutex<VecDeque<(Chunk, Lines)>>,
    /// Fires when the configuration changes.
    pub configured: Event,
    /// Requests under way.
    pub running: AtomicU32,
    draining: AtomicBool,
    request: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic in another task is an invariant broken there; the tables are
    // consistent between steps.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

macro_rules! tables {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)*) => {
        $($(#[$doc])*
        pub fn $name(&self) -> MutexGuard<'_, $type> {
            lock(&self.$name)
        })*
    };
}

impl Core {
    tables! {
        /// Fold of the configuration stream.
        config: Config;
        /// Membership.
        members: Membership;
        /// Limits of customers.
        admission: Admission;
        /// Routing table.
        routing: Routing;
        /// What was told to owners of replicas.
        interest: Interest;
        /// Batch slots of the replicas that this daemon owns.
        sharing: HashMap<Name, Sharing>;
        /// Whether the log is reached.
        reach: Reach;
        /// Retry budget.
        budget: Budget;
        /// Shards that this daemon reads.
        shards: BTreeMap<id::Shard, Arc<Handle>>;
        /// Batch streams.
        streams: Streams;
        /// Ends of attempts on their way to the shards' owners.
        ends: HashMap<id::Shard, Vec<(Lease, End)>>;
    }

    /// Tables without content.
    pub(crate) fn new(
        settings: Settings,
        runtime: Runtime,
        links: Links,
        peers: peer::Peers,
        heartbeat: heartbeat::Socket,
        me: Member,
        seed: u64,
    ) -> Self {
        let http = Client::default().links(links);
        Self {
            me: me.daemon.clone(),
            log: Log::new(settings.log, http.clone()),
            http,
            counters: Counters::new(settings.statsd),
            config: Mutex::default(),
            members: Mutex::new(Membership::new(me, seed)),
            placement: Mutex::default(),
            admission: Mutex::default(),
            routing: Mutex::new(Routing::new(settings.data_centre.clone())),
            interest: Mutex::default(),
            sharing: Mutex::default(),
            budget: Mutex::default(),
            reach: Mutex::default(),
            pace: Mutex::default(),
            shards: Mutex::default(),
            streams: Mutex::default(),
            ends: Mutex::default(),
            bodies: Mutex::default(),
            configured: Event::new(),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            request: AtomicU64::new(0),
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

    /// Configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.config().current().cloned()
    }

    /// Document in force.
    ///
    /// # Errors
    ///
    /// [`Code::NoConfiguration`] before the first one was read.
    pub fn document(&self) -> Result<Arc<Document>, Code> {
        let config = self.config();
        config
            .current()
            .map(|version| Arc::clone(&version.document))
            .ok_or(Code::NoConfiguration)
    }

    /// Number for a request's id.
    #[must_use]
    pub fn next_request(&self) -> u64 {
        self.request.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the daemon takes no new requests.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Notes whether the log answers.
    pub fn log_answered(&self, answered: bool) {
        let now = self.now();
        self.reach().note(now, answered);
    }

    /// Whether the last exchange with the log failed.
    #[must_use]
    pub fn is_log_failed(&self) -> bool {
        self.reach().is_failing()
    }

    /// Live daemon that should own a shard, by rendezvous; for orders, one of this
    /// data centre.
    #[must_use]
    pub fn winner(&self, shard: id::Shard) -> Option<id::Daemon> {
        let members = self.members();
        let mut placement = lock(&self.placement);
        if shard.is_orders() {
            return placement.orders(&members, shard, &self.settings.data_centre);
        }
        placement.shard(&members, shard)
    }

    /// Live daemon of a replica's data centre that owns the replica.
    #[must_use]
    pub fn replica_owner(&self, name: &Name, data_centre: &Name) -> Option<Member> {
        let members = self.members();
        let owner = lock(&self.placement).replica(&members, name, data_centre)?;
        members.member(&owner).cloned()
    }

    /// Takes a new configuration or membership into the tables that depend on them.
    pub fn reconfigure(&self) {
        let Ok(document) = self.document() else {
            return;
        };
        let now = self.now();
        let (daemons, local) = {
            let members = self.members();
            let home = &self.settings.data_centre;
            let local = members.live().filter(|m| m.data_centre == *home);
            (members.live().count().max(1), local.count().max(1))
        };
        self.admission()
            .configure(now, &document.customers, daemons, local);
        let home = self.settings.data_centre.as_str();
        let near = document.region_of(home).map(|region| region.name.clone());
        let distances = document.regions.iter().flat_map(|region| {
            let same = Some(&region.name) == near.as_ref();
            // Between regions the document states no delay; a long one keeps them last.
            let far = Duration::from_millis(50);
            let one_way = if same {
                Duration::from_secs_f64(region.one_way_ms / 1e3)
            } else {
                far
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
        lock(&self.pace).configure(now, document.log.appends_per_s, daemons);
    }

    /// Waits for this daemon's turn to append.
    pub async fn turn_to_append(&self) {
        loop {
            let now = self.now();
            let turn = lock(&self.pace).take(now);
            let Err(wait) = turn else { return };
            smol::Timer::after(wait.max(Duration::from_millis(1))).await;
        }
    }

    /// Notes how an append went.
    pub fn appended(&self, confirmed: bool) {
        self.log_answered(confirmed);
        let now = self.now();
        let mut pace = lock(&self.pace);
        if confirmed {
            pace.confirmed(now);
        } else {
            pace.failed(now);
        }
    }

    /// Lines of a chunk that is in memory.
    #[must_use]
    pub fn cached_lines(&self, chunk: &Chunk) -> Option<Lines> {
        let bodies = lock(&self.bodies);
        bodies
            .iter()
            .find(|(known, _)| known == chunk)
            .map(|(_, lines)| Arc::clone(lines))
    }

    /// Keeps the lines of a chunk; the oldest go.
    pub fn keep_lines(&self, chunk: Chunk, lines: Lines) {
        let mut bodies = lock(&self.bodies);
        bodies.push_back((chunk, lines));
        if bodies.len() > BODIES {
            bodies.pop_front();
        }
    }
}

/// What a replica of a model carries; online is gathered only beside batch.
fn capacity(document: &Document, model: &document::Model) -> routing::Capacity {
    let weight = document.sharing.batch_weight;
    routing::Capacity {
        sequences: model.max_sequences,
        fill: model.batch.as_ref().map_or(0.0, |_| Bounds::fill(weight)),
    }
}
