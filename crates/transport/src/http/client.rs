//! HTTP client with time limits.
//!
//! Connecting, waiting for the response head and reading the body each have a
//! limit. Each request uses a new connection. With reused connections, a call
//! that must not be repeated could fail because its connection was stale, and
//! one whose peer vanished without closing it could fail several requests.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use http_types::headers::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use super::head_limit::HeadLimit;
use super::memory::Memory;
use crate::partition::Connection;
use crate::runtime::timeout;
use crate::{Blocklist, Error};

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    blocklist: Blocklist,
    connect_timeout: Duration,
    head_timeout: Duration,
    body_timeout: Duration,
    max_body_bytes: u64,
    memory: Memory,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            blocklist: Blocklist::default(),
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            max_body_bytes: 64 << 20,
            memory: Memory::new(64 << 20),
        }
    }
}

impl Client {
    /// Sets the blocklist that applies to connections.
    #[must_use]
    pub fn blocklist(mut self, blocklist: Blocklist) -> Self {
        self.blocklist = blocklist;
        self
    }

    /// Sets the time limit for connecting (default 1 second).
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the time limit from sending the request to the response head (default 10 seconds).
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the time limit for reading a whole body (default 30 seconds).
    #[must_use]
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.body_timeout = timeout;
        self
    }

    /// Sets the memory for all bodies that this client and its clones read at once, and that
    /// are passed on (default 64 MiB).
    #[must_use]
    pub fn max_held_bytes(mut self, bytes: usize) -> Self {
        self.memory = Memory::new(bytes);
        self
    }

    /// Memory for the bodies of this client and its clones.
    #[must_use]
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// Creates a request for `path` at a server; its connection is closed after the response.
    ///
    /// # Errors
    ///
    /// If address and path do not form a valid URL.
    pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{address}{path}")).map_err(Error::connect)?;
        let mut request = Request::new(method, url);
        request.insert_header("Connection", "close");
        Ok(request)
    }

    /// Sends a request and returns the response once its head has been received.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent; otherwise the server may have
    /// received the request.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<Response, Error> {
        let connecting = async {
            self.blocklist.wait_until_unblocked(address.ip()).await;
            TcpStream::connect(address).await.map_err(Error::connect)
        };
        let stream = timeout(self.connect_timeout, connecting)
            .await
            .map_err(|e| {
                if e == Error::Timeout {
                    Error::connect("no answer")
                } else {
                    e
                }
            })?;
        stream.set_nodelay(true).map_err(Error::connect)?;
        let stream = Connection::new(stream, self.blocklist.clone(), address.ip());
        let (stream, head_limit) = HeadLimit::new(stream);
        let exchange = async {
            let response = async_h1::connect(stream, request).await;
            head_limit.lift();
            check(response.map_err(Error::broken)?)
        };
        timeout(self.head_timeout, exchange).await
    }

    /// Reads the whole body of a response.
    ///
    /// # Errors
    ///
    /// [`Error::NoMemory`] if there is no memory beside the other bodies; another error if the
    /// body is shorter than its `Content-Length`, exceeds the size limit or takes longer than the
    /// time limit.
    pub async fn read_body(&self, response: &mut Response) -> Result<Vec<u8>, Error> {
        let length = response.len();
        let mut bytes = Vec::new();
        let mut share = self.memory.share();
        let read = async {
            let mut body = response.take_body().take(self.max_body_bytes + 1);
            let mut buffer = vec![0; READ_BYTES];
            loop {
                match body.read(&mut buffer).await.map_err(Error::broken)? {
                    0 => return Ok(()),
                    count => bytes.extend_from_slice(&buffer[..count]),
                }
                if !share.grow(bytes.capacity()) {
                    return Err(Error::NoMemory);
                }
            }
        };
        timeout(self.body_timeout, read).await?;
        match length {
            _ if bytes.len() as u64 > self.max_body_bytes => {
                Err(Error::broken("the body is too large"))
            }
            Some(length) if bytes.len() < length => Err(Error::broken("the body is cut off")),
            _ => Ok(bytes),
        }
    }

    /// Sends a request and reads the whole body of a 2xx response.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::send`] and [`Self::read_body`]; [`Error::Refused`] for any other
    /// status.
    pub async fn fetch(&self, address: SocketAddr, request: Request) -> Result<Vec<u8>, Error> {
        let mut response = self.send(address, request).await?;
        let bytes = self.read_body(&mut response).await?;
        if response.status().is_success() {
            Ok(bytes)
        } else {
            Err(Error::Refused(response.status().into()))
        }
    }

    /// Sends a GET request and parses the JSON body of a 2xx response.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::fetch`]; [`Error::Malformed`] if the body is not a valid `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let bytes = self
            .fetch(address, Self::request(Method::Get, address, path)?)
            .await?;
        serde_json::from_slice(&bytes).map_err(Error::malformed)
    }

    /// Sends a POST request with a JSON body and returns the response's status and body.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::send`] and [`Self::read_body`].
    pub async fn post<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<(u16, Vec<u8>), Error> {
        let mut request = Self::request(Method::Post, address, path)?;
        request.set_body(serde_json::to_vec(value).map_err(Error::malformed)?);
        request.insert_header(CONTENT_TYPE, "application/json");
        let mut response = self.send(address, request).await?;
        let bytes = self.read_body(&mut response).await?;
        Ok((response.status().into(), bytes))
    }
}

/// Rejects an interim response, as no request asks for an upgrade, and one with neither a
/// length nor chunks, whose body `async-h1` would report as empty.
fn check(response: Response) -> Result<Response, Error> {
    if response.status().is_informational() {
        return Err(Error::broken(format!(
            "status {} ends no request",
            response.status()
        )));
    }
    let has_no_body = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    let is_framed =
        response.header(CONTENT_LENGTH).is_some() || response.header(TRANSFER_ENCODING).is_some();
    if is_framed || has_no_body {
        Ok(response)
    } else {
        Err(Error::broken("the answer has neither a length nor chunks"))
    }
}
