//! How a command fails.

use bitterncart_protocol::api::Failure;
use bitterncart_transport::Error as Transport;
use quick_error::quick_error;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read.
        File(path: String, why: std::io::Error) {
            display("{path}: cannot be read: {why}; check the path")
        }
        /// A document has problems.
        Document(lines: String) {
            display("the document is not valid:\n{lines}")
        }
        /// The daemon cannot be reached.
        Transport(e: Transport) {
            display("{e}")
            from()
        }
        /// The daemon refused.
        Refused(failure: Box<Failure>) {
            display(
                "{} ({}): {}\n{}",
                failure.error.code,
                failure.error.ran,
                failure.error.message,
                failure.error.advice
            )
        }
        /// The daemon's answer makes no sense.
        Answer(status: u16) {
            display("the daemon answered {status} without an explanation; is the address right?")
        }
    }
}

impl Error {
    /// Error of an answer that is not a success.
    pub(crate) fn of_answer(status: u16, body: &[u8]) -> Self {
        match serde_json::from_slice(body) {
            Ok(failure) => Self::Refused(Box::new(failure)),
            Err(_) => Self::Answer(status),
        }
    }
}
