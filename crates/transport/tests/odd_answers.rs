//! The HTTP client and servers whose answers are none in the protocol, or that answer before
//! they have read the request.

mod support;

use std::time::Duration;

use bitterncart_testing::cases;
use bitterncart_transport::Error;
use bitterncart_transport::http::Client;
use support::start;

/// Size of a long upload, in bytes; more than sockets buffer.
const UPLOAD_BYTES: usize = 32 << 20;

fn post(answer: &'static str, body: &str) -> Result<(u16, Vec<u8>), Error> {
    let address = start(answer);
    let client = Client::default().body_timeout(Duration::from_secs(1));
    smol::block_on(client.post(address, "/", &body))
}

cases! {
    /// Guards against a status that is none in the protocol and passes for an answer.
    fn odd_status_is_an_error(answer: &'static str) {
        let result = post(answer, "");
        assert!(result.is_err(), "{result:?}");
    }
    status_000("HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok");
    status_099("HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok");
    status_101("HTTP/1.1 101 X\r\ncontent-length: 2\r\n\r\nok");
    status_600("HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok");
    status_999("HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok");
}

cases! {
    /// Guards against the beginning of an answer that passes for the whole, as the server
    /// answered a long upload at once and reset the connection.
    fn early_answer_that_is_reset_is_an_error(answer: &'static str) {
        let result = post(answer, &"x".repeat(UPLOAD_BYTES));
        assert!(result.is_err(), "{result:?}");
    }
    early_answer_without_a_length("HTTP/1.1 200 OK\r\n\r\nok");
    early_answer_with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok");
    early_answer_in_chunks(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"
    );
}
