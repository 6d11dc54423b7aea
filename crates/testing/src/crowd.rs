//! Clients outside the limits: many connections at once that send request heads which are too
//! large, never end, or are never begun.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time in which a crowd sends its bytes; what is not taken by then is not sent.
const SEND_TIME: Duration = Duration::from_secs(6);

/// Pause after a round in which no connection took bytes.
const PAUSE: Duration = Duration::from_millis(5);

/// Timeout of connecting, and of each step of an ordinary request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a head that stops: less than the 400 KB at which the HTTP library of the gateway
/// refuses one.
const STOPPED_HEAD_BYTES: usize = 350_000;

/// Bytes of what has no end, so that a test ends.
const ENDLESS_BYTES: usize = 1_000_000;

/// What the connections of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Complete heads over the limit.
    LargeHeads,
    /// Heads of many headers without end.
    EndlessHeads,
    /// One header without end.
    EndlessHeader,
    /// Empty lines without end before a request.
    EmptyLines,
    /// Heads that stop before their end.
    StoppedHeads,
    /// Nothing.
    Silent,
}

/// All kinds.
pub const KINDS: [Kind; 6] = [
    Kind::LargeHeads,
    Kind::EndlessHeads,
    Kind::EndlessHeader,
    Kind::EmptyLines,
    Kind::StoppedHeads,
    Kind::Silent,
];

/// Connections of a crowd that sends.
const SENDERS: usize = 300;

/// Connections of a crowd that says nothing.
const SILENT: usize = 600;

impl Kind {
    fn connections(self) -> usize {
        match self {
            Self::Silent => SILENT,
            _ => SENDERS,
        }
    }

    fn bytes(self) -> Vec<u8> {
        let start = b"GET /ack/a HTTP/1.1\r\nhost: a.example\r\n".as_slice();
        let headers = |bytes: usize| b"x-filler: aaaaaaaaaaaaaaaaaaa\r\n".repeat(bytes / 31);
        match self {
            Self::LargeHeads => [start, &headers(STOPPED_HEAD_BYTES), b"\r\n"].concat(),
            Self::EndlessHeads => [start, &headers(ENDLESS_BYTES)].concat(),
            Self::EndlessHeader => [start, b"x: ", &b"a".repeat(ENDLESS_BYTES)].concat(),
            Self::EmptyLines => b"\r\n".repeat(ENDLESS_BYTES / 2),
            // Large values, as the library limits the number of headers, too.
            Self::StoppedHeads => [start, b"x: ", &b"a".repeat(STOPPED_HEAD_BYTES)].concat(),
            Self::Silent => Vec::new(),
        }
    }
}

/// Crowd whose connections stay open until it is dropped or the server closes them.
#[derive(Debug)]
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects a crowd and sends what the server takes in bounded time.
    #[must_use]
    pub fn send(address: SocketAddr, kind: Kind) -> Self {
        let bytes = kind.bytes();
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some((stream, 0))
        };
        // A connection that the server refuses is none of the crowd any more.
        let mut streams: Vec<(TcpStream, usize)> =
            (0..kind.connections()).filter_map(connect).collect();
        let until = Instant::now() + SEND_TIME;
        loop {
            let mut sent_now = 0;
            for (stream, sent) in &mut streams {
                match stream.write(&bytes[*sent..]) {
                    Ok(count) => {
                        *sent += count;
                        sent_now += count;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => *sent = bytes.len(),
                }
            }
            let is_over = streams.iter().all(|(_, sent)| *sent == bytes.len());
            if is_over || Instant::now() > until {
                break;
            }
            if sent_now == 0 {
                thread::sleep(PAUSE);
            }
        }
        let streams = streams.into_iter().map(|(stream, _)| stream);
        Self {
            _streams: streams.collect(),
        }
    }
}

/// Status of the answer to a request; `None` if there is none in bounded time.
#[must_use]
pub fn fetch_status(address: SocketAddr, request: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..]).ok()?.parse().ok()
}
