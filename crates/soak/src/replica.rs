//! Stand-in of a replica, as a process of its own.
//!
//! It listens at one port for each daemon, its link to that daemon. Answers are framed
//! by a length, by chunks, or by neither: then they end with their connection. A share
//! of them is late, broken or repeated, by commands of the soak.

use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use socket2::SockRef;

use crate::answer::{self, Framing};
use crate::commands;
use crate::content;
use crate::endless;
use crate::http::{self, Request};
use bitterncart_platform::{encode_records, wire};
use bitterncart_state::ledger::Record;

/// Interval of checks for a cut link.
const TICK: Duration = Duration::from_millis(20);

/// Interval between looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(3);

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time after which an idle connection is closed, as its answers say.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// Bounds of the delay of a second copy of an answer, in milliseconds.
const COPY_DELAY_MS: std::ops::Range<u64> = 5..300;

/// Time for which a slot is reserved.
const RESERVATION_TIME: Duration = Duration::from_millis(300);

/// How a link behaves.
pub(crate) mod link {
    pub(crate) const UP: u8 = 0;
    /// New connections are refused, and open ones are reset.
    pub(crate) const RESET: u8 = 1;
    /// New connections are refused, and open ones live on.
    pub(crate) const REFUSING: u8 = 2;
    /// New connections are refused, and open ones bring nothing.
    pub(crate) const SILENT: u8 = 3;
}

/// Shares of the requests that are answered in an unusual way, in thousandths.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// A second copy of the answer follows.
    pub copy: AtomicU32,
    /// Of the second copies: without the id of the attempt.
    pub blind: AtomicU32,
    /// The answer, or its link, breaks.
    pub breaks: AtomicU32,
    /// The request fails.
    pub fail: AtomicU32,
    /// The request is refused.
    pub refuse: AtomicU32,
    /// The answer, also to a reservation, has no end.
    pub endless: AtomicU32,
}

impl Shares {
    /// Draws one of a share.
    pub(crate) fn draw(share: &AtomicU32, random: &mut SmallRng) -> bool {
        random.random_range(0..1000) < share.load(Ordering::Relaxed)
    }

    /// Draws the second copy of an answer.
    pub(crate) fn copy_of(&self, answer: Vec<u8>, random: &mut SmallRng) -> Option<Vec<u8>> {
        match Self::draw(&self.copy, random) {
            true if Self::draw(&self.blind, random) => Some(without_id(&answer)),
            true => Some(answer),
            false => None,
        }
    }
}

/// Arguments of the process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of the replica.
    pub index: usize,
    /// Id.
    pub id: String,
    /// Version of its software, which its events name.
    pub version: String,
    /// Data centre.
    pub zone: String,
    /// Requests that run at a time.
    pub slots: u32,
    /// Addresses, one for each link.
    pub links: Vec<SocketAddr>,
    /// Address of the store for replicas.
    pub store: SocketAddr,
    /// Seed of its choices.
    pub seed: u64,
    /// File that tells what it ran.
    pub record: String,
    /// Framings of its answers.
    pub framings: Vec<Framing>,
}

pub(crate) struct Replica {
    pub options: Options,
    pub shares: Shares,
    links: Vec<AtomicU8>,
    running: AtomicU32,
    reservations: Mutex<Vec<(String, Instant)>>,
    connections: AtomicU64,
    record: Mutex<File>,
}

/// Runs a replica until standard input ends.
///
/// # Errors
///
/// If its record cannot be written.
pub fn run(options: Options) -> io::Result<()> {
    let record = File::options()
        .create(true)
        .append(true)
        .open(&options.record)?;
    let replica = Arc::new(Replica {
        links: options
            .links
            .iter()
            .map(|_| AtomicU8::new(link::UP))
            .collect(),
        options,
        shares: Shares::default(),
        running: AtomicU32::new(0),
        reservations: Mutex::default(),
        connections: AtomicU64::new(0),
        record: Mutex::new(record),
    });
    for n in 0..replica.options.links.len() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || replica.listen(n));
    }
    let heartbeats = Arc::clone(&replica);
    thread::spawn(move || heartbeats.send_heartbeats());
    commands::read(|words| match words {
        ["link", n, behaviour] => {
            let behaviour = match *behaviour {
                "reset" => link::RESET,
                "refusing" => link::REFUSING,
                "silent" => link::SILENT,
                _ => link::UP,
            };
            let link = n.parse().ok().and_then(|n: usize| replica.links.get(n));
            if let Some(link) = link {
                link.store(behaviour, Ordering::SeqCst);
            }
        }
        ["share", name, share] => {
            let shares = &replica.shares;
            let named = match *name {
                "copy" => &shares.copy,
                "blind" => &shares.blind,
                "breaks" => &shares.breaks,
                "fail" => &shares.fail,
                "endless" => &shares.endless,
                _ => &shares.refuse,
            };
            named.store(share.parse().unwrap_or(0), Ordering::Relaxed);
        }
        _ => {}
    });
    Ok(())
}

