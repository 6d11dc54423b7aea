//! Client of the platform's log service.
//!
//! [`Log`] is the interface that the rest of the daemon uses, and [`Service`]
//! implements it over HTTP. Reads are long polls: the service holds a read at
//! the end of a stream until an entry arrives or the wait time is over. The
//! client never repeats a failed append, as the entry may have been written;
//! the error says whether the caller can repeat it safely.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::log::{Appended, Entry, Page};
use http_types::Method;

use crate::Error;
use crate::http::Client;

/// Append-only log with named streams.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends an entry and returns its offset once the entry is durable.
    ///
    /// # Errors
    ///
    /// Unless [`Error::is_unprocessed`] returns `true`, the entry may have been
    /// appended despite the error.
    fn append(
        &self,
        stream: &str,
        payload: Vec<u8>,
    ) -> impl Future<Output = Result<Appended, Error>> + Send;

    /// Reads entries from an offset on; waits up to `wait` if there is none yet.
    ///
    /// # Errors
    ///
    /// If the service does not respond in time, refuses, or returns a malformed response.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads the entry at an offset; `None` if it has expired or has not been appended yet.
    ///
    /// # Errors
    ///
    /// If the service does not respond in time, refuses, or returns a malformed response.
    fn entry(
        &self,
        stream: &str,
        offset: u64,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;
}

/// Size limit for a page with one entry: the service returns the first entry whatever its
/// size.
const ONE_ENTRY_BYTES: usize = 1;

/// Maximum size of one page.
pub const PAGE_BYTES: usize = 4 << 20;

/// Time limit for one append, and for a read beyond its wait time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Log service accessed over HTTP.
#[derive(Clone, Debug)]
pub struct Service {
    address: SocketAddr,
    client: Client,
}

impl Service {
    /// Creates a client of the log service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }
}

impl Log for Service {
    async fn append(&self, stream: &str, payload: Vec<u8>) -> Result<Appended, Error> {
        let mut request =
            Client::request(Method::Post, self.address, &format!("/streams/{stream}"))?;
        request.set_body(payload);
        let bytes = self
            .client
            .clone()
            .head_timeout(REQUEST_TIMEOUT)
            .fetch(self.address, request)
            .await?;
        serde_json::from_slice(&bytes).map_err(Error::malformed)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, Error> {
        self.read_page(stream, from, PAGE_BYTES, wait).await
    }

    async fn entry(&self, stream: &str, offset: u64) -> Result<Option<Entry>, Error> {
        let page = self
            .read_page(stream, offset, ONE_ENTRY_BYTES, Duration::ZERO)
            .await?;
        Ok(page
            .entries
            .into_iter()
            .next()
            .filter(|entry| entry.offset == offset))
    }
}

impl Service {
    async fn read_page(
        &self,
        stream: &str,
        from: u64,
        max_bytes: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let path = format!(
            "/streams/{stream}?from={from}&max_bytes={max_bytes}&wait_ms={}",
            wait.as_millis()
        );
        let client = self.client.clone().head_timeout(wait + REQUEST_TIMEOUT);
        let request = Client::request(Method::Get, self.address, &path)?;
        let bytes = client.fetch(self.address, request).await?;
        postcard::from_bytes(&bytes).map_err(Error::malformed)
    }
}
