//! Group commit of a shard's records.
//!
//! Appends to the log are rate limited, so all records that are queued when the
//! limit admits an append go into one log entry. A group whose append was not
//! confirmed is appended again unchanged; readers ignore the duplicate. The owner
//! of a shard writes groups under its epoch and drops them once the epoch is over.
//! Records that any daemon may write carry no epoch.

use std::sync::{Arc, Weak};
use std::time::Duration;

use bitterncart_protocol::record::{Group, Record};
use bitterncart_protocol::{Code, id};
use bitterncart_transport::Error;
use bitterncart_transport::log::Log as _;
use spdlog::warn;

use super::Handle;
use crate::core::Core;
use crate::counters::Count;

/// Initial backoff after a failed append; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff after a failed append.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Attempts at an append that a request waits for.
const MAX_ATTEMPTS: u32 = 4;

/// Makes one attempt to append a payload, when the rate limit admits it.
async fn append(core: &Core, stream: &str, payload: Vec<u8>) -> Result<u64, Error> {
    core.wait_to_append().await;
    let size = payload.len() as u64;
    let result = core.log.append(stream, payload).await;
    core.record_append(result.is_ok());
    match &result {
        Ok(_) => {
            core.counters.add(Count::LogAppends, 1);
            core.counters.add(Count::LogBytes, size);
        }
        Err(e) => {
            core.counters.add(Count::LogFailures, 1);
            warn!("append to the log failed", kv: { stream, why: = e });
        }
    }
    result.map(|appended| appended.offset)
}

/// Appends a payload with up to [`MAX_ATTEMPTS`] attempts.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the payload is certainly not in the log,
/// [`Code::AppendUnknown`] if it may be.
pub(crate) async fn append_with_retry(
    core: &Core,
    stream: &str,
    payload: &[u8],
) -> Result<u64, Code> {
    let mut backoff = BACKOFF;
    let mut code = Code::LogUnavailable;
    for attempt in 1..=MAX_ATTEMPTS {
        match append(core, stream, payload.to_vec()).await {
            Ok(offset) => return Ok(offset),
            Err(e) if !e.is_unprocessed() => code = Code::AppendUnknown,
            Err(_) => {}
        }
        if attempt < MAX_ATTEMPTS {
            smol::Timer::after(backoff).await;
            backoff *= 2;
        }
    }
    Err(code)
}

/// Makes one attempt to append records that carry no epoch.
pub(super) async fn append_without_epoch(
    core: &Core,
    shard: id::Shard,
    records: Vec<Record>,
) -> Result<u64, Error> {
    let group = Group {
        epoch: None,
        records,
    };
    append(core, &shard.record_stream(), group.encode()).await
}

/// Commits the queued records of a shard until its handle is dropped.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    loop {
        let Some(open) = handle.upgrade() else { return };
        let queued = open.records_queued.listen();
        let has_records = open.participant().pending() > 0;
        drop(open);
        if !has_records {
            queued.await;
            continue;
        }
        core.wait_to_append().await;
        let Some(open) = handle.upgrade() else { return };
        let group = open.participant().take_group();
        drop(open);
        if let Some(group) = group {
            commit(&core, &handle, &group).await;
        }
    }
}

/// Appends a group until the append is confirmed or the group's epoch is over.
async fn commit(core: &Core, handle: &Weak<Handle>, group: &Group) {
    let payload = group.encode();
    let mut backoff = BACKOFF;
    loop {
        let Some(open) = handle.upgrade() else { return };
        let is_current = open.participant().is_current(group);
        let stream = open.number.record_stream();
        drop(open);
        if !is_current || append(core, &stream, payload.clone()).await.is_ok() {
            return;
        }
        smol::Timer::after(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MAX);
    }
}
