//! Messages of the log service.
//!
//! One append makes one entry; an entry carries a group of records. The body
//! of `POST /streams/{stream}` is the payload and the answer is [`Appended`].
//! `GET /streams/{stream}?from=N&max_bytes=M&wait_ms=W` answers [`Page`].

use serde::{Deserialize, Serialize};

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the entry.
    pub offset: u64,
}

/// Entry of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, dense and rising.
    pub offset: u64,
    /// Time of the append by the service's clock, in milliseconds since 1970.
    pub at_ms: u64,
    /// What was appended.
    pub payload: Vec<u8>,
}

/// Answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// First offset that is still kept.
    pub first: u64,
    /// Offset that the next append will have.
    pub next: u64,
    /// Entries from the asked offset on.
    pub entries: Vec<Entry>,
}
