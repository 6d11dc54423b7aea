//! A document's deployment on loopback.
//!
//! Every process of the deployment has an address of its own in 127.0.0.0/8,
//! so ports are fixed and two sites never meet.

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
const LIST_PORT: u16 = 7200;
const SERVER_PORT: u16 = 7300;
const CALLERS_PORT: u16 = 7400;
const ADMIN_PORT: u16 = 7500;
const PEERS_PORT: u16 = 7600;
const HEARTBEAT_PORT: u16 = 7700;

/// Lag of the instance list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// Time for a deployment to be ready.
const READY: Duration = Duration::from_secs(60);

/// Secret of the daemons of a site.
const SECRET: &str = "a secret for loopback only";

/// Model engine of a site.
#[derive(Debug)]
pub struct Replica {
    /// Name.
    pub name: Name,
    /// Model.
    pub model: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Address.
    pub address: SocketAddr,
    /// Engine that runs now.
    pub engine: Engine,
    /// `None` while it is dead.
    pub running: Option<Handle>,
    /// Engines that died; their record still counts.
    pub dead: Vec<Engine>,
}

/// Server of a plain service.
#[derive(Debug)]
pub struct Server {
    /// Name.
    pub name: Name,
    /// Service.
    pub service: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Server.
    pub handler: Service,
    /// Its threads.
    pub running: Handle,
}

/// Entry instance of a site.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub settings: Settings,
    /// `None` while it is dead.
    pub daemon: Option<Daemon>,
}

/// What a data centre is cut off from.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    /// The other data centres.
    pub others: bool,
    /// The platform: log and instance list.
    pub platform: bool,
}

/// Deployment of a document.
#[derive(Debug)]
pub struct Site {
    /// Document.
    pub document: Document,
    /// Its text.
    pub text: String,
    /// Log service.
    pub log: Log,
    /// Weight store.
    pub store: Store,
    /// Instance list.
    pub list: Instances,
    /// Engines.
    pub replicas: Mutex<Vec<Replica>>,
    /// Servers of plain services.
    pub servers: Vec<Server>,
    /// Entry instances.
    pub entries: Mutex<Vec<Entry>>,
    platform: Vec<Handle>,
}

