//! Each item has one daemon that runs it, and an heir when that one is gone.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::peers::SILENCE;
use bitterncart_coordination::fleet::{Item, Notice, Peers, Work, share};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(50);
const LATER: Duration = Duration::from_secs(10);

fn address(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn notice(from: u16, seq: u64) -> Notice {
    Notice {
        from: address(from),
        born_us: 1,
        seq,
        data_centre: "here".into(),
        period_ms: 50,
        leaving: false,
        writes: true,
        waiting: 0,
        load: Vec::new(),
        running: Vec::new(),
    }
}

fn item(owner: u16) -> Item<'static> {
    Item {
        job: "job",
        owner: address(owner),
        short: 9,
    }
}

/// Peers of a daemon that has listened for a while at time 0.
fn settled() -> Peers {
    let mut peers = Peers::default();
    let mut now = Duration::ZERO;
    while now <= LATER {
        peers.look(now);
        now += TICK;
    }
    peers
}

/// Daemons of `all` that would start the item, each hearing all `alive` others.
fn starters(all: &[u16], alive: &[Notice], now: Duration, item: &Item<'_>) -> Vec<u16> {
    let starts = |me: u16| {
        let mut peers = settled();
        for notice in alive.iter().filter(|n| n.from != address(me)) {
            peers.heard(LATER, notice.clone());
        }
        Work::new(address(me), now, &peers).is_mine(item)
    };
    all.iter().copied().filter(|me| starts(*me)).collect()
}

#[test]
fn owner_runs_its_items() {
    let alive = [notice(1, 1), notice(2, 1), notice(3, 1)];
    assert_eq!(starters(&[1, 2, 3], &alive, LATER, &item(2)), [2]);
}

#[test]
fn one_heir_runs_the_items_of_a_dead_owner() {
    let alive = [notice(1, 1), notice(2, 1), notice(3, 1)];
    assert_eq!(starters(&[1, 2, 3], &alive, LATER, &item(7)).len(), 1);
}

#[test]
fn owner_that_leaves_or_cannot_write_has_an_heir() {
    let leaving = Notice {
        leaving: true,
        ..notice(2, 1)
    };
    let alive = [notice(1, 1), leaving];
    assert_eq!(starters(&[1], &alive, LATER, &item(2)), [1]);
    let cut_off = Notice {
        writes: false,
        ..notice(2, 1)
    };
    let alive = [notice(1, 1), cut_off];
    assert_eq!(starters(&[1], &alive, LATER, &item(2)), [1]);
}

#[test]
fn item_that_a_peer_runs_is_left_to_it() {
    let runs = Notice {
        running: vec![9],
        ..notice(3, 1)
    };
    let alive = [notice(1, 1), runs];
    assert_eq!(starters(&[1], &alive, LATER, &item(1)), [] as [u16; 0]);
    // Not after the peer fell silent.
    assert_eq!(starters(&[1], &alive, LATER + SILENCE, &item(1)), [1]);
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
    assert!(peers.is_serving(Duration::ZERO, &address(1)));
}

/// A backlog at all daemons meets free places that all see at the same time:
/// the places fill within a few looks and are hardly ever overrun.
#[test]
fn backlog_at_all_daemons_fills_the_places_without_overrun() {
    const DAEMONS: u32 = 12;
    const PLACES: u32 = 84;
    let mut random = SmallRng::seed_from_u64(7);
    let mut waiting = [20_u32; DAEMONS as usize];
    let (mut used, mut overrun) = (0_u32, 0_u32);
    for _ in 0..8 {
        let (free, all) = (PLACES.saturating_sub(used), waiting.iter().sum());
        for mine in &mut waiting {
            let starts = share(free, *mine, all, random.random()).min(*mine);
            *mine -= starts;
            used += starts;
        }
        overrun = overrun.max(used.saturating_sub(PLACES));
    }
    assert!(used >= PLACES - 1, "{used} of {PLACES} places used");
    assert!(overrun <= DAEMONS / 2, "{overrun} over the places");
}

/// A burst puts some items over the places; all daemons see it together.
#[test]
fn burst_makes_no_more_items_give_way_than_it_needs() {
    const DAEMONS: u32 = 12;
    let mut random = SmallRng::seed_from_u64(7);
    let gave: u32 = (0..100)
        .map(|_| {
            (0..DAEMONS)
                .map(|_| share(3, 1, DAEMONS, random.random()))
                .sum::<u32>()
        })
        .sum();
    assert!((250..350).contains(&gave), "{gave} of 300 gave way");
}

/// All daemons start at the same time and have not heard one another yet.
#[test]
fn cold_start_runs_no_item_at_several_daemons() {
    let mut peers = Peers::default();
    peers.look(LATER);
    let others = Work::new(address(1), LATER, &peers);
    assert!(!others.is_mine(&item(7)));
    assert!(others.is_mine(&item(1)));
}

/// A daemon that stood still believes everybody silent when it wakes.
#[test]
fn daemon_that_wakes_listens_before_it_inherits() {
    let mut peers = settled();
    let wakes = LATER + Duration::from_secs(4);
    assert!(!Work::new(address(1), wakes, &peers).is_mine(&item(7)));
    peers.look(wakes);
    assert!(!Work::new(address(1), wakes, &peers).is_mine(&item(7)));
    let mut now = wakes;
    while now < wakes + SILENCE {
        now += TICK;
        peers.look(now);
    }
    assert!(Work::new(address(1), now, &peers).is_mine(&item(7)));
}
