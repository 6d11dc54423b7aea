//! HTTP server with bounded connections.
//!
//! A request that the library cannot read gets a numbered error instead of a
//! closed connection, and shapes used for request smuggling are refused.

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

use super::guard::Guard;
use crate::Runtime;

/// Connections of one server at once.
const MAX_CONNECTIONS: usize = 10_000;

/// Wait after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What answers the requests of a server.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// HTTP server on one address.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    runtime: Runtime,
    connections: Arc<AtomicUsize>,
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
            connections: Arc::default(),
        })
    }

    /// Address, with the port that was given.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the runtime stops.
    pub async fn serve<H: Handler>(self, handler: H) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => self.take(stream, handler.clone()),
                Err(_) => {
                    smol::Timer::after(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn take<H: Handler>(&self, stream: TcpStream, handler: H) {
        let open = Counted::new(&self.connections);
        if open.count > MAX_CONNECTIONS {
            return;
        }
        let task = async move {
            let _open = open;
            connection(stream, handler).await;
        };
        self.runtime.spawn(task).detach();
    }
}

struct Counted {
    all: Arc<AtomicUsize>,
    count: usize,
}

impl Counted {
    fn new(all: &Arc<AtomicUsize>) -> Self {
        let count = all.fetch_add(1, Ordering::Relaxed) + 1;
        Self {
            all: Arc::clone(all),
            count,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.all.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: H) {
    // Small writes carry tokens; they must not wait for one another.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let guard = Guard::new(stream.clone());
    let endpoint = |request: Request| {
        guard.head_done();
        let handler = handler.clone();
        async move { Ok(answer(request, handler).await) }
    };
    loop {
        let mut server = async_h1::server::Server::new(guard.clone(), endpoint);
        match server.accept_one().await {
            Ok(ConnectionStatus::KeepAlive) => guard.answered(),
            Ok(ConnectionStatus::Close) => return,
            Err(e) => {
                if guard.in_head() {
                    refuse(stream, &e).await;
                }
                return;
            }
        }
    }
}

async fn answer<H: Handler>(request: Request, handler: H) -> Response {
    match screen(&request) {
        None => handler.handle(request).await,
        Some(why) => {
            let mut response = failure(&Failure::new(Code::BadHeader, why));
            response.insert_header(CONNECTION, "close");
            response
        }
    }
}

/// Why a request's framing is not to be trusted.
fn screen(request: &Request) -> Option<&'static str> {
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

async fn refuse(mut stream: TcpStream, error: &http_types::Error) {
    let slow = error
        .downcast_ref::<io::Error>()
        .is_some_and(|e| e.kind() == io::ErrorKind::TimedOut);
    let code = if slow {
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
    // The caller may be gone already, and then nobody is left to tell.
    if stream.write_all(head.as_bytes()).await.is_ok() {
        drop(stream.write_all(body.as_bytes()).await);
        drop(stream.flush().await);
    }
}

/// Response with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: u16, value: &T) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}

/// Response of a numbered failure.
#[must_use]
pub fn failure(failure: &Failure) -> Response {
    const MS: u64 = 1000;
    let mut response = json(failure.error.code.status(), failure);
    if let Some(ms) = failure.error.retry_after_ms {
        response.insert_header("Retry-After", ms.div_ceil(MS).to_string());
    }
    response
}
