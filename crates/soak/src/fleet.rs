//! The processes of a run: daemons, replicas and the store.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fs, io, thread};

use crate::answer::Framing;
use crate::http::{self, Request};
use crate::process::{Process, Signal};
use crate::verdict::Verdict;
use bitterncart_platform::encode_records;
use bitterncart_platform::wire::{self, Addresses};
use bitterncart_state::ledger::Record;

/// Time in which all daemons have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports from which servers are given theirs, below those of outgoing connections. Each
/// run has a range of its own, so that runs at the same time do not meet.
const FIRST_PORT: u32 = 10_000;
const RANGES: u32 = 100;
const PORTS_PER_RANGE: u32 = 220;

/// Ports of a daemon beside those of its links to replicas.
const PORTS_PER_DAEMON: usize = 5;

/// Data centres; daemons and replicas are spread over them.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Time that a daemon has to stop before it is killed.
pub const STOP_TIME: Duration = Duration::from_secs(8);

/// Memory of a daemon, in kilobytes, as on the platform.
const MEMORY_KB: u64 = 290 * 1024;

/// Timeout of a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

/// Misses after which a daemon gets no new connections.
const MAX_MISSES: u32 = 2;

/// Size and place of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Program of the daemons.
    pub daemon: PathBuf,
    /// Program of the stand-ins, with the arguments that come first.
    pub standin: (PathBuf, Vec<String>),
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of replicas.
    pub replicas: usize,
    /// Slots of a replica.
    pub slots: u32,
    /// Framings of the answers.
    pub framings: Vec<Framing>,
    /// Seed.
    pub seed: u64,
    /// Settings of the daemons beside those of each run.
    pub settings: Vec<(String, u64)>,
    /// Whether the manifest names customers.
    pub customers: bool,
}

/// Daemon with what the balancer knows of it.
#[derive(Debug)]
pub struct Daemon {
    /// Addresses.
    pub addresses: Addresses,
    process: Mutex<Process>,
    in_rotation: AtomicBool,
    /// Whether it may end, as the soak ended it.
    is_ended: AtomicBool,
    /// Time of the latest request to stop.
    stopped_at: Mutex<Option<Instant>>,
}

#[derive(Debug)]
struct Replica {
    process: Mutex<Process>,
    identity: Mutex<Identity>,
}

/// What changes from process to process of a replica.
#[derive(Clone, Copy, Debug)]
struct Identity {
    /// Number of ids before.
    generation: u32,
    /// Number of its software version.
    version: u32,
}

impl Identity {
    /// Last arguments of the process of replica `n`.
    fn args(self, n: usize) -> Vec<String> {
        let Self {
            generation,
            version,
        } = self;
        let id = format!("replica-{n}-{generation}");
        let args = ["--version", &format!("v{version}"), "--id", &id];
        args.map(str::to_owned).to_vec()
    }
}

