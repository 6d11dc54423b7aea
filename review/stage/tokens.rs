//! Batch jobs that come at once, on a route that has room for one of them. With `TROUBLE=0` the same jobs
//! come a second apart.

use std::path::Path;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::{Verdict, has_trouble, lots};

const DAEMONS: usize = 3;
const MAX_QUEUED_TOKENS: u64 = 950_000;

/// `quota_over` of the pages.
const OVER: f64 = 0.1;

/// Items of a job, the most in one on the sheet, and tokens of an item.
const ITEMS: usize = 24;
const TOKENS: u64 = 3000;

/// Jobs that come one after the other, and those that come at once.
const FIRST: usize = 12;
const AT_ONCE: usize = 9;

pub fn play(folder: &Path) -> Verdict {
    let mut fleet = Fleet::start(folder);
    fleet.put_manifest(&lots::manifest(1, "lm", MAX_QUEUED_TOKENS));
    for _ in 0..DAEMONS {
        fleet.add_daemon();
    }
    // Items of two minutes: none is finished meanwhile. Two replicas are busy with sixteen of them.
    for id in ["i-1a", "i-2b"] {
        let mut options = fleet.replica(id, "lm", "v1");
        options.events = 1200;
        fleet.add_replica(options);
    }
    if !fleet.wait_until_ready() {
        return Verdict::CouldNotRun;
    }
    let mut accepted = 0;
    for n in 0..FIRST {
        let job = format!("{n:016x}");
        let at = fleet.daemons[n % DAEMONS].clients;
        accepted += usize::from(lots::submit(at, &job, ITEMS, TOKENS, &fleet.record) == Some(202));
        thread::sleep(Duration::from_millis(500));
    }
    let barrier = Arc::new(Barrier::new(AT_ONCE));
    let clients: Vec<_> = (0..AT_ONCE)
        .map(|n| {
            let (barrier, record) = (Arc::clone(&barrier), Arc::clone(&fleet.record));
            let at = fleet.daemons[n % DAEMONS].clients;
            thread::spawn(move || {
                if has_trouble() {
                    barrier.wait();
                } else {
                    thread::sleep(Duration::from_secs(n as u64));
                }
                lots::submit(at, &format!("{:016x}", 100 + n), ITEMS, TOKENS, &record)
            })
        })
        .collect();
    for client in clients {
        accepted += usize::from(client.join().is_ok_and(|status| status == Some(202)));
    }
    let finished = fleet.runs().iter().filter(|(_, words)| words.get(3).is_some_and(|w| w == "done")).count();
    let waiting = accepted as u64 * ITEMS as u64 * TOKENS - finished as u64 * TOKENS;
    let allowed = MAX_QUEUED_TOKENS as f64 * (1.0 + OVER);
    fleet.record.say(&format!(
        "{accepted} jobs accepted, {finished} items finished: {waiting} tokens wait; allowed: {allowed}"
    ));
    if accepted < FIRST {
        return Verdict::CouldNotRun;
    }
    if waiting as f64 > allowed { Verdict::Broken } else { Verdict::Held }
}
