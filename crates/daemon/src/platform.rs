//! What the daemon keeps reading: instance list, members, load.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::{membership, routing};
use bitterncart_protocol::engine::Load;
use bitterncart_protocol::instance::Kind;
use bitterncart_transport::instances;
use spdlog::warn;

use crate::core::Core;

/// Time between two reads of the instance list at least.
const LIST: Duration = Duration::from_secs(1);

/// Bytes of the instance list that a daemon reads a second; a longer list is
/// read less often.
const LIST_BYTES_PER_S: f64 = 1000.0;

/// Time between two steps of the membership protocol.
const MEMBERSHIP_STEP: Duration = Duration::from_millis(50);

/// Time between two rounds of load reports.
const LOAD: Duration = Duration::from_millis(500);

/// Rounds between two reports of a replica that is up.
const UP_ROUNDS: u32 = 4;

/// Time for one load report; a replica that takes longer is silent.
const LOAD_ANSWER: Duration = Duration::from_secs(1);

/// Follows the instance list.
pub async fn follow_list(core: Arc<Core>) {
    let mut pause = LIST;
    loop {
        match instances::read(&core.http, core.settings.instances).await {
            Ok((list, bytes)) => {
                pause = LIST.max(Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S));
                core.routing().list(core.now(), &list);
                let entries = list.iter().filter(|instance| instance.kind == Kind::Entry);
                core.members()
                    .list(entries.map(|instance| instance.address));
            }
            Err(e) => warn!("instance list cannot be read", kv: { why: = e }),
        }
        smol::Timer::after(pause).await;
    }
}

/// Runs the membership protocol's clock.
pub async fn keep_membership(core: Arc<Core>) {
    loop {
        let now = core.now();
        let lost = core.reach().is_lost(now);
        let actions = {
            let mut members = core.members();
            let mut actions = members.report_log(lost);
            actions.extend(members.tick(now));
            actions
        };
        act(&core, actions).await;
        smol::Timer::after(MEMBERSHIP_STEP).await;
    }
}

/// Takes the packets of the membership protocol.
pub async fn receive_membership(core: Arc<Core>) {
    loop {
        let packet = core.heartbeat.receive().await;
        let actions = core.members().receive(core.now(), &packet);
        act(&core, actions).await;
    }
}

async fn act(core: &Core, actions: Vec<membership::Action>) {
    for action in actions {
        match action {
            membership::Action::Send(to, packet) => core.heartbeat.send(to, &packet).await,
            membership::Action::Changed => core.reconfigure(),
        }
    }
}

/// Tells the others that this daemon leaves.
pub async fn leave(core: &Core) {
    let actions = core.members().leave();
    core.reconfigure();
    act(core, actions).await;
}

/// Asks replicas for their load: those that this daemon owns, and those that
/// are out, so that they come back.
pub async fn watch_load(core: Arc<Core>) {
    let mut round = 0;
    loop {
        round += 1;
        let due: Vec<routing::Key> = {
            let now = core.now();
            let routing = core.routing();
            let asked = routing
                .replicas()
                .filter(|(_, replica)| match replica.state {
                    routing::State::Up => round % UP_ROUNDS == 0,
                    routing::State::Out(until) => now >= until,
                    routing::State::Leaving(_) => true,
                });
            asked.map(|(key, _)| key).collect()
        };
        for key in due {
            let is_due = is_mine_or_out(&core, key);
            if is_due {
                core.runtime.spawn(probe(Arc::clone(&core), key)).detach();
            }
        }
        smol::Timer::after(LOAD).await;
    }
}

fn is_mine_or_out(core: &Core, key: routing::Key) -> bool {
    let replica = core.routing().replica(key).cloned();
    let Some(replica) = replica else { return false };
    let owner = core.replica_owner(&replica.name, &replica.data_centre);
    replica.state != routing::State::Up || owner.is_some_and(|owner| owner.daemon == core.me)
}

async fn probe(core: Arc<Core>, key: routing::Key) {
    let Some(address) = core.routing().replica(key).map(|replica| replica.address) else {
        return;
    };
    let client = core.http.clone().connect(LOAD_ANSWER).head(LOAD_ANSWER);
    let load = client.get::<Load>(address, "/load").await;
    let now = core.now();
    let mut routing = core.routing();
    match load {
        Ok(load) => {
            routing.alive(key);
            routing.report(now, key, load);
        }
        Err(_) => routing.failed(now, key),
    }
}
