//! Daemons, engines and one log, step by step.

use std::str::FromStr;
use std::time::Duration;

use bitterncart_coordination::issuer::ORDER_TIMEOUT;
use bitterncart_coordination::participant::Context;
use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::{Issuer, Participant, Rollout};
use bitterncart_protocol::engine::{Order, Placed, Role, Weights};
use bitterncart_protocol::record::{Group, Record};
use bitterncart_protocol::{Name, id};
use bitterncart_state::Shard;

use super::op::{ENGINES, NODES, Op};
use crate::durable::Fate;
use crate::durable::log::Log;

/// Engines that serve at least.
const MIN_UP: u32 = 2;

/// Rounds in which a healed system brings the last weights up.
const ROUNDS: u32 = 600;

/// Time of one such round.
const ROUND: Duration = Duration::from_millis(250);

/// Difference of the clocks' rates, in parts of a thousand.
const RATES: [u32; NODES] = [1000, 1004, 996];

/// Rule that is broken on purpose, to see that the checks catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// An order is checked when it is decided, not when it is sent.
    EarlyCheck,
    /// A new issuer does not wait for the one before it.
    NoWait,
    /// A new issuer believes what it saw before it was the issuer.
    OldView,
}

impl FromStr for Broken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "early-check" => Ok(Self::EarlyCheck),
            "no-wait" => Ok(Self::NoWait),
            "old-view" => Ok(Self::OldView),
            _ => Err("write early-check, no-wait or old-view".to_owned()),
        }
    }
}

#[derive(Debug)]
struct Node {
    me: id::Daemon,
    participant: Participant,
    believes: [bool; NODES],
    issuer: Issuer,
    epoch: Option<id::Epoch>,
    version: u32,
    rollout: Rollout<usize>,
    seen: [Option<Placed>; ENGINES],
    decided: Vec<(usize, Order)>,
}

#[derive(Debug, Default)]
struct Engine {
    checks: bool,
    placed: Placed,
    loads: Option<Weights>,
    taken: Vec<u64>,
}

#[derive(Debug)]
struct Sent {
    engine: usize,
    order: Order,
    until: Duration,
}

/// Daemons, engines and one log.
#[derive(Debug)]
pub struct World {
    broken: Option<Broken>,
    now: Duration,
    lives: u32,
    version: u32,
    log: Log,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    wire: Vec<Sent>,
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
    /// World whose daemons have just started and whose engines serve.
    #[must_use]
    pub fn new(broken: Option<Broken>) -> Self {
        let engine = |number| Engine {
            checks: number % 2 == 0,
            placed: Placed {
                weights: Some(weights(0)),
                ..Placed::default()
            },
            ..Engine::default()
        };
        let mut world = Self {
            broken,
            now: Duration::from_secs(1),
            lives: 0,
            version: 0,
            log: Log::default(),
            nodes: Vec::new(),
            engines: (0..ENGINES).map(engine).collect(),
            wire: Vec::new(),
        };
        world.nodes = (0..NODES).map(|_| world.start()).collect();
        world
    }

    /// Runs a schedule, heals everything, and sees that the last weights come up.
    ///
    /// # Errors
    ///
    /// The rule that was broken.
    pub fn run(&mut self, ops: &[Op]) -> Result<(), String> {
        for op in ops {
            self.step(*op);
            self.check()?;
        }
        self.heal()
    }

    fn start(&mut self) -> Node {
        self.lives += 1;
        let me = id::Daemon::from(format!("daemon-{}", self.lives).as_str());
        let shard: Shard = self.log.recover(None);
        Node {
            participant: Participant::new(me.clone(), shard),
            me,
            believes: [true; NODES],
            issuer: Issuer::default(),
            epoch: None,
            version: self.version,
            rollout: Rollout::default(),
            seen: std::array::from_fn(|_| None),
            decided: Vec::new(),
        }
    }

