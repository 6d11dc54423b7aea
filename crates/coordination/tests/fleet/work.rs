//! The owner of a shard starts its items, but none that a peer still runs.

use std::time::Duration;

use bitterncart_coordination::fleet::peers::FAILURE_TIMEOUT;
use bitterncart_coordination::fleet::work::rank;
use bitterncart_coordination::fleet::{Notice, Pace, Peers, Work, share};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::owners::{LATER, TICK, notice, settled};

const ITEM: u32 = 9;

fn may_start(peers: &Peers, now: Duration) -> bool {
    Work::new(now, peers).may_start(ITEM, now)
}

#[test]
fn item_that_a_peer_runs_is_left_to_it() {
    let runs = Notice {
        running: vec![ITEM],
        ..notice(3, 1)
    };
    let mut peers = settled();
    assert!(may_start(&peers, LATER));
    peers.heard(LATER, runs);
    assert!(!may_start(&peers, LATER));
    // Not after the peer fell silent.
    let mut now = LATER;
    while now < LATER + FAILURE_TIMEOUT {
        now += TICK;
        peers.look(now);
    }
    assert!(may_start(&peers, now));
}

/// A peer ran the item until now, so the ledger may list it since.
#[test]
fn item_that_a_peer_ran_waits_for_the_ledger() {
    let mut peers = settled();
    let runs = Notice {
        running: vec![ITEM],
        ..notice(3, 1)
    };
    peers.heard(LATER, runs);
    peers.heard(LATER + TICK, notice(3, 2));
    let work = Work::new(LATER + TICK, &peers);
    assert!(!work.may_start(ITEM, LATER));
    assert!(work.may_start(ITEM, LATER + 2 * TICK));
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

/// Items that are done in time of those that come in two minutes, if there is
/// work for `load` times the places.
fn in_time(
    load: f64,
    order: impl Fn(Duration, Duration) -> (bool, std::cmp::Reverse<Duration>),
) -> f64 {
    const PLACES: usize = 40;
    const TAKES: Duration = Duration::from_secs(5);
    let gap = TAKES.div_f64(PLACES as f64 * load);
    let (mut waiting, mut running): (Vec<Duration>, Vec<(Duration, Duration)>) = Default::default();
    let (mut now, mut next, mut came, mut good) = (Duration::ZERO, Duration::ZERO, 0, 0);
    while now < Duration::from_secs(120) {
        while next <= now {
            waiting.push(next);
            next += gap;
            came += 1;
        }
        let done = running.iter().filter(|(ends, _)| *ends <= now);
        good += done.filter(|(ends, born)| *ends - *born <= DUE).count();
        running.retain(|(ends, _)| *ends > now);
        waiting.sort_by_key(|born| order(now - *born, TAKES));
        let free = (PLACES - running.len()).min(waiting.len());
        running.extend(waiting.drain(..free).map(|born| (now + TAKES, born)));
        now += TICK;
    }
    f64::from(good as u32) / f64::from(came)
}

const DUE: Duration = Duration::from_secs(18);

/// More items come than there are places for, all day.
#[test]
fn overload_leaves_most_items_in_time() {
    let share = in_time(1.3, |age, left| rank(age, left, DUE));
    assert!(share > 0.6, "{share} in time");
    let oldest_first = in_time(1.3, |age, _| (false, std::cmp::Reverse(age)));
    assert!(
        share > 1.5 * oldest_first,
        "{share}, oldest first {oldest_first}"
    );
}

#[test]
fn pace_is_what_runs_took() {
    let mut pace = Pace::default();
    assert_eq!(pace.left(0), Duration::ZERO);
    pace.ran(50, Duration::from_secs(1));
    pace.finished(100);
    // Half as much again as 100 events of 20 ms, less what is done.
    assert_eq!(pace.left(0).as_millis(), 3000);
    assert_eq!(pace.left(50).as_millis(), 1500);
    assert_eq!(pace.left(200).as_millis(), 30);
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
    assert!(!may_start(&peers, LATER));
}

/// A daemon that stood still believes everybody silent when it wakes.
#[test]
fn daemon_that_wakes_listens_before_it_starts_items() {
    let mut peers = settled();
    let wakes = LATER + Duration::from_secs(4);
    assert!(!may_start(&peers, wakes));
    peers.look(wakes);
    assert!(!may_start(&peers, wakes));
    let mut now = wakes;
    while now < wakes + FAILURE_TIMEOUT {
        now += TICK;
        peers.look(now);
    }
    assert!(may_start(&peers, now));
}
