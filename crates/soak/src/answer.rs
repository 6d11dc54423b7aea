//! Answers of a replica to requests that it runs.

use std::io::{self, Write};
use std::net::TcpStream;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::content::{self, EVENTS};
use crate::http::{self, Request};
use crate::replica::{Replica, Shares, Then, is_closed, link};
use bitterncart_platform::wire;

/// Time from a request to the first byte of its answer.
const WORK: Duration = Duration::from_millis(15);

/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Time between the two halves of a body.
const BODY_PAUSE: Duration = Duration::from_millis(5);

/// Bytes that are no answer.
const GARBAGE: &[u8] = b"\x00\x17\n\nid: 1\ndata: nothing\n\n\xff\xfe no answer at all\r\n\r\n";

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

/// All framings.
pub const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

impl FromStr for Framing {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "length" => Ok(Self::Length),
            "chunks" => Ok(Self::Chunks),
            "connection" => Ok(Self::Connection),
            _ => Err(format!(
                "framing {name:?} is not known; use length, chunks or connection"
            )),
        }
    }
}

impl Framing {
    /// Name as an argument.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }

    /// Header that tells it, for a body of `length`.
    fn header(self, length: usize) -> String {
        match self {
            Self::Length => format!("Content-Length: {length}\r\nKeep-Alive: timeout=5\r\n"),
            Self::Chunks => "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n".into(),
            Self::Connection => "Connection: close\r\n".into(),
        }
    }

    fn frame(self, bytes: &[u8]) -> Vec<u8> {
        match self {
            Self::Chunks => http::chunk(bytes),
            Self::Length | Self::Connection => bytes.to_vec(),
        }
    }

    fn end(self) -> Vec<u8> {
        match self {
            Self::Chunks => http::chunk(b""),
            Self::Length | Self::Connection => Vec::new(),
        }
    }
}

/// Where an answer breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    /// Before its head.
    BeforeHead,
    /// Behind its head.
    AfterHead,
    /// Behind a part of the body, between two events.
    Between,
    /// Inside a part of the body.
    Inside,
    /// Wrong bytes take the place of the answer.
    Garbage,
}

const BREAKS: [Break; 5] = [
    Break::BeforeHead,
    Break::AfterHead,
    Break::Between,
    Break::Inside,
    Break::Garbage,
];

/// Runs a request and writes the answer.
pub(crate) fn run(
    replica: &Replica,
    request: &Request,
    writer: &mut TcpStream,
    link: usize,
    random: &mut SmallRng,
) -> io::Result<Then> {
    let id = request.header(wire::ATTEMPT).unwrap_or("-").to_owned();
    let path = request.path();
    let is_stream = [
        wire::RESUMABLE_PREFIX,
        wire::STREAM_PREFIX,
        wire::BATCH_PREFIX,
    ]
    .iter()
    .any(|prefix| path.starts_with(prefix));
    let last = request.header(wire::LAST_EVENT);
    let after = last.and_then(|n| n.parse().ok()).unwrap_or(0);
    let framings = &replica.options.framings;
    let framing = *framings.choose(random).unwrap_or(&Framing::Length);
    let deadline = request
        .header(wire::DEADLINE)
        .and_then(|ms| ms.parse().ok());
    let until = deadline.map(|ms| Instant::now() + Duration::from_millis(ms));
    let note = |what: &str| replica.note(link, &id, what);
    note(&format!("run after={after} framing={}", framing.name()));
    let signature = format!("{}.{id}", replica.options.id);
    let echo = [
        (wire::ATTEMPT, id.as_str()),
        (wire::SIGNATURE, signature.as_str()),
    ];
    thread::sleep(WORK);
    if Shares::draw(&replica.shares.fail, random) {
        note("failed");
        let message = http::response(500, &echo, b"{\"why\":\"fault\"}");
        writer.write_all(&message)?;
        return Ok(Then::Keep(replica.shares.copy_of(message, random)));
    }
    let at = Shares::draw(&replica.shares.breaks, random)
        .then(|| *BREAKS.choose(random).unwrap_or(&Break::Between));
    let then_break = if random.random() {
        Then::End
    } else {
        Then::Reset
    };
    let broken = |at: Break, event: u64, then: Then| {
        let end = if matches!(then, Then::End) {
            "end"
        } else {
            "reset"
        };
        note(&format!("broke {at:?} event={event} by {end}"));
        Ok(then)
    };
    match at {
        Some(at @ Break::BeforeHead) => return broken(at, after, then_break),
        Some(at @ Break::Garbage) => {
            writer.write_all(GARBAGE)?;
            return broken(at, after, Then::End);
        }
        _ => {}
    }
    let version = &replica.options.version;
    let parts: Vec<String> = match (is_stream, content::is_large(path)) {
        (true, false) => (after + 1..=EVENTS)
            .map(|n| content::event(&id, n, version))
            .collect(),
        (true, true) => (after + 1..=EVENTS)
            .map(|n| content::large_event(&id, n, version))
            .collect(),
        (false, false) => halves(&content::body(&id)),
        (false, true) => halves(&content::large_body(&id)),
    };
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let length = parts.iter().map(String::len).sum();
    let mut message = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {signature}\r\nContent-Type: {kind}\r\n{}\r\n",
        wire::ATTEMPT,
        wire::SIGNATURE,
        framing.header(length)
    )
    .into_bytes();
    writer.write_all(&message)?;
    if at == Some(Break::AfterHead) {
        return broken(Break::AfterHead, after, then_break);
    }
    let breaks_at = random.random_range(0..parts.len().max(1));
    for (n, part) in parts.iter().enumerate() {
        let event = after + n as u64;
        match (is_stream, n) {
            (_, 0) => {}
            (true, _) => thread::sleep(EVENT_INTERVAL),
            (false, _) => thread::sleep(BODY_PAUSE),
        }
        while replica.link(link) == link::SILENT {
            thread::sleep(EVENT_INTERVAL);
        }
        if replica.link(link) == link::RESET {
            note(&format!("link reset event={event}"));
            return Ok(Then::Reset);
        }
        if is_closed(writer) {
            note(&format!("left event={event}"));
            return Ok(Then::End);
        }
        if until.is_some_and(|until| Instant::now() >= until) {
            note(&format!("deadline event={event}"));
            return Ok(Then::End);
        }
        match at {
            Some(at @ Break::Between) if n == breaks_at => return broken(at, event, then_break),
            Some(at @ Break::Inside) if n == breaks_at => {
                let part = framing.frame(part.as_bytes());
                writer.write_all(&part[..part.len() / 2])?;
                return broken(at, event, then_break);
            }
            _ => {}
        }
        let part = framing.frame(part.as_bytes());
        writer.write_all(&part)?;
        message.extend_from_slice(&part);
    }
    writer.write_all(&framing.end())?;
    message.extend_from_slice(&framing.end());
    note("done");
    if framing == Framing::Connection {
        return Ok(Then::End);
    }
    Ok(Then::Keep(replica.shares.copy_of(message, random)))
}

/// Halves of a text of single-byte characters.
fn halves(text: &str) -> Vec<String> {
    let (first, second) = text.split_at(text.len() / 2);
    vec![first.to_owned(), second.to_owned()]
}
