//! Failure detection and load exchange between daemons.
//!
//! Every daemon sends heartbeats to the others in small datagrams: its requests
//! in flight at each replica, its shards, and the batch items that it runs.
//! From them this module derives which peers are alive, the load of each
//! replica, and which batch items already run elsewhere. A peer without a
//! heartbeat for [`FAILURE_TIMEOUT`] counts as dead, and its items no longer
//! count as running; its load expires after a number of heartbeat periods. A
//! daemon that has just started or was suspended has missed heartbeats, so its
//! view is stable only after it has listened for [`FAILURE_TIMEOUT`].

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::backlog::Queued;
use super::pool::Load;
use super::token_quota::{Jobs, Known};
use super::{capacity, links, quarantine, rate_limit};

/// Time without a heartbeat after which a peer counts as dead.
pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Gap between two calls of [`Peers::tick`] above which the daemon counts as
/// suspended in between.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(600);

/// Time for which an item is kept in [`Peers::recently_stopped`]; the ledger is
/// read several times within it.
const STOPPED_RETENTION: Duration = Duration::from_secs(10);

/// Time after its last heartbeat for which a peer counts as part of the fleet.
const FLEET_MEMORY: Duration = Duration::from_secs(60);

/// Heartbeat periods after which a peer's load no longer counts.
const STALE_PERIODS: u32 = 4;

/// Lower bound of the time between two heartbeats to a peer.
const MIN_PERIOD: Duration = Duration::from_millis(50);

/// Upper bound of the time between two heartbeats to a peer; several fit into
/// [`FAILURE_TIMEOUT`].
const MAX_PERIOD: Duration = Duration::from_millis(350);

/// Target rate of heartbeats to all peers of the same data centre together.
const LOCAL_HEARTBEATS_PER_S: u32 = 240;

/// Target rate of heartbeats to all peers of other data centres together.
const REMOTE_HEARTBEATS_PER_S: u32 = 160;

/// Maximum capacity in a heartbeat, in thousandths of a core; that of the settings.
const MAX_CAPACITY: u32 = 1_000_000;

/// Maximum period in a heartbeat, in milliseconds.
const MAX_PERIOD_MS: u32 = 60_000;

/// Maximum number of waiting items in a heartbeat.
const MAX_WAITING: u32 = 1 << 20;

/// Maximum number of recent jobs in a heartbeat, which has to fit in a datagram.
pub const MAX_RECENT_JOBS: usize = 256;

/// Maximum number of shards of a fleet; that of the settings.
const MAX_SHARDS: u16 = 1024;

/// Maximum number of tokens of a route in a shard. Sums over all shards do not overflow.
const MAX_TOKENS: u64 = 1 << 48;

/// Time between two heartbeats to each of `count` peers; `near` if they are in
/// the same data centre. Grows with `count`, within 50 to 350 ms, to limit the
/// send rate.
#[must_use]
pub fn heartbeat_period(count: usize, near: bool) -> Duration {
    let rate = if near {
        LOCAL_HEARTBEATS_PER_S
    } else {
        REMOTE_HEARTBEATS_PER_S
    };
    (Duration::from_secs(count as u64) / rate).clamp(MIN_PERIOD, MAX_PERIOD)
}

/// Short id of a replica, route or item in heartbeats: a 32-bit hash of its
/// parts.
#[must_use]
pub fn short_hash(parts: &[&[u8]]) -> u32 {
    hash::hash_parts(parts) as u32
}

/// Shard that a daemon owns and has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// Number of the shard.
    pub shard: u16,
    /// Tokens of its unfinished items by short id of their route.
    pub tokens: Vec<(u32, u64)>,
}

/// Jobs that were submitted lately to a shard, and that the tokens of its [`Ownership`]
/// include.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentJobs {
    /// Number of the shard.
    pub shard: u16,
    /// Short ids of the jobs.
    pub jobs: Vec<u32>,
}

/// Requests that a daemon has in flight at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Short id of the replica.
    pub replica: u32,
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
}

