//! Decides whether a failed attempt is retried.
//!
//! A retry needs a call that may run again, either because it is repeatable or
//! because it certainly did not run, and time before the deadline. It also needs
//! an attempt left and a token of the retry budget. The budget is a share of the
//! requests, so retries against a failing data centre cannot double its load.

use std::time::Duration;

use bitterncart_protocol::Code;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established; nothing was sent.
    Connect,
    /// The backend server refused the call and did not run it.
    Refused,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Nothing was received for longer than the idle timeout.
    Timeout,
    /// There was no memory to read the answer, which is no fault of the backend server.
    NoMemory,
}

impl Failure {
    /// Whether the call certainly did not run.
    #[must_use]
    pub fn not_run(self) -> bool {
        matches!(self, Self::Connect | Self::Refused)
    }

    /// Code under which a retry after this failure is counted.
    #[must_use]
    pub fn retry_code(self) -> Code {
        match self {
            Self::Connect => Code::RetryConnect,
            Self::Refused => Code::RetryRefused,
            Self::Broken | Self::NoMemory => Code::RetryBroken,
            Self::Timeout => Code::RetrySilent,
        }
    }
}

/// Failed attempt at a call.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Failure of the attempt.
    pub failure: Failure,
    /// Whether the call may safely run more than once.
    pub repeatable: bool,
    /// Attempts made so far, this one included.
    pub made: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Make another attempt.
    Retry,
    /// Give up and return the code.
    Stop(Code),
}

/// Maximum attempts per request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries earned per request.
const BUDGET_SHARE: f64 = 0.1;

/// Maximum retries saved up.
const BUDGET_BURST: f64 = 20.0;

/// Retry budget of one daemon, a token bucket filled by requests.
#[derive(Clone, Debug)]
pub struct Budget {
    level: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            level: BUDGET_BURST,
        }
    }
}

impl Budget {
    /// Records a request, which earns a share of a retry.
    pub fn earn(&mut self) {
        self.level = (self.level + BUDGET_SHARE).min(BUDGET_BURST);
    }

    /// Whether the budget allows a retry now.
    #[must_use]
    pub fn can_retry(&self) -> bool {
        self.level >= 1.0
    }

    /// Decides about a failed attempt; a retry is charged to the budget.
    pub fn decide(&mut self, attempt: Attempt) -> Decision {
        let may_run = attempt.repeatable || attempt.failure.not_run();
        match attempt {
            _ if !may_run => Decision::Stop(Code::OutcomeUnknown),
            Attempt {
                failure: Failure::NoMemory,
                ..
            } => Decision::Stop(Code::BackendFailed),
            Attempt {
                time_left: Duration::ZERO,
                failure,
                ..
            } if failure.not_run() => Decision::Stop(Code::DeadlineUnreachable),
            Attempt {
                time_left: Duration::ZERO,
                ..
            } => Decision::Stop(Code::BackendTimeout),
            Attempt { made, failure, .. } if made >= MAX_ATTEMPTS || !self.can_retry() => {
                Decision::Stop(stop_code(failure))
            }
            _ => {
                self.level -= 1.0;
                Decision::Retry
            }
        }
    }
}

/// Code when no attempts or no retry budget are left.
fn stop_code(failure: Failure) -> Code {
    match failure {
        Failure::Connect | Failure::Refused => Code::NoReplica,
        Failure::Broken | Failure::NoMemory => Code::BackendFailed,
        Failure::Timeout => Code::BackendTimeout,
    }
}
