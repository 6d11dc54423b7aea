//! Events of a stream, split without reading what they say.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const MAX_EVENT: usize = 1 << 20;

/// Whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes, with the empty line that ends it.
    pub bytes: Bytes,
    /// Its id.
    pub id: Option<u64>,
}

impl Event {
    fn new(bytes: Bytes) -> Self {
        let id =
            field(&bytes, b"id").and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        Self { bytes, id }
    }

    /// Data of the event, its lines joined.
    pub(crate) fn data(&self) -> String {
        let mut data = String::new();
        for (n, value) in fields(&self.bytes, b"data").enumerate() {
            if n > 0 {
                data.push('\n');
            }
            data.push_str(&String::from_utf8_lossy(value));
        }
        data
    }
}

fn fields<'a>(bytes: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    bytes.split(|b| *b == b'\n').filter_map(move |line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}

fn field<'a>(bytes: &'a [u8], name: &'a [u8]) -> Option<&'a [u8]> {
    fields(bytes, name).next()
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Takes bytes in.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = self
            .buffer
            .windows(2)
            .position(|w| w == b"\n\n")
            .map(|at| at + 2);
        let crlf = self
            .buffer
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|at| at + 4);
        let end = match (end, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(Event::new(self.buffer.split_to(end).freeze()))
    }

    /// Whether part of an event is left.
    pub(crate) fn is_inside(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event is larger than any may be.
    pub(crate) fn is_over(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }
}
