//! Quotas of customers: what all daemons together grant in virtual time while
//! machines and links fail.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::RequestQuota;
use bitterncart_coordination::fleet::peers::{FAILURE_TIMEOUT, heartbeat_period};
use bitterncart_coordination::fleet::request_quota::{
    Blocks, Buckets, Fleet, LEASE, Limit, Message, Part, rank,
};
use bitterncart_testing::cases;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MAX_LOST: Duration = Duration::from_secs(5);
const WINDOW_MS: u64 = 5_000;

/// Mean rate of a customer; its limit is 1.6 times as much, its burst a second of it.
const MEAN_PER_S: f64 = 6.6;

/// Time before the load begins, in which the daemons hear each other.
const WARM_UP_MS: u64 = 4_000;

/// Time at which the failure happens.
const FAILURE_MS: u64 = 10_000;

const END_MS: u64 = 26_000;

/// Length of a step of the simulation, and of the loop that sends heartbeats.
const STEP_MS: u64 = 10;
const CHECK_MS: u64 = 50;
const UPDATE_MS: u64 = 200;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000))
}

/// Fewer runs of large fleets, which take seconds each.
fn seeds(daemons: usize, customers: usize) -> u64 {
    match (daemons, customers) {
        (101.., _) => 1,
        (_, 0..20) => 12,
        _ => 3,
    }
}

/// What fails at [`FAILURE_MS`].
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    None,
    /// A third of the daemons hears the others no more until the given time has passed.
    /// That third does not reach the store.
    Partition(u64),
    /// The holder of the first customer is suspended for the given time.
    FrozenHolder(u64),
    /// Half of the daemons ends for good.
    HalfLost,
    /// All daemons begin anew.
    AllRestart,
    /// The holder of the first customer ends every second, for four seconds.
    HoldersChange,
    /// Half of all datagrams is lost.
    LossyNetwork,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    daemons: usize,
    customers: usize,
    /// Mean rate of each customer.
    mean_per_s: f64,
    /// Load of the first customer as a multiple of its mean.
    load: f64,
    failure: Failure,
}

struct Daemon {
    fleet: Fleet,
    buckets: Buckets,
    local: Buckets,
    blocks: Blocks,
    heard: Vec<u64>,
    live: Vec<bool>,
    frozen_until: u64,
    is_dead: bool,
    /// Time of the last confirmation by the store.
    confirmed_at: u64,
    messages: u64,
    bytes: u64,
}

impl Daemon {
    fn new(number: usize, daemons: usize, now: u64) -> Self {
        Self {
            fleet: Fleet::new(address(number)),
            buckets: Buckets::default(),
            local: Buckets::default(),
            blocks: Blocks::default(),
            heard: vec![0; daemons],
            live: vec![false; daemons],
            frozen_until: 0,
            is_dead: false,
            confirmed_at: now,
            messages: 0,
            bytes: 0,
        }
    }

    fn runs(&self, now: u64) -> bool {
        !self.is_dead && now >= self.frozen_until
    }
}

/// Grants and refusals of one customer, in milliseconds.
#[derive(Debug, Default)]
struct Outcome {
    granted: Vec<u64>,
    refused: Vec<u64>,
}