impl Replica {
    /// Behaviour of a link.
    pub(crate) fn link(&self, link: usize) -> u8 {
        self.links[link].load(Ordering::SeqCst)
    }

    /// Writes a line to the record.
    pub(crate) fn note(&self, link: usize, id: &str, what: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = now.unwrap_or_default().as_millis();
        let line = format!("{ms} {} {link} {id} {what}\n", self.options.id);
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written shows as a missing run.
        let _written = record.write_all(line.as_bytes());
    }

    fn send_heartbeats(&self) {
        let options = &self.options;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis() as u64;
        for seq in 0.. {
            let record = wire::ReplicaRecord {
                index: options.index,
                zone: &options.zone,
                version: &options.version,
                slots: options.slots,
                seq,
                born,
            };
            let record = Record {
                key: options.id.as_str().into(),
                value: Some(record.encode()),
            };
            let request = Request {
                method: "POST".into(),
                target: format!(
                    "{}?topic={}&part=0",
                    wire::APPEND_PATH,
                    wire::REPLICAS_TOPIC
                ),
                headers: http::headers(&[("Host", "store")]),
                body: encode_records(&[record]).to_vec(),
            };
            // While the store is down, the next heartbeat comes later.
            let _sent = http::call(options.store, &request, HEARTBEAT);
            thread::sleep(HEARTBEAT);
        }
    }

    fn listen(self: Arc<Self>, link: usize) {
        loop {
            let Ok(listener) = TcpListener::bind(self.options.links[link]) else {
                thread::sleep(TICK);
                continue;
            };
            let is_set = listener.set_nonblocking(true).is_ok();
            while is_set && self.link(link) == link::UP {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let replica = Arc::clone(&self);
                        thread::spawn(move || replica.serve(&stream, link));
                    }
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
            drop(listener);
            while self.link(link) != link::UP {
                thread::sleep(TICK);
            }
        }
    }

