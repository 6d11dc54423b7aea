//! Deployment of an environment document on loopback, in one process.
//!
//! A [`Site`] starts the stand-ins and entry instances that the document describes,
//! publishes the document, and waits until every entry instance is ready. Tests kill,
//! restart and partition its parts and read the records of the stand-ins. Every part
//! has a separate address in 127.0.0.0/8, so the ports are fixed and concurrent
//! deployments do not conflict.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bitterncart_daemon::Daemon;
use bitterncart_protocol::admin::Publish;
use bitterncart_protocol::instance::{Instance, Kind, State};
use bitterncart_protocol::{Document, Name, Settings, document, id};
use bitterncart_standin::engine::{Engine, Model};
use bitterncart_standin::instances::Instances;
use bitterncart_standin::log::{Limits, Log};
use bitterncart_standin::service::Service;
use bitterncart_standin::weights::Store;
use bitterncart_standin::{Handle, start};
use bitterncart_transport::Error;
use bitterncart_transport::http::Client;

const LOG_PORT: u16 = 7100;
const INSTANCE_LIST_PORT: u16 = 7200;
const BACKEND_PORT: u16 = 7300;
const CLIENT_PORT: u16 = 7400;
const ADMIN_PORT: u16 = 7500;
const PEER_PORT: u16 = 7600;
const HEARTBEAT_PORT: u16 = 7700;

/// Delay until a change of the instance list is visible.
const INSTANCE_LIST_LAG: Duration = Duration::from_secs(2);

/// Timeout for a deployment to become ready, and for restarts to bind their addresses.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Fleet secret of the daemons.
const FLEET_SECRET: &str = "a secret for loopback only";

/// Simulated engine that serves a model.
#[derive(Debug)]
pub struct Replica {
    /// Instance name.
    pub name: Name,
    /// Model that it serves.
    pub model: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address, kept across restarts.
    pub address: SocketAddr,
    /// Current engine; after a kill, the last one.
    pub engine: Engine,
    /// Server of the engine; `None` after a kill.
    pub handle: Option<Handle>,
    /// Engines before each restart; their records still count.
    pub previous_engines: Vec<Engine>,
}

/// Backend server of a plain service.
#[derive(Debug)]
pub struct Server {
    /// Instance name.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Simulated service, which holds its faults and run counts.
    pub handler: Service,
    /// Running server.
    pub handle: Handle,
}

/// Entry instance: a daemon and its settings.
#[derive(Debug)]
pub struct Entry {
    /// Settings, kept across restarts.
    pub settings: Settings,
    /// Running daemon; `None` after a kill.
    pub daemon: Option<Daemon>,
}

/// Network partition of one data centre.
#[derive(Clone, Copy, Debug)]
pub struct Partition {
    /// Whether it is cut off from the other data centres.
    pub other_data_centres: bool,
    /// Whether it is cut off from the platform, that is the log and instance list.
    pub platform: bool,
}

/// Running deployment of a document.
#[derive(Debug)]
pub struct Site {
    /// Parsed document.
    pub document: Document,
    /// Text of the document.
    pub document_text: String,
    /// Log service.
    pub log: Log,
    /// Weight store.
    pub weight_store: Store,
    /// Instance list.
    pub instance_list: Instances,
    /// Engines, in document order.
    pub replicas: Mutex<Vec<Replica>>,
    /// Backend servers of plain services.
    pub servers: Vec<Server>,
    /// Entry instances, in the order of their data centres.
    pub entries: Mutex<Vec<Entry>>,
    /// Servers of the log and the instance list.
    platform: Vec<Handle>,
}

/// Loopback address that no other part of a deployment uses.
fn unique_address() -> Ipv4Addr {
    const HOSTS_PER_SUBNET: u16 = 250;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // The process id separates test processes that run concurrently.
    let pid = std::process::id();
    let second = 64 + (pid >> 8) as u8 % 64;
    let third = (pid as u8).wrapping_add((number / HOSTS_PER_SUBNET) as u8);
    Ipv4Addr::new(127, second, third, 1 + (number % HOSTS_PER_SUBNET) as u8)
}

