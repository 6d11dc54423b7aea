//! Quotas: how many requests a customer may send to the whole fleet.
//!
//! One daemon for each customer, the first live one by rendezvous hashing, holds the
//! token bucket; the others ask it. A bucket grants the fraction of the limit that equals
//! the fraction of the known daemons that its holder hears, so the sides of a partition
//! together grant no more than the limit. A daemon that is asked although it is not the
//! first one, and a daemon that gets no reply, grant only [`DEGRADED_SHARE`] of the limit:
//! the first holder may be granting the whole limit meanwhile.
//!
//! Times are of a clock that includes suspensions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;
use serde::{Deserialize, Serialize};

use super::customer::RequestQuota;
use super::datagram::Mark;

const MARK: Mark = Mark(0xa8);

/// Share of a limit that second holders grant together, and all local buckets together.
/// Both apply while the first holder may grant the whole limit; the bound on what is
/// granted leaves a tenth for errors.
const DEGRADED_SHARE: f64 = 0.05;

/// Gap between two updates above which the daemon counts as suspended in between. Peers notice
/// a silence of 1.2 s, which may have begun a heartbeat period of 250 ms before the gap; until
/// then no other daemon has begun a bucket. Small instances stall for some hundred ms.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(900);

/// Time after a start or a suspension in which a daemon does not count as the first holder.
/// The one that holds the bucket goes on until it hears this one, up to a heartbeat period
/// of 350 ms later; both together came within 2 requests of the bound of 1,327.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Time for which a daemon may hold a block of tokens. Tokens of a block are used later
/// than they are granted, which adds at most this part of a window to the rate.
pub const LEASE: Duration = Duration::from_millis(250);

/// Maximum number of tokens in a block.
const MAX_BLOCK: u16 = 16;

/// Share of the capacity that a block leaves in a bucket. Tokens of a block may be lost
/// unused, so blocks are granted only from a bucket that is well filled.
const BLOCK_RESERVE: f64 = 0.75;

/// Time for which a holder that was replaced must not have granted the whole limit before
/// its bucket begins anew.
const WINDOW: Duration = Duration::from_secs(5);

/// Bounds of the time after which a refused caller may ask again.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(2);

/// Time constant of measured rates.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of customers whose holders are kept; asks may name any.
const MAX_CACHED: usize = 4096;

/// Time after its last use for which a bucket is kept.
const RETENTION: Duration = Duration::from_secs(600);

/// Limit of a customer, and the version of the manifest that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Version of the manifest.
    pub version: u64,
    /// The limit.
    pub quota: RequestQuota,
}

impl Limit {
    fn per_s(&self) -> f64 {
        self.quota.per_1000_s as f64 / 1000.0
    }

    fn burst(&self) -> f64 {
        self.quota.burst as f64
    }
}

/// Message between daemons about the tokens of customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for tokens.
    Ask {
        /// Number that the reply repeats.
        id: u32,
        /// Short id of the customer.
        customer: u32,
        /// Limit that the asking daemon knows.
        limit: Limit,
        /// Number of tokens that it expects to use within [`LEASE`].
        wanted: u16,
    },
    /// Answers an ask.
    Reply {
        /// Number of the ask.
        id: u32,
        /// Number of tokens granted.
        granted: u16,
        /// Time after which to ask again, in milliseconds, if none was granted.
        retry_ms: u32,
    },
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// If a field cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        MARK.encode(self)
    }

    /// Decodes a datagram; `None` if it is no message about tokens of customers. Numbers
    /// out of range are lowered to their bounds.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let mut message = MARK.decode(datagram)?;
        match &mut message {
            Self::Ask { wanted, .. } => *wanted = (*wanted).clamp(1, MAX_BLOCK),
            Self::Reply {
                granted, retry_ms, ..
            } => {
                *granted = (*granted).min(MAX_BLOCK);
                *retry_ms = (*retry_ms).min(MAX_RETRY.as_millis() as u32);
            }
        }
        Some(message)
    }
}

