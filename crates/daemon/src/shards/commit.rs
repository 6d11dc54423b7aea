//! Group commit.
//!
//! All records that wait when a turn to append comes go into one entry. A
//! group whose answer was lost is appended again as it was; the fold drops
//! the second.

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

/// First wait after a failed append; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);

/// Longest wait after a failed append.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Attempts at an append that a caller waits for.
const ATTEMPTS: u32 = 4;

/// Appends a payload once and counts it.
async fn append(core: &Core, stream: &str, payload: Vec<u8>) -> Result<u64, Error> {
    core.turn_to_append().await;
    let size = payload.len() as u64;
    let result = core.log.append(stream, payload).await;
    core.appended(result.is_ok());
    match &result {
        Ok(_) => {
            core.counters.add(Count::LogAppends, 1);
            core.counters.add(Count::LogBytes, size);
        }
        Err(e) => {
            core.counters.add(Count::LogFailures, 1);
            warn!("append failed", kv: { stream, why: = e });
        }
    }
    result.map(|appended| appended.offset)
}

/// Appends a payload that a caller waits for, a few times.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the payload is certainly not in the log,
/// [`Code::AppendUnknown`] if it may be.
pub(crate) async fn append_open(core: &Core, stream: &str, payload: &[u8]) -> Result<u64, Code> {
    let mut wait = BACKOFF;
    let mut code = Code::LogUnavailable;
    for attempt in 1..=ATTEMPTS {
        match append(core, stream, payload.to_vec()).await {
            Ok(offset) => return Ok(offset),
            Err(e) if !e.not_sent() => code = Code::AppendUnknown,
            Err(_) => {}
        }
        if attempt < ATTEMPTS {
            smol::Timer::after(wait).await;
            wait *= 2;
        }
    }
    Err(code)
}

/// Appends records that anyone may append.
pub(super) async fn open(
    core: &Core,
    shard: id::Shard,
    records: Vec<Record>,
) -> Result<u64, Error> {
    let group = Group {
        epoch: None,
        records,
    };
    append(core, &shard.stream(), group.encode()).await
}

/// Commits the records of a handle until it is closed.
pub(super) async fn run(core: Arc<Core>, handle: Weak<Handle>) {
    loop {
        let Some(open) = handle.upgrade() else { return };
        let filled = open.filled.listen();
        let waits = open.participant().pending() > 0;
        drop(open);
        if !waits {
            filled.await;
            continue;
        }
        core.turn_to_append().await;
        let Some(open) = handle.upgrade() else { return };
        let group = open.participant().take_group();
        drop(open);
        if let Some(group) = group {
            commit(&core, &handle, &group).await;
        }
    }
}

/// Appends a group until it is confirmed or its epoch no longer stands.
async fn commit(core: &Core, handle: &Weak<Handle>, group: &Group) {
    let payload = group.encode();
    let mut wait = BACKOFF;
    loop {
        let Some(open) = handle.upgrade() else { return };
        let stands = open.participant().stands(group);
        let stream = open.number.stream();
        drop(open);
        if !stands || append(core, &stream, payload.clone()).await.is_ok() {
            return;
        }
        smol::Timer::after(wait).await;
        wait = (wait * 2).min(BACKOFF_MAX);
    }
}
