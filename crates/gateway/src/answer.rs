//! How the answer of a replica is framed, and how it ended.

use http::{header, response};
use http_body::Body;

use crate::sse::Event;

/// How an answer states where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length, also one of zero.
    Length,
    /// By a last chunk.
    Chunks,
    /// Not at all: it ends with its connection.
    Connection,
}

impl Framing {
    /// Framing of an answer with a head and a body.
    pub(crate) fn of(head: &response::Parts, body: &impl Body) -> Self {
        let codings = head.headers.get_all(header::TRANSFER_ENCODING);
        let last = codings.iter().next_back().and_then(|c| c.to_str().ok());
        let last = last.and_then(|codings| codings.rsplit(',').next());
        match last.map(str::trim) {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Self::Chunks,
            None if body.is_end_stream() || body.size_hint().exact().is_some() => Self::Length,
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

/// What follows in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Event(Event),
    /// The stream is complete, as its framing states.
    End,
    /// The stream ended in order with its connection, and its process lives on.
    UnstatedEnd,
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
