//! One run of a policy in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use bitterncart_coordination::batch_limit::{Bounds, Limiter};
use bitterncart_coordination::load_report::Reporter;
use bitterncart_coordination::retry::{Attempt, Budget, Decision, Failure};
use bitterncart_coordination::routing::{self, Class, Distance, Query, Routing};
use bitterncart_protocol::instance::{Instance, Kind, State};
use bitterncart_protocol::{Document, Name, document, hash, id};
use bitterncart_standin::engine::Model;
use bitterncart_trial::report::Latency;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

mod batch;
mod build;
mod online;

use super::engine::{Engine, Number, Sequence};
use super::load::{Arrival, Load};
use super::metrics::{Metrics, Sample};
use super::policy::Policy;

/// Time between two looks at the slots, as in the daemon.
const LOOK: Duration = Duration::from_millis(20);

/// Time between two samples.
const SAMPLE: Duration = Duration::from_secs(1);

/// Time of a message within a data centre, one way.
const NEAR: Duration = Duration::from_micros(300);

/// Time between two probes of replicas that are out, as in the daemon.
const PROBE: Duration = Duration::from_millis(500);

/// Share of the first-token bound that a first attempt has, as in the daemon.
const PATIENCE: f64 = 0.5;

/// Time between tokens after which a stream is taken for silent, as in the daemon.
const GAP: Duration = Duration::from_secs(1);

/// Factor of a slow engine.
const SLOW: f64 = 6.0;

/// Faults of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// One replica dead, one silent and one slow, from a third of the run on.
    Replicas,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "replicas" => Ok(Self::Replicas),
            _ => Err("write none or replicas".to_owned()),
        }
    }
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Document.
    pub document: Document,
    /// Seed.
    pub seed: u64,
    /// Length in virtual time.
    pub length: Duration,
    /// Daemons in each data centre.
    pub daemons: usize,
    /// Mean online load as a share of the engines' most tokens a second.
    pub load: f64,
    /// Faults.
    pub fault: Fault,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Step(usize),
    Look,
    Probe,
    Sample,
    Pressure {
        replica: usize,
        daemon: usize,
        level: u32,
        late: bool,
    },
    Heard {
        replica: usize,
        to: usize,
        others: u32,
    },
    Patience {
        number: Number,
    },
    Retry {
        number: Number,
    },
    Break,
}

struct Daemon {
    id: id::Daemon,
    routing: Routing,
    interest: Reporter,
    budget: Budget,
    /// Keys of all engines in this daemon's table.
    keys: Vec<routing::Key>,
}

struct Replica {
    engine: Engine,
    dead: bool,
    owner: usize,
    sharing: Limiter,
    batch: Vec<Number>,
    aside: Vec<(Number, u32)>,
    /// Since when batch stands in the reserve.
    in_reserve: Option<Duration>,
}

struct Online {
    arrival: Arrival,
    daemon: usize,
    replica: Option<usize>,
    made: u32,
    tried: Vec<routing::Key>,
    last: Duration,
    began: Duration,
    may_have_run: bool,
}

/// State of a run.
struct World<'a> {
    experiment: &'a Experiment,
    policy: Policy,
    load: Load,
    model: document::Model,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    order: u64,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    online: HashMap<Number, Online>,
    batch_last: HashMap<Number, Duration>,
    next: Number,
    rng: StdRng,
    recent: VecDeque<(Duration, Duration)>,
    metrics: Metrics,
}

