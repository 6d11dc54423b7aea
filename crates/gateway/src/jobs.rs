//! Handles calls about batch jobs: submit, read results and bodies, cancel.
//!
//! A call is forwarded to the owner of the job's shard. If the owner cannot be
//! reached, is unavailable or has an older manifest, this daemon handles the call
//! itself; that is safe, as every append to the ledger is conditional. A submission
//! is reported as refused only if it certainly has no effect; otherwise the response
//! says that the outcome is unknown. All calls can be repeated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::manifest::{BatchRoute, is_host};
use bitterncart_coordination::fleet::shutdown::Work;
use bitterncart_coordination::fleet::{Customer, Manifest, Route};
use bitterncart_protocol::code::Ran;
use bitterncart_protocol::{Code, hash};
use bitterncart_state::ledger::{Decision, Job, Op, Quota, Submission, Terms};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;

use crate::body::Body;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::{Call, Dialect};
use crate::forward::{self, Failure};
use crate::identity::{self, Access};
use crate::intake::Meter;
use crate::log;
use crate::online::error_response;
use crate::ownership;
use crate::server::{self, Endpoint};
use crate::shard::{Shard, Undecided};
use crate::store::Store;
use crate::submission::{self, Reply};
use crate::upstream::{Message, strip_hop_by_hop_headers};

/// Timeout of a ledger write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of reading the ledger to its end.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);

/// Age above which the state of a shard that this daemon does not serve as its owner
/// is refreshed before results are read.
const MAX_STALENESS: Duration = Duration::from_millis(500);

/// Timeout of loading a shard for a call.
const LOAD_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of asking the owner of a shard whether it knows a job.
const KNOWN_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which a read waits for new results.
const MAX_LONG_POLL: Duration = Duration::from_millis(1000);

/// Usual time of a call, with an append to the store.
const CALL_TIME: Duration = Duration::from_millis(400);

/// Maximum length of a job id, which is part of keys in the store.
const MAX_JOB_ID_BYTES: usize = 96;

/// Whether the daemon still takes calls about jobs. All can be repeated elsewhere.
pub(crate) fn admits_call<S: Store, D: Dialect>(core: &Core<S, D>) -> bool {
    core.shutdown.admits(Work {
        deadline: Duration::MAX,
        usual_time: Some(CALL_TIME),
    })
}

/// Shard of a job.
pub(crate) fn shard_of<'a, S: Store, D: Dialect>(core: &'a Core<S, D>, job: &str) -> &'a Shard {
    let index = hash::hash_parts(&[job.as_bytes()]) % core.shards.len() as u128;
    &core.shards[index as usize]
}

/// Token quota of a route, or of a customer on it, for a job in the shard `target`; `None`
/// without a limit.
///
/// # Errors
///
/// If the open tokens of another shard are not known.
fn quota<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: &Route,
    target: &Shard,
    customer: Option<&Customer>,
) -> Result<Option<Quota>, Code> {
    let Some(max_tokens) = route.batch.max_tokens else {
        return Ok(None);
    };
    let customer = customer.map(|customer| customer.name.as_str());
    let route_hash = ownership::route_hash(route, customer);
    let tokens = |shard: &Shard| {
        let is_loaded = shard.is_loaded();
        let open_tokens = || {
            let ledger = shard.ledger();
            ledger.open_tokens(&route.host, &route.prefix, customer)
        };
        let read = is_loaded.then(open_tokens);
        if shard.is_serving() {
            return read;
        }
        // An owner that has not read on does not report the jobs accepted here for it.
        let reported = core.peers().unfinished_tokens(shard.number(), route_hash);
        reported.max(read)
    };
    let others = core
        .shards
        .iter()
        .filter(|shard| !std::ptr::eq(*shard, target));
    let other_shards_tokens: Option<u64> = others.map(tokens).sum();
    Ok(Some(Quota {
        max_tokens,
        other_shards_tokens: other_shards_tokens.ok_or(Code::LogUnavailable)?,
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        customer: customer.map(CompactString::from),
    }))
}

/// Where a job is submitted, according to one version of the manifest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target<'a> {
    /// Batch route.
    pub route: &'a Route,
    /// Version of the manifest.
    pub version: u64,
    /// Whose job it is.
    pub access: &'a Access,
}

