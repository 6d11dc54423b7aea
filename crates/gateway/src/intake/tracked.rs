//! Body of a response that tells the meter of its connection when it ends.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::meter::Meter;
use crate::body::{Body, Truncated};

/// Body whose drop ends the request.
pub(super) struct Tracked {
    body: Body,
    meter: Arc<Meter>,
    /// Whether it is the body of a refusal.
    is_refusal: bool,
}

impl Tracked {
    pub(super) fn new(body: Body, meter: Arc<Meter>, is_refusal: bool) -> Self {
        Self {
            body,
            meter,
            is_refusal,
        }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.meter.response_ended(self.is_refusal);
    }
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
