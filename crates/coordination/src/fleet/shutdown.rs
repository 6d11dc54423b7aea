//! Decides what a daemon still takes on during its shutdown, and when it ends what is left.
//!
//! The daemon is told to stop and is killed some time later. First it serves everything, as
//! the load balancer still sends clients. Then it serves a request only if its answer comes
//! before the end: by its deadline, at which there is an answer in any case, or by the usual
//! run time if it may run again. Another one is refused with the promise that it has not run;
//! its client has it served elsewhere. Shortly before the end all that is left is answered,
//! so that no connection closes without an answer.

use std::time::Duration;

/// Time for which connections are still accepted. The load balancer checks readiness once a
/// second and takes a daemon out of rotation after two failures.
const ACCEPT_TIME: Duration = Duration::from_millis(2600);

/// Time before the kill at which all requests are answered, for the answers to be sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Time before the kill at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Share of a short stop timeout that each of these times takes at most.
const MAX_SHARE: f64 = 1.0 / 3.0;

/// Multiple of the usual run time for which a request may run.
const RUN_TIMES: u32 = 2;

/// Request that a daemon may take on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Time at which it is answered in any case.
    pub deadline: Duration,
    /// Usual time until its answer; `None` if it is not known, or the request may not run
    /// twice, so that its client cannot send it again if it is ended.
    pub usual_time: Option<Duration>,
}

/// Course of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    accept_until: Duration,
    answer_by: Duration,
    end: Duration,
}

impl Shutdown {
    /// Shutdown that begins at a time and is to end within `timeout`.
    #[must_use]
    pub fn new(begun: Duration, timeout: Duration) -> Self {
        let killed = begun + timeout;
        let share = timeout.mul_f64(MAX_SHARE);
        Self {
            accept_until: begun + ACCEPT_TIME.min(share),
            answer_by: killed - ANSWER_MARGIN.min(share),
            end: killed - END_MARGIN.min(share),
        }
    }

    /// Time until which connections are accepted and all requests are served.
    #[must_use]
    pub fn accept_until(&self) -> Duration {
        self.accept_until
    }

    /// Time at which what is left is answered.
    #[must_use]
    pub fn answer_by(&self) -> Duration {
        self.answer_by
    }

    /// Time at which the process ends.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.end
    }

    /// Whether a request that has been received as a whole is served.
    #[must_use]
    pub fn admits(&self, now: Duration, work: Work) -> bool {
        let is_expected = |time: Duration| now + time * RUN_TIMES <= self.answer_by;
        now < self.accept_until
            || work.deadline <= self.answer_by
            || work.usual_time.is_some_and(is_expected)
    }
}
