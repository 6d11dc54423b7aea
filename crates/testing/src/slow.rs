//! Clients that read their answers slowly: many connections, each at a bounded rate, with the
//! segments and the receive buffer of a network in place of those of the loopback device.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

/// Size of a segment, in bytes.
const SEGMENT_BYTES: u32 = 1460;

/// Size of the receive buffer, in bytes.
const RECEIVE_BYTES: usize = 4096;

/// Bytes that a connection reads at a time, and the time between two reads: 40 kB a second.
const READ_BYTES: usize = 4096;
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before a connection that ended is opened again.
const PAUSE: Duration = Duration::from_millis(500);

/// Slow readers, until they are dropped.
#[derive(Debug)]
pub struct Readers {
    is_over: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

/// One connection, which sends its request anew when an answer has ended.
struct Reader {
    address: SocketAddr,
    request: Vec<u8>,
    stream: Option<TcpStream>,
    opens_at: Instant,
    has_answer: bool,
}

impl Readers {
    /// Starts readers, each with the address that it connects to and what it sends there.
    #[must_use]
    pub fn start(requests: Vec<(SocketAddr, String)>) -> Self {
        let (is_over, answered) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (until, successes) = (Arc::clone(&is_over), Arc::clone(&answered));
        let mut readers: Vec<Reader> = requests
            .into_iter()
            .map(|(address, request)| Reader {
                address,
                request: request.into_bytes(),
                stream: None,
                opens_at: Instant::now(),
                has_answer: false,
            })
            .collect();
        let thread = thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                let round = Instant::now();
                for reader in &mut readers {
                    let has_begun = reader.take_turn();
                    successes.fetch_add(usize::from(has_begun), Ordering::Relaxed);
                }
                thread::sleep(READ_INTERVAL.saturating_sub(round.elapsed()));
            }
        });
        Self {
            is_over,
            answered,
            thread: Some(thread),
        }
    }

    /// Number of answers with status 200 that have begun to arrive.
    #[must_use]
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }
}

impl Drop for Readers {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Its panic has been printed.
            drop(thread.join());
        }
    }
}

impl Reader {
    /// Connects, or reads a little; whether an answer of success begins.
    fn take_turn(&mut self) -> bool {
        let Some(stream) = &mut self.stream else {
            if Instant::now() >= self.opens_at {
                self.stream = connect(self.address, &self.request).ok();
                self.has_answer = false;
            }
            return false;
        };
        let mut buffer = [0; READ_BYTES];
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => {
                let is_first = !self.has_answer;
                self.has_answer = true;
                is_first && buffer[..count].starts_with(b"HTTP/1.1 200")
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            _ => {
                self.stream = None;
                self.opens_at = Instant::now() + PAUSE;
                false
            }
        }
    }
}

fn connect(address: SocketAddr, request: &[u8]) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.connect_timeout(&address.into(), CONNECT_TIMEOUT)?;
    let mut stream = TcpStream::from(socket);
    stream.write_all(request)?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}
