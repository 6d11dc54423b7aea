//! Reading a shard's state and its input back from the log.

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

/// Snapshots that are read at first to find the newest state.
const SNAPSHOTS: u64 = 4;

/// Shard that was read from the log.
#[derive(Debug, Default)]
pub(super) struct Recovered {
    /// Fold.
    pub(super) shard: Shard,
    /// Age of what keeps it readable.
    pub(super) retention: Retention,
}

/// Reads a shard: its newest snapshot and every entry after it.
///
/// # Errors
///
/// If the log does not answer.
pub(super) async fn recover(core: &Core, number: id::Shard) -> Result<Recovered, Error> {
    let mut recovered = newest(core, number, SNAPSHOTS).await?;
    let mut page = page(core, number, &recovered).await?;
    if page.first > recovered.shard.next() {
        // Stale snapshots may hide the one that reaches what is still kept.
        recovered = newest(core, number, u64::MAX).await?;
        page = self::page(core, number, &recovered).await?;
    }
    if page.first > recovered.shard.next() {
        core.counters.add(Count::LogGaps, 1);
        error!("records expired before a snapshot held them", kv: {
            shard = number.0, expected = recovered.shard.next(), first = page.first
        });
    }
    loop {
        recovered.retention.read(page.entries.len());
        recovered.shard.read(&page);
        if recovered.shard.next() >= page.next {
            return Ok(recovered);
        }
        page = self::page(core, number, &recovered).await?;
    }
}

async fn page(core: &Core, number: id::Shard, recovered: &Recovered) -> Result<Page, Error> {
    let next = recovered.shard.next();
    core.log.read(&number.stream(), next, Duration::ZERO).await
}

/// State of the newest of a number of snapshots.
///
/// A paused daemon's append may bring an older state after a newer one, so
/// the state that reaches furthest is taken, not the last that was written.
async fn newest(core: &Core, number: id::Shard, count: u64) -> Result<Recovered, Error> {
    let stream = number.snapshots();
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

/// Lines of a chunk of input.
///
/// # Errors
///
/// If the log does not answer or no longer holds the chunk.
pub async fn lines(core: &Core, chunk: Chunk) -> Result<Lines, Error> {
    if let Some(lines) = core.cached_lines(&chunk) {
        return Ok(lines);
    }
    let entry = core.log.entry(&chunk.shard.bodies(), chunk.offset).await?;
    let entry = entry.ok_or_else(|| Error::malformed("the log no longer holds the input"))?;
    let text = String::from_utf8_lossy(&entry.payload);
    let lines: Lines = Arc::new(text.lines().map(str::to_owned).collect());
    core.keep_lines(chunk, Arc::clone(&lines));
    Ok(lines)
}