/// The owner of a job's shard has a later manifest, in which the job has no batch route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Outdated {
    /// Version of that manifest.
    pub version: u64,
}

/// Submits a job to the owner of its shard, or to the ledger if that fails.
///
/// # Errors
///
/// If the job has no batch route in a later manifest. It was not accepted.
pub(crate) async fn submit<S: Store, D: Dialect>(
    core: &Core<S, D>,
    target: &Target<'_>,
    message: &Message,
    endpoint: Endpoint,
) -> Result<Response<Body>, Outdated> {
    let version = target.version;
    let Some(id) = job_id(core, message) else {
        return Ok(reject(core, "", Code::BadHeader));
    };
    let owner = forward_target(core, shard_of(core, &id), endpoint);
    let mut is_certain = true;
    if let (Some(owner), Some(call)) = (owner, submission::Submission::call(message, version)) {
        match forward::call(core, owner, &call, Duration::ZERO).await {
            Ok(response) => match Reply::of(&response) {
                Reply::Decided => return Ok(response),
                Reply::NotDecided(Some(later)) if later > version => {
                    core.metrics.owner_call("later_manifest");
                    return Err(Outdated { version: later });
                }
                Reply::NotDecided(_) => core.metrics.owner_call("not_decided"),
                Reply::Unknown => is_certain = false,
            },
            Err(Failure::NotSent) => {}
            Err(Failure::Unknown) => is_certain = false,
        }
    }
    Ok(decide(core, target, message, &id, is_certain).await)
}

/// Whether a request to a path without a route submits a job once more that has been accepted,
/// as this daemon or the owner of its shard knows. The route of the job has ended since.
pub(crate) async fn is_accepted<S: Store, D: Dialect>(
    core: &Core<S, D>,
    manifest: &Manifest,
    message: &mut Message,
) -> bool {
    let endpoint = Endpoint::Clients;
    let id = job_id(core, message).filter(|_| message.method == Method::POST);
    let access = identity::identify_call(core, &mut message.headers, endpoint);
    let (Some(id), Ok(access)) = (id, access) else {
        return false;
    };
    let shard = shard_of(core, &id);
    if is_known(shard, &id, message, &access) {
        return true;
    }
    let head = Message {
        body: Bytes::new(),
        ..message.clone()
    };
    let call = submission::Submission::call(&head, manifest.version);
    let (Some(owner), Some(call)) = (forward_target(core, shard, endpoint), call) else {
        return false;
    };
    let answer = forward::call(core, owner, &call, Duration::ZERO);
    match with_timeout(KNOWN_TIMEOUT, answer).await {
        Some(Ok(response)) => response.status() == StatusCode::ACCEPTED,
        // The client gets 404, as for any path without a route.
        Some(Err(_)) | None => false,
    }
}

/// Whether a submission is that of a job that is loaded.
fn is_known(shard: &Shard, id: &str, message: &Message, access: &Access) -> bool {
    let ledger = shard.ledger();
    let host = message.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    ledger.job(id).is_some_and(|job| {
        let submission = &job.submission;
        access.includes(job)
            && submission.path == message.uri.path()
            && host.is_some_and(|host| is_host(host, &submission.host))
    })
}

