//! One run of a policy in virtual time.
//!
//! A priority queue of events drives the run: arrivals, engine steps, messages
//! between daemons and periodic checks. Handling an event changes the state of
//! the daemons and replicas and schedules further events; events at the same
//! time are handled in the order in which they were scheduled. The run ends at
//! its configured duration, and its metrics are returned.

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
mod online;
mod setup;

use super::engine::{Engine, Sequence, SequenceId};
use super::load::{Arrival, Load};
use super::metrics::{Metrics, Sample};
use super::policy::Policy;

/// Interval between adjustments of the batch sequences, as in the daemon.
const ADJUST_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// One-way message latency within a data centre.
const LOCAL_LATENCY: Duration = Duration::from_micros(300);

/// Interval between probes of replicas that routing has taken out, as in the daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the bound on time to first token after which an attempt without a
/// token fails while a retry is possible, as in the daemon.
const FIRST_TOKEN_TIMEOUT_SHARE: f64 = 0.5;

/// Time without a token after which a stream counts as silent, as in the daemon.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Factor on the step duration of a slow engine.
const SLOW_FACTOR: f64 = 6.0;

/// Fault injected into a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One dead, one silent and one slow replica from a third of the run onwards.
    Replicas,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "replicas" => Ok(Self::Replicas),
            _ => Err("expected none or replicas".to_owned()),
        }
    }
}

/// Input of a run, apart from the policy.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Environment document.
    pub document: Document,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Duration in virtual time.
    pub duration: Duration,
    /// Number of daemons in each data centre.
    pub daemons_per_data_centre: usize,
    /// Mean online load as a share of the engines' maximum tokens per second.
    pub load_share: f64,
    /// Injected fault.
    pub fault: Fault,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The request with this index in the load arrives.
    Arrival(usize),
    /// The current step of a replica's engine ends.
    StepEnd(usize),
    /// Every replica preempts or starts batch sequences.
    AdjustBatch,
    /// Every daemon probes the replicas that its routing has taken out.
    Probe,
    Sample,
    /// A daemon's report of its online use reaches the owner of a replica.
    UseReport {
        replica: usize,
        daemon: usize,
        level: u32,
        late: bool,
    },
    /// A broadcast of the online use by other daemons reaches a daemon.
    UseBroadcast {
        replica: usize,
        to: usize,
        others: u32,
    },
    /// The current attempt of an online request may have timed out.
    Timeout {
        id: SequenceId,
    },
    Retry {
        id: SequenceId,
    },
    InjectFault,
}

struct Daemon {
    id: id::Daemon,
    routing: Routing,
    use_reports: Reporter,
    budget: Budget,
    /// Routing keys of the replicas, in the order of `Simulation::replicas`.
    keys: Vec<routing::Key>,
}

struct Replica {
    engine: Engine,
    /// Whether connections to the replica fail.
    dead: bool,
    /// Daemon that decides on the batch sequences of this replica.
    owner: usize,
    sharing: Limiter,
    /// Batch sequences at the engine.
    batch: Vec<SequenceId>,
    /// Preempted batch sequences with their remaining tokens.
    preempted: Vec<(SequenceId, u32)>,
    /// Time since which batch occupies the reserve.
    reserve_used_since: Option<Duration>,
}

/// Online request in flight.
struct Request {
    arrival: Arrival,
    daemon: usize,
    replica: Option<usize>,
    generated_tokens: u32,
    tried: Vec<routing::Key>,
    /// Time of the last token, or of the start of the attempt if it has none yet.
    last_progress: Duration,
    attempt_start: Duration,
    may_have_run: bool,
}

/// State of a run.
struct Simulation<'a> {
    experiment: &'a Experiment,
    policy: Policy,
    load: Load,
    model: document::Model,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of events scheduled so far; orders events at the same time.
    scheduled: u64,
    daemons: Vec<Daemon>,
    replicas: Vec<Replica>,
    /// Online requests in flight.
    requests: HashMap<SequenceId, Request>,
    /// Time of the last token of each running batch sequence.
    last_batch_token: HashMap<SequenceId, Duration>,
    last_id: SequenceId,
    rng: StdRng,
    /// Times of recent first tokens, with the time to first token.
    recent_ttft: VecDeque<(Duration, Duration)>,
    metrics: Metrics,
}

