//! Rate limits that replicas name in their answers.
//!
//! A replica in need states how many requests a second it takes from all daemons
//! together. The daemons tell each other in heartbeats. One of them, chosen by
//! rendezvous hashing over the live ones, has the token bucket of the replica, and
//! each daemon asks it for a token before each request. So the limit is divided by
//! need, also if it is below one a second or most daemons are idle. A daemon that
//! has just become the one to ask begins with an empty bucket.
//!
//! A limit ends with the first answer that does not name one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;
use serde::{Deserialize, Serialize};

use super::datagram::Mark;
use super::pool::Class;

/// Minimum rate, in requests a second, at which a replica is sent requests whatever
/// it names, as only an answer shows that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time of the limit's rate that a bucket holds beyond one token.
const BURST: Duration = Duration::from_millis(500);

/// Tokens that a batch item leaves to online requests.
const BATCH_RESERVE_TOKENS: f64 = 0.5;

/// Requests for a token that a bucket answers for each token; askers come back
/// later if there are more.
const ASKS_PER_TOKEN: f64 = 4.0;

/// Bounds of the time after which a daemon that got no token asks again.
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(1);

/// Time constant of the measured rate of requests for tokens.
const ASK_RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which an observation is reported in heartbeats.
const REPORT_TTL: Duration = Duration::from_secs(10);

/// Maximum number of observations in a heartbeat.
const MAX_REPORTS: usize = 64;

const MARK: Mark = Mark(0xa5);

/// Observation in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Short id of the process.
    pub process: u32,
    /// Requests in 1,000 seconds; `None` if an answer named no limit.
    pub per_1000_s: Option<u32>,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
}

/// Message between daemons about tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a token.
    Ask {
        /// Number that the reply repeats.
        id: u32,
        /// Short id of the process.
        process: u32,
        /// Limit that the asking daemon knows, in requests in 1,000 seconds.
        per_1000_s: u32,
        /// Whether the token is for a batch item.
        is_batch: bool,
    },
    /// Answers an ask.
    Reply {
        /// Number of the ask.
        id: u32,
        /// Time after which to ask again, in milliseconds; `None` if a token was
        /// granted.
        retry_ms: Option<u32>,
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

    /// Encodes an ask with the age of the answer that named the limit, which follows the
    /// message in the datagram, where daemons of earlier versions do not expect it.
    ///
    /// # Errors
    ///
    /// If a field cannot be serialized.
    pub fn encode_ask(&self, age: Duration) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(&(age.as_millis() as u32), self.encode()?)
    }

    /// Decodes a datagram; `None` if it is no message about tokens. The time after which
    /// to ask again is bounded, as the replica is not used meanwhile.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let max_retry_ms = MAX_RETRY.as_millis() as u32;
        match MARK.decode(datagram)? {
            Self::Reply { id, retry_ms } => Some(Self::Reply {
                id,
                retry_ms: retry_ms.map(|ms| ms.min(max_retry_ms)),
            }),
            ask => Some(ask),
        }
    }

    /// Limit that the datagram of an ask reports; `None` if it is no ask, or one of an
    /// earlier version.
    #[must_use]
    pub fn decode_report(datagram: &[u8]) -> Option<Report> {
        match MARK.decode::<(Self, u32)>(datagram)? {
            (
                Self::Ask {
                    process,
                    per_1000_s,
                    ..
                },
                age_ms,
            ) => Some(Report {
                process,
                per_1000_s: Some(per_1000_s),
                age_ms,
            }),
            (Self::Reply { .. }, _) => None,
        }
    }
}

/// Limit as named in an answer, or its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    per_s: Option<f64>,
    at: Duration,
}

/// Limits that replicas have named, by short id of their process.
#[derive(Debug, Default)]
pub struct Limits {
    observations: HashMap<u32, Observation>,
}

impl Limits {
    /// Records the limit in an answer; returns whether it differs from the known one.
    pub fn record(&mut self, now: Duration, process: u32, per_s: Option<f64>) -> bool {
        let before = self.get(process);
        if before.is_none() && per_s.is_none() {
            // Nothing to tell the peers.
            return false;
        }
        let observation = Observation { per_s, at: now };
        self.observations.insert(process, observation);
        before != per_s
    }

