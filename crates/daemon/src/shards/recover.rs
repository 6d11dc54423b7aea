//! Reading a shard's state and its input back from the log.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::id;
use bitterncart_protocol::record::Chunk;
use bitterncart_state::Shard;
use bitterncart_transport::Error;
use bitterncart_transport::log::Log as _;
use spdlog::error;

use crate::core::{Core, Lines};

/// Reads a shard: its newest snapshot and every entry after it.
///
/// # Errors
///
/// If the log does not answer.
pub async fn recover(core: &Core, number: id::Shard) -> Result<Shard, Error> {
    let mut shard = snapshot(core, number).await?;
    loop {
        let page = core
            .log
            .read(&number.stream(), shard.next(), Duration::ZERO)
            .await?;
        if page.first > shard.next() {
            error!("records expired before a snapshot held them", kv: {
                shard = number.0, expected = shard.next(), first = page.first
            });
        }
        let next = page.next;
        shard.read(&page);
        if shard.next() >= next {
            return Ok(shard);
        }
    }
}

async fn snapshot(core: &Core, number: id::Shard) -> Result<Shard, Error> {
    let stream = number.snapshots();
    let end = core.log.read(&stream, u64::MAX, Duration::ZERO).await?;
    // An unreadable newest one leaves the one before.
    for back in 1..=2 {
        let Some(from) = end.next.checked_sub(back).filter(|from| *from >= end.first) else {
            break;
        };
        let entry = core.log.entry(&stream, from).await?;
        let newest = entry.and_then(|entry| Shard::restore(&entry.payload));
        if let Some(shard) = newest {
            return Ok(shard);
        }
    }
    Ok(Shard::default())
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
