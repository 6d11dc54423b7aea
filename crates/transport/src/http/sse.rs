//! Server-sent events in the form in which model engines stream tokens.
//!
//! Each event is one `data:` line, and the stream ends with the data `[DONE]`.
//! A stream that ends without it was cut off, which is an error and not the end
//! of the response.

use std::time::Duration;

use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Body, Response};

use crate::Error;
use crate::runtime::timeout;

/// Data of the last event of a complete stream.
pub const DONE: &str = "[DONE]";

/// Maximum size of one line of an event.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Events of a response body.
#[derive(Debug)]
pub struct Events {
    body: Body,
    line: String,
}

impl Events {
    /// Reads the events from the body of `response`.
    #[must_use]
    pub fn new(response: &mut Response) -> Self {
        Self {
            body: response.take_body(),
            line: String::new(),
        }
    }

    /// Returns the data of the next event, or `None` for [`DONE`].
    ///
    /// # Errors
    ///
    /// If the stream ends without [`DONE`], its connection breaks, or no line arrives within
    /// `bound`.
    pub async fn next(&mut self, bound: Duration) -> Result<Option<String>, Error> {
        loop {
            self.line.clear();
            let body = &mut self.body;
            let line = &mut self.line;
            let read_line = async {
                let mut limited = body.take(MAX_LINE_BYTES);
                limited.read_line(line).await.map_err(Error::broken)
            };
            let size = timeout(bound, read_line).await?;
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

/// Formats one event.
#[must_use]
pub fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}
