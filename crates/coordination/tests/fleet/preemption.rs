//! Preemption of batch runs: the rules one by one, and several of them in virtual time
//! at the load shapes of the deployments, with the slots of the replicas as engine model.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bitterncart_coordination::fleet::demand::{Demand, WINDOW};
use bitterncart_coordination::fleet::pool::{Class, Key, Load};
use bitterncart_coordination::fleet::preemption::{Reason, Rounds, Work};
use bitterncart_coordination::fleet::schedule::start_order;
use bitterncart_coordination::fleet::{Group, Pool, Queued, Replica, proportional_share};
use bitterncart_testing::cases;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng};

use crate::pool::replica;

const SERVICE: &str = "s";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Observes a load from one time to another, in steps of a poll.
fn observe(demand: &mut Demand, from: u64, to: u64, online: impl Fn(u64) -> u32) {
    for at in (from..to).step_by(25) {
        demand.observe(ms(at), online(at));
    }
}

/// Square wave of the callers: 3.4 s low, 2.4 s high.
fn wave(at: u64) -> u32 {
    if at % 5800 < 3400 { 20 } else { 100 }
}

cases! {
    /// Guards against starts at slots that the next peak takes, and against slots above
    /// the peak that stay empty.
    fn slot_is_wanted_at_the_next_peak(now: u64, level: f64, expected: Option<u64>) {
        let mut demand = Demand::default();
        observe(&mut demand, 0, now, wave);
        let wanted = demand.time_until(level).map(|time| time.as_millis() as u64);
        let is_near = match (wanted, expected) {
            (Some(wanted), Some(expected)) => wanted.abs_diff(expected) <= 300,
            (wanted, expected) => wanted == expected,
        };
        assert!(is_near, "{wanted:?}, expected {expected:?}");
    }
    trough_begins(12_000, 50.0, Some(3_000));
    trough_ends(14_500, 50.0, Some(500));
    in_the_peak(15_500, 50.0, Some(0));
    above_the_peak(15_500, 101.0, None);
    below_the_trough(12_000, 10.0, Some(0));
    nothing_known(0, 10.0, None);
}

/// Guards against a rhythm that is assumed after it ended.
#[test]
fn peak_is_forgotten_after_the_window() {
    let mut demand = Demand::default();
    observe(&mut demand, 0, 15_000, wave);
    assert!(demand.has_rhythm());
    let end = 15_000 + WINDOW.as_millis() as u64 + 200;
    observe(&mut demand, 15_000, end, |_| 20);
    assert!(!demand.has_rhythm());
    assert_eq!(demand.time_until(50.0), None);
}

/// Guards against a changed behaviour at steady load: random arrivals are no rhythm.
#[test]
fn steady_load_has_no_rhythm() {
    let (mut with_rhythm, mut checks) = (0, 0);
    for seed in 0..20 {
        for mean in [2.0, 10.0, 40.0, 200.0] {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut demand = Demand::default();
            let mut ends: VecDeque<u64> = VecDeque::new();
            for at in (0..40_000).step_by(25) {
                ends.retain(|end| *end > at);
                for _ in 0..poisson(&mut rng, mean * 0.05) {
                    ends.push_back(at + rng.random_range(300..700));
                }
                demand.observe(ms(at), ends.len() as u32);
                if at > 12_000 && at % 1000 == 0 {
                    checks += 1;
                    with_rhythm += u32::from(demand.has_rhythm());
                }
            }
        }
    }
    assert!(with_rhythm * 100 <= checks, "{with_rhythm} of {checks}");
}

cases! {
    fn item_starts(remaining: u64, due_at: u64, wanted_in: Option<u64>, starts: bool) {
        let work = Work { events: 0, remaining: ms(remaining), due_at: ms(due_at) };
        assert_eq!(work.may_start(ms(100_000), wanted_in.map(ms)), starts);
    }
    slot_is_not_wanted(2_000, 120_000, None, true);
    slot_is_free_until_the_end(2_000, 120_000, Some(2_000), true);
    slot_is_wanted_before(2_000, 120_000, Some(1_900), false);
    item_may_be_late(2_000, 104_000, Some(0), true);
    item_is_late(2_000, 90_000, Some(0), true);
}

