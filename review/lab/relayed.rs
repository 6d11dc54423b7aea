//! Answers without a length that are reset on their way through a relay.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, Wanted};
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, SPOILING_TIME, Spoiler, Then};
use crate::sys::Random;

/// Time before the cut, of the cut, and after it.
const PHASES: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(12),
    Duration::from_secs(4),
];

/// Starts of the times in which replicas break off answers.
const SPOILED_FROM: [Duration; 2] = [Duration::from_millis(4300), Duration::from_millis(10_000)];

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(16);

/// Requests between two batch jobs.
const REQUESTS_PER_JOB: u32 = 20;

const ITEMS_PER_JOB: usize = 20;

const EVENTS: u64 = 10;

/// Body of an answer to a request.
fn body_of(id: &str) -> String {
    (0..100).map(|n| format!("{id} line {n}\n")).collect()
}

/// Replica that answers with a body without a length, which ends with the connection.
fn plain(spoils: bool) -> Arc<Behaviour> {
    let spoiler = Spoiler::new(spoils);
    Arc::new(move |call: &mut Call| {
        call.pause(Duration::from_millis(15));
        let body = body_of(&call.id());
        call.head("Connection: close\r\n")?;
        if spoiler.next() {
            call.stream.write_all(&body.as_bytes()[..body.len() / 2])?;
            call.pause(Duration::from_millis(20));
            call.note("ran; its answer is reset after half of the body");
            return Ok(Then::Reset);
        }
        call.stream.write_all(body.as_bytes())?;
        Ok(Then::Close)
    })
}

/// Replica that answers with events without a length.
fn events(spoils: bool) -> Arc<Behaviour> {
    let spoiler = Spoiler::new(spoils);
    Arc::new(move |call: &mut Call| {
        let (id, after) = (call.id(), call.last_event());
        call.head("Content-Type: text/event-stream\r\nConnection: close\r\n")?;
        let is_spoiled = spoiler.next();
        for event in after + 1..=EVENTS {
            if !call.pause(Duration::from_millis(20)) {
                call.note(&format!(
                    "was broken off by the other side before event {event}"
                ));
                return Ok(Then::Reset);
            }
            if is_spoiled && event == EVENTS / 2 + 1 {
                call.note(&format!("ran; its answer is reset before event {event}"));
                return Ok(Then::Reset);
            }
            call.stream.write_all(jobs::event(&id, event).as_bytes())?;
        }
        Ok(Then::Close)
    })
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let wanted: Vec<Wanted> = vec![
        ("plain", 0, 8, plain(true)),
        ("plain", 1, 8, plain(true)),
        ("plain", 2, 8, plain(false)),
        ("plain", 0, 8, plain(false)),
        ("lm", 0, 8, events(true)),
        ("lm", 1, 8, events(true)),
        ("lm", 2, 8, events(false)),
        ("lm", 0, 8, events(false)),
    ];
    let once = ",\"timeout_ms\":4000,\"target_latency_ms\":300,\"max_attempts\":2";
    let routes = [
        fleet::route("plain", "/plain/", "idempotent", "plain", once),
        fleet::route("lots", "/lots/", "batch", "lm", BATCH),
    ];
    let manifest = fleet::manifest(1, &routes, &["plain", "lm"]);
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let broken = Arc::new(Mutex::new(Vec::new()));
    let mut random = Random::new();
    let (mut threads, mut lots) = (Vec::new(), Vec::new());
    let started = Instant::now();
    let mut is_cut = false;
    let end: Duration = PHASES.iter().sum();
    for n in 0_u32.. {
        let at = started.elapsed();
        if at >= end {
            break;
        }
        let wants_cut = has_trouble && at >= PHASES[0] && at < PHASES[0] + PHASES[1];
        if wants_cut != is_cut {
            fleet.set_stranded(0, wants_cut);
            is_cut = wants_cut;
        }
        let is_spoiling = |from: &Duration| at >= *from && at < *from + SPOILING_TIME;
        Spoiler::set_active(SPOILED_FROM.iter().any(is_spoiling));
        if n.is_multiple_of(REQUESTS_PER_JOB) {
            let lot = jobs::Lot::draw(&mut random, "/lots/", ITEMS_PER_JOB);
            let daemon = daemons[(n / REQUESTS_PER_JOB) as usize % daemons.len()];
            jobs::submit(record, daemon, &lot);
            lots.push(lot);
        }
        let (record, broken) = (record.clone(), Arc::clone(&broken));
        let (id, daemon) = (random.id(), daemons[0]);
        threads.push(thread::spawn(move || {
            let headers = [("Attempt-Id", id.as_str()), ("Deadline-Ms", "4000")];
            let call = ("POST", "/plain/run");
            let timeout = Duration::from_millis(4000);
            let answer = fleet::send(daemon, call, &headers, b"x", timeout);
            let text = match &answer {
                Ok(answer) if answer.status == 200 && answer.is_complete => {
                    if answer.body == body_of(&id).as_bytes() {
                        "200, the whole body".to_owned()
                    } else {
                        let (got, all) = (answer.body.len(), body_of(&id).len());
                        let text = format!("200, framed as complete, {got} of {all} bytes");
                        broken
                            .lock()
                            .expect("no thread panics")
                            .push(format!("{id}: {text}"));
                        text
                    }
                }
                Ok(answer) => format!("{}, complete: {}", answer.status, answer.is_complete),
                Err(e) => format!("no answer: {e}"),
            };
            record.line(&format!("client at daemon 0: {id}: {text}"));
        }));
        let next = INTERVAL * (n + 1);
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut broken = broken.lock().expect("no thread panics").clone();
    for results in jobs::read_all(record, &daemons, &lots, Duration::from_secs(18)) {
        for (item, state, output) in &results {
            let whole = jobs::output(item, EVENTS);
            if state == "completed" && *output != whole {
                let (got, all) = (output.lines().count(), EVENTS);
                broken.push(format!("item {item}: completed with {got} of {all} events"));
            }
        }
    }
    record.say(&format!(
        "MIXED: {} answers or results are cut off and look complete",
        broken.len()
    ));
    for text in &broken {
        record.say(&format!("  {text}"));
    }
    Ok(!broken.is_empty())
}
