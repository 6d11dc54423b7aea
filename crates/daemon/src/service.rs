//! Execution of calls of plain services on backend servers.
//!
//! Each attempt goes to a server chosen by the routing table, without those already
//! tried. Whether a failed attempt is retried depends on the retry budget, the
//! deadline and whether the call may run again: a call that may not be repeated is
//! retried only if the failed attempt certainly did not run. The final code never
//! claims that the call did not run if an attempt may have run.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::retry::{Attempt, Decision, Failure};
use bitterncart_coordination::routing::{Class, Key, Query};
use bitterncart_protocol::Code;
use bitterncart_protocol::peer::ServiceCall;
use bitterncart_protocol::record::Outcome;
use bitterncart_transport::http::{Client, Method};

use crate::core::Core;
use crate::engine::failure_of;

/// Runs a call that has been announced in the log, with at most one attempt that may
/// run at a server.
pub async fn run_once(core: &Arc<Core>, request: &ServiceCall, time_left: Duration) -> Outcome {
    match run(core, request, false, time_left).await {
        Ok(outcome) => outcome,
        Err(code) if code.ran() == bitterncart_protocol::code::Ran::NotRun => Outcome::NotRun(code),
        Err(_) => Outcome::Unknown,
    }
}

/// Runs a call; one that is not `repeatable` is not retried after an attempt of which
/// any byte may have been sent.
///
/// # Errors
///
/// The code of the last failure.
pub async fn run(
    core: &Arc<Core>,
    request: &ServiceCall,
    repeatable: bool,
    time_left: Duration,
) -> Result<Outcome, Code> {
    let deadline = core.now() + time_left;
    let mut tried: Vec<Key> = Vec::new();
    let mut may_have_run = false;
    core.budget().earn();
    loop {
        let now = core.now();
        let time_left = deadline.saturating_sub(now);
        let query = Query {
            serves: request.service.as_str(),
            prefix: None,
            time_left,
            excluded: &tried,
        };
        let chosen = core.routing().choose(now, query);
        let Some(key) = chosen else {
            return Err(if may_have_run {
                Code::BackendFailed
            } else {
                Code::NoReplica
            });
        };
        tried.push(key);
        let failure = match attempt(core, key, request, time_left).await {
            Ok(outcome) => return Ok(outcome),
            Err(failure) => failure,
        };
        may_have_run |= !failure.not_run();
        let time_left = deadline.saturating_sub(core.now());
        let attempt = Attempt {
            failure,
            repeatable,
            made: tried.len() as u32,
            time_left,
        };
        let decision = core.budget().decide(attempt);
        match decision {
            Decision::Retry => core.counters.count_code(failure.retry_code()),
            Decision::Stop(code) => {
                let ran = code.ran() != bitterncart_protocol::code::Ran::NotRun;
                return Err(if may_have_run && !ran {
                    Code::BackendFailed
                } else {
                    code
                });
            }
        }
    }
}

async fn attempt(
    core: &Core,
    key: Key,
    request: &ServiceCall,
    time_left: Duration,
) -> Result<Outcome, Failure> {
    let address = core.routing().replica(key).map(|replica| replica.address);
    let address = address.ok_or(Failure::Connect)?;
    core.routing().start(key, Class::Online, None);
    let result = send_request(core, address, request, time_left).await;
    let now = core.now();
    let mut routing = core.routing();
    routing.end(key, Class::Online);
    match result {
        // With status 503 a server states that it did not run the call and is leaving.
        Ok(Outcome::Answered { status: 503, .. }) => {
            routing.mark_leaving(now, key);
            Err(Failure::Refused)
        }
        Ok(outcome) => {
            routing.record_success(key);
            Ok(outcome)
        }
        Err(Failure::NoMemory) => Err(Failure::NoMemory),
        Err(failure) => {
            routing.record_attempt_failure(now, key);
            Err(failure)
        }
    }
}

async fn send_request(
    core: &Core,
    address: std::net::SocketAddr,
    request: &ServiceCall,
    time_left: Duration,
) -> Result<Outcome, Failure> {
    let method = request
        .method
        .parse::<Method>()
        .map_err(|_| Failure::Refused)?;
    let mut http = Client::request(method, address, &request.path).map_err(|e| failure_of(&e))?;
    if !request.body.is_empty() {
        http.set_body(request.body.clone());
        http.insert_header("Content-Type", request.content_type.as_str());
    }
    let client = core
        .http
        .clone()
        .head_timeout(time_left)
        .body_timeout(time_left);
    let mut response = client
        .send(address, http)
        .await
        .map_err(|e| failure_of(&e))?;
    let content_type = response
        .content_type()
        .map(|mime| mime.to_string())
        .unwrap_or_default();
    let body = client
        .read_body(&mut response)
        .await
        .map_err(|e| failure_of(&e))?;
    Ok(Outcome::Answered {
        status: response.status().into(),
        content_type: content_type.into(),
        body,
    })
}
