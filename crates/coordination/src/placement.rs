//! Who should own what, by rendezvous over the live daemons.
//!
//! Scores are computed once and kept until the set of live daemons changes: a
//! daemon looks at its shards and replicas many times a second, and a fleet
//! changes a few hundred times a day.

use std::collections::HashMap;

use bitterncart_protocol::peer::Member;
use bitterncart_protocol::{Name, hash, id};

use crate::membership::Membership;

/// Owners by rendezvous, of one generation of the membership.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    generation: u64,
    shards: HashMap<id::Shard, Option<id::Daemon>>,
    replicas: HashMap<Name, Option<id::Daemon>>,
}

impl Placement {
    fn follow(&mut self, members: &Membership) {
        if self.generation != members.generation() {
            self.generation = members.generation();
            self.shards.clear();
            self.replicas.clear();
        }
    }

    /// Live daemon that should own a shard: one that reaches the log, if any does.
    pub fn shard(&mut self, members: &Membership, shard: id::Shard) -> Option<id::Daemon> {
        self.follow(members);
        let stream = shard.stream();
        let key = stream.as_bytes();
        let find = || best(members.reaching_log(), key).or_else(|| best(members.live(), key));
        self.shards.entry(shard).or_insert_with(find).clone()
    }

    /// Live daemon of a data centre that should order its engines: one that
    /// reaches the log.
    pub fn orders(
        &mut self,
        members: &Membership,
        shard: id::Shard,
        data_centre: &Name,
    ) -> Option<id::Daemon> {
        self.follow(members);
        let stream = shard.stream();
        let local = members
            .reaching_log()
            .filter(|member| member.data_centre == *data_centre);
        let find = || best(local, stream.as_bytes());
        self.shards.entry(shard).or_insert_with(find).clone()
    }

    /// Live daemon of a data centre that owns a replica there.
    pub fn replica(
        &mut self,
        members: &Membership,
        name: &Name,
        data_centre: &Name,
    ) -> Option<id::Daemon> {
        self.follow(members);
        if let Some(known) = self.replicas.get(name) {
            return known.clone();
        }
        let local = members
            .live()
            .filter(|member| member.data_centre == *data_centre);
        let owner = best(local, name.as_str().as_bytes());
        self.replicas.insert(name.clone(), owner.clone());
        owner
    }
}

fn best<'a>(members: impl Iterator<Item = &'a Member>, key: &[u8]) -> Option<id::Daemon> {
    members
        .max_by_key(|member| hash::score(key, member.daemon.as_bytes()))
        .map(|member| member.daemon.clone())
}