/// Rank of a daemon among the holders of a customer; the highest one is the first.
#[must_use]
pub fn rank(customer: u32, daemon: SocketAddr) -> u64 {
    hash::rendezvous_score(&customer.to_be_bytes(), daemon.to_string().as_bytes())
}

/// Daemons that one daemon knows and hears.
#[derive(Debug)]
pub struct Fleet {
    own: SocketAddr,
    /// Time at which each other daemon was last heard, or from which it is waited for.
    heard_at: BTreeMap<SocketAddr, Duration>,
    /// Other live daemons; `true` for those that may hold buckets.
    live: BTreeMap<SocketAddr, bool>,
    is_leaving: bool,
    updated_at: Option<Duration>,
    resumed_at: Duration,
    /// Time of the last change of the live daemons.
    changed_at: Duration,
    /// Holders by customer among the live daemons. Hashing 400 addresses for each request
    /// would take a large part of a small machine.
    holders: HashMap<u32, [Option<SocketAddr>; 2]>,
}

impl Fleet {
    /// Fleet as the daemon with an address knows it at its start.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            heard_at: BTreeMap::new(),
            live: BTreeMap::new(),
            is_leaving: false,
            updated_at: None,
            resumed_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            holders: HashMap::new(),
        }
    }

    /// Updates the live and the listed daemons; `true` for live ones that may hold buckets.
    /// To be called periodically: a gap shows that this daemon was suspended. Others then
    /// count as heard at its end, as it could not have heard them.
    pub fn update(
        &mut self,
        now: Duration,
        max_lost: Duration,
        is_leaving: bool,
        live: BTreeMap<SocketAddr, bool>,
        listed: &BTreeSet<SocketAddr>,
    ) {
        if !self.is_current(now) {
            self.heard_at.values_mut().for_each(|at| *at = now);
            self.resumed_at = now;
            self.changed_at = now;
        }
        self.updated_at = Some(now);
        if self.live != live || self.is_leaving != is_leaving {
            self.changed_at = now;
            self.holders.clear();
        }
        self.is_leaving = is_leaving;
        self.heard_at.extend(live.keys().map(|peer| (*peer, now)));
        for peer in listed {
            self.heard_at.entry(*peer).or_insert(now);
        }
        self.heard_at.remove(&self.own);
        self.heard_at
            .retain(|peer, at| now.saturating_sub(*at) < max_lost || listed.contains(peer));
        self.live = live;
    }

    fn is_current(&self, now: Duration) -> bool {
        self.updated_at
            .is_some_and(|at| now.saturating_sub(at) <= SUSPENSION_THRESHOLD)
    }

    /// Number of known daemons, this one included. Those that were not heard for
    /// `max_lost` refuse on their own by then and no longer count.
    #[must_use]
    pub fn known(&self, now: Duration, max_lost: Duration) -> usize {
        // After a suspension, daemons that were not heard for long may be alive.
        let is_current = self.is_current(now);
        let is_known = |at: &&Duration| !is_current || now.saturating_sub(**at) < max_lost;
        1 + self.heard_at.values().filter(is_known).count()
    }

    /// Fraction of the known daemons that this one hears; right after a suspension it
    /// hears only itself.
    #[must_use]
    pub fn share(&self, now: Duration, max_lost: Duration) -> f64 {
        let heard = if self.is_current(now) {
            1 + self.live.len()
        } else {
            1
        };
        let known = self.known(now, max_lost).max(heard);
        heard as f64 / known as f64
    }

    /// The first and the second holder of a customer's bucket.
    pub fn holders(&mut self, customer: u32) -> [Option<SocketAddr>; 2] {
        if let Some(holders) = self.holders.get(&customer) {
            return *holders;
        }
        if self.holders.len() >= MAX_CACHED {
            self.holders.clear();
        }
        let holders = self.find_holders(customer);
        self.holders.insert(customer, holders);
        holders
    }

    fn find_holders(&self, customer: u32) -> [Option<SocketAddr>; 2] {
        let live = self.live.iter().filter(|(_, may_hold)| **may_hold);
        let own = (!self.is_leaving).then_some(self.own);
        let mut best: [Option<(u64, SocketAddr)>; 2] = [None, None];
        for daemon in live.map(|(peer, _)| *peer).chain(own) {
            let candidate = Some((rank(customer, daemon), daemon));
            if candidate > best[0] {
                best = [candidate, best[0]];
            } else if candidate > best[1] {
                best[1] = candidate;
            }
        }
        best.map(|daemon| Some(daemon?.1))
    }

    /// Part of a customer's limit that this daemon grants to those that ask it.
    pub fn held(&mut self, now: Duration, max_lost: Duration, customer: u32) -> Part {
        let share = self.share(now, max_lost);
        let is_settled = now.saturating_sub(self.resumed_at) >= SETTLE_TIME;
        let is_first = is_settled && self.holders(customer)[0] == Some(self.own);
        Part {
            share: if is_first {
                share
            } else {
                share * DEGRADED_SHARE
            },
            is_first,
            since: self.changed_at,
            resumed_at: self.resumed_at,
        }
    }

    /// Part of a limit that this daemon grants to itself while no holder replies.
    #[must_use]
    pub fn local(&self, now: Duration, max_lost: Duration) -> Part {
        Part {
            share: DEGRADED_SHARE / self.known(now, max_lost) as f64,
            is_first: false,
            since: self.changed_at,
            resumed_at: self.resumed_at,
        }
    }
}

