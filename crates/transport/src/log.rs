//! Client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::log::{Appended, Entry, Page};
use http_types::Method;

use crate::Error;
use crate::http::Client;

/// What the design needs of a log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends an entry and returns its offset when it is durable.
    ///
    /// # Errors
    ///
    /// Unless [`Error::not_sent`] says otherwise, the entry may have been
    /// appended all the same.
    fn append(
        &self,
        stream: &str,
        payload: Vec<u8>,
    ) -> impl Future<Output = Result<Appended, Error>> + Send;

    /// Reads entries from an offset on, waiting up to `wait` for a first one.
    ///
    /// # Errors
    ///
    /// If the service does not answer.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads the entry at an offset; `None` if it has expired or is not there yet.
    ///
    /// # Errors
    ///
    /// If the service does not answer.
    fn entry(
        &self,
        stream: &str,
        offset: u64,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;
}

/// Least that can be asked for; the first entry comes whatever its size.
const ONE_ENTRY_BYTES: usize = 1;

/// Bytes of one page at most.
pub const PAGE_BYTES: usize = 4 << 20;

/// Time for one append.
const APPEND: Duration = Duration::from_secs(5);

/// Log service over HTTP.
#[derive(Clone, Debug)]
pub struct Service {
    address: SocketAddr,
    client: Client,
}

impl Service {
    /// Service at an address, met with a client.
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
            .head(APPEND)
            .fetch(self.address, request)
            .await?;
        serde_json::from_slice(&bytes).map_err(Error::malformed)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, Error> {
        self.page(stream, from, PAGE_BYTES, wait).await
    }

    async fn entry(&self, stream: &str, offset: u64) -> Result<Option<Entry>, Error> {
        let page = self
            .page(stream, offset, ONE_ENTRY_BYTES, Duration::ZERO)
            .await?;
        Ok(page
            .entries
            .into_iter()
            .next()
            .filter(|entry| entry.offset == offset))
    }
}

impl Service {
    async fn page(
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
        let client = self.client.clone().head(wait + APPEND);
        let request = Client::request(Method::Get, self.address, &path)?;
        let bytes = client.fetch(self.address, request).await?;
        postcard::from_bytes(&bytes).map_err(Error::malformed)
    }
}
