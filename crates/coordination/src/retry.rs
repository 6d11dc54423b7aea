//! Whether a failed attempt is made again.
//!
//! Two questions in this order: may the call run again, and can the fleet
//! afford another attempt. The budget is a share of the traffic, so a failing
//! data centre cannot double its load.

use std::time::Duration;

use bitterncart_protocol::Code;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made; nothing was sent.
    Connect,
    /// The backend server said that it did not run the call.
    Refused,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Nothing came for longer than the liveness bound.
    Silent,
}

impl Failure {
    /// Whether the call certainly did not run.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused)
    }

    /// Counter of the retry.
    #[must_use]
    pub fn reason(self) -> Code {
        match self {
            Self::Connect => Code::RetryConnect,
            Self::Refused => Code::RetryRefused,
            Self::Broken => Code::RetryBroken,
            Self::Silent => Code::RetrySilent,
        }
    }
}

/// What is known of a call that failed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How it failed.
    pub failure: Failure,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// Attempts made so far.
    pub made: u32,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Verdict on a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Make another attempt.
    Retry,
    /// Give up with a code.
    Stop(Code),
}

/// Attempts at one request at most.
pub const MAX_ATTEMPTS: u32 = 4;

/// Share of the requests that may be retried.
const SHARE: f64 = 0.1;

/// Retries that a quiet daemon may make at once.
const BURST: f64 = 20.0;

/// Retry budget of one daemon.
#[derive(Clone, Debug)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { level: BURST }
    }
}

impl Budget {
    /// Notes a request and so earns a share of a retry.
    pub fn earn(&mut self) {
        self.level = (self.level + SHARE).min(BURST);
    }

    /// Whether a retry could be afforded now.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.level >= 1.0
    }

    /// Judges a failed attempt.
    pub fn judge(&mut self, attempt: Attempt) -> Verdict {
        let may_run = attempt.repeatable || attempt.failure.not_run();
        match attempt {
            _ if !may_run => Verdict::Stop(Code::OutcomeUnknown),
            Attempt {
                left: Duration::ZERO,
                failure,
                ..
            } if failure.not_run() => Verdict::Stop(Code::DeadlineUnreachable),
            Attempt {
                left: Duration::ZERO,
                ..
            } => Verdict::Stop(Code::BackendTimeout),
            Attempt { made, failure, .. } if made >= MAX_ATTEMPTS || !self.can_retry() => {
                Verdict::Stop(exhausted(failure))
            }
            _ => {
                self.level -= 1.0;
                Verdict::Retry
            }
        }
    }
}

fn exhausted(failure: Failure) -> Code {
    match failure {
        Failure::Connect | Failure::Refused => Code::NoReplica,
        Failure::Broken => Code::BackendFailed,
        Failure::Silent => Code::BackendTimeout,
    }
}
