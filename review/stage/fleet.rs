//! Processes of a case: the daemons, by the `run` line of the deploy file, and the replicas.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::replica::{Options, wall_ms};
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Zones, as in a small deployment.
const ZONES: [&str; 3] = ["tt-south-a", "tt-south-b", "tt-south-c"];

/// What was sent, answered and run.
pub struct Record(Mutex<File>, Instant);

impl Record {
    pub fn say(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.1.elapsed().as_secs_f64());
        print!("{line}");
        if let Ok(mut file) = self.0.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

pub struct Daemon {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    child: Child,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub daemons: Vec<Daemon>,
    /// `revoke_ms` of a deployment with tenants.
    pub max_manifest_age_ms: Option<u64>,
    replicas: Vec<(Options, Child)>,
    repository: PathBuf,
}

/// A port that is free for TCP and UDP. It is below those that the system gives to outgoing
/// connections, so that none takes it before its listener does.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let first = std::process::id() % 100 * 100;
        let port = 20_000 + (first as u16 + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Fleet {
    pub fn start(case: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("bitterncart-stage-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let file = File::create(case.join("record.txt")).expect("a record");
        Self {
            store: Store::start(),
            record: Arc::new(Record(Mutex::new(file), Instant::now())),
            folder,
            daemons: Vec::new(),
            max_manifest_age_ms: None,
            replicas: Vec::new(),
            repository: std::env::current_dir().expect("a folder"),
        }
    }

    /// The operator writes a manifest; the store's answer is its ack.
    pub fn put_manifest(&self, text: &str) {
        self.store.put("keyed.op", "config", text);
        self.record.say(&format!("operator: manifest acknowledged: {text}"));
    }

    pub fn add_replica(&mut self, options: Options) {
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .arg("replica")
            .args(options.arguments())
            .stdin(Stdio::null())
            .spawn()
            .expect("a replica");
        self.record.say(&format!(
            "replica {} {} {} started at {}",
            options.id, options.service, options.version, options.address
        ));
        self.replicas.push((options, child));
    }

    /// Kills a replica; its options.
    pub fn kill_replica(&mut self, id: &str) -> Options {
        let at = self.replicas.iter().position(|(options, _)| options.id == id).expect("a replica");
        let (options, mut child) = self.replicas.remove(at);
        let _ = child.kill();
        let _ = child.wait();
        self.record.say(&format!("replica {id} crashed"));
        options
    }

    /// Options of a replica at a new address, with a record in the temporary folder.
    pub fn replica(&self, id: &str, service: &str, version: &str) -> Options {
        Options {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            zone: ZONES[0].into(),
            address: free_address(),
            store: self.store.address,
            record: self.folder.join("runs").display().to_string(),
            slots: 8,
            events: 30,
            gap_ms: 100,
            unframed: false,
            drains_after_ms: 0,
        }
    }

    /// Starts a daemon with settings like those that the template yields on a small deployment.
    pub fn add_daemon(&mut self) {
        let n = self.daemons.len();
        let (name, zone) = (format!("front-{}", n + 1), ZONES[n % ZONES.len()]);
        let (clients, ready, peers, metrics) =
            (free_address(), free_address(), free_address(), free_address());
        let text = format!(
            "{{\n  \"name\": \"{name}\",\n  \"data_centre\": \"{zone}\",\n  \"clients\": \"{clients}\",\n  \
             \"ready\": \"{ready}\",\n  \"peers\": \"{peers}\",\n  \"metrics\": \"{metrics}\",\n  \
             \"store\": \"{}\",\n  \"cores\": 0.5,\n  \"partitions\": 8,\n  \"memory_mb\": 130,\n  \
             \"max_fds\": 8200,\n  \"record_bytes\": 262144,\n  \"call_bytes\": 2097152,\n  \
             \"keep_s\": 120,\n{}  \"stop_s\": 8\n}}\n",
            self.store.address,
            self.max_manifest_age_ms
                .map_or(String::new(), |ms| format!("  \"max_manifest_age_ms\": {ms},\n")),
        );
        let settings = self.folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("settings");
        let child = self.run_daemon(&name, &settings);
        self.daemons.push(Daemon { name, clients, ready, metrics, settings, child });
    }

    fn run_daemon(&self, name: &str, settings: &Path) -> Child {
        let deploy = fs::read_to_string(self.repository.join("deploy/system.toml"));
        let deploy = deploy.expect("the deploy file");
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let mut words = line.expect("a run line").trim_end_matches('"').split(' ');
        let program = self.repository.join(words.next().expect("a program"));
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        Command::new(program)
            .args(words)
            .current_dir(&self.repository)
            .env_clear()
            .env("BITTERNCART_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .spawn()
            .expect("a daemon")
    }

    /// Waits until all daemons are ready and have heard each other; `false` if they are not in
    /// time.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        let message = http::request("GET", "/bitterncart/ready", &[("Host", "ready")], b"");
        let is_ready = |daemon: &Daemon| {
            let answer = http::call(daemon.ready, &message, Duration::from_secs(1), |_| {});
            answer.is_some_and(|answer| answer.status == 200)
        };
        while Instant::now() < until {
            if self.daemons.iter().all(is_ready) {
                // Traffic starts 10 s after the machines do.
                thread::sleep(Duration::from_secs(8));
                self.record.say("all daemons are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.say("the daemons did not become ready");
        false
    }


    /// Metrics of a daemon, as text.
    pub fn metrics(&self, n: usize) -> String {
        let message = http::request("GET", "/metrics", &[("Host", "metrics")], b"");
        let answer = http::call(self.daemons[n].metrics, &message, Duration::from_secs(1), |_| {});
        answer.map_or(String::new(), |answer| answer.text())
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, n: usize, signal: &str) {
        let pid = self.daemons[n].child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        self.record.say(&format!("{} gets SIG{signal}", self.daemons[n].name));
    }

    /// Starts a daemon again that has ended.
    pub fn restart(&mut self, n: usize) {
        let _ = self.daemons[n].child.wait();
        let (name, settings) = (self.daemons[n].name.clone(), self.daemons[n].settings.clone());
        self.daemons[n].child = self.run_daemon(&name, &settings);
        self.record.say(&format!("{name} started again"));
    }


    /// Lines of what the replicas ran: time in ms, replica, service, version, event, id.
    pub fn runs(&self) -> Vec<(u64, Vec<String>)> {
        let text = fs::read_to_string(self.folder.join("runs")).unwrap_or_default();
        let lines = text.lines().filter_map(|line| {
            let mut words = line.split(' ').map(str::to_owned);
            Some((words.next()?.parse().ok()?, words.collect()))
        });
        lines.collect()
    }

    /// Ends all processes and writes what the replicas ran into the record.
    pub fn end(&mut self) {
        let started_ms = wall_ms() - self.record.1.elapsed().as_millis() as u64;
        for (ms, words) in self.runs() {
            let at = ms.saturating_sub(started_ms) as f64 / 1000.0;
            let line = format!("{at:8.3} replica {}\n", words.join(" "));
            if let Ok(mut file) = self.record.0.lock() {
                let _ = file.write_all(line.as_bytes());
            }
        }
        for child in self.daemons.iter_mut().map(|d| &mut d.child) {
            let _ = child.kill();
            let _ = child.wait();
        }
        for (_, child) in &mut self.replicas {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}
