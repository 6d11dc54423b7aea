//! Clients of online requests, and the checks of what they receive.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use std::{io, thread};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::content::{self, EVENTS};
use crate::fleet::Fleet;
use crate::http::{self, Connection, Request, Response};
use crate::verdict::Verdict;
use bitterncart_platform::wire;

/// Time that a client waits for a response.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time before a client's deadline at which a response that breaks is cut.
const CUT_MARGIN: Duration = Duration::from_millis(500);

/// Time that a client waits beyond its deadline.
const PATIENCE: Duration = Duration::from_millis(700);

/// Bounds of the deadlines of hasty clients, in milliseconds.
const HASTY_MS: std::ops::Range<u64> = 150..900;

/// Timeout of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the pause between two requests of a client, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..60;

/// Requests on one connection, at most.
const MAX_REQUESTS: u32 = 40;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Stream that may be resumed.
    Resumable,
    /// Stream that may run once.
    Stream,
    /// Call that may be repeated.
    Idempotent,
    /// Call that may run once.
    Once,
}

impl Kind {
    fn prefix(self) -> &'static str {
        match self {
            Self::Resumable => wire::RESUMABLE_PREFIX,
            Self::Stream => wire::STREAM_PREFIX,
            Self::Idempotent => wire::IDEMPOTENT_PREFIX,
            Self::Once => wire::ONCE_PREFIX,
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::Stream)
    }

    /// Whether a request may run only once.
    #[must_use]
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Stream | Self::Once)
    }

    fn draw(random: &mut SmallRng) -> Self {
        match random.random_range(0..10) {
            0..5 => Self::Resumable,
            5 => Self::Stream,
            6..8 => Self::Idempotent,
            _ => Self::Once,
        }
    }
}

/// Request that a client sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Id.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Status; `None` without a response.
    pub status: Option<u16>,
    /// Whether the response carries the signature of a replica.
    pub is_signed: bool,
    /// Whether there is no whole response, well before the client's deadline.
    pub is_cut: bool,
}

/// All requests of a run.
pub type Log = Mutex<Vec<Sent>>;

/// Id of 16 hexadecimal digits.
#[must_use]
pub fn draw_id(random: &mut SmallRng) -> String {
    format!("{:016x}", random.random::<u64>())
}

/// Part of a stream that a client has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Part {
    /// Attempt that brought its first event.
    attempt: String,
    /// Last event.
    last: u64,
    /// Software version that wrote the events; `None` without an event.
    version: Option<String>,
}

impl Part {
    /// The part with the events of a further answer.
    ///
    /// # Errors
    ///
    /// What is wrong in the answer.
    fn with(&self, id: &str, text: &str) -> Result<Self, String> {
        let version = content::version(text).map(str::to_owned);
        let is_known = text.contains("\n\n");
        if let (Some(began), Some(version), true) = (&self.version, &version, is_known)
            && began != version
        {
            return Err(format!("began at version {began} and goes on at {version}"));
        }
        let version = self.version.clone().or(version);
        let whole = content::events(id, self.last, version.as_deref().unwrap_or_default());
        if text.is_empty() || whole.starts_with(text) {
            let attempt = if self.last == 0 { id } else { &self.attempt };
            return Ok(Self {
                attempt: attempt.to_owned(),
                last: self.last + text.matches("\n\n").count() as u64,
                version: version.filter(|_| is_known || self.version.is_some()),
            });
        }
        let differs = whole.bytes().zip(text.bytes()).position(|(a, b)| a != b);
        let at = differs.unwrap_or(whole.len());
        let around: String = text.chars().skip(at.saturating_sub(20)).take(80).collect();
        Err(format!(
            "events are wrong from byte {at} of {} on: {around:?}",
            text.len()
        ))
    }
}

