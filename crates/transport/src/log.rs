//! Client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::log::{Appended, Page};
use http_types::Method;

use crate::Error;
use crate::http::Client;

/// What the design needs of a log service.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends an entry and returns its offset when it is durable.
    ///
    /// # Errors
    ///
    /// After an error other than [`Error::Connect`] and [`Error::Refused`] the
    /// entry may have been appended all the same.
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
}

/// Bytes of one page at most.
pub const PAGE_BYTES: usize = 4 << 20;

/// Time for one append.
const APPEND: Duration = Duration::from_secs(5);

/// Log service over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    address: SocketAddr,
}

impl Service {
    /// Service at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Log for Service {
    async fn append(&self, stream: &str, payload: Vec<u8>) -> Result<Appended, Error> {
        let mut request =
            Client::request(Method::Post, self.address, &format!("/streams/{stream}"))?;
        request.set_body(payload);
        let bytes = Client::default()
            .head(APPEND)
            .fetch(self.address, request)
            .await?;
        serde_json::from_slice(&bytes).map_err(Error::malformed)
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, Error> {
        let path = format!(
            "/streams/{stream}?from={from}&max_bytes={PAGE_BYTES}&wait_ms={}",
            wait.as_millis()
        );
        let client = Client::default().head(wait + APPEND);
        let request = Client::request(Method::Get, self.address, &path)?;
        let bytes = client.fetch(self.address, request).await?;
        postcard::from_bytes(&bytes).map_err(Error::malformed)
    }
}