impl Outcome {
    /// Most grants in a window that begins at a time or later.
    fn most_in_window(&self, from: u64) -> usize {
        let mut window: VecDeque<u64> = VecDeque::new();
        let mut most = 0;
        for at in self.granted.iter().filter(|at| **at >= from) {
            window.push_back(*at);
            while window.front().is_some_and(|first| first + WINDOW_MS <= *at) {
                window.pop_front();
            }
            most = most.max(window.len());
        }
        most
    }
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    daemons: Vec<Daemon>,
    /// Daemons by customer in the order in which they hold its bucket.
    order: Vec<Vec<usize>>,
    listed: BTreeSet<SocketAddr>,
    limit: Limit,
    outcomes: Vec<Outcome>,
    /// Time that asks took, in milliseconds.
    waited_ms: u64,
    requests: u64,
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let order = (0..scenario.customers).map(|customer| {
            let mut order: Vec<usize> = (0..scenario.daemons).collect();
            order.sort_by_cached_key(|n| std::cmp::Reverse(rank(customer as u32, address(*n))));
            order
        });
        Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            daemons: (0..scenario.daemons)
                .map(|n| Daemon::new(n, scenario.daemons, 0))
                .collect(),
            order: order.collect(),
            listed: (0..scenario.daemons).map(address).collect(),
            limit: Limit {
                version: 1,
                quota: RequestQuota {
                    per_1000_s: (scenario.mean_per_s * 1600.0) as u64,
                    burst: scenario.mean_per_s.ceil() as u64,
                },
            },
            outcomes: (0..scenario.customers)
                .map(|_| Outcome::default())
                .collect(),
            waited_ms: 0,
            requests: 0,
        }
    }

    /// Most requests of a customer in a window.
    fn allowed(&self) -> f64 {
        let limit = self.limit.quota;
        (limit.per_1000_s as f64 / 1000.0 * 5.0 + limit.burst as f64) * 1.1 + 20.0
    }

    fn is_minority(&self, n: usize) -> bool {
        n < self.scenario.daemons / 3
    }

    fn is_partitioned(&self, now: u64) -> bool {
        matches!(self.scenario.failure, Failure::Partition(length)
            if (FAILURE_MS..FAILURE_MS + length).contains(&now))
    }

    /// Whether a datagram arrives.
    fn arrives(&mut self, now: u64, from: usize, to: usize) -> bool {
        let is_cut = self.is_partitioned(now) && self.is_minority(from) != self.is_minority(to);
        let is_lossy = self.scenario.failure == Failure::LossyNetwork && now >= FAILURE_MS;
        self.daemons[to].runs(now) && !is_cut && !(is_lossy && self.random.random::<bool>())
    }

    fn fail(&mut self, now: u64) {
        let count = self.scenario.daemons;
        match self.scenario.failure {
            Failure::FrozenHolder(length) if now == FAILURE_MS => {
                self.daemons[self.order[0][0]].frozen_until = now + length;
            }
            Failure::HalfLost if now == FAILURE_MS => {
                (0..count)
                    .step_by(2)
                    .for_each(|n| self.daemons[n].is_dead = true);
            }
            Failure::AllRestart if now == FAILURE_MS => {
                for n in 0..count {
                    self.daemons[n] = Daemon::new(n, count, now);
                    self.daemons[n].frozen_until = now + self.random.random_range(200..1200);
                }
            }
            Failure::HoldersChange
                if (FAILURE_MS..FAILURE_MS + 4000).contains(&now) && now.is_multiple_of(1000) =>
            {
                let next = self.order[0].iter().find(|n| !self.daemons[**n].is_dead);
                self.daemons[*next.expect("a daemon")].is_dead = true;
            }
            _ => {}
        }
    }

    fn exchange_heartbeats(&mut self, now: u64) {
        let count = self.scenario.daemons;
        let period = (heartbeat_period(count, true).as_millis() as u64).max(250);
        let period = period.div_ceil(CHECK_MS) * CHECK_MS;
        for from in 0..count {
            let offset = (from as u64 * CHECK_MS) % period;
            if !(now + offset).is_multiple_of(period) || !self.daemons[from].runs(now) {
                continue;
            }
            for to in 0..count {
                // A frozen process finds what its socket kept when it goes on.
                if to != from && self.arrives(now, from, to) {
                    self.daemons[to].heard[from] = now;
                }
            }
        }
        let is_partitioned = self.is_partitioned(now);
        let minority = count / 3;
        for (n, daemon) in self.daemons.iter_mut().enumerate() {
            // Later than in a daemon, which updates with each check.
            if !daemon.runs(now) || !(now + n as u64 * CHECK_MS).is_multiple_of(UPDATE_MS) {
                continue;
            }
            if !is_partitioned || n >= minority {
                daemon.confirmed_at = now;
            }
            let timeout = FAILURE_TIMEOUT.as_millis() as u64;
            let is_live = |heard: &u64| *heard > 0 && now - heard < timeout;
            daemon.live = daemon.heard.iter().map(is_live).collect();
            let live = daemon
                .live
                .iter()
                .enumerate()
                .filter(|(_, is_live)| **is_live);
            let live: BTreeMap<SocketAddr, bool> = live.map(|(n, _)| (address(n), true)).collect();
            daemon
                .fleet
                .update(ms(now), MAX_LOST, false, live, &self.listed);
        }
    }

    /// A request of a customer at a daemon; the time of its grant, or none.
    fn request(&mut self, now: u64, customer: usize, at: usize) -> Option<u64> {
        let (id, limit) = (customer as u32, self.limit);
        let daemon = &mut self.daemons[at];
        let Err(wanted) = daemon.blocks.take(ms(now), id, limit.version) else {
            return Some(now);
        };
        let order = &self.order[customer];
        let holders = order.iter().filter(|n| **n == at || daemon.live[**n]);
        let holders: Vec<usize> = holders.take(2).copied().collect();
        let mut waited = 0;
        for holder in holders {
            let (sent, draw) = (ms(now + waited), self.random.random());
            if holder == at {
                return self.take(sent, id, at, 1, draw).ok().map(|_| now + waited);
            }
            self.count_message(at, 20);
            if self.arrives(now, at, holder) {
                let answer = self.take(sent, id, holder, wanted, draw);
                self.count_message(holder, 12);
                if self.arrives(now, holder, at) {
                    self.waited_ms += 4;
                    let granted = answer.ok()?;
                    let blocks = &mut self.daemons[at].blocks;
                    if granted > 1 {
                        blocks.add(sent, id, limit.version, granted - 1);
                    }
                    return Some(now + waited + 4);
                }
            }
            waited += 60;
            self.waited_ms += 60;
        }
        let (sent, draw) = (ms(now + waited), self.random.random());
        let daemon = &mut self.daemons[at];
        let part = daemon.fleet.local(sent, MAX_LOST);
        let answer = daemon.local.take(sent, id, limit, &part, 1, draw);
        answer.ok().map(|_| now + waited)
    }

    fn take(
        &mut self,
        now: Duration,
        customer: u32,
        at: usize,
        wanted: u16,
        draw: f64,
    ) -> Result<u16, Duration> {
        let daemon = &mut self.daemons[at];
        let part = daemon.fleet.held(now, MAX_LOST, customer);
        daemon
            .buckets
            .take(now, customer, self.limit, &part, wanted, draw)
    }

    fn count_message(&mut self, from: usize, bytes: u64) {
        self.daemons[from].messages += 1;
        self.daemons[from].bytes += bytes;
    }

    /// Daemon that a request goes to. Half of the requests of a customer come over two
    /// connections, the others over many.
    fn pick(&mut self, customer: usize) -> usize {
        let count = self.scenario.daemons;
        match self.random.random_range(0..4) {
            0 => (customer * 7) % count,
            1 => (customer * 13 + 1) % count,
            _ => self.random.random_range(0..count),
        }
    }

    fn run(&mut self) {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.fail(now);
            if now.is_multiple_of(CHECK_MS) {
                self.exchange_heartbeats(now);
            }
            if now < WARM_UP_MS {
                continue;
            }
            for customer in 0..self.scenario.customers {
                let load = if customer == 0 {
                    self.scenario.load
                } else {
                    1.0
                };
                let mut expected = self.scenario.mean_per_s * load * STEP_MS as f64 / 1000.0;
                while expected > 0.0 {
                    if self.random.random::<f64>() < expected.min(1.0) {
                        self.arrive(now, customer);
                    }
                    expected -= 1.0;
                }
            }
        }
        for outcome in &mut self.outcomes {
            outcome.granted.sort_unstable();
        }
    }

    fn arrive(&mut self, now: u64, customer: usize) {
        let at = self.pick(customer);
        // The load balancer uses other daemons; a stale one refuses on its own.
        let is_stale = now - self.daemons[at].confirmed_at.min(now) > WINDOW_MS * 9 / 10;
        if !self.daemons[at].runs(now) || is_stale {
            return;
        }
        self.requests += 1;
        match self.request(now, customer, at) {
            Some(granted_at) => self.outcomes[customer].granted.push(granted_at),
            None => self.outcomes[customer].refused.push(now),
        }
    }

    fn report(&self, seed: u64) {
        let seconds = (END_MS - WARM_UP_MS) as f64 / 1000.0;
        let count = self.scenario.daemons as f64;
        let messages: u64 = self.daemons.iter().map(|d| d.messages).sum();
        let bytes: u64 = self.daemons.iter().map(|d| d.bytes).sum();
        let first = &self.outcomes[0];
        let others: usize = self.outcomes[1..].iter().map(|o| o.refused.len()).sum();
        println!(
            "{:?} seed {seed}: most {}, near the failure {}, of {:.0} in 5 s; first granted {} refused {}; others \
             refused {others} of {}; {:.2} messages/s and {:.0} B/s each; {:.1} ms a request",
            self.scenario,
            first.most_in_window(0),
            first.most_in_window(FAILURE_MS - 1000),
            self.allowed(),
            first.granted.len(),
            first.refused.len(),
            self.requests as usize - first.granted.len() - first.refused.len(),
            messages as f64 / seconds / count,
            bytes as f64 / seconds / count,
            self.waited_ms as f64 / self.requests as f64,
        );
    }
}

