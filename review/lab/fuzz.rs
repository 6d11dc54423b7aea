//! Many kinds of wrong answers at once.
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, BATCH, Fleet, Wanted};
use crate::http;
use crate::jobs;
use crate::record::Record;
use crate::replica::{Behaviour, Call, Then};
use crate::sys::Random;

const EVENTS: u64 = 12;

type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

fn body_of(id: &str) -> String {
    (0..50).map(|n| format!("{id} line {n}\n")).collect()
}

fn garbage(random: &mut Random, n: usize) -> Vec<u8> {
    (0..n).map(|_| (random.next() >> 20) as u8).filter(|b| *b != b'\n').collect()
}

fn behaviour(runs: Runs, kind: &'static str, bad: bool) -> Arc<Behaviour> {
    let late: Mutex<HashMap<u16, Vec<u8>>> = Mutex::default();
    let random = Mutex::new(Random::new());
    Arc::new(move |call: &mut Call| {
        let port = call.stream.peer_addr().map_or(0, |a| a.port());
        if let Some(copy) = late.lock().unwrap().remove(&port) {
            call.stream.write_all(&copy)?;
        }
        let r = { let mut g = random.lock().unwrap(); g.next() };
        if call.request.path() == "/bitterncart/hold-take" {
            let body = format!("{{\"hold\":\"h{r:x}\"}}");
            http::respond(&mut call.stream, 200, &[("Content-Type","application/json")], body.as_bytes())?;
            return Ok(Then::Keep);
        }
        let (id, after) = (call.id(), call.last_event());
        let pick = if bad { (r >> 8) % 100 } else { 99 };
        let framing = if std::env::var("FUZZ").is_ok_and(|f| f.contains("strand")) { ((r >> 20) % 2) * if kind == "plain" { 1 } else { 0 } } else { (r >> 20) % 3 };
        let name = call.replica.id.clone();
        // not run at all
        if pick == 0 {
            http::respond(&mut call.stream, 503, &[("Not-Executed", "1")], b"")?;
            return Ok(Then::Keep);
        }
        if pick == 1 { return Ok(Then::Reset); } // before anything ran? counts as not run here
        runs.lock().unwrap().entry(id.clone()).or_default().push(format!("{name} pick {pick} framing {framing} after {after}"));
        let garb = { let mut g = random.lock().unwrap(); garbage(&mut g, 300) };
        match pick {
            2 => { call.stream.write_all(&garb)?; call.pause(Duration::from_millis(10)); return Ok(Then::Close); }
            3 => { return Ok(Then::Reset); }
            4 => { http::respond(&mut call.stream, 500, &[("Attempt-Id", &id), ("Response-Signature", &format!("{name}.{id}"))], b"no")?; return Ok(Then::Keep); }
            5 => { http::respond(&mut call.stream, 200, &[("Attempt-Id", &id)], b"unsigned")?; return Ok(Then::Keep); }
            6 => { http::respond(&mut call.stream, 200, &[("Attempt-Id", "0123456789abcdef"), ("Response-Signature", "x.y")], b"other")?; return Ok(Then::Keep); }
            7 => { call.pause(Duration::from_millis(2200)); return Ok(Then::Close); }
            _ => {}
        }
        let more = match framing { 0 => "Transfer-Encoding: chunked\r\n", _ => "Connection: close\r\n" };
        if kind == "plain" {
            let body = body_of(&id);
            call.pause(Duration::from_millis(10));
            if framing == 1 {
                let head = format!("Content-Length: {}\r\n", body.len());
                call.head(&head)?;
                let cut = if pick == 8 { body.len() / 2 } else { body.len() };
                call.stream.write_all(&body.as_bytes()[..cut])?;
                if pick == 8 { return Ok(if r & 1 == 0 { Then::Close } else { Then::Reset }); }
            } else {
                call.head(more)?;
                let cut = if pick == 8 { body.len() / 2 } else { body.len() };
                if framing == 0 {
                    call.stream.write_all(&chunk(&body.as_bytes()[..cut]))?;
                    if pick == 8 { return Ok(if r & 1 == 0 { Then::Close } else { Then::Reset }); }
                    call.stream.write_all(b"0\r\n\r\n")?;
                } else {
                    call.stream.write_all(&body.as_bytes()[..cut])?;
                    if pick == 8 { call.pause(Duration::from_millis(10)); return Ok(Then::Reset); }
                    return Ok(Then::Close);
                }
            }
            let copy = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {name}.{id}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if pick == 9 { call.stream.write_all(copy.as_bytes())?; }
            if pick == 10 { call.stream.write_all(&garb)?; }
            if pick == 11 || pick == 12 { late.lock().unwrap().insert(port, copy.into_bytes()); }
            return Ok(Then::Keep);
        }
        call.head(&format!("Content-Type: text/event-stream\r\n{more}"))?;
        let stop = if (8..=14).contains(&pick) { after + 1 + (r >> 30) % EVENTS } else { u64::MAX };
        for event in after + 1..=EVENTS {
            if !call.pause(Duration::from_millis(15)) { return Ok(Then::Close); }
            let text = jobs::event(&id, event);
            if event == stop {
                match pick {
                    8 | 13 => return Ok(Then::Reset),
                    9 => { call.stream.write_all(&garb)?; return Ok(Then::Reset); }
                    10 => { if framing == 0 { call.stream.write_all(&chunk(&text.as_bytes()[..text.len()/2]))?; } else { call.stream.write_all(&text.as_bytes()[..text.len()/2])?; } return Ok(if framing == 0 && r & 1 == 0 { Then::Close } else { call.pause(Duration::from_millis(5)); Then::Reset }); }
                    11 => { call.pause(Duration::from_millis(1900)); }
                    12 if framing == 0 => { return Ok(Then::Close); }
                    14 => { call.pause(Duration::from_millis(1000)); }
                    _ => {}
                }
            }
            let piece = if framing == 0 { chunk(text.as_bytes()) } else { text.into_bytes() };
            // in two writes
            let half = piece.len() / 2;
            call.stream.write_all(&piece[..half])?;
            if r & 2 == 0 { call.pause(Duration::from_millis(2)); }
            call.stream.write_all(&piece[half..])?;
        }
        if framing == 0 {
            call.stream.write_all(b"0\r\n\r\n")?;
            if pick == 15 || pick == 16 {
                let all: String = (1..=EVENTS).map(|e| jobs::event(&id, e)).collect();
                let copy = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {name}.{id}\r\nContent-Length: {}\r\n\r\n{all}", all.len());
                if pick == 15 { call.stream.write_all(copy.as_bytes())?; } else { late.lock().unwrap().insert(port, copy.into_bytes()); }
            }
            return Ok(Then::Keep);
        }
        Ok(Then::Close)
    })
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let runs: Runs = Arc::default();
    let mut wanted: Vec<Wanted> = Vec::new();
    for n in 0..4 { wanted.push(("plain", n % 3, 8, behaviour(Arc::clone(&runs), "plain", has_trouble))); }
    for n in 0..6 { wanted.push(("lm", n % 3, 12, behaviour(Arc::clone(&runs), "lm", has_trouble))); }
    let f = ",\"timeout_ms\":5000,\"target_latency_ms\":300,\"max_attempts\":2";
    let routes = [
        fleet::route("plain", "/plain/", "idempotent", "plain", f),
        fleet::route("once", "/once/", "non_idempotent", "plain", f),
        fleet::route("ask", "/ask/", "streaming", "lm", &format!("{f},\"resumable\":true,\"gap_aim_ms\":400")),
        fleet::route("one", "/one/", "streaming", "lm", &format!("{f},\"resumable\":false,\"gap_aim_ms\":400")),
        fleet::route("lots", "/lots/", "batch", "lm", BATCH),
    ];
    let mut manifest = fleet::manifest(1, &routes, &["plain", "lm"]);
    manifest = manifest.replace("\"name\":\"lm\",\"health_path\"", "\"name\":\"lm\",\"engine\":{\"slots\":8,\"hold_ms\":2000.0},\"health_path\"");
    let fleet = Fleet::start(record, &wanted, &manifest)?;
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::clients).collect();
    let bad: Arc<Mutex<Vec<String>>> = Arc::default();
    let ends: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let mut random = Random::new();
    let (mut threads, mut lots) = (Vec::new(), Vec::new());
    let started = Instant::now();
    let mut fleet = fleet;
    let mode = std::env::var("FUZZ").unwrap_or_default();
    let (mut step, mut state) = (0_u64, 0_usize);
    for n in 0_u32.. {
        let phase = started.elapsed().as_millis() as u64 / 3500;
        if phase > step && started.elapsed() < Duration::from_secs(56) {
            step = phase;
            let modes: Vec<&str> = mode.split(',').filter(|m| !m.is_empty()).collect();
            if !modes.is_empty() {
                let m = modes[(random.next() >> 9) as usize % modes.len()];
                if step % 2 == 1 {
                    state = (random.next() >> 11) as usize % 3;
                    match m {
                        "strand" => fleet.set_stranded(state, true),
                        "store" => fleet.set_cut_from_store(state, true),
                        "outage" => for d in 0..3 { fleet.set_cut_from_store(d, true) },
                        "stop" => fleet.daemons[state].signal(crate::sys::SIGSTOP),
                        "kill" => { fleet.daemons[state].kill(); record.say(&format!("kill {state}")); }
                        "term" => { fleet.daemons[state].signal(crate::sys::SIGTERM); record.say(&format!("term {state}")); }
                        "killall" => { for d in &mut fleet.daemons { d.kill(); } }
                        _ => {}
                    }
                    record.say(&format!("trouble {m} {state}"));
                } else {
                    record.say("calm");
                    for d in 0..3 { fleet.set_stranded(d, false); fleet.set_cut_from_store(d, false); fleet.daemons[d].signal(crate::sys::SIGCONT); if !fleet.daemons[d].is_running() { fleet.daemons[d].restart(); } }
                }
            }
        }
        if started.elapsed() >= Duration::from_secs(60) { break; }
        let daemon = daemons[n as usize % 3];
        if n % 60 == 0 {
            let lot = jobs::Lot::draw(&mut random, "/lots/", 15);
            let first = jobs::submit(record, daemon, &lot);
            if first == "202" { lots.push(lot); }
        }
        let route = ["plain", "once", "ask", "one"][(n / 3 % 4) as usize];
        let (id, runs, bad, ends, record) = (random.id(), Arc::clone(&runs), Arc::clone(&bad), Arc::clone(&ends), record.clone());
        threads.push(thread::spawn(move || {
            let headers = [("Attempt-Id", id.as_str()), ("Deadline-Ms", "5000"), ("Token-Counts", "10,10"), ("Prompt-Prefix", "aa:1,bb:2")];
            let target = format!("/{route}/run");
            let answer = fleet::send(daemon, ("POST", &target), &headers, b"xyz", Duration::from_secs(6));
            let text = match &answer {
                Ok(a) => format!("{route} {} complete {}", a.status, a.is_complete),
                Err(e) => format!("{route} err {:?}", e.kind()),
            };
            *ends.lock().unwrap().entry(text.clone()).or_default() += 1;
            thread::sleep(Duration::from_millis(500));
            let ran = runs.lock().unwrap().get(&id).cloned().unwrap_or_default();
            let mut why = Vec::new();
            if let Ok(a) = &answer {
                if a.status == 200 && a.is_complete {
                    let whole = if route == "plain" || route == "once" { body_of(&id) } else { (1..=EVENTS).map(|e| jobs::event(&id, e)).collect() };
                    if a.body != whole.as_bytes() { why.push(format!("MIXED {} of {} bytes", a.body.len(), whole.len())); }
                    if a.header("attempt-id") != Some(&id) { why.push("MIXED id".into()); }
                }
                let once = route == "once" || route == "one";
                if once && [429, 503, 408, 421].contains(&a.status) && !ran.is_empty() { why.push("REFUSED".into()); }
                if once && ran.len() > 1 { why.push("TWICE".into()); }
            }
            if (route == "once" || route == "one") && ran.len() > 1 { why.push("TWICE".into()); }
            if !why.is_empty() {
                let text = format!("{route} {id}: {} {:?} runs {ran:?}", text, why);
                record.line(&text);
                bad.lock().unwrap().push(text);
            }
        }));
        thread::sleep(Duration::from_millis(8));
    }
    for t in threads { let _ = t.join(); }
    for d in 0..3 { fleet.set_stranded(d, false); fleet.set_cut_from_store(d, false); fleet.daemons[d].signal(crate::sys::SIGCONT); if !fleet.daemons[d].is_running() { fleet.daemons[d].restart(); } }
    let mut all = bad.lock().unwrap().clone();
    for (lot, results) in lots.iter().zip(jobs::read_all(record, &daemons, &lots, Duration::from_secs(30))) {
        if results.len() < lot.items.len() { all.push(format!("LOST job {} {} of {}", lot.id, results.len(), lot.items.len())); }
        for (item, state, output) in &results {
            if (state == "completed" && *output != jobs::output(item, EVENTS)) || state != "completed" {
                let ran = runs.lock().unwrap().get(item).cloned().unwrap_or_default();
                all.push(format!("item {item} {state} {} lines {ran:?}", output.lines().count()));
            }
        }
    }
    let mut e: Vec<_> = ends.lock().unwrap().clone().into_iter().collect(); e.sort();
    for (k, v) in e { record.say(&format!("{v:>6} {k}")); }
    record.say(&format!("{} bad", all.len()));
    for t in &all { record.say(&format!("  {t}")); }
    let _ = io::stdout().flush();
    Ok(!all.is_empty())
}
