//! Load balancing: replicas are selected by their load from all daemons.

use std::collections::HashMap;
use std::time::Duration;

use bitterncart_coordination::fleet::peers::short_hash;
use bitterncart_coordination::fleet::pool::Load;
use bitterncart_coordination::fleet::{Class, Pool, Replica, Stage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NOW: Duration = Duration::from_secs(100);
const SERVICE: &str = "s";

pub(crate) fn replica(n: usize, slots: u32) -> Replica {
    Replica {
        id: format!("i-{n}").into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 9000 + n as u16).into(),
        data_centre: if n.is_multiple_of(2) { "here" } else { "there" }.into(),
        slots,
        stage: Stage::Ready,
        born_ms: 1,
        version: None,
    }
}

fn pool(replicas: usize, slots: u32) -> Pool {
    pool_of("d", replicas, slots)
}

fn pool_of(daemon: &str, replicas: usize, slots: u32) -> Pool {
    let mut pool = Pool::new("here".into(), daemon.into());
    for n in 0..replicas {
        pool.upsert(replica(n, slots));
    }
    pool
}

/// Requests that the daemon has in flight at all replicas.
fn in_flight(pool: &Pool) -> u32 {
    pool.own_load().map(|(_, load)| load.total()).sum()
}

fn select(pool: &mut Pool, now: Duration) -> Option<String> {
    pool.select(now, SERVICE, &[], &[], || 0.5)
        .map(|s| s.id.to_string())
}

#[test]
fn full_local_replicas_overflow_to_remote() {
    let mut pool = pool(2, 4);
    let selections: Vec<String> = (0..8).filter_map(|_| select(&mut pool, NOW)).collect();
    assert_eq!(selections[0], "i-0");
    assert!(selections.contains(&"i-1".to_owned()), "{selections:?}");
    assert_eq!(in_flight(&pool), 8);
}

#[test]
fn load_from_peers_is_counted() {
    let mut pool = pool(4, 8);
    let busy = short_hash(&[b"i-0"]);
    let load = Load {
        online: 6,
        batch: 0,
    };
    pool.set_peer_load(|id| if id == busy { load } else { Load::default() });
    assert_eq!(select(&mut pool, NOW).as_deref(), Some("i-2"));
}

#[test]
fn draining_replica_is_not_selected() {
    let mut pool = pool(1, 4);
    pool.upsert(Replica {
        stage: Stage::Draining,
        ..replica(0, 4)
    });
    assert_eq!(select(&mut pool, NOW), None);
}

#[test]
fn failed_replica_is_selected_again_after_backoff() {
    let mut pool = pool(3, 4);
    let first = pool
        .select(NOW, SERVICE, &[], &[], || 0.5)
        .expect("a replica");
    pool.release(first.key, Class::Online);
    pool.record_failure(NOW, first.key);
    assert_ne!(select(&mut pool, NOW).as_deref(), Some(first.id.as_str()));
    let later = NOW + Duration::from_secs(5);
    let ids: Vec<String> = (0..6).filter_map(|_| select(&mut pool, later)).collect();
    assert!(ids.contains(&first.id.to_string()));
}

#[test]
fn entry_expired_during_store_outage_is_kept_two_seconds() {
    let mut pool = pool(1, 4);
    let back = NOW - Duration::from_millis(500);
    pool.delist(NOW, "i-0", Some(back));
    assert!(select(&mut pool, NOW).is_some());
    assert_eq!(select(&mut pool, back + Duration::from_secs(2)), None);
    pool.expire(back + Duration::from_secs(2));
    assert_eq!(pool.ids().count(), 0);
}

#[test]
fn entry_delisted_without_outage_is_removed_immediately() {
    let mut pool = pool(1, 4);
    pool.delist(NOW, "i-0", None);
    assert_eq!(select(&mut pool, NOW), None);
}

#[test]
fn restarted_replica_has_no_load() {
    let mut pool = pool(1, 4);
    let old = pool
        .select(NOW, SERVICE, &[], &[], || 0.5)
        .expect("a replica");
    pool.upsert(Replica {
        born_ms: 2,
        ..replica(0, 4)
    });
    assert_eq!(in_flight(&pool), 0);
    pool.release(old.key, Class::Online);
    assert_eq!(in_flight(&pool), 0);
}

/// Guards against a thundering herd: twelve daemons with batch items see the same
/// free slots at the same time and must not all choose the same replica.
#[test]
fn concurrent_batch_starts_spread_over_replicas() {
    const DAEMONS: usize = 12;
    let mut counts: HashMap<String, u32> = HashMap::new();
    for n in 0..DAEMONS {
        let mut pool = pool(12, 8);
        let random = (n as f64 + 0.5) / DAEMONS as f64;
        let selection = pool
            .select_batch(NOW, SERVICE, 1, random)
            .expect("a free slot");
        *counts.entry(selection.id.to_string()).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 3, "{counts:?}");
}

