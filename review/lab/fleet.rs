//! A small deployment: daemons as processes, with the stand-ins around them.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, Response};
use crate::record::Record;
use crate::replica::{Behaviour, Replica};
use crate::store::Store;
use crate::sys;

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/bitterncart-platform";

/// Time in which all daemons have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from readiness to the start of the traffic, in which shards get owners.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Ports of one daemon.
#[derive(Clone, Copy)]
struct Ports {
    clients: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
    store: u16,
}

pub struct Daemon {
    pub name: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    pub fn clients(&self) -> SocketAddr {
        sys::loopback(self.ports.clients)
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let mut command = Command::new(PROGRAM);
        // SAFETY: the closure makes one system call.
        unsafe {
            command.pre_exec(|| {
                sys::end_with_parent();
                Ok(())
            })
        };
        let child = command
            .env_clear()
            .env("BITTERNCART_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        self.child = child.ok();
    }

    /// Whether the readiness check of the balancer is answered with 200 in time.
    pub fn is_ready(&self) -> bool {
        let request = Request {
            method: "GET".into(),
            target: "/bitterncart/ready".into(),
            headers: vec![("Host".into(), "ready".into())],
            body: Vec::new(),
        };
        let ready = sys::loopback(self.ports.ready);
        let response = http::call(ready, &request, Duration::from_millis(500));
        response.is_ok_and(|response| response.status == 200)
    }

    /// Memory of the process that is in use, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Ends the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Replicas to start: service, zone, slots and behaviour.
pub type Wanted = (&'static str, usize, u32, Arc<Behaviour>);

pub struct Fleet {
    pub record: Record,
    pub store: Arc<Store>,
    pub replicas: Vec<Arc<Replica>>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
    /// Starts the stand-ins and one daemon in each zone, and waits until they are ready.
    pub fn start(record: &Record, wanted: &[Wanted], manifest: &str) -> Result<Self, String> {
        let (daemons, replicas) = (ZONES.len(), wanted.len());
        let free = sys::free_ports(daemons * 5 + daemons * replicas);
        let (own, links) = free.split_at(daemons * 5);
        let replica_ports: Vec<Vec<u16>> = links.chunks(replicas).map(<[u16]>::to_vec).collect();
        let store_ports: Vec<u16> = own.chunks(5).map(|ports| ports[4]).collect();
        let store = Store::start(&store_ports, replica_ports.clone());
        store.put("keyed.op", "config", manifest.as_bytes().to_vec());
        record.line(&format!("operator: {manifest}"));
        let replicas = wanted
            .iter()
            .enumerate()
            .map(|(n, (service, zone, slots, behaviour))| {
                let ports: Vec<u16> = replica_ports.iter().map(|of_link| of_link[n]).collect();
                let id = format!("i-{service}-{n}");
                let about = (n, id.as_str(), *service, ZONES[*zone]);
                let replica = Replica::start(about, *slots, &ports, record, Arc::clone(behaviour));
                replica.register(&store);
                replica
            });
        let replicas: Vec<Arc<Replica>> = replicas.collect();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let daemons = own.chunks(5).enumerate().map(|(n, ports)| Daemon {
            name: format!("front-{}-1", ZONES[n]),
            ports: Ports {
                clients: ports[0],
                ready: ports[1],
                peers: ports[2],
                metrics: ports[3],
                store: ports[4],
            },
            settings: folder.join(format!("settings-{n}.jsonc")),
            log: folder.join(format!("daemon-{n}.log")),
            child: None,
        });
        let mut fleet = Self {
            record: record.clone(),
            store,
            replicas,
            daemons: daemons.collect(),
            folder,
        };
        for (n, daemon) in fleet.daemons.iter_mut().enumerate() {
            let settings = settings(daemon, ZONES[n]);
            fs::write(&daemon.settings, settings).map_err(|e| e.to_string())?;
            daemon.spawn();
        }
        let until = Instant::now() + START_TIMEOUT;
        while !fleet.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > until {
                return Err("the daemons are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line("all daemons are ready");
        thread::sleep(SETTLING_TIME);
        Ok(fleet)
    }

    /// Puts a manifest; the return is the ack.
    pub fn put_manifest(&self, manifest: &str) {
        self.store
            .put("keyed.op", "config", manifest.as_bytes().to_vec());
        self.record
            .line(&format!("operator: acknowledged: {manifest}"));
    }

    /// Cuts a daemon from all replicas, or restores its links.
    pub fn set_stranded(&self, daemon: usize, is_cut: bool) {
        for replica in &self.replicas {
            replica.set_cut(daemon, is_cut);
        }
        let what = if is_cut { "cut from" } else { "back at" };
        self.record
            .say(&format!("daemon {daemon} is {what} all replicas"));
    }

    /// Cuts a daemon from the store, or restores the link.
    pub fn set_cut_from_store(&self, daemon: usize, is_cut: bool) {
        self.store.set_silent(daemon, is_cut);
        let what = if is_cut { "cut from" } else { "back at" };
        self.record
            .say(&format!("daemon {daemon} is {what} the store"));
    }

    /// Copies the logs of the daemons to a folder, if one is named.
    pub fn keep_logs(&self) {
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            let _ = fs::create_dir_all(&folder);
            for daemon in &self.daemons {
                let name = daemon.log.file_name().expect("a file name");
                let _ = fs::copy(&daemon.log, PathBuf::from(&folder).join(name));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.keep_logs();
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Settings as the template of the deploy file gives them.
fn settings(daemon: &Daemon, zone: &str) -> String {
    let Ports {
        clients,
        ready,
        peers,
        metrics,
        store,
    } = daemon.ports;
    let name = &daemon.name;
    format!(
        "{{\n  \"name\": \"{name}\",\n  \"data_centre\": \"{zone}\",\n  \
         \"clients\": \"127.0.0.1:{clients}\",\n  \"ready\": \"127.0.0.1:{ready}\",\n  \
         \"peers\": \"127.0.0.1:{peers}\",\n  \"metrics\": \"127.0.0.1:{metrics}\",\n  \
         \"store\": \"127.0.0.1:{store}\",\n  \"cores\": 0.5,\n  \"partitions\": 8,\n  \
         \"keep_s\": 120,\n  \"stop_s\": 8\n}}\n"
    )
}

/// Sends a request of a client on a new connection.
pub fn send(
    daemon: SocketAddr,
    (method, target): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Response> {
    let mut all = vec![("Host".to_owned(), HOST.to_owned())];
    all.extend(
        headers
            .iter()
            .map(|(name, value)| ((*name).into(), (*value).into())),
    );
    let request = Request {
        method: method.into(),
        target: target.into(),
        headers: all,
        body: body.to_vec(),
    };
    http::call(daemon, &request, timeout)
}

/// Host of all routes.
pub const HOST: &str = "a.example";

/// Manifest with these routes and services, as JSON.
pub fn manifest(version: u64, routes: &[String], services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":360,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Route of a manifest; `more` are further fields, each after a comma.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
         \"route_type\":\"{kind}\",\"service\":\"{service}\",\"priority\":0{more}}}"
    )
}

/// Fields of a batch route.
pub const BATCH: &str = ",\"timeout_ms\":15000,\"target_latency_ms\":500,\"max_attempts\":3,\
                         \"result_deadline_ms\":18000,\"max_wait_s\":60,\"max_queued_tokens\":0";
