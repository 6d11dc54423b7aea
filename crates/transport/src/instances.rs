//! Client of the platform's instance list.
//!
//! Each read fetches the whole list, as the service has no change feed. The
//! size of the response is returned with it, so that callers can account for
//! the traffic that polling causes.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::instance::Instance;
use http_types::Method;

use crate::Error;
use crate::http::Client;

/// Time limit for the response head of one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the list; returns its rows and the size of the response body in bytes.
///
/// # Errors
///
/// If the service does not respond in time, refuses, or returns no valid list.
pub async fn read(client: &Client, address: SocketAddr) -> Result<(Vec<Instance>, usize), Error> {
    let request = Client::request(Method::Get, address, "/instances")?;
    let client = client.clone().head_timeout(READ_TIMEOUT);
    let bytes = client.fetch(address, request).await?;
    let rows = serde_json::from_slice(&bytes).map_err(Error::malformed)?;
    Ok((rows, bytes.len()))
}