/// Client that sends one request after the other until `is_over`.
pub fn run(
    fleet: &Fleet,
    verdict: &Verdict,
    log: &Log,
    is_over: &AtomicBool,
    mut random: SmallRng,
) {
    let mut channel: Option<(usize, Connection, u32)> = None;
    while !is_over.load(Ordering::SeqCst) {
        let kind = Kind::draw(&mut random);
        let subject = draw_id(&mut random);
        let mut part = Part::default();
        for _ in 0..2 {
            let id = draw_id(&mut random);
            let request = request(kind, &subject, &id, &part, &mut random);
            let open = channel.take().filter(|(_, _, count)| *count < MAX_REQUESTS);
            let opened = open.map_or_else(|| open_connection(fleet, &mut random), Some);
            let Some((daemon, mut connection, count)) = opened else {
                verdict.count("no connection");
                break;
            };
            if connection.has_stray_bytes() {
                let seen = format!("daemon {daemon} sent bytes without a request");
                verdict.broken("no answer without a request", &id, seen);
                continue;
            }
            let started = Instant::now();
            let answer = connection.exchange(&request, DEADLINE + PATIENCE);
            let asked = Asked {
                id: &id,
                kind,
                part: &part,
                daemon,
                started,
                deadline: deadline_of(&request),
            };
            let next = judge(verdict, log, &asked, &answer);
            if let Ok(answer) = &answer
                && answer.is_complete
                && answer.header("connection").is_none_or(|v| v != "close")
            {
                channel = Some((daemon, connection, count + 1));
            }
            match next {
                Some(next) if kind == Kind::Resumable => part = next,
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
    }
}

fn open_connection(fleet: &Fleet, random: &mut SmallRng) -> Option<(usize, Connection, u32)> {
    let daemon = fleet.balance(random.random());
    let address = fleet.daemons[daemon].addresses.clients;
    let connection = Connection::open(address, CONNECT_TIMEOUT).ok()?;
    Some((daemon, connection, 0))
}

fn request(kind: Kind, subject: &str, id: &str, part: &Part, random: &mut SmallRng) -> Request {
    let is_hasty = random.random_range(0..10) == 0;
    let deadline = match is_hasty {
        true => random.random_range(HASTY_MS),
        false => DEADLINE.as_millis() as u64,
    };
    let deadline = deadline.to_string();
    let prompt = format!("9c2e41:300,{subject}:240");
    let mut headers = vec![
        ("Host", wire::HOST),
        (wire::ATTEMPT, id),
        (wire::DEADLINE, &deadline),
        (wire::CREDENTIALS, wire::CUSTOMER_CREDENTIALS),
    ];
    if kind.is_stream() {
        headers.extend([
            ("Model", "m"),
            ("Token-Counts", "540,40"),
            ("Prompt-Prefix", &prompt),
        ]);
    }
    let last = part.last.to_string();
    if part.last > 0 {
        headers.extend([
            (wire::RESUMES, part.attempt.as_str()),
            (wire::LAST_EVENT, &last),
        ]);
    }
    Request {
        method: "POST".into(),
        target: format!("{}{subject}", kind.prefix()),
        headers: http::headers(&headers),
        body: format!("body of {subject}").into_bytes(),
    }
}

/// Request whose answer is checked.
struct Asked<'a> {
    id: &'a str,
    kind: Kind,
    /// What the client has of the stream.
    part: &'a Part,
    daemon: usize,
    started: Instant,
    deadline: Duration,
}

fn deadline_of(request: &Request) -> Duration {
    let ms = request
        .header(wire::DEADLINE)
        .and_then(|ms| ms.parse().ok());
    ms.map_or(DEADLINE, Duration::from_millis)
}

/// Checks an answer. Returns what the client has of a stream that broke.
fn judge(
    verdict: &Verdict,
    log: &Log,
    asked: &Asked<'_>,
    answer: &io::Result<Response>,
) -> Option<Part> {
    let Asked {
        id,
        kind,
        part,
        daemon,
        ..
    } = *asked;
    let elapsed = asked.started.elapsed();
    let ms = elapsed.as_millis();
    let seen = answer.as_ref().ok();
    let is_signed = seen.is_some_and(|answer| answer.header(wire::SIGNATURE).is_some());
    let is_whole = seen.is_some_and(|answer| answer.is_complete);
    let sent = Sent {
        id: id.to_owned(),
        kind,
        status: seen.map(|answer| answer.status),
        is_signed,
        is_cut: !is_whole && elapsed + CUT_MARGIN < asked.deadline,
    };
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(sent);
    let answer = match answer {
        Ok(answer) => answer,
        Err(e) => {
            verdict.count(&format!("{kind:?}: no answer"));
            verdict.note(&format!("{id} {kind:?} daemon {daemon} {ms} ms: {e}"));
            return Some(part.clone());
        }
    };
    let is_complete = answer.is_complete;
    let end = if is_complete { "complete" } else { "broken" };
    let status = answer.status;
    verdict.count(&format!("{kind:?}: {status} {end}"));
    verdict.note(&format!(
        "{id} {kind:?} daemon {daemon} after {} {ms} ms: {status} {end}, {} bytes",
        part.last,
        answer.body.len()
    ));
    let echo = answer.header(wire::ATTEMPT);
    if echo.is_some_and(|echo| echo != id) {
        let seen = format!("the answer names {echo:?}");
        verdict.broken("own answer", id, seen);
        return None;
    }
    if status != 200 {
        return Some(part.clone());
    }
    if !is_signed || !answer.text().is_ascii() {
        verdict.broken(
            "answer of a replica",
            id,
            "no signature or wrong bytes".into(),
        );
    }
    let text = answer.text();
    if kind.is_stream() {
        match part.with(id, &text) {
            Err(seen) => verdict.broken("stream in order", id, seen),
            Ok(Part { last, .. }) if is_complete && last != EVENTS => {
                let seen = format!("ended as complete after event {last} of {EVENTS}");
                verdict.broken("stream whole", id, seen);
            }
            Ok(next) if !is_complete => return Some(next),
            Ok(_) => {}
        }
        return None;
    }
    let whole = content::body(id);
    if is_complete && text != whole {
        let seen = format!("{} bytes of {}: {:.80?}", text.len(), whole.len(), text);
        verdict.broken("whole body", id, seen);
    } else if !is_complete && !whole.starts_with(&text) {
        verdict.broken("own body", id, format!("{text:.80?}"));
    }
    None
}
