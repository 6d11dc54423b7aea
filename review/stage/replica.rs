//! Stand-in of a model replica, as a process of its own: `stage replica NAME=VALUE...`.
//!
//! It writes its entry to the store at once and every 1.2 s, runs a request only if it is the
//! instance that is expected, and answers it with an event stream or with a plain body. Each line
//! of its record is written before what it tells of.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::store::{self, Record};

/// Version of the weights of all replicas.
const WEIGHTS: &str = "1";

const HEARTBEAT: Duration = Duration::from_millis(1200);

pub fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub record: String,
    pub slots: u64,
    /// Events of a stream, and time between two of them.
    pub events: u64,
    pub gap_ms: u64,
    /// Whether its streams end with their channel, with neither a length nor chunks.
    pub unframed: bool,
    /// State in its entry: `ready`, or `draining` after this time.
    pub drains_after_ms: u64,
}

impl Options {
    pub fn arguments(&self) -> Vec<String> {
        let pairs = [
            ("id", self.id.clone()),
            ("service", self.service.clone()),
            ("version", self.version.clone()),
            ("zone", self.zone.clone()),
            ("address", self.address.to_string()),
            ("store", self.store.to_string()),
            ("record", self.record.clone()),
            ("slots", self.slots.to_string()),
            ("events", self.events.to_string()),
            ("gap_ms", self.gap_ms.to_string()),
            ("unframed", self.unframed.to_string()),
            ("drains_after_ms", self.drains_after_ms.to_string()),
        ];
        pairs.iter().map(|(name, value)| format!("{name}={value}")).collect()
    }

    pub fn parse(arguments: impl Iterator<Item = String>) -> Option<Self> {
        let pairs = arguments.filter_map(|a| a.split_once('=').map(|(n, v)| (n.into(), v.into())));
        let pairs: HashMap<String, String> = pairs.collect();
        let text = |name: &str| pairs.get(name).cloned();
        Some(Self {
            id: text("id")?,
            service: text("service")?,
            version: text("version")?,
            zone: text("zone")?,
            address: text("address")?.parse().ok()?,
            store: text("store")?.parse().ok()?,
            record: text("record")?,
            slots: text("slots")?.parse().ok()?,
            events: text("events")?.parse().ok()?,
            gap_ms: text("gap_ms")?.parse().ok()?,
            unframed: text("unframed")?.parse().ok()?,
            drains_after_ms: text("drains_after_ms")?.parse().ok()?,
        })
    }
}

struct Replica {
    options: Options,
    born: u64,
    record: Mutex<File>,
    running: AtomicU64,
}

pub fn run(options: Options) -> io::Result<()> {
    let record = File::options().create(true).append(true).open(&options.record)?;
    let listener = TcpListener::bind(options.address)?;
    let replica = Arc::new(Replica {
        options,
        born: wall_ms(),
        record: Mutex::new(record),
        running: AtomicU64::new(0),
    });
    replica.note("started", "-");
    let writing = Arc::clone(&replica);
    thread::spawn(move || writing.write_entries());
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || replica.serve(stream));
    }
    Ok(())
}

impl Replica {
    fn note(&self, what: &str, id: &str) {
        let Options { id: name, version, service, .. } = &self.options;
        let line = format!("{} {name} {service} {version} {what} {id}\n", wall_ms());
        if let Ok(mut record) = self.record.lock() {
            let _ = record.write_all(line.as_bytes());
        }
    }

    fn write_entries(&self) {
        let o = &self.options;
        let mut told = false;
        for seq in 0.. {
            let is_draining = o.drains_after_ms > 0 && wall_ms() >= self.born + o.drains_after_ms;
            let state = if is_draining { "draining" } else { "ready" };
            let value = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
                 \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{}}}",
                o.service, o.address, o.zone, o.version, o.slots, self.born
            );
            let record = Record { key: o.id.clone(), value: value.into_bytes() };
            let message = http::request(
                "POST",
                "/bitterncart/log-append?topic=keyed.servers&part=0",
                &[("Host", "store")],
                &store::encode(&[record]),
            );
            let answer = http::call(o.store, &message, HEARTBEAT, |_| {});
            if is_draining && !told && answer.is_some_and(|answer| answer.status == 200) {
                told = true;
                self.note("draining-acknowledged", "-");
            }
            let mut pause = HEARTBEAT;
            if o.drains_after_ms > 0 && !is_draining {
                let left = (self.born + o.drains_after_ms).saturating_sub(wall_ms());
                pause = pause.min(Duration::from_millis(left));
            }
            thread::sleep(pause);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            match self.answer(&request, &mut writer) {
                Ok(true) => {}
                _ => return,
            }
        }
    }

    /// Answers a request; whether the channel is kept.
    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<bool> {
        let o = &self.options;
        let id = request.header("attempt-id").unwrap_or("-").to_owned();
        let instance = [("Instance-Id", o.id.as_str())];
        if request.header("expect-instance").is_some_and(|expected| expected != o.id) {
            writer.write_all(&http::response(421, &instance, b""))?;
            return Ok(true);
        }
        if request.header("expect-version").is_some_and(|expected| expected != WEIGHTS) {
            self.note("other weights", &id);
            let headers =
                [("Attempt-Id", id.as_str()), ("Instance-Id", &o.id), ("Weight-Versions", WEIGHTS)];
            writer.write_all(&http::response(421, &headers, b""))?;
            return Ok(true);
        }
        if request.method == "GET" {
            writer.write_all(&http::response(200, &instance, b"{}"))?;
            return Ok(true);
        }
        if request.path() == "/bitterncart/hold-take" {
            let has_room = self.running.load(Ordering::SeqCst) < o.slots;
            let message = match has_room {
                true => http::response(200, &[], format!("{{\"hold\":\"h{}\"}}", wall_ms()).as_bytes()),
                false => http::response(503, &[("Not-Executed", "1")], b""),
            };
            writer.write_all(&message)?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= o.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
            writer.write_all(&http::response(503, &headers, b""))?;
            return Ok(true);
        }
        let kept = self.run(request, &id, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        kept
    }

    fn run(&self, request: &Request, id: &str, writer: &mut TcpStream) -> io::Result<bool> {
        let o = &self.options;
        let last = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.note(&format!("run after={last}"), id);
        let signature = format!("{}.{}.{id}", o.id, self.born);
        let echo = [
            ("Attempt-Id", id),
            ("Response-Signature", signature.as_str()),
            ("Weight-Versions", WEIGHTS),
        ];
        if request.path().starts_with("/ack/") {
            thread::sleep(Duration::from_millis(o.gap_ms));
            writer.write_all(&http::response(200, &echo, format!("body of {id}").as_bytes()))?;
            self.note("done", id);
            return Ok(true);
        }
        let framing = if o.unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        writer.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {signature}\r\n\
                 Weight-Versions: {WEIGHTS}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for event in last + 1..=o.events {
            thread::sleep(Duration::from_millis(o.gap_ms));
            let text = format!("id: {event}\ndata: {} {event}\n\n", o.version);
            let piece = match o.unframed {
                true => text,
                false => format!("{:x}\r\n{text}\r\n", text.len()),
            };
            if let Err(e) = writer.write_all(piece.as_bytes()) {
                self.note(&format!("left event={event}"), id);
                return Err(e);
            }
        }
        if !o.unframed {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.note("done", id);
        Ok(!o.unframed)
    }
}