/// Handles a submission of a peer to this daemon as the owner of the job's shard.
pub(crate) async fn submit_for_peer<S: Store, D: Dialect>(
    core: &Core<S, D>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (mut head, mut body) = request.into_parts();
    let submission = submission::Submission::parse(&head.headers);
    let found = submission.as_ref().and_then(|job| job.route(core));
    let found = found.filter(|_| admits_call(core));
    let endpoint = Endpoint::Peers;
    let (Some(submission), Some((manifest, route))) = (submission.clone(), found) else {
        server::discard_body(body).await;
        let is_known = submission.is_some_and(|job| is_known_to_owner(core, job, head));
        return match is_known {
            true => accepted(),
            false => submission::not_decided(core),
        };
    };
    let headers = &mut head.headers;
    let Ok(access) = identity::identify(core, &manifest, &route, headers, endpoint) else {
        // The caller has identified the customer by another version of the manifest.
        server::discard_body(body).await;
        return submission::not_decided(core);
    };
    let body = match server::read_body(core, &mut body).await {
        Ok(body) => body,
        Err(code) => return reject(core, "", code),
    };
    if let Some(meter) = head.extensions.remove::<Arc<Meter>>() {
        meter.body_received();
    }
    strip_hop_by_hop_headers(&mut head.headers);
    head.headers.insert(header::HOST, submission.host);
    let message = Message {
        profile: Arc::default(),
        method: head.method,
        uri: submission.uri,
        headers: head.headers,
        body,
    };
    match job_id(core, &message) {
        Some(id) => {
            let target = Target {
                route: &route,
                version: manifest.version,
                access: &access,
            };
            let decided = decide(core, &target, &message, &id, true);
            let decided = core.shutdown.unless_ending(decided).await;
            decided.unwrap_or_else(|| reject(core, &id, Code::AppendUnknown))
        }
        None => reject(core, "", Code::BadHeader),
    }
}

/// Whether the submission of a peer, for which there is no route, is that of a known job.
fn is_known_to_owner<S: Store, D: Dialect>(
    core: &Core<S, D>,
    submission: submission::Submission,
    mut head: request::Parts,
) -> bool {
    let access = identity::identify_call(core, &mut head.headers, Endpoint::Peers);
    head.headers.insert(header::HOST, submission.host);
    let message = Message {
        profile: Arc::default(),
        method: head.method,
        uri: submission.uri,
        headers: head.headers,
        body: Bytes::new(),
    };
    match (job_id(core, &message), access) {
        (Some(id), Ok(access)) => is_known(shard_of(core, &id), &id, &message, &access),
        _ => false,
    }
}

/// Response to the submission of a job that is accepted.
pub(crate) fn accepted() -> Response<Body> {
    empty_response(StatusCode::ACCEPTED)
}

/// Id of the job in a submission; `None` if it is invalid.
fn job_id<S: Store, D: Dialect>(core: &Core<S, D>, message: &Message) -> Option<CompactString> {
    let id = message.headers.get(&core.dialect.header_names().attempt_id);
    let id = id?.to_str().ok()?;
    let is_valid = !id.is_empty() && id.len() <= MAX_JOB_ID_BYTES && !id.contains('/');
    is_valid.then(|| id.into())
}

/// Accepts or rejects a job at this daemon. If it is not `is_certain` that the owner has
/// not accepted the job, it is not reported as refused.
async fn decide<S: Store, D: Dialect>(
    core: &Core<S, D>,
    target: &Target<'_>,
    message: &Message,
    id: &CompactString,
    is_certain: bool,
) -> Response<Body> {
    let code = match accept(core, target, message, id).await {
        Ok(()) => return accepted(),
        // The owner may still accept the job.
        Err(code) if !is_certain && code.ran() == Ran::NotRun => Code::AppendUnknown,
        Err(code) => code,
    };
    reject(core, id, code)
}

/// Accepts a job at this daemon.
async fn accept<S: Store, D: Dialect>(
    core: &Core<S, D>,
    target: &Target<'_>,
    message: &Message,
    id: &CompactString,
) -> Result<(), Code> {
    let Target {
        route,
        version,
        access,
    } = *target;
    let customer = access.customer();
    let shard = shard_of(core, id);
    match shard.ledger().job(id).map(|job| access.includes(job)) {
        Some(true) => return Ok(()),
        Some(false) => return Err(Code::KeyConflict),
        None => {}
    }
    if core.is_store_unavailable(clock::now()) || !shard.wait_until_loaded(LOAD_TIMEOUT).await {
        return Err(Code::LogUnavailable);
    }
    let mut items = core.dialect.parse_items(&message.body).map_err(|reason| {
        log::record_invalid(id, &reason);
        Code::MalformedJson
    })?;
    if *access != Access::Any {
        let names = core.dialect.header_names();
        identity::strip_items(&mut items, names);
    }
    let submission = Submission {
        id: id.clone(),
        host: route.host.clone(),
        path: message.uri.path().into(),
        submitted_ms: clock::wall().as_millis() as u64,
        items,
        customer: customer.map(|customer| customer.name.clone()),
        terms: Some(Terms {
            manifest_version: version,
            give_up_ms: route.batch.give_up.as_millis() as u64,
            is_public: route.is_public,
        }),
    };
    let op = Op::Accept(submission, quota(core, route, shard, customer)?);
    match shard.submit(op, clock::now() + WRITE_TIMEOUT).await {
        Ok(Decision::QuotaExceeded) => Err(Code::TokenLimited),
        Ok(Decision::TooLarge) => Err(Code::BodyTooLarge),
        Ok(Decision::OtherCustomer) => Err(Code::KeyConflict),
        Ok(_) => {
            log::job_accepted(id, &route.name, shard.number());
            Ok(())
        }
        Err(Undecided::NotApplied) => Err(Code::LogUnavailable),
        Err(Undecided::Unknown) => Err(Code::AppendUnknown),
    }
}

