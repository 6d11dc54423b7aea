//! A batch item whose replica leaves while it runs, and whose answer has neither a length nor
//! chunks.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::{Verdict, has_trouble, lots};

const DAEMONS: usize = 3;
const ITEMS: usize = 32;

/// Replicas; one of them leaves, a share of 0.125.
const REPLICAS: [&str; 8] = ["i-1a", "i-2b", "i-3c", "i-4d", "i-5e", "i-6f", "i-7a", "i-8b"];

/// `drain_ms` of the pages.
const DRAIN: Duration = Duration::from_millis(2000);

const JOB: &str = "7c41e09b52d6a3f8";

pub fn play(folder: &Path) -> Verdict {
    let mut fleet = Fleet::start(folder);
    fleet.put_manifest(&lots::manifest(1, "lm", 950_000));
    for _ in 0..DAEMONS {
        fleet.add_daemon();
    }
    for id in REPLICAS {
        let mut options = fleet.replica(id, "lm", "v1");
        (options.events, options.unframed) = (80, true);
        if has_trouble() && id == "i-1a" {
            options.drains_after_ms = 10_500;
        }
        fleet.add_replica(options);
    }
    if !fleet.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    let status = lots::submit(fleet.daemons[0].clients, JOB, ITEMS, 940, &fleet.record);
    if status != Some(202) {
        return Verdict::CouldNotRun;
    }
    let until = Instant::now() + Duration::from_secs(40);
    let mut results = Vec::new();
    while results.len() < ITEMS && Instant::now() < until {
        if let Some(answer) = lots::read(fleet.daemons[1].clients, JOB, 0) {
            results = lots::results(&answer.text());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let runs = fleet.runs();
    let acknowledged = runs.iter().find(|(_, words)| words.get(3).is_some_and(|w| w == "draining-acknowledged"));
    let drain_ms = DRAIN.as_millis() as u64;
    let late = acknowledged.map_or(0, |(from, _)| {
        let late = runs.iter().filter(|(at, words)| {
            *at > from + drain_ms && words[0] == "i-1a" && words.get(3).is_some_and(|w| w == "run")
        });
        late.count()
    });
    fleet.record.say(&format!(
        "{} of {ITEMS} results; {late} requests reached i-1a later than {DRAIN:?} after the ack of `draining`",
        results.len()
    ));
    match (late, results.len()) {
        (1.., _) => Verdict::Broken,
        (_, ITEMS) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}
