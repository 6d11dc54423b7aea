//! Wrong bytes in the midst of an event stream.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, Wanted};
use crate::http::{self, Response};
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, SPOILING_TIME, Spoiler, Then};
use crate::sys::Random;

/// Random bytes in a spoiled answer, after which it is broken off.
const SPOILED_BYTES: usize = 256 << 10;

/// Time for which clients send.
const TIME: Duration = Duration::from_secs(15);

/// Starts of the times in which replicas spoil answers.
const SPOILED_FROM: [Duration; 2] = [Duration::from_millis(2000), Duration::from_millis(8500)];

/// Time between two streams.
const INTERVAL: Duration = Duration::from_millis(25);

/// Streams between two batch jobs.
const STREAMS_PER_JOB: u32 = 20;

const ITEMS_PER_JOB: usize = 20;

const EVENTS: u64 = 20;

/// Event after which an answer is spoiled.
const SPOILED_AFTER: u64 = 5;

/// Bytes that are no events: random ones, the same in each run.
fn wrong_bytes() -> Vec<u8> {
    let mut random = Random::with_seed(0x9e37_79b9_7f4a_7c15);
    let words = (0..SPOILED_BYTES / 8).map(|_| random.next().to_be_bytes());
    words.flatten().collect()
}

/// Replica that answers with events in chunks.
fn events(spoils: bool) -> Arc<Behaviour> {
    let spoiler = Spoiler::new(spoils);
    Arc::new(move |call: &mut Call| {
        let (id, after) = (call.id(), call.last_event());
        call.head("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")?;
        let is_spoiled = spoiler.next();
        if after > 0 {
            call.note(&format!("goes on after event {after}"));
        }
        for event in after + 1..=EVENTS {
            if !call.pause(Duration::from_millis(15)) {
                call.note(&format!("was ended by the other side before event {event}"));
                return Ok(Then::Close);
            }
            if is_spoiled && event == SPOILED_AFTER + 1 {
                call.note(&format!(
                    "ran up to event {SPOILED_AFTER}, then wrong bytes and a reset"
                ));
                for bytes in wrong_bytes().chunks(4096) {
                    call.stream.write_all(&http::chunk(bytes))?;
                }
                call.pause(Duration::from_millis(50));
                return Ok(Then::Reset);
            }
            call.stream
                .write_all(&http::chunk(jobs::event(&id, event).as_bytes()))?;
        }
        call.stream.write_all(b"0\r\n\r\n")?;
        Ok(Then::Keep)
    })
}

/// What is wrong with a stream that ended as complete, if anything.
fn fault(id: &str, answer: &Response) -> Option<String> {
    let whole: String = (1..=EVENTS).map(|event| jobs::event(id, event)).collect();
    if !answer.is_complete || answer.status != 200 || answer.body == whole.as_bytes() {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body);
    let missing = (1..=EVENTS).filter(|event| !text.contains(&jobs::event(id, *event)));
    let missing: Vec<String> = missing.map(|event| event.to_string()).collect();
    let extra = answer.body.len() as i64 - whole.len() as i64;
    Some(format!(
        "ended as complete; events missing: {}; {extra} bytes more than the whole stream",
        missing.join(" ")
    ))
}

/// Runs the case; whether the rule was broken.
pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let wanted: Vec<Wanted> = vec![
        ("lm", 0, 8, events(true)),
        ("lm", 1, 8, events(true)),
        ("lm", 2, 8, events(false)),
        ("lm", 0, 8, events(false)),
    ];
    let stream = ",\"timeout_ms\":5000,\"target_latency_ms\":300,\"max_attempts\":2,\
                  \"resumable\":true,\"sticky\":true,\"gap_aim_ms\":400";
    let routes = [
        fleet::route("ask", "/ask/", "streaming", "lm", stream),
        fleet::route("lots", "/lots/", "batch", "lm", BATCH),
    ];
    let manifest = fleet::manifest(1, &routes, &["lm"]);
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let faults: Arc<Mutex<Vec<String>>> = Arc::default();
    let counts: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut random = Random::new();
    let (mut threads, mut lots) = (Vec::new(), Vec::new());
    let started = Instant::now();
    for n in 0_u32.. {
        let at = started.elapsed();
        if at >= TIME {
            break;
        }
        let is_spoiling = |from: &Duration| at >= *from && at < *from + SPOILING_TIME;
        Spoiler::set_active(has_trouble && SPOILED_FROM.iter().any(is_spoiling));
        let daemon = daemons[n as usize % daemons.len()];
        if n.is_multiple_of(STREAMS_PER_JOB) {
            let lot = jobs::Lot::draw(&mut random, "/lots/", ITEMS_PER_JOB);
            jobs::submit(record, daemon, &lot);
            lots.push(lot);
        }
        let (record, id) = (record.clone(), random.id());
        let (faults, counts) = (Arc::clone(&faults), Arc::clone(&counts));
        threads.push(thread::spawn(move || {
            let prompt = format!("9c2e41:300,{id}:240");
            let headers = [
                ("Attempt-Id", id.as_str()),
                ("Deadline-Ms", "5000"),
                ("Model", "m"),
                ("Token-Counts", "540,40"),
                ("Prompt-Prefix", prompt.as_str()),
            ];
            let call = ("POST", "/ask/run");
            let answer = fleet::send(daemon, call, &headers, b"x", Duration::from_secs(5));
            let text = match &answer {
                Ok(answer) => match fault(&id, answer) {
                    Some(fault) => {
                        let text = format!("stream {id}: {fault}");
                        faults.lock().expect("no thread panics").push(text);
                        fault
                    }
                    None => format!("{}, complete: {}", answer.status, answer.is_complete),
                },
                Err(e) => format!("no answer: {e}"),
            };
            record.line(&format!("client at {daemon}: {id}: {text}"));
            *counts
                .lock()
                .expect("no thread panics")
                .entry(text)
                .or_default() += 1;
        }));
        let next = INTERVAL * (n + 1);
        thread::sleep(next.saturating_sub(started.elapsed()));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let mut faults = faults.lock().expect("no thread panics").clone();
    for results in jobs::read_all(record, &daemons, &lots, Duration::from_secs(18)) {
        for (item, state, output) in &results {
            if state == "completed" && *output != jobs::output(item, EVENTS) {
                let lines: Vec<&str> = output.split('\n').collect();
                let empty = lines.iter().filter(|line| line.is_empty()).count();
                faults.push(format!(
                    "item {item}: completed with {} events and {empty} empty lines, \
                     {EVENTS} events are whole",
                    lines.len() - empty
                ));
            }
        }
    }
    record.say(&format!(
        "{} streams or results are wrong and look complete",
        faults.len()
    ));
    for text in &faults {
        record.say(&format!("  {text}"));
    }
    Ok(!faults.is_empty())
}