/// Guards against cuts of items that are then late, and of those nearly done.
#[test]
fn run_that_loses_least_yields_first() {
    let now = ms(100_000);
    let work = |events, remaining, due_at| Work {
        events,
        remaining: ms(remaining),
        due_at: ms(due_at),
    };
    let in_order = [
        work(90, 900, 100_500),
        work(10, 2_000, 130_000),
        work(90, 900, 130_000),
        work(10, 2_000, 103_000),
    ];
    assert!(in_order.is_sorted_by_key(|work| work.yield_order(now)));
    assert!(work(130, 100, 130_000).ends_soon());
    assert!(!work(0, 0, 130_000).ends_soon());
}

/// Guards against several daemons that each end a run for the same request.
#[test]
fn shortage_is_shared_once_a_round() {
    let mut rounds = Rounds::default();
    assert_eq!(rounds.share(ms(0), 1, 4, |new| new / 2), 2);
    // Its own two runs have ended, those of others are not known to.
    assert_eq!(rounds.share(ms(25), 1, 2, |new| new), 0);
    assert_eq!(rounds.share(ms(50), 1, 3, |new| new), 1);
    assert_eq!(rounds.share(ms(200), 1, 2, |new| new), 2);
}

/// Number of arrivals at a mean.
fn poisson(rng: &mut SmallRng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Rule by which items start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Starts {
    /// At each slot beyond the headroom, as without a rhythm.
    Free,
    /// At slots that a quantile of the recent load leaves free.
    Below(f64),
    /// At slots that stay free for a time: the remaining time of the item, at most this.
    For(Duration),
    /// As in the daemon: at slots that stay free until the end of the item.
    Learned,
}

#[derive(Clone, Copy, Debug)]
struct Policy {
    starts: Starts,
    /// Whether shortages are shared in rounds and over a data centre, and items yield by
    /// their slack.
    yields: bool,
    /// Whether it also applies without a rhythm, as in deployments with customers.
    always: bool,
}

impl Policy {
    fn applies(self, pool: &Pool) -> bool {
        self.always || pool.has_rhythm(SERVICE)
    }
}

const TODAY: Policy = Policy {
    starts: Starts::Free,
    yields: false,
    always: false,
};

const CHOSEN: Policy = Policy {
    starts: Starts::Learned,
    yields: true,
    always: false,
};

/// Load of a day: factors of the online load, and of the arrivals of items.
#[derive(Clone, Copy, Debug)]
enum Shape {
    Wave,
    Bursts,
    JobBursts,
    Steady,
    /// Levels drawn anew at random times.
    Irregular,
}

const SHAPES: [Shape; 5] = [
    Shape::Wave,
    Shape::Bursts,
    Shape::JobBursts,
    Shape::Steady,
    Shape::Irregular,
];

const DAEMONS: usize = 6;
const REPLICAS: usize = 10;
const SLOTS: u32 = 8;
const TICK_MS: u64 = 25;
const HEARTBEAT_MS: u64 = 100;
const EVENT_MS: f64 = 20.0;
/// Time until the first event of a run.
const START_MS: f64 = 150.0;
const RUN_MS: u64 = 60_000;
/// Time from which the load is known.
const LEARNED_MS: u64 = 12_000;
const MEAN_ONLINE: f64 = 0.45 * (REPLICAS as f64 * SLOTS as f64);
const ITEMS_PER_S: f64 = 4.8;
/// Time from the submission of an item until it is due.
const DUE_MS: u64 = 20_000;

#[derive(Debug)]
struct Online {
    daemon: usize,
    arrived: u64,
    hold: u64,
}

#[derive(Debug)]
struct Item {
    daemon: usize,
    submitted: u64,
    needed: f64,
    events: f64,
    /// Replica where it runs, its key, and when its events begin.
    run: Option<(usize, Key, f64)>,
    finished: Option<u64>,
}

impl Item {
    fn work(&self) -> Work {
        // The estimate of a daemon that has measured runs; see `Estimator`.
        Work {
            events: self.events as u64,
            remaining: ms(((134.0 - self.events).max(1.0) * (EVENT_MS + START_MS / 134.0)) as u64),
            due_at: ms(self.submitted + DUE_MS),
        }
    }
}

#[derive(Debug, Default)]
struct Figures {
    cut: u32,
    /// Items submitted from [`LEARNED_MS`] on, and their cut runs.
    later_items: u32,
    later_cut: u32,
    finished: u32,
    submitted: u32,
    in_time: u32,
    online: u32,
    at_once: u32,
    waits: Vec<u64>,
    longest_unfinished: u64,
}

impl Figures {
    fn add(&mut self, other: Self) {
        self.cut += other.cut;
        self.later_items += other.later_items;
        self.later_cut += other.later_cut;
        self.finished += other.finished;
        self.submitted += other.submitted;
        self.in_time += other.in_time;
        self.online += other.online;
        self.at_once += other.at_once;
        self.waits.extend(other.waits);
        self.longest_unfinished = self.longest_unfinished.max(other.longest_unfinished);
    }

    fn cut_per_item(&self) -> f64 {
        f64::from(self.cut) / f64::from(self.finished.max(1))
    }

    fn later_cut_per_item(&self) -> f64 {
        f64::from(self.later_cut) / f64::from(self.later_items.max(1))
    }

    fn in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted.max(1))
    }

    fn at_once(&self) -> f64 {
        f64::from(self.at_once) / f64::from(self.online.max(1))
    }

    fn wait_p99(&mut self) -> u64 {
        self.waits.sort_unstable();
        self.waits[self.waits.len() * 99 / 100]
    }
}

