//! Batch items that begin at a replica which has crashed and started again, under its id, with the
//! next software version, before a daemon has read that in the list. Then the replica crashes once
//! more.

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::{Verdict, has_trouble, lots};

const DAEMONS: usize = 3;
const ITEMS: usize = 24;

/// Replicas; one of them crashes, a share of 0.167.
const REPLICAS: [&str; 6] = ["i-1a", "i-2b", "i-3c", "i-4d", "i-5e", "i-6f"];
const EVENTS: u64 = 60;

/// Time for which the crashed replica is away, and from its start to the job.
const AWAY: Duration = Duration::from_millis(300);
const TO_JOB: Duration = Duration::from_millis(10);

/// Time from the job until the replica crashes once more.
const TO_SECOND_CRASH: Duration = Duration::from_millis(2500);

const JOB: &str = "7c41e09b52d6a3f8";

pub fn play(folder: &Path) -> Verdict {
    let mut fleet = Fleet::start(folder);
    fleet.put_manifest(&lots::manifest(1, "lm", 950_000));
    for _ in 0..DAEMONS {
        fleet.add_daemon();
    }
    // The beginning of a release: all replicas have the version before.
    for id in REPLICAS {
        let mut options = fleet.replica(id, "lm", "v1");
        options.events = EVENTS;
        fleet.add_replica(options);
    }
    if !fleet.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    // Not in step with the writes of the replicas.
    thread::sleep(Duration::from_millis(u64::from(std::process::id()) * 37 % 800));
    if has_trouble() {
        let mut options = fleet.kill_replica("i-1a");
        thread::sleep(AWAY);
        options.version = "v2".into();
        fleet.add_replica(options);
        thread::sleep(TO_JOB);
    }
    let status = lots::submit(fleet.daemons[0].clients, JOB, ITEMS, 940, &fleet.record);
    if status != Some(202) {
        return Verdict::CouldNotRun;
    }
    if has_trouble() {
        thread::sleep(TO_SECOND_CRASH);
        let options = fleet.kill_replica("i-1a");
        thread::sleep(AWAY);
        fleet.add_replica(options);
    }
    let reader = fleet.daemons[1].clients;
    let until = Instant::now() + Duration::from_secs(40);
    let mut results = Vec::new();
    while results.len() < ITEMS && Instant::now() < until {
        if let Some(answer) = lots::read(reader, JOB, 0).filter(|answer| answer.status == 200) {
            results = lots::results(&answer.text());
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut mixed = 0;
    for (id, state, lines) in &results {
        let versions: BTreeSet<&str> = lines.iter().filter_map(|line| line.split(' ').next()).collect();
        fleet.record.say(&format!("result {id} {state}: {} events of {versions:?}", lines.len()));
        if versions.len() > 1 {
            mixed += 1;
            fleet.record.say(&format!("MIXED {id}: {lines:?}"));
        }
    }
    fleet.record.say(&format!(
        "{} of {ITEMS} results; {mixed} completed texts joined from two versions",
        results.len()
    ));
    match (mixed, results.len()) {
        (1.., _) => Verdict::Broken,
        (_, ITEMS) => Verdict::Held,
        _ => Verdict::CouldNotRun,
    }
}
