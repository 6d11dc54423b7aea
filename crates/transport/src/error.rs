//! Errors of requests over any transport.
//!
//! The variants say what the other side may have received, as that decides
//! whether a request may be sent again. If [`Error::is_unprocessed`] returns
//! `true`, a retry cannot run the request twice.

use quick_error::quick_error;

quick_error! {
    /// Failure of a request, by what the other side may have received.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No connection could be made, so nothing was sent.
        Connect(reason: String) {
            display("no connection: {reason}; check the address and that the server runs")
        }
        /// The connection broke after bytes may have been sent.
        Broken(reason: String) {
            display("the connection broke: {reason}")
        }
        /// The request did not complete within its time limit; it may have been received.
        Timeout {
            display("no answer within the time limit")
        }
        /// The server answered with a status that refuses the request.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The response was not read to its end, as memory is short here.
        NoMemory {
            display("no memory for the answer; other answers are being read or written")
        }
        /// The response could not be parsed, or the request could not be encoded.
        Malformed(reason: String) {
            display("malformed answer: {reason}")
        }
    }
}

impl Error {
    /// Whether the other side certainly did not process the request: it was not sent, or it
    /// was refused with status 429 or 503.
    #[must_use]
    pub fn is_unprocessed(&self) -> bool {
        const TOO_MANY_REQUESTS: u16 = 429;
        const SERVICE_UNAVAILABLE: u16 = 503;
        matches!(
            self,
            Self::Connect(_) | Self::Refused(TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE)
        )
    }

    /// Creates [`Error::Broken`] with the text of another error.
    pub fn broken(reason: impl ToString) -> Self {
        Self::Broken(reason.to_string())
    }

    /// Creates [`Error::Connect`] with the text of another error.
    pub fn connect(reason: impl ToString) -> Self {
        Self::Connect(reason.to_string())
    }

    /// Creates [`Error::Malformed`] with the text of another error.
    pub fn malformed(reason: impl ToString) -> Self {
        Self::Malformed(reason.to_string())
    }
}
