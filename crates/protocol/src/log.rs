//! Messages of the platform's log service.
//!
//! The log has named append-only streams. Each append creates one entry with
//! an opaque payload, usually a group of records. `POST /streams/{stream}`
//! appends its body and returns [`Appended`] as JSON. `GET
//! /streams/{stream}?from=N&max_bytes=M&wait_ms=W` returns a [`Page`] in
//! postcard encoding; it is a long poll, which waits up to `wait_ms` for the
//! first entry.

use serde::{Deserialize, Serialize};

/// Response to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new entry.
    pub offset: u64,
}

/// Entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream; offsets increase without gaps.
    pub offset: u64,
    /// Time of the append by the log service's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Appended bytes.
    pub payload: Vec<u8>,
}

/// Response to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Lowest offset that has not expired.
    pub first: u64,
    /// Offset that the next append will have.
    pub next: u64,
    /// Entries from the requested offset on.
    pub entries: Vec<Entry>,
}