fn unique_socket_address(port: u16) -> SocketAddr {
    SocketAddr::from((unique_address(), port))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// API key of a customer, as the example documents define it.
#[must_use]
pub fn key(customer: &Name) -> String {
    format!("trial-{customer}")
}

impl Site {
    /// Starts stand-ins and `per_data_centre` daemons in each data centre, publishes
    /// the document, and waits until the deployment is ready.
    ///
    /// # Errors
    ///
    /// The problems of the document, one per line, or the first failure to start or
    /// to become ready within 60 s.
    pub fn start(text: &str, per_data_centre: u32) -> Result<Self, String> {
        let document = Document::parse(text).map_err(|problems| {
            problems
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        })?;
        let site = Self::start_parts(document, text, per_data_centre).map_err(|e| e.to_string())?;
        site.publish()?;
        Ok(site)
    }

    fn start_parts(document: Document, text: &str, per_data_centre: u32) -> Result<Self, Error> {
        let limits = Limits {
            appends_per_s: document.log.appends_per_s,
            retention: Duration::from_secs(document.log.retention_s),
        };
        let log = Log::new(limits);
        let log_handle = start(unique_socket_address(LOG_PORT), |_| log.clone())?;
        let weight_store = weight_store(&document);
        let replicas = start_replicas(&document, &weight_store)?;
        let servers = start_servers(&document)?;
        let instance_list = Instances::new(INSTANCE_LIST_LAG, Vec::new());
        let list_handle = start(unique_socket_address(INSTANCE_LIST_PORT), |_| {
            instance_list.clone()
        })?;
        let mut entries = Vec::new();
        for data_centre in document.data_centres() {
            for number in 1..=per_data_centre {
                let name = Name::from(format!("entry-{data_centre}-{number}"));
                let platform = (log_handle.address, list_handle.address);
                entries.push(daemon_settings(name, data_centre.clone(), platform));
            }
        }
        instance_list.set(instances(&document, &replicas, &servers, &entries));
        let entries = entries
            .into_iter()
            .map(|settings| {
                Ok(Entry {
                    daemon: Some(Daemon::start(settings.clone())?),
                    settings,
                })
            })
            .collect::<Result<_, Error>>()?;
        Ok(Self {
            document,
            document_text: text.to_owned(),
            log,
            weight_store,
            instance_list,
            replicas: Mutex::new(replicas),
            servers,
            entries: Mutex::new(entries),
            platform: vec![log_handle, list_handle],
        })
    }

    /// Publishes the document and waits until the deployment is ready.
    fn publish(&self) -> Result<(), String> {
        let admin = self.entries()[0].settings.admin;
        let publish = Publish {
            base: 0,
            text: self.document_text.clone(),
            operator: "trial".into(),
        };
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let posted = smol::block_on(Client::default().post(admin, "/config", &publish));
            if matches!(posted, Ok((200, _))) {
                return self.wait_until_ready(deadline);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("timed out publishing the document".to_owned())
    }

    fn wait_until_ready(&self, deadline: Instant) -> Result<(), String> {
        while Instant::now() < deadline {
            let ready = self
                .entries()
                .iter()
                .all(|entry| is_ready(entry.settings.callers));
            if ready && self.all_shards_owned() && self.all_entries_route_to_all_replicas() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("timed out waiting for the deployment to become ready".to_owned())
    }

    fn all_entries_route_to_all_replicas(&self) -> bool {
        let count = lock(&self.replicas).len() + self.servers.len();
        let entries = self.entries();
        let routes_to_all = |entry: &Entry| {
            entry
                .daemon
                .as_ref()
                .is_some_and(|d| d.core.routing().replicas().count() == count)
        };
        entries.iter().all(routes_to_all)
    }

    /// Whether each job shard has a live owner.
    #[must_use]
    pub fn all_shards_owned(&self) -> bool {
        let entries = self.entries();
        let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
        let owned: HashSet<_> = daemons.flat_map(owned_job_shards).collect();
        owned.len() == usize::from(self.document.log.shards)
    }

    /// Number of job shards that each entry instance owns; 0 after a kill.
    #[must_use]
    pub fn owned_shard_counts(&self) -> Vec<usize> {
        let entries = self.entries();
        let count = |entry: &Entry| {
            entry
                .daemon
                .as_ref()
                .map_or(0, |d| owned_job_shards(d).len())
        };
        entries.iter().map(count).collect()
    }

    /// Locks the entry instances.
    pub fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        lock(&self.entries)
    }

    /// Locks the engines.
    pub fn replicas(&self) -> MutexGuard<'_, Vec<Replica>> {
        lock(&self.replicas)
    }

    /// Client addresses of the live entry instances.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let live = |entry: &&Entry| entry.daemon.is_some();
        self.entries()
            .iter()
            .filter(live)
            .map(|entry| entry.settings.callers)
            .collect()
    }

    /// IP addresses of the entry instances and backend servers of a data centre.
    fn addresses_in(&self, data_centre: &Name) -> Vec<IpAddr> {
        let entries = self.entries();
        let replicas = self.replicas();
        let entries = entries.iter().map(|entry| {
            let settings = &entry.settings;
            (&settings.data_centre, settings.peers.ip())
        });
        let replicas = replicas
            .iter()
            .map(|replica| (&replica.data_centre, replica.address.ip()));
        let servers = self
            .servers
            .iter()
            .map(|server| (&server.data_centre, server.handle.address.ip()));
        entries
            .chain(replicas)
            .chain(servers)
            .filter(|(located_in, _)| *located_in == data_centre)
            .map(|(_, address)| address)
            .collect()
    }

    /// Partitions a data centre from the rest of the deployment. Replaces earlier
    /// partitions of the live daemons.
    pub fn partition(&self, data_centre: &Name, partition: Partition) {
        let inside = self.addresses_in(data_centre);
        let others = self.document.data_centres();
        let others = others.into_iter().filter(|other| *other != data_centre);
        let outside: Vec<IpAddr> = others.flat_map(|other| self.addresses_in(other)).collect();
        let platform = self.platform.iter().map(|handle| handle.address.ip());
        let platform: Vec<IpAddr> = platform.collect();
        for entry in self.entries().iter() {
            let Some(daemon) = &entry.daemon else {
                continue;
            };
            let is_inside = entry.settings.data_centre == *data_centre;
            let others = if is_inside { &outside } else { &inside };
            let others = others.iter().filter(|_| partition.other_data_centres);
            let platform = platform.iter().filter(|_| partition.platform && is_inside);
            daemon.blocklist.block_only(others.chain(platform).copied());
        }
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        for daemon in self.entries().iter().filter_map(|e| e.daemon.as_ref()) {
            daemon.blocklist.block_only([]);
        }
    }

    /// Stops an entry instance without draining it.
    pub fn kill_entry(&self, index: usize) {
        // Dropping the daemon blocks for a short time, so the lock is released first.
        let daemon = self.entries()[index].daemon.take();
        drop(daemon);
    }

    /// Restarts an entry instance without its previous state.
    ///
    /// # Errors
    ///
    /// If the daemon cannot start within 60 s, such as because an address is in use.
    pub fn restart_entry(&self, index: usize) -> Result<(), Error> {
        let settings = self.entries()[index].settings.clone();
        let daemon = retry_bind(|| Daemon::start(settings.clone()))?;
        self.entries()[index].daemon = Some(daemon);
        Ok(())
    }

    /// Stops an engine; its sequences are lost.
    pub fn kill_replica(&self, index: usize) {
        let handle = self.replicas()[index].handle.take();
        drop(handle);
    }

    /// Restarts an engine without its previous state.
    ///
    /// # Errors
    ///
    /// If its address cannot be bound within 60 s.
    pub fn restart_replica(&self, index: usize) -> Result<(), Error> {
        let (address, name) = {
            let replicas = self.replicas();
            (replicas[index].address, replicas[index].model.clone())
        };
        let model = self.document.model(name.as_str());
        let (engine, handle) = retry_bind(|| start_engine(address, model, &self.weight_store))?;
        let mut replicas = self.replicas();
        let replica = &mut replicas[index];
        let previous = std::mem::replace(&mut replica.engine, engine);
        replica.previous_engines.push(previous);
        replica.handle = Some(handle);
        Ok(())
    }

    /// Prompts for which any engine, current or previous, produced a token.
    #[must_use]
    pub fn started_prompts(&self) -> HashSet<String> {
        let replicas = self.replicas();
        let engines = replicas
            .iter()
            .flat_map(|replica| replica.previous_engines.iter().chain([&replica.engine]));
        engines.flat_map(Engine::started_prompts).collect()
    }

    /// Number of runs by call name, over all plain services.
    #[must_use]
    pub fn service_runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        for server in &self.servers {
            runs.extend(server.handler.runs());
        }
        runs
    }
}