impl Experiment {
    /// Runs a policy.
    ///
    /// # Panics
    ///
    /// If the document has no model that serves both online and batch.
    #[must_use]
    pub fn run(&self, policy: Policy) -> Metrics {
        let serves_both =
            |model: &&document::Model| model.online.is_some() && model.batch.is_some();
        let model = self.document.models.iter().find(serves_both).cloned();
        let model = model.expect("a model serves online and batch");
        let mut world = World::new(self, policy, model);
        world.run();
        world.finish()
    }
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, policy: Policy, model: document::Model) -> Self {
        let engine_model = Model {
            max_sequences: model.max_sequences as usize,
            ..Model::default()
        };
        let count: u32 = model.replicas.iter().map(|row| row.count).sum();
        let full = engine_model
            .step(engine_model.max_sequences, 0, 0)
            .as_secs_f64();
        let capacity = f64::from(count) * engine_model.max_sequences as f64 / full;
        let tokens_each = 144.0;
        let load = Load::new(
            experiment.seed,
            experiment.length,
            experiment.load * capacity / tokens_each,
        );
        let mut world = Self {
            experiment,
            policy,
            load,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            order: 0,
            daemons: Vec::new(),
            replicas: Vec::new(),
            online: HashMap::new(),
            batch_last: HashMap::new(),
            next: 0,
            rng: StdRng::seed_from_u64(experiment.seed ^ 5),
            recent: VecDeque::new(),
            metrics: Metrics::default(),
            model,
        };
        world.build(engine_model);
        world
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((time, self.order, event)));
    }

    fn run(&mut self) {
        if self.policy.has_online() {
            for number in 0..self.load.arrivals.len() {
                self.at(self.load.arrivals[number].at, Event::Arrival(number));
            }
        }
        self.at(LOOK, Event::Look);
        self.at(PROBE, Event::Probe);
        self.at(SAMPLE, Event::Sample);
        if self.experiment.fault == Fault::Replicas {
            self.at(self.experiment.length / 3, Event::Break);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.experiment.length {
                return;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(number) => self.arrive(number),
            Event::Step(replica) => self.step(replica),
            Event::Look => {
                self.at(self.now + LOOK, Event::Look);
                for replica in 0..self.replicas.len() {
                    self.look(replica);
                }
                self.note_give_way();
            }
            Event::Probe => {
                self.at(self.now + PROBE, Event::Probe);
                self.probe();
            }
            Event::Sample => {
                self.at(self.now + SAMPLE, Event::Sample);
                self.sample();
            }
            Event::Pressure {
                replica,
                daemon,
                level,
                late,
            } => {
                let from = self.daemons[daemon].id.clone();
                self.replicas[replica]
                    .sharing
                    .record_online(self.now, &from, level, late);
                // The answer tells the asker what all daemons use.
                let others = self.replicas[replica]
                    .sharing
                    .online_except(self.now, &from);
                let key = self.daemons[daemon].keys[replica];
                self.daemons[daemon]
                    .routing
                    .set_remote_online(self.now, key, others);
                // Giving way is immediate: the owner acts on the message itself.
                self.look(replica);
            }
            Event::Heard {
                replica,
                to,
                others,
            } => {
                let key = self.daemons[to].keys[replica];
                self.daemons[to]
                    .routing
                    .set_remote_online(self.now, key, others);
            }
            Event::Patience { number } => self.check_patience(number),
            Event::Retry { number } => self.dispatch(number),
            Event::Break => self.break_replicas(),
        }
    }

    fn break_replicas(&mut self) {
        let count = self.replicas.len();
        self.replicas[0].dead = true;
        self.replicas[0].engine.silent = true;
        self.replicas[count / 3].engine.silent = true;
        self.replicas[2 * count / 3].engine.slow = SLOW;
        let lost: Vec<Number> = self
            .online
            .iter()
            .filter(|(_, o)| o.replica == Some(0))
            .map(|(n, _)| *n)
            .collect();
        for number in lost {
            self.fail(number, Failure::Broken);
        }
    }

    fn wake(&mut self, replica: usize) {
        if !self.replicas[replica].engine.stepping
            && let Some(step) = self.replicas[replica].engine.begin()
        {
            self.at(self.now + step, Event::Step(replica));
        }
    }

    fn step(&mut self, replica: usize) {
        let tokens = self.replicas[replica].engine.end();
        self.replicas[replica].engine.stepping = false;
        for (number, whole) in tokens {
            if self.online.contains_key(&number) {
                self.online_token(number, replica, whole);
            } else {
                self.batch_token(number, replica, whole);
            }
        }
        if self.replicas[replica].engine.silent {
            return;
        }
        self.look(replica);
        self.wake(replica);
    }

    fn probe(&mut self) {
        let now = self.now;
        let replicas = &self.replicas;
        for daemon in &mut self.daemons {
            for (at, key) in daemon.keys.iter().enumerate() {
                let state = daemon.routing.replica(*key).map(|r| r.state);
                let due = matches!(state, Some(routing::State::Ejected(until)) if now >= until);
                match (due, replicas[at].dead || replicas[at].engine.silent) {
                    (true, true) => daemon.routing.record_attempt_failure(now, *key),
                    (true, false) => daemon.routing.record_success(*key),
                    _ => {}
                }
            }
        }
    }

    fn sample(&mut self) {
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| *at + SAMPLE < self.now)
        {
            self.recent.pop_front();
        }
        let mut recent = Latency::default();
        for (_, ttft) in &self.recent {
            recent.note(*ttft);
        }
        let batch = self
            .replicas
            .iter()
            .map(|replica| replica.batch.len())
            .sum();
        self.metrics.samples.push(Sample {
            at_s: self.now.as_secs_f64(),
            batch,
            online: self.online.len(),
            ttft_ms_p99: recent.ms(0.99),
        });
    }

    fn finish(mut self) -> Metrics {
        // What the end of the run cut off is neither answered nor failed.
        self.metrics.sent -= self.online.len() as u64;
        for replica in &self.replicas {
            self.metrics.hits += replica.engine.hits;
            self.metrics.misses += replica.engine.misses;
        }
        self.metrics
    }
}
