//! Crowds of clients outside the limits against the program `bitterncartd`, as a process of its
//! own. It has neither a log nor an instance list: the bounds must hold then, too, and its
//! readiness check is answered in any case.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use bitterncart_testing::cases;
use bitterncart_testing::crowd::{self, Crowd, Kind};
use bitterncart_testing::memory::{descriptors_of, peak_kb_of};

/// Memory that the daemon may have had at most, in kilobytes.
const MAX_MEMORY_KB: u64 = 64 << 10;

/// Descriptors that the daemon may have at most.
const MAX_DESCRIPTORS: usize = 1000;

/// Time in which the daemon has to answer for the first time.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// One crowd at a time: the crowds of several tests would share the processors and descriptors.
static ALONE: Mutex<()> = Mutex::new(());

const REQUEST: &str = "GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";

struct Daemon(Child);

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _status = self.0.wait();
    }
}

/// Addresses that are free now.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] = std::array::from_fn(|_| {
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free")
    });
    listeners.map(|listener| listener.local_addr().expect("a bound address"))
}

fn start() -> (Daemon, SocketAddr) {
    let [callers, admin, peers, heartbeats, log, instances] = free_addresses();
    let settings = format!(
        r#"{{"name": "entry-a", "data_centre": "coast-a", "callers": "{callers}",
        "admin": "{admin}", "peers": "{peers}", "heartbeats": "{heartbeats}", "log": "{log}",
        "instances": "{instances}", "fleet_secret": "a secret of these tests only",
        "workers": 2}}"#
    );
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("intake-settings.jsonc");
    fs::write(&file, settings).expect("the settings can be written");
    let child = Command::new(env!("CARGO_BIN_EXE_bitterncartd"))
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn();
    let daemon = Daemon(child.expect("the daemon starts"));
    let until = Instant::now() + START_TIMEOUT;
    while crowd::fetch_status(callers, REQUEST).is_none() {
        assert!(Instant::now() < until, "the daemon does not answer");
        thread::sleep(Duration::from_millis(50));
    }
    (daemon, callers)
}

cases! {
    /// Guards against a crowd that takes the memory or the descriptors of the daemon, ends its
    /// process, or keeps it from answering others.
    fn crowd_is_bounded(kind: Kind) {
        let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let (mut daemon, address) = start();
        let id = daemon.0.id().to_string();
        let before_kb = peak_kb_of(&id).unwrap_or_default();
        let crowd = Crowd::send(address, kind);
        let descriptors = descriptors_of(&id).unwrap_or_default();
        let status = crowd::fetch_status(address, REQUEST);
        let is_alive = daemon.0.try_wait().is_ok_and(|status| status.is_none());
        let peak_kb = peak_kb_of(&id).unwrap_or_default();
        drop(crowd);
        let seen = format!(
            "alive {is_alive}, peak {peak_kb} kB ({before_kb} kB before), {descriptors} \
             descriptors, ordinary request {status:?}"
        );
        println!("{kind:?}: {seen}");
        assert!(is_alive && peak_kb <= MAX_MEMORY_KB, "{seen}");
        assert!(descriptors <= MAX_DESCRIPTORS && status.is_some(), "{seen}");
    }
    crowd_of_large_heads(Kind::LargeHeads);
    crowd_of_endless_heads(Kind::EndlessHeads);
    crowd_of_endless_header(Kind::EndlessHeader);
    crowd_of_empty_lines(Kind::EmptyLines);
    crowd_of_stopped_heads(Kind::StoppedHeads);
    crowd_of_silent_clients(Kind::Silent);
}
