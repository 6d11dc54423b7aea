//! Relayed connections: a daemon that has lost its link to a replica connects to it
//! through a peer.
//!
//! The daemon asks the peer for an upgrade of the connection and names the replica.
//! The peer connects to that replica over its own link only, so that there is never a
//! second relay, and then copies bytes both ways until either side closes. A connection
//! that breaks on one side is reset on the other, as an orderly end may be that of an
//! answer; the relay says at the upgrade that it does so. All decisions about a request
//! stay with the daemon that took it from the client.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::upgrade::Upgraded;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use socket2::SockRef;

use crate::body::Body;
use crate::bounded::Bounded;
use crate::clock::{self, with_timeout};
use crate::connection::{Connection, Connector, Error, Relay, connect};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::intake::Metered;
use crate::log;
use crate::store::Store;

/// Path of the call on the address for peers.
pub(crate) const PATH: &str = "/relay";

/// Header with the id of the replica.
const REPLICA: &str = "replica";

/// Protocol of the upgrade.
const PROTOCOL: HeaderValue = HeaderValue::from_static("bitterncart-relay");

/// Header of the upgrade with which a relay says that it passes resets on. Daemons of
/// earlier versions do not, and close a connection in order however it ended.
const PASSES_RESETS: &str = "passes-resets";

/// Timeout of a connection from the relay to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for the messages between the daemon and the relay, beside that timeout.
const RELAY_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of connections that a daemon relays.
const MAX_RELAYED: usize = 1000;

/// Bytes that are copied at a time.
const COPY_BUFFER_BYTES: usize = 4096;

/// Why a relay did not connect to a replica.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The replica refuses connections of the relay.
    Refused,
    /// The relay could not connect to the replica.
    Unreachable,
    /// The relay is cut off, busy, or does not answer.
    NoRelay,
}

/// Connects to a replica through a relay. Nothing is sent to the replica.
///
/// # Errors
///
/// Why there is no connection.
pub(crate) async fn open(
    connector: &Connector,
    relay: SocketAddr,
    replica_id: &str,
    replica: SocketAddr,
) -> Result<Connection, Failure> {
    let opened = async {
        let mut peer = connector.open(relay, CONNECT_TIMEOUT).await?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static(PATH);
        let headers = request.headers_mut();
        let id = HeaderValue::from_str(replica_id).map_err(|e| Error::Broken(e.to_string()))?;
        headers.insert(REPLICA, id);
        headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(header::UPGRADE, PROTOCOL);
        let response = peer.send(request).await?;
        if response.status() != StatusCode::SWITCHING_PROTOCOLS {
            return Ok(Err(response.status()));
        }
        let passes_resets = response.headers().contains_key(PASSES_RESETS);
        let upgraded = hyper::upgrade::on(response).await;
        let stream = upgraded
            .map_err(|e| Error::Broken(e.to_string()))?
            .downcast::<FuturesIo<Bounded<TcpStream>>>()
            .map_err(|_| Error::Broken("upgrade of another kind".into()))?;
        if !stream.read_buf.is_empty() {
            return Err(Error::Broken("bytes before a request".into()));
        }
        let stream = stream.io.into_inner().into_inner();
        let connection = connector.handshake(stream, replica).await?;
        Ok(Ok(connection.over_relay(Relay {
            address: relay,
            passes_resets,
        })))
    };
    match with_timeout(CONNECT_TIMEOUT + RELAY_TIMEOUT, opened).await {
        Some(Ok(Ok(connection))) => Ok(connection),
        Some(Ok(Err(StatusCode::BAD_GATEWAY))) => Err(Failure::Refused),
        Some(Ok(Err(StatusCode::GATEWAY_TIMEOUT))) => Err(Failure::Unreachable),
        Some(Ok(Err(status))) => {
            log::relay_failed(relay, replica_id, status.as_str());
            Err(Failure::NoRelay)
        }
        Some(Err(e)) => {
            log::relay_failed(relay, replica_id, &e.to_string());
            Err(Failure::NoRelay)
        }
        None => {
            log::relay_failed(relay, replica_id, "timed out");
            Err(Failure::NoRelay)
        }
    }
}

/// Guard of a relayed connection, which counts until it is dropped.
struct Relayed(Arc<AtomicUsize>);

impl Relayed {
    fn start(count: &Arc<AtomicUsize>) -> Option<Self> {
        let relayed = Self(Arc::clone(count));
        (count.fetch_add(1, Ordering::Relaxed) < MAX_RELAYED).then_some(relayed)
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Relays a connection of a peer to the replica that the request names.
pub(crate) async fn serve<S: Store, D: Dialect>(
    core: &Core<S, D>,
    request: Request<Incoming>,
) -> Response<Body> {
    let id = request.headers().get(REPLICA);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let address = core.pool().address_of(id);
    let Some(address) = address else {
        core.metrics.relay("unknown_replica");
        return response(StatusCode::NOT_FOUND);
    };
    let relayed = Relayed::start(core.links.relayed());
    let Some(relayed) = relayed.filter(|_| !core.links.is_cut_off() && !core.shutdown.is_closing())
    else {
        core.metrics.relay("refused");
        return response(StatusCode::SERVICE_UNAVAILABLE);
    };
    let started = clock::now();
    let replica = match connect(address, CONNECT_TIMEOUT).await {
        Ok(replica) => replica,
        Err(e) => {
            core.metrics.relay("unreachable");
            core.links.record_failure(address);
            return response(match e.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    StatusCode::BAD_GATEWAY
                }
                // This daemon may be cut off as well; another relay knows better.
                _ if !core.links.has_answer_since(started) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::GATEWAY_TIMEOUT,
            });
        }
    };
    core.metrics.relay("opened");
    core.links.record_opened(address);
    let relay = async move {
        let _relayed = relayed;
        let upgraded = hyper::upgrade::on(request).await;
        let stream = upgraded.map(Upgraded::downcast::<FuturesIo<Metered<Bounded<TcpStream>>>>);
        // A peer that has left needs no relay.
        if let Ok(Ok(peer)) = stream {
            let stream = peer.io.into_inner().into_inner().into_inner();
            copy_both(stream, &peer.read_buf, replica).await;
        }
    };
    core.spawn(relay).detach();
    let mut response = response(StatusCode::SWITCHING_PROTOCOLS);
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, PROTOCOL);
    headers.insert(PASSES_RESETS, HeaderValue::from_static("1"));
    response
}

fn response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Full(None));
    *response.status_mut() = status;
    response
}

/// Copies bytes both ways until one side closes its connection or it breaks. Then both
/// are closed, as a daemon that closes its side no longer waits for the answer, or reset.
async fn copy_both(peer: TcpStream, first: &[u8], replica: TcpStream) {
    let requests = async {
        let mut to = replica.clone();
        to.write_all(first).await?;
        copy(peer.clone(), to).await
    };
    let answers = copy(replica.clone(), peer.clone());
    if future::or(requests, answers).await.is_err() {
        for stream in [&peer, &replica] {
            // One that has broken needs no reset.
            let _set = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Copies bytes until the end of `from`.
async fn copy(from: TcpStream, mut to: TcpStream) -> io::Result<()> {
    let mut from = Bounded::new(from);
    let mut buffer = [0; COPY_BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await? {
            0 => return Ok(()),
            count => to.write_all(&buffer[..count]).await?,
        }
    }
}
