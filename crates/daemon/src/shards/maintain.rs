//! Keeping a shard readable: lapsed leases, snapshots, carried records.

use std::sync::{Arc, Weak};
use std::time::Duration;

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

/// Entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u32 = 500;

/// Records carried in one round.
const CARRY_ROUND: usize = 8;

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
        let retention_ms = document.log.retention_s * 1000;
        carry(&core, &open, retention_ms).await;
        snapshot(&core, &open, Duration::from_millis(retention_ms / 4)).await;
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

async fn snapshot(core: &Core, handle: &Handle, period: Duration) {
    let now = core.now();
    let (bytes, counted) = {
        let participant = handle.participant();
        let snapshots = *handle.snapshots();
        let old = now.saturating_sub(snapshots.at) > period;
        if snapshots.entries < SNAPSHOT_ENTRIES && !(old && snapshots.entries > 0) {
            return;
        }
        (participant.shard().snapshot(), snapshots.entries)
    };
    if append_open(core, &handle.number.snapshots(), &bytes)
        .await
        .is_ok()
    {
        let mut snapshots = handle.snapshots();
        snapshots.entries -= counted;
        snapshots.at = now;
    }
}

enum Due {
    Results(id::Job, Place),
    Input(id::Job, u32, Chunk),
}

/// Writes results and input again that would expire before their job.
async fn carry(core: &Core, handle: &Handle, retention_ms: u64) {
    let before = wall_ms().saturating_sub(retention_ms / 2);
    for due in find_due(handle, before) {
        let record = match due {
            Due::Results(job, place) => carry_results(core, handle.number, job, place).await,
            Due::Input(job, index, chunk) => move_input(core, job, index, chunk).await,
        };
        if let Some(record) = record {
            handle.push([record]);
        }
    }
}

fn find_due(handle: &Handle, before: u64) -> Vec<Due> {
    let participant = handle.participant();
    if participant.pending() > 0 {
        // Carried records go after those that callers wait for.
        return Vec::new();
    }
    let mut due = Vec::new();
    for (_, job) in participant.shard().jobs() {
        let id = job.submit.job;
        let results = job.results.iter().filter(|place| place.at_ms < before);
        due.extend(results.map(|place| Due::Results(id, *place)));
        if job.is_open() {
            let chunks = job.submit.chunks.iter().enumerate();
            let old = chunks.filter(|(_, chunk)| chunk.at_ms < before);
            due.extend(old.map(|(index, chunk)| Due::Input(id, index as u32, *chunk)));
        }
        if due.len() >= CARRY_ROUND {
            break;
        }
    }
    due.truncate(CARRY_ROUND);
    due
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
    let mut found = Vec::new();
    for record in group.records {
        match record {
            Record::Done {
                job: of,
                item,
                answer,
            } if of == job => found.push((item, answer)),
            Record::Carry {
                job: of, answers, ..
            } if of == job => found.extend(answers),
            _ => {}
        }
    }
    Ok(found)
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