    /// Adds what a peer reports. The latest answer decides.
    pub fn merge(&mut self, now: Duration, reports: &[Report]) {
        for report in reports.iter().take(MAX_REPORTS) {
            let at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
            let per_s = report.per_1000_s.map(|n| f64::from(n) / 1000.0);
            match self.observations.get(&report.process) {
                Some(known) if known.at >= at => {}
                _ => {
                    let observation = Observation { per_s, at };
                    self.observations.insert(report.process, observation);
                }
            }
        }
    }

    /// Limit of a process in requests a second.
    #[must_use]
    pub fn get(&self, process: u32) -> Option<f64> {
        self.observations.get(&process)?.per_s
    }

    /// Time since the answer that named the limit of a process, or none.
    #[must_use]
    pub fn age(&self, now: Duration, process: u32) -> Option<Duration> {
        let observation = self.observations.get(&process)?;
        Some(now.saturating_sub(observation.at))
    }

    /// Latest observations, for the peers.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let age = |observation: &Observation| now.saturating_sub(observation.at);
        let mut fresh: Vec<_> = self.observations.iter().collect();
        fresh.retain(|(_, observation)| age(observation) < REPORT_TTL);
        fresh.sort_unstable_by_key(|(process, observation)| (age(observation), **process));
        fresh.truncate(MAX_REPORTS);
        // The order must not change with the ages.
        fresh.sort_unstable_by_key(|(process, _)| **process);
        let reports = fresh.into_iter().map(|(process, observation)| Report {
            process: *process,
            per_1000_s: observation.per_s.map(per_1000_s),
            age_ms: age(observation).as_millis() as u32,
        });
        reports.collect()
    }

    /// Forgets processes that are neither in use nor reported any longer.
    pub fn expire(&mut self, now: Duration, is_used: impl Fn(u32) -> bool) {
        self.observations.retain(|process, observation| {
            is_used(*process) || now.saturating_sub(observation.at) < REPORT_TTL
        });
    }
}

/// Rate as a whole number of requests in 1,000 seconds.
#[must_use]
pub fn per_1000_s(per_s: f64) -> u32 {
    (per_s * 1000.0).round() as u32
}

/// Daemon that has the bucket of a process: the first one by rendezvous hashing.
#[must_use]
pub fn holder(process: u32, daemons: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let score = |daemon: &SocketAddr| {
        let address = daemon.to_string();
        hash::rendezvous_score(&process.to_be_bytes(), address.as_bytes())
    };
    daemons.max_by_key(score)
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    per_s: f64,
    tokens: f64,
    /// Measured asks a second.
    asks_per_s: f64,
    updated_at: Duration,
}

impl Bucket {
    fn capacity(&self) -> f64 {
        1.0 + self.per_s * BURST.as_secs_f64()
    }

    fn update(&mut self, now: Duration, per_s: f64) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s = per_s.max(MIN_RATE_PER_S);
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.capacity());
        let window = ASK_RATE_WINDOW.as_secs_f64();
        self.asks_per_s = self.asks_per_s * (-elapsed / window).exp() + 1.0 / window;
        self.updated_at = now;
    }

    fn take(&mut self, class: Class) -> Result<(), Duration> {
        let needed = match class {
            Class::Online => 1.0,
            Class::Batch => (1.0 + BATCH_RESERVE_TOKENS).min(self.capacity()),
        };
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Ok(());
        }
        let crowding = self.asks_per_s / (ASKS_PER_TOKEN * self.per_s);
        let retry = MIN_RETRY.mul_f64(crowding.max(1.0));
        Err(retry.min(MAX_RETRY))
    }
}

/// Token buckets of the processes for which this daemon is asked.
#[derive(Debug, Default)]
pub struct Buckets {
    buckets: HashMap<u32, Bucket>,
}

impl Buckets {
    /// Takes a token of a process with a limit.
    ///
    /// # Errors
    ///
    /// Time after which to ask again, if there is none.
    pub fn take(
        &mut self,
        now: Duration,
        process: u32,
        per_s: f64,
        class: Class,
    ) -> Result<(), Duration> {
        let bucket = self.buckets.entry(process).or_insert(Bucket {
            per_s,
            tokens: 0.0,
            asks_per_s: 0.0,
            updated_at: now,
        });
        bucket.update(now, per_s);
        bucket.take(class)
    }

    /// Forgets buckets that nobody has asked for longer than they take to fill.
    pub fn expire(&mut self, now: Duration) {
        self.buckets.retain(|_, bucket| {
            let full_after = Duration::from_secs_f64(bucket.capacity() / bucket.per_s);
            now.saturating_sub(bucket.updated_at) < full_after + MAX_RETRY
        });
    }
}
