//! HTTP server of a daemon: dispatches requests. `crate::intake` accepts connections.
//!
//! A daemon listens at up to four addresses: for clients, for calls from peers,
//! for readiness checks and for metrics. A request of a client or peer is read
//! completely and then handled as a call about a batch job, as a submission or
//! as an online request, according to its path and the route in the manifest.
//! During a shutdown, responses carry `Connection: close`, and client and peer
//! connections are then closed gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::{Kind, Manifest, Route};
use bitterncart_protocol::Code;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol::net::TcpListener;

use crate::body::Body;
use crate::clock::{self, with_timeout};
use crate::collect::{self, collect};
use crate::core::Core;
use crate::dialect::{Call, Dialect};
use crate::identity;
use crate::intake::Meter;
use crate::jobs::{self, Outdated};
use crate::log;
use crate::online::{self, error_response, error_response_after};
use crate::relay;
use crate::request_quota;
use crate::store::Store;
use crate::submission;
use crate::upstream::{Message, strip_hop_by_hop_headers};

/// Timeout of reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Body limit while no manifest is known.
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// Time for which a job waits for a manifest that the owner of its shard has.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Purpose of a listening address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// Requests of clients.
    Clients,
    /// Calls from peers about shards of this daemon.
    Peers,
    /// Readiness checks of the load balancer.
    Ready,
    /// Metrics as text.
    Metrics,
}

impl Endpoint {
    /// Whether connections are accepted until the process ends.
    pub(crate) fn stays_open(self) -> bool {
        matches!(self, Self::Ready | Self::Metrics)
    }

    /// Name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Peers => "peers",
            Self::Ready => "ready",
            Self::Metrics => "metrics",
        }
    }
}

pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Answers a request according to the purpose of its address.
pub(crate) async fn respond<S: Store, D: Dialect>(
    core: &Core<S, D>,
    request: Request<Incoming>,
    endpoint: Endpoint,
) -> Response<Body> {
    let arrived = clock::now();
    let mut response = match endpoint {
        Endpoint::Peers if request.uri().path() == relay::PATH => {
            return relay::serve(core, request).await;
        }
        Endpoint::Peers if request.uri().path() == submission::PATH => {
            jobs::submit_for_peer(core, request).await
        }
        Endpoint::Clients | Endpoint::Peers => dispatch(core, request, arrived, endpoint).await,
        Endpoint::Ready => readiness(core),
        Endpoint::Metrics => Response::new(Body::full(core.metrics.text().into())),
    };
    *response.version_mut() = Version::HTTP_11;
    if core.shutdown.has_begun() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn readiness<S: Store, D: Dialect>(core: &Core<S, D>) -> Response<Body> {
    let mut response = Response::new(Body::Full(None));
    if !core.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

async fn dispatch<S: Store, D: Dialect>(
    core: &Core<S, D>,
    request: Request<Incoming>,
    arrived: Duration,
    endpoint: Endpoint,
) -> Response<Body> {
    let (mut head, mut incoming) = request.into_parts();
    let meter = head.extensions.remove::<Arc<Meter>>();
    let body = match read_body(core, &mut incoming).await {
        Ok(body) => {
            if let Some(meter) = meter {
                meter.body_received();
            }
            body
        }
        // The peer has read it within its own limits.
        Err(_) if endpoint == Endpoint::Peers => {
            discard_body(incoming).await;
            return reject(core, Code::OwnerUnreachable);
        }
        Err(code) => return reject(core, code),
    };
    strip_hop_by_hop_headers(&mut head.headers);
    let mut message = Message {
        profile: Arc::default(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    if let Some(call) = core.dialect.parse_call(&message.method, &message.uri) {
        let access = match identity::identify_call(core, &mut message.headers, endpoint) {
            Ok(access) if jobs::admits_call(core) => access,
            Ok(_) => return reject(core, Code::Draining),
            Err(code) => return reject(core, code),
        };
        let cut_code = match call {
            Call::Cancel { .. } => Code::AppendUnknown,
            // They have no effect.
            Call::Results { .. } | Call::ItemBody { .. } => Code::Draining,
        };
        let answer = jobs::handle_call(core, call, message, &access, endpoint);
        let answer = core.shutdown.unless_ending(answer).await;
        return answer.unwrap_or_else(|| reject(core, cut_code));
    }
    let caller = &core.dialect.header_names().caller;
    let credentials = message.headers.get(caller).cloned();
    loop {
        let Some(manifest) = core.manifest() else {
            return reject(core, Code::NoConfiguration);
        };
        let route = match find_route(&manifest, &message) {
            Some(route) if route.kind == Kind::Batch => route,
            // A daemon of an earlier build submits a job; it has another manifest and
            // decides by that.
            _ if endpoint == Endpoint::Peers => return reject(core, Code::OwnerUnreachable),
            Some(route) => {
                return serve_online(core, &manifest, route, message, arrived).await;
            }
            None if jobs::is_accepted(core, &manifest, &mut message).await => {
                return jobs::accepted();
            }
            None => return reject(core, Code::NotFound),
        };
        let headers = &mut message.headers;
        let access = match identity::identify(core, &manifest, route, headers, endpoint) {
            Ok(access) => access,
            Err(code) => return reject(core, code),
        };
        let target = jobs::Target {
            route,
            version: manifest.version,
            access: &access,
        };
        if !jobs::admits_call(core) {
            return reject(core, Code::Draining);
        }
        let submitted = jobs::submit(core, &target, &message, endpoint);
        let submitted = core.shutdown.unless_ending(submitted).await;
        match submitted.unwrap_or_else(|| Ok(reject(core, Code::AppendUnknown))) {
            Ok(response) => return response,
            Err(Outdated { version })
                if core.wait_for_manifest(version, MANIFEST_TIMEOUT).await =>
            {
                // The customer is identified anew, by the later version.
                let credentials = credentials.clone();
                let restored = credentials.map(|value| (caller.clone(), value));
                message.headers.extend(restored);
            }
            Err(_) => return reject(core, Code::NoConfiguration),
        }
    }
}

/// Serves an online request of a client.
async fn serve_online<S: Store, D: Dialect>(
    core: &Core<S, D>,
    manifest: &Manifest,
    route: &Route,
    mut message: Message,
    arrived: Duration,
) -> Response<Body> {
    let endpoint = Endpoint::Clients;
    match identity::identify(core, manifest, route, &mut message.headers, endpoint) {
        Ok(access) => {
            let customer = access.customer();
            if let Some(customer) = customer
                && let Err(retry_after) = request_quota::acquire(core, customer).await
            {
                return reject_after(core, Code::RateLimited, retry_after);
            }
            let request = online::Request::new(core, route.clone(), message, &access, arrived);
            let response = request.serve().await;
            let signature = &core.dialect.header_names().signature;
            let is_own = !response.headers().contains_key(signature);
            if let Some(customer) = customer
                && is_own
                && response.status() == StatusCode::SERVICE_UNAVAILABLE
            {
                // The status of this daemon promises that the request has not run; that of a
                // replica may not.
                request_quota::give_back(core, customer);
            }
            response
        }
        Err(code) => reject(core, code),
    }
}

fn find_route<'a>(manifest: &'a Manifest, message: &Message) -> Option<&'a Route> {
    let host = message.headers.get(header::HOST)?.to_str().ok()?;
    manifest.route(host, message.uri.path())
}

fn reject<S: Store, D: Dialect>(core: &Core<S, D>, code: Code) -> Response<Body> {
    core.metrics.request_refused(code);
    log::request_refused("-", "-", code, Duration::ZERO);
    error_response(core, code)
}

fn reject_after<S: Store, D: Dialect>(
    core: &Core<S, D>,
    code: Code,
    retry_after: Duration,
) -> Response<Body> {
    core.metrics.request_refused(code);
    log::request_refused("-", "-", code, Duration::ZERO);
    error_response_after(core, code, retry_after)
}

/// Reads a request body.
///
/// # Errors
///
/// If it is too large, does not end in time or before the daemon, or there is no memory for
/// it.
pub(crate) async fn read_body<S: Store, D: Dialect>(
    core: &Core<S, D>,
    body: &mut Incoming,
) -> Result<Bytes, Code> {
    let limits = core.manifest().map(|manifest| manifest.limits);
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body);
    let collected = with_timeout(BODY_TIMEOUT, collect(body, max_bytes, &core.calls_budget));
    let Some(collected) = core.shutdown.unless_ending(collected).await else {
        return Err(Code::Draining);
    };
    match collected {
        Some(Ok(bytes)) => Ok(bytes),
        Some(Err(collect::Error::TooLarge)) => Err(Code::BodyTooLarge),
        Some(Err(collect::Error::MemoryLimited)) => Err(Code::MemoryLimited),
        Some(Err(collect::Error::Broken(_))) => Err(Code::MalformedRequest),
        None => Err(Code::SlowSender),
    }
}

/// Reads the rest of a request body and discards it, as a response before the end of the
/// request may be lost with the connection.
pub(crate) async fn discard_body(mut body: Incoming) {
    let discarded = async { while let Some(Ok(_)) = body.frame().await {} };
    // The rest is of no use either.
    let _end = with_timeout(BODY_TIMEOUT, discarded).await;
}