    /// Time by a daemon's own clock.
    fn clock(&self, node: usize) -> Duration {
        self.now * RATES[node] / 1000
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Wait(ms) => self.now += Duration::from_millis(ms.into()),
            Op::Read(node) => self.read(node),
            Op::Own(node, fate) => self.own(node, fate),
            Op::Commit(node, fate) => self.commit(node, fate),
            Op::Land => self.log.land(self.now),
            Op::Publish => self.version += 1,
            Op::Configure(node) => self.nodes[node].version = self.version,
            Op::Ask(node, engine) => {
                self.nodes[node].seen[engine] = Some(self.engines[engine].placed.clone());
            }
            Op::Decide(node) => self.decide(node),
            Op::Send(node) => self.send(node),
            Op::Arrive(which) => self.arrive(which),
            Op::Busy(engine, running) => self.engines[engine].placed.running = running.into(),
            Op::Load(engine) => {
                let engine = &mut self.engines[engine];
                if let Some(weights) = engine.loads.take() {
                    engine.placed.weights = Some(weights);
                    engine.placed.loading = false;
                }
            }
            Op::Restart(node) => self.nodes[node] = self.start(),
            Op::Believe(node, other, alive) => {
                self.nodes[node].believes[other] = alive || node == other;
            }
            Op::Alone(node, asks) => self.alone(node, asks),
        }
    }

    /// One daemon works, and takes the orders over if they are not its own.
    fn alone(&mut self, node: usize, asks: bool) {
        const STEPS: u32 = 12;
        let before = self.nodes[node].believes;
        self.nodes[node].believes = std::array::from_fn(|other| other == node);
        for _ in 0..STEPS {
            self.now += ROUND * 3;
            self.work(node, asks);
        }
        self.nodes[node].believes = before;
    }

    fn work(&mut self, node: usize, asks: bool) {
        self.read(node);
        self.own(node, Fate::Lands);
        self.commit(node, Fate::Lands);
        self.read(node);
        for engine in (0..ENGINES).filter(|_| asks) {
            self.step(Op::Ask(node, engine));
        }
        self.decide(node);
        self.send(node);
    }

    fn read(&mut self, node: usize) {
        let now = self.clock(node);
        let next = self.nodes[node].participant.shard().next();
        let page = self.log.page(next);
        let this = &mut self.nodes[node];
        this.participant.apply(now, &page);
        let mine = this.participant.is_mine();
        let epoch = mine.then(|| this.participant.shard().epoch());
        this.issuer.set_epoch(now, epoch);
        if this.epoch != epoch {
            this.epoch = epoch;
            this.rollout = Rollout::default();
            if self.broken != Some(Broken::OldView) {
                this.seen = std::array::from_fn(|_| None);
            }
        }
    }

    fn own(&mut self, node: usize, fate: Fate) {
        let now = self.clock(node);
        let this = &self.nodes[node];
        let winner = (0..NODES).find(|other| this.believes[*other]);
        let winner = winner.map(|other| self.nodes[other].me.clone());
        let owner = this.participant.shard().owner().cloned();
        let owner = owner.and_then(|owner| self.nodes.iter().position(|n| n.me == owner));
        let around = Context {
            preferred_owner: winner.as_ref(),
            owner_alive: owner.is_some_and(|owner| this.believes[owner]),
            draining: false,
        };
        let record = self.nodes[node].participant.decide(now, around);
        if let Some(record) = record {
            let group = Group {
                epoch: None,
                records: vec![record],
            };
            self.log.append(self.now, group, fate);
        }
    }

    fn commit(&mut self, node: usize, fate: Fate) {
        let group = self.nodes[node].participant.take_group();
        if let Some(group) = group {
            self.log.append(self.now, group, fate);
        }
    }

    fn fencing(&self, node: usize) -> Option<u64> {
        let this = &self.nodes[node];
        match self.broken {
            Some(Broken::NoWait) => this.epoch.map(|epoch| epoch.0),
            _ => this
                .issuer
                .fencing_token(self.clock(node), this.participant.last_read()),
        }
    }

    fn decide(&mut self, node: usize) {
        let now = self.clock(node);
        let Some(fencing) = self.fencing(node) else {
            return;
        };
        let this = &mut self.nodes[node];
        let replicas: Vec<Replica<usize>> = this
            .seen
            .iter()
            .enumerate()
            .map(|(key, placed)| Replica {
                key,
                up: placed.as_ref().is_none_or(|p| p.role == Role::Serving),
                placement: placed.clone(),
                requests: 0,
                failures: 0,
                ttft: Duration::ZERO,
            })
            .collect();
        let outcome = this.participant.shard().rollout(&model());
        let plan = plan(this.version);
        let actions = this
            .rollout
            .decide(now, &plan, &outcome, &replicas, || true);
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

    fn send(&mut self, node: usize) {
        let decided = std::mem::take(&mut self.nodes[node].decided);
        for (engine, order) in decided {
            let stands = self.fencing(node) == Some(order.fencing);
            if stands || self.broken == Some(Broken::EarlyCheck) {
                self.wire.push(Sent {
                    engine,
                    order,
                    until: self.now + ORDER_TIMEOUT,
                });
            }
        }
    }

    fn arrive(&mut self, which: u8) {
        if self.wire.is_empty() {
            return;
        }
        let sent = self.wire.remove(usize::from(which) % self.wire.len());
        let engine = &mut self.engines[sent.engine];
        let newest = engine.taken.last().copied().unwrap_or(0);
        let late = self.now >= sent.until;
        let old = engine.checks && sent.order.fencing < newest;
        if late || old {
            return;
        }
        engine.taken.push(sent.order.fencing);
        engine.placed.role = sent.order.role;
        match sent.order.weights {
            Some(weights) if engine.placed.weights.as_ref() != Some(&weights) => {
                engine.placed.loading = true;
                engine.loads = Some(weights);
            }
            _ => {}
        }
    }

    fn check(&self) -> Result<(), String> {
        for (number, engine) in self.engines.iter().enumerate() {
            if !engine.taken.is_sorted() {
                let taken = &engine.taken;
                return Err(format!(
                    "engine {number} took orders out of order: {taken:?}"
                ));
            }
        }
        let serves = |engine: &&Engine| engine.placed.role == Role::Serving;
        let serving = self.engines.iter().filter(serves).count() as u32;
        if serving < MIN_UP {
            return Err(format!("{serving} engines serve of at least {MIN_UP}"));
        }
        Ok(())
    }

    fn heal(&mut self) -> Result<(), String> {
        for node in &mut self.nodes {
            node.believes = [true; NODES];
            node.version = self.version;
        }
        for _ in 0..ROUNDS {
            self.now += ROUND;
            for node in 0..NODES {
                self.work(node, true);
            }
            while !self.wire.is_empty() {
                self.arrive(0);
            }
            for engine in 0..ENGINES {
                self.step(Op::Load(engine));
            }
            self.check()?;
            let goal = Some(weights(self.version));
            let up = |engine: &Engine| {
                engine.placed.weights == goal && engine.placed.role == Role::Serving
            };
            if self.engines.iter().all(up) {
                return Ok(());
            }
        }
        Err("the last weights do not come up after everything was healed".to_owned())
    }
}
