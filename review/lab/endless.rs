//! In place of one answer, heads of interim answers come without end.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, Wanted};
use crate::http::{self, Channel, Request};
use crate::record::Record;
use crate::replica::{Behaviour, Call, Then};
use crate::sys::Random;

/// Time before the wrong bytes begin, and in all.
const CALM: Duration = Duration::from_secs(3);
const TIME: Duration = Duration::from_secs(30);

/// Time for which the replica sends wrong bytes, unless the caller closes before.
const LONGEST: Duration = Duration::from_secs(25);

/// Timeout of the route, and the time after it at which an answer has to be there.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);
const GRACE: Duration = Duration::from_millis(500);

/// Time that clients wait.
const DEADLINE: Duration = Duration::from_millis(5000);

/// Clients of each daemon, each with a channel that it keeps.
const CLIENTS: usize = 8;

/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(150);

/// Lines in the head of an interim answer.
const HEAD_LINES: usize = 90;

/// Rate of a link of 1000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;

/// Head of an interim answer with many short lines.
fn interim_head() -> Vec<u8> {
    let lines = "a:\r\n".repeat(HEAD_LINES);
    format!("HTTP/1.1 103 Early Hints\r\n{lines}\r\n").into_bytes()
}

/// Sends bytes again and again until the caller closes, not faster than a link takes them.
fn endless(call: &mut Call, bytes: &[u8]) -> std::io::Result<Then> {
    let (begun, mut sent) = (Instant::now(), 0);
    while begun.elapsed() < LONGEST {
        if call.stream.write_all(bytes).is_err() {
            let ms = begun.elapsed().as_millis();
            call.note(&format!("the caller closed after {ms} ms, {sent} bytes"));
            return Ok(Then::Close);
        }
        sent += bytes.len();
        let due = Duration::from_secs_f64(sent as f64 / LINK_BYTES_PER_S);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    let ms = begun.elapsed().as_millis();
    call.note(&format!(
        "the caller had not closed after {ms} ms, {sent} bytes"
    ));
    Ok(Then::Reset)
}

/// Replica of a plain service. The first answer after `is_armed` is set is spoiled.
fn plain(is_armed: &Arc<AtomicBool>) -> Arc<Behaviour> {
    let is_armed = Arc::clone(is_armed);
    Arc::new(move |call: &mut Call| {
        if is_armed.swap(false, Ordering::SeqCst) {
            call.note("runs; heads of interim answers without end");
            return endless(call, &interim_head().repeat(100));
        }
        call.pause(Duration::from_millis(15));
        let id = call.id();
        let signature = format!("{}.{id}", call.replica.id);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Signature", signature.as_str()),
        ];
        http::respond(&mut call.stream, 200, &headers, b"done")?;
        Ok(Then::Keep)
    })
}

/// Requests by daemon: all, those unanswered at the timeout, and those half a second later.
#[derive(Default)]
struct Counts {
    all: AtomicU32,
    at_timeout: AtomicU32,
    later: AtomicU32,
}

/// Client that keeps its channel, and opens another one after a failure.
fn client(record: &Record, fleet: &Mutex<Fleet>, daemon: usize, counts: &Counts, until: Instant) {
    let mut random = Random::new();
    let address = fleet.lock().expect("no thread panics").daemons[daemon].clients();
    let mut channel = Channel::open(address, Duration::from_secs(1)).ok();
    while Instant::now() < until {
        thread::sleep(PAUSE);
        let Some(open) = &mut channel else {
            return;
        };
        let id = random.id();
        let request = Request {
            method: "POST".into(),
            target: "/topup/run".into(),
            headers: vec![
                ("Host".into(), HOST.into()),
                ("Attempt-Id".into(), id.clone()),
                ("Deadline-Ms".into(), DEADLINE.as_millis().to_string()),
            ],
            body: b"x".to_vec(),
        };
        let sent = Instant::now();
        let answer = open.exchange(&request, DEADLINE);
        let took = sent.elapsed();
        counts.all.fetch_add(1, Ordering::SeqCst);
        if took > ROUTE_TIMEOUT {
            counts.at_timeout.fetch_add(1, Ordering::SeqCst);
        }
        if took > ROUTE_TIMEOUT + GRACE {
            counts.later.fetch_add(1, Ordering::SeqCst);
        }
        let text = answer.map_or_else(|e| format!("no answer ({e})"), |a| a.status.to_string());
        let ms = took.as_millis();
        if text != "200" || took > ROUTE_TIMEOUT {
            record.line(&format!(
                "client at daemon {daemon}: {id}: {text} after {ms} ms"
            ));
        }
        if text != "200" {
            // The balancer gives a new channel to a daemon that is ready.
            channel = None;
        }
    }
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let is_armed = Arc::new(AtomicBool::new(false));
    let wanted: Vec<Wanted> = vec![
        ("app", 0, 8, plain(&is_armed)),
        ("app", 1, 8, plain(&is_armed)),
        ("app", 2, 8, plain(&is_armed)),
    ];
    let once = ",\"timeout_ms\":2000,\"target_latency_ms\":300,\"max_attempts\":1";
    let routes = [fleet::route(
        "topup",
        "/topup/",
        "non_idempotent",
        "app",
        once,
    )];
    let manifest = fleet::manifest(1, &routes, &["app"]);
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let fleet = Arc::new(Mutex::new(fleet));
    let counts: Vec<Arc<Counts>> = daemons.iter().map(|_| Arc::default()).collect();
    let (started, mut threads) = (Instant::now(), Vec::new());
    for n in 0..CLIENTS * daemons.len() {
        let daemon = n % daemons.len();
        let (record, fleet) = (record.clone(), Arc::clone(&fleet));
        let counts = Arc::clone(&counts[daemon]);
        let until = started + TIME;
        threads.push(thread::spawn(move || {
            client(&record, &fleet, daemon, &counts, until)
        }));
    }
    thread::sleep(CALM);
    is_armed.store(has_trouble, Ordering::SeqCst);
    let mut misses = vec![0; daemons.len()];
    while started.elapsed() < TIME {
        for (n, misses) in misses.iter_mut().enumerate() {
            let is_ready = fleet.lock().expect("no thread panics").daemons[n].is_ready();
            if !is_ready {
                *misses += 1;
                record.line(&format!(
                    "balancer: daemon {n} does not answer whether it is ready"
                ));
            }
        }
        thread::sleep(Duration::from_secs(1));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count = |counts: &AtomicU32| counts.load(Ordering::SeqCst);
    for (n, counts) in counts.iter().enumerate() {
        record.say(&format!(
            "daemon {n}: {} requests, {} unanswered at the route's timeout of {} ms, {} of them \
             half a second later; {} readiness checks without an answer",
            count(&counts.all),
            count(&counts.at_timeout),
            ROUTE_TIMEOUT.as_millis(),
            count(&counts.later),
            misses[n]
        ));
    }
    let at_timeout: u32 = counts.iter().map(|counts| count(&counts.at_timeout)).sum();
    let later: u32 = counts.iter().map(|counts| count(&counts.later)).sum();
    record.say(&format!(
        "CONFIG: {at_timeout} unanswered at the timeout, {later} half a second later"
    ));
    Ok(later * 2 > at_timeout)
}