cases! {
    /// Guards against daemons that together grant more than a customer's limit while
    /// machines or links fail.
    fn grants_stay_within_the_limit(
        daemons: usize,
        customers: usize,
        mean_per_s: f64,
        failure: Failure,
    ) {
        for seed in 0..seeds(daemons, customers) {
            let scenario = Scenario { daemons, customers, mean_per_s, load: 7.5, failure };
            let mut simulation = Simulation::new(scenario, seed);
            simulation.run();
            simulation.report(seed);
            for (customer, outcome) in simulation.outcomes.iter().enumerate() {
                let (most, allowed) = (outcome.most_in_window(0), simulation.allowed());
                assert!(
                    most as f64 <= allowed,
                    "seed {seed}, customer {customer}: {most} of {allowed}"
                );
            }
        }
    }
    without_failures_12(12, 74, MEAN_PER_S, Failure::None);
    without_failures_400(400, 350, MEAN_PER_S, Failure::None);
    partition_12(12, 74, MEAN_PER_S, Failure::Partition(8000));
    partition_77(77, 74, MEAN_PER_S, Failure::Partition(8000));
    short_partition_77(77, 74, MEAN_PER_S, Failure::Partition(2500));
    partition_300(300, 350, MEAN_PER_S, Failure::Partition(8000));
    partition_400(400, 350, MEAN_PER_S, Failure::Partition(8000));
    frozen_holder_12(12, 74, MEAN_PER_S, Failure::FrozenHolder(3000));
    frozen_holder_77(77, 74, MEAN_PER_S, Failure::FrozenHolder(3000));
    briefly_frozen_holder_77(77, 74, MEAN_PER_S, Failure::FrozenHolder(900));
    frozen_holder_300(300, 74, MEAN_PER_S, Failure::FrozenHolder(6500));
    frozen_holder_400(400, 350, MEAN_PER_S, Failure::FrozenHolder(3000));
    half_lost_12(12, 74, MEAN_PER_S, Failure::HalfLost);
    half_lost_77(77, 74, MEAN_PER_S, Failure::HalfLost);
    half_lost_300(300, 350, MEAN_PER_S, Failure::HalfLost);
    half_lost_400(400, 350, MEAN_PER_S, Failure::HalfLost);
    all_restart_12(12, 74, MEAN_PER_S, Failure::AllRestart);
    all_restart_77(77, 74, MEAN_PER_S, Failure::AllRestart);
    all_restart_300(300, 350, MEAN_PER_S, Failure::AllRestart);
    all_restart_400(400, 350, MEAN_PER_S, Failure::AllRestart);
    holders_change_12(12, 74, MEAN_PER_S, Failure::HoldersChange);
    holders_change_77(77, 74, MEAN_PER_S, Failure::HoldersChange);
    holders_change_400(400, 350, MEAN_PER_S, Failure::HoldersChange);
    lossy_network_12(12, 74, MEAN_PER_S, Failure::LossyNetwork);
    lossy_network_77(77, 74, MEAN_PER_S, Failure::LossyNetwork);
    lossy_network_400(400, 350, MEAN_PER_S, Failure::LossyNetwork);
    partition_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::Partition(8000));
    frozen_holder_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::FrozenHolder(3000));
    half_lost_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::HalfLost);
    all_restart_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::AllRestart);
    holders_change_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::HoldersChange);
    lossy_network_large_customers(77, 8, 20.0 * MEAN_PER_S, Failure::LossyNetwork);
}

