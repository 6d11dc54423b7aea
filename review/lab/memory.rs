//! The answer to one item goes on without end.

use std::collections::HashSet;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, HOST, Wanted};
use crate::http::{self, Channel, Request};
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, Then};
use crate::sys::Random;

/// Memory of a process on the site, beyond which the platform kills it (`memory_mb`).
const MEMORY_KB: u64 = 130 << 10;

/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Time before the job, and in all.
const CALM: Duration = Duration::from_secs(3);
const TIME: Duration = Duration::from_secs(15);

/// Time for which the replica goes on, unless the caller closes before.
const LONGEST: Duration = Duration::from_secs(10);

/// Rate of a link of 1000 Mbit/s.
const LINK_BYTES_PER_S: f64 = 125e6;

/// Clients of each daemon, each with a channel that it keeps.
const CLIENTS: usize = 12;

/// Work of a request at a replica, and time between two requests of a client.
const WORK: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(30);

/// Time that clients wait.
const DEADLINE: Duration = Duration::from_millis(4000);

/// Closed channels that break the rule.
const MAX_CLOSED: u32 = 3;

/// Events of an item.
const EVENTS: u64 = 20;

/// Bytes of each event behind the last one of an item.
const EXTRA_BYTES: usize = 16_000;

/// Replica that runs items. The first answer after `is_armed` is set has no end.
fn events(is_armed: &Arc<AtomicBool>) -> Arc<Behaviour> {
    let is_armed = Arc::clone(is_armed);
    Arc::new(move |call: &mut Call| {
        let (id, after) = (call.id(), call.last_event());
        call.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")?;
        for event in after + 1..=EVENTS {
            if !call.pause(Duration::from_millis(15)) {
                return Ok(Then::Close);
            }
            call.stream
                .write_all(&http::chunk(jobs::event(&id, event).as_bytes()))?;
        }
        if is_armed.swap(false, Ordering::SeqCst) {
            return endless(call);
        }
        call.stream.write_all(b"0\r\n\r\n")?;
        Ok(Then::Keep)
    })
}

/// Sends further events behind the last one until the caller closes, not faster than a
/// link takes them.
fn endless(call: &mut Call) -> std::io::Result<Then> {
    call.note(&format!(
        "ran all {EVENTS} events, then further bytes without end"
    ));
    let data = "x".repeat(EXTRA_BYTES);
    let (begun, mut sent) = (Instant::now(), 0);
    for event in EVENTS + 1.. {
        if begun.elapsed() >= LONGEST {
            break;
        }
        let bytes = http::chunk(format!("id: {event}\ndata: {data}\n\n").as_bytes());
        if call.stream.write_all(&bytes).is_err() {
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

/// Requests that replicas ran.
type Ran = Arc<Mutex<HashSet<String>>>;

/// Replica of a plain service.
fn plain(ran: &Ran) -> Arc<Behaviour> {
    let ran = Arc::clone(ran);
    Arc::new(move |call: &mut Call| {
        let id = call.id();
        ran.lock().expect("no thread panics").insert(id.clone());
        thread::sleep(WORK);
        let signature = format!("{}.{id}", call.replica.id);
        let headers = [
            ("Attempt-Id", id.as_str()),
            ("Response-Signature", signature.as_str()),
        ];
        http::respond(&mut call.stream, 200, &headers, b"done")?;
        Ok(Then::Keep)
    })
}

/// What the clients count.
#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    /// Channels that were closed without an answer, the request being at a replica.
    closed: AtomicU32,
}

/// Client that keeps its channel until it is closed.
fn client(record: &Record, (n, mut channel): (usize, Channel), counts: &Counts, ran: &Ran) {
    let mut random = Random::new();
    let started = Instant::now();
    while started.elapsed() < TIME {
        thread::sleep(PAUSE);
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
        let error = match channel.exchange(&request, DEADLINE) {
            Ok(_) => {
                counts.answered.fetch_add(1, Ordering::SeqCst);
                continue;
            }
            Err(error) => error,
        };
        let was_passed_on = ran.lock().expect("no thread panics").contains(&id);
        counts
            .closed
            .fetch_add(u32::from(was_passed_on), Ordering::SeqCst);
        let at = if was_passed_on {
            "at a replica"
        } else {
            "not passed on"
        };
        record.line(&format!(
            "client at daemon {n}: {id}: no answer ({error}), {at}"
        ));
        return;
    }
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let is_armed = Arc::new(AtomicBool::new(false));
    let ran = Ran::default();
    let mut wanted: Vec<Wanted> = Vec::new();
    for zone in 0..3 {
        wanted.push(("lm", zone, 8, events(&is_armed)));
        wanted.push(("app", zone, 16, plain(&ran)));
    }
    let once = ",\"timeout_ms\":4000,\"target_latency_ms\":300,\"max_attempts\":1";
    let routes = [
        fleet::route("topup", "/topup/", "non_idempotent", "app", once),
        fleet::route("lots", "/lots/", "batch", "lm", BATCH),
    ];
    let manifest = fleet::manifest(1, &routes, &["lm", "app"]);
    let mut fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let counts: Arc<Counts> = Arc::default();
    let (started, mut threads) = (Instant::now(), Vec::new());
    for n in (0..daemons.len()).flat_map(|n| [n; CLIENTS]) {
        let channel = Channel::open(daemons[n], Duration::from_secs(1));
        let channel = channel.map_err(|e| format!("no channel: {e}"))?;
        let (record, counts, ran) = (record.clone(), Arc::clone(&counts), Arc::clone(&ran));
        threads.push(thread::spawn(move || {
            client(&record, (n, channel), &counts, &ran)
        }));
    }
    thread::sleep(CALM);
    is_armed.store(has_trouble, Ordering::SeqCst);
    let lot = jobs::Lot::draw(&mut Random::new(), "/lots/", 3);
    if jobs::submit(record, daemons[1], &lot) != "202" {
        return Err("the job is not accepted".into());
    }
    let mut kills = 0;
    while started.elapsed() < TIME {
        for (n, daemon) in fleet.daemons.iter_mut().enumerate() {
            let memory_kb = daemon.memory_kb();
            if memory_kb > MEMORY_KB {
                daemon.kill();
                kills += 1;
                let mb = memory_kb >> 10;
                record.say(&format!("platform: daemon {n} has {mb} MB and is killed"));
                thread::sleep(RESTART_DELAY);
                daemon.spawn();
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let count = |counts: &AtomicU32| counts.load(Ordering::SeqCst);
    let closed = count(&counts.closed);
    let answered = count(&counts.answered);
    record.say(&format!(
        "LOST: {kills} processes over their memory; {answered} requests answered, {closed} channels \
         closed without an answer to a request that was at a sound replica"
    ));
    Ok(closed > MAX_CLOSED)
}
