//! How the answer of a replica is framed, and how it ended.

use http::{header, response};

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// Not at all: it ends with its connection.
    Connection,
}

impl Framing {
    /// Framing that the head of an answer states.
    pub(crate) fn of(head: &response::Parts) -> Self {
        match &head.headers {
            headers if headers.contains_key(header::TRANSFER_ENCODING) => Self::Chunks,
            headers if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::Connection,
        }
    }

    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Description of a complete answer for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Summary {
    pub framing: Framing,
    /// Id of the last event; 0 for an answer without events.
    pub last_event_id: u64,
    /// Whether its connection leads through a relay.
    pub is_relayed: bool,
}
