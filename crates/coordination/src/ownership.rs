//! Decides which daemon owns a shard.
//!
//! A claim record in the shard's log stream establishes ownership; membership only
//! decides when a daemon tries to claim. A daemon claims a shard that is vacant or
//! released. It first challenges an owner considered dead by a record in the log:
//! an owner that can read and append answers, and the challenger backs off. Two
//! sides of a partition that both reach the log but not each other therefore do
//! not take shards from each other in turn.

use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::record::{Reason, Record};
use bitterncart_state::Shard;

/// Time for an owner to answer a challenge.
pub const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Backoff after the first answered challenge; doubles with each further one.
const BACKOFF_INITIAL: Duration = Duration::from_secs(5);

/// Maximum backoff after an answered challenge.
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// Time for which another daemon must be the preferred owner before it gets the shard.
const HANDOVER_DELAY: Duration = Duration::from_secs(2);

/// Age of the last read of the log at which an owner starts no more items.
pub const READ_MAX_AGE: Duration = Duration::from_secs(10);

/// Minimum time between two ownership records from the same daemon.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);

/// Inputs to an ownership decision.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// State replayed from the shard's stream.
    pub shard: &'a Shard,
    /// Start of the last read that reached the end of the stream.
    pub last_read: Duration,
    /// Preferred owner by rendezvous hashing over the live daemons.
    pub preferred_owner: Option<&'a id::Daemon>,
    /// Whether membership considers the current owner alive.
    pub owner_alive: bool,
    /// Whether this daemon is draining.
    pub draining: bool,
    /// Records and calls of this daemon that are not settled in the log.
    pub uncommitted: u32,
}

/// Record to append.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Record that any daemon may append, without an epoch.
    Unfenced(Record),
    /// Record that only the owner may append, fenced by its epoch.
    Fenced(Record),
}

#[derive(Clone, Copy, Debug)]
struct Challenge {
    epoch: id::Epoch,
    /// When the challenge was first read back from the log.
    observed: Option<Duration>,
}

/// Ownership protocol of one daemon for one shard.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: id::Daemon,
    challenge: Option<Challenge>,
    backoff_until: Duration,
    backoff: Duration,
    last_append: Option<Duration>,
    outranked_since: Option<Duration>,
}

impl Ownership {
    /// Initial state for the daemon `me`.
    #[must_use]
    pub fn new(me: id::Daemon) -> Self {
        Self {
            me,
            challenge: None,
            backoff_until: Duration::ZERO,
            backoff: BACKOFF_INITIAL,
            last_append: None,
            outranked_since: None,
        }
    }

    /// Whether this daemon owns the shard according to its replayed state.
    #[must_use]
    pub fn is_mine(&self, shard: &Shard) -> bool {
        shard.owner() == Some(&self.me) && !shard.is_released()
    }

    /// Whether this daemon may start items of the shard now; `last_read` is the start
    /// of the last read that reached the end of the stream.
    #[must_use]
    pub fn may_start(&self, now: Duration, shard: &Shard, last_read: Duration) -> bool {
        self.is_mine(shard) && now.saturating_sub(last_read) < READ_MAX_AGE
    }

    /// Decides which record to append now, if any.
    pub fn decide(&mut self, now: Duration, context: Context<'_>) -> Option<Action> {
        if self.is_mine(context.shard) {
            self.challenge = None;
            return self.decide_as_owner(now, context);
        }
        self.outranked_since = None;
        if context.preferred_owner != Some(&self.me) || context.draining {
            self.challenge = None;
            return None;
        }
        self.decide_as_claimant(now, context)
    }

    fn decide_as_claimant(&mut self, now: Duration, context: Context<'_>) -> Option<Action> {
        match context.shard.owner() {
            None => self.claim(now, context.shard, Reason::Vacant),
            _ if context.shard.is_released() => self.claim(now, context.shard, Reason::Released),
            _ if context.owner_alive => {
                self.challenge = None;
                None
            }
            _ if now < self.backoff_until => None,
            _ => self.challenge_owner(now, context),
        }
    }

    fn challenge_owner(&mut self, now: Duration, context: Context<'_>) -> Option<Action> {
        let epoch = context.shard.epoch();
        let challenge = self.challenge.filter(|challenge| challenge.epoch == epoch);
        let observed = challenge.and_then(|challenge| challenge.observed);
        match (context.shard.is_challenged(), observed) {
            (true, None) => {
                self.challenge = Some(Challenge {
                    epoch,
                    observed: Some(now),
                });
                None
            }
            // Only a read that began after the timeout can prove that there is no answer.
            (true, Some(observed)) if context.last_read >= observed + CHALLENGE_TIMEOUT => {
                self.claim(now, context.shard, Reason::Unanswered)
            }
            (true, Some(_)) => None,
            (false, Some(_)) => {
                self.challenge = None;
                self.backoff_until = now + self.backoff;
                self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
                None
            }
            (false, None) => {
                self.challenge = Some(Challenge {
                    epoch,
                    observed: None,
                });
                let record = Record::Challenge {
                    daemon: self.me.clone(),
                    epoch,
                };
                self.limit_rate(now, Action::Unfenced(record))
            }
        }
    }

    fn claim(&mut self, now: Duration, shard: &Shard, reason: Reason) -> Option<Action> {
        let daemon = self.me.clone();
        let supersedes = shard.epoch();
        self.limit_rate(
            now,
            Action::Unfenced(Record::Claim {
                daemon,
                supersedes,
                reason,
            }),
        )
    }

    fn decide_as_owner(&mut self, now: Duration, context: Context<'_>) -> Option<Action> {
        let outranked = context
            .preferred_owner
            .is_some_and(|preferred| *preferred != self.me);
        if !outranked {
            self.outranked_since = None;
        }
        if context.shard.is_challenged() {
            return self.limit_rate(now, Action::Fenced(Record::Present));
        }
        let outranked_since = if outranked {
            *self.outranked_since.get_or_insert(now)
        } else {
            now
        };
        let hand_over = outranked && now.saturating_sub(outranked_since) >= HANDOVER_DELAY;
        if (context.draining || hand_over) && context.uncommitted == 0 {
            return self.limit_rate(now, Action::Fenced(Record::Release));
        }
        None
    }

    /// Returns the action unless another one was returned within the append interval.
    fn limit_rate(&mut self, now: Duration, action: Action) -> Option<Action> {
        if self
            .last_append
            .is_some_and(|at| now.saturating_sub(at) < APPEND_INTERVAL)
        {
            return None;
        }
        self.last_append = Some(now);
        Some(action)
    }
}
