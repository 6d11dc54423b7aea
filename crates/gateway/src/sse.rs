//! Splits a byte stream into server-sent events.
//!
//! The bytes of an event are passed on unchanged; only its id and data fields
//! are parsed.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

use crate::budget::Share;

/// Maximum size of one event.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
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
    #[must_use]
    pub fn data(&self) -> String {
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
///
/// An empty line ends an event; lines end with a line feed, or with a carriage return
/// and one. Empty lines that follow no other line are ignored, as in the standard. The
/// cost is linear in the bytes, in whatever pieces they arrive.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// What the buffer takes of the memory for answers.
    share: Share,
    is_within_budget: bool,
    /// Start of the last line, which has no end yet.
    line_start: usize,
    /// Bytes in which ends of lines were searched.
    searched: usize,
}

impl Splitter {
    /// Empty buffer of one answer.
    #[must_use]
    pub fn new(share: Share) -> Self {
        Self {
            buffer: BytesMut::new(),
            share,
            is_within_budget: true,
            line_start: 0,
            searched: 0,
        }
    }

    /// Appends bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.is_within_budget = self.share.resize(self.buffer.len());
    }

    /// Removes the next complete event from the buffer.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(at) = memchr(b'\n', &self.buffer[self.searched..]) {
            let line_end = self.searched + at;
            let line = &self.buffer[self.line_start..line_end];
            let is_empty = matches!(line, b"" | b"\r");
            let (first, next) = (self.line_start == 0, line_end + 1);
            (self.line_start, self.searched) = (next, next);
            if is_empty {
                (self.line_start, self.searched) = (0, 0);
                let bytes = self.buffer.split_to(next);
                if !first {
                    return Some(Event::new(self.share.hold(bytes.freeze())));
                }
            }
        }
        self.searched = self.buffer.len();
        None
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the incomplete event exceeds [`MAX_EVENT_BYTES`], or the memory for answers
    /// is spent.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES || !self.is_within_budget
    }
}