/// Job shards that a daemon owns according to its replicated state.
fn owned_job_shards(daemon: &Daemon) -> Vec<id::Shard> {
    let shards = daemon.core.shards();
    let job_shards = shards.values().filter(|handle| !handle.number.is_orders());
    job_shards
        .filter(|handle| handle.is_owner())
        .map(|handle| handle.number)
        .collect()
}

/// Retries a start until its addresses can be bound. Within one process the stopped
/// predecessor may hold them for a moment; the exit of a process would free them.
fn retry_bind<T>(start: impl Fn() -> Result<T, Error>) -> Result<T, Error> {
    const RETRY_DELAY: Duration = Duration::from_millis(50);
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        match start() {
            Err(_) if Instant::now() < deadline => std::thread::sleep(RETRY_DELAY),
            result => return result,
        }
    }
}

fn is_ready(client_address: SocketAddr) -> bool {
    let client = Client::default();
    let ready = client.get::<serde_json::Value>(client_address, "/readyz");
    smol::block_on(ready).is_ok()
}

fn engine_model(model: Option<&document::Model>) -> Model {
    Model {
        max_sequences: model.map_or(32, |model| model.max_sequences as usize),
        checks_fencing: model.is_some_and(|model| model.checks_fencing),
        ..Model::default()
    }
}

