//! HTTP server.
//!
//! The server limits the number of connections and the time that a slow caller
//! can occupy one. A request head that the HTTP library cannot parse gets an
//! error response with a result code; the library alone would only close the
//! connection. Requests with ambiguous framing headers, as used for request
//! smuggling, are rejected.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_h1::server::ConnectionStatus;
use bitterncart_protocol::Code;
use bitterncart_protocol::api::Failure;
use futures_lite::AsyncWriteExt;
use http_types::headers::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http_types::{Request, Response, StatusCode};
use serde::Serialize;
use smol::net::{TcpListener, TcpStream};

use super::deadline;
use crate::Runtime;

/// Maximum number of open connections of one server; others are closed at once.
const MAX_CONNECTIONS: usize = 10_000;

/// Delay after a failed accept, for example because no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler of the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// HTTP server that listens on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    runtime: Runtime,
    open_connections: Arc<AtomicUsize>,
}

impl Server {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(runtime: Runtime, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            runtime,
            open_connections: Arc::default(),
        })
    }

    /// Local address with the actual port.
    ///
    /// # Errors
    ///
    /// If the operating system does not return the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the runtime stops.
    pub async fn serve<H: Handler>(self, handler: H) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream, handler.clone()),
                Err(_) => {
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn_connection<H: Handler>(&self, stream: TcpStream, handler: H) {
        let open = OpenConnection::new(&self.open_connections);
        if open.total > MAX_CONNECTIONS {
            return;
        }
        let task = async move {
            let _open = open;
            serve_connection(stream, handler).await;
        };
        self.runtime.spawn(task).detach();
    }
}

/// Entry in the count of open connections, removed on drop.
struct OpenConnection {
    counter: Arc<AtomicUsize>,
    /// Number of open connections, including this one, when it was opened.
    total: usize,
}

impl OpenConnection {
    fn new(counter: &Arc<AtomicUsize>) -> Self {
        let total = counter.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            counter: Arc::clone(counter),
            total,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.counter.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: H) {
    // Streamed tokens are small writes, which Nagle's algorithm would delay.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let timed_stream = deadline::Stream::new(stream.clone());
    let endpoint = |request: Request| {
        timed_stream.head_received();
        let handler = handler.clone();
        async move { Ok(respond(request, handler).await) }
    };
    loop {
        let mut server = async_h1::server::Server::new(timed_stream.clone(), endpoint);
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => timed_stream.response_sent(),
            Ok(ConnectionStatus::Close) => return,
            Err(e) => {
                if timed_stream.is_reading_head() {
                    send_parse_error(stream, &e, timed_stream.is_head_too_large()).await;
                }
                return;
            }
        }
    }
}

async fn respond<H: Handler>(request: Request, handler: H) -> Response {
    match find_framing_error(&request) {
        None => handler.handle(request).await,
        Some(reason) => {
            let mut response = failure(&Failure::new(Code::BadHeader, reason));
            response.insert_header(CONNECTION, "close");
            response
        }
    }
}

/// Returns why a request is rejected if its framing headers are ambiguous.
fn find_framing_error(request: &Request) -> Option<&'static str> {
    let encodings = request.header(TRANSFER_ENCODING);
    let lengths = request.header(CONTENT_LENGTH);
    match (encodings, lengths) {
        (Some(values), _) if values.iter().count() != 1 => {
            Some("Transfer-Encoding is stated twice")
        }
        (Some(values), _) if !values.as_str().eq_ignore_ascii_case("chunked") => {
            Some("Transfer-Encoding must be chunked")
        }
        (_, Some(values)) if values.iter().count() != 1 => Some("Content-Length is stated twice"),
        _ => None,
    }
}

/// Sends an error response for a request head that was malformed, arrived too slowly or is too
/// large.
async fn send_parse_error(mut stream: TcpStream, error: &http_types::Error, is_too_large: bool) {
    let timed_out = error
        .downcast_ref::<io::Error>()
        .is_some_and(|e| e.kind() == io::ErrorKind::TimedOut);
    let code = if is_too_large {
        Code::HeadTooLarge
    } else if timed_out {
        Code::SlowSender
    } else {
        Code::MalformedRequest
    };
    let body = serde_json::to_string(&Failure::new(code, error.to_string())).unwrap_or_default();
    let status = StatusCode::try_from(code.status()).unwrap_or(StatusCode::BadRequest);
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        code.status(),
        status.canonical_reason(),
        body.len()
    );
    // Write errors are ignored, as the caller may have closed the connection.
    if stream.write_all(head.as_bytes()).await.is_ok() {
        drop(stream.write_all(body.as_bytes()).await);
        drop(stream.flush().await);
    }
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

/// Creates the error response of a failure; `Retry-After` is rounded up to whole seconds.
#[must_use]
pub fn failure(failure: &Failure) -> Response {
    const MS_PER_SECOND: u64 = 1000;
    let mut response = json(failure.error.code.status(), failure);
    if let Some(ms) = failure.error.retry_after_ms {
        response.insert_header("Retry-After", ms.div_ceil(MS_PER_SECOND).to_string());
    }
    response
}
