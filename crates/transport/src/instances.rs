//! Client of the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::instance::Instance;

use crate::Error;
use crate::http::Client;

/// Time for one read of the list.
const READ: Duration = Duration::from_secs(3);

/// Reads the list.
///
/// # Errors
///
/// If the service does not answer or answers in another shape.
pub async fn read(address: SocketAddr) -> Result<Vec<Instance>, Error> {
    Client::default()
        .head(READ)
        .get(address, "/instances")
        .await
}
