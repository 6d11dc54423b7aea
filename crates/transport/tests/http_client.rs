//! The HTTP client and servers whose answers never end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bitterncart_testing::memory;
use bitterncart_transport::http::Client;
use http_types::Method;

/// Most bytes of an endless head that are taken, with those in socket buffers.
const MAX_HEAD_BYTES: usize = 8 << 20;

/// Starts a server that answers one request with a beginning and then repeats a text
/// until the client closes; returns its address and the count of bytes written.
fn start_endless(
    beginning: &'static str,
    repeated: &'static str,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 1024];
        let _request = stream.read(&mut buffer);
        let _begun = stream.write_all(beginning.as_bytes());
        let chunk = repeated.repeat(4096 / repeated.len());
        while stream.write_all(chunk.as_bytes()).is_ok() {
            count.fetch_add(chunk.len(), Ordering::Relaxed);
        }
    });
    (address, written)
}

fn fetch(address: SocketAddr) -> Result<Vec<u8>, bitterncart_transport::Error> {
    let client = Client::default();
    let request = Client::request(Method::Get, address, "/").expect("a request");
    smol::block_on(client.fetch(address, request))
}

#[test]
fn endless_line_of_a_head_is_an_error() {
    let (address, written) = start_endless("HTTP/1.1 200 OK\r\nx: ", "aaaaaaaa");
    let started = Instant::now();
    assert!(fetch(address).is_err());
    assert!(started.elapsed() < Duration::from_secs(5));
    let taken = written.load(Ordering::Relaxed);
    assert!(taken <= MAX_HEAD_BYTES, "{taken} bytes");
}

#[test]
fn endless_lines_of_a_head_are_an_error() {
    let (address, _) = start_endless("HTTP/1.1 200 OK\r\n", "x: y\r\n");
    assert!(fetch(address).is_err());
}

/// The part that was read must not pass for the whole answer.
#[test]
fn endless_chunks_are_an_error() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let (address, _) = start_endless(head, "8\r\naaaaaaaa\r\n");
    assert!(fetch(address).is_err());
}

/// The library reads such a body as an empty one.
#[test]
fn body_without_a_length_is_an_error() {
    let (address, _) = start_endless("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa");
    assert!(fetch(address).is_err());
}

/// Endless bodies that are read at once.
const BODIES: usize = 8;

/// Size limit of all of them together, in bytes.
const MAX_HELD_BYTES: usize = 2 << 20;

/// Bytes of one answer beyond those that are read, in socket buffers.
const BUFFERED_BYTES: usize = 6 << 20;

/// Guards against several endless bodies that take the memory of the process together, each
/// within its own limit.
#[test]
fn endless_bodies_at_once_are_bounded_together() {
    let client = Client::default().max_held_bytes(MAX_HELD_BYTES);
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 4000000000\r\n\r\n";
    let before = memory::peak_mb();
    let readers = (0..BODIES).map(|_| {
        let (client, (address, written)) = (client.clone(), start_endless(head, "aaaaaaaa"));
        let reader = std::thread::spawn(move || {
            let request = Client::request(Method::Get, address, "/").expect("a request");
            smol::block_on(client.fetch(address, request))
        });
        (reader, written)
    });
    for (reader, written) in readers.collect::<Vec<_>>() {
        assert!(reader.join().expect("no panic").is_err());
        let taken = written.load(Ordering::Relaxed);
        assert!(taken <= MAX_HELD_BYTES + BUFFERED_BYTES, "{taken} bytes");
    }
    let peak = memory::peak_mb();
    assert!(peak - before < 64, "{before} MB before, peak {peak} MB");
    // What was held is given back.
    let (address, _) = start_endless("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n", "aaaaaaaa");
    let request = Client::request(Method::Get, address, "/").expect("a request");
    assert!(smol::block_on(client.fetch(address, request)).is_ok());
}
