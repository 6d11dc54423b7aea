//! Discovery of replicas and daemons: instance list, membership gossip, load probes.
//!
//! The platform's instance list fills the routing table and names addresses of other
//! daemons. The membership protocol determines which daemons are alive; each change
//! of the live set is applied to the components that depend on it. Load probes
//! report the load of the replicas that this daemon owns, and check the replicas that
//! are out of rotation, so that they can return.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::{membership, routing};
use bitterncart_protocol::engine::Load;
use bitterncart_protocol::instance::Kind;
use bitterncart_transport::instances;
use spdlog::warn;

use crate::core::Core;

/// Minimum interval between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum average rate at which the instance list is read, in bytes per second; a
/// longer list is read less often.
const LIST_BYTES_PER_S: f64 = 1000.0;

/// Interval between two ticks of the membership protocol.
const MEMBERSHIP_TICK: Duration = Duration::from_millis(50);

/// Interval between two rounds of load probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of rounds between two probes of a replica that is up.
const ROUNDS_PER_UP_PROBE: u32 = 4;

/// Timeout of a load probe, after which the probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads the instance list periodically until the runtime stops.
pub async fn follow_instance_list(core: Arc<Core>) {
    let mut interval = LIST_INTERVAL;
    loop {
        match instances::read(&core.http, core.settings.instances).await {
            Ok((list, bytes)) => {
                interval =
                    LIST_INTERVAL.max(Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S));
                core.routing().update_instances(core.now(), &list);
                let entries = list.iter().filter(|instance| instance.kind == Kind::Entry);
                core.membership()
                    .set_seeds(entries.map(|instance| instance.address));
            }
            Err(e) => warn!("failed to read the instance list", kv: { why: = e }),
        }
        smol::Timer::after(interval).await;
    }
}

/// Drives the timers of the membership protocol until the runtime stops.
pub async fn run_membership(core: Arc<Core>) {
    loop {
        let now = core.now();
        let lost = core.log_health().is_lost(now);
        let actions = {
            let mut membership = core.membership();
            let mut actions = membership.report_log(lost);
            actions.extend(membership.tick(now));
            actions
        };
        perform(&core, actions).await;
        smol::Timer::after(MEMBERSHIP_TICK).await;
    }
}

/// Receives packets of the membership protocol until the runtime stops.
pub async fn receive_packets(core: Arc<Core>) {
    loop {
        let packet = core.heartbeat.receive().await;
        let actions = core.membership().receive(core.now(), &packet);
        perform(&core, actions).await;
    }
}

async fn perform(core: &Core, actions: Vec<membership::Action>) {
    for action in actions {
        match action {
            membership::Action::Send(to, packet) => core.heartbeat.send(to, &packet).await,
            membership::Action::Changed => core.reconfigure(),
        }
    }
}

/// Announces to the other daemons that this daemon leaves.
pub async fn announce_leave(core: &Core) {
    let actions = core.membership().leave();
    core.reconfigure();
    perform(core, actions).await;
}

/// Probes the load of the replicas that this daemon owns and of those that are not
/// up, so that the latter can return to rotation, until the runtime stops.
pub async fn probe_replicas(core: Arc<Core>) {
    let mut round = 0;
    loop {
        round += 1;
        let due: Vec<routing::Key> = {
            let now = core.now();
            let routing = core.routing();
            let due = routing
                .replicas()
                .filter(|(_, replica)| match replica.state {
                    routing::State::Up => round % ROUNDS_PER_UP_PROBE == 0,
                    routing::State::Ejected(until) => now >= until,
                    routing::State::Leaving(_) => true,
                });
            due.map(|(key, _)| key).collect()
        };
        for key in due {
            let is_probed = is_mine_or_not_up(&core, key);
            if is_probed {
                core.runtime.spawn(probe(Arc::clone(&core), key)).detach();
            }
        }
        smol::Timer::after(PROBE_INTERVAL).await;
    }
}

fn is_mine_or_not_up(core: &Core, key: routing::Key) -> bool {
    let replica = core.routing().replica(key).cloned();
    let Some(replica) = replica else { return false };
    let owner = core.replica_owner(&replica.name, &replica.data_centre);
    replica.state != routing::State::Up || owner.is_some_and(|owner| owner.daemon == core.daemon_id)
}

async fn probe(core: Arc<Core>, key: routing::Key) {
    let Some(address) = core.routing().replica(key).map(|replica| replica.address) else {
        return;
    };
    let client = core
        .http
        .clone()
        .connect_timeout(PROBE_TIMEOUT)
        .head_timeout(PROBE_TIMEOUT);
    let load = client.get::<Load>(address, "/load").await;
    let now = core.now();
    let mut routing = core.routing();
    match load {
        Ok(load) => {
            routing.record_success(key);
            routing.record_load(now, key, load);
        }
        Err(_) => routing.record_attempt_failure(now, key),
    }
}