/// All processes of a run.
#[derive(Debug)]
pub struct Fleet {
    /// Daemons.
    pub daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    store: Mutex<Process>,
    operator: SocketAddr,
    verdict: Verdict,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn join(addresses: &[SocketAddr]) -> String {
    let all: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    all.join(",")
}

/// Addresses that are free for TCP and UDP.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let first = FIRST_PORT + std::process::id() % RANGES * PORTS_PER_RANGE;
    let range = (first..first + PORTS_PER_RANGE).map(|port| port as u16);
    let addresses = range.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let free = addresses.filter(|a| TcpListener::bind(a).is_ok() && UdpSocket::bind(a).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    match free.len() == count {
        true => Ok(free),
        false => Err(io::Error::other(format!(
            "{count} ports from {first} on are not free; end what uses them or start again"
        ))),
    }
}

impl Fleet {
    /// Starts all processes and waits until the daemons are ready.
    ///
    /// # Errors
    ///
    /// If a process cannot be started or a daemon is not ready in time.
    pub fn start(options: &Options, verdict: &Verdict) -> io::Result<Self> {
        let Options {
            daemons,
            replicas,
            folder,
            ..
        } = options;
        let (daemons, replicas) = (*daemons, *replicas);
        let free = free_addresses(daemons * (PORTS_PER_DAEMON + replicas) + 1)?;
        let (own, rest) = free.split_at(daemons * PORTS_PER_DAEMON);
        let (links, operator) = rest.split_at(daemons * replicas);
        let (operator, links) = (operator[0], links.chunks(replicas));
        let mut store_ports: Vec<SocketAddr> =
            own.chunks(PORTS_PER_DAEMON).map(|own| own[4]).collect();
        store_ports.push(operator);
        let of_links: Vec<String> = links.clone().map(join).collect();
        let (program, first_args) = &options.standin;
        let standin = |name: &str, args: &[(&str, String)]| {
            let mut all = first_args.clone();
            all.push(name.to_owned());
            for (name, value) in args {
                all.extend([format!("--{name}"), value.clone()]);
            }
            all
        };
        let path = |name: &str| folder.join(name);
        let store_args = standin(
            "store",
            &[
                ("ports", join(&store_ports)),
                ("replicas", of_links.join(";") + ";" + &of_links[0]),
                ("file", path("store.log").display().to_string()),
            ],
        );
        let mut store = Process::new(program, store_args, path("store.txt"));
        store.start()?;
        let replicas = (0..replicas).map(|n| {
            let addresses: Vec<SocketAddr> = links.clone().map(|of_link| of_link[n]).collect();
            let mut args = vec![
                ("index", n.to_string()),
                ("zone", ZONES[n % ZONES.len()].to_owned()),
                ("slots", options.slots.to_string()),
                ("links", join(&addresses)),
                ("store", operator.to_string()),
                ("seed", (options.seed + n as u64).to_string()),
                ("record", path("runs.txt").display().to_string()),
            ];
            let framings = options.framings.iter();
            args.extend(framings.map(|framing| ("framing", framing.name().to_owned())));
            let log = path(&format!("replica-{n}.txt"));
            let identity = Identity {
                generation: 0,
                version: 1,
            };
            let mut args = standin("replica", &args);
            args.extend(identity.args(n));
            Replica {
                process: Mutex::new(Process::new(program, args, log)),
                identity: Mutex::new(identity),
            }
        });
        let daemons = own.chunks(PORTS_PER_DAEMON).enumerate().map(|(n, own)| {
            let addresses = Addresses {
                clients: own[0],
                ready: own[1],
                peers: own[2],
                metrics: own[3],
                store: own[4],
            };
            let zone = ZONES[n % ZONES.len()];
            let settings = path(&format!("settings-{n}.json"));
            let text = wire::settings(&format!("front-{n}"), zone, &addresses, STOP_TIME.as_secs());
            let mut values: serde_json::Value = serde_json::from_str(&text)?;
            for (name, value) in &options.settings {
                values[name.as_str()] = (*value).into();
            }
            fs::write(&settings, values.to_string())?;
            let log = path(&format!("daemon-{n}.txt"));
            let process = Process::new(&options.daemon, Vec::new(), log)
                .env(wire::SETTINGS_VARIABLE, &settings.display().to_string());
            Ok::<_, io::Error>(Daemon {
                addresses,
                process: Mutex::new(process),
                in_rotation: AtomicBool::new(false),
                is_ended: AtomicBool::new(false),
                stopped_at: Mutex::default(),
            })
        });
        let fleet = Self {
            daemons: daemons.collect::<Result<_, _>>()?,
            replicas: replicas.collect(),
            store: Mutex::new(store),
            operator,
            verdict: verdict.clone(),
        };
        fleet.put_manifest(options.customers)?;
        for replica in &fleet.replicas {
            lock(&replica.process).start()?;
        }
        for daemon in &fleet.daemons {
            lock(&daemon.process).start()?;
        }
        let until = Instant::now() + START_TIMEOUT;
        while !fleet.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > until {
                let logs = folder.display();
                return Err(io::Error::other(format!(
                    "the daemons are not ready after {START_TIMEOUT:?}; see their logs in {logs}"
                )));
            }
            thread::sleep(Duration::from_millis(100));
        }
        for daemon in &fleet.daemons {
            daemon.in_rotation.store(true, Ordering::SeqCst);
        }
        Ok(fleet)
    }