fn next_address() -> Ipv4Addr {
    const EACH: u16 = 250;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    // The process id keeps two processes apart.
    let pid = std::process::id();
    let second = 64 + (pid >> 8) as u8 % 64;
    let third = (pid as u8).wrapping_add((number / EACH) as u8);
    Ipv4Addr::new(127, second, third, 1 + (number % EACH) as u8)
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from((next_address(), port))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Key of a customer in the example documents.
#[must_use]
pub fn key(customer: &Name) -> String {
    format!("trial-{customer}")
}

impl Site {
    /// Starts a deployment: stand-ins, `per_data_centre` daemons in each data
    /// centre, the document published.
    ///
    /// # Errors
    ///
    /// What is wrong with the document or could not be started.
    pub fn start(text: &str, per_data_centre: u32) -> Result<Self, String> {
        let document = Document::parse(text).map_err(|problems| {
            problems
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n")
        })?;
        let site = Self::build(document, text, per_data_centre).map_err(|e| e.to_string())?;
        site.publish()?;
        Ok(site)
    }

    fn build(document: Document, text: &str, per_data_centre: u32) -> Result<Self, Error> {
        let limits = Limits {
            appends_per_s: document.log.appends_per_s,
            retention: Duration::from_secs(document.log.retention_s),
        };
        let log = Log::new(limits);
        let log_running = start(at(LOG_PORT), |_| log.clone())?;
        let store = store(&document);
        let replicas = start_replicas(&document, &store)?;
        let servers = start_servers(&document)?;
        let list = Instances::new(LIST_LAG, Vec::new());
        let list_running = start(at(LIST_PORT), |_| list.clone())?;
        let mut entries = Vec::new();
        for data_centre in document.data_centres() {
            for number in 1..=per_data_centre {
                let name = Name::from(format!("entry-{data_centre}-{number}"));
                let platform = (log_running.address, list_running.address);
                entries.push(settings(name, data_centre.clone(), platform));
            }
        }
        list.set(instances(&document, &replicas, &servers, &entries));
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
            text: text.to_owned(),
            log,
            store,
            list,
            replicas: Mutex::new(replicas),
            servers,
            entries: Mutex::new(entries),
            platform: vec![log_running, list_running],
        })
    }

    fn publish(&self) -> Result<(), String> {
        let admin = self.entries()[0].settings.admin;
        let publish = Publish {
            base: 0,
            text: self.text.clone(),
            operator: "trial".into(),
        };
        let until = Instant::now() + READY;
        while Instant::now() < until {
            let posted = smol::block_on(Client::default().post(admin, "/config", &publish));
            if matches!(posted, Ok((200, _))) {
                return self.wait_ready(until);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("the document could not be published in time".to_owned())
    }

    fn wait_ready(&self, until: Instant) -> Result<(), String> {
        while Instant::now() < until {
            let ready = self
                .entries()
                .iter()
                .all(|entry| is_ready(entry.settings.callers));
            if ready && self.all_shards_owned() && self.all_replicas_known() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the deployment was not ready in time".to_owned())
    }

    fn all_replicas_known(&self) -> bool {
        let count = lock(&self.replicas).len() + self.servers.len();
        let entries = self.entries();
        let known = |entry: &Entry| {
            entry
                .daemon
                .as_ref()
                .is_some_and(|d| d.core.routing().replicas().count() == count)
        };
        entries.iter().all(known)
    }

    /// Whether each shard has an owner that lives.
    #[must_use]
    pub fn all_shards_owned(&self) -> bool {
        let entries = self.entries();
        let daemons = entries.iter().filter_map(|entry| entry.daemon.as_ref());
        let owned: HashSet<_> = daemons.flat_map(owned).collect();
        owned.len() == usize::from(self.document.log.shards)
    }

    /// Shards of jobs that each entry instance owns; none for a dead one.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<usize> {
        let entries = self.entries();
        let count = |entry: &Entry| entry.daemon.as_ref().map_or(0, |d| owned(d).len());
        entries.iter().map(count).collect()
    }

    /// Entry instances.
    pub fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        lock(&self.entries)
    }

    /// Engines.
    pub fn replicas(&self) -> MutexGuard<'_, Vec<Replica>> {
        lock(&self.replicas)
    }

    /// Where callers connect, for each entry instance that lives.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let live = |entry: &&Entry| entry.daemon.is_some();
        self.entries()
            .iter()
            .filter(live)
            .map(|entry| entry.settings.callers)
            .collect()
    }

    /// Machines of a data centre.
    fn machines(&self, data_centre: &Name) -> Vec<IpAddr> {
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
            .map(|server| (&server.data_centre, server.running.address.ip()));
        entries
            .chain(replicas)
            .chain(servers)
            .filter(|(of, _)| *of == data_centre)
            .map(|(_, machine)| machine)
            .collect()
    }

    /// Cuts a data centre off.
    pub fn cut(&self, data_centre: &Name, cut: Cut) {
        let inside = self.machines(data_centre);
        let others = self.document.data_centres();
        let others = others.into_iter().filter(|other| *other != data_centre);
        let outside: Vec<IpAddr> = others.flat_map(|other| self.machines(other)).collect();
        let platform = self.platform.iter().map(|running| running.address.ip());
        let platform: Vec<IpAddr> = platform.collect();
        for entry in self.entries().iter() {
            let Some(daemon) = &entry.daemon else {
                continue;
            };
            let is_inside = entry.settings.data_centre == *data_centre;
            let others = if is_inside { &outside } else { &inside };
            let others = others.iter().filter(|_| cut.others);
            let platform = platform.iter().filter(|_| cut.platform && is_inside);
            daemon.links.cut(others.chain(platform).copied());
        }
    }

    /// Heals all links.
    pub fn heal(&self) {
        for daemon in self.entries().iter().filter_map(|e| e.daemon.as_ref()) {
            daemon.links.cut([]);
        }
    }

    /// Kills an entry instance.
    pub fn kill_entry(&self, index: usize) {
        // The daemon is dropped without the lock, since its end takes a moment.
        let daemon = self.entries()[index].daemon.take();
        drop(daemon);
    }

    /// Starts an entry instance again, with nothing kept.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn restart_entry(&self, index: usize) -> Result<(), Error> {
        let settings = self.entries()[index].settings.clone();
        let daemon = bound_again(|| Daemon::start(settings.clone()))?;
        self.entries()[index].daemon = Some(daemon);
        Ok(())
    }

    /// Kills an engine.
    pub fn kill_replica(&self, index: usize) {
        let running = self.replicas()[index].running.take();
        drop(running);
    }

    /// Starts an engine again, with nothing kept.
    ///
    /// # Errors
    ///
    /// If its address cannot be bound.
    pub fn restart_replica(&self, index: usize) -> Result<(), Error> {
        let (address, name) = {
            let replicas = self.replicas();
            (replicas[index].address, replicas[index].model.clone())
        };
        let model = self.document.model(name.as_str());
        let (engine, running) = bound_again(|| start_engine(address, model, &self.store))?;
        let mut replicas = self.replicas();
        let replica = &mut replicas[index];
        let dead = std::mem::replace(&mut replica.engine, engine);
        replica.dead.push(dead);
        replica.running = Some(running);
        Ok(())
    }

    /// Prompts of which any engine made at least one token.
    #[must_use]
    pub fn started_prompts(&self) -> HashSet<String> {
        let replicas = self.replicas();
        let engines = replicas
            .iter()
            .flat_map(|replica| replica.dead.iter().chain([&replica.engine]));
        engines.flat_map(Engine::started_prompts).collect()
    }

    /// How often each call of a plain service ran.
    #[must_use]
    pub fn service_runs(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for server in &self.servers {
            all.extend(server.handler.runs());
        }
        all
    }
}

