//! Periodic maintenance of the shards that this daemon owns.
//!
//! The platform's log drops entries after its retention period. Once a second the
//! owner of a shard therefore rewrites the batch results and the job input that
//! would expire while they are still needed, and writes a snapshot of the shard's
//! state when one is due. It also expires the leases of items that were not
//! renewed, so that the items can run again, and ends those that never can.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_coordination::Retention;
use bitterncart_coordination::retention::Rewrite;
use bitterncart_protocol::Code;
use bitterncart_protocol::id;
use bitterncart_protocol::record::{Answer, Chunk, Group, Record};
use bitterncart_state::job::EntryRef;
use bitterncart_transport::log::Log as _;
use bitterncart_transport::runtime::unix_time_ms;

use super::{Handle, append_with_retry, withdrawal};
use crate::core::Core;

/// Interval between two maintenance rounds.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of attempts at an item whose model is no longer in the document,
/// and at an item whose lease has expired.
const DEFAULT_ATTEMPTS: u8 = 3;

/// Maintains a shard until its handle is dropped.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    let mut missing = withdrawal::Missing::default();
    loop {
        smol::Timer::after(INTERVAL).await;
        let Some(open) = handle.upgrade() else { return };
        let now = core.now();
        if !open.participant().may_start(now) {
            continue;
        }
        expire_leases(&core, &open);
        let Ok(document) = core.document() else {
            continue;
        };
        withdrawal::end_items(&core, &open, &document, &mut missing).await;
        let retention = Duration::from_secs(document.log.retention_s);
        rewrite_expiring(&core, &open, retention).await;
        write_snapshot(&core, &open, retention).await;
    }
}

/// Maximum number of attempts at an item of a model.
pub(super) fn max_attempts(core: &Core, model: &str) -> u8 {
    let document = core.document().ok();
    let batch = document
        .as_ref()
        .and_then(|document| document.model(model)?.batch.as_ref());
    batch.map_or(DEFAULT_ATTEMPTS, |batch| batch.attempts)
}

fn expire_leases(core: &Core, handle: &Handle) {
    let expired = handle.participant().expire(core.now(), DEFAULT_ATTEMPTS);
    for _ in 0..expired {
        core.counters.count_code(Code::RetryLeaseExpired);
    }
    handle.notify_committer();
}

async fn write_snapshot(core: &Core, handle: &Handle, retention: Duration) {
    let (bytes, entries) = {
        let participant = handle.participant();
        let age = *handle.retention();
        if !age.is_snapshot_due(unix_time_ms(), retention) {
            return;
        }
        (participant.shard().snapshot(), age.entries())
    };
    let written = append_with_retry(core, &handle.number.snapshot_stream(), &bytes).await;
    if written.is_ok() {
        handle.retention().written(unix_time_ms(), entries);
    }
}

/// Rewrites results and input that would expire before their job does.
async fn rewrite_expiring(core: &Core, handle: &Handle, retention: Duration) {
    for due in find_due(handle, retention) {
        let record = match due {
            Rewrite::Results(job, entry) => rewrite_results(core, handle.number, job, entry).await,
            Rewrite::Input(job, index, chunk) => rewrite_input(core, job, index, chunk).await,
        };
        if let Some(record) = record {
            handle.queue_records([record]);
        }
    }
}

fn find_due(handle: &Handle, retention: Duration) -> Vec<Rewrite> {
    let participant = handle.participant();
    // Rewritten records are queued only when no others are, since requests may be
    // waiting for the others.
    match participant.pending() {
        0 => Retention::due(participant.shard(), unix_time_ms(), retention),
        _ => Vec::new(),
    }
}

async fn rewrite_results(
    core: &Core,
    number: id::Shard,
    job: id::Job,
    entry: EntryRef,
) -> Option<Record> {
    let answers = read_results(core, number, job, entry.offset).await.ok()?;
    Some(Record::Carry {
        job,
        from: entry.offset,
        answers,
    })
}

/// Reads the results of a job from one entry of its shard's stream.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer, [`Code::NotFound`] if the
/// entry has expired or cannot be decoded.
pub(super) async fn read_results(
    core: &Core,
    number: id::Shard,
    job: id::Job,
    offset: u64,
) -> Result<Vec<(id::Item, Answer)>, Code> {
    let entry = core.log.entry(&number.record_stream(), offset).await;
    let entry = entry
        .map_err(|_| Code::LogUnavailable)?
        .ok_or(Code::NotFound)?;
    let group = Group::decode(&entry.payload).ok_or(Code::NotFound)?;
    Ok(group.into_results(job).collect())
}

async fn rewrite_input(core: &Core, job: id::Job, index: u32, chunk: Chunk) -> Option<Record> {
    let lines = super::read_chunk(core, chunk).await.ok()?;
    let payload = lines.join("\n").into_bytes();
    let offset = append_with_retry(core, &chunk.shard.input_stream(), &payload)
        .await
        .ok()?;
    let chunk = Chunk {
        offset,
        at_ms: unix_time_ms(),
        ..chunk
    };
    Some(Record::Move { job, index, chunk })
}
