//! Start and graceful shutdown of a daemon.
//!
//! Starting binds the listeners and spawns the tasks of the daemon. Draining first
//! makes the readiness check fail and gives the load balancer time to notice. The
//! daemon then announces to the other daemons that it leaves, returns the leases of
//! its batch items, and waits until requests in flight have ended and the shards have
//! been handed over, up to a time limit.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bitterncart_protocol::peer::{Health, Member};
use bitterncart_protocol::{Settings, id};
use bitterncart_transport::http::Server;
use bitterncart_transport::runtime::{Workers, unix_time_ms};
use bitterncart_transport::{Blocklist, Error, Runtime, heartbeat, peer};
use compact_str::format_compact;
use spdlog::info;

use crate::admin::Admin;
use crate::callers::Api;
use crate::core::Core;
use crate::peers::PeerServer;
use crate::{batch, config, discovery, orders, shards};

/// Time for the load balancer to notice that the instance is not ready.
const UNREADY_DELAY: Duration = Duration::from_secs(2);

/// Time before the end of a drain at which the requests that are left are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Interval between two checks whether a drain is complete.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Running daemon; dropping it stops all its tasks at once, without a drain.
#[derive(Debug)]
pub struct Daemon {
    /// Shared state.
    pub core: Arc<Core>,
    /// Address of the API for callers.
    pub callers: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Worker threads.
    pub workers: Workers,
    /// Blocked addresses of other machines.
    pub blocklist: Blocklist,
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
        let blocklist = Blocklist::default();
        let secret = &settings.fleet_secret;
        let peers = peer::Peers::bind(settings.peers, secret, blocklist.clone())?;
        let heartbeat = heartbeat::Socket::bind(settings.heartbeats, secret, blocklist.clone());
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
            // The start time is part of the identity, so that a restarted daemon does not
            // take the shards claimed by the previous process for its own.
            daemon: id::Daemon(format_compact!("{}@{:x}", settings.name, unix_time_ms())),
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
            blocklist.clone(),
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
        info!("daemon started", kv: { daemon = core.daemon_id.0.as_str(), callers = callers_at.to_string().as_str() });
        Ok(Self {
            core,
            callers: callers_at,
            admin: admin_at,
            workers,
            blocklist,
            drain,
        })
    }

    /// Waits until an operator requests a drain.
    pub async fn drain_requested(&self) {
        // The channel stays open, because the administration API holds the sender.
        self.drain.recv().await.ok();
    }

    /// Drains: rejects new work, lets requests finish and hands shards over. Requests that
    /// would outlast the drain are answered shortly before its end.
    ///
    /// Waits no longer than the settings' `drain_ms`; returns whether everything had
    /// finished by then.
    pub async fn drain(&self) -> bool {
        let core = &self.core;
        let deadline = core.now() + Duration::from_millis(core.settings.drain_ms);
        core.start_draining();
        info!("draining", kv: { daemon = core.daemon_id.0.as_str() });
        smol::Timer::after(UNREADY_DELAY).await;
        // Announced now, so that other daemons take the shards over while requests still
        // finish here.
        discovery::announce_leave(core).await;
        batch::return_streams(core).await;
        let idle_by = async |until: Duration| {
            while core.now() < until && !is_idle(core) {
                smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
            }
        };
        idle_by(deadline.saturating_sub(ANSWER_MARGIN)).await;
        core.end_requests();
        idle_by(deadline).await;
        // Announced again, for daemons that did not receive the first announcement.
        discovery::announce_leave(core).await;
        let clean = is_idle(core);
        info!("drained", kv: { daemon = core.daemon_id.0.as_str(), clean });
        clean
    }
}

fn is_idle(core: &Core) -> bool {
    let owns_shards = core.shards().values().any(|handle| handle.is_owner());
    core.in_flight.load(Ordering::SeqCst) == 0 && !owns_shards
}

fn spawn_tasks(core: &Arc<Core>) {
    let runtime = &core.runtime;
    let clone_core = || Arc::clone(core);
    runtime
        .spawn(
            core.peers
                .clone()
                .serve(runtime.clone(), PeerServer { core: clone_core() }),
        )
        .detach();
    runtime.spawn(config::follow_stream(clone_core())).detach();
    runtime.spawn(config::poll_peers(clone_core())).detach();
    runtime
        .spawn(discovery::follow_instance_list(clone_core()))
        .detach();
    runtime
        .spawn(discovery::run_membership(clone_core()))
        .detach();
    runtime
        .spawn(discovery::receive_packets(clone_core()))
        .detach();
    runtime
        .spawn(discovery::probe_replicas(clone_core()))
        .detach();
    runtime.spawn(shards::run_manager(clone_core())).detach();
    runtime.spawn(orders::run(clone_core())).detach();
    runtime.spawn(batch::run_scheduler(clone_core())).detach();
    runtime.spawn(batch::run_flusher(clone_core())).detach();
}
