//! Retry decisions: a refusal states that the request has not run only if no
//! attempt can have run.

use std::time::Duration;

use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::{Batch, Kind, Outcome, Route, Step, Tries};
use bitterncart_testing::cases;

pub(crate) fn route(kind: Kind, max_attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/p/".into(),
        kind,
        backends: vec![Backend {
            service: "s".into(),
            weight: 1,
            reserves: Duration::ZERO,
        }],
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        max_attempts,
        priority: 0,
        batch: Batch::default(),
    }
}

cases! {
    fn step_after_outcomes(
        kind: Kind, max_attempts: u32, outcomes: &[Outcome], in_time: bool, expected: Step
    ) {
        let route = route(kind, max_attempts);
        let mut tries = Tries::default();
        let mut step = Step::Retry;
        for outcome in outcomes {
            assert_eq!(step, Step::Retry, "an attempt followed a final step");
            step = tries.ended(&route, *outcome, in_time);
        }
        assert_eq!(step, expected);
        assert!(tries.sent() <= max_attempts);
    }
    not_run_on_the_last_attempt_is_refused(Kind::Once, 1, &[Outcome::NotRun], true, Step::Refuse);
    not_run_with_attempts_left_is_retried(Kind::Once, 2, &[Outcome::NotRun], true, Step::Retry);
    misdirected_does_not_count_as_an_attempt(
        Kind::Stream, 1, &[Outcome::Misdirected], true, Step::Retry
    );
    broken_non_idempotent_call_fails(Kind::Once, 3, &[Outcome::Broken], true, Step::Fail);
    silent_non_idempotent_stream_times_out(
        Kind::Stream, 3, &[Outcome::Silent], true, Step::TimeOut
    );
    not_run_after_broken_fails(
        Kind::Idempotent, 2, &[Outcome::Broken, Outcome::NotRun], true, Step::Fail
    );
    unsent_does_not_count_as_an_attempt(
        Kind::Once, 1, &[Outcome::NotSent, Outcome::NotSent], true, Step::Retry
    );
    unsent_without_time_left_is_refused(
        Kind::Idempotent, 3, &[Outcome::NotSent], false, Step::Refuse
    );
    replica_error_of_non_idempotent_call_is_passed_on(
        Kind::Once, 3, &[Outcome::Failed], true, Step::Pass
    );
    replica_error_of_idempotent_call_is_retried(
        Kind::Idempotent, 2, &[Outcome::Failed], true, Step::Retry
    );
    broken_resumable_stream_is_retried(Kind::Resumable, 2, &[Outcome::Broken], true, Step::Retry);
}
