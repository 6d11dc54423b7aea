//! Simulated daemons, engines and log of the orders of one data centre.
//!
//! Applies the operations of a schedule one after another. Two invariants are
//! checked after each: an engine never accepts an order with a lower fencing
//! number than an earlier one, and the minimum number of engines serves. After
//! the schedule all failures stop, and all engines have to serve the weights
//! published last within a bounded number of rounds.

use std::str::FromStr;
use std::time::Duration;

use bitterncart_coordination::issuer::ORDER_TIMEOUT;
use bitterncart_coordination::participant::Context;
use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::{Issuer, Participant, Rollout};
use bitterncart_protocol::engine::{Order, Placement, Role, Weights};
use bitterncart_protocol::record::{Group, Record};
use bitterncart_protocol::{Name, id};
use bitterncart_state::Shard;

use super::op::{DAEMONS, ENGINES, Op};
use crate::durable::Delivery;
use crate::durable::log::Log;

/// Minimum number of engines that serve at any time.
const MIN_UP: u32 = 2;

/// Maximum number of rounds without failures until all engines serve the last weights.
const MAX_ROUNDS: u32 = 600;

/// Duration of one such round.
const ROUND: Duration = Duration::from_millis(250);

/// Rate of each daemon's clock relative to real time, in parts per thousand.
const CLOCK_RATES_PER_MILLE: [u32; DAEMONS] = [1000, 1004, 996];

/// Defect planted on purpose; a run with it has to violate an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// The right to give an order is checked when it is decided, not when it is sent.
    EarlyCheck,
    /// A new issuer does not wait until the lease of its predecessor and the orders
    /// in transit have expired.
    NoWait,
    /// A new issuer relies on placements that it queried before it became the issuer.
    OldView,
}

impl FromStr for Defect {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "early-check" => Ok(Self::EarlyCheck),
            "no-wait" => Ok(Self::NoWait),
            "old-view" => Ok(Self::OldView),
            _ => Err("expected early-check, no-wait or old-view".to_owned()),
        }
    }
}

#[derive(Debug)]
struct Daemon {
    id: id::Daemon,
    participant: Participant,
    /// Daemons that this one believes to be alive.
    believed_alive: [bool; DAEMONS],
    issuer: Issuer,
    /// Epoch in which this daemon owns the orders.
    epoch: Option<id::Epoch>,
    /// Version of the weights in the configuration of this daemon.
    configured_version: u32,
    rollout: Rollout<usize>,
    /// Placements as last queried from the engines.
    placements: [Option<Placement>; ENGINES],
    /// Orders that are decided but not sent.
    decided: Vec<(usize, Order)>,
}

#[derive(Debug, Default)]
struct Engine {
    checks_fencing: bool,
    placement: Placement,
    /// Weights that the engine is loading.
    loading: Option<Weights>,
    /// Fencing numbers of the accepted orders, in order of arrival.
    accepted: Vec<u64>,
}

/// Order in transit, which an engine ignores from `expires_at` onwards.
#[derive(Debug)]
struct SentOrder {
    engine: usize,
    order: Order,
    expires_at: Duration,
}

/// Simulated daemons, engines and log of the orders of one data centre.
#[derive(Debug)]
pub struct World {
    defect: Option<Defect>,
    now: Duration,
    /// Number of daemon starts; gives each start a new daemon id.
    starts: u32,
    /// Version of the weights published last.
    published_version: u32,
    log: Log,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    in_transit: Vec<SentOrder>,
}

fn weights(version: u32) -> Weights {
    Weights {
        version: Name::from(format!("version-{version}")),
        adapters: Vec::new(),
    }
}

fn model() -> Name {
    Name::from("model")
}

fn plan(version: u32) -> Plan {
    Plan {
        target: weights(version),
        min_in_service: MIN_UP,
        max_concurrent: 2,
        observe: Duration::from_secs(1),
        drain: Duration::from_secs(5),
        max_failure_share: 1.0,
        max_slowdown: 100.0,
    }
}

impl World {
    /// Creates a world whose daemons have just started and whose engines serve.
    #[must_use]
    pub fn new(defect: Option<Defect>) -> Self {
        let engine = |number| Engine {
            checks_fencing: number % 2 == 0,
            placement: Placement {
                weights: Some(weights(0)),
                ..Placement::default()
            },
            ..Engine::default()
        };
        let mut world = Self {
            defect,
            now: Duration::from_secs(1),
            starts: 0,
            published_version: 0,
            log: Log::default(),
            daemons: Vec::new(),
            engines: (0..ENGINES).map(engine).collect(),
            in_transit: Vec::new(),
        };
        world.daemons = (0..DAEMONS).map(|_| world.start_daemon()).collect();
        world
    }

    /// Runs a schedule, then stops all failures and waits until all engines serve the
    /// last weights.
    ///
    /// # Errors
    ///
    /// The invariant that was violated, or that the last weights are not served.
    pub fn run(&mut self, ops: &[Op]) -> Result<(), String> {
        for op in ops {
            self.apply(*op);
            self.check_invariants()?;
        }
        self.converge()
    }

