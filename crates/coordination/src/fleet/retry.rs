//! Retry policy: what follows an attempt at a replica.
//!
//! From the kind of the route, the outcomes so far and the time left, decides
//! whether a request is retried at another replica or how its failure is
//! reported to the client. A request that may have run is retried only if its
//! route allows it to run again. A refusal states that the request has not
//! run, so it is given only if no attempt can have run.

use super::manifest::{Kind, Route};

/// Outcome of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte was sent.
    NotSent,
    /// The replica answered that it has not run the request.
    NotRun,
    /// Not sent, as its prompt has a quarantined part.
    Quarantined,
    /// Another process has the replica's address and has not run the request.
    Misdirected,
    /// The connection broke or the answer is invalid; the request may have run.
    Broken,
    /// Given up as this daemon lost its link to the replica; the request may have run.
    LinkLost,
    /// No answer within the timeout of the attempt; the request may have run.
    Silent,
    /// The replica answered with an error of its own; the request may have run.
    Failed,
    /// The answer found no memory at this daemon, which is no fault of the replica; the request
    /// may have run.
    NoMemory,
    /// The stream ended in order, but nothing says that it is complete.
    Unconfirmed,
}

impl Outcome {
    /// Whether the request is known not to have run.
    #[must_use]
    pub fn has_not_run(self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::NotRun | Self::Quarantined | Self::Misdirected
        )
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Quarantined => "quarantined",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::LinkLost => "link_lost",
            Self::Silent => "silent",
            Self::Failed => "failed",
            Self::NoMemory => "no_memory",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Decision after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another replica.
    Retry,
    /// Report to the client that the request has not run.
    Refuse,
    /// Report to the client that the request failed and may have run.
    Fail,
    /// Report to the client that the request timed out and may have run.
    TimeOut,
    /// Pass the replica's own error on to the client.
    Pass,
}

/// Attempts of one client request that may end without reaching a replica of
/// its route: no byte was sent, or another process has the address.
const MAX_UNSENT_ATTEMPTS: u32 = 6;

/// Attempts of one client request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempts {
    sent: u32,
    unsent: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Number of replicas that received the request.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether the current attempt, which is not recorded yet, is the last one
    /// that the route allows.
    #[must_use]
    pub fn is_last(&self, route: &Route) -> bool {
        self.sent + 1 >= route.max_attempts
    }

    /// Records the outcome of an attempt and decides what follows; `in_time`
    /// tells whether another attempt could still be answered before the
    /// deadline.
    pub fn record(&mut self, route: &Route, outcome: Outcome, in_time: bool) -> Decision {
        match outcome {
            // No replica of the route has received the request.
            Outcome::NotSent | Outcome::Quarantined | Outcome::Misdirected => self.unsent += 1,
            _ => self.sent += 1,
        }
        self.may_have_run |= !outcome.has_not_run();
        let allowed =
            self.sent < route.max_attempts && self.unsent < MAX_UNSENT_ATTEMPTS && in_time;
        match outcome {
            _ if allowed && self.may_retry(route.kind, outcome) => Decision::Retry,
            Outcome::Failed => Decision::Pass,
            _ if !self.may_have_run => Decision::Refuse,
            Outcome::Silent => Decision::TimeOut,
            _ => Decision::Fail,
        }
    }

    /// Decision when no replica is left to try.
    #[must_use]
    pub fn exhausted(&self) -> Decision {
        if self.may_have_run {
            Decision::Fail
        } else {
            Decision::Refuse
        }
    }

    fn may_retry(&self, kind: Kind, outcome: Outcome) -> bool {
        // Another answer would find no memory either.
        if matches!(outcome, Outcome::Quarantined | Outcome::NoMemory) {
            return false;
        }
        kind.is_repeatable() || (outcome.has_not_run() && !self.may_have_run)
    }
}
