//! Shard ownership and peer state: each shard has one owner once all views are
//! stable, also when daemons start, stop or fail.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::ownership::{STORE_LOSS_GRACE, TAKEOVER_MIN_UPTIME, Table};
use bitterncart_coordination::fleet::peers::{FAILURE_TIMEOUT, Ownership};
use bitterncart_coordination::fleet::{Candidate, CutOff, Heartbeat, Member, Peers, View};
use bitterncart_testing::cases;

pub(crate) const TICK: Duration = Duration::from_millis(50);
pub(crate) const STABLE_AT: Duration = Duration::from_secs(10);

const SHARDS: usize = 64;

pub(crate) fn address(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

pub(crate) fn heartbeat(from: u16, seq: u64) -> Heartbeat {
    Heartbeat {
        from: address(from),
        born_us: 1,
        seq,
        data_centre: "here".into(),
        period_ms: 50,
        leaving: false,
        writes: true,
        capacity: 500,
        shards: Vec::new(),
        waiting: 0,
        load: Vec::new(),
        running: Vec::new(),
        queued: Vec::new(),
        quarantine: Default::default(),
        limits: Vec::new(),
        links: None,
        speeds: Vec::new(),
        recent_jobs: None,
    }
}

/// Peer state of a daemon whose view is stable.
pub(crate) fn stable_peers() -> Peers {
    peers_after(STABLE_AT)
}

/// Peer state of a daemon that has listened until a given time.
fn peers_after(until: Duration) -> Peers {
    let mut peers = Peers::default();
    let mut now = Duration::ZERO;
    while now <= until {
        peers.tick(now);
        now += TICK;
    }
    peers
}

fn table(capacities: &[u32]) -> Table {
    let candidate = |(n, capacity): (usize, &u32)| Candidate {
        address: address(n as u16),
        capacity: *capacity,
    };
    let mut table = Table::default();
    table.update(
        SHARDS,
        capacities.iter().enumerate().map(candidate).collect(),
    );
    table
}

/// Number of shards that each candidate owns.
fn counts(table: &Table, candidates: usize) -> Vec<usize> {
    let count = |n: usize| {
        let mine = |shard: &u16| table.preferred(*shard) == Some(address(n as u16));
        (0..SHARDS as u16).filter(mine).count()
    };
    (0..candidates).map(count).collect()
}

fn heartbeat_serving(from: u16, shard: u16) -> Heartbeat {
    Heartbeat {
        shards: vec![Ownership {
            shard,
            tokens: vec![(7, 100)],
        }],
        ..heartbeat(from, 1)
    }
}

cases! {
    /// Only the candidates in `eligible` own shards, and none owns more than `most`.
    fn shards_are_owned_by_eligible(
        strong: usize, weak: usize, eligible: std::ops::Range<usize>, most: usize
    ) {
        let mut capacities = vec![500; strong];
        capacities.extend(vec![120; weak]);
        let counts = counts(&table(&capacities), strong + weak);
        assert_eq!(counts.iter().sum::<usize>(), SHARDS);
        let others = counts.iter().enumerate().filter(|(n, _)| !eligible.contains(n));
        assert!(others.into_iter().all(|(_, count)| *count == 0), "{counts:?}");
        assert!(counts.iter().all(|count| *count <= most), "{counts:?}");
    }
    equal_candidates_share_shards(12, 0, 0..12, 12);
    weak_candidates_own_no_shard(17, 54, 0..17, 10);
    single_strong_candidate_does_not_own_all_shards(1, 99, 0..100, 12);
}

#[test]
fn losing_a_candidate_moves_only_its_shards() {
    let (all, rest) = (table(&[500; 12]), table(&[500; 11]));
    for shard in 0..SHARDS as u16 {
        if all.preferred(shard) != Some(address(11)) {
            assert_eq!(all.preferred(shard), rest.preferred(shard));
        }
    }
}

#[test]
fn leaving_or_dead_peers_and_those_cut_off_are_no_candidates() {
    let mut peers = stable_peers();
    peers.receive(STABLE_AT - FAILURE_TIMEOUT, heartbeat(1, 1));
    peers.receive(
        STABLE_AT,
        Heartbeat {
            leaving: true,
            ..heartbeat(2, 1)
        },
    );
    peers.receive(
        STABLE_AT,
        Heartbeat {
            writes: false,
            ..heartbeat(3, 1)
        },
    );
    peers.receive(STABLE_AT, heartbeat(4, 1));
    let members = Member::from_peers(&peers, STABLE_AT);
    let mut cut_off = CutOff::default();
    cut_off.candidates(STABLE_AT, &members);
    let candidates = cut_off.candidates(STABLE_AT + STORE_LOSS_GRACE, &members);
    let addresses: Vec<SocketAddr> = candidates.iter().map(|c| c.address).collect();
    assert_eq!(addresses, [address(4)]);
}

fn members(writes: &[bool]) -> Vec<Member> {
    let member = |(n, writes): (usize, &bool)| Member {
        candidate: Candidate {
            address: address(n as u16),
            capacity: 500,
        },
        writes: *writes,
    };
    writes.iter().enumerate().map(member).collect()
}

cases! {
    /// Twelve daemons lose the store one after the other within 1 s, and reach it
    /// again likewise after an outage of 6 s. No shard may move.
    fn outage_of_the_store_moves_no_shard(lost_ms: [u64; 12], back_ms: [u64; 12]) {
        let (mut cut_off, mut table) = (CutOff::default(), table(&[500; 12]));
        let owners = |table: &Table| (0..SHARDS as u16).map(|n| table.preferred(n)).collect();
        let before: Vec<Option<SocketAddr>> = owners(&table);
        for ms in (0..9000).step_by(50) {
            let writes = std::array::from_fn::<bool, 12, _>(|n| {
                ms < lost_ms[n] || ms >= 6000 + back_ms[n]
            });
            let candidates = cut_off.candidates(Duration::from_millis(ms), &members(&writes));
            table.update(SHARDS, candidates);
            assert_eq!(owners(&table), before, "at {ms} ms");
        }
    }
    noticed_by_all_at_once([0; 12], [0; 12]);
    noticed_one_after_the_other(
        std::array::from_fn(|n| n as u64 * 90), std::array::from_fn(|n| n as u64 * 90)
    );
    noticed_late_by_one(
        std::array::from_fn(|n| if n == 3 { 1000 } else { 0 }),
        std::array::from_fn(|n| if n == 3 { 1000 } else { 0 })
    );
}

/// Four daemons hear neither the others nor the store.
#[test]
fn daemons_of_a_data_centre_that_is_cut_off_take_no_shard_over() {
    let (mut cut_off, mut table) = (CutOff::default(), table(&[500; 12]));
    let before: Vec<_> = (0..SHARDS as u16).map(|n| table.preferred(n)).collect();
    let candidates = cut_off.candidates(STABLE_AT, &members(&[false; 4]));
    table.update(SHARDS, candidates);
    let after: Vec<_> = (0..SHARDS as u16).map(|n| table.preferred(n)).collect();
    assert_eq!(after, before);
}

/// The store turns a third of the daemons away for 9 s.
#[test]
fn daemons_that_are_turned_away_lose_their_shards_after_the_grace() {
    let mut cut_off = CutOff::default();
    let turned_away = members(&std::array::from_fn::<bool, 12, _>(|n| n >= 4));
    let at = |ms| Duration::from_millis(ms);
    assert_eq!(cut_off.candidates(at(0), &turned_away).len(), 12);
    assert_eq!(cut_off.candidates(at(1450), &turned_away).len(), 12);
    assert_eq!(cut_off.candidates(at(1500), &turned_away).len(), 8);
    assert_eq!(
        cut_off.candidates(at(9000), &members(&[true; 12])).len(),
        12
    );
    assert_eq!(
        cut_off.candidates(at(9050), &turned_away).len(),
        12,
        "a new loss"
    );
}

#[test]
fn empty_candidate_list_keeps_the_table() {
    let mut table = table(&[500; 3]);
    let before = table.preferred(5);
    table.update(SHARDS, Vec::new());
    assert_eq!(table.preferred(5), before);
}

/// Some shard with the given candidate as its preferred owner.
fn shard_preferring(table: &Table, candidate: u16) -> u16 {
    (0..SHARDS as u16)
        .find(|shard| table.preferred(*shard) == Some(address(candidate)))
        .expect("each owns some")
}

#[test]
fn owner_keeps_shard_until_preferred_owner_has_loaded_it() {
    let table = table(&[500; 3]);
    let shard = shard_preferring(&table, 2);
    let mut peers = stable_peers();
    peers.receive(STABLE_AT, heartbeat(2, 1));
    let owns =
        |peers: &Peers| View::new(address(1), STABLE_AT, peers, &table).should_own(shard, true);
    assert!(owns(&peers));
    peers.receive(
        STABLE_AT,
        Heartbeat {
            seq: 2,
            ..heartbeat_serving(2, shard)
        },
    );
    assert!(!owns(&peers));
}

#[test]
fn new_owner_takes_no_shard_before_view_is_stable() {
    let table = table(&[500; 3]);
    let shard = shard_preferring(&table, 1);
    let mut peers = Peers::default();
    peers.tick(STABLE_AT);
    assert!(!View::new(address(1), STABLE_AT, &peers, &table).should_own(shard, false));
    let peers = stable_peers();
    assert!(View::new(address(1), STABLE_AT, &peers, &table).should_own(shard, false));
    assert!(!View::new(address(2), STABLE_AT, &peers, &table).should_own(shard, false));
}

/// Guards against moving each shard twice in a rolling restart: a daemon that
/// has just restarted must not take a shard back from the peer that took it over
/// and keeps serving it.
#[test]
fn rolling_restart_moves_each_shard_once() {
    let table = table(&[500; 3]);
    let shard = shard_preferring(&table, 1);
    let staying_heartbeat = || heartbeat_serving(2, shard);
    let leaving_heartbeat = || Heartbeat {
        leaving: true,
        ..heartbeat_serving(2, shard)
    };
    let owns = |until: Duration, other: Option<Heartbeat>| {
        let mut peers = peers_after(until);
        if let Some(heartbeat) = other {
            peers.receive(until, heartbeat);
        }
        View::new(address(1), until, &peers, &table).should_own(shard, false)
    };
    assert!(owns(STABLE_AT, None));
    assert!(owns(STABLE_AT, Some(leaving_heartbeat())));
    assert!(!owns(STABLE_AT, Some(staying_heartbeat())));
    assert!(owns(TAKEOVER_MIN_UPTIME, Some(staying_heartbeat())));
}

#[test]
fn calls_go_to_the_daemon_that_serves_the_shard() {
    let table = table(&[500; 4]);
    let shard = shard_preferring(&table, 2);
    let mut peers = stable_peers();
    let target = |peers: &Peers, me: u16, owned: bool, now: Duration| {
        View::new(address(me), now, peers, &table).target(shard, owned)
    };
    // While no peer serves the shard, calls go to its preferred owner.
    assert_eq!(target(&peers, 1, false, STABLE_AT), Some(address(2)));
    assert_eq!(target(&peers, 2, false, STABLE_AT), None);
    // The previous owner serves it until the preferred owner does.
    peers.receive(STABLE_AT, heartbeat_serving(3, shard));
    assert_eq!(target(&peers, 1, false, STABLE_AT), Some(address(3)));
    assert_eq!(target(&peers, 2, false, STABLE_AT), Some(address(3)));
    assert_eq!(target(&peers, 3, true, STABLE_AT), None);
    peers.receive(STABLE_AT, heartbeat_serving(2, shard));
    assert_eq!(target(&peers, 1, false, STABLE_AT), Some(address(2)));
    // Calls do not go to dead peers.
    assert_eq!(target(&peers, 2, false, STABLE_AT + FAILURE_TIMEOUT), None);
}

#[test]
fn tokens_of_a_shard_are_kept_after_owner_dies() {
    let mut peers = stable_peers();
    assert_eq!(peers.unfinished_tokens(3, 7), None);
    peers.receive(STABLE_AT, heartbeat_serving(2, 3));
    assert_eq!(peers.unfinished_tokens(3, 7), Some(100));
    assert_eq!(peers.unfinished_tokens(3, 8), Some(0));
    peers.tick(STABLE_AT + FAILURE_TIMEOUT);
    assert_eq!(peers.unfinished_tokens(3, 7), Some(100));
}

#[test]
fn older_heartbeat_is_ignored() {
    let mut peers = Peers::default();
    peers.receive(Duration::ZERO, heartbeat(1, 5));
    let old = Heartbeat {
        leaving: true,
        ..heartbeat(1, 4)
    };
    peers.receive(Duration::ZERO, old);
    assert!(
        peers
            .live(Duration::ZERO)
            .all(|heartbeat| !heartbeat.leaving)
    );
}