struct Fleet {
    policy: Policy,
    rng: SmallRng,
    /// Randomness of the load, which is the same for each policy.
    load: SmallRng,
    pools: Vec<Pool>,
    /// Slots in use at the replicas, with those of runs that are ending.
    used: Vec<u32>,
    /// Slots that become free, and when.
    ending: Vec<(u64, usize)>,
    /// Online requests at replicas: end, daemon, replica, key.
    served: Vec<(u64, usize, usize, Key)>,
    queue: VecDeque<Online>,
    items: Vec<Item>,
    figures: Figures,
}

impl Fleet {
    fn new(policy: Policy, seed: u64) -> Self {
        let pool = |daemon: usize| {
            let mut pool = Pool::new("here".into(), format!("d-{daemon}").into());
            for n in 0..REPLICAS {
                pool.upsert(Replica {
                    data_centre: "here".into(),
                    ..replica(n, SLOTS)
                });
            }
            pool
        };
        Self {
            policy,
            rng: SmallRng::seed_from_u64(!seed),
            load: SmallRng::seed_from_u64(seed),
            pools: (0..DAEMONS).map(pool).collect(),
            used: vec![0; REPLICAS],
            ending: Vec::new(),
            served: Vec::new(),
            queue: VecDeque::new(),
            items: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn run(mut self, shape: Shape) -> Figures {
        let mut level = 1.0;
        for at in (0..RUN_MS).step_by(TICK_MS as usize) {
            self.end_requests(at);
            self.progress(at);
            let (online, items) = match shape {
                Shape::Wave if at % 5800 < 3400 => (0.38, 1.0),
                Shape::Wave => (1.87, 1.0),
                Shape::Bursts if at % 10_000 < 2000 => (1.5, 1.0),
                Shape::Bursts => (0.87, 1.0),
                Shape::JobBursts if at % 12_000 < 1000 => (1.0, 6.0),
                Shape::JobBursts => (1.0, 0.55),
                Shape::Steady => (1.0, 1.0),
                Shape::Irregular => {
                    if self.load.random::<f64>() < TICK_MS as f64 / 2500.0 {
                        level = self.load.random_range(0.3..1.8);
                    }
                    (level, 1.0)
                }
            };
            let step_s = TICK_MS as f64 / 1000.0;
            for _ in 0..poisson(&mut self.load, online * MEAN_ONLINE / 0.5 * step_s) {
                let request = Online {
                    daemon: self.load.random_range(0..DAEMONS),
                    arrived: at,
                    hold: self.load.random_range(300..700),
                };
                self.queue.push_back(request);
            }
            // The last items have time to finish.
            if at + DUE_MS < RUN_MS {
                for _ in 0..poisson(&mut self.load, items * ITEMS_PER_S * step_s) {
                    let needed = f64::from(self.load.random_range(128..=139));
                    self.items.push(Item {
                        daemon: self.load.random_range(0..DAEMONS),
                        submitted: at,
                        needed,
                        events: 0.0,
                        run: None,
                        finished: None,
                    });
                }
            }
            self.serve_queue(at);
            if at % HEARTBEAT_MS == 0 {
                self.exchange_load();
            }
            for daemon in 0..DAEMONS {
                self.pools[daemon].observe_online(ms(at));
                self.preempt(at, daemon);
            }
            if at % (3 * TICK_MS) == 0 {
                for daemon in 0..DAEMONS {
                    self.start_items(at, daemon);
                }
            }
        }
        self.figures.submitted = self.items.len() as u32;
        for item in &self.items {
            let end = item.finished.unwrap_or(RUN_MS);
            self.figures.finished += u32::from(item.finished.is_some());
            self.figures.later_items += u32::from(item.submitted >= LEARNED_MS);
            let in_time = item.finished.is_some() && end <= item.submitted + DUE_MS;
            self.figures.in_time += u32::from(in_time);
            if item.finished.is_none() {
                let waits = RUN_MS - item.submitted;
                self.figures.longest_unfinished = self.figures.longest_unfinished.max(waits);
            }
        }
        self.figures
    }

    fn end_requests(&mut self, at: u64) {
        let used = &mut self.used;
        self.ending.retain(|(end, replica)| {
            if *end <= at {
                used[*replica] -= 1;
            }
            *end > at
        });
        let pools = &mut self.pools;
        self.served.retain(|(end, daemon, replica, key)| {
            if *end <= at {
                used[*replica] -= 1;
                pools[*daemon].release(*key, Class::Online);
            }
            *end > at
        });
    }

    fn progress(&mut self, at: u64) {
        for item in &mut self.items {
            let Some((replica, key, begins)) = item.run else {
                continue;
            };
            if begins <= at as f64 {
                item.events += TICK_MS as f64 / EVENT_MS;
            }
            if item.events >= item.needed {
                item.run = None;
                item.finished = Some(at);
                self.used[replica] -= 1;
                self.pools[item.daemon].release(key, Class::Batch);
            }
        }
    }

    /// Whether a replica grants a slot; the daemon learns if it does not.
    fn reserve(&mut self, at: u64, daemon: usize, key: Key, replica: usize, class: Class) -> bool {
        if self.used[replica] < SLOTS {
            self.used[replica] += 1;
            return true;
        }
        self.pools[daemon].release(key, class);
        self.pools[daemon].record_full(ms(at), key);
        false
    }

    fn serve_queue(&mut self, at: u64) {
        for request in std::mem::take(&mut self.queue) {
            let daemon = request.daemon;
            let mut full = Vec::new();
            let mut is_served = false;
            for _ in 0..3 {
                let rng = &mut self.rng;
                let selection =
                    self.pools[daemon].select(ms(at), SERVICE, &[], &full, || rng.random());
                let Some(selection) = selection else { break };
                let replica = index(&selection.id);
                if self.reserve(at, daemon, selection.key, replica, Class::Online) {
                    self.served
                        .push((at + request.hold, daemon, replica, selection.key));
                    self.figures.online += 1;
                    self.figures.at_once += u32::from(request.arrived == at);
                    self.figures.waits.push(at - request.arrived);
                    is_served = true;
                    break;
                }
                full.push(selection.key);
            }
            if !is_served {
                self.queue.push_back(request);
            }
        }
    }

    fn exchange_load(&mut self) {
        let mut all: HashMap<u32, Load> = HashMap::new();
        let loads: Vec<HashMap<u32, Load>> = self
            .pools
            .iter()
            .map(|pool| pool.own_load().collect())
            .collect();
        for (replica, load) in loads.iter().flatten() {
            let sum = all.entry(*replica).or_default();
            sum.online += load.online;
            sum.batch += load.batch;
        }
        let group = Group::new(SERVICE, "here");
        let requests = self.queue.len() as u16;
        for (pool, own) in self.pools.iter_mut().zip(loads) {
            pool.set_peer_load(|replica| {
                let all = all.get(&replica).copied().unwrap_or_default();
                let own = own.get(&replica).copied().unwrap_or_default();
                Load {
                    online: all.online - own.online,
                    batch: all.batch - own.batch,
                }
            });
            pool.set_backlog([Queued { group, requests }]);
        }
    }

    fn preempt(&mut self, at: u64, daemon: usize) {
        let rng = &mut self.rng;
        let pool = &mut self.pools[daemon];
        let policy = self.policy;
        let yields = pool.yields(
            ms(at),
            |pool, _| policy.yields && policy.applies(pool),
            || rng.random(),
        );
        let by_slack = policy.yields && policy.applies(pool);
        for (replicas, count, reason) in yields {
            assert!(matches!(reason, Reason::Headroom | Reason::Backlog));
            for _ in 0..count {
                let order = |item: &Item| {
                    let work = item.work();
                    if by_slack {
                        work.yield_order(ms(at))
                    } else {
                        let is_late = ms(at) + work.remaining.mul_f64(1.5) > work.due_at;
                        (u8::from(!is_late), work.events)
                    }
                };
                let victim = self
                    .items
                    .iter_mut()
                    .filter(|item| item.daemon == daemon)
                    .filter(|item| item.run.is_some_and(|(_, key, _)| replicas.contains(&key)))
                    .min_by_key(|item| order(item));
                let Some(victim) = victim else { break };
                if by_slack && victim.work().ends_soon() {
                    continue;
                }
                let Some((replica, key, _)) = victim.run.take() else {
                    break;
                };
                pool.release(key, Class::Batch);
                self.ending.push((at + 50, replica));
                self.figures.cut += 1;
                self.figures.later_cut += u32::from(victim.submitted >= LEARNED_MS);
            }
        }
    }

    /// Time until online requests want one more slot, as the rule for starts sees it.
    fn wanted_in(&self, at: u64, daemon: usize, work: Work, others: u32) -> Option<Duration> {
        let pool = &self.pools[daemon];
        if !self.policy.applies(pool) {
            return None;
        }
        let wanted = pool.wanted_in(ms(at), SERVICE, others);
        match self.policy.starts {
            Starts::Free => None,
            Starts::Learned => wanted,
            Starts::For(time) => wanted.map(|wanted| {
                if wanted >= time {
                    work.remaining.max(wanted)
                } else {
                    wanted
                }
            }),
            Starts::Below(quantile) => pool
                .is_wanted_at(ms(at), SERVICE, others, quantile)
                .then_some(Duration::ZERO),
        }
    }

    fn start_items(&mut self, at: u64, daemon: usize) {
        let now = ms(at);
        let is_startable = |item: &Item| item.run.is_none() && item.finished.is_none();
        let waiting = |daemon: usize| {
            let of_daemon = self.items.iter().filter(|item| item.daemon == daemon);
            of_daemon.filter(|item| is_startable(item)).count() as u32
        };
        let (own, all) = (waiting(daemon), (0..DAEMONS).map(waiting).sum::<u32>());
        let mut order: Vec<usize> = (0..self.items.len())
            .filter(|n| self.items[*n].daemon == daemon && is_startable(&self.items[*n]))
            .collect();
        order.sort_by_key(|n| {
            let item = &self.items[*n];
            let age = ms(at - item.submitted);
            start_order(age, item.work().remaining.mul_f64(1.5), ms(DUE_MS))
        });
        let pool = &self.pools[daemon];
        let reserve = pool.online_headroom(SERVICE).max(1);
        let free = pool.free_batch_slots(now, SERVICE, reserve);
        let mut budget = proportional_share(free, own, all, self.rng.random());
        let mut others = 0;
        for n in order {
            let work = self.items[n].work();
            // Other daemons start their share of the items meanwhile.
            let ahead = others * (all - own) / own.max(1);
            let wanted_in = self.wanted_in(at, daemon, work, ahead);
            if budget == 0 || !work.may_start(now, wanted_in) {
                continue;
            }
            let random = self.rng.random();
            let selection = self.pools[daemon].select_batch(now, SERVICE, reserve, random);
            let Some(selection) = selection else { continue };
            budget -= 1;
            let replica = index(&selection.id);
            if self.reserve(at, daemon, selection.key, replica, Class::Batch) {
                others += 1;
                self.items[n].run = Some((replica, selection.key, at as f64 + START_MS));
            }
        }
    }
}

fn index(id: &str) -> usize {
    let number = id.strip_prefix("i-").and_then(|n| n.parse().ok());
    number.expect("the id of a replica of the test")
}

fn figures(policy: Policy, shape: Shape, seeds: u64) -> Figures {
    let mut figures = Figures::default();
    for seed in 0..seeds {
        figures.add(Fleet::new(policy, seed).run(shape));
    }
    figures
}

fn policies() -> [(&'static str, Policy); 11] {
    let policy = |starts, yields| Policy {
        starts,
        yields,
        always: false,
    };
    let always = |policy| Policy {
        always: true,
        ..policy
    };
    [
        ("today", TODAY),
        ("yields only", policy(Starts::Free, true)),
        ("yields only, always", always(policy(Starts::Free, true))),
        ("starts only", policy(Starts::Learned, false)),
        ("below max", policy(Starts::Below(1.0), true)),
        ("below 0.9", policy(Starts::Below(0.9), true)),
        ("for 1 s", policy(Starts::For(ms(1000)), true)),
        ("for 2 s", policy(Starts::For(ms(2000)), true)),
        (
            "for 2 s, always",
            always(policy(Starts::For(ms(2000)), true)),
        ),
        ("learned", CHOSEN),
        ("learned, always", always(CHOSEN)),
    ]
}

/// Prints the comparison of `docs/design/preemption.md`:
/// `cargo test -p bitterncart-coordination --test fleet compare_policies -- --ignored --nocapture`.
#[test]
#[ignore = "prints a table; the other tests check the figures of the chosen policy"]
fn compare_policies() {
    println!("| load | policy | cut per item | after 12 s | in time | at once | p99 wait, ms |");
    println!("|---|---|---|---|---|---|---|");
    for shape in SHAPES {
        for (name, policy) in policies() {
            let mut figures = figures(policy, shape, 8);
            println!(
                "| {shape:?} | {name} | {:.2} | {:.2} | {:.3} | {:.3} | {} |",
                figures.cut_per_item(),
                figures.later_cut_per_item(),
                figures.in_time(),
                figures.at_once(),
                figures.wait_p99(),
            );
        }
    }
}

cases! {
    /// Guards against a policy that cuts as many runs as fixed headroom does, or pays for
    /// fewer cuts with late items or waiting callers.
    fn fewer_runs_are_cut(shape: Shape, most: f64) {
        let (before, after) = (figures(TODAY, shape, 4), figures(CHOSEN, shape, 4));
        let ratio = after.cut_per_item() / before.cut_per_item();
        assert!(ratio <= most, "{ratio} of the cut runs");
        assert!(after.in_time() >= before.in_time() - 0.005, "{}", after.in_time());
        assert!(after.at_once() >= before.at_once() - 0.01, "{}", after.at_once());
    }
    fewer_at_the_wave(Shape::Wave, 0.75);
    fewer_at_irregular_load(Shape::Irregular, 0.75);
}

/// Guards against a deployment with steady load that is served otherwise than before.
#[test]
fn steady_load_is_served_as_before() {
    let (before, after) = (
        figures(TODAY, Shape::Steady, 4),
        figures(CHOSEN, Shape::Steady, 4),
    );
    assert_eq!(before.waits, after.waits);
    assert_eq!((before.cut, before.in_time), (after.cut, after.in_time));
}

proptest! {
    /// Guards against items that wait for ever for a slot that stays free.
    #[test]
    fn item_starts_before_it_is_late(
        events in 0_u64..1000,
        remaining in 0_u64..60_000,
        due_at in 0_u64..1_000_000,
        wanted_in in option::of(0_u64..60_000),
    ) {
        let work = Work { events, remaining: ms(remaining), due_at: ms(due_at) };
        let latest = ms(due_at.saturating_sub(remaining));
        prop_assert!(work.may_start(latest + ms(1), wanted_in.map(ms)));
        prop_assert!(work.may_start(Duration::ZERO, None));
    }

    /// Guards against a slot that stays empty although no caller is expected there: a
    /// load is forgotten after the window, whatever its pattern was.
    #[test]
    fn slot_that_is_no_longer_wanted_is_used(
        levels in vec(0_u32..200, 1..40),
        step in 25_u64..3000,
        level in 1_u32..200,
    ) {
        let mut demand = Demand::default();
        let end = step * levels.len() as u64;
        observe(&mut demand, 0, end, |at| levels[(at / step) as usize]);
        let quiet = end + WINDOW.as_millis() as u64 + 200;
        observe(&mut demand, end, quiet, |_| 0);
        prop_assert_eq!(demand.time_until(f64::from(level)), None);
        prop_assert!(!demand.has_rhythm());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(10))]
    /// Guards against runs that are cut again and again and never end.
    #[test]
    fn each_item_finishes(seed in 0_u64..1000, shape in 0_usize..5, always: bool) {
        let policy = Policy { always, ..CHOSEN };
        let figures = Fleet::new(policy, seed).run(SHAPES[shape]);
        prop_assert_eq!(figures.finished, figures.submitted);
        prop_assert_eq!(figures.longest_unfinished, 0);
    }
}
