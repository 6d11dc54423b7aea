//! Connections to replicas, over this daemon's own links or through relays.
//!
//! Watches the own links with the decisions of [`fleet::links`]: checks replicas to
//! which a connection failed, probes broken links, and gives up requests whose
//! connections bring no answers any more, if they may be repeated.
//!
//! [`fleet::links`]: bitterncart_coordination::fleet::links

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::links::{
    Change, Check, Path, Relay, Report, Target, choose_relay,
};
use bitterncart_coordination::fleet::pool::Selection;
use bitterncart_coordination::fleet::{Links, Peers, Pool};
use compact_str::CompactString;
use futures_lite::future;
use smol::Executor;

use crate::clock;
use crate::connection::{Connection, Connector, Error, Origin};
use crate::log;
use crate::metrics::Metrics;
use crate::relay::{self, Failure};

/// Timeout of a new connection to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time in which a process that ends closes all of its connections, with those that it
/// has not accepted yet.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

/// Bounds of the time in which this daemon must connect to a replica after a relay did:
/// a multiple of the time that the relay took, and a minimum.
const CHECK_FACTOR: u32 = 4;

const MIN_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval between checks of what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of relays that are asked for one connection.
const MAX_RELAYS_ASKED: usize = 3;

/// Peers that are asked whether a replica has ended.
const MAX_WITNESSES: usize = 2;

/// Time of the latest answer over an own link, in milliseconds of the boot clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerTime(Arc<AtomicU64>);

