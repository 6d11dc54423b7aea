//! Start and stop of a daemon.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bitterncart_state::ledger::Op;
use smol::Executor;
use smol::net::UdpSocket;

use crate::channel::Connector;
use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::server::{self, Door, Open};
use crate::settings::Settings;
use crate::store::Store;
use crate::{gossip, runner, shard, watch};

/// Time after the order to stop for which new connections still come, as the
/// balancer asks once a second and wants two refusals.
const STILL_CHOSEN: Duration = Duration::from_millis(2600);

/// Time before the kill at which the process ends in any case.
const MARGIN: Duration = Duration::from_millis(700);

/// Time between looks for open connections while stopping.
const LOOK: Duration = Duration::from_millis(50);

/// Pause before another try to announce this daemon.
const AGAIN: Duration = Duration::from_millis(200);

/// Time for announcing this daemon in the ledger.
const JOIN: Duration = Duration::from_secs(20);

/// Daemon that serves.
pub struct Daemon<S: Store, D: Dialect> {
    core: Core<S, D>,
    open: Open,
}

impl<S: Store, D: Dialect> fmt::Debug for Daemon<S, D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon").finish_non_exhaustive()
    }
}

impl<S: Store, D: Dialect> Daemon<S, D> {
    /// Starts a daemon.
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
        let peers = UdpSocket::bind(settings.peers).await?;
        settings.clients = clients.local_addr()?;
        settings.peers = peers.local_addr()?;
        let metrics = match settings.metrics {
            Some(address) => Some(server::bind(address).await?),
            None => None,
        };
        let core = Core::new(settings, store, dialect, executor, connector);
        log::started(&core.settings.name);
        let open = Open::default();
        let listen = |listener, door, open| {
            core.spawn(server::listen(core.clone(), listener, door, open))
                .detach();
        };
        listen(clients, Door::Clients, Arc::clone(&open));
        listen(ready, Door::Ready, Open::default());
        if let Some(metrics) = metrics {
            listen(metrics, Door::Metrics, Open::default());
        }
        core.spawn(gossip::receive(core.clone(), peers.clone()))
            .detach();
        core.spawn(gossip::tell(core.clone(), peers)).detach();
        core.spawn(watch::manifest(core.clone())).detach();
        core.spawn(watch::replicas(core.clone())).detach();
        core.spawn(watch::expire(core.clone())).detach();
        core.spawn(runner::run(core.clone())).detach();
        for number in 0..core.shards.len() {
            core.spawn(shard::follow(core.clone(), number)).detach();
            core.spawn(shard::write(core.clone(), number)).detach();
        }
        core.spawn(join(core.clone())).detach();
        Ok(Self { core, open })
    }

    /// Address for clients, with the port that was given.
    #[must_use]
    pub fn clients(&self) -> SocketAddr {
        self.core.settings.clients
    }

    /// Whether the daemon takes work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Version of the manifest in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.core.manifest().map(|manifest| manifest.version)
    }

    /// Takes no more work, lets requests under way finish and returns.
    pub async fn stop(&self) {
        let (core, open) = (&self.core, &self.open);
        log::stopping(&core.settings.name);
        let begun = clock::now();
        core.leave();
        smol::Timer::after(STILL_CHOSEN).await;
        core.close();
        let end = begun + core.settings.stop().saturating_sub(MARGIN);
        while open.load(Ordering::Relaxed) > 0 && clock::now() < end {
            smol::Timer::after(LOOK).await;
        }
        log::stopped(&core.settings.name, open.load(Ordering::Relaxed));
    }
}

/// Announces this daemon, so that others find it.
async fn join<S: Store, D: Dialect>(core: Core<S, D>) {
    let shard = &core.shards[0];
    while shard
        .order(Op::Join(core.me()), clock::now() + JOIN)
        .await
        .is_err()
    {
        smol::Timer::after(AGAIN).await;
    }
}