cases! {
    /// Guards against refusals of customers within their limit whose connections fall
    /// unevenly on daemons, and against a limit that is not used up by a customer that
    /// wants more.
    fn customers_within_the_limit_are_served(daemons: usize, customers: usize) {
        for seed in 0..seeds(daemons, customers) {
            let scenario = Scenario {
                daemons,
                customers,
                mean_per_s: MEAN_PER_S,
                load: 7.5,
                failure: Failure::None,
            };
            let mut simulation = Simulation::new(scenario, seed);
            simulation.run();
            simulation.report(seed);
            let others = simulation.outcomes.iter().skip(1);
            let refused: usize = others.map(|outcome| exceeding(outcome, &simulation)).sum();
            assert_eq!(refused, 0, "seed {seed}");
            let granted = simulation.outcomes[0].granted.len() as f64;
            let wanted = MEAN_PER_S * 1.6 * (END_MS - WARM_UP_MS) as f64 / 1000.0;
            assert!(granted >= 0.95 * wanted, "seed {seed}: {granted} of {wanted}");
        }
    }
    at_12_daemons(12, 74);
    at_77_daemons(77, 74);
    at_300_daemons(300, 350);
    at_400_daemons(400, 350);
}

/// Refusals of a customer beyond those by a single bucket with the whole limit that gets
/// the same requests. Random arrivals pass the burst now and then.
fn exceeding(outcome: &Outcome, simulation: &Simulation) -> usize {
    let limit = simulation.limit.quota;
    let (rate, burst) = (limit.per_1000_s as f64 / 1000.0, limit.burst as f64);
    let granted = outcome.granted.iter().map(|at| (*at, true));
    let refused = outcome.refused.iter().map(|at| (*at, false));
    let mut requests: Vec<(u64, bool)> = granted.chain(refused).collect();
    requests.sort_unstable();
    let (mut tokens, mut last, mut ideal) = (burst, 0, 0);
    for (at, _) in &requests {
        tokens = (tokens + (at - last) as f64 * rate / 1000.0).min(burst);
        last = *at;
        if tokens >= 1.0 {
            tokens -= 1.0;
        } else {
            ideal += 1;
        }
    }
    outcome.refused.len().saturating_sub(ideal)
}

