//! Splits a byte stream into server-sent events.
//!
//! The bytes of an event are passed on unchanged; only its id and data fields
//! are parsed.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Raw bytes, including the empty line that ends the event.
    pub bytes: Bytes,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
}

impl Event {
    fn new(bytes: Bytes) -> Self {
        let id =
            field(&bytes, b"id").and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        Self { bytes, id }
    }

    /// Values of the `data` fields, joined by newlines.
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

/// Values of all fields of a name.
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

/// Buffer that splits a byte stream into events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: BytesMut,
}

impl Splitter {
    /// Appends bytes to the buffer.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let lf = self
            .buffer
            .windows(2)
            .position(|w| w == b"\n\n")
            .map(|at| at + 2);
        let crlf = self
            .buffer
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|at| at + 4);
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(Event::new(self.buffer.split_to(end).freeze()))
    }

    /// Whether the buffer holds an incomplete event.
    pub(crate) fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`].
    pub(crate) fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}
