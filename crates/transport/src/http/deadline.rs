//! Bounds on how slowly a caller may send.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;
use smol::net::TcpStream;

/// Time that an idle connection is kept.
const IDLE: Duration = Duration::from_secs(60);

/// Time for a whole head from its first byte on.
const HEAD: Duration = Duration::from_secs(10);

/// Time between two reads of a body.
const BODY_GAP: Duration = Duration::from_secs(10);

/// Time for one write to a caller that does not read.
const WRITE: Duration = Duration::from_secs(30);

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
}

/// Connection of a caller whose reads and writes are bounded in time.
#[derive(Debug)]
pub(super) struct Guard {
    stream: TcpStream,
    state: Arc<Mutex<State>>,
    read: Timer,
    write: Option<Timer>,
}

impl Clone for Guard {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            state: Arc::clone(&self.state),
            read: Timer::never(),
            write: None,
        }
    }
}

impl Guard {
    pub(super) fn new(stream: TcpStream) -> Self {
        let state = State {
            phase: Phase::Idle,
            deadline: Instant::now() + IDLE,
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
            read: Timer::never(),
            write: None,
        }
    }

    /// Notes that the head is whole.
    pub(super) fn head_done(&self) {
        self.set(Phase::Body, BODY_GAP);
    }

    /// Notes that the response is sent.
    pub(super) fn answered(&self) {
        self.set(Phase::Idle, IDLE);
    }

    /// Whether a request has begun and its head is not whole.
    pub(super) fn in_head(&self) -> bool {
        self.lock().phase == Phase::Head
    }

    fn set(&self, phase: Phase, bound: Duration) {
        let mut state = self.lock();
        state.phase = phase;
        state.deadline = Instant::now() + bound;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn received(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        match state.phase {
            Phase::Idle => {
                state.phase = Phase::Head;
                state.deadline = now + HEAD;
            }
            Phase::Head => {}
            Phase::Body => state.deadline = now + BODY_GAP,
        }
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let deadline = self.lock().deadline;
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(n)) if n > 0 => {
                self.received();
                Poll::Ready(Ok(n))
            }
            Poll::Pending => {
                self.read.set_at(deadline);
                Pin::new(&mut self.read)
                    .poll(cx)
                    .map(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "slow sender")))
            }
            ready => ready,
        }
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Pending => {
                let timer = self.write.get_or_insert_with(|| Timer::after(WRITE));
                Pin::new(timer)
                    .poll(cx)
                    .map(|_| Err(io::Error::new(io::ErrorKind::TimedOut, "slow reader")))
            }
            ready => {
                self.write = None;
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