/// Fleet of two daemons that hear each other, as the first one knows it.
fn pair(now: Duration) -> Fleet {
    let mut fleet = Fleet::new(address(0));
    hear(&mut fleet, now, &[1]);
    fleet
}

fn hear(fleet: &mut Fleet, now: Duration, live: &[usize]) {
    let listed = [address(0), address(1)].into();
    let live = live.iter().map(|n| (address(*n), true)).collect();
    fleet.update(now, MAX_LOST, false, live, &listed);
}

/// Guards against a limit that two sides of a partition both grant in full, and against
/// one that stays halved when a daemon has gone for good.
#[test]
fn lost_daemon_counts_until_it_refuses_on_its_own() {
    let mut fleet = pair(ms(0));
    assert_eq!(fleet.share(ms(0), MAX_LOST), 1.0);
    for n in 1..=99 {
        hear(&mut fleet, ms(n * 50), &[]);
    }
    assert_eq!(fleet.share(ms(4950), MAX_LOST), 0.5);
    hear(&mut fleet, ms(5000), &[]);
    assert_eq!(fleet.share(ms(5000), MAX_LOST), 1.0);
}

/// Guards against a daemon that grants a whole limit after a freeze, as it has not heard
/// the others for so long that they no longer count.
#[test]
fn suspended_daemon_counts_the_others_as_known() {
    let mut fleet = pair(ms(0));
    assert_eq!(fleet.share(ms(9000), MAX_LOST), 0.5);
    hear(&mut fleet, ms(9000), &[]);
    assert_eq!(fleet.share(ms(9000), MAX_LOST), 0.5);
}

