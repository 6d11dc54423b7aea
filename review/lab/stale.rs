//! A daemon without the newest manifest decides for the others.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, Wanted};
use crate::http;
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, Then};
use crate::sys::Random;

/// Time from the ack of a manifest from which it has to be in force (`config_ms`).
const IN_FORCE_AFTER: Duration = Duration::from_millis(2000);

/// Time of the cut, as on the site.
const CUT: Duration = Duration::from_millis(5500);

/// Time between two jobs.
const INTERVAL: Duration = Duration::from_millis(60);

/// Time from the ack until which jobs are sent.
const END: Duration = Duration::from_millis(6000);

const EVENTS: u64 = 10;

/// Replica that runs items.
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
        Ok(Then::Close)
    })
}

/// Replica of a plain service; writes down what it runs.
fn plain(ran: &Arc<Mutex<Vec<String>>>) -> Arc<Behaviour> {
    let ran = Arc::clone(ran);
    Arc::new(move |call: &mut Call| {
        let (id, replica) = (call.id(), &call.replica.id);
        let text = format!("{id} {} {}", call.request.method, call.request.target);
        call.note(&format!(
            "ran {} {}",
            call.request.method, call.request.target
        ));
        ran.lock().expect("no thread panics").push(text);
        let signature = format!("{replica}.{id}");
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Signature", signature.as_str()),
        ];
        http::respond(&mut call.stream, 200, &headers, b"done")?;
        Ok(Then::Keep)
    })
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let ran = Arc::default();
    let wanted: Vec<Wanted> = vec![
        ("lm", 0, 8, events()),
        ("lm", 1, 8, events()),
        ("lm", 2, 8, events()),
        ("web", 0, 8, plain(&ran)),
        ("web", 1, 8, plain(&ran)),
        ("web", 2, 8, plain(&ran)),
    ];
    let once = ",\"timeout_ms\":4000,\"target_latency_ms\":300,\"max_attempts\":2";
    let old = [
        fleet::route("web", "/web/", "idempotent", "web", once),
        fleet::route("lots", "/lots/", "batch", "lm", BATCH),
    ];
    // One route is added, and a part of another one goes to the service of the models.
    let mut new = old.to_vec();
    new.push(fleet::route("more", "/more/", "batch", "lm", BATCH));
    new.push(fleet::route("web-lots", "/web/lots/", "batch", "lm", BATCH));
    let manifest = fleet::manifest(1, &old, &["lm", "web"]);
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let mut random = Random::new();
    let first = jobs::Lot::draw(&mut random, "/lots/", 2);
    if jobs::submit(record, daemons[1], &first) != "202" {
        return Err("no job is accepted before the cut".into());
    }
    if has_trouble {
        fleet.set_cut_from_store(0, true);
    }
    let cut_at = Instant::now();
    fleet.put_manifest(&fleet::manifest(2, &new, &["lm", "web"]));
    let acked_at = Instant::now();
    thread::sleep(IN_FORCE_AFTER + INTERVAL);
    let (mut sent, mut wrong) = (0, Vec::new());
    let mut is_cut = has_trouble;
    while acked_at.elapsed() < END {
        if is_cut && cut_at.elapsed() >= CUT {
            fleet.set_cut_from_store(0, false);
            is_cut = false;
        }
        let prefix = ["/more/", "/web/lots/"][sent / 2 % 2];
        let lot = jobs::Lot::draw(&mut random, prefix, 2);
        let (daemon, at) = (1 + sent % 2, acked_at.elapsed().as_millis());
        let status = jobs::submit(record, daemons[daemon], &lot);
        sent += 1;
        let has_run = ran
            .lock()
            .expect("no thread panics")
            .iter()
            .any(|id| id.starts_with(&lot.id));
        if status == "404" || has_run {
            let by = if has_run {
                ", run by the service web"
            } else {
                ""
            };
            wrong.push(format!(
                "job {} of {prefix} at daemon {daemon}, {at} ms after the ack: {status}{by}",
                lot.id
            ));
        }
        thread::sleep(INTERVAL);
    }
    record.say(&format!(
        "CONFIG: of {sent} jobs that daemons 1 and 2 got later than {} ms after the ack, {} are \
         handled as only the older version allows",
        IN_FORCE_AFTER.as_millis(),
        wrong.len()
    ));
    for text in &wrong {
        record.say(&format!("  {text}"));
    }
    Ok(!wrong.is_empty())
}
