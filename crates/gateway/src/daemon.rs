//! Startup and graceful shutdown of a daemon.
//!
//! At startup a daemon binds its addresses, starts its background tasks and
//! registers its peer address in the store. At shutdown it first drains: it
//! reports itself as not ready and starts no new batch items, but still accepts
//! connections until the load balancer has noticed. Then it closes client
//! connections and waits for active requests and items, for as long as the stop
//! timeout permits. It answers what is left shortly before the timeout.

use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bitterncart_state::ledger::Record;
use compact_str::ToCompactString;
use smol::Executor;
use smol::net::UdpSocket;

use crate::clock;
use crate::connection::Connector;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::intake::{Capacity, Registry, available_fds, listen};
use crate::log;
use crate::server::{self, Endpoint};
use crate::settings::Settings;
use crate::shard::Shard;
use crate::store::{Failure, Store, Topic};
use crate::watch::{self, UNLIMITED, read_snapshot};
use crate::{catalog, confirmation, gossip, runner, shard, token_quota};

/// Interval between checks for active requests and items during the shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Timeout of registering this daemon in the store.
const REGISTER_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between reads of the registered daemons; a daemon that registers
/// later is discovered through its gossip.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(30);

/// Running gateway daemon.
pub struct Daemon<S: Store, D: Dialect> {
    core: Core<S, D>,
    /// Connections of clients and of peers.
    open: [Registry; 2],
}

impl<S: Store, D: Dialect> fmt::Debug for Daemon<S, D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").finish_non_exhaustive()
    }
}

