//! Accepts connections and serves them within the bounds.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::Limits;
use bitterncart_protocol::Code;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use http::{HeaderValue, Request, StatusCode, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use super::meter::{Bounds, Meter, Metered, Refusal};
use super::registry::{Registry, Ticket};
use super::tracked::Tracked;
use crate::bounded::Bounded;
use crate::budget::SMALL_BYTES;
use crate::clock::{self, with_timeout};
use crate::connection::configure_socket;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::server::{Endpoint, respond};
use crate::store::Store;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Connections that are accepted before other tasks have their turn.
const ACCEPTS_PER_TURN: usize = 32;

/// Limits while no manifest is known: the defaults of the manifest, with a longer idle timeout.
const DEFAULT_LIMITS: Limits = Limits {
    max_body: 4 << 20,
    head: Duration::from_secs(3),
    idle: Duration::from_millis(37_500),
    max_head: 16 << 10,
};

/// Idle timeout of a connection as a multiple of that in the manifest, which may
/// change while the connection is open.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Time for which an idle connection of a peer is not closed for others. A fleet may have more
/// peers than the connections that few descriptors permit, so it is short.
const PEER_KEPT_IDLE: Duration = Duration::from_secs(2);

/// Minimum of the maximum size of the HTTP library's buffer.
const MIN_BUFFER_BYTES: usize = 64 << 10;

/// Bounds of what is read and discarded after a refusal, as a close with unread bytes may
/// destroy the response before the client has it.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const DISCARD_BYTES: usize = 256 << 10;

/// Accepts connections at an address. Stops when client connections have to be
/// closed, as new requests might not be finished; refused clients connect to
/// another daemon.
pub(crate) async fn listen<S: Store, D: Dialect>(
    core: Core<S, D>,
    listener: TcpListener,
    endpoint: Endpoint,
    registry: Registry,
) {
    for number in (0..ACCEPTS_PER_TURN).cycle() {
        if number == 0 {
            future::yield_now().await;
        }
        if core.shutdown.is_closing() && !endpoint.stays_open() {
            return;
        }
        let close_signal = async {
            match endpoint.stays_open() {
                true => future::pending().await,
                false => core.shutdown.closing().await,
            }
            None
        };
        let accepted = future::or(async { Some(listener.accept().await) }, close_signal).await;
        let Some(accepted) = accepted else {
            continue;
        };
        match accepted {
            Ok((stream, _)) => match registry.admit(clock::now()) {
                Some(ticket) => {
                    let task = serve_connection(core.clone(), stream, endpoint, ticket);
                    core.executor.spawn(task).detach();
                }
                None => record_close(&core, endpoint, "all_in_use"),
            },
            Err(_) => {
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn record_close<S: Store, D: Dialect>(core: &Core<S, D>, endpoint: Endpoint, why: &str) {
    core.metrics.connection_closed(endpoint.name(), why);
    log::connection_closed(endpoint.name(), why);
}

/// How serving a connection ended.
enum End {
    /// The connection has ended.
    Closed,
    /// It has to be closed for others.
    Evicted,
    /// The daemon stops.
    Stopping,
}

async fn serve_connection<S: Store, D: Dialect>(
    core: Core<S, D>,
    stream: TcpStream,
    endpoint: Endpoint,
    ticket: Ticket,
) {
    if configure_socket(&stream).is_err() {
        return;
    }
    let limits = core
        .manifest()
        .map_or(DEFAULT_LIMITS, |manifest| manifest.limits);
    let limits = Limits {
        idle: match limits.idle.max(limits.head) {
            Duration::ZERO => DEFAULT_LIMITS.idle,
            idle => idle,
        },
        head: match limits.head {
            Duration::ZERO => DEFAULT_LIMITS.head,
            head => head,
        },
        ..limits
    };
    let bounds = Bounds::new(limits.max_head, limits.head);
    let evicted = ticket.eviction();
    let kept_idle = match endpoint {
        // Clients may send on an idle connection for up to four fifths of the timeout.
        Endpoint::Clients => limits.idle * 4 / 5,
        Endpoint::Peers => PEER_KEPT_IDLE,
        // A load balancer may open a connection for each check and leave it open.
        Endpoint::Ready | Endpoint::Metrics => Duration::ZERO,
    };
    let meter = Arc::new(Meter::new(ticket, bounds, kept_idle));
    let service = service_fn(|mut request: Request<Incoming>| {
        let has_body = request.body().size_hint().exact() != Some(0);
        meter.head_received(has_body);
        let (core, meter) = (core.clone(), Arc::clone(&meter));
        request.extensions_mut().insert(Arc::clone(&meter));
        async move {
            // The library keeps room for this future as long as the connection is open; that of
            // a response is large.
            let mut response = Box::pin(respond(&core, request, endpoint)).await;
            let current = core.manifest().map(|manifest| manifest.limits.max_head);
            if current.is_some_and(|max_head| max_head != limits.max_head) {
                // The next request may be within the new limit only.
                let close = HeaderValue::from_static("close");
                let headers = response.headers_mut();
                headers.entry(header::CONNECTION).or_insert(close);
            }
            let is_refusal = is_refusal(response.status());
            if response.body().size_hint().lower() > SMALL_BYTES as u64 {
                meter.response_started(&core.writers);
            }
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, meter, is_refusal)))
        }
    });
    let io = Metered::new(Bounded::new(stream.clone()), Arc::clone(&meter));
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.idle * IDLE_TIMEOUT_FACTOR)
            .max_buf_size(bounds.bytes.max(MIN_BUFFER_BYTES))
            // Bodies are written from where they are, and count in their budget until then.
            .writev(true)
            .serve_connection(FuturesIo::new(io), service)
            .with_upgrades()
    );
    let stopping = async {
        core.shutdown.closing().await;
        End::Stopping
    };
    // An eviction comes first: afterwards no request may begin.
    let evicted = async {
        evicted.await;
        End::Evicted
    };
    let serving = async {
        // An error means that the client disconnected, or that a head was refused.
        drop(connection.as_mut().await);
        End::Closed
    };
    match future::or(evicted, future::or(serving, stopping)).await {
        End::Closed => {}
        End::Evicted => {
            record_close(&core, endpoint, "evicted");
            return;
        }
        End::Stopping => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
    if let Some(refusal) = meter.refusal() {
        refuse(&core, stream, endpoint, refusal).await;
    }
}

/// Whether a status says that the request was not one that clients within the limits send.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_REQUEST
            | StatusCode::UNAUTHORIZED
            | StatusCode::NOT_FOUND
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::PAYLOAD_TOO_LARGE
    )
}

/// Answers a head that was refused. Its request was never run.
async fn refuse<S: Store, D: Dialect>(
    core: &Core<S, D>,
    mut stream: TcpStream,
    endpoint: Endpoint,
    refusal: Refusal,
) {
    let code = refusal.code();
    core.metrics.request_refused(code);
    record_close(core, endpoint, code.name());
    let sent = with_timeout(DISCARD_TIMEOUT, async {
        stream.write_all(response(code).as_bytes()).await?;
        stream.flush().await?;
        stream.shutdown(std::net::Shutdown::Write)?;
        let (mut buffer, mut discarded) = ([0; 4096], 0);
        while discarded < DISCARD_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                count => discarded += count,
            }
        }
        Ok::<_, std::io::Error>(())
    });
    // The client may have left.
    drop(sent.await);
}

/// Response with a result code, after which the connection is closed.
fn response(code: Code) -> String {
    let body = format!(
        "{{\"code\":{},\"name\":\"{}\"}}",
        code.number(),
        code.name()
    );
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_REQUEST);
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n{body}",
        body.len()
    )
}
