//! How a request over a transport fails.

use quick_error::quick_error;

quick_error! {
    /// Failure of a request, by what the other side may have received.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// No connection was made; nothing was sent.
        Connect(why: String) {
            display("no connection: {why}; check the address and that the server runs")
        }
        /// The connection broke after bytes may have been sent.
        Broken(why: String) {
            display("the connection broke: {why}")
        }
        /// Nothing came within the bound.
        Silent {
            display("no answer within the time limit")
        }
        /// The server answered with a status that refuses the request.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// The answer makes no sense.
        Malformed(why: String) {
            display("malformed answer: {why}")
        }
    }
}

impl Error {
    /// Whether the other side certainly did nothing.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        const TOO_MANY: u16 = 429;
        const UNAVAILABLE: u16 = 503;
        matches!(
            self,
            Self::Connect(_) | Self::Refused(TOO_MANY | UNAVAILABLE)
        )
    }

    /// Broken connection from any library's error.
    pub fn broken(why: impl ToString) -> Self {
        Self::Broken(why.to_string())
    }

    /// Missing connection from any library's error.
    pub fn connect(why: impl ToString) -> Self {
        Self::Connect(why.to_string())
    }

    /// Malformed answer from any library's error.
    pub fn malformed(why: impl ToString) -> Self {
        Self::Malformed(why.to_string())
    }
}
