//! Bodies of responses to clients: complete bytes, or events relayed as they
//! arrive. A stream is complete only if the task that relays it says so; if it breaks, or
//! the task ends in any other way, the body ends with an error, so that the client detects a
//! truncated response.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Frame, SizeHint};
use smol::Task;

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
}

impl Body {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
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
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
