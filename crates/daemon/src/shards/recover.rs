//! Recovery of a shard's state and of batch input from the log.
//!
//! The state is restored from the snapshot that covers the most of the shard's
//! stream, and all later entries are applied to it. If the entries that follow the
//! snapshot have expired, older snapshots are searched as well; if none closes the
//! gap, the lost records are counted and logged.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::Retention;
use bitterncart_protocol::id;
use bitterncart_protocol::log::Page;
use bitterncart_protocol::record::Chunk;
use bitterncart_state::Shard;
use bitterncart_transport::Error;
use bitterncart_transport::log::Log as _;
use spdlog::error;

use crate::core::{Core, Lines};
use crate::counters::Count;

/// Number of latest snapshots among which the newest state is searched first.
const LATEST_SNAPSHOTS: u64 = 4;

/// Shard recovered from the log.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    /// State replayed from the log.
    pub(super) shard: Shard,
    /// Age of its snapshot.
    pub(super) retention: Retention,
}

/// Reads a shard: its newest snapshot and every entry after it.
///
/// # Errors
///
/// If the log does not answer.
pub(super) async fn recover(core: &Core, number: id::Shard) -> Result<Recovered, Error> {
    let mut recovered = restore_snapshot(core, number, LATEST_SNAPSHOTS).await?;
    let mut page = read_page(core, number, &recovered).await?;
    if page.first > recovered.shard.next() {
        // The latest snapshots may be stale ones, written after the snapshot that
        // reaches the entries still in the log.
        recovered = restore_snapshot(core, number, u64::MAX).await?;
        page = read_page(core, number, &recovered).await?;
    }
    if page.first > recovered.shard.next() {
        core.counters.add(Count::LogGaps, 1);
        error!("log records expired before a snapshot covered them", kv: {
            shard = number.0, expected = recovered.shard.next(), first = page.first
        });
    }
    loop {
        recovered.retention.read(page.entries.len());
        recovered.shard.apply_page(&page);
        if recovered.shard.next() >= page.next {
            return Ok(recovered);
        }
        page = read_page(core, number, &recovered).await?;
    }
}

async fn read_page(core: &Core, number: id::Shard, recovered: &Recovered) -> Result<Page, Error> {
    let next = recovered.shard.next();
    core.log
        .read(&number.record_stream(), next, Duration::ZERO)
        .await
}

/// Newest state among the latest `count` snapshots.
///
/// A daemon that was paused may append an older state after a newer one, so the
/// snapshot that covers the most entries is taken, not the one written last.
async fn restore_snapshot(core: &Core, number: id::Shard, count: u64) -> Result<Recovered, Error> {
    let stream = number.snapshot_stream();
    let end = core.log.read(&stream, u64::MAX, Duration::ZERO).await?;
    let from = end.next.saturating_sub(count).max(end.first);
    let mut newest = Recovered::default();
    for offset in (from..end.next).rev() {
        let Some(entry) = core.log.entry(&stream, offset).await? else {
            continue;
        };
        match Shard::restore(&entry.payload) {
            Some(shard) if shard.next() > newest.shard.next() => {
                newest = Recovered {
                    shard,
                    retention: Retention::new(Some(entry.at_ms)),
                };
            }
            _ => {}
        }
    }
    Ok(newest)
}

/// Reads the lines of a chunk of batch input, from the cache or the log.
///
/// # Errors
///
/// If the log does not answer or no longer holds the chunk.
pub async fn read_chunk(core: &Core, chunk: Chunk) -> Result<Lines, Error> {
    if let Some(lines) = core.cached_lines(&chunk) {
        return Ok(lines);
    }
    let entry = core
        .log
        .entry(&chunk.shard.input_stream(), chunk.offset)
        .await?;
    let entry = entry.ok_or_else(|| Error::malformed("the log no longer holds the input"))?;
    let text = String::from_utf8_lossy(&entry.payload);
    let lines: Lines = Arc::new(text.lines().map(str::to_owned).collect());
    core.cache_lines(chunk, Arc::clone(&lines));
    Ok(lines)
}
