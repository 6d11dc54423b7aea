//! What the owner of a shard does for other daemons.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::peer::{Ask, End, Job, Lease, Reply, Work};
use bitterncart_protocol::record::{Record, Upload};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::job::Job as StoredJob;
use bitterncart_transport::runtime::wall_ms;
use serde_json::value::RawValue;

use super::maintain::attempts;
use super::recover::recover;
use super::{Handle, lines};
use crate::core::Core;
use crate::peers;

/// Items leased in one answer at most.
const MAX_PULL: u16 = 256;

/// Time for another daemon's answer about a job.
const VIEW: Duration = Duration::from_secs(2);

fn owned(core: &Core, number: id::Shard) -> Option<Arc<Handle>> {
    let handle = core.shards().get(&number).cloned()?;
    handle.is_mine().then_some(handle)
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
    let handle = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    let leases = {
        let mut participant = handle.participant();
        let now = core.now();
        if !participant.may_start(now) || core.is_draining() {
            return Err(Code::OwnerUnreachable);
        }
        participant.pull(now, wall_ms(), model, usize::from(count.min(MAX_PULL)))
    };
    let mut work = Vec::new();
    for lease in leases {
        match body(core, &handle, lease).await {
            Some(item) => work.push(item),
            None => handle.participant().finish(lease, End::Returned, u8::MAX),
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

async fn body(core: &Core, handle: &Handle, lease: Lease) -> Option<Work> {
    let (chunk, line, endpoint, due_ms) = {
        let participant = handle.participant();
        let job = participant.shard().find(lease.job)?;
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
    handle.participant().name(lease, custom_id.clone());
    Some(Work {
        lease,
        custom_id,
        endpoint,
        body: line.body.get().to_owned(),
        due_ms,
    })
}

/// Takes the ends of attempts.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn finish(core: &Core, number: id::Shard, ends: Vec<(Lease, End)>) -> Result<(), Code> {
    let handle = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    for (lease, end) in ends {
        let mut participant = handle.participant();
        let job = participant.shard().find(lease.job);
        let Some(model) = job.map(|job| job.submit.model.clone()) else {
            continue;
        };
        let attempts = attempts(core, model.as_str());
        participant.finish(lease, end, attempts);
    }
    handle.wake();
    Ok(())
}

/// Extends leases and returns those that no longer stand.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn renew(core: &Core, number: id::Shard, leases: &[Lease]) -> Result<Vec<Lease>, Code> {
    let handle = owned(core, number).ok_or(Code::OwnerUnreachable)?;
    let now = core.now();
    Ok(handle.participant().renew(now, leases))
}

/// Job by its owner, or by a fold on demand.
///
/// A fold on demand answers when no owner is reachable, and when the owner's
/// fold has not reached a job that was just submitted elsewhere.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if neither answers.
pub async fn find_job(core: &Core, job: id::Job) -> Result<Option<Job>, Code> {
    let known = match owned(core, job.shard) {
        Some(handle) => handle.participant().shard().find(job).map(StoredJob::view),
        None => match peers::ask_owner(core, job.shard, &Ask::Job(job), VIEW).await {
            Ok(Reply::Job(view)) => view.map(|view| *view),
            _ => None,
        },
    };
    if known.is_some() {
        return Ok(known);
    }
    let recovered = recover(core, job.shard)
        .await
        .map_err(|_| Code::LogUnavailable)?;
    Ok(recovered.shard.find(job).map(StoredJob::view))
}

/// File by its owner, or by a fold on demand.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if neither answers.
pub async fn find_file(core: &Core, file: id::File) -> Result<Option<Upload>, Code> {
    let known = match owned(core, file.shard) {
        Some(handle) => handle.participant().shard().file(file).cloned(),
        None => match peers::ask_owner(core, file.shard, &Ask::File(file), VIEW).await {
            Ok(Reply::File(upload)) => upload.map(|upload| *upload),
            _ => None,
        },
    };
    if known.is_some() {
        return Ok(known);
    }
    let recovered = recover(core, file.shard)
        .await
        .map_err(|_| Code::LogUnavailable)?;
    Ok(recovered.shard.file(file).cloned())
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
/// [`Code::LogUnavailable`] if it is certainly not in the log,
/// [`Code::AppendUnknown`] if it may be.
pub async fn append(core: &Core, shard: id::Shard, record: Record) -> Result<u64, Code> {
    let group = bitterncart_protocol::record::Group {
        epoch: None,
        records: vec![record],
    };
    super::append_open(core, &shard.stream(), &group.encode()).await
}