/// Peer to which a call about a shard is forwarded. Calls from peers are never
/// forwarded.
fn forward_target<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    endpoint: Endpoint,
) -> Option<SocketAddr> {
    match endpoint {
        Endpoint::Clients => ownership::forward_target(core, shard, clock::now()),
        _ => None,
    }
}

fn reject<S: Store, D: Dialect>(core: &Core<S, D>, id: &str, code: Code) -> Response<Body> {
    core.metrics.request_refused(code);
    log::request_refused(id, "batch", code, Duration::ZERO);
    error_response(core, code)
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Full(None));
    *response.status_mut() = status;
    response
}

/// Answers a call about a job, by forwarding it to the owner of its shard or, if
/// that fails, from the shard as loaded here.
pub(crate) async fn handle_call<S: Store, D: Dialect>(
    core: &Core<S, D>,
    call: Call,
    message: Message,
    access: &Access,
    endpoint: Endpoint,
) -> Response<Body> {
    let shard = shard_of(core, call.job());
    let wait = long_poll_timeout(core, &message.headers);
    if let Some(owner) = forward_target(core, shard, endpoint) {
        let forwarded = forward::call(core, owner, &message, wait).await;
        match forwarded {
            Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => {
                return response;
            }
            // A cancellation loads the shard here, as it must take effect soon; a
            // read is repeated by the client.
            _ if matches!(call, Call::Cancel { .. }) || shard.is_loaded() => {}
            _ => return reject(core, call.job(), Code::OwnerUnreachable),
        }
    }
    if !shard.wait_until_loaded(LOAD_TIMEOUT).await {
        return reject(core, call.job(), Code::LogUnavailable);
    }
    let manifest = core.manifest();
    let is_public = |job: &Job| {
        let route = manifest.as_ref().and_then(|m| route_of(m, &job.submission));
        match (route, job.submission.terms) {
            (Some(route), _) => route.is_public,
            (None, terms) => terms.is_some_and(|terms| terms.is_public),
        }
    };
    let may_access = |job: &Job| {
        let needs_key = *access == Access::Public && !is_public(job);
        access.includes(job) && !needs_key
    };
    match read_job(core, call.job(), may_access).await {
        Ok(true) => {}
        Ok(false) => return reject(core, call.job(), Code::NotFound),
        Err(code) => return reject(core, call.job(), code),
    }
    match call {
        Call::Results { job, after } => results(core, &job, after, wait).await,
        Call::ItemBody { job, item } => {
            match read_job(core, &job, |job| open_item_body(job, &item)).await {
                Ok(Some(bytes)) => Response::new(Body::full(bytes)),
                Ok(None) => reject(core, &job, Code::NotFound),
                Err(code) => reject(core, &job, code),
            }
        }
        Call::Cancel { job } => cancel(core, job).await,
    }
}

