//! Server-sent events, as model engines stream them.

use std::time::Duration;

use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Body, Response};

use crate::Error;
use crate::runtime::within;

/// Data that ends a stream.
pub const DONE: &str = "[DONE]";

/// Bytes of one event at most.
const MAX_EVENT: u64 = 1 << 20;

/// Events of a response body.
#[derive(Debug)]
pub struct Events {
    body: Body,
    line: String,
}

impl Events {
    /// Events of a response.
    #[must_use]
    pub fn new(response: &mut Response) -> Self {
        Self {
            body: response.take_body(),
            line: String::new(),
        }
    }

    /// Data of the next event; `None` after [`DONE`].
    ///
    /// # Errors
    ///
    /// If the stream ends without [`DONE`], breaks, or is silent for `bound`.
    pub async fn next(&mut self, bound: Duration) -> Result<Option<String>, Error> {
        loop {
            self.line.clear();
            let body = &mut self.body;
            let line = &mut self.line;
            let read = async {
                let mut limited = body.take(MAX_EVENT);
                limited.read_line(line).await.map_err(Error::broken)
            };
            let size = within(bound, read).await?;
            match self
                .line
                .trim_end()
                .strip_prefix("data:")
                .map(str::trim_start)
            {
                _ if size == 0 => {
                    return Err(Error::malformed("the stream ended without its end mark"));
                }
                Some(DONE) => return Ok(None),
                Some(data) => return Ok(Some(data.to_owned())),
                None => {}
            }
        }
    }
}

/// Text of one event.
#[must_use]
pub fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}
