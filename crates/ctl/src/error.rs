//! Errors of commands.
//!
//! The text of an error is what the program prints before it exits with a
//! failure status, so each one says what to check or do.

use bitterncart_protocol::api::Failure;
use bitterncart_transport::Error as TransportError;
use quick_error::quick_error;

quick_error! {
    /// Failure of a command.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read.
        ReadFile(path: String, error: std::io::Error) {
            display("{path}: cannot be read: {error}; check the path")
        }
        /// A document is invalid or not the expected one.
        InvalidDocument(problems: String) {
            display("the document is not valid:\n{problems}")
        }
        /// The request to the daemon failed.
        Transport(error: TransportError) {
            display("{error}")
            from()
        }
        /// The daemon refused the request.
        Refused(failure: Box<Failure>) {
            display(
                "{} ({}): {}\n{}",
                failure.error.code,
                failure.error.ran,
                failure.error.message,
                failure.error.advice
            )
        }
        /// The response is not one of a daemon.
        UnexpectedResponse(status: u16) {
            display("unexpected response with status {status}; check that the address is that of a daemon")
        }
    }
}

impl Error {
    /// Creates the error of a response whose status is not the expected one.
    pub(crate) fn from_response(status: u16, body: &[u8]) -> Self {
        match serde_json::from_slice(body) {
            Ok(failure) => Self::Refused(Box::new(failure)),
            Err(_) => Self::UnexpectedResponse(status),
        }
    }
}
