//! Calls about batch jobs.

use std::time::Duration;

use bitterncart_coordination::fleet::{Manifest, Route};
use bitterncart_protocol::{Code, hash};
use bitterncart_state::ledger::{Job, Op, Quota, Submission, Verdict};
use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

use crate::body::Body;
use crate::clock::{self, within};
use crate::core::Core;
use crate::dialect::{Call, Dialect};
use crate::log;
use crate::online::failure;
use crate::shard::{Shard, Undecided};
use crate::store::Store;

/// Time for the store to take a change.
const CHANGE: Duration = Duration::from_millis(1500);

/// Time for a look at the end of the ledger.
const LOOK: Duration = Duration::from_millis(1500);

/// Age of the ledger at which a read that finds nothing new looks at its end.
const FRESH: Duration = Duration::from_millis(500);

/// Longest time for which a read is kept waiting.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Longest job id; it is part of keys in the store.
const MAX_ID: usize = 96;

/// Shard of a job.
pub(crate) fn shard<'a, S: Store, D: Dialect>(core: &'a Core<S, D>, job: &str) -> &'a Shard {
    let point = hash::parts(&[job.as_bytes()]) % core.shards.len() as u128;
    &core.shards[point as usize]
}

/// Tokens of unlisted items of a route's jobs, in this shard and in others.
fn quota<S: Store, D: Dialect>(core: &Core<S, D>, route: &Route, here: &Shard) -> Option<Quota> {
    let max_tokens = route.batch.max_tokens?;
    let mut quota = Quota {
        max_tokens,
        elsewhere: 0,
        here: 0,
    };
    for shard in &core.shards {
        let ledger = shard.ledger();
        let jobs = ledger.jobs().filter(|(_, job)| {
            job.submission.host == route.host
                && job.submission.path.starts_with(route.prefix.as_str())
        });
        let tokens: u64 = jobs.map(|(_, job)| job.open_tokens()).sum();
        if std::ptr::eq(shard, here) {
            quota.here += tokens;
        } else {
            quota.elsewhere += tokens;
        }
    }
    Some(quota)
}

/// Accepts a job.
pub(crate) async fn submit<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: &Route,
    path: &str,
    headers: &HeaderMap,
    body: &[u8],
) -> Response<Body> {
    let names = core.dialect.names();
    let id = headers
        .get(&names.attempt)
        .and_then(|id| id.to_str().ok())
        .unwrap_or("");
    let valid = !id.is_empty() && id.len() <= MAX_ID && !id.contains('/');
    let items = match core.dialect.items(body) {
        Ok(items) if valid => items,
        Ok(_) => return refuse(core, id, Code::BadHeader),
        Err(why) => {
            log::unreadable(id, &why);
            return refuse(core, id, Code::MalformedJson);
        }
    };
    let shard = shard(core, id);
    if shard.ledger().job(id).is_some() {
        return empty(StatusCode::ACCEPTED);
    }
    if core.is_store_away(clock::now()) {
        return refuse(core, id, Code::LogUnavailable);
    }
    let submission = Submission {
        id: id.into(),
        host: route.host.clone(),
        path: path.into(),
        owner: core.me(),
        submitted_ms: clock::wall().as_millis() as u64,
        items,
    };
    let op = Op::Accept(submission, quota(core, route, shard));
    match shard.order(op, clock::now() + CHANGE).await {
        Ok(Verdict::Full) => refuse(core, id, Code::TokenLimited),
        Ok(_) => {
            log::accepted(id, &route.name);
            empty(StatusCode::ACCEPTED)
        }
        Err(Undecided::Void) => refuse(core, id, Code::LogUnavailable),
        Err(Undecided::Unknown) => refuse(core, id, Code::AppendUnknown),
    }
}

fn refuse<S: Store, D: Dialect>(core: &Core<S, D>, id: &str, code: Code) -> Response<Body> {
    core.metrics.refused(code);
    log::refused(id, "batch", code, Duration::ZERO);
    failure(core, code)
}

fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Whole(None));
    *response.status_mut() = status;
    response
}

