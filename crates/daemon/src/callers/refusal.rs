//! Answers that are not what the caller asked for.

use std::time::Duration;

use bitterncart_coordination::admission;
use bitterncart_protocol::Code;
use bitterncart_protocol::api::Failure;
use bitterncart_transport::http::{Response, server};

/// Time to come back after when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal or failure of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Number.
    pub code: Code,
    /// What is wrong.
    pub message: String,
    /// When to come back.
    pub after: Option<Duration>,
}

impl Refusal {
    /// Refusal with a message.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        let after = code.retry().then_some(RETRY_AFTER);
        Self {
            code,
            message: message.into(),
            after,
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// Error body.
    #[must_use]
    pub fn failure(&self) -> Failure {
        let failure = Failure::new(self.code, self.message.clone());
        match self.after {
            Some(after) => failure.retry_after_ms(after.as_millis() as u64),
            None => failure,
        }
    }

    /// HTTP response.
    #[must_use]
    pub fn response(&self) -> Response {
        server::failure(&self.failure())
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self::new(code, code.advice())
    }
}

impl From<admission::Refusal> for Refusal {
    fn from(refusal: admission::Refusal) -> Self {
        Self::new(refusal.code, "the customer's limit is reached").after(refusal.after)
    }
}