#[test]
fn preemption_equals_excess_over_slots() {
    let mut pool = pool(1, 2);
    for _ in 0..2 {
        pool.select_batch(NOW, SERVICE, 0, 0.5)
            .expect("a free slot");
    }
    assert_eq!(pool.select_batch(NOW, SERVICE, 0, 0.5), None);
    select(&mut pool, NOW);
    let preempted: Vec<u32> = pool
        .preemptions(|| 0.5)
        .iter()
        .map(|(_, count)| *count)
        .collect();
    assert_eq!(preempted, [1]);
}

/// Guards against a thundering herd at the start of a peak: many daemons select
/// replicas by the same outdated view, in which one replica appears idle.
#[test]
fn peak_on_stale_view_does_not_overload_idle_replica() {
    const REPLICAS: usize = 74;
    const REQUESTS: usize = 40;
    let mut random = SmallRng::seed_from_u64(3);
    let mut counts: HashMap<String, usize> = HashMap::new();
    for n in 0..REQUESTS {
        // Each daemon has its own pool, without the new requests of the others.
        let mut pool = pool_of(&format!("d{n}"), REPLICAS, 8);
        let idle = short_hash(&[b"i-0"]);
        let busy = Load {
            online: 5,
            batch: 0,
        };
        pool.set_peer_load(|id| if id == idle { Load::default() } else { busy });
        let selection = pool
            .select(NOW, SERVICE, &[], &[], || random.random())
            .expect("a replica");
        *counts.entry(selection.id.to_string()).or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 8, "{most} of {REQUESTS} requests at one replica");
}

/// In a large data centre a daemon uses only its preferred replicas, and others
/// once the preferred ones are full.
#[test]
fn preferred_replicas_are_used_before_others() {
    let mut random = SmallRng::seed_from_u64(7);
    let mut pool = pool(80, 8);
    let mut ids = std::collections::BTreeSet::new();
    for _ in 0..200 {
        let selection = pool.select(NOW, SERVICE, &[], &[], || random.random());
        let selection = selection.expect("a replica");
        pool.release(selection.key, Class::Online);
        ids.insert(selection.id);
    }
    assert!(ids.len() <= 12, "{} replicas", ids.len());
    let full: Vec<_> = (0..12)
        .filter_map(|_| pool.select(NOW, SERVICE, &[], &[], || random.random()))
        .map(|selection| selection.key)
        .collect();
    let other = pool.select(NOW, SERVICE, &[], &full, || random.random());
    assert!(!full.contains(&other.expect("a replica").key));
}

/// Guards against online requests queuing at the start of a peak while batch
/// items hold the other slots: items are preempted to restore the headroom
/// before all slots are in use.
#[test]
fn peak_preempts_batch_before_slots_run_out() {
    let mut pool = pool(2, 8);
    let lull = Load {
        online: 1,
        batch: 4,
    };
    pool.set_peer_load(|_| lull);
    let batch: Vec<_> = (0..4)
        .filter_map(|_| pool.select_batch(NOW, SERVICE, 1, 0.0))
        .collect();
    assert!(!batch.is_empty());
    assert_eq!(pool.online_headroom(SERVICE), 0);
    let peak = Load {
        online: 5,
        batch: 1,
    };
    pool.set_peer_load(|_| peak);
    assert_eq!(pool.online_headroom(SERVICE), 1);
    let preempted: u32 = pool
        .preemptions(|| 0.5)
        .iter()
        .map(|(_, count)| count)
        .sum();
    assert!(preempted >= 1);
}

/// A replica that reported no free slot is not selected again immediately.
#[test]
fn full_replica_is_skipped_during_cooldown() {
    let mut pool = pool(4, 8);
    let first = pool
        .select(NOW, SERVICE, &[], &[], || 0.5)
        .expect("a replica");
    pool.release(first.key, Class::Online);
    pool.record_full(NOW, first.key);
    let next = pool
        .select(NOW, SERVICE, &[], &[], || 0.5)
        .expect("a replica");
    assert_ne!(next.key, first.key);
    assert_eq!(pool.free_batch_slots(NOW, SERVICE, 0), 3 * 8 - 1);
}

/// Seconds after the first unreadable entry of a replica at which it is still used.
fn is_used_after(pool: &mut Pool, seconds: u64) -> bool {
    let now = NOW + Duration::from_secs(seconds);
    pool.expire(now);
    select(pool, now).is_some()
}

#[test]
fn replica_whose_entry_is_unreadable_is_kept_for_a_time() {
    let mut pool = pool(1, 8);
    pool.record_unreadable(NOW, "i-0");
    assert!(is_used_after(&mut pool, 3));
    pool.record_unreadable(NOW + Duration::from_secs(3), "i-0");
    assert!(!is_used_after(&mut pool, 4));
    assert_eq!(pool.ids().count(), 0);
}

#[test]
fn replica_that_is_listed_again_is_kept() {
    let mut pool = pool(1, 8);
    pool.record_unreadable(NOW, "i-0");
    pool.upsert(replica(0, 8));
    assert!(is_used_after(&mut pool, 60));
}

#[test]
fn unreadable_entry_adds_no_replica() {
    let mut pool = pool(0, 8);
    pool.record_unreadable(NOW, "i-0");
    assert!(!is_used_after(&mut pool, 0));
}