fn start_engine(
    address: SocketAddr,
    model: Option<&document::Model>,
    store: &Store,
) -> Result<(Engine, Handle), Error> {
    let weights = model.and_then(|model| model.weights.clone());
    let mut created = None;
    let handle = start(address, |runtime| {
        let engine = Engine::new(runtime, engine_model(model));
        let engine = engine.with_weights(weights.clone(), store.clone());
        created = Some(engine.clone());
        engine
    })?;
    let engine = created.ok_or_else(|| Error::connect("the engine was not created"))?;
    Ok((engine, handle))
}

/// Weight store with the rate of loads that the document states.
fn weight_store(document: &Document) -> Store {
    const MINUTE: Duration = Duration::from_secs(60);
    let loads_per_min = document
        .weight_store
        .as_ref()
        .map_or(1, |s| s.loads_per_min);
    Store::new(MINUTE / loads_per_min)
}

fn start_replicas(document: &Document, store: &Store) -> Result<Vec<Replica>, Error> {
    let mut replicas = Vec::new();
    for model in &document.models {
        for row in &model.replicas {
            for number in 1..=row.count {
                let address = unique_socket_address(BACKEND_PORT);
                let (engine, handle) = start_engine(address, Some(model), store)?;
                replicas.push(Replica {
                    name: Name::from(format!("{}-{}-{number}", model.name, row.data_centre)),
                    model: model.name.clone(),
                    data_centre: row.data_centre.clone(),
                    address,
                    engine,
                    handle: Some(handle),
                    previous_engines: Vec::new(),
                });
            }
        }
    }
    Ok(replicas)
}

fn start_servers(document: &Document) -> Result<Vec<Server>, Error> {
    let mut servers = Vec::new();
    for service in &document.services {
        let shared_runs = Service::default();
        for row in &service.replicas {
            for number in 1..=row.count {
                let handler = shared_runs.replica();
                let handle = start(unique_socket_address(BACKEND_PORT), |_| handler.clone())?;
                servers.push(Server {
                    name: Name::from(format!("{}-{}-{number}", service.name, row.data_centre)),
                    service: service.name.clone(),
                    data_centre: row.data_centre.clone(),
                    handler,
                    handle,
                });
            }
        }
    }
    Ok(servers)
}

/// Settings of a daemon; `platform` holds the addresses of the log and the instance
/// list.
fn daemon_settings(name: Name, data_centre: Name, platform: (SocketAddr, SocketAddr)) -> Settings {
    let ip = unique_address();
    let at = |port| SocketAddr::from((ip, port));
    Settings {
        name,
        data_centre,
        callers: at(CLIENT_PORT),
        admin: at(ADMIN_PORT),
        peers: at(PEER_PORT),
        heartbeats: at(HEARTBEAT_PORT),
        log: platform.0,
        instances: platform.1,
        statsd: None,
        fleet_secret: FLEET_SECRET.into(),
        workers: 1,
        drain_ms: 20_000,
    }
}

/// Initial instance list of a deployment.
fn instances(
    document: &Document,
    replicas: &[Replica],
    servers: &[Server],
    entries: &[Settings],
) -> Vec<Instance> {
    let engines = replicas.iter().map(|replica| Instance {
        name: replica.name.clone(),
        kind: Kind::Engine,
        serves: replica.model.clone(),
        data_centre: replica.data_centre.clone(),
        address: replica.address,
        state: State::Live,
    });
    let services = servers.iter().map(|server| Instance {
        name: server.name.clone(),
        kind: Kind::Service,
        serves: server.service.clone(),
        data_centre: server.data_centre.clone(),
        address: server.handle.address,
        state: State::Live,
    });
    let daemons = entries.iter().map(|settings| Instance {
        name: settings.name.clone(),
        kind: Kind::Entry,
        serves: document.environment.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.heartbeats,
        state: State::Live,
    });
    engines.chain(services).chain(daemons).collect()
}
