//! Stand-in of the platform's store: the calls on the log that the daemons make.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

const APPEND_TIME: Duration = Duration::from_millis(4);
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;
const READ_BYTES: usize = 1 << 20;

/// Key and value; an empty value drops the key.
type Record = (Vec<u8>, Vec<u8>);
type Partition = (String, u16);

#[derive(Default)]
struct State {
    partitions: HashMap<Partition, Vec<Record>>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store at a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            changed: Arc::default(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes the newest value of a key, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        let mut state = self.state.lock().unwrap();
        state.partitions.entry((topic.to_owned(), 0)).or_default().push(record);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            let topic = request.parameter("topic").unwrap_or_default();
            let part = request.parameter("part").and_then(|p| p.parse().ok()).unwrap_or(0);
            let partition = (topic, part);
            let (status, body) = match (request.method(), request.path()) {
                ("POST", "/bitterncart/log-append") => self.append(&request, partition),
                ("GET", "/bitterncart/log-read") => self.read(&request, &partition),
                ("GET", "/bitterncart/log-newest") => self.newest(&request, &partition),
                _ => (404, Vec::new()),
            };
            writer.write_all(&http::response(status, &[], &body))?;
        }
        Ok(())
    }

    fn append(&self, request: &Message, partition: Partition) -> (u16, Vec<u8>) {
        if ["keyed.op", "keyed.servers"].contains(&partition.0.as_str()) {
            return (403, Vec::new());
        }
        let Some(records) = decode(&request.body) else {
            return (400, Vec::new());
        };
        let is_large = |(key, value): &Record| 1 + key.len() + value.len() > RECORD_BYTES;
        if request.body.len() > CALL_BYTES || records.iter().any(is_large) {
            return (413, Vec::new());
        }
        thread::sleep(APPEND_TIME);
        let at = request.parameter("at").and_then(|at| at.parse::<usize>().ok());
        let mut state = self.state.lock().unwrap();
        let all = state.partitions.entry(partition).or_default();
        let offset = all.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        all.extend(records);
        let end = all.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, request: &Message, partition: &Partition) -> (u16, Vec<u8>) {
        let number = |name| request.parameter(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.partitions.get(partition).map_or(&[][..], |all| all);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() > READ_BYTES {
                        break;
                    }
                    encode(record, &mut body);
                }
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Message, partition: &Partition) -> (u16, Vec<u8>) {
        let after = request.parameter("after").unwrap_or_default().into_bytes();
        let state = self.state.lock().unwrap();
        let records = state.partitions.get(partition).map_or(&[][..], |all| all);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| !value.is_empty() && *key > &after[..]);
        let (mut items, mut size) = (Vec::new(), 0);
        for (key, (offset, value)) in &newest {
            size += value.len();
            if items.len() >= PAGE_ITEMS || (size > PAGE_BYTES && !items.is_empty()) {
                break;
            }
            let key = json_text(&String::from_utf8_lossy(key));
            items.push(format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
        }
        let truncated = items.len() < newest.len();
        let page = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"end\":{}}}",
            items.join(","),
            records.len()
        );
        (200, page.into_bytes())
    }
}

fn decode(mut bytes: &[u8]) -> Option<Vec<Record>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let frame = bytes.get(4..4 + length)?;
        let key_length = usize::from(*frame.first()?);
        let key = frame.get(1..1 + key_length)?.to_vec();
        records.push((key, frame[1 + key_length..].to_vec()));
        bytes = &bytes[4 + length..];
    }
    Some(records)
}

fn encode((key, value): &Record, bytes: &mut Vec<u8>) {
    bytes.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
    bytes.push(key.len() as u8);
    bytes.extend_from_slice(key);
    bytes.extend_from_slice(value);
}

/// Text as a JSON string.
pub fn json_text(text: &str) -> String {
    let mut json = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => json.extend(['\\', c]),
            c if (c as u32) < 32 => json.push_str(&format!("\\u{:04x}", c as u32)),
            c => json.push(c),
        }
    }
    json.push('"');
    json
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0_u32, |word, n| word << 8 | u32::from(*chunk.get(n).unwrap_or(&0)));
        for n in 0..4 {
            match n <= chunk.len() {
                true => text.push(char::from(LETTERS[(word >> (18 - 6 * n)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}
