//! Answers of a replica that have no end.

use std::io::Write;
use std::net::TcpStream;

use bitterncart_platform::wire;
use rand::Rng;
use rand::rngs::SmallRng;

/// Bytes that are written at a time.
const WRITE_BYTES: usize = 16 << 10;

/// What an answer does not end in.
const FORMS: [Form; 7] = [
    Form::Line,
    Form::Headers,
    Form::InterimHeads,
    Form::Body,
    Form::Chunk,
    Form::ChunkExtension,
    Form::Binary,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// A header.
    Line,
    /// Headers.
    Headers,
    /// Heads of interim answers.
    InterimHeads,
    /// A body without a length.
    Body,
    /// A chunk.
    Chunk,
    /// The extension of a chunk.
    ChunkExtension,
    /// Bytes that are no answer.
    Binary,
}

impl Form {
    /// Beginning of the answer, behind its ids, and what follows again and again.
    fn text(self) -> (&'static str, &'static [u8]) {
        match self {
            Self::Line => ("x: ", b"aaaaaaaa"),
            Self::Headers => ("", b"x: y\r\n"),
            Self::InterimHeads => ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::Body => ("\r\n", b"id: 1\ndata: "),
            Self::Chunk => (
                "transfer-encoding: chunked\r\n\r\nfffffff0\r\n",
                b"aaaaaaaa",
            ),
            Self::ChunkExtension => ("transfer-encoding: chunked\r\n\r\n1;x=", b"aaaaaaaa"),
            Self::Binary => ("", b"\x00\xff\x01\xfe"),
        }
    }
}

/// Writes an answer to the request with an id until the other side closes.
pub(crate) fn write(mut stream: &TcpStream, id: &str, random: &mut SmallRng) {
    let form = FORMS[random.random_range(0..FORMS.len())];
    let (beginning, repeated) = form.text();
    let head = match form {
        Form::InterimHeads | Form::Binary => String::new(),
        _ => format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s\r\n{beginning}",
            wire::ATTEMPT,
            wire::SIGNATURE
        ),
    };
    let bytes = repeated.repeat(WRITE_BYTES / repeated.len());
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(&bytes).is_ok();
    }
}
