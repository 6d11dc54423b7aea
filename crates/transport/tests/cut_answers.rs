//! The HTTP client and servers that close within their answer.

mod support;

use std::time::Duration;

use bitterncart_testing::cases;
use bitterncart_transport::http::Client;
use http_types::Method;
use support::start;

fn fetch(answer: &'static str) -> Result<Vec<u8>, bitterncart_transport::Error> {
    let address = start(answer);
    let client = Client::default().body_timeout(Duration::from_secs(1));
    let request = Client::request(Method::Get, address, "/").expect("a request");
    smol::block_on(client.fetch(address, request))
}

cases! {
    /// Guards against a part of an answer that passes for the whole, as its server closed
    /// within it.
    fn cut_answer_is_an_error(answer: &'static str) {
        let result = fetch(answer);
        assert!(result.is_err(), "{result:?}");
    }
    cut_before_the_head("");
    cut_within_the_status_line("HTTP/1.1 2");
    cut_behind_the_status_line("HTTP/1.1 200 OK\r\n");
    cut_within_a_header_name("HTTP/1.1 200 OK\r\ncontent-le");
    cut_behind_the_length("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n");
    cut_within_the_empty_line("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r");
    cut_within_a_body_with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no");
    cut_before_the_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    cut_within_a_size_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1");
    cut_behind_a_size_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n");
    cut_within_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\no");
    cut_behind_the_bytes_of_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok");
    cut_behind_a_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n");
    cut_within_the_last_size_line("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0");
    cut_within_the_last_empty_line(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r"
    );
    two_heads_run_together("HTTP/1.1 200 OK\r\ncontent-HTTP/1.1 200 OK\r\n\r\n");
    second_head_in_place_of_a_header(
        "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    );
}

cases! {
    fn whole_answer_is_read(answer: &'static str, expected: &str) {
        assert_eq!(fetch(answer).as_deref(), Ok(expected.as_bytes()));
    }
    whole_with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "ok");
    whole_in_chunks(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "ok"
    );
    // The chunk of no bytes is the end of the body; trailers are not read.
    whole_in_chunks_without_trailers(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        "ok"
    );
    empty_with_a_length("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "");
}