    fn serve(&self, stream: &TcpStream, link: usize) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let mut random = SmallRng::seed_from_u64(self.options.seed ^ (number << 8));
        let mut copy = None;
        loop {
            match self.wait_for_request(stream, link, &mut copy) {
                Wait::Request => {}
                Wait::End => return,
                Wait::Reset => return reset(stream),
            }
            match self.answer(stream, link, &mut random) {
                Ok(Then::Keep(answer)) => {
                    copy = answer.map(|bytes| {
                        let delay = Duration::from_millis(random.random_range(COPY_DELAY_MS));
                        (Instant::now() + delay, bytes)
                    });
                }
                Ok(Then::End) | Err(_) => return,
                Ok(Then::Reset) => return reset(stream),
            }
        }
    }

    /// Waits for the first byte of a request. Sends the second copy of the answer before
    /// it when it is due, or when the request arrives.
    fn wait_for_request(
        &self,
        mut stream: &TcpStream,
        link: usize,
        copy: &mut Option<(Instant, Vec<u8>)>,
    ) -> Wait {
        let idle_since = Instant::now();
        let mut byte = [0];
        loop {
            let _ = stream.set_read_timeout(Some(TICK));
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_read_timeout(None);
            match self.link(link) {
                link::RESET => return Wait::Reset,
                link::SILENT => {
                    thread::sleep(TICK);
                    continue;
                }
                _ => {}
            }
            let has_request = matches!(peeked, Ok(1..));
            if let Some((_, bytes)) = copy.take_if(|(due, _)| has_request || *due <= Instant::now())
            {
                let when = if has_request {
                    "with the next request"
                } else {
                    "while idle"
                };
                let head = String::from_utf8_lossy(&bytes);
                let lines: Vec<&str> = head.lines().take(2).collect();
                self.note(link, "-", &format!("copy {when}: {}", lines.join(", ")));
                let _ = stream.write_all(&bytes);
            }
            match peeked {
                Ok(count) if count > 0 => return Wait::Request,
                Ok(_) => return Wait::End,
                Err(e) if is_timeout(&e) && idle_since.elapsed() < IDLE_TIMEOUT => {}
                Err(_) => return Wait::End,
            }
        }
    }

    fn answer(&self, stream: &TcpStream, link: usize, random: &mut SmallRng) -> io::Result<Then> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(request) = http::read_request(&mut reader)? else {
            return Ok(Then::End);
        };
        let mut writer = stream.try_clone()?;
        let id = request.header(wire::ATTEMPT).unwrap_or("-").to_owned();
        let echo = [
            (wire::ATTEMPT, id.as_str()),
            (wire::REPLICA, &self.options.id),
        ];
        if Shares::draw(&self.shares.endless, random) {
            self.note(link, &id, "endless");
            endless::write(stream, &id, random);
            return Ok(Then::End);
        }
        let plain = if id == "-" { &echo[1..] } else { &echo };
        let send = |writer: &mut TcpStream, message: Vec<u8>, random: &mut SmallRng| {
            writer.write_all(&message)?;
            Ok(Then::Keep(self.shares.copy_of(message, random)))
        };
        let expected = request.header(wire::EXPECTED);
        if expected.is_some_and(|expected| expected != self.options.id) {
            return send(&mut writer, http::response(421, plain, b""), random);
        }
        if request.path() == wire::HEALTH_PATH {
            return send(&mut writer, http::response(200, plain, b""), random);
        }
        if request.path() == wire::RESERVE_PATH {
            let message = match self.reserve(random) {
                Some(name) => {
                    let body = json!({"hold": name}).to_string();
                    http::response(200, &[], body.as_bytes())
                }
                None => http::response(503, &[(wire::NOT_RUN, "1")], b""),
            };
            return send(&mut writer, message, random);
        }
        let customer = request.header(wire::CUSTOMER).unwrap_or("-");
        self.note(link, &id, &format!("customer {customer}"));
        if request.header(wire::CREDENTIALS).is_some() {
            self.note(link, &id, "key");
        }
        let is_reserved = request
            .header(wire::RESERVATION)
            .is_some_and(|name| self.use_reservation(name));
        let is_full = self.running.load(Ordering::SeqCst) >= self.options.slots;
        let is_refused = content::is_held(request.path());
        if is_refused || (is_full && !is_reserved) || Shares::draw(&self.shares.refuse, random) {
            self.note(link, &id, "refused");
            let mut headers = plain.to_vec();
            headers.push((wire::NOT_RUN, "1"));
            return send(&mut writer, http::response(503, &headers, b""), random);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let then = answer::run(self, &request, &mut writer, link, random);
        self.running.fetch_sub(1, Ordering::SeqCst);
        then
    }

    /// Reserves a slot if one is free; its name.
    fn reserve(&self, random: &mut SmallRng) -> Option<String> {
        let now = Instant::now();
        let mut reservations = self
            .reservations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        reservations.retain(|(_, until)| *until > now);
        let taken = self.running.load(Ordering::SeqCst) as usize + reservations.len();
        if taken >= self.options.slots as usize {
            return None;
        }
        let name = format!("{:016x}", random.random::<u64>());
        reservations.push((name.clone(), now + RESERVATION_TIME));
        Some(name)
    }

    fn use_reservation(&self, name: &str) -> bool {
        let mut reservations = self
            .reservations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = reservations.len();
        reservations.retain(|(reserved, _)| reserved != name);
        reservations.len() < before
    }
}

/// An answer without the line that names the attempt.
fn without_id(answer: &[u8]) -> Vec<u8> {
    let lines = answer.split_inclusive(|byte| *byte == b'\n');
    let kept = lines.filter(|line| !line.starts_with(wire::ATTEMPT.as_bytes()));
    kept.collect::<Vec<_>>().concat()
}

/// What ended the wait for a request.
enum Wait {
    Request,
    End,
    Reset,
}

/// What follows an answer.
pub(crate) enum Then {
    /// The connection is kept; a second copy of the answer may follow.
    Keep(Option<Vec<u8>>),
    /// The connection ends in order.
    End,
    /// The connection is reset.
    Reset,
}

/// Closes a connection with a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Whether the other side has closed a connection.
pub(crate) fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(e) => !is_timeout(&e),
    }
}
