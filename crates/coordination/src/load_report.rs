//! Decides when a daemon reports its online load to a replica's owner.
//!
//! Only daemons that use a replica report to its owner, and only when the number
//! of sequences crosses one of a few levels, instead of broadcasting every change.
//! A reported level is never below the actual number, so that the owner errs in
//! favour of online requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::routing::Key;

/// Minimum age of the last report before a lower level is reported.
const DECREASE_DELAY: Duration = Duration::from_millis(500);

/// Interval of reports of an unchanged level.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two reports of late tokens.
const LATE_INTERVAL: Duration = Duration::from_millis(100);

/// Last reports about one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Report {
    level: u32,
    sent: Duration,
    late_sent: Option<Duration>,
}

/// Load reports of one daemon to the owners of replicas.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    reports: HashMap<Key, Report>,
}

impl Reporter {
    /// Returns the level to report now, if any, and records the report.
    pub fn level_to_report(&mut self, now: Duration, replica: Key, running: u32) -> Option<u32> {
        let level = level(running);
        let last = self.reports.entry(replica).or_default();
        let age = now.saturating_sub(last.sent);
        let due = level > last.level
            || (level < last.level && age >= DECREASE_DELAY)
            || (level > 0 && age >= REFRESH_INTERVAL);
        due.then(|| {
            last.level = level;
            last.sent = now;
            level
        })
    }

    /// Whether to report a late token now; records the report.
    pub fn should_report_late(&mut self, now: Duration, replica: Key) -> bool {
        let last = self.reports.entry(replica).or_default();
        let due = last
            .late_sent
            .is_none_or(|at| now.saturating_sub(at) >= LATE_INTERVAL);
        if due {
            last.late_sent = Some(now);
        }
        due
    }
}

/// Rounds up to a level: exact up to 4, then powers of two and the midpoints between.
fn level(running: u32) -> u32 {
    match running {
        0..=4 => running,
        running => {
            let power = running.next_power_of_two();
            let midpoint = power / 4 * 3;
            if running <= midpoint { midpoint } else { power }
        }
    }
}
