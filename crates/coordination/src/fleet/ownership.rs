//! Assignment of ledger shards to daemons.
//!
//! Every daemon computes the same ownership table from the peers it hears, by
//! weighted rendezvous hashing, so the table needs no messages of its own. Only
//! the strongest daemons, which together have half of the fleet's capacity, may
//! own shards, so that weaker ones spend no capacity on them. If a daemon acts
//! on an outdated view, a shard is loaded needlessly and appends fail because
//! another daemon appended first. Correctness does not depend on the table, as
//! every append is conditional on the position of the log's end.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;

use super::peers::{Heartbeat, Peers};

/// Uptime from which a daemon takes over shards that another daemon serves, so
/// that a rolling restart does not move each shard twice.
pub const TAKEOVER_MIN_UPTIME: Duration = Duration::from_secs(15);

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

impl Candidate {
    /// Candidates among the live peers: those that are not shutting down and can
    /// append to the store.
    #[must_use]
    pub fn from_peers(peers: &Peers, now: Duration) -> Vec<Self> {
        peers
            .live(now)
            .filter(|heartbeat| heartbeat.writes && !heartbeat.leaving)
            .map(|heartbeat| Self {
                address: heartbeat.from,
                capacity: heartbeat.capacity,
            })
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