    fn start_daemon(&mut self) -> Daemon {
        self.starts += 1;
        let id = id::Daemon::from(format!("daemon-{}", self.starts).as_str());
        let shard: Shard = self.log.recover(None);
        Daemon {
            participant: Participant::new(id.clone(), shard),
            id,
            believed_alive: [true; DAEMONS],
            issuer: Issuer::default(),
            epoch: None,
            configured_version: self.published_version,
            rollout: Rollout::default(),
            placements: std::array::from_fn(|_| None),
            decided: Vec::new(),
        }
    }

    /// Current time by the clock of a daemon.
    fn clock(&self, daemon: usize) -> Duration {
        self.now * CLOCK_RATES_PER_MILLE[daemon] / 1000
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms.into()),
            Op::Read(daemon) => self.read_log(daemon),
            Op::DecideOwnership(daemon, delivery) => self.decide_ownership(daemon, delivery),
            Op::Commit(daemon, delivery) => self.commit(daemon, delivery),
            Op::DeliverDelayed => self.log.deliver_delayed(self.now),
            Op::Publish => self.published_version += 1,
            Op::Configure(daemon) => {
                self.daemons[daemon].configured_version = self.published_version;
            }
            Op::QueryPlacement(daemon, engine) => {
                self.daemons[daemon].placements[engine] =
                    Some(self.engines[engine].placement.clone());
            }
            Op::DecideOrders(daemon) => self.decide_orders(daemon),
            Op::SendOrders(daemon) => self.send_orders(daemon),
            Op::DeliverOrder(index) => self.deliver_order(index),
            Op::SetRunning(engine, running) => {
                self.engines[engine].placement.running = running.into();
            }
            Op::FinishLoad(engine) => {
                let engine = &mut self.engines[engine];
                if let Some(weights) = engine.loading.take() {
                    engine.placement.weights = Some(weights);
                    engine.placement.loading = false;
                }
            }
            Op::Restart(daemon) => self.daemons[daemon] = self.start_daemon(),
            Op::UpdateLiveness(daemon, other, alive) => {
                self.daemons[daemon].believed_alive[other] = alive || daemon == other;
            }
            Op::RunAlone(daemon, queries) => self.run_alone(daemon, queries),
        }
    }

    /// Lets one daemon run alone, long enough to take the orders over.
    fn run_alone(&mut self, daemon: usize, queries: bool) {
        const TAKEOVER_ROUNDS: u32 = 12;
        let previous = self.daemons[daemon].believed_alive;
        self.daemons[daemon].believed_alive = std::array::from_fn(|other| other == daemon);
        for _ in 0..TAKEOVER_ROUNDS {
            self.now += ROUND * 3;
            self.run_round(daemon, queries);
        }
        self.daemons[daemon].believed_alive = previous;
    }

    /// Runs one round of a daemon: read, decide and send.
    fn run_round(&mut self, daemon: usize, queries: bool) {
        self.read_log(daemon);
        self.decide_ownership(daemon, Delivery::Confirmed);
        self.commit(daemon, Delivery::Confirmed);
        self.read_log(daemon);
        for engine in (0..ENGINES).filter(|_| queries) {
            self.apply(Op::QueryPlacement(daemon, engine));
        }
        self.decide_orders(daemon);
        self.send_orders(daemon);
    }

    fn read_log(&mut self, daemon: usize) {
        let now = self.clock(daemon);
        let next = self.daemons[daemon].participant.shard().next();
        let page = self.log.page(next);
        let this = &mut self.daemons[daemon];
        this.participant.apply(now, &page);
        let is_owner = this.participant.is_mine();
        let epoch = is_owner.then(|| this.participant.shard().epoch());
        this.issuer.set_epoch(now, epoch);
        if this.epoch != epoch {
            this.epoch = epoch;
            this.rollout = Rollout::default();
            if self.defect != Some(Defect::OldView) {
                this.placements = std::array::from_fn(|_| None);
            }
        }
    }

    fn decide_ownership(&mut self, daemon: usize, delivery: Delivery) {
        let now = self.clock(daemon);
        let this = &self.daemons[daemon];
        let preferred_owner = (0..DAEMONS).find(|other| this.believed_alive[*other]);
        let preferred_owner = preferred_owner.map(|other| self.daemons[other].id.clone());
        let owner = this.participant.shard().owner().cloned();
        let owner =
            owner.and_then(|owner| self.daemons.iter().position(|daemon| daemon.id == owner));
        let surroundings = Context {
            preferred_owner: preferred_owner.as_ref(),
            owner_alive: owner.is_some_and(|owner| this.believed_alive[owner]),
            draining: false,
        };
        let record = self.daemons[daemon].participant.decide(now, surroundings);
        if let Some(record) = record {
            let group = Group {
                epoch: None,
                records: vec![record],
            };
            self.log.append(self.now, group, delivery);
        }
    }

    fn commit(&mut self, daemon: usize, delivery: Delivery) {
        let group = self.daemons[daemon].participant.take_group();
        if let Some(group) = group {
            self.log.append(self.now, group, delivery);
        }
    }

    /// Fencing number that a daemon may put on an order now, if it may give one.
    fn fencing(&self, daemon: usize) -> Option<u64> {
        let this = &self.daemons[daemon];
        match self.defect {
            Some(Defect::NoWait) => this.epoch.map(|epoch| epoch.0),
            _ => this
                .issuer
                .fencing_token(self.clock(daemon), this.participant.last_read()),
        }
    }

    fn decide_orders(&mut self, daemon: usize) {
        let now = self.clock(daemon);
        let Some(fencing) = self.fencing(daemon) else {
            return;
        };
        let this = &mut self.daemons[daemon];
        let replicas: Vec<Replica<usize>> = this
            .placements
            .iter()
            .enumerate()
            .map(|(key, placement)| Replica {
                key,
                up: placement
                    .as_ref()
                    .is_none_or(|placement| placement.role == Role::Serving),
                placement: placement.clone(),
                requests: 0,
                failures: 0,
                ttft: Duration::ZERO,
            })
            .collect();
        let history = this.participant.shard().rollout(&model());
        let plan = plan(this.configured_version);
        let actions = this
            .rollout
            .decide(now, &plan, &history, &replicas, || true);
        for action in actions {
            match action {
                Action::Order(engine, role, weights) => {
                    let order = Order {
                        fencing,
                        role,
                        weights,
                    };
                    this.decided.push((engine, order));
                }
                Action::Prefer(..) => {}
                Action::Good(weights) => this.participant.push([Record::Good {
                    model: model(),
                    weights,
                }]),
                Action::Halt(weights, _) => this.participant.push([Record::Halted {
                    model: model(),
                    weights,
                }]),
            }
        }
    }

    fn send_orders(&mut self, daemon: usize) {
        let decided = std::mem::take(&mut self.daemons[daemon].decided);
        for (engine, order) in decided {
            let is_current = self.fencing(daemon) == Some(order.fencing);
            if is_current || self.defect == Some(Defect::EarlyCheck) {
                self.in_transit.push(SentOrder {
                    engine,
                    order,
                    expires_at: self.now + ORDER_TIMEOUT,
                });
            }
        }
    }

    fn deliver_order(&mut self, index: u8) {
        if self.in_transit.is_empty() {
            return;
        }
        let sent = self
            .in_transit
            .remove(usize::from(index) % self.in_transit.len());
        let engine = &mut self.engines[sent.engine];
        let highest = engine.accepted.last().copied().unwrap_or(0);
        let is_expired = self.now >= sent.expires_at;
        let is_fenced = engine.checks_fencing && sent.order.fencing < highest;
        if is_expired || is_fenced {
            return;
        }
        engine.accepted.push(sent.order.fencing);
        engine.placement.role = sent.order.role;
        match sent.order.weights {
            Some(weights) if engine.placement.weights.as_ref() != Some(&weights) => {
                engine.placement.loading = true;
                engine.loading = Some(weights);
            }
            _ => {}
        }
    }

    fn check_invariants(&self) -> Result<(), String> {
        for (number, engine) in self.engines.iter().enumerate() {
            if !engine.accepted.is_sorted() {
                let accepted = &engine.accepted;
                return Err(format!(
                    "engine {number} accepted orders with decreasing fencing numbers: {accepted:?}"
                ));
            }
        }
        let serves = |engine: &&Engine| engine.placement.role == Role::Serving;
        let serving = self.engines.iter().filter(serves).count() as u32;
        if serving < MIN_UP {
            return Err(format!(
                "{serving} engines serve, fewer than the minimum of {MIN_UP}"
            ));
        }
        Ok(())
    }

    /// Runs all daemons without failures until all engines serve the last weights.
    fn converge(&mut self) -> Result<(), String> {
        for daemon in &mut self.daemons {
            daemon.believed_alive = [true; DAEMONS];
            daemon.configured_version = self.published_version;
        }
        for _ in 0..MAX_ROUNDS {
            self.now += ROUND;
            for daemon in 0..DAEMONS {
                self.run_round(daemon, true);
            }
            while !self.in_transit.is_empty() {
                self.deliver_order(0);
            }
            for engine in 0..ENGINES {
                self.apply(Op::FinishLoad(engine));
            }
            self.check_invariants()?;
            let target = Some(weights(self.published_version));
            let serves_target = |engine: &Engine| {
                engine.placement.weights == target && engine.placement.role == Role::Serving
            };
            if self.engines.iter().all(serves_target) {
                return Ok(());
            }
        }
        Err("the last weights are not served after all failures stopped".to_owned())
    }
}
