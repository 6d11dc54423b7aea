//! Selects the preferred owners of shards, orders and replicas.
//!
//! Owners are chosen by rendezvous hashing over the live daemons. Scores are
//! computed once and cached until the set of live daemons changes: a daemon asks
//! for the owners of its shards and replicas many times a second, while a fleet
//! changes a few hundred times a day.

use std::collections::HashMap;

use bitterncart_protocol::peer::Member;
use bitterncart_protocol::{Name, hash, id};

use crate::membership::Membership;

/// Cached owners for one generation of the membership.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    generation: u64,
    shards: HashMap<id::Shard, Option<id::Daemon>>,
    replicas: HashMap<Name, Option<id::Daemon>>,
}

impl Placement {
    /// Clears the cache if the membership has changed.
    fn clear_outdated(&mut self, members: &Membership) {
        if self.generation != members.generation() {
            self.generation = members.generation();
            self.shards.clear();
            self.replicas.clear();
        }
    }

    /// Preferred owner of a shard: a daemon that reaches the log, or any live one if none does.
    pub fn shard(&mut self, members: &Membership, shard: id::Shard) -> Option<id::Daemon> {
        self.clear_outdated(members);
        let stream = shard.record_stream();
        let key = stream.as_bytes();
        let find = || {
            highest_score(members.reaching_log(), key)
                .or_else(|| highest_score(members.live(), key))
        };
        self.shards.entry(shard).or_insert_with(find).clone()
    }

    /// Preferred issuer of orders to the engines of a data centre: a daemon there that
    /// reaches the log.
    pub fn order_issuer(
        &mut self,
        members: &Membership,
        shard: id::Shard,
        data_centre: &Name,
    ) -> Option<id::Daemon> {
        self.clear_outdated(members);
        let stream = shard.record_stream();
        let local = members
            .reaching_log()
            .filter(|member| member.data_centre == *data_centre);
        let find = || highest_score(local, stream.as_bytes());
        self.shards.entry(shard).or_insert_with(find).clone()
    }

    /// Owner of a replica: a live daemon in its data centre.
    pub fn replica(
        &mut self,
        members: &Membership,
        name: &Name,
        data_centre: &Name,
    ) -> Option<id::Daemon> {
        self.clear_outdated(members);
        if let Some(cached) = self.replicas.get(name) {
            return cached.clone();
        }
        let local = members
            .live()
            .filter(|member| member.data_centre == *data_centre);
        let owner = highest_score(local, name.as_str().as_bytes());
        self.replicas.insert(name.clone(), owner.clone());
        owner
    }
}

fn highest_score<'a>(members: impl Iterator<Item = &'a Member>, key: &[u8]) -> Option<id::Daemon> {
    members
        .max_by_key(|member| hash::rendezvous_score(key, member.daemon.as_bytes()))
        .map(|member| member.daemon.clone())
}
