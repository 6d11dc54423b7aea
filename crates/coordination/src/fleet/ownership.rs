//! Assignment of ledger shards to daemons.
//!
//! Every daemon computes the same ownership table from the peers it hears, by
//! weighted rendezvous hashing, so the table needs no messages of its own. Only
//! the strongest daemons, which together have half of the fleet's capacity, may
//! own shards, so that weaker ones spend no capacity on them. If a daemon acts
//! on an outdated view, a shard is loaded needlessly and appends fail because
//! another daemon appended first. Correctness does not depend on the table, as
//! every append is conditional on the position of the log's end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;

use super::peers::{Heartbeat, Peers};

/// Uptime from which a daemon takes over shards that another daemon serves, so
/// that a rolling restart does not move each shard twice.
pub const TAKEOVER_MIN_UPTIME: Duration = Duration::from_secs(15);

/// Time for which a daemon that alone cannot append to the store keeps its
/// shards. Daemons notice the beginning and the end of an outage of the store at
/// different times, up to a call's timeout apart.
pub const STORE_LOSS_GRACE: Duration = Duration::from_millis(1500);

/// Minimum share of the fleet's capacity that the eligible owners have together.
const OWNER_CAPACITY_SHARE: f64 = 0.5;

/// Candidate for the ownership of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Candidate {
    /// Address for heartbeats, which identifies the daemon.
    pub address: SocketAddr,
    /// CPU capacity, in thousandths of a core.
    pub capacity: u32,
}

/// Candidate, and whether it can append to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Daemon that is not shutting down.
    pub candidate: Candidate,
    /// Whether it can append to the store.
    pub writes: bool,
}

impl Member {
    /// Live peers that are not shutting down.
    #[must_use]
    pub fn from_peers(peers: &Peers, now: Duration) -> Vec<Self> {
        peers
            .live(now)
            .filter(|heartbeat| !heartbeat.leaving)
            .map(|heartbeat| Self {
                candidate: Candidate {
                    address: heartbeat.from,
                    capacity: heartbeat.capacity,
                },
                writes: heartbeat.writes,
            })
            .collect()
    }
}

/// Daemons that cannot append to the store while most others can.
///
/// In an outage of the store itself no daemon is better placed than another, and
/// moving shards would only cost loads and interrupted items when it ends.
#[derive(Debug, Default)]
pub struct CutOff {
    since: HashMap<SocketAddr, Duration>,
}

impl CutOff {
    /// Candidates among the members: all but those that have been cut off from the
    /// store for [`STORE_LOSS_GRACE`]; none if no member can append, as in a data
    /// centre that is cut off from the store and from all others.
    pub fn candidates(&mut self, now: Duration, members: &[Member]) -> Vec<Candidate> {
        let writers = members.iter().filter(|member| member.writes).count();
        if writers == 0 {
            self.since.clear();
            return Vec::new();
        }
        let is_outage = writers * 2 < members.len();
        let mut since = HashMap::new();
        for member in members.iter().filter(|member| !member.writes && !is_outage) {
            let address = member.candidate.address;
            since.insert(address, self.since.get(&address).copied().unwrap_or(now));
        }
        self.since = since;
        let is_cut_off = |candidate: &Candidate| {
            self.since
                .get(&candidate.address)
                .is_some_and(|since| now.saturating_sub(*since) >= STORE_LOSS_GRACE)
        };
        let candidates = members.iter().map(|member| member.candidate);
        candidates
            .filter(|candidate| !is_cut_off(candidate))
            .collect()
    }
}

/// Ownership table: the preferred owner of each shard.
#[derive(Debug, Default)]
pub struct Table {
    candidates: Vec<Candidate>,
    owners: Vec<SocketAddr>,
}

impl Table {
    /// Recomputes the table for `shards` shards if the candidates changed. With
    /// no candidate the table is kept, as no daemon could take over a shard.
    pub fn update(&mut self, shards: usize, mut candidates: Vec<Candidate>) {
        candidates.sort_unstable();
        if candidates.is_empty() || (candidates == self.candidates && self.owners.len() == shards) {
            return;
        }
        let eligible = eligible(&candidates);
        let preferred = |shard: usize| {
            let score =
                |candidate: &Candidate| (rendezvous_score(shard, candidate), candidate.address);
            eligible
                .iter()
                .map(score)
                .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
                .map(|(_, address)| address)
        };
        self.owners = (0..shards).filter_map(preferred).collect();
        self.candidates = candidates;
    }

