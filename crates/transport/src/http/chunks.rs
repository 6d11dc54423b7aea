//! Response body from a stream of byte chunks.
//!
//! `http_types` takes a body as a buffered reader, while a daemon produces
//! parts of a response over time, such as single events. [`Chunks`] adapts a
//! stream of byte chunks to such a reader.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::Stream;
use futures_lite::io::{AsyncBufRead, AsyncRead};

/// Buffered reader over a stream of byte chunks.
///
/// ```
/// use bitterncart_transport::http::chunks::Chunks;
/// use futures_lite::{AsyncReadExt, stream};
///
/// let mut text = String::new();
/// let parts = stream::iter([Ok(b"to".to_vec()), Ok(b"ken".to_vec())]);
/// smol::block_on(Chunks::new(parts).read_to_string(&mut text)).unwrap();
/// assert_eq!(text, "token");
/// ```
#[derive(Debug)]
pub struct Chunks<S> {
    stream: S,
    chunk: Vec<u8>,
    position: usize,
}

impl<S> Chunks<S> {
    /// Creates a reader over a stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            chunk: Vec::new(),
            position: 0,
        }
    }
}

impl<S: Stream<Item = io::Result<Vec<u8>>> + Unpin> AsyncBufRead for Chunks<S> {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position >= this.chunk.len() {
            match ready!(Pin::new(&mut this.stream).poll_next(cx)) {
                Some(Ok(chunk)) => {
                    this.chunk = chunk;
                    this.position = 0;
                }
                Some(Err(e)) => return Poll::Ready(Err(e)),
                None => return Poll::Ready(Ok(&[])),
            }
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl<S: Stream<Item = io::Result<Vec<u8>>> + Unpin> AsyncRead for Chunks<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let chunk = ready!(self.as_mut().poll_fill_buf(cx))?;
        let size = chunk.len().min(buf.len());
        buf[..size].copy_from_slice(&chunk[..size]);
        self.consume(size);
        Poll::Ready(Ok(size))
    }
}
