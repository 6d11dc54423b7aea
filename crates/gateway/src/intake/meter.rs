//! Connection whose request heads are bounded in size and time.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bitterncart_protocol::Code;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

use super::registry::Ticket;
use super::writers::{Writer, Writers};
use crate::clock;

/// Allowance beyond the limit of a head for its request line, separators and the part of the
/// body that is read with it.
const HEAD_SLACK_BYTES: usize = 8 << 10;

/// Allowance beyond the timeout of a head: an eighth of it, for clocks that differ, and this
/// time, for a machine that is busy.
const HEAD_TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Bounds of a head.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of bytes, with empty lines before it.
    pub bytes: usize,
    /// Time from its first byte to its end.
    pub timeout: Duration,
}

impl Bounds {
    /// Bounds that no client within the limits of the manifest meets.
    #[must_use]
    pub fn new(max_head: usize, timeout: Duration) -> Self {
        Self {
            bytes: max_head + HEAD_SLACK_BYTES,
            timeout: timeout + timeout / 8 + HEAD_TIMEOUT_SLACK,
        }
    }
}

/// Why a head was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is too large.
    TooLarge,
    /// It did not end in time.
    TooSlow,
}

impl Refusal {
    /// Result code.
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Self::TooLarge => Code::HeadTooLarge,
            Self::TooSlow => Code::SlowSender,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of the next head.
    Idle,
    /// Bytes of a head, and the time at which it has to be complete.
    Head { bytes: usize, deadline: Duration },
    /// The body is not complete.
    Body,
    /// The request is served.
    Request,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    refusal: Option<Refusal>,
    /// Whether all of the response before has been written.
    is_flushed: bool,
    /// Entry among the connections that write a large response.
    writer: Option<Writer>,
}

/// State of the requests of one connection.
#[derive(Debug)]
pub struct Meter {
    ticket: Ticket,
    bounds: Bounds,
    /// Time for which an idle connection is not closed for others.
    kept_idle: Duration,
    state: Mutex<State>,
}

impl Meter {
    /// Meter of a new connection.
    #[must_use]
    pub fn new(ticket: Ticket, bounds: Bounds, kept_idle: Duration) -> Self {
        let state = State {
            phase: Phase::Idle,
            refusal: None,
            is_flushed: true,
            writer: None,
        };
        Self {
            ticket,
            bounds,
            kept_idle,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Entry among the open connections.
    #[must_use]
    pub fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// Stops counting, as a request has its whole head. Until its body is complete, the
    /// connection may be closed for others.
    pub fn head_received(&self, has_body: bool) {
        let mut state = self.lock();
        state.phase = Phase::Body;
        state.is_flushed = false;
        drop(state);
        self.ticket.head_received();
        if !has_body {
            self.body_received();
        }
    }

    /// Marks the connection as in use, as its request is complete.
    pub fn body_received(&self) {
        self.lock().phase = Phase::Request;
        self.ticket.request_received();
    }

    /// Marks the connection as writing a large response.
    pub fn response_started(&self, writers: &Writers) {
        let writer = writers.start(clock::now(), self.ticket.closer());
        self.lock().writer = Some(writer);
    }

    /// Waits for the next head, as the response has ended. If the request was `refused`, the
    /// connection may be closed for others at once: refusals cost a client nothing.
    pub fn response_ended(&self, refused: bool) {
        self.lock().phase = Phase::Idle;
        let kept_idle = if refused {
            Duration::ZERO
        } else {
            self.kept_idle
        };
        self.ticket.response_ended(clock::now() + kept_idle);
    }

    /// Why the connection was closed, if a response may be written: nothing of an earlier one
    /// is left to be sent.
    #[must_use]
    pub fn refusal(&self) -> Option<Refusal> {
        let state = self.lock();
        state.refusal.filter(|_| state.is_flushed)
    }

    /// Number of bytes that may be read now.
    fn allowance(&self) -> Result<usize, Refusal> {
        let mut state = self.lock();
        match state.phase {
            Phase::Idle => Ok(self.bounds.bytes),
            Phase::Head { bytes, .. } if bytes >= self.bounds.bytes => {
                state.refusal = Some(Refusal::TooLarge);
                Err(Refusal::TooLarge)
            }
            Phase::Head { bytes, .. } => Ok(self.bounds.bytes - bytes),
            Phase::Body | Phase::Request => Ok(usize::MAX),
        }
    }

    fn record(&self, count: usize) {
        let now = clock::now();
        let mut state = self.lock();
        let (bytes, deadline) = match state.phase {
            Phase::Idle => (0, now + self.bounds.timeout),
            Phase::Head { bytes, deadline } => (bytes, deadline),
            Phase::Body | Phase::Request => return,
        };
        let bytes = bytes + count;
        state.phase = Phase::Head { bytes, deadline };
        drop(state);
        self.ticket.add_head_bytes(count, now);
    }

    /// Time that is left for the head that is being read; `None` if there is none.
    fn remaining(&self) -> Option<Duration> {
        match self.lock().phase {
            Phase::Head { deadline, .. } => Some(deadline.saturating_sub(clock::now())),
            Phase::Idle | Phase::Body | Phase::Request => None,
        }
    }
}

/// Connection with bounded heads. Writes are passed on.
#[derive(Debug)]
pub struct Metered<T> {
    inner: T,
    meter: Arc<Meter>,
    timer: Option<Timer>,
}

impl<T> Metered<T> {
    /// Bounds the heads of a connection.
    #[must_use]
    pub fn new(inner: T, meter: Arc<Meter>) -> Self {
        Self {
            inner,
            meter,
            timer: None,
        }
    }

    /// Connection without the bounds.
    #[must_use]
    pub fn into_inner(self) -> T {
        self.inner
    }
}

fn error(refusal: Refusal) -> io::Error {
    match refusal {
        Refusal::TooLarge => io::Error::other("the head of the request exceeds the limit"),
        Refusal::TooSlow => io::Error::new(io::ErrorKind::TimedOut, "slow sender"),
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let allowance = match self.meter.allowance() {
            Ok(allowance) => allowance,
            Err(refusal) => return Poll::Ready(Err(error(refusal))),
        };
        let length = buffer.len().min(allowance);
        match Pin::new(&mut self.inner).poll_read(cx, &mut buffer[..length]) {
            Poll::Ready(Ok(count)) => {
                if count > 0 {
                    self.meter.record(count);
                }
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                let Some(remaining) = self.meter.remaining() else {
                    self.timer = None;
                    return Poll::Pending;
                };
                if remaining.is_zero() {
                    self.meter.lock().refusal = Some(Refusal::TooSlow);
                    return Poll::Ready(Err(error(Refusal::TooSlow)));
                }
                // The boot clock may be ahead of the timer's after a suspension.
                let timer = self.timer.get_or_insert_with(Timer::never);
                timer.set_after(remaining);
                if Pin::new(timer).poll(cx).is_ready() {
                    cx.waker().wake_by_ref();
                }
                Poll::Pending
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, parts)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            let mut state = self.meter.lock();
            if matches!(state.phase, Phase::Idle | Phase::Head { .. }) {
                state.is_flushed = true;
                state.writer = None;
            }
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // After empty lines alone, the HTTP library takes the error for an orderly end and
        // closes; the refusal is still to be written.
        if self.meter.refusal().is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