/// Answers a call about a job.
pub(crate) async fn call<S: Store, D: Dialect>(
    core: &Core<S, D>,
    call: Call,
    headers: &HeaderMap,
) -> Response<Body> {
    match call {
        Call::Results { job, after } => results(core, &job, after, headers).await,
        Call::Body { job, item } => match known(core, &job, |job| body_of(job, &item)).await {
            Ok(Some(bytes)) => Response::new(Body::whole(bytes)),
            Ok(None) => refuse(core, &job, Code::NotFound),
            Err(code) => refuse(core, &job, code),
        },
        Call::End { job } => end(core, job).await,
    }
}

/// Body of an item that is not listed.
fn body_of(job: &Job, item: &str) -> Option<Bytes> {
    let index = job.submission.items.iter().position(|i| i.id == item)?;
    let open = !job.listed[index] && !job.cancelled;
    open.then(|| Bytes::copy_from_slice(&job.submission.items[index].body))
}

/// What is read of a job; looks at the end of the ledger before it says that
/// there is none.
async fn known<S: Store, D: Dialect, T>(
    core: &Core<S, D>,
    id: &CompactString,
    read: impl Fn(&Job) -> T,
) -> Result<T, Code> {
    let shard = shard(core, id);
    if let Some(value) = shard.ledger().job(id).map(&read) {
        return Ok(value);
    }
    match within(LOOK, shard.catch_up(core)).await {
        Some(Ok(())) => shard.ledger().job(id).map(&read).ok_or(Code::NotFound),
        Some(Err(e)) => {
            core.store_failed("look", &e);
            Err(Code::LogUnavailable)
        }
        None => Err(Code::LogUnavailable),
    }
}

async fn results<S: Store, D: Dialect>(
    core: &Core<S, D>,
    id: &CompactString,
    after: usize,
    headers: &HeaderMap,
) -> Response<Body> {
    let listed = match known(core, id, |job| (job.results.len(), job.is_open())).await {
        Ok(listed) => listed,
        Err(code) => return refuse(core, id, code),
    };
    let wait = headers
        .get(&core.dialect.names().wait)
        .and_then(|ms| ms.to_str().ok()?.parse().ok())
        .map_or(Duration::ZERO, Duration::from_millis)
        .min(MAX_WAIT);
    let shard = shard(core, id);
    let (mut count, open) = listed;
    if after > count || (after == count && open && shard.age() > FRESH) {
        // Another daemon may have listed more.
        if let Some(Err(e)) = within(LOOK, shard.catch_up(core)).await {
            core.store_failed("look", &e);
        }
        count = shard.ledger().job(id).map_or(0, |job| job.results.len());
    }
    if open && after >= count && !wait.is_zero() {
        within(wait, more(core, shard, id, after)).await;
    }
    let ledger = shard.ledger();
    let Some(job) = ledger.job(id) else {
        return failure(core, Code::NotFound);
    };
    let mut response = Response::new(Body::whole(core.dialect.results(job, after)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Waits until a job has a result at a position.
async fn more<S: Store, D: Dialect>(core: &Core<S, D>, shard: &Shard, id: &str, after: usize) {
    loop {
        let changed = shard.changed.listen();
        let done = shard
            .ledger()
            .job(id)
            .is_none_or(|job| job.results.len() > after);
        if done || core.is_leaving() {
            return;
        }
        changed.await;
    }
}

async fn end<S: Store, D: Dialect>(core: &Core<S, D>, id: CompactString) -> Response<Body> {
    match known(core, &id, |job| job.cancelled).await {
        Ok(true) => return empty(StatusCode::OK),
        Ok(false) => {}
        Err(code) => return refuse(core, &id, code),
    }
    let order = shard(core, &id).order(Op::Cancel(id.clone()), clock::now() + CHANGE);
    match order.await {
        Ok(Verdict::Unknown) => refuse(core, &id, Code::NotFound),
        Ok(_) => {
            log::ended(&id);
            empty(StatusCode::OK)
        }
        Err(Undecided::Void) => refuse(core, &id, Code::LogUnavailable),
        Err(Undecided::Unknown) => refuse(core, &id, Code::AppendUnknown),
    }
}

/// Route of a job in the manifest in force.
pub(crate) fn route<'a>(manifest: &'a Manifest, job: &Submission) -> Option<&'a Route> {
    manifest.route(&job.host, &job.path)
}
