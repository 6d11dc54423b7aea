//! Forwards calls about batch jobs to the owner of a shard.
//!
//! All of these calls can be repeated. A call that fails on an idle connection,
//! which may have gone silent, is therefore repeated once on a new connection.
//! If no attempt is answered, the error says whether the owner may have carried
//! out the call.
//!
//! A small response is read to its end first. A large one, such as a page of results or the body
//! of an item, is relayed as the client takes it, so that slow clients take no memory here.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use http_body::Body as _;
use http_body_util::Full;

use crate::body::Body;
use crate::bounded::TURN_BYTES;
use crate::budget::SMALL_BYTES;
use crate::clock::with_timeout;
use crate::collect::collect;
use crate::connection::{Connection, Error};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::Store;
use crate::upstream::{Message, strip_hop_by_hop_headers};

/// Timeout of a new connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of a response, in addition to the long-poll time of the call.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a response body that is read to its end.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// What a response that is relayed as it arrives takes: two pieces that the HTTP library reads
/// at a time, one of them being written.
const RELAYED_BYTES: usize = 2 * TURN_BYTES;

/// Why a call has no response of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing was sent.
    NotSent,
    /// The owner may have carried out the call.
    Unknown,
}

/// Sends a call to the owner, which may hold it for `wait` before it responds.
pub(crate) async fn call<S: Store, D: Dialect>(
    core: &Core<S, D>,
    owner: SocketAddr,
    message: &Message,
    wait: Duration,
) -> Result<Response<Body>, Failure> {
    let mut failure = Failure::NotSent;
    for is_first in [true, false] {
        let connection = if is_first {
            core.connector.acquire(owner, CONNECT_TIMEOUT).await
        } else {
            core.connector.open(owner, CONNECT_TIMEOUT).await
        };
        let result = match connection {
            Ok(connection) => {
                let wait = if is_first { wait } else { Duration::ZERO };
                let response = send(core, connection, message, wait);
                with_timeout(wait + RESPONSE_TIMEOUT, response)
                    .await
                    .unwrap_or_else(|| Err(Error::Broken("silence".into())))
            }
            Err(e) => Err(e),
        };
        let reason = match result {
            // The first attempt may have taken effect although this one was refused.
            Ok(response) if failure == Failure::Unknown && means_not_applied(response.status()) => {
                core.metrics.owner_call("refused");
                return Err(failure);
            }
            Ok(response) => {
                core.metrics.owner_call("answered");
                return Ok(response);
            }
            Err(Error::NotSent(e)) => e.to_string(),
            Err(e) => {
                failure = Failure::Unknown;
                e.to_string()
            }
        };
        core.connector.close_idle(owner);
        core.metrics.owner_call("failed");
        log::owner_call_failed(owner, &reason);
    }
    Err(failure)
}

/// Whether a status says that the call had no effect.
fn means_not_applied(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::PRECONDITION_FAILED
            | StatusCode::PAYLOAD_TOO_LARGE
    )
}

async fn send<S: Store, D: Dialect>(
    core: &Core<S, D>,
    mut connection: Connection,
    message: &Message,
    wait: Duration,
) -> Result<Response<Body>, Error> {
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    request.headers_mut().clone_from(&message.headers);
    let name = core.dialect.header_names().long_poll.clone();
    let wait_ms = HeaderValue::from(wait.as_millis() as u64);
    request.headers_mut().insert(name, wait_ms);
    let (mut head, mut body) = connection.send(request).await?.into_parts();
    let is_large = body.size_hint().lower() > SMALL_BYTES as u64;
    let body = if is_large && head.status.is_success() {
        let share = core.reserve_answer(RELAYED_BYTES).await;
        let share = share.ok_or_else(|| Error::Broken("other answers take the memory".into()))?;
        Body::relayed(body, connection, core.connector.clone(), share)
    } else {
        let bytes = collect(&mut body, MAX_RESPONSE_BYTES, &core.budget).await;
        let bytes = bytes.map_err(|e| Error::Broken(e.to_string()))?;
        core.connector.release(connection);
        Body::full(bytes)
    };
    strip_hop_by_hop_headers(&mut head.headers);
    Ok(Response::from_parts(head, body))
}