/// Guards against a new process that grants a whole limit before it has heard the others.
#[test]
fn new_process_counts_listed_daemons_as_known() {
    let mut fleet = Fleet::new(address(0));
    hear(&mut fleet, ms(100), &[]);
    assert_eq!(fleet.share(ms(100), MAX_LOST), 0.5);
}

fn limit(version: u64, per_s: u64, burst: u64) -> Limit {
    let per_1000_s = per_s * 1000;
    let quota = RequestQuota { per_1000_s, burst };
    Limit { version, quota }
}

/// Tokens that the bucket of the first holder grants at a time, one by one.
fn drain(buckets: &mut Buckets, now: Duration, limit: Limit) -> usize {
    let part = Part {
        share: 1.0,
        is_first: true,
        since: ms(10_000),
        resumed_at: ms(10_000),
    };
    let take = |_: &usize| buckets.take(now, 1, limit, &part, 1, 0.5).is_ok();
    (0..1000).take_while(take).count()
}

/// Guards against a limit that is raised or lowered and takes effect late, and against an
/// asker with an older manifest that changes it back.
#[test]
fn newer_limit_takes_effect_at_once() {
    let mut buckets = Buckets::default();
    assert_eq!(drain(&mut buckets, ms(10_000), limit(1, 10, 40)), 20);
    // Full again, but the burst is lower by now.
    assert_eq!(drain(&mut buckets, ms(30_000), limit(2, 1, 4)), 4);
    assert_eq!(drain(&mut buckets, ms(32_000), limit(1, 10, 40)), 2);
    assert_eq!(drain(&mut buckets, ms(34_000), limit(3, 50, 200)), 198);
}

/// Guards against a limit without a burst, of which no request would ever be granted.
#[test]
fn bucket_begins_with_at_least_one_token() {
    let mut buckets = Buckets::default();
    assert_eq!(drain(&mut buckets, ms(10_000), limit(1, 1, 0)), 1);
}

/// Guards against tokens that are used long after they were granted.
#[test]
fn block_ends_with_its_lease() {
    let mut blocks = Blocks::default();
    assert!(blocks.take(ms(0), 7, 1).is_err());
    blocks.add(ms(0), 7, 1, 3);
    assert!(blocks.take(ms(100), 7, 1).is_ok());
    // A newer manifest ends the block, as its limit may be lower.
    assert!(blocks.take(ms(100), 7, 2).is_err());
    assert!(blocks.take(LEASE, 7, 1).is_err());
}

/// Guards against messages that are taken for others, and replies that stop a customer
/// for long.
#[test]
fn messages_are_told_apart_and_bounded() {
    let reply = Message::Reply {
        id: 1,
        granted: 900,
        retry_ms: 900_000,
    };
    let datagram = reply.encode().expect("encoded");
    assert_eq!(
        bitterncart_coordination::fleet::rate_limit::Message::decode(&datagram),
        None
    );
    match Message::decode(&datagram) {
        Some(Message::Reply {
            granted, retry_ms, ..
        }) => assert!(granted <= 16 && retry_ms <= 2000),
        other => panic!("{other:?}"),
    }
    let ask = Message::Ask {
        id: 1,
        customer: 2,
        limit: limit(3, 4, 5),
        wanted: 1,
    };
    let datagram = ask.encode().expect("encoded");
    assert!(datagram.len() <= 20, "{}", datagram.len());
    assert_eq!(Message::decode(&datagram), Some(ask));
}