/// Shards of jobs that a daemon owns by its folds.
fn owned(daemon: &Daemon) -> Vec<id::Shard> {
    let shards = daemon.core.shards();
    let of_jobs = shards.values().filter(|handle| !handle.number.is_orders());
    of_jobs
        .filter(|handle| handle.is_mine())
        .map(|handle| handle.number)
        .collect()
}

/// Starts something on addresses that its last life may not have let go yet;
/// a process's end would free them at once.
fn bound_again<T>(start: impl Fn() -> Result<T, Error>) -> Result<T, Error> {
    const PAUSE: Duration = Duration::from_millis(50);
    let until = Instant::now() + READY;
    loop {
        match start() {
            Err(_) if Instant::now() < until => std::thread::sleep(PAUSE),
            result => return result,
        }
    }
}

fn is_ready(callers: SocketAddr) -> bool {
    let client = Client::default();
    let ready = client.get::<serde_json::Value>(callers, "/readyz");
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
    let mut made = None;
    let running = start(address, |runtime| {
        let engine = Engine::new(runtime, engine_model(model));
        let engine = engine.with_weights(weights.clone(), store.clone());
        made = Some(engine.clone());
        engine
    })?;
    let engine = made.ok_or_else(|| Error::connect("the engine was not made"))?;
    Ok((engine, running))
}

/// Weight store that serves the stated loads a minute.
fn store(document: &Document) -> Store {
    const MINUTE: Duration = Duration::from_secs(60);
    let loads = document
        .weight_store
        .as_ref()
        .map_or(1, |s| s.loads_per_min);
    Store::new(MINUTE / loads)
}

fn start_replicas(document: &Document, store: &Store) -> Result<Vec<Replica>, Error> {
    let mut replicas = Vec::new();
    for model in &document.models {
        for row in &model.replicas {
            for number in 1..=row.count {
                let address = at(SERVER_PORT);
                let (engine, running) = start_engine(address, Some(model), store)?;
                replicas.push(Replica {
                    name: Name::from(format!("{}-{}-{number}", model.name, row.data_centre)),
                    model: model.name.clone(),
                    data_centre: row.data_centre.clone(),
                    address,
                    engine,
                    running: Some(running),
                    dead: Vec::new(),
                });
            }
        }
    }
    Ok(replicas)
}

fn start_servers(document: &Document) -> Result<Vec<Server>, Error> {
    let mut servers = Vec::new();
    for service in &document.services {
        let record = Service::default();
        for row in &service.replicas {
            for number in 1..=row.count {
                let handler = record.replica();
                let running = start(at(SERVER_PORT), |_| handler.clone())?;
                servers.push(Server {
                    name: Name::from(format!("{}-{}-{number}", service.name, row.data_centre)),
                    service: service.name.clone(),
                    data_centre: row.data_centre.clone(),
                    handler,
                    running,
                });
            }
        }
    }
    Ok(servers)
}

fn settings(name: Name, data_centre: Name, platform: (SocketAddr, SocketAddr)) -> Settings {
    let ip = next_address();
    let at = |port| SocketAddr::from((ip, port));
    Settings {
        name,
        data_centre,
        callers: at(CALLERS_PORT),
        admin: at(ADMIN_PORT),
        peers: at(PEERS_PORT),
        heartbeats: at(HEARTBEAT_PORT),
        log: platform.0,
        instances: platform.1,
        statsd: None,
        fleet_secret: SECRET.into(),
        workers: 1,
        drain_ms: 20_000,
    }
}

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
        address: server.running.address,
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