impl Experiment {
    /// Runs the experiment under a policy.
    ///
    /// # Panics
    ///
    /// If the document has no model that serves both online and batch.
    #[must_use]
    pub fn run(&self, policy: Policy) -> Metrics {
        let serves_both =
            |model: &&document::Model| model.online.is_some() && model.batch.is_some();
        let model = self.document.models.iter().find(serves_both).cloned();
        let model = model.expect("the document has a model that serves both online and batch");
        let mut simulation = Simulation::new(self, policy, model);
        simulation.run();
        simulation.finish()
    }
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, policy: Policy, model: document::Model) -> Self {
        let engine_model = Model {
            max_sequences: model.max_sequences as usize,
            ..Model::default()
        };
        let replica_count: u32 = model.replicas.iter().map(|group| group.count).sum();
        let full_step_s = engine_model
            .step(engine_model.max_sequences, 0, 0)
            .as_secs_f64();
        let tokens_per_s =
            f64::from(replica_count) * engine_model.max_sequences as f64 / full_step_s;
        // Mean number of tokens of an arrival, which `Load` draws from 32..256.
        let mean_tokens = 144.0;
        let load = Load::new(
            experiment.seed,
            experiment.duration,
            experiment.load_share * tokens_per_s / mean_tokens,
        );
        let mut simulation = Self {
            experiment,
            policy,
            load,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            scheduled: 0,
            daemons: Vec::new(),
            replicas: Vec::new(),
            requests: HashMap::new(),
            last_batch_token: HashMap::new(),
            last_id: 0,
            rng: StdRng::seed_from_u64(experiment.seed ^ 5),
            recent_ttft: VecDeque::new(),
            metrics: Metrics::default(),
            model,
        };
        simulation.set_up(engine_model);
        simulation
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((time, self.scheduled, event)));
    }

    fn run(&mut self) {
        if self.policy.has_online() {
            for index in 0..self.load.arrivals.len() {
                self.schedule(self.load.arrivals[index].at, Event::Arrival(index));
            }
        }
        self.schedule(ADJUST_INTERVAL, Event::AdjustBatch);
        self.schedule(PROBE_INTERVAL, Event::Probe);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        if self.experiment.fault == Fault::Replicas {
            self.schedule(self.experiment.duration / 3, Event::InjectFault);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.experiment.duration {
                return;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(index) => self.handle_arrival(index),
            Event::StepEnd(replica) => self.end_step(replica),
            Event::AdjustBatch => {
                self.schedule(self.now + ADJUST_INTERVAL, Event::AdjustBatch);
                for replica in 0..self.replicas.len() {
                    self.adjust_batch(replica);
                }
                self.record_reserve_use();
            }
            Event::Probe => {
                self.schedule(self.now + PROBE_INTERVAL, Event::Probe);
                self.probe_replicas();
            }
            Event::Sample => {
                self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
                self.take_sample();
            }
            Event::UseReport {
                replica,
                daemon,
                level,
                late,
            } => {
                let reporter = self.daemons[daemon].id.clone();
                self.replicas[replica]
                    .sharing
                    .record_online(self.now, &reporter, level, late);
                // The reply to a report carries the use by all other daemons.
                let others = self.replicas[replica]
                    .sharing
                    .online_except(self.now, &reporter);
                let key = self.daemons[daemon].keys[replica];
                self.daemons[daemon]
                    .routing
                    .set_remote_online(self.now, key, others);
                // The owner preempts batch at once, without waiting for the next interval.
                self.adjust_batch(replica);
            }
            Event::UseBroadcast {
                replica,
                to,
                others,
            } => {
                let key = self.daemons[to].keys[replica];
                self.daemons[to]
                    .routing
                    .set_remote_online(self.now, key, others);
            }
            Event::Timeout { id } => self.check_timeout(id),
            Event::Retry { id } => self.dispatch(id),
            Event::InjectFault => self.inject_replica_faults(),
        }
    }

    fn inject_replica_faults(&mut self) {
        let count = self.replicas.len();
        self.replicas[0].dead = true;
        self.replicas[0].engine.silent = true;
        self.replicas[count / 3].engine.silent = true;
        self.replicas[2 * count / 3].engine.slow_factor = SLOW_FACTOR;
        let lost: Vec<SequenceId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.replica == Some(0))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.fail_attempt(id, Failure::Broken);
        }
    }

    /// Starts a step of a replica's engine if none is in progress.
    fn start_step(&mut self, replica: usize) {
        if !self.replicas[replica].engine.stepping
            && let Some(step) = self.replicas[replica].engine.begin_step()
        {
            self.schedule(self.now + step, Event::StepEnd(replica));
        }
    }

    fn end_step(&mut self, replica: usize) {
        let tokens = self.replicas[replica].engine.end_step();
        self.replicas[replica].engine.stepping = false;
        for (id, is_last) in tokens {
            if self.requests.contains_key(&id) {
                self.handle_online_token(id, replica, is_last);
            } else {
                self.handle_batch_token(id, replica, is_last);
            }
        }
        if self.replicas[replica].engine.silent {
            return;
        }
        self.adjust_batch(replica);
        self.start_step(replica);
    }

    fn probe_replicas(&mut self) {
        let now = self.now;
        let replicas = &self.replicas;
        for daemon in &mut self.daemons {
            for (index, key) in daemon.keys.iter().enumerate() {
                let state = daemon.routing.replica(*key).map(|r| r.state);
                let due = matches!(state, Some(routing::State::Ejected(until)) if now >= until);
                match (due, replicas[index].dead || replicas[index].engine.silent) {
                    (true, true) => daemon.routing.record_attempt_failure(now, *key),
                    (true, false) => daemon.routing.record_success(*key),
                    _ => {}
                }
            }
        }
    }

    fn take_sample(&mut self) {
        while self
            .recent_ttft
            .front()
            .is_some_and(|(at, _)| *at + SAMPLE_INTERVAL < self.now)
        {
            self.recent_ttft.pop_front();
        }
        let mut recent = Latency::default();
        for (_, ttft) in &self.recent_ttft {
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
            online: self.requests.len(),
            ttft_ms_p99: recent.ms(0.99),
        });
    }

    fn finish(mut self) -> Metrics {
        // Requests still in flight at the end of the run are neither answered nor failed,
        // so they do not count as sent.
        self.metrics.sent -= self.requests.len() as u64;
        for replica in &self.replicas {
            self.metrics.cache_hits += replica.engine.cache_hits;
            self.metrics.cache_misses += replica.engine.cache_misses;
        }
        self.metrics
    }
}
