//! Start and stop of a daemon.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_signal::{Signal, Signals};
use bitterncart_state::ledger::Op;
use futures_lite::StreamExt;
use smol::Executor;
use smol::net::UdpSocket;

use crate::channel::Connector;
use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::server::{self, Open};
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

/// Time for announcing this daemon in the ledger.
const JOIN: Duration = Duration::from_secs(20);

/// Runs a daemon until it is told to stop.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run<S: Store, D: Dialect>(
    settings: Settings,
    store: S,
    dialect: D,
    executor: Arc<Executor<'static>>,
    connector: Connector,
) -> io::Result<()> {
    let signals = Signals::new([Signal::Term, Signal::Int])?;
    let clients = server::bind(settings.clients).await?;
    let ready = server::bind(settings.ready).await?;
    let peers = UdpSocket::bind(settings.peers).await?;
    let core = Core::new(settings, store, dialect, executor, connector);
    log::started(&core.settings.name);
    let open = Open::default();
    core.spawn(server::listen(core.clone(), clients, Arc::clone(&open)))
        .detach();
    core.spawn(server::listen(core.clone(), ready, Open::default()))
        .detach();
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
    told_to_stop(signals).await;
    stop(&core, &open).await;
    Ok(())
}

/// Announces this daemon, so that others find it.
async fn join<S: Store, D: Dialect>(core: Core<S, D>) {
    let shard = &core.shards[0];
    while shard
        .order(Op::Join(core.me()), clock::now() + JOIN)
        .await
        .is_err()
    {}
}

async fn told_to_stop(mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        if matches!(signal, Ok(Signal::Term | Signal::Int)) {
            return;
        }
    }
}

async fn stop<S: Store, D: Dialect>(core: &Core<S, D>, open: &Open) {
    log::stopping(&core.settings.name);
    let begun = clock::now();
    core.leave();
    smol::Timer::after(STILL_CHOSEN).await;
    core.closing.notify(usize::MAX);
    let end = begun + core.settings.stop().saturating_sub(MARGIN);
    while open.load(Ordering::Relaxed) > 0 && clock::now() < end {
        smol::Timer::after(LOOK).await;
    }
    log::stopped(&core.settings.name, open.load(Ordering::Relaxed));
}