/// Part of a limit that a bucket grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Fraction of the limit.
    pub share: f64,
    /// Whether the daemon is the first holder as far as it knows.
    pub is_first: bool,
    /// Time since which the daemon is in this role.
    pub since: Duration,
    /// End of the last suspension of the daemon.
    pub resumed_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    limit: Limit,
    share: f64,
    tokens: f64,
    updated_at: Duration,
    /// Last time at which the daemon was the first holder.
    first_at: Option<Duration>,
    /// Measured refusals a second.
    refused_per_s: f64,
}

impl Bucket {
    /// Bucket that begins at a daemon. The one that was asked before may just have granted
    /// its whole burst, so this one begins with half of it.
    fn begin(limit: Limit, part: &Part, now: Duration) -> Self {
        let mut bucket = Self {
            limit,
            share: part.share,
            tokens: 0.0,
            updated_at: now,
            first_at: None,
            refused_per_s: 0.0,
        };
        let elapsed = now.saturating_sub(part.since).as_secs_f64();
        let start = bucket.start() + elapsed * bucket.rate();
        bucket.tokens = start.min(bucket.capacity());
        bucket
    }

    fn rate(&self) -> f64 {
        self.limit.per_s() * self.share
    }

    fn start(&self) -> f64 {
        (self.limit.burst() * self.share / 2.0).max(self.capacity().min(1.0))
    }

    /// A bucket with a small part of a limit holds less than one token. Many daemons have
    /// such buckets at the same time; with a whole token each they would pass the limit.
    fn capacity(&self) -> f64 {
        let burst = self.limit.burst() * self.share;
        if self.share >= 0.5 {
            burst.max(1.0)
        } else {
            burst.max(self.share)
        }
    }

    fn update(&mut self, now: Duration, limit: Limit, part: &Part) {
        let was_suspended = self.updated_at < part.resumed_at;
        let since = self.updated_at.max(part.resumed_at);
        let rate_before = self.rate();
        self.share = part.share;
        let elapsed = now.saturating_sub(since).as_secs_f64();
        // The time of the change is not known, so the lower rate counts up to now.
        let rate = rate_before.min(self.rate());
        if was_suspended {
            // Another daemon may have begun a bucket meanwhile.
            self.tokens = 0.0;
        }
        if part.is_first {
            let was_replaced = self
                .first_at
                .is_none_or(|at| now.saturating_sub(at) > WINDOW && at < part.since);
            if was_replaced {
                self.tokens = self.tokens.max(self.start());
            }
            self.first_at = Some(now);
        }
        self.tokens = (self.tokens + elapsed * rate).min(self.capacity());
        if limit.version > self.limit.version {
            let capacity_before = self.capacity();
            self.limit = limit;
            // Tokens of a raised burst are there at once.
            self.tokens += (self.capacity() - capacity_before).max(0.0);
            self.tokens = self.tokens.min(self.capacity());
        }
        self.refused_per_s *= (-elapsed / RATE_WINDOW.as_secs_f64()).exp();
        self.updated_at = now;
    }

