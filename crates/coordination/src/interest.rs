//! When a daemon tells a replica's owner about its online use.
//!
//! Only daemons that use a replica tell its owner, and only when their use
//! crosses a power of two: interest in place of broadcast. The level told is
//! never below the use, so the owner errs towards online.

use std::collections::HashMap;
use std::time::Duration;

use crate::routing::Key;

/// Time that a lower level must last before it is told.
const FALL: Duration = Duration::from_millis(500);

/// Time after which a standing level is told again.
const REFRESH: Duration = Duration::from_secs(2);

/// Time between two reports of lateness.
const LATE: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    level: u32,
    at: Duration,
    late: Option<Duration>,
}

/// What one daemon told of its use of replicas.
#[derive(Clone, Debug, Default)]
pub struct Interest {
    told: HashMap<Key, Told>,
}

impl Interest {
    /// Level to tell now, if any.
    pub fn note(&mut self, now: Duration, replica: Key, running: u32) -> Option<u32> {
        let level = level(running);
        let told = self.told.entry(replica).or_default();
        let since = now.saturating_sub(told.at);
        let due = level > told.level
            || (level < told.level && since >= FALL)
            || (level > 0 && since >= REFRESH);
        due.then(|| {
            told.level = level;
            told.at = now;
            level
        })
    }

    /// Whether to tell of a late token now.
    pub fn late(&mut self, now: Duration, replica: Key) -> bool {
        let told = self.told.entry(replica).or_default();
        let due = told.late.is_none_or(|at| now.saturating_sub(at) >= LATE);
        if due {
            told.late = Some(now);
        }
        due
    }
}

fn level(running: u32) -> u32 {
    match running {
        0..=4 => running,
        running => {
            let power = running.next_power_of_two();
            let between = power / 4 * 3;
            if running <= between { between } else { power }
        }
    }
}
