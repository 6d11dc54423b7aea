//! Follows the manifest and the list of replicas in the store.
//!
//! A topic is first read as a snapshot with the newest record of each key, then
//! record by record from the end offset of the snapshot. If records after that
//! offset have been deleted or cannot be decoded, the snapshot is read again.
//! Invalid records are counted, logged and skipped, so that they do not hide valid
//! ones.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_state::ledger::Record;
use compact_str::CompactString;

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::invalid::InvalidRecords;
use crate::log;
use crate::store::{Failure, Store, Topic};

/// Time for which the store holds a read of the operator's topic until there is a
/// record.
const MANIFEST_LONG_POLL: Duration = Duration::from_secs(1);

/// Time for which the store holds a read of the replicas' topic until there is a
/// record. A request may wait for the next read.
const REPLICAS_LONG_POLL: Duration = Duration::from_millis(200);

/// Delay between reads of the replicas' topic, which changes constantly.
const REPLICAS_READ_DELAY: Duration = Duration::from_millis(600);

/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Undecodable responses in a row to reads from one offset, after which the snapshot is
/// read instead.
const MAX_UNDECODABLE_READS: u32 = 3;

/// Timeout of a page for which that of the store's client is enough.
pub(crate) const UNLIMITED: Duration = Duration::MAX;

/// Interval between removals of expired replicas and idle connections.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Reader that follows one topic.
struct Tail<S: Store, D: Dialect> {
    core: Core<S, D>,
    topic: Topic,
    long_poll: Duration,
    read_delay: Duration,
}

/// How all records of a topic were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The newest record of each key, up to this offset.
    Snapshot(u64),
    /// All records since the last reading.
    Continued,
}

impl<S: Store, D: Dialect> Tail<S, D> {
    /// Follows the topic. `on_current` is called each time that all has been read, with
    /// the time at which the last call began.
    async fn run(
        self,
        mut on_snapshot: impl FnMut(Vec<Record>),
        mut on_record: impl FnMut(&Record),
        mut on_current: impl FnMut(Reading, Duration),
    ) {
        loop {
            let asked_at = clock::now();
            let mut offset = match read_snapshot(&self.core, self.topic, UNLIMITED).await {
                Ok((records, end)) => {
                    on_snapshot(records);
                    on_current(Reading::Snapshot(end), asked_at);
                    end
                }
                Err(e) => {
                    self.core.record_store_failure("newest", &e);
                    smol::Timer::after(RETRY_DELAY).await;
                    continue;
                }
            };
            let mut undecodable = 0;
            loop {
                let asked_at = clock::now();
                match self
                    .core
                    .store
                    .read(self.topic, offset, self.long_poll)
                    .await
                {
                    Ok(read) => {
                        self.core.record_store_success();
                        undecodable = 0;
                        read.records.iter().for_each(&mut on_record);
                        let is_empty = read.records.is_empty();
                        offset = read.start_offset.saturating_add(read.records.len() as u64);
                        // The store may have more than one call takes.
                        let has_all = offset >= read.end_offset;
                        if has_all {
                            on_current(Reading::Continued, asked_at);
                        }
                        if has_all || read.records.is_empty() {
                            let pause = self.core.list_reads.pause(asked_at, self.read_delay);
                            pause.await;
                        } else if is_empty {
                            smol::Timer::after(RETRY_DELAY).await;
                        }
                    }
                    Err(Failure::Truncated) => break,
                    Err(e) => {
                        self.core.record_store_failure("read", &e);
                        smol::Timer::after(RETRY_DELAY).await;
                        let is_undecodable = matches!(e, Failure::Undecodable(_));
                        undecodable = if is_undecodable { undecodable + 1 } else { 0 };
                        if undecodable >= MAX_UNDECODABLE_READS {
                            break;
                        }
                    }
                }
            }
        }
    }
}