impl AnswerTime {
    pub(crate) fn record(&self) {
        let now_ms = clock::now().as_millis() as u64;
        self.0.store(now_ms, Ordering::Relaxed);
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Monitor of the links of this daemon.
#[derive(Clone, Debug)]
pub(crate) struct Monitor(Arc<State>);

/// What the monitor shares with the rest of the daemon.
#[derive(Debug)]
pub(crate) struct Shared {
    /// Data centre of this daemon.
    pub data_centre: CompactString,
    /// Its processor capacity, in thousandths of a core.
    pub capacity: u32,
    pub pool: Arc<Mutex<Pool>>,
    pub peers: Arc<Mutex<Peers>>,
    pub connector: Connector,
    pub executor: Arc<Executor<'static>>,
    pub metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct State {
    shared: Shared,
    links: Mutex<Links>,
    answered: AnswerTime,
    /// Connections that this daemon relays for others.
    relayed: Arc<AtomicUsize>,
}

impl Monitor {
    pub(crate) fn new(shared: Shared) -> Self {
        Self(Arc::new(State {
            shared,
            links: Mutex::default(),
            answered: AnswerTime::default(),
            relayed: Arc::default(),
        }))
    }

    /// The links, with the time of the latest answer.
    fn links(&self) -> MutexGuard<'_, Links> {
        let links = self.0.links.lock();
        let mut links = links.unwrap_or_else(PoisonError::into_inner);
        links.record_answer(self.0.answered.get());
        links
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.0
            .shared
            .pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn targets(&self) -> Vec<Target> {
        self.pool().link_targets(clock::now())
    }

    /// Number of connections that this daemon relays.
    pub(crate) fn relayed(&self) -> &Arc<AtomicUsize> {
        &self.0.relayed
    }

    /// Whether this daemon is cut off from the replicas.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.links().is_cut_off()
    }

    /// Whether this daemon is cut off, also over open connections, and no peer can
    /// relay its connections.
    pub(crate) fn has_no_path(&self) -> bool {
        let is_lost = self.links().is_silent(clock::now());
        is_lost && self.relays().is_empty()
    }

    /// State of the links for the peers.
    pub(crate) fn report(&self) -> Report {
        let relayed = self.0.relayed.load(Ordering::Relaxed);
        let links = self.links();
        let answered_ago = links.answered_ago(clock::now());
        Report {
            cut_off: links.is_cut_off(),
            relayed: u16::try_from(relayed).unwrap_or(u16::MAX),
            answered_ago_ms: u16::try_from(answered_ago.as_millis()).unwrap_or(u16::MAX),
        }
    }

    /// Peers that can relay connections.
    fn relays(&self) -> Vec<Relay> {
        let peers = self.0.shared.peers.lock();
        let peers = peers.unwrap_or_else(PoisonError::into_inner);
        peers.relays(clock::now(), self.0.shared.capacity)
    }

    /// Returns an idle connection to a replica, or opens one.
    pub(crate) async fn acquire(
        &self,
        selection: &Selection,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let path = self.links().path(clock::now(), selection.address);
        let relays = match path {
            Path::Direct => Vec::new(),
            Path::Relayed { .. } => self.relays(),
        };
        let is_usable = |relay: Option<SocketAddr>| match (path, relay) {
            (Path::Direct, relay) => relay.is_none(),
            (Path::Relayed { reuses_direct }, None) => reuses_direct,
            (_, Some(relay)) => relays.iter().any(|usable| usable.address == relay),
        };
        match self
            .0
            .shared
            .connector
            .take_idle(selection.address, is_usable)
        {
            Some(connection) => Ok(connection),
            None => self.open(selection, timeout).await,
        }
    }

    /// Opens a new connection to a replica.
    pub(crate) async fn open(
        &self,
        selection: &Selection,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let address = selection.address;
        let path = self.links().path(clock::now(), address);
        match path {
            Path::Direct => self.open_direct(address, timeout).await,
            Path::Relayed { .. } => {
                let data_centre = self.pool().data_centre_of(selection.key);
                let near = data_centre.as_deref().unwrap_or_default();
                let opened = self.open_relayed(&selection.id, address, near).await;
                opened.map_err(|failure| Error::relay(&failure))
            }
        }
    }

    async fn open_direct(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        match self.0.shared.connector.open(address, timeout).await {
            Ok(connection) => {
                self.record_opened(address);
                Ok(connection.answering(&self.0.answered))
            }
            Err(e) => {
                self.record_failure(address);
                Err(e)
            }
        }
    }

    /// Connects to a replica through up to [`MAX_RELAYS_ASKED`] relays, until one of
    /// them tells whether it reaches the replica.
    async fn open_relayed(
        &self,
        id: &str,
        address: SocketAddr,
        data_centre: &str,
    ) -> Result<Connection, Failure> {
        let mut relays = self.relays();
        relays.retain(|relay| self.links().may_ask(clock::now(), relay.address));
        for _ in 0..MAX_RELAYS_ASKED {
            let near = [self.0.shared.data_centre.as_str(), data_centre];
            let Some(relay) = choose_relay(&relays, near, rand::random) else {
                break;
            };
            let opened = relay::open(&self.0.shared.connector, relay, id, address).await;
            match opened {
                Err(Failure::NoRelay) => {
                    self.links().record_failed_relay(clock::now(), relay);
                    relays.retain(|other| other.address != relay);
                }
                opened => {
                    let end = if opened.is_ok() {
                        "opened"
                    } else {
                        "unreachable"
                    };
                    self.0.shared.metrics.relayed_connection(end);
                    return opened;
                }
            }
        }
        self.0.shared.metrics.relayed_connection("no_relay");
        Err(Failure::NoRelay)
    }

    /// Whether an answer came over an own link since a time.
    pub(crate) fn has_answer_since(&self, time: Duration) -> bool {
        self.links().has_answer_since(time)
    }

    /// Records that a direct connection was opened.
    pub(crate) fn record_opened(&self, address: SocketAddr) {
        self.links().record_opened(address);
    }

    /// Records that a connection failed or brought no answer in time, and checks
    /// whether the link is the cause.
    pub(crate) fn record_failure(&self, address: SocketAddr) {
        let targets = self.targets();
        let now = clock::now();
        let checks = self
            .links()
            .record_failure(now, address, &targets, rand::random);
        checks.into_iter().for_each(|address| self.check(address));
    }

    /// Checks a link in the background: a relay connects first, then this daemon, so
    /// that a replica that was silent for a moment is not taken for a broken link.
    fn check(&self, address: SocketAddr) {
        let monitor = self.clone();
        let check = async move {
            let target = monitor.targets().into_iter().find(|t| t.address == address);
            let started = clock::now();
            let relayed = match &target {
                Some(target) => {
                    let near = &target.data_centre;
                    monitor.open_relayed(&target.id, address, near).await.ok()
                }
                None => None,
            };
            let relay_time = clock::now().saturating_sub(started);
            let timeout = match relayed {
                Some(_) => (relay_time * CHECK_FACTOR).clamp(MIN_CHECK_TIMEOUT, CONNECT_TIMEOUT),
                None => CONNECT_TIMEOUT,
            };
            let result = match monitor.0.shared.connector.open(address, timeout).await {
                Ok(connection) => {
                    let connection = connection.answering(&monitor.0.answered);
                    monitor.0.shared.connector.release(connection);
                    Check::Opened
                }
                Err(_) if relayed.is_some() => Check::Broken,
                Err(_) => Check::Unreachable,
            };
            if let (Check::Broken, Some(connection)) = (result, relayed) {
                monitor.0.shared.connector.release(connection);
            }
            log::link_checked(address, result);
            monitor.record_check(address, result);
        };
        self.0.shared.executor.spawn(check).detach();
    }

    fn record_check(&self, address: SocketAddr, result: Check) {
        let targets = self.targets();
        let now = clock::now();
        let step = self
            .links()
            .record_check(now, address, result, &targets, rand::random);
        self.0.shared.metrics.link_checked(result);
        self.apply(step.change);
        step.check
            .into_iter()
            .for_each(|address| self.check(address));
    }

    fn apply(&self, change: Option<Change>) {
        let Some(change) = change else { return };
        log::links_changed(change);
        // The failures were those of the links.
        self.pool().forget_failures();
        if change == (Change::CutOff { is_silent: true }) {
            self.0.shared.connector.abort_repeatable();
        }
    }

    /// Checks what is due as long as the daemon runs.
    pub(crate) async fn run(self) {
        loop {
            smol::Timer::after(TICK_INTERVAL).await;
            self.watch_silence();
            if self.links().is_calm() {
                continue;
            }
            let targets = self.targets();
            let now = clock::now();
            let (change, probed) = {
                let mut links = self.links();
                (links.tick(now, &targets), links.start_probe(now, &targets))
            };
            self.apply(change);
            if let Some(address) = probed {
                let probe = self.clone().probe(address);
                self.0.shared.executor.spawn(probe).detach();
            }
        }
    }

    /// Takes a silence of all replicas that have requests for a failure of one of them.
    fn watch_silence(&self) {
        let (in_use, any) = {
            let pool = self.pool();
            (pool.in_use().count(), pool.in_use().next())
        };
        let is_silent = self.links().record_busy(clock::now(), in_use);
        if let (Some(address), true) = (any, is_silent) {
            self.record_failure(address);
        }
    }

    /// Probes a broken link. The connection is kept for requests.
    async fn probe(self, address: SocketAddr) {
        let result = match self.0.shared.connector.open(address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                let connection = connection.answering(&self.0.answered);
                self.0.shared.connector.release(connection);
                log::link_checked(address, Check::Opened);
                Check::Opened
            }
            Err(_) => Check::Broken,
        };
        self.record_check(address, result);
    }

    /// Whether a replica that refuses connections of this daemon accepts those of a
    /// peer, so that it is this daemon's link that is broken. Asks several peers of any
    /// data centre, as one may have lost its link, too.
    pub(crate) async fn is_reached_by_peer(&self, id: &str, address: SocketAddr) -> bool {
        if self.is_cut_off() {
            return true;
        }
        let mut relays = self.relays();
        for _ in 0..MAX_WITNESSES {
            let Some(relay) = choose_relay(&relays, ["", ""], rand::random) else {
                break;
            };
            if relay::open(&self.0.shared.connector, relay, id, address)
                .await
                .is_ok()
            {
                return true;
            }
            relays.retain(|other| other.address != relay);
        }
        false
    }

    /// Opens a second connection to the process to which one leads, over the same path: it
    /// ends with that process. `None` if it is refused, or a reset of the first one would
    /// not be seen.
    pub(crate) async fn open_witness(
        self,
        replica_id: CompactString,
        of: Origin,
    ) -> Option<Connection> {
        match of.relay {
            None => self.open_direct(of.address, CONNECT_TIMEOUT).await.ok(),
            Some(relay) if relay.passes_resets => {
                let connector = &self.0.shared.connector;
                let opened = relay::open(connector, relay.address, &replica_id, of.address).await;
                opened.ok()
            }
            // What broke behind this relay also ends in order.
            Some(_) => None,
        }
    }

    /// Whether a witness is still open when the connection beside it has ended in order. It
    /// is kept for reuse.
    pub(crate) async fn is_confirmed_by(&self, witness: Connection) -> bool {
        smol::Timer::after(CLOSE_DELAY).await;
        // Timers come before what sockets have received.
        future::yield_now().await;
        let is_open = witness.is_open();
        if is_open {
            self.0.shared.connector.release(witness);
        }
        is_open
    }

    /// Closes idle connections through relays that are leaving, lost or cut off, and
    /// those to replicas to which this daemon has a link again.
    pub(crate) fn close_unneeded(&self) {
        let relays = self.relays();
        let now = clock::now();
        let links = self.links();
        self.0.shared.connector.close_relayed(|address, relay| {
            let is_relay = relays.iter().any(|usable| usable.address == relay);
            is_relay && links.path(now, address) != Path::Direct
        });
    }
}
