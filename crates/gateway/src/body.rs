//! Bodies of answers to clients.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::Stream;
use http_body::{Frame, SizeHint};
use smol::Task;

/// Stream that ended before its answer was whole.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is cut short")
    }
}

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Body of an answer to a client.
#[derive(Debug)]
pub(crate) enum Body {
    /// Bytes that are there.
    Whole(Option<Bytes>),
    /// Events as they arrive; dropping the body ends the task that brings them.
    Events {
        events: Pin<Box<Receiver<Result<Bytes, Cut>>>>,
        _task: Task<()>,
    },
}

impl Body {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Events { events, .. } => events
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|part| part.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events { .. } => SizeHint::default(),
        }
    }
}
