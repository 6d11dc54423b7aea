//! Stand-in of a replica: runs requests, a number of them at a time, and writes their events.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Recorder;
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a replica runs.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Requests at a time.
    pub slots: usize,
    /// Events of an answer, the time between two of them, and the size of each.
    pub events: u64,
    pub gap: Duration,
    pub event_bytes: usize,
    /// Whether answers have neither a length nor chunks and end with their connection.
    pub is_unframed: bool,
    /// Of so many such answers, one ends behind the half of its body; 0 for none.
    pub cut_one_in: usize,
}

/// Run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Duration,
    /// End of the run, and whether all events were written; `None` while it runs.
    pub ended: Option<(Duration, bool)>,
}

#[derive(Default)]
struct State {
    running: usize,
    /// Reserved slots, with the end of each reservation.
    holds: HashMap<String, Instant>,
    last_hold: u64,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    state: Arc<Mutex<State>>,
    freed: Arc<Condvar>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    is_writing: Arc<AtomicBool>,
    recorder: Recorder,
}

fn wall_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

impl Replica {
    /// Starts a replica at a free port, which enters itself in the store.
    pub fn start(
        id: &str,
        zone: &str,
        service: &str,
        work: Work,
        store: &Store,
        recorder: &Recorder,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            work,
            state: Arc::default(),
            freed: Arc::default(),
            runs: Arc::default(),
            is_writing: Arc::new(AtomicBool::new(true)),
            recorder: recorder.clone(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                thread::spawn(move || drop(replica.serve(stream)));
            }
        });
        let (writing, store) = (replica.clone(), store.clone());
        let (zone, service, born) = (zone.to_owned(), service.to_owned(), wall_ms());
        thread::spawn(move || {
            for seq in 1_u64.. {
                if !writing.is_writing.load(Ordering::SeqCst) {
                    return;
                }
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\
                     \"seq\":{seq},\"born\":{born}}}",
                    writing.address, writing.work.slots
                );
                store.put("keyed.servers", &writing.id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            match (request.method(), request.path()) {
                ("GET", "/health") => {
                    writer.write_all(&http::response(200, &[("Instance-Id", &self.id)], b""))?;
                }
                ("POST", "/bitterncart/hold-take") => self.hold(&request, &mut writer)?,
                _ => self.run(&request, &mut writer)?,
            }
        }
        Ok(())
    }

    fn free(&self, state: &mut State) -> usize {
        let now = Instant::now();
        state.holds.retain(|_, end| *end > now);
        self.work.slots.saturating_sub(state.running + state.holds.len())
    }

    fn hold(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let ttl = text.split("\"ttl_ms\":").nth(1).unwrap_or("0");
        let ttl = ttl.chars().take_while(char::is_ascii_digit).collect::<String>();
        let ttl = Duration::from_millis(ttl.parse().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        let answer = if self.free(&mut state) > 0 {
            state.last_hold += 1;
            let hold = format!("h{}", state.last_hold);
            state.holds.insert(hold.clone(), Instant::now() + ttl);
            http::response(200, &[], format!("{{\"hold\":\"{hold}\"}}").as_bytes())
        } else {
            http::response(503, &[], b"")
        };
        drop(state);
        writer.write_all(&answer)
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let echo = ("Attempt-Id", id.as_str());
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [echo, ("Instance-Id", &self.id), ("Not-Executed", "1")];
            return writer.write_all(&http::response(421, &headers, b""));
        }
        let mut state = self.state.lock().unwrap();
        let is_held = request.header("hold").is_some_and(|hold| state.holds.remove(hold).is_some());
        if request.header("hold").is_some() && !is_held {
            return writer.write_all(&http::response(503, &[echo, ("Not-Executed", "1")], b""));
        }
        while !is_held && self.free(&mut state) == 0 {
            state = self.freed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        }
        state.running += 1;
        drop(state);
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run { id: id.clone(), began: self.recorder.now(), ended: None });
            runs.len() - 1
        };
        let after = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.recorder.line(&format!("server {} runs {id} after event {after}", self.id));
        let written = if request.path().starts_with("/ack/") {
            thread::sleep(Duration::from_millis(15));
            match self.work.is_unframed {
                true => {
                    self.write_unframed(&id, number, writer)?;
                    // The connection ends in order.
                    self.state.lock().unwrap().running -= 1;
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                false => {
                    let headers = [echo, ("Response-Signature", "s.1")];
                    writer.write_all(&http::response(200, &headers, b"acknowledged"))
                }
            }
        } else {
            self.write_events(&id, after, writer)
        };
        let ended = (self.recorder.now(), written.is_ok());
        self.runs.lock().unwrap()[number].ended = Some(ended);
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_all();
        let end = if written.is_ok() { "has written all of" } else { "was cut off in" };
        self.recorder.line(&format!("server {} {end} {id}", self.id));
        written
    }

    fn write_events(&self, id: &str, after: u64, writer: &mut TcpStream) -> io::Result<()> {
        writer.write_all(
            format!(
                "HTTP/1.1 200 .\r\nattempt-id: {id}\r\nresponse-signature: s.1\r\n\
                 content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        for event in after + 1..=self.work.events {
            thread::sleep(self.work.gap);
            let event = format!("id: {event}\ndata: {}\n\n", self.data(id, event));
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Writes an answer without a length, and of some only the half.
    fn write_unframed(&self, id: &str, number: usize, writer: &mut TcpStream) -> io::Result<()> {
        let body = acknowledgement(id);
        let one_in = self.work.cut_one_in;
        let is_cut = one_in > 0 && number % one_in == one_in - 1;
        let length = if is_cut { body.len() / 2 } else { body.len() };
        let head = format!("HTTP/1.1 200 .\r\nattempt-id: {id}\r\nresponse-signature: s.1\r\n\r\n");
        writer.write_all(&[head.as_bytes(), &body.as_bytes()[..length]].concat())?;
        if is_cut {
            self.recorder.line(&format!(
                "server {} ends its answer to {id} behind {length} of {} bytes",
                self.id,
                body.len()
            ));
        }
        writer.shutdown(std::net::Shutdown::Write)
    }

    /// Data of an event.
    fn data(&self, id: &str, event: u64) -> String {
        let text = format!("{id}.{event}.");
        let padding = self.work.event_bytes.saturating_sub(text.len());
        text + &"x".repeat(padding)
    }

    /// Whole output of an item.
    pub fn output(&self, id: &str) -> String {
        let events: Vec<String> = (1..=self.work.events).map(|n| self.data(id, n)).collect();
        events.join("\n")
    }
}

/// Whole body of an answer without a length.
pub fn acknowledgement(id: &str) -> String {
    format!("{id}:{}", "y".repeat(783))
}
