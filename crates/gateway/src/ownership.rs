//! Updates which shards this daemon owns.
//!
//! Every daemon derives the preferred owner of each shard from the peers that are
//! alive and from its own capacity, without messages about ownership. A daemon
//! that is draining, or that alone cannot reach the store, is not a candidate.
//! Changes are applied to the shards, which then load or unload their state.

use std::time::Duration;

use bitterncart_coordination::fleet::peers::short_hash;
use bitterncart_coordination::fleet::{Candidate, Member, Route, View};

use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::shard::Shard;
use crate::store::Store;

/// Takes over or hands over shards according to the live peers.
pub(crate) fn update<S: Store, D: Dialect>(core: &Core<S, D>, now: Duration) {
    if !core.knows_members() {
        return;
    }
    let peers = core.peers();
    let mut members = Member::from_peers(&peers, now);
    if !core.shutdown.has_begun() {
        members.push(Member {
            candidate: Candidate {
                address: core.peer_address(),
                capacity: core.current_settings().capacity_millicores(),
            },
            writes: !core.is_store_unavailable(now),
        });
    }
    let candidates = core.cut_off().candidates(now, &members);
    let count = candidates.len();
    let mut table = core.ownership_table();
    table.update(core.shards.len(), candidates);
    let view = View::new(core.peer_address(), now, &peers, &table);
    for shard in &core.shards {
        let owned = shard.is_owned();
        let should_own = view.should_own(shard.number(), owned);
        if should_own != owned {
            shard.set_owned(should_own);
            log::shard_owner_changed(
                shard.number(),
                should_own,
                table.preferred(shard.number()),
                count,
            );
        }
    }
}

/// Peer to which calls about a shard are forwarded; `None` if this daemon handles
/// them.
pub(crate) fn forward_target<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    now: Duration,
) -> Option<std::net::SocketAddr> {
    let peers = core.peers();
    let table = core.ownership_table();
    View::new(core.peer_address(), now, &peers, &table).target(shard.number(), shard.is_owned())
}

/// Hash that identifies a route, or a customer on it, in gossip datagrams.
pub(crate) fn route_hash(route: &Route, customer: Option<&str>) -> u32 {
    let (host, prefix) = (route.host.as_bytes(), route.prefix.as_bytes());
    match customer {
        Some(customer) => short_hash(&[host, prefix, customer.as_bytes()]),
        None => short_hash(&[host, prefix]),
    }
}
