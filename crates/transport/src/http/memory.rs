//! Memory for bodies: those that a client reads, and those that a server still writes.
//!
//! A body counts until its last byte has been written. Large bodies leave a part of the memory
//! to small ones. While memory is short, bodies that have been written for longer than any
//! caller waits give way, the oldest first: their responses end before the length they state.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures_lite::Stream;
use http_types::Body;

use super::chunks::Chunks;

/// Maximum size of a small body, in bytes.
const SMALL_BYTES: usize = 64 << 10;

/// Part of the memory that is left to small bodies: one in this many bytes.
const SMALL_DIVISOR: usize = 4;

/// Time for which a body is written in any case.
const MIN_WRITE_TIME: Duration = Duration::from_secs(5);

/// Bytes that are handed to the connection at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Start of the writing of a body, and a number that no other body has.
type Key = (Instant, u64);

#[derive(Debug, Default)]
struct State {
    held_bytes: usize,
    next: u64,
    written: BTreeMap<Key, Vec<u8>>,
}

impl State {
    /// Removes a body that is being written, if it has not given way.
    fn remove(&mut self, key: Key) {
        if let Some(body) = self.written.remove(&key) {
            self.held_bytes -= body.capacity();
        }
    }

    /// Removes the body that has been written longest; `false` if none has been for
    /// [`MIN_WRITE_TIME`].
    fn remove_slowest(&mut self) -> bool {
        match self.written.first_key_value() {
            Some((&key, _)) if key.0.elapsed() >= MIN_WRITE_TIME => {
                self.remove(key);
                true
            }
            _ => false,
        }
    }

    /// Removes the slowest bodies until all take at most `max_bytes`; `false` if those that are
    /// left take more.
    fn make_room(&mut self, max_bytes: usize) -> bool {
        while self.held_bytes > max_bytes {
            if !self.remove_slowest() {
                return false;
            }
        }
        true
    }
}

/// Memory for the bodies of a client and of what passes them on; clones share it.
#[derive(Clone, Debug)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    max_bytes: usize,
}

impl Memory {
    /// Memory for a number of bytes.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            state: Arc::default(),
            max_bytes,
        }
    }

    /// Body of a response that counts until it has been written.
    #[must_use]
    pub fn body(&self, bytes: Vec<u8>) -> Body {
        let length = bytes.len();
        let mut state = self.lock();
        let key = (Instant::now(), state.next);
        state.next += 1;
        state.held_bytes += bytes.capacity();
        state.written.insert(key, bytes);
        // The bytes are in memory already, whether there is room or not.
        let _has_room = state.make_room(self.max_bytes);
        drop(state);
        let written = Written {
            memory: self.clone(),
            key,
            position: 0,
            length,
        };
        Body::from_reader(Chunks::new(written), Some(length))
    }

    /// Share of a body that holds nothing yet.
    pub(super) fn share(&self) -> Share<'_> {
        Share {
            memory: self,
            bytes: 0,
        }
    }

    fn max_bytes_for(&self, size: usize) -> usize {
        match size {
            0..=SMALL_BYTES => self.max_bytes,
            _ => self.max_bytes - self.max_bytes / SMALL_DIVISOR,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Share of a body that is being read, given back when it is dropped.
#[derive(Debug)]
pub(super) struct Share<'a> {
    memory: &'a Memory,
    bytes: usize,
}

impl Share<'_> {
    /// Sets the size of the body, which only grows; `false` if there is no memory for it.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        let mut state = self.memory.lock();
        state.held_bytes += bytes - self.bytes;
        self.bytes = bytes;
        state.make_room(self.memory.max_bytes_for(bytes))
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.memory.lock().held_bytes -= self.bytes;
    }
}

/// Chunks of a body that is being written.
#[derive(Debug)]
struct Written {
    memory: Memory,
    key: Key,
    position: usize,
    length: usize,
}

impl Stream for Written {
    type Item = io::Result<Vec<u8>>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.position == self.length {
            return Poll::Ready(None);
        }
        let end = self.length.min(self.position + CHUNK_BYTES);
        let chunk = match self.memory.lock().written.get(&self.key) {
            Some(body) => Ok(body[self.position..end].to_vec()),
            None => Err(io::Error::other("the body gave way while memory was short")),
        };
        self.position = end;
        Poll::Ready(Some(chunk))
    }
}

impl Drop for Written {
    fn drop(&mut self) {
        self.memory.lock().remove(self.key);
    }
}
