//! Stand-in of the store: a log with keyed topics, as a process of its own.
//!
//! It keeps what it acknowledged in a file, so that it can be killed and started
//! again. Each daemon has a port of its own, its link; the last port is that of the
//! operator and the replicas. `@N@` in a record stands for the address at which the
//! daemon that reads it reaches replica N.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::commands;
use crate::http::{self, Request};
use crate::log;
use bitterncart_platform::{decode_records, encode_records, wire};
use bitterncart_state::ledger::Record;
use compact_str::CompactString;

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// Limits of one record and of one call.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Limits of a page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Limit of the records of one read.
const READ_BYTES: usize = 1 << 20;

/// Interval at which a read that waits looks for records.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Time without a heartbeat after which the record of a replica is removed.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(3600);

/// Interval of the search for such records.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// How the store behaves on a link.
mod link {
    pub(super) const UP: u8 = 0;
    /// Calls get no answer.
    pub(super) const SILENT: u8 = 1;
    /// Calls are answered with 503.
    pub(super) const REFUSING: u8 = 2;
    /// Appends are carried out and the answer is lost.
    pub(super) const LOSING: u8 = 3;
    /// Connections end before the answer.
    pub(super) const ENDING: u8 = 4;
}

/// Arguments of the process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Ports, one for each link and the last for the operator.
    pub ports: Vec<SocketAddr>,
    /// Addresses of the replicas for each link, then for the operator.
    pub replicas: Vec<Vec<SocketAddr>>,
    /// File with the records.
    pub file: String,
}

type Partition = (String, u16);

struct State {
    partitions: HashMap<Partition, Vec<Record>>,
    /// Time of the latest heartbeat of each replica.
    heartbeats: HashMap<CompactString, Instant>,
    file: File,
}

struct Store {
    state: Mutex<State>,
    changed: Condvar,
    links: Vec<AtomicU8>,
    replicas: Vec<Vec<SocketAddr>>,
}

