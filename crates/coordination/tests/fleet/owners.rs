//! Each shard has one owner in a settled fleet, whoever comes and goes.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::owners::TAKEOVER_MIN_UPTIME;
use bitterncart_coordination::fleet::peers::{FAILURE_TIMEOUT, Owned};
use bitterncart_coordination::fleet::{Member, Notice, Owners, Peers, View};
use bitterncart_testing::cases;

pub(crate) const TICK: Duration = Duration::from_millis(50);
pub(crate) const LATER: Duration = Duration::from_secs(10);

const SHARDS: usize = 64;

pub(crate) fn address(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

pub(crate) fn notice(from: u16, seq: u64) -> Notice {
    Notice {
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
    }
}

/// Peers of a daemon that has listened for a while.
pub(crate) fn settled() -> Peers {
    listened(LATER)
}

/// Peers of a daemon that has listened until a time.
fn listened(until: Duration) -> Peers {
    let mut peers = Peers::default();
    let mut now = Duration::ZERO;
    while now <= until {
        peers.look(now);
        now += TICK;
    }
    peers
}

fn owners(capacities: &[u32]) -> Owners {
    let member = |(n, capacity): (usize, &u32)| Member {
        address: address(n as u16),
        capacity: *capacity,
    };
    let mut owners = Owners::default();
    owners.update(SHARDS, capacities.iter().enumerate().map(member).collect());
    owners
}

/// Shards that each member owns.
fn counts(owners: &Owners, members: usize) -> Vec<usize> {
    let count = |n: usize| {
        let mine = |shard: &u16| owners.best(*shard) == Some(address(n as u16));
        (0..SHARDS as u16).filter(mine).count()
    };
    (0..members).map(count).collect()
}

fn serves(from: u16, shard: u16) -> Notice {
    Notice {
        shards: vec![Owned {
            shard,
            tokens: vec![(7, 100)],
        }],
        ..notice(from, 1)
    }
}

cases! {
    /// The shards lie with the instances that can carry them.
    fn shards_lie_with_the_able(strong: usize, weak: usize, able: std::ops::Range<usize>, most: usize) {
        let mut capacities = vec![500; strong];
        capacities.extend(vec![120; weak]);
        let counts = counts(&owners(&capacities), strong + weak);
        assert_eq!(counts.iter().sum::<usize>(), SHARDS);
        let others = counts.iter().enumerate().filter(|(n, _)| !able.contains(n));
        assert!(others.into_iter().all(|(_, count)| *count == 0), "{counts:?}");
        assert!(counts.iter().all(|count| *count <= most), "{counts:?}");
    }
    all_alike(12, 0, 0..12, 12);
    many_weak_beside_some_strong(17, 54, 0..17, 10);
    one_strong_is_not_left_alone(1, 99, 0..100, 12);
}

#[test]
fn loss_of_a_member_moves_only_its_shards() {
    let (all, rest) = (owners(&[500; 12]), owners(&[500; 11]));
    for shard in 0..SHARDS as u16 {
        if all.best(shard) != Some(address(11)) {
            assert_eq!(all.best(shard), rest.best(shard));
        }
    }
}

#[test]
fn who_leaves_cannot_write_or_is_silent_owns_nothing() {
    let mut peers = settled();
    peers.heard(LATER - FAILURE_TIMEOUT, notice(1, 1));
    peers.heard(
        LATER,
        Notice {
            leaving: true,
            ..notice(2, 1)
        },
    );
    peers.heard(
        LATER,
        Notice {
            writes: false,
            ..notice(3, 1)
        },
    );
    peers.heard(LATER, notice(4, 1));
    let members = Member::among(&peers, LATER);
    let addresses: Vec<SocketAddr> = members.iter().map(|m| m.address).collect();
    assert_eq!(addresses, [address(4)]);
}

#[test]
fn nobody_who_can_write_leaves_the_table_as_it_was() {
    let mut owners = owners(&[500; 3]);
    let before = owners.best(5);
    owners.update(SHARDS, Vec::new());
    assert_eq!(owners.best(5), before);
}

/// Shard whose best owner is a member.
fn shard_of(owners: &Owners, member: u16) -> u16 {
    (0..SHARDS as u16)
        .find(|shard| owners.best(*shard) == Some(address(member)))
        .expect("each owns some")
}

#[test]
fn owner_keeps_a_shard_until_the_better_one_has_loaded_it() {
    let owners = owners(&[500; 3]);
    let shard = shard_of(&owners, 2);
    let mut peers = settled();
    peers.heard(LATER, notice(2, 1));
    let owns = |peers: &Peers| View::new(address(1), LATER, peers, &owners).owns(shard, true);
    assert!(owns(&peers));
    peers.heard(
        LATER,
        Notice {
            seq: 2,
            ..serves(2, shard)
        },
    );
    assert!(!owns(&peers));
}

#[test]
fn new_owner_listens_before_it_takes_a_shard() {
    let owners = owners(&[500; 3]);
    let shard = shard_of(&owners, 1);
    let mut peers = Peers::default();
    peers.look(LATER);
    assert!(!View::new(address(1), LATER, &peers, &owners).owns(shard, false));
    let peers = settled();
    assert!(View::new(address(1), LATER, &peers, &owners).owns(shard, false));
    assert!(!View::new(address(2), LATER, &peers, &owners).owns(shard, false));
}

/// Instances restart one after the other; each shard moves once, not twice.
#[test]
fn series_of_restarts_leaves_shards_where_they_went() {
    let owners = owners(&[500; 3]);
    let shard = shard_of(&owners, 1);
    let stays = || serves(2, shard);
    let leaves = || Notice {
        leaving: true,
        ..serves(2, shard)
    };
    let owns = |until: Duration, other: Option<Notice>| {
        let mut peers = listened(until);
        if let Some(notice) = other {
            peers.heard(until, notice);
        }
        View::new(address(1), until, &peers, &owners).owns(shard, false)
    };
    assert!(owns(LATER, None));
    assert!(owns(LATER, Some(leaves())));
    assert!(!owns(LATER, Some(stays())));
    assert!(owns(TAKEOVER_MIN_UPTIME, Some(stays())));
}

#[test]
fn calls_go_to_who_serves_the_shard() {
    let owners = owners(&[500; 4]);
    let shard = shard_of(&owners, 2);
    let mut peers = settled();
    let target = |peers: &Peers, me: u16, owned: bool, now: Duration| {
        View::new(address(me), now, peers, &owners).target(shard, owned)
    };
    // Nobody serves it: the best one is about to.
    assert_eq!(target(&peers, 1, false, LATER), Some(address(2)));
    assert_eq!(target(&peers, 2, false, LATER), None);
    // The old owner serves it until the best one does.
    peers.heard(LATER, serves(3, shard));
    assert_eq!(target(&peers, 1, false, LATER), Some(address(3)));
    assert_eq!(target(&peers, 2, false, LATER), Some(address(3)));
    assert_eq!(target(&peers, 3, true, LATER), None);
    peers.heard(LATER, serves(2, shard));
    assert_eq!(target(&peers, 1, false, LATER), Some(address(2)));
    // Nobody is asked who fell silent.
    assert_eq!(target(&peers, 2, false, LATER + FAILURE_TIMEOUT), None);
}

#[test]
fn tokens_of_a_shard_outlast_its_owner() {
    let mut peers = settled();
    assert_eq!(peers.tokens(3, 7), None);
    peers.heard(LATER, serves(2, 3));
    assert_eq!(peers.tokens(3, 7), Some(100));
    assert_eq!(peers.tokens(3, 8), Some(0));
    peers.look(LATER + FAILURE_TIMEOUT);
    assert_eq!(peers.tokens(3, 7), Some(100));
}

#[test]
fn older_notice_changes_nothing() {
    let mut peers = Peers::default();
    peers.heard(Duration::ZERO, notice(1, 5));
    let old = Notice {
        leaving: true,
        ..notice(1, 4)
    };
    peers.heard(Duration::ZERO, old);
    assert!(peers.live(Duration::ZERO).all(|notice| !notice.leaving));
}