impl<S: Store, D: Dialect> Daemon<S, D> {
    /// Binds the addresses of a daemon and starts its tasks.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn start(
        mut settings: Settings,
        store: S,
        dialect: D,
        executor: Arc<Executor<'static>>,
        connector: Connector,
    ) -> io::Result<Self> {
        let clients = server::bind(settings.clients).await?;
        let ready = server::bind(settings.ready).await?;
        let peer_calls = server::bind(settings.peers).await?;
        settings.clients = clients.local_addr()?;
        settings.peers = peer_calls.local_addr()?;
        let gossip_socket = UdpSocket::bind(settings.peers).await?;
        let metrics = match settings.metrics {
            Some(address) => Some(server::bind(address).await?),
            None => None,
        };
        let core = Core::new(settings, store, dialect, executor, connector);
        log::started(&core.settings.name);
        let memory = core.settings.memory_bytes();
        let fds = available_fds(core.settings.max_fds);
        let open = [
            Registry::new(Capacity::of_clients(memory, fds)),
            Registry::new(Capacity::of_peers(memory, fds)),
        ];
        let checks = || Registry::new(Capacity::of_checks());
        let listen = |listener, endpoint, open| {
            core.spawn(listen(core.clone(), listener, endpoint, open))
                .detach();
        };
        listen(clients, Endpoint::Clients, open[0].clone());
        listen(ready, Endpoint::Ready, checks());
        listen(peer_calls, Endpoint::Peers, open[1].clone());
        if let Some(metrics) = metrics {
            listen(metrics, Endpoint::Metrics, checks());
        }
        core.socket.set(gossip_socket.clone());
        core.spawn(gossip::receive(core.clone(), gossip_socket.clone()))
            .detach();
        core.spawn(gossip::send_heartbeats(core.clone(), gossip_socket))
            .detach();
        core.spawn(core.links.clone().run()).detach();
        core.spawn(watch::manifest(core.clone())).detach();
        core.spawn(confirmation::maintain(core.clone())).detach();
        core.spawn(watch::replicas(core.clone())).detach();
        core.spawn(watch::expire(core.clone())).detach();
        core.spawn(runner::schedule(core.clone())).detach();
        for number in 0..core.shards.len() {
            core.spawn(shard::maintain(core.clone(), number)).detach();
            core.spawn(shard::run_writer(core.clone(), number)).detach();
        }
        core.spawn(token_quota::run_writer(core.clone())).detach();
        core.spawn(follow_members(core.clone())).detach();
        core.spawn(catalog::maintain(core.clone())).detach();
        Ok(Self { core, open })
    }

    /// Address for clients, with the port that was bound.
    #[must_use]
    pub fn client_address(&self) -> SocketAddr {
        self.core.settings.clients
    }

    /// Whether the daemon accepts requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Number of other daemons whose heartbeats arrive.
    #[must_use]
    pub fn live_peers(&self) -> usize {
        self.core.peers().live(clock::now()).count()
    }

    /// Whether the daemon has lost its links to the replicas.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.core.links.is_cut_off()
    }

    /// Number of processes of replicas that were found to have ended under requests.
    #[must_use]
    pub fn ended_replicas(&self) -> usize {
        self.core.crashes.ended()
    }

    /// Version of the current manifest.
    #[must_use]
    pub fn manifest_version(&self) -> Option<u64> {
        self.core.manifest().map(|manifest| manifest.version)
    }

    /// Metrics as text, one value a line.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        self.core.metrics.text()
    }

    /// Whether the daemon owns a shard and has loaded it.
    #[must_use]
    pub fn is_serving(&self, shard: usize) -> bool {
        self.core.shards.get(shard).is_some_and(Shard::is_serving)
    }

    /// Applies reloaded settings and logs changes that need a restart.
    pub fn reload(&self, settings: Settings) {
        self.core.reload(settings);
    }

    /// Shuts down gracefully: drains, waits for active requests and items up to
    /// the stop timeout, answers what is left, and returns.
    pub async fn stop(&self) {
        let core = &self.core;
        let open = || self.open.iter().map(Registry::open).sum::<usize>();
        log::stopping(&core.settings.name);
        let course = core.shutdown.begin(core.current_settings().stop_timeout());
        smol::Timer::after(course.accept_until().saturating_sub(clock::now())).await;
        core.shutdown.close_connections();
        let is_busy = || {
            let relayed = core.links.relayed().load(Ordering::Relaxed);
            open() + relayed > 0 || core.runs().has_active()
        };
        while is_busy() && clock::now() < course.answer_by() {
            smol::Timer::after(POLL_INTERVAL).await;
        }
        log::ending(&core.settings.name, open());
        core.shutdown.require_answers();
        while open() > 0 && clock::now() < course.end() {
            smol::Timer::after(POLL_INTERVAL).await;
        }
        runner::yielding::record_shutdown(core);
        log::stopped(&core.settings.name, open());
    }
}

/// Registers this daemon in the store and follows the list of registered
/// daemons.
async fn follow_members<S: Store, D: Dialect>(core: Core<S, D>) {
    let record = Record {
        key: core.peer_address().to_compact_string(),
        value: Some(vec![1]),
    };
    let registration = [record];
    while let Err(e) = core
        .store
        .append(Topic::Members, None, &registration, REGISTER_TIMEOUT)
        .await
    {
        core.record_store_failure("join", &e);
        smol::Timer::after(RETRY_DELAY).await;
    }
    loop {
        match read_members(&core).await {
            Ok(members) => {
                core.set_members(members);
                smol::Timer::after(MEMBERS_INTERVAL).await;
            }
            Err(e) => {
                core.record_store_failure("members", &e);
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the daemons registered in the store, and the catalog beside them.
pub(crate) async fn read_members<S: Store, D: Dialect>(
    core: &Core<S, D>,
) -> Result<BTreeSet<SocketAddr>, Failure> {
    let (records, _end) = read_snapshot(core, Topic::Members, UNLIMITED).await?;
    catalog::apply(core, &records);
    // Other versions may use other keys; those are skipped.
    let addresses = records.iter().map(|r| r.key.parse::<SocketAddr>());
    Ok(addresses.filter_map(Result::ok).collect())
}
