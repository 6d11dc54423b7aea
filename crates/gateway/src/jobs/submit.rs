//! Submission of a job, to the owner of its shard or to the ledger.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::manifest::is_host;
use bitterncart_coordination::fleet::{Customer, Manifest, Route};
use bitterncart_protocol::Code;
use bitterncart_protocol::code::Ran;
use bitterncart_state::ledger::{Decision, Op, Quota, Submission, Terms};
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;

use super::{
    LOAD_TIMEOUT, WRITE_TIMEOUT, admits_call, empty_response, forward_target, reject, shard_of,
};
use crate::body::Body;
use crate::budget::SMALL_BYTES;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::forward::{self, Failure};
use crate::identity::{self, Access};
use crate::intake::Meter;
use crate::log;
use crate::server::{self, Endpoint};
use crate::shard::{Shard, Undecided};
use crate::store::Store;
use crate::submission::{self, Reply};
use crate::token_quota::{self, Scope};
use crate::upstream::{Message, strip_hop_by_hop_headers};

/// Time for which a large job waits for another one; the daemon that forwards it waits for
/// 700 ms in all.
const LARGE_JOB_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum length of a job id, which is part of keys in the store.
const MAX_JOB_ID_BYTES: usize = 96;

/// Timeout of asking the owner of a shard whether it knows a job.
const KNOWN_TIMEOUT: Duration = Duration::from_millis(400);
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
    let scope = Scope::new(route, customer);
    let other_shards_tokens = scope.tokens_without(core, target);
    Ok(Some(Quota {
        max_tokens,
        other_shards_tokens: other_shards_tokens.ok_or(Code::LogUnavailable)?,
        host: scope.host,
        prefix: scope.prefix,
        customer: scope.customer,
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
            Ok(mut response) => match Reply::of(&response) {
                Reply::Decided => {
                    response.headers_mut().remove(submission::DECIDED);
                    return Ok(response);
                }
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
    let decided = decide(core, target, message, &id, is_certain).await;
    Ok(decision_response(core, &id, decided))
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
    let message = submission.message(head, body);
    match job_id(core, &message) {
        Some(id) => {
            let target = Target {
                route: &route,
                version: manifest.version,
                access: &access,
            };
            let decided = decide(core, &target, &message, &id, true);
            let decided = core.shutdown.unless_ending(decided).await;
            let decided = decided.unwrap_or(Err(Code::AppendUnknown));
            let mut response = decision_response(core, &id, decided);
            if decided == Err(Code::MemoryLimited) {
                // This daemon would read a job that another one records for it.
                submission::mark_decided(&mut response);
            }
            response
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
    let message = submission.message(head, Bytes::new());
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
) -> Result<(), Code> {
    match accept(core, target, message, id).await {
        // The owner may still accept the job.
        Err(code) if !is_certain && code.ran() == Ran::NotRun => Err(Code::AppendUnknown),
        decided => decided,
    }
}

fn decision_response<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: &str,
    decided: Result<(), Code>,
) -> Response<Body> {
    match decided {
        Ok(()) => accepted(),
        Err(code) => reject(core, id, code),
    }
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
    let _turn = match message.body.len() {
        0..=SMALL_BYTES => None,
        _ => {
            let turn = with_timeout(LARGE_JOB_TIMEOUT, core.large_job_lock.lock()).await;
            Some(turn.ok_or(Code::MemoryLimited)?)
        }
    };
    if !core.has_room_for_job(message.body.len()) {
        return Err(Code::MemoryLimited);
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
    let permit = token_quota::acquire(core, route, customer, shard, &submission).await?;
    let decided = append(core, target, shard, submission).await;
    if let (Err(code), Some(permit)) = (decided, permit)
        && code.ran() == Ran::NotRun
    {
        permit.release(core);
    }
    decided
}

/// Appends a job to its shard.
async fn append<S: Store, D: Dialect>(
    core: &Core<S, D>,
    target: &Target<'_>,
    shard: &Shard,
    submission: Submission,
) -> Result<(), Code> {
    let Target { route, access, .. } = *target;
    let id = submission.id.clone();
    // Owners of earlier versions accept jobs without a grant, so the ledgers count as well.
    let op = Op::Accept(submission, quota(core, route, shard, access.customer())?);
    match shard.submit(op, clock::now() + WRITE_TIMEOUT).await {
        Ok(Decision::QuotaExceeded) => Err(Code::TokenLimited),
        Ok(Decision::TooLarge) => Err(Code::BodyTooLarge),
        Ok(Decision::OtherCustomer) => Err(Code::KeyConflict),
        Ok(_) => {
            log::job_accepted(&id, &route.name, shard.number());
            Ok(())
        }
        Err(Undecided::NotApplied) => Err(Code::LogUnavailable),
        Err(Undecided::Unknown) => Err(Code::AppendUnknown),
    }
}
