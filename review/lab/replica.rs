//! Stand-ins of replicas.
//!
//! A replica listens at one port for each daemon, its link to that daemon. A link that
//! is cut resets its connections and refuses new ones.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;
use crate::sys;

/// Interval of checks for a cut link.
const TICK: Duration = Duration::from_millis(5);

/// Interval of the entries that a replica writes.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Spoils a share of the answers of a replica while the impairment lasts.
pub struct Spoiler {
    /// Whether the replica is one of those that spoil answers.
    pub is_chosen: bool,
    answers: AtomicU32,
}

/// One in so many answers of a chosen replica is spoiled: a share of 0.02.
const ANSWERS_PER_SPOILED: u32 = 50;

static IS_SPOILING: AtomicBool = AtomicBool::new(false);

impl Spoiler {
    pub fn new(is_chosen: bool) -> Self {
        Self {
            is_chosen,
            answers: AtomicU32::new(0),
        }
    }

    /// Begins or ends the impairment, at all chosen replicas.
    pub fn set_active(is_active: bool) {
        IS_SPOILING.store(is_active, Ordering::SeqCst);
    }

    /// Counts an answer; whether it is to be spoiled.
    pub fn next(&self) -> bool {
        if !self.is_chosen || !IS_SPOILING.load(Ordering::SeqCst) {
            return false;
        }
        let answer = self.answers.fetch_add(1, Ordering::SeqCst);
        answer % ANSWERS_PER_SPOILED == ANSWERS_PER_SPOILED - 1
    }
}

/// Time of one impairment of the kind `garble`, as on the site.
pub const SPOILING_TIME: Duration = Duration::from_millis(5500);

/// What follows an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// The connection is kept.
    Keep,
    /// It ends.
    Close,
    /// It is reset.
    Reset,
}

/// How a replica answers.
pub type Behaviour = dyn Fn(&mut Call) -> io::Result<Then> + Send + Sync;

/// Request at a replica.
pub struct Call<'a> {
    pub request: Request,
    pub replica: &'a Replica,
    /// Daemon that sent it.
    pub link: usize,
    pub stream: TcpStream,
    pub record: &'a Record,
}

impl Call<'_> {
    /// Value of the request's id.
    pub fn id(&self) -> String {
        self.request
            .header("attempt-id")
            .unwrap_or_default()
            .to_owned()
    }

    /// Last event that the caller has; 0 for none.
    pub fn last_event(&self) -> u64 {
        let last = self.request.header("last-event-id");
        last.and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// Head of a success, with more lines that end with a line break.
    pub fn head(&mut self, more: &str) -> io::Result<()> {
        let id = self.id();
        let replica = &self.replica.id;
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Signature: {replica}.{id}\r\n{more}\r\n"
        );
        self.stream.write_all(head.as_bytes())
    }

    /// Waits; `false` if the link is cut or the caller has closed the connection.
    pub fn pause(&self, time: Duration) -> bool {
        thread::sleep(time);
        !self.replica.is_cut(self.link) && !is_closed(&self.stream)
    }

    pub fn note(&self, text: &str) {
        let (id, replica, link) = (self.id(), &self.replica.id, self.link);
        self.record.line(&format!(
            "replica {replica}, from daemon {link}: {id} {text}"
        ));
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Replica of a service.
pub struct Replica {
    pub index: usize,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub version: String,
    running: AtomicU32,
    cut: Vec<AtomicBool>,
}

impl Replica {
    /// Starts a replica with one port for each link.
    pub fn start(
        (index, id, service, zone): (usize, &str, &str, &str),
        slots: u32,
        ports: &[u16],
        record: &Record,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Self> {
        let replica = Arc::new(Self {
            index,
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            version: "v1".to_owned(),
            running: AtomicU32::new(0),
            cut: ports.iter().map(|_| AtomicBool::new(false)).collect(),
        });
        for (link, port) in ports.iter().copied().enumerate() {
            let (replica, record) = (Arc::clone(&replica), record.clone());
            let behaviour = Arc::clone(&behaviour);
            thread::spawn(move || replica.listen(link, port, &record, &behaviour));
        }
        replica
    }

    /// Cuts a link or restores it.
    pub fn set_cut(&self, link: usize, is_cut: bool) {
        self.cut[link].store(is_cut, Ordering::SeqCst);
    }

    pub fn is_cut(&self, link: usize) -> bool {
        self.cut[link].load(Ordering::SeqCst)
    }

    /// Writes its entry to the store until the program ends.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        let (replica, store) = (Arc::clone(self), Arc::clone(store));
        let born = sys::unix_ms();
        thread::spawn(move || {
            for seq in 0_u64.. {
                let Self {
                    index,
                    id,
                    service,
                    zone,
                    slots,
                    version,
                    ..
                } = &*replica;
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:@{index}@\",\
                     \"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\
                     \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
                );
                store.put("keyed.servers", id, entry.into_bytes());
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn listen(
        self: Arc<Self>,
        link: usize,
        port: u16,
        record: &Record,
        behaviour: &Arc<Behaviour>,
    ) {
        loop {
            let listener = TcpListener::bind(sys::loopback(port)).expect("the port is free");
            listener.set_nonblocking(true).expect("a socket option");
            while !self.is_cut(link) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (replica, record) = (Arc::clone(&self), record.clone());
                        let behaviour = Arc::clone(behaviour);
                        thread::spawn(move || replica.serve(stream, link, &record, &*behaviour));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while self.is_cut(link) {
                thread::sleep(TICK);
            }
        }
    }

    fn serve(&self, stream: TcpStream, link: usize, record: &Record, behaviour: &Behaviour) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        loop {
            match self.wait_for_request(&stream, link) {
                Some(true) => {}
                Some(false) => return,
                None => return sys::reset(stream),
            }
            match self.answer(&stream, link, record, behaviour) {
                Ok(Then::Keep) => {}
                Ok(Then::Close) | Err(_) => return,
                Ok(Then::Reset) => return sys::reset(stream),
            }
        }
    }

    /// Waits for the first byte of a request; `false` at the end of the connection and
    /// `None` if the link is cut.
    fn wait_for_request(&self, stream: &TcpStream, link: usize) -> Option<bool> {
        let mut byte = [0];
        loop {
            let _ = stream.set_read_timeout(Some(TICK));
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_read_timeout(None);
            if self.is_cut(link) {
                return None;
            }
            match peeked {
                Ok(count) => return Some(count > 0),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return Some(false),
            }
        }
    }

    fn answer(
        &self,
        stream: &TcpStream,
        link: usize,
        record: &Record,
        behaviour: &Behaviour,
    ) -> io::Result<Then> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let Some(request) = http::read_request(&mut reader)? else {
            return Ok(Then::Close);
        };
        let mut writer = stream.try_clone()?;
        let expected = request.header("expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            http::respond(&mut writer, 421, &[("Instance-Id", &self.id)], b"")?;
            return Ok(Then::Keep);
        }
        if request.path() == "/health" {
            http::respond(&mut writer, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(Then::Keep);
        }
        let before = self.running.fetch_add(1, Ordering::SeqCst);
        let then = if before >= self.slots {
            http::respond(&mut writer, 503, &[("Not-Executed", "1")], b"").map(|()| Then::Keep)
        } else {
            let mut call = Call {
                request,
                replica: self,
                link,
                stream: writer,
                record,
            };
            behaviour(&mut call)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        then
    }
}