/// Reads the newest record of each key of a topic, and the offset at which to continue.
///
/// # Errors
///
/// If a page cannot be read, or not within `page_timeout`.
pub(crate) async fn read_snapshot<S: Store, D: Dialect>(
    core: &Core<S, D>,
    topic: Topic,
    page_timeout: Duration,
) -> Result<(Vec<Record>, u64), Failure> {
    let mut all: Vec<Record> = Vec::new();
    let mut start_offset = None;
    loop {
        let after = all.last().map(|record| record.key.clone());
        let page = core.store.read_newest(topic, after.as_deref());
        let page = with_timeout(page_timeout, page).await;
        let page = page.unwrap_or(Err(Failure::OutcomeUnknown("silence".into())))?;
        core.record_store_success();
        start_offset.get_or_insert(page.end_offset);
        let has_more = page.has_more && !page.records.is_empty();
        all.extend(page.records);
        if !has_more {
            return Ok((all, start_offset.unwrap_or(0)));
        }
    }
}

/// Installs the newest manifest.
pub(crate) async fn manifest<S: Store, D: Dialect>(core: Core<S, D>) {
    let tail = Tail {
        core: core.clone(),
        topic: Topic::Operator,
        long_poll: MANIFEST_LONG_POLL,
        read_delay: Duration::ZERO,
    };
    let invalid = InvalidRecords::new("manifest", Arc::clone(&core.metrics));
    let on_record = |record: &Record| match S::parse_manifest(record) {
        Ok(Some(parsed)) => {
            let version = parsed.manifest.version;
            core.freshness().record_readable(true);
            invalid.remove(&record.key);
            if core.install_manifest(parsed.manifest) {
                log::manifest_installed(version);
                for defect in parsed.defects {
                    invalid.record_part(version, &defect);
                }
            }
        }
        Ok(None) => {}
        Err(reason) => {
            core.freshness().record_readable(false);
            invalid.record(&record.key, &reason);
        }
    };
    tail.run(
        |records| records.iter().for_each(on_record),
        on_record,
        |_, asked_at| core.freshness().confirm(asked_at),
    )
    .await;
}

/// Updates the pool from the listed replicas.
pub(crate) async fn replicas<S: Store, D: Dialect>(core: Core<S, D>) {
    let tail = Tail {
        core: core.clone(),
        topic: Topic::Replicas,
        long_poll: REPLICAS_LONG_POLL,
        read_delay: REPLICAS_READ_DELAY,
    };
    let invalid = InvalidRecords::new("replica", Arc::clone(&core.metrics));
    let on_record = |record: &Record| apply_replica(&core, &invalid, record);
    let on_snapshot = |records: Vec<Record>| {
        let listed: HashSet<&CompactString> = records.iter().map(|r| &r.key).collect();
        let now = clock::now();
        let recovered_at = core.store_recovered_at();
        let mut pool = core.pool();
        let removed: Vec<CompactString> = pool
            .ids()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in removed {
            pool.delist(now, &id, recovered_at);
        }
        drop(pool);
        records.iter().for_each(on_record);
        core.set_replicas_known();
    };
    let on_current = |reading: Reading, asked_at: Duration| {
        let now = clock::now();
        match reading {
            Reading::Snapshot(end) => {
                core.pool().record_list_snapshot(asked_at, now);
                core.list_reads.record_snapshot(asked_at, end);
            }
            Reading::Continued => {
                core.pool().record_list_read(asked_at, now);
                core.list_reads.record(asked_at);
            }
        }
    };
    tail.run(on_snapshot, on_record, on_current).await;
}

/// Adds, updates or removes the replica of a record in the pool. The replica of a record
/// that has become invalid is kept for a time.
fn apply_replica<S: Store, D: Dialect>(
    core: &Core<S, D>,
    invalid: &InvalidRecords,
    record: &Record,
) {
    match (&record.value, S::parse_replica(record)) {
        (None, _) => {
            invalid.remove(&record.key);
            let recovered_at = core.store_recovered_at();
            core.pool().delist(clock::now(), &record.key, recovered_at);
        }
        (Some(_), Ok(replica)) => {
            invalid.remove(&record.key);
            core.pool().upsert(replica);
        }
        (Some(_), Err(reason)) => {
            invalid.record(&record.key, &reason);
            core.pool().record_unreadable(clock::now(), &record.key);
        }
    }
}

/// Removes expired replicas and closes expired idle connections.
pub(crate) async fn expire<S: Store, D: Dialect>(core: Core<S, D>) {
    loop {
        smol::Timer::after(EXPIRY_INTERVAL).await;
        core.pool().expire(clock::now());
        core.crashes.expire();
        core.tokens.expire();
        core.streams.expire();
        core.links.close_unneeded();
        core.connector.close_expired();
    }
}
