//! Handles calls about batch jobs: submit, read results and bodies, cancel.
//!
//! A call is forwarded to the owner of the job's shard. If the owner cannot be
//! reached, is unavailable or has an older manifest, this daemon handles the call
//! itself; that is safe, as every append to the ledger is conditional. A submission
//! is reported as refused only if it certainly has no effect; otherwise the response
//! says that the outcome is unknown. All calls can be repeated.

mod submit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::manifest::BatchRoute;
use bitterncart_coordination::fleet::shutdown::Work;
use bitterncart_coordination::fleet::{Manifest, Route};
use bitterncart_protocol::{Code, hash};
use bitterncart_state::ledger::{Decision, Job, Op, Submission};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

use crate::body::Body;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::{Call, Dialect};
use crate::forward::{self};
use crate::identity::Access;
use crate::log;
use crate::online::error_response;
use crate::ownership;
use crate::server::Endpoint;
use crate::shard::{Shard, Undecided};
use crate::store::Store;
use crate::upstream::Message;

pub(crate) use self::submit::{Outdated, Target, accepted, is_accepted, submit, submit_for_peer};

/// Timeout of a ledger write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of reading the ledger to its end.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);

/// Age above which the state of a shard that this daemon does not serve as its owner
/// is refreshed before results are read.
const MAX_STALENESS: Duration = Duration::from_millis(500);

/// Timeout of loading a shard for a call.
const LOAD_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum time for which a read waits for new results.
const MAX_LONG_POLL: Duration = Duration::from_millis(1000);

/// Part of the memory left for large answers that a page of results may take: one in this many
/// bytes. So many readers at once get pages that become smaller, and none is refused at first.
const PAGE_DIVISOR: usize = 8;

/// Size up to which a page of results may always grow, in bytes.
const MIN_PAGE_BYTES: usize = 16 << 10;

/// Usual time of a call, with an append to the store.
const CALL_TIME: Duration = Duration::from_millis(400);

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

/// Body of an item that has no result yet. It is not copied.
fn open_item_body(job: &Job, item: &str) -> Option<Bytes> {
    let index = job.submission.items.iter().position(|i| i.id == item)?;
    let open = !job.has_result[index] && !job.cancelled;
    open.then(|| Bytes::from_owner(Arc::clone(&job.submission.items[index].body)))
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
    let max_bytes = (core.budget.room() / PAGE_DIVISOR).max(MIN_PAGE_BYTES);
    let page = {
        let ledger = shard.ledger();
        let job = ledger.job(id);
        job.map(|job| core.dialect.encode_results(job, after, max_bytes))
    };
    let Some(page) = page else {
        return error_response(core, Code::NotFound);
    };
    let Some(share) = core.reserve_answer(page.len()).await else {
        return reject(core, id, Code::MemoryLimited);
    };
    let mut response = Response::new(Body::full(share.into_held(page)));
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
