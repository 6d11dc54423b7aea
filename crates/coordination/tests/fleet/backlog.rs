//! Return of all daemons: replicas still run requests of the lost processes, which
//! no heartbeat reports. Queued online requests go before batch items all the same.

use std::time::Duration;

use bitterncart_coordination::fleet::backlog;
use bitterncart_coordination::fleet::peers::{Usage, short_hash};
use bitterncart_coordination::fleet::pool::{Load, Pool};
use bitterncart_coordination::fleet::{Backlog, Group, Heartbeat, Peers, Queued};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ownership::heartbeat;
use crate::pool::replica;

const NOW: Duration = Duration::from_secs(100);
const SERVICE: &str = "s";
const REPLICAS: usize = 4;
const SLOTS: u32 = 8;

fn queued(data_centre: &str, requests: u16) -> Queued {
    Queued {
        group: Group::new(SERVICE, data_centre),
        requests,
    }
}

/// Pool of a daemon that runs `items` batch items, while peers run two more at
/// each replica. The replicas of both data centres have free slots by all that
/// the daemons know.
fn pool(items: u32) -> Pool {
    let mut pool = Pool::new("here".into(), "d".into());
    for n in 0..REPLICAS {
        pool.upsert(replica(n, SLOTS));
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..items {
        let slot = pool.select_batch(NOW, SERVICE, 1, rng.random());
        assert!(slot.is_some());
    }
    pool.set_peer_load(|_| Load {
        online: 1,
        batch: 2,
    });
    pool
}

#[test]
fn no_item_starts_while_too_few_slots_are_free_for_the_queue() {
    let mut pool = pool(0);
    // Two replicas in each data centre, with three known requests of eight slots
    // and one slot in reserve.
    assert_eq!(pool.free_batch_slots(NOW, SERVICE, 1), 4 * 4);
    pool.set_backlog([queued("here", 3), queued("here", 2), queued("there", 4)]);
    assert_eq!(pool.free_batch_slots(NOW, SERVICE, 1), 0);
    assert_eq!(pool.select_batch(NOW, SERVICE, 1, 0.5), None);
    pool.set_backlog([]);
    assert!(pool.select_batch(NOW, SERVICE, 1, 0.5).is_some());
}

/// In a large fleet some requests are always queued.
#[test]
fn items_start_beside_a_short_queue() {
    let mut pool = pool(0);
    pool.set_backlog([queued("here", 1), queued("there", 2)]);
    assert_eq!(pool.free_batch_slots(NOW, SERVICE, 1), 6 + 4);
    assert!(pool.select_batch(NOW, SERVICE, 1, 0.5).is_some());
    assert!(pool.backlog_preemptions(NOW, || 0.99).is_empty());
}

/// The other data centre has free slots, but too far away for online requests.
#[test]
fn items_start_where_no_request_is_queued() {
    let mut pool = pool(0);
    pool.set_backlog([queued("here", 5)]);
    let selection = pool.select_batch(NOW, SERVICE, 1, 0.5).expect("a slot");
    assert!(
        ["i-1", "i-3"].contains(&selection.id.as_str()),
        "{selection:?}"
    );
}

/// No replica is overcommitted by the known load, so nothing else preempts.
#[test]
fn items_are_preempted_once_a_round_for_queued_requests() {
    let mut pool = pool(6);
    assert!(pool.preemptions(|| 0.5).is_empty());
    assert!(pool.backlog_preemptions(NOW, || 0.5).is_empty());
    pool.set_backlog([queued("here", 5), queued("here", 4)]);
    let count = |preemptions: Vec<(Vec<_>, u32)>| -> u32 {
        preemptions.iter().map(|(_, count)| count).sum()
    };
    let first = count(pool.backlog_preemptions(NOW, || 0.5));
    assert!((1..=6).contains(&first), "{first}");
    let soon = NOW + Duration::from_millis(25);
    assert_eq!(
        count(pool.backlog_preemptions(soon, || 0.99)),
        0,
        "one round"
    );
    let next = NOW + Duration::from_millis(200);
    assert!(count(pool.backlog_preemptions(next, || 0.99)) > 0);
}

/// Twelve daemons run forty items in uneven numbers; ten requests are queued.
#[test]
fn daemons_together_preempt_about_one_item_for_each_request() {
    let running: [u32; 12] = [9, 7, 6, 5, 4, 3, 2, 2, 1, 1, 0, 0];
    let all: u32 = running.iter().sum();
    let group = Group::new(SERVICE, "here");
    let mut rng = SmallRng::seed_from_u64(7);
    let mut daemons: Vec<Backlog> = running.iter().map(|_| Backlog::default()).collect();
    let rounds = 50;
    let mut preempted = 0;
    for round in 0..rounds {
        for poll in 0..8 {
            let now = NOW + Duration::from_millis(200 * round + 25 * poll);
            for (daemon, own) in daemons.iter_mut().zip(running) {
                daemon.update([queued("here", 4), queued("here", 6)]);
                let usage = backlog::Usage { free: 0, own, all };
                preempted += daemon.start_round(now, group, usage, rng.random());
            }
        }
    }
    let a_round = f64::from(preempted) / rounds as f64;
    assert!((9.0..=11.0).contains(&a_round), "{a_round}");
}

#[test]
fn queue_of_a_lost_daemon_expires() {
    let mut peers = Peers::default();
    peers.receive(
        NOW,
        Heartbeat {
            queued: vec![queued("here", 4)],
            ..heartbeat(1, 1)
        },
    );
    assert_eq!(peers.queued(NOW).count(), 1);
    assert_eq!(peers.queued(NOW + Duration::from_secs(1)).count(), 0);
}

#[test]
fn heartbeat_is_decoded_with_and_without_the_queue() {
    let sent = Heartbeat {
        queued: vec![queued("here", 4)],
        load: vec![Usage {
            replica: short_hash(&[b"i-0"]),
            online: 2,
            batch: 1,
        }],
        ..heartbeat(1, 1)
    };
    let datagram = sent.encode().expect("a datagram");
    assert_eq!(Heartbeat::decode(&datagram), Ok(sent.clone()));
    let earlier = postcard::to_stdvec(&sent).expect("a datagram");
    let without_queue = Heartbeat {
        queued: Vec::new(),
        ..sent.clone()
    };
    assert_eq!(Heartbeat::decode(&earlier), Ok(without_queue.clone()));
    // Daemons of earlier versions decode what they know and skip the rest.
    assert_eq!(postcard::from_bytes(&datagram), Ok(without_queue));
    assert!(Heartbeat::decode(&datagram[..8]).is_err());
}
