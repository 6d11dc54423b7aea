//! Start and end of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bitterncart_protocol::peer::{Health, Member};
use bitterncart_protocol::{Settings, id};
use bitterncart_transport::http::Server;
use bitterncart_transport::runtime::{Workers, wall_ms};
use bitterncart_transport::{Error, Links, Runtime, heartbeat, peer};
use compact_str::format_compact;
use spdlog::info;

use crate::admin::Admin;
use crate::callers::Api;
use crate::core::Core;
use crate::peers::Answerer;
use crate::{batch, config, orders, platform, shards};

/// Time for the balancer to see that the instance is not ready.
const UNREADY: Duration = Duration::from_secs(2);

/// Time between two looks at what a drain waits for.
const LOOK: Duration = Duration::from_millis(50);

/// Running daemon; dropping it is its death.
#[derive(Debug)]
pub struct Daemon {
    /// Tables.
    pub core: Arc<Core>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Worker threads.
    pub workers: Workers,
    /// Links to other machines.
    pub links: Links,
    drain: async_channel::Receiver<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let (runtime, workers) = Runtime::start("daemon", settings.workers);
        let links = Links::default();
        let secret = &settings.fleet_secret;
        let peers = peer::Peers::bind(settings.peers, secret, links.clone())?;
        let heartbeat = heartbeat::Socket::bind(settings.heartbeats, secret, links.clone());
        let heartbeat = smol::block_on(heartbeat).map_err(Error::connect)?;
        let bind = |address| {
            smol::block_on(Server::bind(runtime.clone(), address)).map_err(Error::connect)
        };
        let callers = bind(settings.callers)?;
        let admin = bind(settings.admin)?;
        let addresses = (callers.address(), admin.address());
        let (callers_at, admin_at) = (
            addresses.0.map_err(Error::connect)?,
            addresses.1.map_err(Error::connect)?,
        );
        let me = Member {
            // Each start is another life: its claims are not its predecessor's.
            daemon: id::Daemon(format_compact!("{}@{:x}", settings.name, wall_ms())),
            data_centre: settings.data_centre.clone(),
            heartbeat: settings.heartbeats,
            peer: peers.address().map_err(Error::connect)?,
            incarnation: 0,
            health: Health::Alive,
            log_lost: false,
        };
        let core = Core::new(
            settings,
            runtime.clone(),
            links.clone(),
            peers,
            heartbeat,
            me,
            rand::random(),
        );
        let core = Arc::new(core);
        let (sender, drain) = async_channel::bounded(1);
        runtime
            .spawn(callers.serve(Api {
                core: Arc::clone(&core),
            }))
            .detach();
        runtime
            .spawn(admin.serve(Admin {
                core: Arc::clone(&core),
                drain: sender,
            }))
            .detach();
        spawn_tasks(&core);
        info!("daemon started", kv: { daemon = core.me.0.as_str(), callers = callers_at.to_string().as_str() });
        Ok(Self {
            core,
            callers: callers_at,
            admin: admin_at,
            workers,
            links,
            drain,
        })
    }

    /// Waits until an operator orders a drain.
    pub async fn ordered_to_drain(&self) {
        // The sender lives as long as the administration API.
        self.drain.recv().await.ok();
    }

    /// Drains: takes no new work, lets requests finish, hands shards over.
    ///
    /// Ends after the settings' `drain_ms` at the latest; returns whether
    /// everything was finished by then.
    pub async fn drain(&self) -> bool {
        let core = &self.core;
        let until = core.now() + Duration::from_millis(core.settings.drain_ms);
        core.start_draining();
        info!("draining", kv: { daemon = core.me.0.as_str() });
        smol::Timer::after(UNREADY).await;
        // The others take the shards over while streams still finish here.
        platform::leave(core).await;
        batch::give_back(core).await;
        while core.now() < until && !is_idle(core) {
            smol::Timer::after(LOOK).await;
        }
        // Said once more, for those who missed it.
        platform::leave(core).await;
        let clean = is_idle(core);
        info!("drained", kv: { daemon = core.me.0.as_str(), clean });
        clean
    }
}

fn is_idle(core: &Core) -> bool {
    let owns = core.shards().values().any(|handle| handle.is_mine());
    core.running.load(Ordering::SeqCst) == 0 && !owns
}

fn spawn_tasks(core: &Arc<Core>) {
    let runtime = &core.runtime;
    let of = || Arc::clone(core);
    runtime
        .spawn(
            core.peers
                .clone()
                .serve(runtime.clone(), Answerer { core: of() }),
        )
        .detach();
    runtime.spawn(config::follow(of())).detach();
    runtime.spawn(config::follow_peers(of())).detach();
    runtime.spawn(platform::follow_list(of())).detach();
    runtime.spawn(platform::keep_membership(of())).detach();
    runtime.spawn(platform::receive_membership(of())).detach();
    runtime.spawn(platform::watch_load(of())).detach();
    runtime.spawn(shards::watch(of())).detach();
    runtime.spawn(orders::run(of())).detach();
    runtime.spawn(batch::run(of())).detach();
    runtime.spawn(batch::settle(of())).detach();
}
