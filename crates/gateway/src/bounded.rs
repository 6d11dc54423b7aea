//! Connection whose reads are bounded: in one turn of its task, and until a response
//! has its head. It also knows whether a request has been sent to its end.
//!
//! The HTTP library reads on within one poll as long as bytes arrive, and skips interim
//! heads without a limit. Both are bounded here, beneath it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

/// Maximum number of bytes read in one turn of a task, before other tasks have theirs.
pub const TURN_BYTES: usize = 64 << 10;

/// Maximum number of bytes read for the head of one response, with interim heads and
/// the part of the body that is read along.
pub const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes read for the head of the response to the request in flight.
#[derive(Debug, Default)]
pub struct HeadLimit {
    is_awaited: AtomicBool,
    read: AtomicUsize,
}

impl HeadLimit {
    /// Starts to count, as a request is sent.
    pub fn start(&self) {
        self.read.store(0, Ordering::Relaxed);
        self.is_awaited.store(true, Ordering::Relaxed);
    }

    /// Stops counting, as the head has been read.
    pub fn end(&self) {
        self.is_awaited.store(false, Ordering::Relaxed);
    }

    /// Whether [`MAX_HEAD_BYTES`] were read without a head.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.is_awaited.load(Ordering::Relaxed)
            && self.read.load(Ordering::Relaxed) >= MAX_HEAD_BYTES
    }

    fn record(&self, count: usize) {
        self.read.fetch_add(count, Ordering::Relaxed);
    }
}

/// Sending of the request in flight.
#[derive(Debug, Default)]
pub struct Sending {
    is_blocked: AtomicBool,
}

impl Sending {
    /// Whether bytes of the request are left that the system has not taken, as the other side
    /// does not read them or has broken the connection.
    #[must_use]
    pub fn is_incomplete(&self) -> bool {
        self.is_blocked.load(Ordering::Relaxed)
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        let is_taken = matches!(written, Poll::Ready(Ok(_)));
        self.is_blocked.store(!is_taken, Ordering::Relaxed);
    }
}

/// Connection with bounded reads. Writes are passed on.
#[derive(Debug)]
pub struct Bounded<T> {
    inner: T,
    /// Bytes read in this turn.
    in_turn: usize,
    head: Option<Arc<HeadLimit>>,
    sending: Option<Arc<Sending>>,
}

impl<T> Bounded<T> {
    /// Bounds the bytes of one turn.
    #[must_use]
    pub fn new(inner: T) -> Self {
        Self {
            inner,
            in_turn: 0,
            head: None,
            sending: None,
        }
    }

    /// Bounds the bytes until a response has its head, too; a read fails beyond them.
    #[must_use]
    pub fn with_head_limit(self, head: Arc<HeadLimit>) -> Self {
        Self {
            head: Some(head),
            ..self
        }
    }

    /// Records how far requests are sent.
    #[must_use]
    pub fn with_sending(self, sending: Arc<Sending>) -> Self {
        Self {
            sending: Some(sending),
            ..self
        }
    }

    fn record_written(&self, written: &Poll<io::Result<usize>>) {
        if let Some(sending) = &self.sending {
            sending.record(written);
        }
    }

    /// Connection without the bounds.
    #[must_use]
    pub fn into_inner(self) -> T {
        self.inner
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Bounded<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.in_turn >= TURN_BYTES {
            self.in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.head.as_ref().is_some_and(|head| head.is_exceeded()) {
            return Poll::Ready(Err(io::Error::other(
                "the head of the response exceeds the limit",
            )));
        }
        let length = buffer.len().min(TURN_BYTES - self.in_turn);
        let result = Pin::new(&mut self.inner).poll_read(cx, &mut buffer[..length]);
        match &result {
            Poll::Ready(Ok(count)) => {
                self.in_turn += count;
                if let Some(head) = &self.head {
                    head.record(*count);
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.in_turn = 0,
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Bounded<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, parts);
        self.record_written(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
