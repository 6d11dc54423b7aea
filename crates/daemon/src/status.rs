//! Status of a daemon, for operators and other daemons.

use bitterncart_protocol::admin::Status;
use bitterncart_protocol::peer::Member;
use bitterncart_state::invariant;
use compact_str::CompactString;

use crate::core::Core;

/// Current status of a daemon.
#[must_use]
pub fn status(core: &Core) -> Status {
    let now = core.now();
    let version = core.config_version();
    let mut replicas = core.routing().admin_rows();
    for row in &mut replicas {
        row.slots = core
            .batch_limiters()
            .get_mut(&row.name)
            .map(|limiter| limiter.batch_limit(now));
    }
    let members: Vec<Member> = {
        let membership = core.membership();
        std::iter::once(membership.me().clone())
            .chain(membership.known().cloned())
            .collect()
    };
    let handles: Vec<_> = core.shards().values().cloned().collect();
    Status {
        daemon: core.daemon_id.0.clone(),
        data_centre: core.settings.data_centre.clone(),
        version: version.as_ref().map_or(0, |version| version.number),
        digest: version.map(|version| version.digest).unwrap_or_default(),
        draining: core.is_draining(),
        waiting_for: waiting_for(core),
        members,
        shards: handles.iter().map(|handle| handle.status()).collect(),
        replicas,
        customers: core.admission().admin_rows(),
        counters: core.counters.snapshot(),
        invariant_checks: invariant::checks(),
    }
}

/// Conditions that the daemon waits for, in words.
fn waiting_for(core: &Core) -> Vec<CompactString> {
    let mut waits = Vec::new();
    if core.document().is_err() {
        waits.push("a first configuration".into());
    }
    if core.is_log_failing() {
        waits.push("the log".into());
    }
    if core.is_draining() {
        waits.push("requests under way to finish".into());
    }
    waits
}
