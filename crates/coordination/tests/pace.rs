//! Appends stay below the log's limit when all daemons have work at once.

use std::time::Duration;

use bitterncart_coordination::Pace;
use bitterncart_testing::cases;

/// Appends a second that the log takes.
const LIMIT: u32 = 300;

/// Appends that get through in each second when all daemons always have work.
fn seconds(daemons: usize, seconds: u64) -> Vec<(u32, u32)> {
    const TICK: Duration = Duration::from_millis(1);
    let mut paces = vec![Pace::default(); daemons];
    for pace in &mut paces {
        pace.configure(Duration::ZERO, LIMIT, daemons);
    }
    let mut now = Duration::from_secs(10);
    let mut rows = Vec::new();
    for _ in 0..seconds {
        let (mut taken, mut refused) = (0, 0);
        for _ in 0..1000 {
            now += TICK;
            for pace in &mut paces {
                match pace.take(now) {
                    Ok(()) if taken < LIMIT => {
                        taken += 1;
                        pace.confirmed(now);
                    }
                    Ok(()) => {
                        refused += 1;
                        pace.failed(now);
                    }
                    Err(_) => {}
                }
            }
        }
        rows.push((taken, refused));
    }
    rows
}

cases! {
    fn uses_the_log(daemons: usize, least: u32) {
        let rows = seconds(daemons, 60);
        let taken: u32 = rows.iter().skip(10).map(|(taken, _)| taken).sum();
        let refused: u32 = rows.iter().skip(10).map(|(_, refused)| refused).sum();
        assert!(taken >= least * 50, "{taken} appends in 50 s");
        // What is refused is appended again; it must stay the exception.
        assert!(refused * 4 < taken, "{refused} refused, {taken} taken");
    }
    one_daemon(1, 140);
    three_daemons(3, 200);
    twelve_daemons(12, 200);
    the_target(400, 200);
}

#[test]
fn failure_puts_a_daemon_back_to_its_share() {
    let mut pace = Pace::default();
    pace.configure(Duration::ZERO, LIMIT, 12);
    let share = pace.rate();
    for second in 1..100 {
        pace.confirmed(Duration::from_secs(second));
    }
    assert!(pace.rate() > 5.0 * share);
    pace.failed(Duration::from_secs(100));
    assert!((pace.rate() - share).abs() < f64::EPSILON);
}