/// Runs the store until standard input ends.
///
/// # Errors
///
/// If the file cannot be read or a port cannot be bound.
pub fn run(options: Options) -> io::Result<()> {
    let mut partitions: HashMap<Partition, Vec<Record>> = HashMap::new();
    let mut heartbeats = HashMap::new();
    if let Ok(file) = File::open(&options.file) {
        let mut file = BufReader::new(file);
        while let Some((topic, part, records)) = log::read(&mut file) {
            if topic == wire::REPLICAS_TOPIC {
                heartbeats.extend(records.iter().map(|r| (r.key.clone(), Instant::now())));
            }
            partitions.entry((topic, part)).or_default().extend(records);
        }
    }
    let file = File::options()
        .create(true)
        .append(true)
        .open(&options.file)?;
    let store = Arc::new(Store {
        state: Mutex::new(State {
            partitions,
            heartbeats,
            file,
        }),
        changed: Condvar::new(),
        links: options
            .ports
            .iter()
            .map(|_| AtomicU8::new(link::UP))
            .collect(),
        replicas: options.replicas,
    });
    for (link, address) in options.ports.iter().enumerate() {
        let listener = TcpListener::bind(address)?;
        let store = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || drop(store.serve(stream, link)));
            }
        });
    }
    let expiring = Arc::clone(&store);
    thread::spawn(move || expiring.expire());
    commands::read(|words| {
        if let ["link", link, behaviour] = words
            && let Some(link) = link.parse().ok().and_then(|n: usize| store.links.get(n))
        {
            let behaviour = match *behaviour {
                "silent" => link::SILENT,
                "refusing" => link::REFUSING,
                "losing" => link::LOSING,
                "ending" => link::ENDING,
                _ => link::UP,
            };
            link.store(behaviour, Ordering::SeqCst);
        }
    });
    Ok(())
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream, link: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let behaviour = || self.links[link].load(Ordering::SeqCst);
        while let Some(request) = http::read_request(&mut reader)? {
            let message = match behaviour() {
                link::SILENT => return hold(&mut reader),
                link::ENDING => return Ok(()),
                link::REFUSING => http::response(503, &[], b""),
                _ => {
                    let (status, body) = self.handle(&request, link);
                    http::response(status, &[], &body)
                }
            };
            match behaviour() {
                link::SILENT => return hold(&mut reader),
                link::LOSING if request.method == "POST" => return hold(&mut reader),
                link::ENDING => return Ok(()),
                _ => writer.write_all(&message)?,
            }
        }
        Ok(())
    }

    fn handle(&self, request: &Request, link: usize) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default();
        let partition = (topic, request.number("part").unwrap_or(0) as u16);
        match (request.method.as_str(), request.path()) {
            ("POST", wire::APPEND_PATH) => self.append(request, partition, link),
            ("GET", wire::READ_PATH) => self.read(request, &partition, link),
            ("GET", wire::NEWEST_PATH) => self.newest(request, &partition, link),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request, partition: Partition, link: usize) -> (u16, Vec<u8>) {
        let is_own_topic = [wire::OPERATOR_TOPIC, wire::REPLICAS_TOPIC].contains(&&*partition.0);
        let is_operator = link + 1 == self.links.len();
        if is_own_topic && !is_operator {
            return (403, Vec::new());
        }
        let Some(records) = decode_records(&request.body) else {
            return (400, Vec::new());
        };
        let is_oversized = |r: &Record| r.key.len() + value_of(r).len() + 1 > RECORD_BYTES;
        if request.body.len() > CALL_BYTES || records.iter().any(is_oversized) {
            return (413, Vec::new());
        }
        thread::sleep(APPEND_TIME);
        let mut state = self.lock();
        let offset = state.partitions.get(&partition).map_or(0, Vec::len);
        match request.number("at") {
            Some(at) if at != offset as u64 => {
                return (412, json!({"end": offset}).to_string().into_bytes());
            }
            _ => {}
        }
        if state.write(&partition, &records).is_err() {
            return (503, Vec::new());
        }
        if partition.0 == wire::REPLICAS_TOPIC {
            let now = Instant::now();
            let keys = records.iter().map(|record| (record.key.clone(), now));
            state.heartbeats.extend(keys);
        }
        let all = state.partitions.entry(partition).or_default();
        all.extend(records);
        let end = all.len();
        self.changed.notify_all();
        let answer = json!({"offset": offset, "end": end});
        (200, answer.to_string().into_bytes())
    }

    fn read(&self, request: &Request, partition: &Partition, link: usize) -> (u16, Vec<u8>) {
        let from = request.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let records = state.partitions.get(partition).map_or(&[][..], |all| all);
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > READ_BYTES {
                        break;
                    }
                    body.extend(encode_records(&[self.viewed(record, link)]));
                }
                return (200, body);
            }
            let wait = (until - now).min(READ_INTERVAL);
            let waited = self.changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Request, partition: &Partition, link: usize) -> (u16, Vec<u8>) {
        let after = request.parameter("after").unwrap_or_default();
        let state = self.lock();
        let records = state.partitions.get(partition).map_or(&[][..], |all| all);
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        newest.retain(|key, (_, record)| record.value.is_some() && *key > after.as_str());
        let (mut items, mut size) = (Vec::new(), 0);
        for (key, (offset, record)) in &newest {
            size += value_of(record).len();
            if items.len() >= PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
                break;
            }
            let value = STANDARD.encode(value_of(&self.viewed(record, link)));
            items.push(json!({"key": key, "value": value, "offset": offset}));
        }
        let truncated = items.len() < newest.len();
        let page = json!({"items": items, "truncated": truncated, "end": records.len()});
        (200, page.to_string().into_bytes())
    }

    /// Record as the daemon on a link reads it.
    fn viewed(&self, record: &Record, link: usize) -> Record {
        let mut viewed = record.clone();
        if let Ok(text) = std::str::from_utf8(value_of(record))
            && text.contains('@')
        {
            let mut text = text.to_owned();
            for (replica, address) in self.replicas[link].iter().enumerate() {
                let name = wire::replica_address(replica);
                text = text.replace(&name, &address.to_string());
            }
            viewed.value = Some(text.into_bytes());
        }
        viewed
    }

    /// Removes the records of replicas that write no more.
    fn expire(&self) {
        loop {
            thread::sleep(EXPIRY_INTERVAL);
            let mut state = self.lock();
            let silent = state.heartbeats.iter();
            let silent = silent.filter(|(_, at)| at.elapsed() > REPLICA_TIMEOUT);
            let silent: Vec<CompactString> = silent.map(|(key, _)| key.clone()).collect();
            for key in silent {
                state.heartbeats.remove(&key);
                let removed = [Record { key, value: None }];
                let partition = (wire::REPLICAS_TOPIC.to_owned(), 0);
                if state.write(&partition, &removed).is_ok() {
                    let all = state.partitions.entry(partition).or_default();
                    all.extend(removed);
                }
                self.changed.notify_all();
            }
        }
    }
}

impl State {
    fn write(&mut self, partition: &Partition, records: &[Record]) -> io::Result<()> {
        let append = log::encode(&partition.0, partition.1, records);
        self.file.write_all(&append)
    }
}

/// Value of a record; empty if its key is dropped.
fn value_of(record: &Record) -> &[u8] {
    record.value.as_deref().unwrap_or_default()
}

/// Keeps a connection open without an answer, until the other side closes it.
fn hold(reader: &mut BufReader<TcpStream>) -> io::Result<()> {
    io::copy(reader, &mut io::sink()).map(drop)
}
