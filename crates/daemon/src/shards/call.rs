//! Keyed calls of plain services, run at most once by the owner of their shard.
//!
//! The owner appends an announcement of the call to the shard's log and runs the
//! call only after it has read the announcement back. The outcome is appended as
//! well. A later request with the same key gets the recorded outcome, or waits for
//! it while the call runs. If the announcement cannot be read back in time, the call
//! is recorded as not run.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::call::Step;
use bitterncart_protocol::peer::ServiceCall;
use bitterncart_protocol::record::Outcome;
use bitterncart_protocol::{Code, hash, id};
use bitterncart_transport::runtime::unix_time_ms;
use futures_lite::future;

use super::Handle;
use crate::core::Core;
use crate::service;

/// Timeout for reading the announcement back from the log.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for reading the outcome back from the log; after it the caller gets the
/// outcome although it may not be durable yet.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a keyed call at most once and returns its outcome.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] or [`Code::KeyConflict`]; the call was not run
/// for this request.
pub async fn run_keyed_call(
    core: &Arc<Core>,
    call: id::Call,
    request: ServiceCall,
    left: Duration,
) -> Result<Outcome, Code> {
    let document = core.document()?;
    let number = call.shard(document.log.shards);
    let handle = core
        .shards()
        .get(&number)
        .cloned()
        .ok_or(Code::OwnerUnreachable)?;
    let digest = request_digest(&request);
    let nonce = rand::random();
    let step = {
        let mut participant = handle.participant();
        if !participant.may_start(core.now()) {
            return Err(Code::OwnerUnreachable);
        }
        participant.call(call, nonce, digest, unix_time_ms())
    };
    match step {
        Step::Replay(outcome) => Ok(outcome),
        Step::Conflict => Err(Code::KeyConflict),
        Step::Join => Ok(join_running(&handle, call, digest, left).await),
        Step::Announce => {
            handle.notify_committer();
            announce_and_run(core, &handle, call, nonce, request, left).await
        }
    }
}

fn request_digest(request: &ServiceCall) -> u128 {
    hash::hash_parts(&[
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ])
}

/// Waits for the outcome of a call that another request has started.
async fn join_running(handle: &Handle, call: id::Call, digest: u128, left: Duration) -> Outcome {
    let outcome = wait_for(handle, left, || {
        let participant = handle.participant();
        let known = participant.shard().call(call)?;
        (known.request == digest).then(|| known.outcome.clone())?
    });
    outcome.await.unwrap_or(Outcome::Unknown)
}

async fn announce_and_run(
    core: &Arc<Core>,
    handle: &Arc<Handle>,
    call: id::Call,
    nonce: u64,
    request: ServiceCall,
    left: Duration,
) -> Result<Outcome, Code> {
    let announced = wait_for(handle, ANNOUNCE_TIMEOUT.min(left), || {
        handle.participant().is_announced(call, nonce).then_some(())
    });
    if announced.await.is_none() {
        // Only this task could run the call, so it is certain not to run.
        handle
            .participant()
            .withdraw(call, nonce, Code::LogUnavailable);
        handle.notify_committer();
        return Ok(Outcome::NotRun(Code::LogUnavailable));
    }
    // The call runs in a task of its own: if the requester disconnects, the outcome
    // is still recorded.
    let (sender, receiver) = async_channel::bounded(1);
    let (task_core, task_handle) = (Arc::clone(core), Arc::clone(handle));
    let run = async move {
        let outcome = service::run_once(&task_core, &request, left).await;
        task_handle
            .participant()
            .record_outcome(call, nonce, outcome.clone());
        task_handle.notify_committer();
        sender.send(outcome).await.ok();
    };
    core.runtime.spawn(run).detach();
    let outcome = receiver.recv().await.unwrap_or(Outcome::Unknown);
    wait_for(handle, CONFIRM_TIMEOUT, || {
        let participant = handle.participant();
        participant
            .shard()
            .call(call)
            .and_then(|known| known.outcome.clone())
    })
    .await;
    Ok(outcome)
}

/// Calls `find` after each change of the shard's state until it returns a value;
/// `None` after the timeout.
async fn wait_for<T>(
    handle: &Handle,
    timeout: Duration,
    find: impl Fn() -> Option<T>,
) -> Option<T> {
    let found = async {
        loop {
            let changed = handle.state_changed.listen();
            if let Some(found) = find() {
                return Some(found);
            }
            changed.await;
        }
    };
    let timed_out = async {
        smol::Timer::after(timeout).await;
        None
    };
    future::or(found, timed_out).await
}
