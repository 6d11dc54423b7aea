//! Bodies of responses to clients: complete bytes, events relayed as they arrive, or the body of
//! another daemon's response relayed as the client takes it. A stream is complete only if the
//! task that relays it says so; if it breaks, or the task ends in any other way, the body ends
//! with an error, so that the client detects a truncated response.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use smol::Task;

use crate::budget::Share;
use crate::connection::{Connection, Connector};

/// Error of a stream that ended before the response was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body was truncated")
    }
}

impl std::error::Error for Truncated {}

impl From<Infallible> for Truncated {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Part of a stream for a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Bytes of an event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

/// Body of a response to a client.
#[derive(Debug)]
pub(crate) enum Body {
    /// Complete body; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Events as they arrive, up to [`Part::End`]; dropping the body cancels the task that
    /// relays them.
    Events {
        parts: Pin<Box<Receiver<Part>>>,
        is_complete: bool,
        _task: Task<()>,
    },
    /// Body of another daemon's response.
    Relayed(Box<Relayed>),
}

/// Body of a response that is relayed as it is taken. Its connection is kept for reuse once it
/// has been read to its end.
pub(crate) struct Relayed {
    incoming: Incoming,
    connection: Option<Connection>,
    connector: Connector,
    _share: Share,
}

impl fmt::Debug for Relayed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relayed").finish_non_exhaustive()
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take()
            && self.incoming.is_end_stream()
        {
            self.connector.release(connection);
        }
    }
}

impl Body {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Body of a response of another daemon, on the connection that it arrives on, with what
    /// it takes of the memory for answers.
    pub(crate) fn relayed(
        incoming: Incoming,
        connection: Connection,
        connector: Connector,
        share: Share,
    ) -> Self {
        Self::Relayed(Box::new(Relayed {
            incoming,
            connection: Some(connection),
            connector,
            _share: share,
        }))
    }

    /// Body of the parts that a task sends.
    pub(crate) fn events(parts: Receiver<Part>, task: Task<()>) -> Self {
        Self::Events {
            parts: Box::pin(parts),
            is_complete: false,
            _task: task,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Relayed(relayed) => Pin::new(&mut relayed.incoming)
                .poll_frame(cx)
                .map_err(|_| Truncated),
            Self::Events {
                is_complete: true, ..
            } => Poll::Ready(None),
            Self::Events {
                parts, is_complete, ..
            } => parts.as_mut().poll_next(cx).map(|part| match part {
                Some(Part::Event(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => {
                    *is_complete = true;
                    None
                }
                None => Some(Err(Truncated)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Relayed(relayed) => relayed.incoming.is_end_stream(),
            Self::Events { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Relayed(relayed) => relayed.incoming.size_hint(),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
