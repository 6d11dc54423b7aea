//! Connection that bounds the size of a response head.
//!
//! The parser of heads buffers a line until its end, so a server that never ends one
//! could fill the memory. Reads fail once the limit is exceeded, until the head has
//! been received and the limit is lifted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};

/// Maximum size of a response head, with the part of the body that is read with it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Connection whose reads are bounded until the limit is lifted.
#[derive(Debug)]
pub(super) struct HeadLimit<S> {
    stream: S,
    remaining: Arc<AtomicUsize>,
}

/// Handle that lifts the limit of a connection.
#[derive(Debug)]
pub(super) struct Lift(Arc<AtomicUsize>);

impl Lift {
    /// Lifts the limit, as the head has been received.
    pub(super) fn lift(self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }
}

impl<S> HeadLimit<S> {
    pub(super) fn new(stream: S) -> (Self, Lift) {
        let remaining = Arc::new(AtomicUsize::new(MAX_HEAD_BYTES));
        let limit = Self {
            stream,
            remaining: Arc::clone(&remaining),
        };
        (limit, Lift(remaining))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == 0 {
            let reason = format!("the response head exceeds {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let length = buf.len().min(remaining);
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf[..length]))?;
        if remaining != usize::MAX {
            self.remaining.store(remaining - count, Ordering::Relaxed);
        }
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
