//! Retry decisions: a refusal states that the request has not run only if no
//! attempt can have run.

use std::time::Duration;

use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::{Attempts, Batch, Decision, Kind, Outcome, Route};
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
        is_public: false,
    }
}

cases! {
    fn decision_after_outcomes(
        kind: Kind, max_attempts: u32, outcomes: &[Outcome], in_time: bool, expected: Decision
    ) {
        let route = route(kind, max_attempts);
        let mut attempts = Attempts::default();
        let mut decision = Decision::Retry;
        for outcome in outcomes {
            assert_eq!(decision, Decision::Retry, "an attempt followed a final decision");
            decision = attempts.record(&route, *outcome, in_time);
        }
        assert_eq!(decision, expected);
        assert!(attempts.sent() <= max_attempts);
    }
    not_run_on_the_last_attempt_is_refused(
        Kind::Once, 1, &[Outcome::NotRun], true, Decision::Refuse
    );
    not_run_with_attempts_left_is_retried(Kind::Once, 2, &[Outcome::NotRun], true, Decision::Retry);
    misdirected_does_not_count_as_an_attempt(
        Kind::Stream, 1, &[Outcome::Misdirected], true, Decision::Retry
    );
    broken_non_idempotent_call_fails(Kind::Once, 3, &[Outcome::Broken], true, Decision::Fail);
    silent_non_idempotent_stream_times_out(
        Kind::Stream, 3, &[Outcome::Silent], true, Decision::TimeOut
    );
    not_run_after_broken_fails(
        Kind::Idempotent, 2, &[Outcome::Broken, Outcome::NotRun], true, Decision::Fail
    );
    unsent_does_not_count_as_an_attempt(
        Kind::Once, 1, &[Outcome::NotSent, Outcome::NotSent], true, Decision::Retry
    );
    unsent_without_time_left_is_refused(
        Kind::Idempotent, 3, &[Outcome::NotSent], false, Decision::Refuse
    );
    replica_error_of_non_idempotent_call_is_passed_on(
        Kind::Once, 3, &[Outcome::Failed], true, Decision::Pass
    );
    replica_error_of_idempotent_call_is_retried(
        Kind::Idempotent, 2, &[Outcome::Failed], true, Decision::Retry
    );
    broken_resumable_stream_is_retried(
        Kind::Resumable, 2, &[Outcome::Broken], true, Decision::Retry
    );
}
