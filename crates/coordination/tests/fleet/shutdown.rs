//! Course of a shutdown, and what is still taken on.

use std::time::Duration;

use bitterncart_coordination::fleet::Shutdown;
use bitterncart_coordination::fleet::shutdown::Work;
use bitterncart_testing::cases;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Shutdown from 10 s on.
fn shutdown(timeout: Duration) -> Shutdown {
    Shutdown::new(ms(10_000), timeout)
}

cases! {
    /// Guards against a request that is passed on late in a shutdown and cut off at its end,
    /// and one that is refused although it would be answered.
    fn late_request(at: u64, deadline: u64, usual_ms: Option<u64>, expected: bool) {
        let work = Work { deadline: ms(deadline), usual_time: usual_ms.map(ms) };
        assert_eq!(shutdown(ms(8000)).admits(ms(at), work), expected);
    }
    all_are_served_at_first(12_500, 30_000, None, true);
    request_that_ends_by_its_deadline_is_served(14_000, 17_300, None, true);
    request_that_may_outlast_the_daemon_is_refused(14_000, 17_400, None, false);
    short_call_that_may_run_again_is_served(14_000, 30_000, Some(1000), true);
    short_call_shortly_before_the_end_is_refused(16_000, 30_000, Some(1000), false);
    long_call_that_may_run_again_is_refused(14_000, 30_000, Some(4000), false);
    nothing_is_taken_at_the_end(17_500, 17_600, Some(0), false);
}

/// Guards against connections that are refused while the load balancer still sends clients:
/// two checks, one a second, have to fail before.
#[test]
fn connections_are_accepted_for_two_checks() {
    assert!(shutdown(ms(8000)).accept_until() >= ms(12_500));
}

cases! {
    /// Guards against a shutdown that is killed in its course, as its timeout is short.
    fn course(timeout: u64) {
        let shutdown = shutdown(ms(timeout));
        let times = [
            ms(10_000), shutdown.accept_until(), shutdown.answer_by(), shutdown.end(),
            ms(10_000 + timeout),
        ];
        assert!(times.is_sorted(), "{times:?}");
        assert!(timeout == 0 || times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    }
    course_of_eight_seconds(8000);
    course_of_three_seconds(3000);
    course_of_a_second(1000);
    course_without_time(0);
}
