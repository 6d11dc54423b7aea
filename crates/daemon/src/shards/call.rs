//! Keyed calls at the owner of their shard.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::call::{Step, decide};
use bitterncart_protocol::peer::Request;
use bitterncart_protocol::record::{Outcome, Record};
use bitterncart_protocol::{Code, hash, id};
use bitterncart_transport::runtime::wall_ms;
use futures_lite::future;

use super::Desk;
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
    let desk = core
        .shards()
        .get(&number)
        .cloned()
        .ok_or(Code::OwnerUnreachable)?;
    let digest = digest(&request);
    let step = {
        let mut table = desk.table();
        if !table.may_start(core.now()) {
            return Err(Code::OwnerUnreachable);
        }
        let running = table.running.contains(&call);
        let step = decide(&table.shard, call, digest, running);
        if step == Step::Announce {
            table.running.insert(call);
        }
        step
    };
    match step {
        Step::Replay(outcome) => Ok(outcome),
        Step::Conflict => Err(Code::KeyConflict),
        Step::Join => Ok(join(&desk, call, digest, left).await),
        Step::Announce => announce(core, &desk, call, request, left).await,
    }
}

fn digest(request: &Request) -> u128 {
    hash::parts(&[
        request.method.as_bytes(),
        request.path.as_bytes(),
        &request.body,
    ])
}

async fn join(desk: &Desk, call: id::Call, digest: u128, left: Duration) -> Outcome {
    let settled = wait_for(desk, left, || {
        let table = desk.table();
        let known = table.shard.call(call)?;
        (known.request == digest).then(|| known.outcome.clone())?
    });
    settled.await.unwrap_or(Outcome::Unknown)
}

async fn announce(
    core: &Arc<Core>,
    desk: &Arc<Desk>,
    call: id::Call,
    request: Request,
    left: Duration,
) -> Result<Outcome, Code> {
    let nonce = rand::random();
    let intent = Record::Intent {
        call,
        nonce,
        request: digest(&request),
        at_ms: wall_ms(),
    };
    let epoch = desk.table().shard.epoch();
    desk.push([intent]);
    let announced = wait_for(desk, ANNOUNCE.min(left), || {
        let table = desk.table();
        let known = table.shard.call(call)?;
        let stands = known.epoch == epoch && known.nonce == nonce && known.outcome.is_none();
        (stands && table.running.contains(&call)).then_some(())
    });
    if announced.await.is_none() {
        // This task alone would run the call, and it never will.
        let outcome = Outcome::NotRun(Code::LogUnavailable);
        desk.push([Record::Outcome {
            call,
            nonce,
            outcome: outcome.clone(),
        }]);
        desk.table().running.remove(&call);
        return Ok(outcome);
    }
    // The call goes on when the asker is gone, so that its outcome is recorded.
    let (core_of, desk_of) = (Arc::clone(core), Arc::clone(desk));
    let run = core.runtime.spawn(async move {
        let outcome = service::run_announced(&core_of, &request, left).await;
        desk_of.push([Record::Outcome {
            call,
            nonce,
            outcome: outcome.clone(),
        }]);
        outcome
    });
    let (sender, receiver) = async_channel::bounded(1);
    core.runtime
        .spawn(async move {
            let outcome = run.await;
            sender.send(outcome).await.ok();
        })
        .detach();
    let outcome = receiver.recv().await.unwrap_or(Outcome::Unknown);
    wait_for(desk, CONFIRM, || {
        let table = desk.table();
        table
            .shard
            .call(call)
            .and_then(|known| known.outcome.clone())
    })
    .await;
    Ok(outcome)
}

/// Value that `find` returns once the fold has it; `None` when time is up.
async fn wait_for<T>(desk: &Desk, bound: Duration, find: impl Fn() -> Option<T>) -> Option<T> {
    let look = async {
        loop {
            let changed = desk.changed.listen();
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