/// Heartbeat of a daemon to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address for heartbeats; identifies the daemon.
    pub from: SocketAddr,
    /// Start of the process, in microseconds since 1970.
    pub born_us: u64,
    /// Sequence number since the start of the process.
    pub seq: u64,
    /// Data centre.
    pub data_centre: CompactString,
    /// Time until the next heartbeat to the same peer, in milliseconds.
    pub period_ms: u32,
    /// Whether it is shutting down and starts no more work.
    pub leaving: bool,
    /// Whether it can append to the store.
    pub writes: bool,
    /// CPU capacity, in thousandths of a core.
    pub capacity: u32,
    /// Shards that it owns and has loaded.
    pub shards: Vec<Ownership>,
    /// Batch items that it would start if slots were free.
    pub waiting: u32,
    /// Requests in flight, by replica.
    pub load: Vec<Usage>,
    /// Short ids of the batch items that it runs.
    pub running: Vec<u32>,
    /// Online requests in its admission queue. Follows the other fields in a
    /// datagram, where daemons of earlier versions do not expect it.
    #[serde(skip)]
    pub queued: Vec<Queued>,
    /// Rate limits that replicas have named. Follow the queue in a datagram.
    #[serde(skip)]
    pub limits: Vec<rate_limit::Report>,
    /// What it knows about requests that may crash replicas. Follows the limits in a
    /// datagram.
    #[serde(skip)]
    pub quarantine: quarantine::Digest,
    /// State of its links to the replicas; `None` if it is of a version that relays no
    /// connections. Follows the quarantine in a datagram.
    #[serde(skip)]
    pub links: Option<links::Report>,
    /// Replicas whose speed differs from that of their service. Follow the links in a
    /// datagram.
    #[serde(skip)]
    pub speeds: Vec<capacity::Report>,
    /// Recent jobs of its shards, for the quotas of tokens; `None` if it is of a version that
    /// does not report them. Follow the speeds in a datagram.
    #[serde(skip)]
    pub recent_jobs: Option<Vec<RecentJobs>>,
}

/// Field between the queue and the limits of a datagram, with which earlier versions
/// reported ended processes and prompt parts. It is sent empty and not read.
type RetiredDigest = (
    Vec<(u32, u32)>,
    Vec<(u64, bool, Vec<(u32, u32)>, Option<u32>)>,
);

impl Heartbeat {
    /// Encodes the heartbeat as a datagram.
    ///
    /// # Errors
    ///
    /// If a field cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let datagram = postcard::to_extend(&self.queued, postcard::to_stdvec(self)?)?;
        let datagram = postcard::to_extend(&RetiredDigest::default(), datagram)?;
        let datagram = postcard::to_extend(&self.limits, datagram)?;
        let datagram = postcard::to_extend(&self.quarantine, datagram)?;
        let datagram = postcard::to_extend(&self.links, datagram)?;
        let datagram = postcard::to_extend(&self.speeds, datagram)?;
        match &self.recent_jobs {
            Some(recent_jobs) => postcard::to_extend(recent_jobs, datagram),
            None => Ok(datagram),
        }
    }

    /// Decodes a datagram. One of an earlier version ends before the queue or one of
    /// the fields that follow it. Numbers out of range are lowered to their bounds.
    ///
    /// # Errors
    ///
    /// If the datagram is not a heartbeat, or its sender has no address.
    pub fn decode(datagram: &[u8]) -> Result<Self, postcard::Error> {
        let heartbeat = Self::decode_fields(datagram)?;
        let ip = heartbeat.from.ip();
        if heartbeat.from.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(postcard::Error::SerdeDeCustom);
        }
        Ok(heartbeat.bounded())
    }

    fn bounded(mut self) -> Self {
        self.capacity = self.capacity.min(MAX_CAPACITY);
        self.period_ms = self.period_ms.min(MAX_PERIOD_MS);
        self.waiting = self.waiting.min(MAX_WAITING);
        self.speeds.truncate(capacity::MAX_REPORTS);
        self.shards.retain(|ownership| ownership.shard < MAX_SHARDS);
        let shards = self.shards.iter_mut();
        for (_, tokens) in shards.flat_map(|ownership| &mut ownership.tokens) {
            *tokens = (*tokens).min(MAX_TOKENS);
        }
        self
    }

    fn decode_fields(datagram: &[u8]) -> Result<Self, postcard::Error> {
        let (mut heartbeat, rest): (Self, &[u8]) = postcard::take_from_bytes(datagram)?;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (queued, rest) = postcard::take_from_bytes(rest)?;
        heartbeat.queued = queued;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (_, rest): (RetiredDigest, &[u8]) = postcard::take_from_bytes(rest)?;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (limits, rest) = postcard::take_from_bytes(rest)?;
        heartbeat.limits = limits;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (quarantine, rest) = postcard::take_from_bytes(rest)?;
        heartbeat.quarantine = quarantine;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (links, rest) = postcard::take_from_bytes(rest)?;
        heartbeat.links = links;
        if rest.is_empty() {
            return Ok(heartbeat);
        }
        let (speeds, rest) = postcard::take_from_bytes(rest)?;
        heartbeat.speeds = speeds;
        if !rest.is_empty() {
            heartbeat.recent_jobs = Some(postcard::from_bytes(rest)?);
        }
        Ok(heartbeat)
    }
}

#[derive(Debug)]
struct Peer {
    received_at: Duration,
    heartbeat: Heartbeat,
}

impl Peer {
    /// Time for which the load in the last heartbeat counts.
    fn load_ttl(&self) -> Duration {
        Duration::from_millis(u64::from(self.heartbeat.period_ms)) * STALE_PERIODS
    }
}

