//! The append rates of all daemons stay below the log's limit when all have work.

use std::time::Duration;

use bitterncart_coordination::append_rate::Limiter;
use bitterncart_testing::cases;

/// Limit of the log, in appends per second.
const LIMIT: u32 = 300;

/// Accepted and refused appends in each second while all daemons always have work.
fn appends_per_second(daemons: usize, seconds: u64) -> Vec<(u32, u32)> {
    const TICK: Duration = Duration::from_millis(1);
    let mut limiters = vec![Limiter::default(); daemons];
    for limiter in &mut limiters {
        limiter.configure(Duration::ZERO, LIMIT, daemons);
    }
    let mut now = Duration::from_secs(10);
    let mut counts = Vec::new();
    for _ in 0..seconds {
        let (mut accepted, mut refused) = (0, 0);
        for _ in 0..1000 {
            now += TICK;
            for limiter in &mut limiters {
                match limiter.take(now) {
                    Ok(()) if accepted < LIMIT => {
                        accepted += 1;
                        limiter.record_confirmed(now);
                    }
                    Ok(()) => {
                        refused += 1;
                        limiter.record_failure(now);
                    }
                    Err(_) => {}
                }
            }
        }
        counts.push((accepted, refused));
    }
    counts
}

cases! {
    fn fleet_uses_the_log_without_many_refusals(daemons: usize, min_rate: u32) {
        let counts = appends_per_second(daemons, 60);
        let accepted: u32 = counts.iter().skip(10).map(|(accepted, _)| accepted).sum();
        let refused: u32 = counts.iter().skip(10).map(|(_, refused)| refused).sum();
        assert!(accepted >= min_rate * 50, "{accepted} appends in 50 s");
        // Refused appends are repeated, so they must stay the exception.
        assert!(refused * 4 < accepted, "{refused} refused, {accepted} accepted");
    }
    one_daemon(1, 140);
    three_daemons(3, 200);
    twelve_daemons(12, 200);
    target_fleet_size(400, 200);
}

#[test]
fn failed_append_resets_the_rate_to_the_share() {
    let mut limiter = Limiter::default();
    limiter.configure(Duration::ZERO, LIMIT, 12);
    let share = limiter.rate();
    for second in 1..100 {
        limiter.record_confirmed(Duration::from_secs(second));
    }
    assert!(limiter.rate() > 5.0 * share);
    limiter.record_failure(Duration::from_secs(100));
    assert!((limiter.rate() - share).abs() < f64::EPSILON);
}
