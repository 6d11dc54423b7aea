//! What the owner of a shard does for other daemons.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::peer::{Ask, End, Job, Lease, Reply, Work};
use bitterncart_protocol::record::{Record, Upload};
use bitterncart_protocol::{Code, Name, api, id};
use bitterncart_transport::runtime::wall_ms;
use serde_json::value::RawValue;

use super::desk::MAX_WAITING;
use super::maintain::attempts;
use super::{Desk, lines, recover};
use crate::core::Core;
use crate::peers;

/// Items leased in one answer at most.
const MAX_PULL: u16 = 256;

/// Time for another daemon's answer about a job.
const VIEW: Duration = Duration::from_secs(2);

fn owned(core: &Core, number: id::Shard) -> Option<Arc<Desk>> {
    let desk = core.shards().get(&number).cloned()?;
    desk.is_mine().then_some(desk)
}

/// Leases items of a model and reads their bodies.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon may not start items of the shard.
pub async fn pull(
    core: &Core,
    number: id::Shard,
    model: &Name,
    count: u16,
) -> Result<Vec<Work>, Code> {
    let desk = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    let leases = {
        let now = core.now();
        let mut table = desk.table();
        let table = &mut *table;
        if !table.may_start(now) || core.is_draining() {
            return Err(Code::OwnerUnreachable);
        }
        match table.queue.as_mut() {
            Some(queue) if table.pending.len() < MAX_WAITING => queue.pull(
                now,
                wall_ms(),
                &table.shard,
                model,
                usize::from(count.min(MAX_PULL)),
            ),
            _ => Vec::new(),
        }
    };
    let mut work = Vec::new();
    for lease in leases {
        match body(core, &desk, lease).await {
            Some(item) => work.push(item),
            None => give_back(&desk, lease),
        }
    }
    Ok(work)
}

/// Line of a batch input whose body is left as it is.
#[derive(serde::Deserialize)]
struct Line<'a> {
    custom_id: compact_str::CompactString,
    #[serde(borrow)]
    body: &'a RawValue,
}

async fn body(core: &Core, desk: &Desk, lease: Lease) -> Option<Work> {
    let (chunk, line, endpoint, due_ms) = {
        let table = desk.table();
        let job = table.shard.find(lease.job)?;
        let (index, line) = job.locate(lease.item)?;
        let submit = &job.submit;
        (
            submit.chunks[index],
            line,
            submit.endpoint.clone(),
            submit.due_ms,
        )
    };
    let lines = lines(core, chunk).await.ok()?;
    let line: Line<'_> = serde_json::from_str(lines.get(line as usize)?).ok()?;
    let custom_id = line.custom_id;
    let mut table = desk.table();
    let table = &mut *table;
    if let Some(queue) = table.queue.as_mut() {
        queue.name(&table.shard, lease, custom_id.clone());
    }
    Some(Work {
        lease,
        custom_id,
        endpoint,
        body: line.body.get().to_owned(),
        due_ms,
    })
}

fn give_back(desk: &Desk, lease: Lease) {
    let mut table = desk.table();
    let table = &mut *table;
    if let Some(queue) = table.queue.as_mut() {
        queue.finish(&table.shard, lease, End::Returned, u8::MAX);
    }
}

/// Takes the ends of attempts.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn finish(core: &Core, number: id::Shard, ends: Vec<(Lease, End)>) -> Result<(), Code> {
    let desk = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    let mut records = Vec::new();
    for (lease, end) in ends {
        let model = {
            let table = desk.table();
            table
                .shard
                .find(lease.job)
                .map(|job| job.submit.model.clone())
        };
        let Some(model) = model else { continue };
        let attempts = attempts(core, model.as_str());
        let mut table = desk.table();
        let table = &mut *table;
        let queue = table.queue.as_mut();
        records.extend(queue.and_then(|queue| queue.finish(&table.shard, lease, end, attempts)));
    }
    desk.push(records);
    Ok(())
}

/// Extends leases and returns those that no longer stand.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn renew(core: &Core, number: id::Shard, leases: &[Lease]) -> Result<Vec<Lease>, Code> {
    let desk = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    let now = core.now();
    let mut table = desk.table();
    let table = &mut *table;
    let queue = table.queue.as_mut().ok_or(Code::OwnerUnreachable)?;
    Ok(queue.renew(now, &table.shard, leases))
}

/// Job by its owner, or by a fold on demand when no owner is reachable.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if neither answers.
pub async fn find_job(core: &Core, job: id::Job) -> Result<Option<Job>, Code> {
    if let Some(desk) = owned(core, job.shard) {
        return Ok(desk
            .table()
            .shard
            .find(job)
            .map(bitterncart_state::job::Job::view));
    }
    match peers::ask_owner(core, job.shard, &Ask::Job(job), VIEW).await {
        Ok(Reply::Job(view)) => Ok(view.map(|view| *view)),
        _ => {
            let shard = recover(core, job.shard)
                .await
                .map_err(|_| Code::LogUnavailable)?;
            Ok(shard.find(job).map(bitterncart_state::job::Job::view))
        }
    }
}

/// File by its owner, or by a fold on demand when no owner is reachable.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if neither answers.
pub async fn find_file(core: &Core, file: id::File) -> Result<Option<Upload>, Code> {
    if let Some(desk) = owned(core, file.shard) {
        return Ok(desk.table().shard.file(file).cloned());
    }
    match peers::ask_owner(core, file.shard, &Ask::File(file), VIEW).await {
        Ok(Reply::File(Some(upload))) => Ok(Some(*upload)),
        // The owner's fold may lag behind a file that was just uploaded elsewhere.
        _ => {
            let shard = recover(core, file.shard)
                .await
                .map_err(|_| Code::LogUnavailable)?;
            Ok(shard.file(file).cloned())
        }
    }
}

/// Results of a job in one entry of its shard's stream.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer.
pub async fn results(
    core: &Core,
    job: id::Job,
    offset: u64,
) -> Result<Vec<(id::Item, bitterncart_protocol::record::Answer)>, Code> {
    super::maintain::results(core, job.shard, job, offset).await
}

/// Appends a submission or a cancellation.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if no append was confirmed.
pub async fn append(core: &Core, shard: id::Shard, record: Record) -> Result<u64, Code> {
    let group = bitterncart_protocol::record::Group {
        epoch: None,
        records: vec![record],
    };
    super::append_open(core, &shard.stream(), &group.encode()).await
}

/// Error body of a failed item.
#[must_use]
pub fn item_error(code: Code, message: &str) -> api::Error {
    api::Failure::new(code, message).error
}