/// What the owner of a shard has reported of it.
#[derive(Debug)]
struct ShardReport {
    /// Tokens by short id of their route.
    tokens: Vec<(u32, u64)>,
    recent_jobs: Option<Vec<u32>>,
}

/// Peers with their latest heartbeats.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<SocketAddr, Peer>,
    /// Reports by shard, from the latest heartbeat of its owner; kept when the
    /// owner dies, as its jobs persist.
    reports: HashMap<u16, ShardReport>,
    /// See [`Self::recently_stopped`]; such items may have ended.
    recently_stopped: HashMap<u32, Duration>,
    /// Time of the first call of [`Self::tick`].
    started_at: Option<Duration>,
    /// Time of the latest call of [`Self::tick`].
    last_tick: Option<Duration>,
    /// Time from which a peer without heartbeats is known to be dead.
    stable_at: Duration,
    /// Time until which heartbeats may still be from before a suspension.
    outdated_until: Duration,
}

impl Peers {
    /// Stores a heartbeat unless it is older than the latest one from the same
    /// peer, or a duplicate of it. Another process than that of a dead peer is
    /// accepted whatever its start time: the wall clock of its instance may have
    /// been set back.
    pub fn receive(&mut self, now: Duration, heartbeat: Heartbeat) {
        let known = self.peers.get(&heartbeat.from).filter(|p| {
            let is_live = now.saturating_sub(p.received_at) < FAILURE_TIMEOUT;
            is_live || p.heartbeat.born_us == heartbeat.born_us
        });
        let known = known.map(|p| &p.heartbeat);
        match known {
            Some(old) if (old.born_us, old.seq) >= (heartbeat.born_us, heartbeat.seq) => {}
            _ => {
                let known = known.cloned();
                for ownership in &heartbeat.shards {
                    let recent_jobs = heartbeat.recent_jobs.as_ref().map(|recent| {
                        let of_shard = recent.iter().filter(|r| r.shard == ownership.shard);
                        of_shard.flat_map(|r| r.jobs.iter().copied()).collect()
                    });
                    let report = ShardReport {
                        tokens: ownership.tokens.clone(),
                        recent_jobs,
                    };
                    self.reports.insert(ownership.shard, report);
                }
                let running: HashSet<u32> = heartbeat.running.iter().copied().collect();
                let previous = known.iter().flat_map(|old| &old.running);
                let stopped = previous.filter(|item| !running.contains(item));
                self.recently_stopped
                    .extend(stopped.map(|item| (*item, now)));
                let peer = Peer {
                    received_at: now,
                    heartbeat,
                };
                self.peers.insert(peer.heartbeat.from, peer);
            }
        }
    }

    /// Delays stability by [`FAILURE_TIMEOUT`]. To be called when this daemon
    /// learns which others may exist, as it has not listened for them yet.
    pub fn delay_stability(&mut self, now: Duration) {
        self.stable_at = self.stable_at.max(now + FAILURE_TIMEOUT);
    }

    /// Records that this daemon is running. To be called periodically: after a
    /// start, or a gap between two calls that shows a suspension, heartbeats may
    /// have been missed, so stability is delayed by [`FAILURE_TIMEOUT`]. Returns
    /// whether that is so.
    pub fn tick(&mut self, now: Duration) -> bool {
        let was_suspended = self
            .last_tick
            .is_none_or(|last| now.saturating_sub(last) > SUSPENSION_THRESHOLD);
        if was_suspended {
            self.stable_at = now + FAILURE_TIMEOUT;
        }
        if was_suspended && self.last_tick.is_some() {
            self.outdated_until = now + FAILURE_TIMEOUT;
        }
        self.last_tick = Some(now);
        self.started_at.get_or_insert(now);
        self.recently_stopped
            .retain(|_, at| now.saturating_sub(*at) < STOPPED_RETENTION);
        was_suspended
    }

    /// Items that a peer ran until recently, with the time of its first
    /// heartbeat without them.
    #[must_use]
    pub fn recently_stopped(&self) -> &HashMap<u32, Duration> {
        &self.recently_stopped
    }

    /// Uptime of this daemon.
    #[must_use]
    pub fn uptime(&self, now: Duration) -> Duration {
        self.started_at
            .map_or(Duration::ZERO, |start| now.saturating_sub(start))
    }

