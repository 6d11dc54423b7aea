//! Keeping a shard readable: lapsed leases, snapshots, carried records.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_coordination::Retention;
use bitterncart_coordination::retention::Due;
use bitterncart_protocol::Code;
use bitterncart_protocol::id;
use bitterncart_protocol::record::{Answer, Chunk, Group, Record};
use bitterncart_state::job::Place;
use bitterncart_transport::log::Log as _;
use bitterncart_transport::runtime::wall_ms;

use super::{Handle, append_open};
use crate::core::Core;

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);

/// Attempts at an item when its model has left the document.
const DEFAULT_ATTEMPTS: u8 = 3;

/// Maintains a shard until its handle is closed.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    loop {
        smol::Timer::after(ROUND).await;
        let Some(open) = handle.upgrade() else { return };
        let now = core.now();
        if !open.participant().may_start(now) {
            continue;
        }
        expire(&core, &open);
        let Ok(document) = core.document() else {
            continue;
        };
        let retention = Duration::from_secs(document.log.retention_s);
        carry(&core, &open, retention).await;
        snapshot(&core, &open, retention).await;
    }
}

/// Attempts that a model's items have.
pub(super) fn attempts(core: &Core, model: &str) -> u8 {
    let document = core.document().ok();
    let batch = document
        .as_ref()
        .and_then(|document| document.model(model)?.batch.as_ref());
    batch.map_or(DEFAULT_ATTEMPTS, |batch| batch.attempts)
}

fn expire(core: &Core, handle: &Handle) {
    let lapses = handle.participant().expire(core.now(), DEFAULT_ATTEMPTS);
    for _ in 0..lapses {
        core.counters.code(Code::RetryLeaseExpired);
    }
    handle.wake();
}

async fn snapshot(core: &Core, handle: &Handle, retention: Duration) {
    let (bytes, counted) = {
        let participant = handle.participant();
        let age = *handle.retention();
        if !age.is_snapshot_due(wall_ms(), retention) {
            return;
        }
        (participant.shard().snapshot(), age.entries())
    };
    let written = append_open(core, &handle.number.snapshots(), &bytes).await;
    if written.is_ok() {
        handle.retention().written(wall_ms(), counted);
    }
}

/// Writes results and input again that would expire before their job.
async fn carry(core: &Core, handle: &Handle, retention: Duration) {
    for due in find_due(handle, retention) {
        let record = match due {
            Due::Results(job, place) => carry_results(core, handle.number, job, place).await,
            Due::Input(job, index, chunk) => move_input(core, job, index, chunk).await,
        };
        if let Some(record) = record {
            handle.push([record]);
        }
    }
}

fn find_due(handle: &Handle, retention: Duration) -> Vec<Due> {
    let participant = handle.participant();
    // Carried records go after those that callers wait for.
    match participant.pending() {
        0 => Retention::due(participant.shard(), wall_ms(), retention),
        _ => Vec::new(),
    }
}

async fn carry_results(
    core: &Core,
    number: id::Shard,
    job: id::Job,
    place: Place,
) -> Option<Record> {
    let answers = results(core, number, job, place.offset).await.ok()?;
    Some(Record::Carry {
        job,
        from: place.offset,
        answers,
    })
}

/// Results of a job in one entry.
pub(super) async fn results(
    core: &Core,
    number: id::Shard,
    job: id::Job,
    offset: u64,
) -> Result<Vec<(id::Item, Answer)>, Code> {
    let entry = core.log.entry(&number.stream(), offset).await;
    let entry = entry
        .map_err(|_| Code::LogUnavailable)?
        .ok_or(Code::NotFound)?;
    let group = Group::decode(&entry.payload).ok_or(Code::NotFound)?;
    Ok(group.into_results(job).collect())
}

async fn move_input(core: &Core, job: id::Job, index: u32, chunk: Chunk) -> Option<Record> {
    let lines = super::lines(core, chunk).await.ok()?;
    let payload = lines.join("\n").into_bytes();
    let offset = append_open(core, &chunk.shard.bodies(), &payload)
        .await
        .ok()?;
    let chunk = Chunk {
        offset,
        at_ms: wall_ms(),
        ..chunk
    };
    Some(Record::Move { job, index, chunk })
}
