//! Calls of plain services by callers.
//!
//! A call that has an idempotency key, on a route that is not repeatable, runs at
//! most once: it is passed to the daemon that owns the key's shard. All other calls
//! go to a backend server directly; a call on a repeatable route is also retried
//! after an attempt that may have run.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::code::Ran;
use bitterncart_protocol::peer::{self, ServiceCall};
use bitterncart_protocol::record::Outcome;
use bitterncart_protocol::{Code, id};
use bitterncart_transport::Error;
use bitterncart_transport::http::{Request, Response, StatusCode};

use super::permit::Permit;
use super::{ApiError, Result, body, customer, deadline, idempotency_key};
use crate::core::Core;
use crate::{peers, service, shards};

/// Maximum time to wait for a shard without a reachable owner to get a new one.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between two attempts to reach the owner of a shard.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Forwards a call to a service.
pub(super) async fn call(
    core: &Arc<Core>,
    request: &mut Request,
    name: &str,
    path: &str,
) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let service = document.service(name);
    let service = service
        .ok_or_else(|| ApiError::new(Code::UnknownService, format!("no service `{name}`")))?;
    let left = deadline(request, service.deadline_ms)?;
    let key = idempotency_key(request)?;
    let call = read_call(request, &service.name, path).await?;
    // A call that comes as a whole only while the daemon drains might outlast it.
    let permit = Permit::admit(core, &customer)?;
    let repeatable = service.is_repeatable(&call.method, &call.path);
    let outcome = match key {
        Some(key) if !repeatable => {
            let id = id::Call::from_idempotency_key(customer.as_str(), name, &key);
            run_keyed(core, id, call, left).await?
        }
        _ => service::run(core, &call, repeatable, left).await?,
    };
    drop(permit);
    response(core, outcome)
}

async fn read_call(
    request: &mut Request,
    service: &bitterncart_protocol::Name,
    path: &str,
) -> Result<ServiceCall> {
    let prefix = format!("/services/{service}");
    let mut rest = path.strip_prefix(&prefix).unwrap_or("/").to_owned();
    if rest.is_empty() {
        rest.push('/');
    }
    if let Some(query) = request.url().query() {
        rest = format!("{rest}?{query}");
    }
    let content_type = request.content_type().map(|mime| mime.to_string());
    Ok(ServiceCall {
        service: service.clone(),
        method: request.method().to_string().into(),
        path: rest,
        content_type: content_type.unwrap_or_default().into(),
        body: body(request).await?,
    })
}

/// Runs a keyed call at the owner of its shard, and waits for an owner if there is
/// none.
async fn run_keyed(
    core: &Arc<Core>,
    call: id::Call,
    request: ServiceCall,
    left: Duration,
) -> Result<Outcome> {
    let deadline = core.now() + left;
    let owner_deadline = core.now() + OWNER_TIMEOUT.min(left);
    loop {
        let left = deadline.saturating_sub(core.now());
        let error = match try_run_keyed(core, call, request.clone(), left).await {
            Err(error) if error.code == Code::OwnerUnreachable => error,
            result => return result,
        };
        if core.now() >= owner_deadline || core.is_log_failing() {
            return Err(error);
        }
        smol::Timer::after(OWNER_RETRY_INTERVAL).await;
    }
}

async fn try_run_keyed(
    core: &Arc<Core>,
    call: id::Call,
    request: ServiceCall,
    left: Duration,
) -> Result<Outcome> {
    let document = core.document()?;
    let shard = call.shard(document.log.shards);
    let mine = core
        .shards()
        .get(&shard)
        .is_some_and(|handle| handle.is_owner());
    if mine {
        return Ok(shards::run_keyed_call(core, call, request, left).await?);
    }
    let deadline_ms = left.as_millis().try_into().unwrap_or(u32::MAX);
    let peer_request = peer::Request::Call {
        call,
        request,
        deadline_ms,
    };
    match peers::send_to_owner(core, shard, &peer_request, left).await {
        Ok(peer::Response::Outcome(outcome)) => Ok(outcome),
        Ok(peer::Response::Refused(code, _)) => Err(code.into()),
        Err(Error::Connect(_)) => Err(Code::OwnerUnreachable.into()),
        // The owner may have run the call; the caller can repeat the request with the
        // same key to learn the outcome.
        _ => Ok(Outcome::Unknown),
    }
}

fn response(core: &Core, outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Answered {
            status,
            content_type,
            body,
        } => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
            let mut response = Response::new(status);
            response.set_body(core.http.memory().body(body));
            if !content_type.is_empty() {
                response.insert_header("Content-Type", content_type.as_str());
            }
            response.insert_header("X-Ran", Ran::Ran.as_str());
            Ok(response)
        }
        Outcome::NotRun(code) => Err(code.into()),
        Outcome::Unknown => Err(Code::OutcomeUnknown.into()),
    }
}
