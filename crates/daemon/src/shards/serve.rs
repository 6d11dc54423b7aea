//! Requests for a shard: leases of batch items, ends of attempts, lookups, appends.
//!
//! Leasing items, finishing attempts and renewing leases work only at the owner of
//! the shard. Jobs and files are looked up at the owner if one answers, and
//! otherwise by replaying the shard's log. Submissions and cancellations are appended
//! by any daemon; they take effect when the shard's followers read them.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::peer::{Assignment, End, Lease, Progress, Request, Response};
use bitterncart_protocol::record::{Record, Upload};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::job::Job;
use bitterncart_transport::runtime::unix_time_ms;
use serde_json::value::RawValue;

use super::maintain::max_attempts;
use super::recover::recover;
use super::{Handle, read_chunk};
use crate::core::Core;
use crate::peers;

/// Maximum number of items leased by one request.
const MAX_LEASED_ITEMS: u16 = 256;

/// Timeout for another daemon's answer to a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

fn owned_handle(core: &Core, number: id::Shard) -> Option<Arc<Handle>> {
    let handle = core.shards().get(&number).cloned()?;
    handle.is_owner().then_some(handle)
}

/// Leases up to `count` items of a model and reads their bodies.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon may not start items of the shard.
pub async fn lease_items(
    core: &Core,
    number: id::Shard,
    model: &Name,
    count: u16,
) -> Result<Vec<Assignment>, Code> {
    let handle = owned_handle(core, number).ok_or(Code::OwnerUnreachable)?;
    let leases = {
        let mut participant = handle.participant();
        let now = core.now();
        if !participant.may_start(now) || core.is_draining() {
            return Err(Code::OwnerUnreachable);
        }
        participant.pull(
            now,
            unix_time_ms(),
            model,
            usize::from(count.min(MAX_LEASED_ITEMS)),
        )
    };
    let mut assignments = Vec::new();
    for lease in leases {
        match read_item(core, &handle, lease).await {
            Some(item) => assignments.push(item),
            None => handle.participant().finish(lease, End::Returned, u8::MAX),
        }
    }
    Ok(assignments)
}

/// Line of batch input; the text of the body is passed on unchanged.
#[derive(serde::Deserialize)]
struct Line<'a> {
    custom_id: compact_str::CompactString,
    #[serde(borrow)]
    body: &'a RawValue,
}

/// Reads a leased item from the job's input; `None` if it cannot be read.
async fn read_item(core: &Core, handle: &Handle, lease: Lease) -> Option<Assignment> {
    let (chunk, line, endpoint, due_ms) = {
        let participant = handle.participant();
        let job = participant.shard().job_by_id(lease.job)?;
        let (index, line) = job.locate(lease.item)?;
        let submit = &job.submit;
        (
            submit.chunks[index],
            line,
            submit.endpoint.clone(),
            submit.due_ms,
        )
    };
    let lines = read_chunk(core, chunk).await.ok()?;
    let line: Line<'_> = serde_json::from_str(lines.get(line as usize)?).ok()?;
    let custom_id = line.custom_id;
    handle.participant().set_custom_id(lease, custom_id.clone());
    Some(Assignment {
        lease,
        custom_id,
        endpoint,
        body: line.body.get().to_owned(),
        due_ms,
    })
}

/// Applies the ends of attempts; ends of unknown jobs are ignored.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn finish_attempts(
    core: &Core,
    number: id::Shard,
    ends: Vec<(Lease, End)>,
) -> Result<(), Code> {
    let handle = owned_handle(core, number).ok_or(Code::OwnerUnreachable)?;
    for (lease, end) in ends {
        let mut participant = handle.participant();
        let job = participant.shard().job_by_id(lease.job);
        let Some(model) = job.map(|job| job.submit.model.clone()) else {
            continue;
        };
        let max_attempts = max_attempts(core, model.as_str());
        participant.finish(lease, end, max_attempts);
    }
    handle.notify_committer();
    Ok(())
}

/// Renews leases and returns those that are no longer valid.
///
/// # Errors
///
/// [`Code::OwnerUnreachable`] if this daemon does not own the shard.
pub fn renew_leases(core: &Core, number: id::Shard, leases: &[Lease]) -> Result<Vec<Lease>, Code> {
    let handle = owned_handle(core, number).ok_or(Code::OwnerUnreachable)?;
    let now = core.now();
    Ok(handle.participant().renew(now, leases))
}

/// Looks up a job at the owner of its shard, or else in the log.
///
/// The shard is replayed from the log if no owner is reachable, and also if the
/// owner does not know the job, since it may not have read a submission that
/// another daemon has just appended.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log has to be read and does not answer.
pub async fn find_job(core: &Core, job: id::Job) -> Result<Option<Progress>, Code> {
    let known = match owned_handle(core, job.shard) {
        Some(handle) => handle
            .participant()
            .shard()
            .job_by_id(job)
            .map(Job::summary),
        None => {
            match peers::send_to_owner(core, job.shard, &Request::Job(job), LOOKUP_TIMEOUT).await {
                Ok(Response::Job(summary)) => summary.map(|summary| *summary),
                _ => None,
            }
        }
    };
    if known.is_some() {
        return Ok(known);
    }
    let recovered = recover(core, job.shard)
        .await
        .map_err(|_| Code::LogUnavailable)?;
    Ok(recovered.shard.job_by_id(job).map(Job::summary))
}

/// Looks up a file at the owner of its shard, or else in the log.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log has to be read and does not answer.
pub async fn find_file(core: &Core, file: id::File) -> Result<Option<Upload>, Code> {
    let known = match owned_handle(core, file.shard) {
        Some(handle) => handle.participant().shard().file(file).cloned(),
        None => {
            match peers::send_to_owner(core, file.shard, &Request::File(file), LOOKUP_TIMEOUT).await
            {
                Ok(Response::File(upload)) => upload.map(|upload| *upload),
                _ => None,
            }
        }
    };
    if known.is_some() {
        return Ok(known);
    }
    let recovered = recover(core, file.shard)
        .await
        .map_err(|_| Code::LogUnavailable)?;
    Ok(recovered.shard.file(file).cloned())
}

/// Reads the results of a job from one entry of its shard's stream.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer, [`Code::NotFound`] if the
/// entry has expired or cannot be decoded.
pub async fn read_results(
    core: &Core,
    job: id::Job,
    offset: u64,
) -> Result<Vec<(id::Item, bitterncart_protocol::record::Answer)>, Code> {
    super::maintain::read_results(core, job.shard, job, offset).await
}

/// Appends a record without an epoch: a file, a submission or a cancellation.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the record is certainly not in the log,
/// [`Code::AppendUnknown`] if it may be.
pub async fn append_record(core: &Core, shard: id::Shard, record: Record) -> Result<u64, Code> {
    let group = bitterncart_protocol::record::Group {
        epoch: None,
        records: vec![record],
    };
    super::append_with_retry(core, &shard.record_stream(), &group.encode()).await
}
