//! Stand-in of the platform's store: a log with keyed topics, as the protocol page describes it.
//! It keeps all records, answers appends after 4 ms, one at a time for each partition, and is
//! linearizable. It has no impairment of its own.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

const APPEND_TIME: Duration = Duration::from_millis(4);
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
pub struct Record {
    pub key: String,
    pub value: Vec<u8>,
}

type Partition = (String, u64);

#[derive(Default)]
struct State {
    partitions: HashMap<Partition, Vec<Record>>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    turns: Mutex<HashMap<Partition, Arc<Mutex<()>>>>,
    pub address: SocketAddr,
}

pub fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let length = (1 + record.key.len() + record.value.len()) as u32;
        bytes.extend(length.to_be_bytes());
        bytes.push(record.key.len() as u8);
        bytes.extend(record.key.as_bytes());
        bytes.extend(&record.value);
    }
    bytes
}

fn decode(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (frame, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (size, frame) = frame.split_first()?;
        let (key, value) = frame.split_at_checked(usize::from(*size))?;
        records.push(Record {
            key: String::from_utf8(key.to_vec()).ok()?,
            value: value.to_vec(),
        });
        bytes = rest;
    }
    Some(records)
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            turns: Mutex::default(),
            address: listener.local_addr().expect("an address"),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.handle(&request);
            if writer.write_all(&http::response(status, &[], &body)).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default();
        let partition = (topic, request.number("part").unwrap_or(0));
        match (request.method.as_str(), request.path()) {
            ("POST", "/bitterncart/log-append") => match decode(&request.body) {
                Some(records) => self.append(partition, records, request.number("at")),
                None => (400, Vec::new()),
            },
            ("GET", "/bitterncart/log-read") => self.read(request, &partition),
            ("GET", "/bitterncart/log-newest") => self.newest(request, &partition),
            _ => (404, Vec::new()),
        }
    }

    /// Appends records, for a call or for the operator.
    pub fn append(
        &self,
        partition: Partition,
        records: Vec<Record>,
        at: Option<u64>,
    ) -> (u16, Vec<u8>) {
        let turn = {
            let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
            Arc::clone(turns.entry(partition.clone()).or_default())
        };
        let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(APPEND_TIME);
        let mut state = self.lock();
        let all = state.partitions.entry(partition).or_default();
        let offset = all.len();
        if at.is_some_and(|at| at != offset as u64) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        all.extend(records);
        let end = all.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    /// Writes a record of the operator or of a replica; returns after the ack.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = Record { key: key.to_owned(), value: value.as_bytes().to_vec() };
        self.append((topic.to_owned(), 0), vec![record], None);
    }

    fn read(&self, request: &Request, partition: &Partition) -> (u16, Vec<u8>) {
        let from = request.number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(request.number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let all = state.partitions.get(partition).map_or(&[][..], |all| all);
            let now = Instant::now();
            if all.len() > from || now >= until {
                let mut body = (all.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in all.iter().skip(from) {
                    if body.len() > PAGE_BYTES {
                        break;
                    }
                    body.extend(encode(std::slice::from_ref(record)));
                }
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, until - now);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, request: &Request, partition: &Partition) -> (u16, Vec<u8>) {
        let after = request.parameter("after").unwrap_or_default();
        let state = self.lock();
        let all = state.partitions.get(partition).map_or(&[][..], |all| all);
        let mut newest: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
        for (offset, record) in all.iter().enumerate() {
            newest.insert(&record.key, (offset, record));
        }
        newest.retain(|key, (_, record)| !record.value.is_empty() && *key > after.as_str());
        let (mut items, mut size) = (Vec::new(), 0);
        for (key, (offset, record)) in &newest {
            size += record.value.len();
            if items.len() >= PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
                break;
            }
            let value = base64(&record.value);
            let key = json(key);
            items.push(format!("{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let truncated = items.len() < newest.len();
        let (items, end) = (items.join(","), all.len());
        let page = format!("{{\"items\":[{items}],\"truncated\":{truncated},\"end\":{end}}}");
        (200, page.into_bytes())
    }
}

/// A text as a JSON string.
pub fn json(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if c < ' ' => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for n in 0..3 {
            number = number << 8 | u32::from(group.get(n).copied().unwrap_or(0));
        }
        for n in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * n) & 63) as usize] as char;
            text.push(if n <= group.len() { digit } else { '=' });
        }
    }
    text
}
