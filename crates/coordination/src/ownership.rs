//! Who owns a shard.
//!
//! A claim in the shard's own stream decides; liveness only decides when to
//! claim. A daemon claims what is vacant or released. An owner that seems dead
//! is challenged in the log first: if it can read and append, it answers, and
//! the challenger backs off. So two sides that reach the log but not each
//! other do not take shards from one another in turn.

use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::record::{Reason, Record};
use bitterncart_state::Shard;

/// Time that an owner has to answer a challenge.
pub const ANSWER: Duration = Duration::from_secs(1);

/// First wait after an answered challenge; doubles with each.
const BACKOFF: Duration = Duration::from_secs(5);

/// Longest wait after an answered challenge.
const BACKOFF_MAX: Duration = Duration::from_secs(60);

/// Time that a better-placed daemon must have been alive before it is handed a shard.
const HANDOVER: Duration = Duration::from_secs(2);

/// Time without a read of the log after which an owner starts no items.
pub const STALE: Duration = Duration::from_secs(10);

/// Time between two appends of the same claim, challenge or release.
const REPEAT: Duration = Duration::from_secs(1);

/// What the daemon knows when it looks at a shard.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Fold of the shard's stream.
    pub shard: &'a Shard,
    /// When the stream was last read to its end.
    pub read: Duration,
    /// Daemon that should own the shard, by rendezvous over the live ones.
    pub winner: Option<&'a id::Daemon>,
    /// Whether the standing owner seems alive.
    pub owner_alive: bool,
    /// Whether this daemon drains.
    pub draining: bool,
    /// Results of this daemon that wait for the log.
    pub unfinished: u32,
}

/// What to append.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A record that anyone may append.
    Open(Record),
    /// A record of the owner.
    Owned(Record),
}

#[derive(Clone, Copy, Debug)]
struct Challenge {
    epoch: id::Epoch,
    seen: Option<Duration>,
}

/// One daemon's part in the ownership of one shard.
#[derive(Clone, Debug)]
pub struct Ownership {
    me: id::Daemon,
    challenge: Option<Challenge>,
    not_before: Duration,
    backoff: Duration,
    last_append: Option<Duration>,
    outranked: Option<Duration>,
}

impl Ownership {
    /// Part of a daemon that has not looked yet.
    #[must_use]
    pub fn new(me: id::Daemon) -> Self {
        Self {
            me,
            challenge: None,
            not_before: Duration::ZERO,
            backoff: BACKOFF,
            last_append: None,
            outranked: None,
        }
    }

    /// Whether this daemon owns the shard by its fold.
    #[must_use]
    pub fn is_mine(&self, shard: &Shard) -> bool {
        shard.owner() == Some(&self.me) && !shard.is_released()
    }

    /// Whether this daemon may start items of the shard now.
    #[must_use]
    pub fn may_start(&self, now: Duration, shard: &Shard, read: Duration) -> bool {
        self.is_mine(shard) && now.saturating_sub(read) < STALE
    }

    /// Looks at the shard and decides what to append.
    pub fn look(&mut self, now: Duration, view: View<'_>) -> Option<Action> {
        if self.is_mine(view.shard) {
            self.challenge = None;
            return self.look_as_owner(now, view);
        }
        self.outranked = None;
        if view.winner != Some(&self.me) || view.draining {
            self.challenge = None;
            return None;
        }
        self.look_as_claimant(now, view)
    }

    fn look_as_claimant(&mut self, now: Duration, view: View<'_>) -> Option<Action> {
        match view.shard.owner() {
            None => self.claim(now, view.shard, Reason::Vacant),
            _ if view.shard.is_released() => self.claim(now, view.shard, Reason::Released),
            _ if view.owner_alive => {
                self.challenge = None;
                None
            }
            _ if now < self.not_before => None,
            _ => self.look_at_silent_owner(now, view),
        }
    }

    fn look_at_silent_owner(&mut self, now: Duration, view: View<'_>) -> Option<Action> {
        let epoch = view.shard.epoch();
        let challenge = self.challenge.filter(|challenge| challenge.epoch == epoch);
        let seen = challenge.and_then(|challenge| challenge.seen);
        match (view.shard.is_challenged(), seen) {
            (true, None) => {
                self.challenge = Some(Challenge {
                    epoch,
                    seen: Some(now),
                });
                None
            }
            // Only a read that began after the time was up can show that no answer came.
            (true, Some(seen)) if view.read >= seen + ANSWER => {
                self.claim(now, view.shard, Reason::Unanswered)
            }
            (true, Some(_)) => None,
            (false, Some(_)) => {
                self.challenge = None;
                self.not_before = now + self.backoff;
                self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
                None
            }
            (false, None) => {
                self.challenge = Some(Challenge { epoch, seen: None });
                let record = Record::Challenge {
                    daemon: self.me.clone(),
                    epoch,
                };
                self.pace(now, Action::Open(record))
            }
        }
    }

    fn claim(&mut self, now: Duration, shard: &Shard, reason: Reason) -> Option<Action> {
        let daemon = self.me.clone();
        let supersedes = shard.epoch();
        self.pace(
            now,
            Action::Open(Record::Claim {
                daemon,
                supersedes,
                reason,
            }),
        )
    }

    fn look_as_owner(&mut self, now: Duration, view: View<'_>) -> Option<Action> {
        let outranked = view.winner.is_some_and(|winner| *winner != self.me);
        if !outranked {
            self.outranked = None;
        }
        if view.shard.is_challenged() {
            return self.pace(now, Action::Owned(Record::Present));
        }
        let since = if outranked {
            *self.outranked.get_or_insert(now)
        } else {
            now
        };
        let hand_over = outranked && now.saturating_sub(since) >= HANDOVER;
        if (view.draining || hand_over) && view.unfinished == 0 {
            return self.pace(now, Action::Owned(Record::Release));
        }
        None
    }

    fn pace(&mut self, now: Duration, action: Action) -> Option<Action> {
        if self
            .last_append
            .is_some_and(|at| now.saturating_sub(at) < REPEAT)
        {
            return None;
        }
        self.last_append = Some(now);
        Some(action)
    }
}
