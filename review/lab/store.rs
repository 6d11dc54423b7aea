//! Stand-in of the platform's store: a log with keyed topics.
//!
//! Each daemon reaches the store at a port of its own, its link, so that a link can
//! fall silent while the others work. What a daemon reads of the replicas names the
//! address at which it reaches each of them: `@N@` in a record stands for the port of
//! replica N on the link of the reader.

use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::sys;

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// Limits of one record and of one call, as in the settings of a small deployment.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;

/// Limits of a page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Limit of the records of one read.
const READ_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Entry {
    key: String,
    /// Empty for a dropped key.
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    partitions: HashMap<(String, u16), Vec<Entry>>,
}

/// Way of one daemon to the store.
#[derive(Default)]
struct Link {
    is_silent: AtomicBool,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    links: Vec<Link>,
    /// Ports of the replicas by link, then by replica.
    replica_ports: Vec<Vec<u16>>,
}

impl Store {
    /// Starts the store with one port for each link.
    pub fn start(ports: &[u16], replica_ports: Vec<Vec<u16>>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            links: ports.iter().map(|_| Link::default()).collect(),
            replica_ports,
        });
        for (link, port) in ports.iter().enumerate() {
            let listener = TcpListener::bind(sys::loopback(*port)).expect("a free port");
            let store = Arc::clone(&store);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = Arc::clone(&store);
                    thread::spawn(move || drop(store.serve(stream, link)));
                }
            });
        }
        store
    }

    /// Cuts a link or restores it. Connections on which something was lost stay silent.
    pub fn set_silent(&self, link: usize, is_silent: bool) {
        self.links[link]
            .is_silent
            .store(is_silent, Ordering::SeqCst);
    }

    fn is_silent(&self, link: usize) -> bool {
        self.links[link].is_silent.load(Ordering::SeqCst)
    }

    /// Appends a record of the operator or of a replica; the return is the ack.
    pub fn put(&self, topic: &str, key: &str, value: Vec<u8>) {
        let entry = Entry {
            key: key.to_owned(),
            value,
        };
        let mut state = self.state.lock().expect("no thread panics");
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(entry);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream, link: usize) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            if self.is_silent(link) {
                return silent(&mut reader);
            }
            let (status, body) = self.handle(&request, link);
            if self.is_silent(link) {
                return silent(&mut reader);
            }
            http::respond(&mut writer, status, &[], &body)?;
        }
        Ok(())
    }

    fn handle(&self, request: &Request, link: usize) -> (u16, Vec<u8>) {
        let topic = request.parameter("topic").unwrap_or_default();
        let part = request.parameter("part").and_then(|n| n.parse().ok());
        let partition = (topic, part.unwrap_or(0));
        match (request.method.as_str(), request.path()) {
            ("POST", "/bitterncart/log-append") => self.append(request, partition),
            ("GET", "/bitterncart/log-read") => self.read(request, partition, link),
            ("GET", "/bitterncart/log-newest") => self.newest(request, partition, link),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, request: &Request, partition: (String, u16)) -> (u16, Vec<u8>) {
        if partition.0 == "keyed.op" || partition.0 == "keyed.servers" {
            return (403, Vec::new());
        }
        let Some(entries) = decode(&request.body) else {
            return (400, Vec::new());
        };
        if request.body.len() > CALL_BYTES
            || entries
                .iter()
                .any(|e| e.key.len() + e.value.len() + 1 > RECORD_BYTES)
        {
            return (413, Vec::new());
        }
        thread::sleep(APPEND_TIME);
        let at: Option<usize> = request.parameter("at").and_then(|n| n.parse().ok());
        let mut state = self.state.lock().expect("no thread panics");
        let records = state.partitions.entry(partition).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        records.extend(entries);
        let end = records.len();
        self.changed.notify_all();
        (
            200,
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn read(&self, request: &Request, partition: (String, u16), link: usize) -> (u16, Vec<u8>) {
        let number = |name: &str| request.parameter(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().expect("no thread panics");
        loop {
            let records = state.partitions.entry(partition.clone()).or_default();
            let now = Instant::now();
            if records.len() > from || now >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for entry in records.iter().skip(from) {
                    if body.len() > READ_BYTES {
                        break;
                    }
                    encode(&self.viewed(entry, link), &mut body);
                }
                return (200, body);
            }
            let wait = (until - now).min(Duration::from_millis(50));
            state = self
                .changed
                .wait_timeout(state, wait)
                .expect("no thread panics")
                .0;
        }
    }

    fn newest(&self, request: &Request, partition: (String, u16), link: usize) -> (u16, Vec<u8>) {
        let after = request.parameter("after").unwrap_or_default();
        let mut state = self.state.lock().expect("no thread panics");
        let records = state.partitions.entry(partition).or_default();
        let mut newest: std::collections::BTreeMap<&str, (usize, &Entry)> = Default::default();
        for (offset, entry) in records.iter().enumerate() {
            newest.insert(&entry.key, (offset, entry));
        }
        newest.retain(|key, (_, entry)| !entry.value.is_empty() && *key > after.as_str());
        let (mut items, mut size) = (Vec::new(), 0);
        for (key, (offset, entry)) in &newest {
            size += entry.value.len();
            if items.len() >= PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
                break;
            }
            let value = base64(&self.viewed(entry, link).value);
            let key = key
                .replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\u{1f}', "\\u001f");
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let truncated = items.len() < newest.len();
        let end = records.len();
        let items = items.join(",");
        let page = format!("{{\"items\":[{items}],\"truncated\":{truncated},\"end\":{end}}}");
        (200, page.into_bytes())
    }

    /// Record as the daemon on a link reads it.
    fn viewed(&self, entry: &Entry, link: usize) -> Entry {
        let mut viewed = entry.clone();
        if let Ok(text) = std::str::from_utf8(&entry.value)
            && text.contains('@')
        {
            let mut text = text.to_owned();
            for (replica, port) in self.replica_ports[link].iter().enumerate() {
                text = text.replace(&format!("@{replica}@"), &port.to_string());
            }
            viewed.value = text.into_bytes();
        }
        viewed
    }
}

/// Keeps a connection open without an answer, until the other side closes it.
fn silent(reader: &mut BufReader<TcpStream>) -> io::Result<()> {
    io::copy(reader, &mut io::sink()).map(drop)
}

fn encode(entry: &Entry, body: &mut Vec<u8>) {
    let length = 1 + entry.key.len() + entry.value.len();
    body.extend_from_slice(&(length as u32).to_be_bytes());
    body.push(entry.key.len() as u8);
    body.extend_from_slice(entry.key.as_bytes());
    body.extend_from_slice(&entry.value);
}

fn decode(mut bytes: &[u8]) -> Option<Vec<Entry>> {
    let mut entries = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (frame, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        let (length, frame) = frame.split_first()?;
        let (key, value) = frame.split_at_checked(usize::from(*length))?;
        entries.push(Entry {
            key: String::from_utf8(key.to_vec()).ok()?,
            value: value.to_vec(),
        });
        bytes = rest;
    }
    Some(entries)
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for n in 0..4 {
            let digit = (number >> (18 - 6 * n)) & 63;
            text.push(if n <= chunk.len() {
                ALPHABET[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
