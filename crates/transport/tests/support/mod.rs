//! Server of the tests of answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Starts a server that reads the beginning of one request, answers with some bytes and
/// closes: in order, or with a reset if bytes of the request are unread.
pub fn start(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _request = stream.read(&mut request);
        let _sent = stream.write_all(answer.as_bytes());
    });
    address
}
