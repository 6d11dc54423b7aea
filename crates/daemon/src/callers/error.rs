//! Error responses of the API for callers.

use std::time::Duration;

use bitterncart_coordination::admission;
use bitterncart_protocol::Code;
use bitterncart_protocol::api::Failure;
use bitterncart_transport::http::{Response, server};

/// Default delay before a retry, of codes that may be retried.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error of a request: a refusal or a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiError {
    /// Numbered code.
    pub code: Code,
    /// Message for the caller.
    pub message: String,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Error with a message; it has the default retry delay if its code may be retried.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        let retry_after = code.retry().then_some(RETRY_AFTER);
        Self {
            code,
            message: message.into(),
            retry_after,
        }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Response body.
    #[must_use]
    pub fn failure(&self) -> Failure {
        let failure = Failure::new(self.code, self.message.clone());
        match self.retry_after {
            Some(delay) => failure.retry_after_ms(delay.as_millis() as u64),
            None => failure,
        }
    }

    /// HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        server::failure(&self.failure())
    }
}

impl From<Code> for ApiError {
    fn from(code: Code) -> Self {
        Self::new(code, code.advice())
    }
}

impl From<admission::Refusal> for ApiError {
    fn from(refusal: admission::Refusal) -> Self {
        Self::new(refusal.code, "the customer's limit is reached").retry_after(refusal.retry_after)
    }
}