    /// Whether this daemon has listened long enough, without a suspension, to
    /// tell dead peers from those not heard yet.
    #[must_use]
    pub fn is_stable(&self, now: Duration) -> bool {
        let is_ticking = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) <= SUSPENSION_THRESHOLD);
        is_ticking && now >= self.stable_at
    }

    /// Whether what the peers reported may be from before a suspension of this daemon.
    #[must_use]
    pub fn may_be_outdated(&self, now: Duration) -> bool {
        let is_ticking = self
            .last_tick
            .is_none_or(|last| now.saturating_sub(last) <= SUSPENSION_THRESHOLD);
        !is_ticking || now < self.outdated_until
    }

    /// Addresses of all peers that ever sent a heartbeat, dead ones included.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Tokens of a route's unfinished items in a shard, from the latest heartbeat
    /// of the shard's owner; `None` if no owner has reported the shard.
    #[must_use]
    pub fn unfinished_tokens(&self, shard: u16, route: u32) -> Option<u64> {
        let tokens_by_route = &self.reports.get(&shard)?.tokens;
        let of_route = tokens_by_route.iter().find(|(name, _)| *name == route);
        Some(of_route.map_or(0, |(_, tokens)| *tokens))
    }

    /// As [`Self::unfinished_tokens`], with the jobs that the tokens include.
    #[must_use]
    pub fn known_jobs(&self, shard: u16, route: u32) -> Option<Known> {
        let tokens = self.unfinished_tokens(shard, route)?;
        let recent_jobs = &self.reports.get(&shard)?.recent_jobs;
        let jobs = match recent_jobs {
            Some(jobs) => Jobs::Reported(jobs.clone()),
            None => Jobs::Unreported,
        };
        Some(Known { tokens, jobs })
    }

    /// Whether the store is down for the whole fleet: no live peer can append to
    /// it, and this daemon hears most of its peers, so it is not cut off with a
    /// few others.
    #[must_use]
    pub fn is_store_outage(&self, now: Duration) -> bool {
        let is_recent = |p: &&Peer| now.saturating_sub(p.received_at) < FLEET_MEMORY;
        let fleet = self.peers.values().filter(is_recent).count();
        let live = self.live(now).count();
        live * 2 >= fleet && !self.live(now).any(|heartbeat| heartbeat.writes)
    }

    /// Latest heartbeats of the live peers.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .values()
            .filter(move |p| now.saturating_sub(p.received_at) < FAILURE_TIMEOUT)
            .map(|p| &p.heartbeat)
    }

    /// Live peers that can relay connections to replicas. Weak instances relay none:
    /// those with less than half of the capacity of the strongest one, `own` included.
    #[must_use]
    pub fn relays(&self, now: Duration, own: u32) -> Vec<links::Relay> {
        let live = || {
            let peers = self.peers.values();
            peers.filter(move |peer| now.saturating_sub(peer.received_at) < FAILURE_TIMEOUT)
        };
        let capacities = live().map(|peer| peer.heartbeat.capacity);
        let strongest = capacities.fold(own, u32::max);
        let strong = live().filter(|peer| peer.heartbeat.capacity.saturating_mul(2) >= strongest);
        let relay = |peer: &Peer| {
            let heartbeat = &peer.heartbeat;
            let report = heartbeat
                .links
                .filter(|links| !links.cut_off && !heartbeat.leaving)?;
            let answered_ago = Duration::from_millis(u64::from(report.answered_ago_ms));
            Some(links::Relay {
                address: heartbeat.from,
                data_centre: heartbeat.data_centre.clone(),
                capacity: heartbeat.capacity,
                relayed: report.relayed,
                answered_at: peer.received_at.saturating_sub(answered_ago),
            })
        };
        strong.filter_map(relay).collect()
    }

    /// Short ids of the batch items that live peers run.
    #[must_use]
    pub fn running_items(&self, now: Duration) -> HashSet<u32> {
        self.live(now)
            .flat_map(|heartbeat| heartbeat.running.iter().copied())
            .collect()
    }

    /// Batch items that all live peers together would start if slots were free.
    #[must_use]
    pub fn waiting_items(&self, now: Duration) -> u32 {
        let waiting = self.live(now).map(|heartbeat| heartbeat.waiting);
        waiting.fold(0, u32::saturating_add)
    }

    /// Online requests that the live peers have queued.
    pub fn queued(&self, now: Duration) -> impl Iterator<Item = Queued> {
        let fresh = self
            .peers
            .values()
            .filter(move |p| now.saturating_sub(p.received_at) < p.load_ttl());
        fresh.flat_map(|p| p.heartbeat.queued.iter().copied())
    }

    /// Load from all peers together, by short id of the replica. The load of a
    /// peer expires after four of its heartbeat periods.
    #[must_use]
    pub fn load_by_replica(&self, now: Duration) -> HashMap<u32, Load> {
        let mut load: HashMap<u32, Load> = HashMap::new();
        let fresh = self
            .peers
            .values()
            .filter(|p| now.saturating_sub(p.received_at) < p.load_ttl());
        for usage in fresh.flat_map(|p| &p.heartbeat.load) {
            let sum = load.entry(usage.replica).or_default();
            sum.online += u32::from(usage.online);
            sum.batch += u32::from(usage.batch);
        }
        load
    }
}