/// Time for which a read may wait for new results, from its headers.
fn long_poll_timeout<S: Store, D: Dialect>(core: &Core<S, D>, headers: &HeaderMap) -> Duration {
    headers
        .get(&core.dialect.header_names().long_poll)
        .and_then(|ms| ms.to_str().ok()?.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(MAX_LONG_POLL)
}

/// Body of an item that has no result yet.
fn open_item_body(job: &Job, item: &str) -> Option<Bytes> {
    let index = job.submission.items.iter().position(|i| i.id == item)?;
    let open = !job.has_result[index] && !job.cancelled;
    open.then(|| Bytes::copy_from_slice(&job.submission.items[index].body))
}

/// Reads a value from a job. Reads the ledger to its end before it reports that
/// the job does not exist.
async fn read_job<S: Store, D: Dialect, T>(
    core: &Core<S, D>,
    id: &CompactString,
    read: impl Fn(&Job) -> T,
) -> Result<T, Code> {
    let shard = shard_of(core, id);
    if let Some(value) = shard.ledger().job(id).map(&read) {
        return Ok(value);
    }
    match with_timeout(CATCH_UP_TIMEOUT, shard.catch_up(core)).await {
        Some(Ok(())) => shard.ledger().job(id).map(&read).ok_or(Code::NotFound),
        Some(Err(e)) => {
            core.record_store_failure("look", &e);
            Err(Code::LogUnavailable)
        }
        None => Err(Code::LogUnavailable),
    }
}

async fn results<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: &CompactString,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let counts = match read_job(core, id, |job| (job.results.len(), job.is_open())).await {
        Ok(counts) => counts,
        Err(code) => return reject(core, id, code),
    };
    let shard = shard_of(core, id);
    let (mut count, is_open) = counts;
    // A suspension that has just ended may not have been noticed yet.
    let is_served = shard.is_serving() && core.peers().is_stable(clock::now());
    let is_stale = !is_served && shard.staleness() > MAX_STALENESS;
    if after > count || (is_open && is_stale) {
        // Another daemon may have recorded more results, which the client may know.
        match with_timeout(CATCH_UP_TIMEOUT, shard.catch_up(core)).await {
            Some(Ok(())) => {}
            Some(Err(e)) => {
                core.record_store_failure("look", &e);
                return reject(core, id, Code::LogUnavailable);
            }
            None => return reject(core, id, Code::LogUnavailable),
        }
        count = shard.ledger().job(id).map_or(0, |job| job.results.len());
    }
    if is_open && after >= count && !wait.is_zero() {
        with_timeout(wait, wait_for_result(core, shard, id, after)).await;
    }
    let ledger = shard.ledger();
    let Some(job) = ledger.job(id) else {
        return error_response(core, Code::NotFound);
    };
    let mut response = Response::new(Body::full(core.dialect.encode_results(job, after)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Waits until a job has more than `after` results, is removed, or the daemon
/// drains.
async fn wait_for_result<S: Store, D: Dialect>(
    core: &Core<S, D>,
    shard: &Shard,
    id: &str,
    after: usize,
) {
    loop {
        let changed = shard.changed.listen();
        let is_done = shard
            .ledger()
            .job(id)
            .is_none_or(|job| job.results.len() > after);
        if is_done || core.shutdown.has_begun() {
            return;
        }
        changed.await;
    }
}

async fn cancel<S: Store, D: Dialect>(core: &Core<S, D>, id: CompactString) -> Response<Body> {
    match read_job(core, &id, |job| job.cancelled).await {
        Ok(true) => return empty_response(StatusCode::OK),
        Ok(false) => {}
        Err(code) => return reject(core, &id, code),
    }
    let write = shard_of(core, &id).submit(Op::Cancel(id.clone()), clock::now() + WRITE_TIMEOUT);
    match write.await {
        Ok(Decision::UnknownJob) => reject(core, &id, Code::NotFound),
        Ok(_) => {
            log::job_cancelled(&id);
            empty_response(StatusCode::OK)
        }
        Err(Undecided::NotApplied) => reject(core, &id, Code::LogUnavailable),
        Err(Undecided::Unknown) => reject(core, &id, Code::AppendUnknown),
    }
}

/// Batch route of a job in a manifest; `None` if the job has no route there, or one of
/// another kind, as in a manifest from before the route was split off.
pub(crate) fn route_of<'a>(manifest: &'a Manifest, job: &Submission) -> Option<&'a Route> {
    match manifest.batch_route(&job.host, &job.path) {
        BatchRoute::Present(route) => Some(route),
        BatchRoute::Missing | BatchRoute::Unreadable => None,
    }
}