    /// Preferred owner of a shard; `None` if the table has no entry for it.
    #[must_use]
    pub fn preferred(&self, shard: u16) -> Option<SocketAddr> {
        self.owners.get(usize::from(shard)).copied()
    }
}

/// Strongest candidates that together reach [`OWNER_CAPACITY_SHARE`] of the
/// capacity, with all that are as strong as the weakest of them.
fn eligible(candidates: &[Candidate]) -> Vec<Candidate> {
    let mut strongest: Vec<Candidate> = candidates.to_vec();
    strongest.sort_unstable_by_key(|c| std::cmp::Reverse(c.capacity));
    let total: f64 = candidates.iter().map(|c| f64::from(c.capacity)).sum();
    let mut sum = 0.0;
    let weakest = strongest
        .iter()
        .find(|c| {
            sum += f64::from(c.capacity);
            sum >= total * OWNER_CAPACITY_SHARE
        })
        .map_or(0, |c| c.capacity);
    strongest.retain(|c| c.capacity >= weakest);
    strongest
}

/// Rendezvous hashing score of a candidate for a shard, weighted by its capacity.
fn rendezvous_score(shard: usize, candidate: &Candidate) -> f64 {
    let key = (shard as u64).to_le_bytes();
    let hash = hash::rendezvous_score(&key, candidate.address.to_string().as_bytes());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.capacity.max(1)) / -uniform.ln()
}

/// View of one daemon on the ownership of shards.
#[derive(Debug)]
pub struct View<'a> {
    me: SocketAddr,
    now: Duration,
    peers: &'a Peers,
    table: &'a Table,
}

impl<'a> View<'a> {
    /// View of the daemon with the address `me` at the time `now`.
    #[must_use]
    pub fn new(me: SocketAddr, now: Duration, peers: &'a Peers, table: &'a Table) -> Self {
        Self {
            me,
            now,
            peers,
            table,
        }
    }

    /// Whether this daemon should own a shard; `owned` tells whether it owns
    /// the shard now. An owner keeps a shard until the preferred owner has
    /// loaded it. A daemon acquires no shard before its view of the peers is
    /// stable, and none that another daemon will keep serving before its uptime
    /// reaches [`TAKEOVER_MIN_UPTIME`].
    #[must_use]
    pub fn should_own(&self, shard: u16, owned: bool) -> bool {
        match self.table.preferred(shard) {
            Some(preferred) if preferred == self.me => {
                let may_take_over = || self.peers.uptime(self.now) >= TAKEOVER_MIN_UPTIME;
                let is_unserved = || !self.serving(shard).any(|n| n.writes && !n.leaving);
                owned || (self.peers.is_stable(self.now) && (may_take_over() || is_unserved()))
            }
            Some(preferred) => {
                owned
                    && !self
                        .serving(shard)
                        .any(|heartbeat| heartbeat.from == preferred)
            }
            None => owned,
        }
    }

    /// Peer to which calls about a shard are sent: the preferred owner if it
    /// serves the shard, else a peer that does, else the preferred owner. `None`
    /// if this daemon answers them.
    #[must_use]
    pub fn target(&self, shard: u16, owned: bool) -> Option<SocketAddr> {
        let preferred = self.table.preferred(shard);
        let serving = || self.serving(shard).map(|heartbeat| heartbeat.from);
        match preferred {
            _ if owned => None,
            Some(preferred) if serving().any(|peer| peer == preferred) => Some(preferred),
            _ => serving()
                .min()
                .or(preferred)
                .filter(|peer| *peer != self.me),
        }
    }

    /// Heartbeats of the live peers that serve a shard.
    fn serving(&self, shard: u16) -> impl Iterator<Item = &'a Heartbeat> {
        self.peers
            .live(self.now)
            .filter(move |heartbeat| heartbeat.shards.iter().any(|o| o.shard == shard))
    }
}
