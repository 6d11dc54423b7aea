//! Keeps the catalog of software versions in the store, beside the registered daemons,
//! and reads what the store has from before the list was followed.

use std::time::Duration;

use bitterncart_protocol::hash;
use bitterncart_state::ledger::Record;

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::daemon::read_members;
use crate::dialect::Dialect;
use crate::log;
use crate::store::{Failure, Store, Topic};

/// Interval between comparisons of the catalog with the listed versions.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a write.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the past after each snapshot of the list, and writes what has changed, as long
/// as the daemon runs. Of the live daemons that can write, one writes each record;
/// if two do, the later record has the same meaning.
pub(crate) async fn maintain<S: Store, D: Dialect>(core: Core<S, D>) {
    loop {
        let snapshot_read = core.list_reads.next_snapshot();
        if let Err(e) = update(&core).await {
            core.record_store_failure("versions", &e);
        }
        let _end = with_timeout(CHECK_INTERVAL, snapshot_read).await;
    }
}

async fn update<S: Store, D: Dialect>(core: &Core<S, D>) -> Result<(), Failure> {
    if core.pool().is_past_unread() {
        let asked_at = clock::now();
        read_past_list(core).await?;
        read_members(core).await?;
        core.pool().record_past_read(asked_at);
    }
    let is_settled = core.knows_members() && core.peers().is_stable(clock::now());
    if !is_settled || !core.pool().is_list_current(clock::now()) || own_changes(core).is_empty() {
        return Ok(());
    }
    // Another daemon may have written them.
    read_members(core).await?;
    let changes = own_changes(core);
    if changes.is_empty() {
        return Ok(());
    }
    core.store
        .append(Topic::Members, None, &changes, WRITE_TIMEOUT)
        .await?;
    core.record_store_success();
    apply(core, &changes);
    log::versions_recorded(&changes);
    Ok(())
}

/// Reads the records of the list that the store keeps from before the snapshot. They have
/// versions that came and left before any daemon recorded them.
async fn read_past_list<S: Store, D: Dialect>(core: &Core<S, D>) -> Result<(), Failure> {
    let end = core.list_reads.snapshot_end();
    let read = |offset| core.store.read(Topic::Replicas, offset, Duration::ZERO);
    let mut offset = read(end).await?.first_offset;
    while offset < end {
        match read(offset).await {
            Ok(past) if past.records.is_empty() => break,
            Ok(past) => {
                offset += past.records.len() as u64;
                let replicas = past.records.iter().map(S::parse_replica);
                let mut pool = core.pool();
                for replica in replicas.filter_map(Result::ok) {
                    pool.record_past_replica(replica);
                }
            }
            // The oldest records expire meanwhile.
            Err(Failure::Truncated) => match read(end).await?.first_offset {
                first_offset if first_offset > offset => offset = first_offset,
                _ => return Err(Failure::Truncated),
            },
            Err(e) => return Err(e),
        }
    }
    core.record_store_success();
    Ok(())
}

/// Applies records of the catalog.
pub(crate) fn apply<S: Store, D: Dialect>(core: &Core<S, D>, records: &[Record]) {
    let mut catalog = core.catalog();
    for record in records {
        catalog.apply(&record.key, record.value.as_deref());
    }
    let sole_versions = catalog.sole_versions(wall_ms());
    drop(catalog);
    core.pool()
        .set_recorded_versions(clock::now(), sole_versions);
}

/// Records that are to be written by this daemon.
fn own_changes<S: Store, D: Dialect>(core: &Core<S, D>) -> Vec<Record> {
    let listed = core.pool().listed_versions();
    let changes = core.catalog().changes(wall_ms(), &listed);
    let is_own = |key: &str| {
        let score = |address: std::net::SocketAddr| {
            hash::rendezvous_score(key.as_bytes(), address.to_string().as_bytes())
        };
        let own_score = score(core.peer_address());
        let peers = core.peers();
        let mut others = peers
            .live(clock::now())
            .filter(|peer| !peer.leaving && peer.writes);
        !others.any(|peer| score(peer.from) > own_score)
    };
    let own = changes.into_iter().filter(|change| is_own(&change.key));
    let record = own.map(|change| Record {
        key: change.key,
        value: change.value.map(String::into_bytes),
    });
    record.collect()
}

fn wall_ms() -> u64 {
    clock::wall().as_millis() as u64
}
