//! What follows an attempt at a replica.
//!
//! A refusal that claims the request has not run is given only if every
//! attempt is known not to have run.

use super::manifest::{Kind, Route};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// No byte was sent.
    NotSent,
    /// The replica stated that it has not run the request.
    NotRun,
    /// Another replica has the address and has not run the request.
    Misdirected,
    /// The connection broke or the answer is unusable; it may have run.
    Broken,
    /// No answer within the time for one attempt; it may have run.
    Silent,
    /// The replica answered with a failure of its own.
    Failed,
}

impl Outcome {
    /// Whether the request is known not to have run.
    #[must_use]
    pub fn has_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotRun | Self::Misdirected)
    }

    /// Name for logs and counters.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Failed => "failed",
        }
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send to another replica.
    Retry,
    /// Tell the client that the request has not run.
    Refuse,
    /// Tell the client that the request failed and may have run.
    Fail,
    /// Tell the client that time ran out and the request may have run.
    TimeOut,
    /// Pass the replica's own failure on.
    Pass,
}

/// Connections that may fail before anything is sent, in one client attempt.
const MAX_UNSENT: u32 = 6;

/// Attempts of one client request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    sent: u32,
    unsent: u32,
    may_have_run: bool,
}

impl Tries {
    /// Replicas that the request was sent to.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Whether another replica may be tried after this attempt.
    #[must_use]
    pub fn is_last(&self, route: &Route) -> bool {
        self.sent + 1 >= route.max_attempts
    }

    /// Notes an attempt and decides what follows; `in_time` tells whether
    /// another attempt could still be answered before the deadline.
    pub fn ended(&mut self, route: &Route, outcome: Outcome, in_time: bool) -> Step {
        match outcome {
            // No replica of the route has seen the request.
            Outcome::NotSent | Outcome::Misdirected => self.unsent += 1,
            _ => self.sent += 1,
        }
        self.may_have_run |= !outcome.has_not_run();
        let allowed = self.sent < route.max_attempts && self.unsent < MAX_UNSENT && in_time;
        match outcome {
            _ if allowed && self.may_repeat(route.kind, outcome) => Step::Retry,
            Outcome::Failed => Step::Pass,
            _ if !self.may_have_run => Step::Refuse,
            Outcome::Silent => Step::TimeOut,
            _ => Step::Fail,
        }
    }

    /// What to tell the client when no replica can be tried.
    #[must_use]
    pub fn none_left(&self) -> Step {
        if self.may_have_run {
            Step::Fail
        } else {
            Step::Refuse
        }
    }

    fn may_repeat(&self, kind: Kind, outcome: Outcome) -> bool {
        kind.is_repeatable() || (outcome.has_not_run() && !self.may_have_run)
    }
}