    fn take(&mut self, wanted: u16, draw: f64) -> Result<u16, Duration> {
        let spare = (self.tokens - self.capacity() * BLOCK_RESERVE).floor();
        let block = spare.clamp(1.0, f64::from(wanted.clamp(1, MAX_BLOCK)));
        if self.tokens >= block {
            self.tokens -= block;
            return Ok(block as u16);
        }
        if self.capacity() < 1.0 {
            // Rounds the part of a token at random, which keeps the mean over all daemons.
            let is_granted = draw < self.tokens;
            self.tokens = 0.0;
            if is_granted {
                return Ok(1);
            }
        }
        self.refused_per_s += 1.0 / RATE_WINDOW.as_secs_f64();
        let rate = self.rate().max(f64::MIN_POSITIVE);
        // Callers that are refused in the same second are spread over the tokens to come.
        let ahead = (1.0 - self.tokens) + draw * self.refused_per_s;
        let retry_s = (ahead / rate).min(MAX_RETRY.as_secs_f64());
        Err(Duration::from_secs_f64(retry_s).max(MIN_RETRY))
    }
}

/// Token buckets of customers at one daemon.
#[derive(Debug, Default)]
pub struct Buckets(HashMap<u32, Bucket>);

impl Buckets {
    /// Takes up to `wanted` tokens of a customer; `draw` is a random number in `0..1`.
    /// The limit of the newest manifest counts at once.
    ///
    /// # Errors
    ///
    /// Time after which a token is expected, if there is none.
    pub fn take(
        &mut self,
        now: Duration,
        customer: u32,
        limit: Limit,
        part: &Part,
        wanted: u16,
        draw: f64,
    ) -> Result<u16, Duration> {
        let begin = || Bucket::begin(limit, part, now);
        let bucket = self.0.entry(customer).or_insert_with(begin);
        bucket.update(now, limit, part);
        bucket.take(wanted, draw)
    }

    /// Forgets buckets that were not used for long.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, bucket| now.saturating_sub(bucket.updated_at) < RETENTION);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Block {
    version: u64,
    tokens: u16,
    expires_at: Duration,
    /// Measured requests a second at this daemon.
    per_s: f64,
    updated_at: Duration,
}

/// Tokens that a daemon holds for a short time.
#[derive(Debug, Default)]
pub struct Blocks(HashMap<u32, Block>);

impl Blocks {
    /// Takes a token that was granted before.
    ///
    /// # Errors
    ///
    /// Number of tokens to ask for, if there is none.
    pub fn take(&mut self, now: Duration, customer: u32, version: u64) -> Result<(), u16> {
        let block = self.0.entry(customer).or_default();
        let elapsed = now.saturating_sub(block.updated_at).as_secs_f64();
        let window = RATE_WINDOW.as_secs_f64();
        block.per_s = block.per_s * (-elapsed / window).exp() + 1.0 / window;
        block.updated_at = now;
        if block.tokens > 0 && now < block.expires_at && block.version >= version {
            block.tokens -= 1;
            return Ok(());
        }
        // The request itself, and those that are likely within the lease.
        let expected = (block.per_s * LEASE.as_secs_f64()) as u16;
        Err(expected.clamp(1, MAX_BLOCK))
    }

    /// Adds tokens that were granted on an ask sent at `asked_at`.
    pub fn add(&mut self, asked_at: Duration, customer: u32, version: u64, tokens: u16) {
        let block = self.0.entry(customer).or_default();
        let left = if asked_at < block.expires_at && block.version >= version {
            block.tokens
        } else {
            0
        };
        // Tokens of two asks end with the earlier lease.
        block.expires_at = match left {
            0 => asked_at + LEASE,
            _ => block.expires_at,
        };
        block.tokens = left.saturating_add(tokens).min(MAX_BLOCK);
        block.version = version;
    }

    /// Forgets customers that sent no requests for long.
    pub fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, block| now.saturating_sub(block.updated_at) < RETENTION);
    }
}
