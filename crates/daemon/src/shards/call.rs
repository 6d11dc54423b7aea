//! Keyed calls at the owner of their shard.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::call::Step;
use bitterncart_protocol::peer::Request;
use bitterncart_protocol::record::Outcome;
use bitterncart_protocol::{Code, hash, id};
use bitterncart_transport::runtime::wall_ms;
use futures_lite::future;

use super::Handle;
use crate::core::Core;
use crate::service;

/// Time for the announcement to come back from the log.
const ANNOUNCE: Duration = Duration::from_secs(3);

/// Time for the outcome to be confirmed before the caller gets it all the same.
const CONFIRM: Duration = Duration::from_secs(1);

/// Runs a keyed call at most once and returns its outcome.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] or [`Code::KeyConflict`]; the call was not run
/// for this request.
pub async fn keyed(
    core: &Arc<Core>,
    call: id::Call,
    request: Request,
    left: Duration,
) -> Result<Outcome, Code> {
    let document = core.document()?;
    let number = call.shard(document.log.shards);
    let handle = core
        .shards()
        .get(&number)
        .cloned()
        .ok_or(Code::OwnerUnreachable)?;
    let digest = digest(&request);
    let nonce = rand::random();
    let step = {
        let mut participant = handle.participant();
        if !participant.may_start(core.now()) {
            return Err(Code::OwnerUnreachable);
        }
        participant.call(call, nonce, digest, wall_ms())
    };
    match step {
        Step::Replay(outcome) => Ok(outcome),
        Step::Conflict => Err(Code::KeyConflict),
        Step::Join => Ok(join(&handle, call, digest, left).await),
        Step::Announce => {
            handle.wake();
            announce(core, &handle, call, nonce, request, left).await
        }
    }
}

fn digest(request: &Request) -> u128 {
    hash::parts(&[
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ])
}

async fn join(handle: &Handle, call: id::Call, digest: u128, left: Duration) -> Outcome {
    let settled = wait_for(handle, left, || {
        let participant = handle.participant();
        let known = participant.shard().call(call)?;
        (known.request == digest).then(|| known.outcome.clone())?
    });
    settled.await.unwrap_or(Outcome::Unknown)
}

async fn announce(
    core: &Arc<Core>,
    handle: &Arc<Handle>,
    call: id::Call,
    nonce: u64,
    request: Request,
    left: Duration,
) -> Result<Outcome, Code> {
    let announced = wait_for(handle, ANNOUNCE.min(left), || {
        handle.participant().is_announced(call, nonce).then_some(())
    });
    if announced.await.is_none() {
        // This task alone would run the call, and it never will.
        handle
            .participant()
            .withdraw(call, nonce, Code::LogUnavailable);
        handle.wake();
        return Ok(Outcome::NotRun(Code::LogUnavailable));
    }
    // The call goes on when the asker is gone, so that its outcome is recorded.
    let (sender, receiver) = async_channel::bounded(1);
    let (core_of, handle_of) = (Arc::clone(core), Arc::clone(handle));
    let run = async move {
        let outcome = service::run_announced(&core_of, &request, left).await;
        handle_of.participant().settle(call, nonce, outcome.clone());
        handle_of.wake();
        sender.send(outcome).await.ok();
    };
    core.runtime.spawn(run).detach();
    let outcome = receiver.recv().await.unwrap_or(Outcome::Unknown);
    wait_for(handle, CONFIRM, || {
        let participant = handle.participant();
        participant
            .shard()
            .call(call)
            .and_then(|known| known.outcome.clone())
    })
    .await;
    Ok(outcome)
}

/// Value that `find` returns once the fold has it; `None` when time is up.
async fn wait_for<T>(handle: &Handle, bound: Duration, find: impl Fn() -> Option<T>) -> Option<T> {
    let look = async {
        loop {
            let changed = handle.changed.listen();
            if let Some(found) = find() {
                return Some(found);
            }
            changed.await;
        }
    };
    let late = async {
        smol::Timer::after(bound).await;
        None
    };
    future::or(look, late).await
}
