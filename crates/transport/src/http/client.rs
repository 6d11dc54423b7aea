//! HTTP client with a bound on every wait.
//!
//! Each request has a connection of its own: a connection that lost its other
//! end without notice is never met twice, and a call that may not be repeated
//! cannot fail on a stale one.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use http_types::headers::CONTENT_TYPE;
use http_types::{Method, Request, Response, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use crate::links::Linked;
use crate::runtime::within;
use crate::{Error, Links};

/// HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    links: Links,
    connect: Duration,
    head: Duration,
    body: Duration,
    max_body: u64,
}

impl Default for Client {
    fn default() -> Self {
        Self {
            links: Links::default(),
            connect: Duration::from_secs(1),
            head: Duration::from_secs(10),
            body: Duration::from_secs(30),
            max_body: 64 << 20,
        }
    }
}

impl Client {
    /// Sets the links that connections go over.
    #[must_use]
    pub fn links(mut self, links: Links) -> Self {
        self.links = links;
        self
    }

    /// Sets the bound on making a connection.
    #[must_use]
    pub fn connect(mut self, bound: Duration) -> Self {
        self.connect = bound;
        self
    }

    /// Sets the bound on the response head.
    #[must_use]
    pub fn head(mut self, bound: Duration) -> Self {
        self.head = bound;
        self
    }

    /// Sets the bound on reading a whole body.
    #[must_use]
    pub fn body(mut self, bound: Duration) -> Self {
        self.body = bound;
        self
    }

    /// Request to a path of a server.
    ///
    /// # Errors
    ///
    /// If the path makes no URL.
    pub fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{address}{path}")).map_err(Error::connect)?;
        let mut request = Request::new(method, url);
        request.insert_header("Connection", "close");
        Ok(request)
    }

    /// Sends a request and returns the response when its head is there.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent; otherwise the server may have
    /// received the request.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<Response, Error> {
        let connecting = async {
            self.links.pass(address.ip()).await;
            TcpStream::connect(address).await.map_err(Error::connect)
        };
        let stream = within(self.connect, connecting).await.map_err(|e| {
            if e == Error::Silent {
                Error::connect("no answer")
            } else {
                e
            }
        })?;
        stream.set_nodelay(true).map_err(Error::connect)?;
        let stream = Linked::new(stream, self.links.clone(), address.ip());
        let exchange = async {
            async_h1::connect(stream, request)
                .await
                .map_err(Error::broken)
        };
        within(self.head, exchange).await
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// If the body ends before its stated length, is too large or too slow.
    pub async fn bytes(&self, response: &mut Response) -> Result<Vec<u8>, Error> {
        let length = response.len();
        let mut bytes = Vec::new();
        let read = async {
            let body = response.take_body();
            body.take(self.max_body)
                .read_to_end(&mut bytes)
                .await
                .map_err(Error::broken)
        };
        within(self.body, read).await?;
        match length {
            Some(length) if bytes.len() < length => Err(Error::broken("the body is cut off")),
            _ => Ok(bytes),
        }
    }

    /// Sends a request, wants a 2xx status and reads the whole body.
    ///
    /// # Errors
    ///
    /// As [`Self::send`] and [`Self::bytes`]; [`Error::Refused`] for another status.
    pub async fn fetch(&self, address: SocketAddr, request: Request) -> Result<Vec<u8>, Error> {
        let mut response = self.send(address, request).await?;
        let bytes = self.bytes(&mut response).await?;
        if response.status().is_success() {
            Ok(bytes)
        } else {
            Err(Error::Refused(response.status().into()))
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// As [`Self::fetch`]; [`Error::Malformed`] for another shape.
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

    /// Posts a JSON value and returns status and body.
    ///
    /// # Errors
    ///
    /// As [`Self::send`] and [`Self::bytes`].
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
        let bytes = self.bytes(&mut response).await?;
        Ok((response.status().into(), bytes))
    }
}
