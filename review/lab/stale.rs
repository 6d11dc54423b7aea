//! A daemon without the newest manifest decides for the others.

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, Wanted};
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, Then};
use crate::sys::Random;

/// Time from the ack of a manifest from which it has to be in force (`config_ms`).
const IN_FORCE_AFTER: Duration = Duration::from_millis(2000);

/// Time of the cut, within the 5.5 s of the site.
const CUT: Duration = Duration::from_millis(5500);

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(60);

/// Time from the ack until which jobs are sent.
const END: Duration = Duration::from_millis(6000);

const EVENTS: u64 = 10;

fn events() -> Arc<Behaviour> {
    Arc::new(move |call: &mut Call| {
        let (id, after) = (call.id(), call.last_event());
        call.head("Content-Type: text/event-stream\r\nConnection: close\r\n")?;
        for event in after + 1..=EVENTS {
            if !call.pause(Duration::from_millis(10)) {
                return Ok(Then::Close);
            }
            call.stream.write_all(jobs::event(&id, event).as_bytes())?;
        }
        call.note("ran");
        Ok(Then::Close)
    })
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let wanted: Vec<Wanted> = (0..3).map(|zone| ("lm", zone, 8, events())).collect();
    let old = fleet::route("old", "/old/", "batch", "lm", BATCH);
    let new = fleet::route("new", "/new/", "batch", "lm", BATCH);
    let manifest = fleet::manifest(1, std::slice::from_ref(&old), &["lm"]);
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let mut random = Random::new();
    let first = jobs::Lot::draw(&mut random, "/old/", 2);
    if jobs::submit(record, daemons[1], &first) != "202" {
        return Err("no job is accepted before the cut".into());
    }
    if has_trouble {
        fleet.set_cut_from_store(0, true);
    }
    let cut_at = Instant::now();
    fleet.put_manifest(&fleet::manifest(2, &[old, new], &["lm"]));
    let acked_at = Instant::now();
    thread::sleep(IN_FORCE_AFTER + INTERVAL);
    let (mut sent, mut refused) = (0, Vec::new());
    let mut is_cut = has_trouble;
    while acked_at.elapsed() < END {
        if is_cut && cut_at.elapsed() >= CUT {
            fleet.set_cut_from_store(0, false);
            is_cut = false;
        }
        let lot = jobs::Lot::draw(&mut random, "/new/", 2);
        let (daemon, at) = (1 + sent % 2, acked_at.elapsed().as_millis());
        let status = jobs::submit(record, daemons[daemon], &lot);
        sent += 1;
        if status == "404" {
            refused.push(format!("job {} at daemon {daemon}, {at} ms after the ack: 404", lot.id));
        }
        thread::sleep(INTERVAL);
    }
    record.say(&format!(
        "CONFIG: {} of {sent} jobs on the new route are answered 404 by daemons 1 and 2, \
         later than {} ms after the ack",
        refused.len(),
        IN_FORCE_AFTER.as_millis()
    ));
    for text in &refused {
        record.say(&format!("  {text}"));
    }
    Ok(!refused.is_empty())
}