    fn put_manifest(&self, names_customers: bool) -> io::Result<()> {
        let record = Record {
            key: wire::MANIFEST_KEY.into(),
            value: Some(wire::manifest(names_customers)),
        };
        let request = Request {
            method: "POST".into(),
            target: format!("{}?topic={}", wire::APPEND_PATH, wire::OPERATOR_TOPIC),
            headers: http::headers(&[("Host", "store")]),
            body: encode_records(&[record]).to_vec(),
        };
        let until = Instant::now() + START_TIMEOUT;
        loop {
            match http::call(self.operator, &request, READY_TIMEOUT) {
                Ok(response) if response.status == 200 => return Ok(()),
                Ok(response) => {
                    let status = response.status;
                    return Err(io::Error::other(format!(
                        "the store answers the manifest with {status}"
                    )));
                }
                Err(e) if Instant::now() > until => return Err(e),
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    /// Number of replicas.
    #[must_use]
    pub fn replica_count(&self) -> usize {
        self.replicas.len()
    }

    /// Process id of a daemon; `None` if it has ended.
    pub fn daemon_id(&self, n: usize) -> Option<u32> {
        let mut process = lock(&self.daemons[n].process);
        match process.ended() {
            Some(_) => None,
            None => process.id(),
        }
    }

    /// Sends a signal to a daemon.
    pub fn signal_daemon(&self, n: usize, signal: Signal) {
        lock(&self.daemons[n].process).signal(signal);
    }

    /// Kills a daemon.
    pub fn kill_daemon(&self, n: usize) {
        let daemon = &self.daemons[n];
        let mut process = lock(&daemon.process);
        daemon.is_ended.store(true, Ordering::SeqCst);
        process.kill();
    }

    /// Asks a daemon to stop.
    pub fn stop_daemon(&self, n: usize) {
        let daemon = &self.daemons[n];
        daemon.is_ended.store(true, Ordering::SeqCst);
        lock(&daemon.stopped_at).get_or_insert_with(Instant::now);
        lock(&daemon.process).signal(Signal::TERM);
    }

    /// Starts a daemon that was ended. One that still stops gets the rest of its time, and
    /// is killed then.
    pub fn start_daemon(&self, n: usize) {
        let daemon = &self.daemons[n];
        let mut process = lock(&daemon.process);
        process.signal(Signal::CONT);
        let stopped_at = lock(&daemon.stopped_at).take();
        if daemon.is_ended.load(Ordering::SeqCst) {
            let left = stopped_at.map(|at| STOP_TIME.saturating_sub(at.elapsed()));
            process.await_end(left.unwrap_or_default());
            daemon.is_ended.store(false, Ordering::SeqCst);
            self.started(&format!("daemon {n}"), process.start());
        }
    }

    fn started(&self, name: &str, result: io::Result<()>) {
        if let Err(e) = result {
            self.verdict.broken("start", name, e.to_string());
        }
    }

    /// Sends a signal to a replica.
    pub fn signal_replica(&self, n: usize, signal: Signal) {
        lock(&self.replicas[n].process).signal(signal);
    }

    /// Kills a replica.
    pub fn kill_replica(&self, n: usize) {
        lock(&self.replicas[n].process).kill();
    }

    /// Starts a replica, under a new id if `is_new`.
    pub fn start_replica(&self, n: usize, is_new: bool) {
        self.start_replica_as(n, u32::from(is_new), 0);
    }

    /// Kills a replica and starts the next version of its software.
    pub fn release_replica(&self, n: usize) {
        self.kill_replica(n);
        self.start_replica_as(n, 1, 1);
    }

    fn start_replica_as(&self, n: usize, generations: u32, versions: u32) {
        let replica = &self.replicas[n];
        let mut identity = lock(&replica.identity);
        let mut process = lock(&replica.process);
        if process.id().is_none() {
            identity.generation += generations;
            identity.version += versions;
            let args = identity.args(n);
            let kept = process.args.len() - args.len();
            process.args.truncate(kept);
            process.args.extend(args);
        }
        self.started(&format!("replica {n}"), process.start());
        process.signal(Signal::CONT);
    }

    /// Sends a command to a replica.
    pub fn command_replica(&self, n: usize, command: &str) {
        lock(&self.replicas[n].process).command(command);
    }

    /// Sends a command to the store.
    pub fn command_store(&self, command: &str) {
        lock(&self.store).command(command);
    }

    /// Kills the store.
    pub fn kill_store(&self) {
        lock(&self.store).kill();
    }

    /// Starts the store with the records that it had.
    pub fn start_store(&self) {
        self.started("the store", lock(&self.store).start());
    }

    /// Checks readiness and memory of all daemons as the balancer does, until `is_over`.
    pub fn watch(&self, is_over: &AtomicBool) {
        let mut misses = vec![0; self.daemons.len()];
        while !is_over.load(Ordering::SeqCst) {
            for (n, daemon) in self.daemons.iter().enumerate() {
                misses[n] = if daemon.is_ready() { 0 } else { misses[n] + 1 };
                daemon
                    .in_rotation
                    .store(misses[n] < MAX_MISSES, Ordering::SeqCst);
                let mut process = lock(&daemon.process);
                let memory_kb = process.memory_kb();
                if memory_kb > MEMORY_KB {
                    let seen = format!("uses {memory_kb} kB, {MEMORY_KB} kB are allowed");
                    self.verdict.broken("memory", &format!("daemon {n}"), seen);
                }
                let is_ended = daemon.is_ended.load(Ordering::SeqCst);
                if !is_ended && let Some(status) = process.ended() {
                    let seen = format!("ended by itself: {status}");
                    self.verdict.broken("runs on", &format!("daemon {n}"), seen);
                    self.started(&format!("daemon {n}"), process.start());
                }
            }
            thread::sleep(Duration::from_millis(1000));
        }
    }

    /// Daemon at which a new connection of a client arrives.
    #[must_use]
    pub fn balance(&self, random: u64) -> usize {
        let count = self.daemons.len();
        let first = (random % count as u64) as usize;
        let all = (0..count).map(|n| (first + n) % count);
        let ready = |n: &usize| self.daemons[*n].in_rotation.load(Ordering::SeqCst);
        all.clone().find(ready).unwrap_or(first)
    }
}

impl Daemon {
    /// Whether the readiness check is answered with 200 in time.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".into(),
            target: wire::READY_PATH.into(),
            headers: http::headers(&[("Host", "ready")]),
            body: Vec::new(),
        };
        let response = http::call(self.addresses.ready, &request, READY_TIMEOUT);
        response.is_ok_and(|response| response.status == 200)
    }
}

/// Empties a folder for a run.
///
/// # Errors
///
/// If it cannot be created.
pub fn clear(folder: &Path) -> io::Result<()> {
    if folder.exists() {
        fs::remove_dir_all(folder)?;
    }
    fs::create_dir_all(folder)
}
