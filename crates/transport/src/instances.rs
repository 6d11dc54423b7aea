//! Client of the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::instance::Instance;
use http_types::Method;

use crate::Error;
use crate::http::Client;

/// Time for one read of the list.
const READ: Duration = Duration::from_secs(3);

/// Reads the list and tells its size in bytes.
///
/// # Errors
///
/// If the service does not answer or answers in another shape.
pub async fn read(client: &Client, address: SocketAddr) -> Result<(Vec<Instance>, usize), Error> {
    let request = Client::request(Method::Get, address, "/instances")?;
    let client = client.clone().head(READ);
    let bytes = client.fetch(address, request).await?;
    let list = serde_json::from_slice(&bytes).map_err(Error::malformed)?;
    Ok((list, bytes.len()))
}
