//! Connection with time limits for reads and writes.
//!
//! A caller that sends or reads very slowly would occupy a connection without
//! limit. [`Stream`] fails reads that miss the deadline of the current phase:
//! idle between requests, reading a request head, or reading a body. The head
//! has one deadline as a whole, so that sending single bytes does not extend
//! it, while each read of a body extends the deadline. Each write that blocks
//! has a time limit of its own. The size of a head is limited here, too, as the HTTP
//! library buffers a line until its end.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

/// Time limit for the first byte of the next request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for a whole request head, from its first byte on.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit between two reads of a body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for one write to a caller that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of bytes read for a head, with empty lines before it: the 8 KB of the HTTP
/// library, what its buffer reads along, and as much again.
const MAX_HEAD_BYTES: usize = 24 << 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Head,
    Body,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    deadline: Instant,
    /// Bytes read for the current head.
    head_bytes: usize,
}

/// TCP stream of a caller with time limits; clones share their phase and deadline.
#[derive(Debug)]
pub(super) struct Stream {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    read_timer: Timer,
    write_timer: Option<Timer>,
}

impl Clone for Stream {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            state: Arc::clone(&self.state),
            read_timer: Timer::never(),
            write_timer: None,
        }
    }
}

impl Stream {
    pub(super) fn new(stream: TcpStream) -> Self {
        let state = State {
            phase: Phase::Idle,
            deadline: Instant::now() + IDLE_TIMEOUT,
            head_bytes: 0,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
            read_timer: Timer::never(),
            write_timer: None,
        }
    }

    /// Starts the body phase, once the whole head has been received.
    pub(super) fn head_received(&self) {
        self.enter_phase(Phase::Body, BODY_READ_TIMEOUT);
    }

    /// Starts the idle phase, once the response has been sent.
    pub(super) fn response_sent(&self) {
        self.enter_phase(Phase::Idle, IDLE_TIMEOUT);
    }

    /// Whether a part of a request head has been received, but not all of it.
    pub(super) fn is_reading_head(&self) -> bool {
        self.lock().phase == Phase::Head
    }

    /// Whether a head was refused as it is too large.
    pub(super) fn is_head_too_large(&self) -> bool {
        self.lock().is_head_too_large()
    }

    fn enter_phase(&self, phase: Phase, timeout: Duration) {
        let mut state = self.lock();
        state.phase = phase;
        state.deadline = Instant::now() + timeout;
        state.head_bytes = 0;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the head phase with the first byte of a request; extends the deadline of a body.
    fn update_after_read(&self, count: usize) {
        let now = Instant::now();
        let mut state = self.lock();
        match state.phase {
            Phase::Idle => {
                state.phase = Phase::Head;
                state.deadline = now + HEAD_TIMEOUT;
                state.head_bytes = count;
            }
            Phase::Head => state.head_bytes += count,
            Phase::Body => state.deadline = now + BODY_READ_TIMEOUT,
        }
    }
}

impl State {
    fn is_head_too_large(&self) -> bool {
        self.phase == Phase::Head && self.head_bytes >= MAX_HEAD_BYTES
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let state = self.lock();
        if state.is_head_too_large() {
            let reason = "the request head is too large";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let deadline = state.deadline;
        drop(state);
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(n)) if n > 0 => {
                self.update_after_read(n);
                Poll::Ready(Ok(n))
            }
            Poll::Pending => {
                self.read_timer.set_at(deadline);
                Pin::new(&mut self.read_timer)
                    .poll(cx)
                    .map(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "slow sender")))
            }
            ready => ready,
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Pending => {
                let timer = self
                    .write_timer
                    .get_or_insert_with(|| Timer::after(WRITE_TIMEOUT));
                Pin::new(timer)
                    .poll(cx)
                    .map(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "slow reader")))
            }
            ready => {
                self.write_timer = None;
                ready
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
