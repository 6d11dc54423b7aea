//! Watches of the manifest and of the replicas in the store.

use std::collections::HashSet;
use std::time::Duration;

use bitterncart_state::ledger::Record;
use compact_str::CompactString;

use crate::clock;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::{Failure, Store, Topic};

/// Time that a read of the operator's topic is kept waiting by the store.
const WAIT: Duration = Duration::from_secs(1);

/// Time that a read of the replicas' topic is kept waiting by the store.
const SHORT_WAIT: Duration = Duration::from_millis(500);

/// Pause between reads of the replicas' topic, which changes all the time.
const PACE: Duration = Duration::from_millis(600);

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Time between looks for replicas whose entries lapsed.
const EXPIRE: Duration = Duration::from_millis(500);

/// Topic whose records are taken one by one.
struct Tail<S: Store, D: Dialect> {
    core: Core<S, D>,
    topic: Topic,
    wait: Duration,
    pace: Duration,
}

impl<S: Store, D: Dialect> Tail<S, D> {
    async fn run(self, mut whole: impl FnMut(Vec<Record>), mut one: impl FnMut(&Record)) {
        loop {
            let mut from = match self.newest().await {
                Ok((records, end)) => {
                    whole(records);
                    end
                }
                Err(e) => {
                    self.core.store_failed("newest", &e);
                    smol::Timer::after(PAUSE).await;
                    continue;
                }
            };
            loop {
                match self.core.store.read(self.topic, from, self.wait).await {
                    Ok(read) => {
                        self.core.store_answered();
                        read.records.iter().for_each(&mut one);
                        from = read.from + read.records.len() as u64;
                        smol::Timer::after(self.pace).await;
                    }
                    Err(Failure::Expired) => break,
                    Err(e) => {
                        self.core.store_failed("read", &e);
                        smol::Timer::after(PAUSE).await;
                    }
                }
            }
        }
    }

    /// Newest record of each key, and the offset to go on from.
    async fn newest(&self) -> Result<(Vec<Record>, u64), Failure> {
        let mut all: Vec<Record> = Vec::new();
        let mut first_end = None;
        loop {
            let after = all.last().map(|record| record.key.clone());
            let page = self.core.store.newest(self.topic, after.as_deref()).await?;
            self.core.store_answered();
            first_end.get_or_insert(page.end);
            let more = page.more && !page.records.is_empty();
            all.extend(page.records);
            if !more {
                return Ok((all, first_end.unwrap_or(0)));
            }
        }
    }
}

/// Keeps the newest manifest in force.
pub(crate) async fn manifest<S: Store, D: Dialect>(core: Core<S, D>) {
    let tail = Tail {
        core: core.clone(),
        topic: Topic::Operator,
        wait: WAIT,
        pace: Duration::ZERO,
    };
    let one = |record: &Record| match S::manifest(record) {
        Ok(Some(manifest)) => {
            let version = manifest.version;
            if core.put_in_force(manifest) {
                log::in_force(version);
            }
        }
        Ok(None) => {}
        Err(why) => log::unreadable(&record.key, &why),
    };
    tail.run(|records| records.iter().for_each(one), one).await;
}

/// Keeps the replicas as listed.
pub(crate) async fn replicas<S: Store, D: Dialect>(core: Core<S, D>) {
    let tail = Tail {
        core: core.clone(),
        topic: Topic::Replicas,
        wait: SHORT_WAIT,
        pace: PACE,
    };
    let one = |record: &Record| replica(&core, record);
    let whole = |records: Vec<Record>| {
        let listed: HashSet<&CompactString> = records.iter().map(|r| &r.key).collect();
        let now = clock::now();
        let back = core.store_back();
        let mut pool = core.pool();
        let gone: Vec<CompactString> = pool
            .ids()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in gone {
            pool.unlisted(now, &id, back);
        }
        drop(pool);
        records.iter().for_each(one);
        core.replicas_read();
    };
    tail.run(whole, one).await;
}

fn replica<S: Store, D: Dialect>(core: &Core<S, D>, record: &Record) {
    match (&record.value, S::replica(record)) {
        (None, _) => {
            let back = core.store_back();
            core.pool().unlisted(clock::now(), &record.key, back);
        }
        (Some(_), Ok(replica)) => core.pool().listed(replica),
        (Some(_), Err(why)) => log::unreadable(&record.key, &why),
    }
}

/// Forgets replicas that lapsed, and connections that idle.
pub(crate) async fn expire<S: Store, D: Dialect>(core: Core<S, D>) {
    loop {
        smol::Timer::after(EXPIRE).await;
        core.pool().expire(clock::now());
        core.connector.sweep();
    }
}
