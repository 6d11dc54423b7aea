//! Work: which daemon runs a batch item, and in which order.
//!
//! The daemon that accepted a job runs its items while it lives; otherwise
//! the live peer with the highest rendezvous score does, once it has listened
//! long enough to know who is silent. An item that a live
//! peer reports as running is left to it, so that a change of owner does not
//! run items twice.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;

use super::peers::Peers;

/// Unlisted item of an open job.
#[derive(Clone, Copy, Debug)]
pub struct Item<'a> {
    /// Job id.
    pub job: &'a str,
    /// Daemon that accepted the job.
    pub owner: SocketAddr,
    /// Short name of the item.
    pub short: u32,
}

/// View for deciding on items.
#[derive(Debug)]
pub struct Work<'a> {
    me: SocketAddr,
    now: Duration,
    peers: &'a Peers,
    members: Vec<SocketAddr>,
}

impl<'a> Work<'a> {
    /// View of a daemon that knows its peers.
    #[must_use]
    pub fn new(me: SocketAddr, now: Duration, peers: &'a Peers) -> Self {
        let mut members: Vec<SocketAddr> = peers
            .live(now)
            .filter(|p| !p.leaving && p.writes)
            .map(|p| p.from)
            .collect();
        members.push(me);
        Self {
            me,
            now,
            peers,
            members,
        }
    }

    /// Whether this daemon starts an item now.
    #[must_use]
    pub fn is_mine(&self, item: &Item<'_>) -> bool {
        self.is_responsible(item.job, item.owner) && !self.peers.runs(self.now, item.short)
    }

    /// Whether this daemon looks after a job.
    #[must_use]
    pub fn is_responsible(&self, job: &str, owner: SocketAddr) -> bool {
        match owner {
            owner if owner == self.me => true,
            owner if self.members.contains(&owner) => false,
            _ => self.peers.is_settled(self.now) && self.heir(job) == self.me,
        }
    }

    fn heir(&self, job: &str) -> SocketAddr {
        let key = job.as_bytes();
        self.members
            .iter()
            .copied()
            .max_by_key(|member| hash::score(key, member.to_string().as_bytes()))
            .unwrap_or(self.me)
    }
}

/// Part of `amount` that falls to one who holds `mine` of `all`, rounded at
/// random, so that many daemons which act on the same view together do about
/// as much as there is to do.
#[must_use]
pub fn share(amount: u32, mine: u32, all: u32, random: f64) -> u32 {
    match f64::from(mine) / f64::from(all.max(1)) {
        part if part >= 1.0 => amount,
        part => (f64::from(amount) * part + random).floor() as u32,
    }
}
