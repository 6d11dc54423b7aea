//! Daemons, clients and one log, step by step.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bitterncart_coordination::call::Step;
use bitterncart_coordination::participant::Context;
use bitterncart_coordination::retention::Rewrite;
use bitterncart_coordination::{Participant, Retention};
use bitterncart_protocol::peer::{End, Lease};
use bitterncart_protocol::record::{Answer, Chunk, Group, Outcome, Record, Submit};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::Shard;

use super::broken::{Broken, rewrite};
use super::log::Log;
use super::op::{Fate, JOBS, KEYS, NODES, Op};

/// Items of each job.
const ITEMS: u32 = 4;

/// Attempts at an item.
const ATTEMPTS: u8 = 3;

/// Time after half of which results are written again.
const RETENTION: Duration = Duration::from_secs(8);

/// Rounds in which a healed system finishes everything.
const ROUNDS: u32 = 400;

/// Time of one such round.
const ROUND: Duration = Duration::from_millis(250);

struct Announced {
    call: id::Call,
    nonce: u64,
}

struct Node {
    me: id::Daemon,
    participant: Participant,
    believes: [bool; NODES],
    retry: Option<Group>,
    announced: Vec<Announced>,
}

/// Daemons, clients and one log.
pub struct World {
    pub(super) broken: Option<Broken>,
    now: Duration,
    lives: u32,
    pub(super) log: Log,
    nodes: Vec<Node>,
    workers: Vec<Lease>,
    runs: u32,
    nonces: u64,
    pub(super) accepted: BTreeSet<u8>,
    pub(super) cancelled: BTreeSet<u8>,
    pub(super) call_runs: HashMap<id::Call, u32>,
    pub(super) reference: Shard,
    pub(super) results: BTreeMap<(id::Job, u32), String>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("log", &self.log)
            .finish_non_exhaustive()
    }
}

fn model() -> Name {
    Name::from("model")
}

pub(super) fn job_id(job: u8) -> id::Job {
    id::Job {
        shard: id::Shard(0),
        hash: job.into(),
    }
}

fn submit(job: u8) -> Submit {
    let chunk = Chunk {
        shard: id::Shard(0),
        offset: 0,
        lines: ITEMS,
        at_ms: 0,
    };
    Submit {
        job: job_id(job),
        customer: Name::from("customer"),
        model: model(),
        endpoint: "/v1/completions".into(),
        file: id::File {
            shard: id::Shard(0),
            hash: 0,
        },
        chunks: vec![chunk],
        due_ms: 1_000_000,
        keep_ms: u64::from(u32::MAX),
        at_ms: 0,
    }
}

impl World {
    /// World whose daemons have just started.
    #[must_use]
    pub fn new(broken: Option<Broken>) -> Self {
        let mut world = Self {
            broken,
            now: Duration::from_secs(1),
            lives: 0,
            log: Log::default(),
            nodes: Vec::new(),
            workers: Vec::new(),
            runs: 0,
            nonces: 0,
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            call_runs: HashMap::new(),
            reference: Shard::default(),
            results: BTreeMap::new(),
        };
        world.nodes = (0..NODES).map(|_| world.start()).collect();
        world
    }

    /// Runs a schedule, heals everything, and sees that all is finished.
    ///
    /// # Errors
    ///
    /// The promise that was broken.
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
        Node {
            participant: Participant::new(me.clone(), self.log.recover(self.broken)),
            me,
            believes: [true; NODES],
            retry: None,
            announced: Vec::new(),
        }
    }

    fn open(&mut self, record: Record, fate: Fate) -> bool {
        let group = Group {
            epoch: None,
            records: vec![record],
        };
        self.log.append(self.now, group, fate)
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Wait(ms) => self.now += Duration::from_millis(ms.into()),
            Op::Read(node) => self.read(node),
            Op::Look(node, fate) => self.look(node, fate),
            Op::Commit(node, fate) => self.commit(node, fate),
            Op::Land => self.log.land(self.now),
            Op::Snapshot(node, fate) => {
                let bytes = self.nodes[node].participant.shard().snapshot();
                self.log.snapshot(bytes, fate);
            }
            Op::Carry(node) => self.carry(node),
            Op::Truncate => self.log.truncate(self.broken, &self.reference),
            Op::Submit(job, fate) => {
                let confirmed = self.open(Record::Submit(Box::new(submit(job))), fate);
                if confirmed || self.broken == Some(Broken::EarlyAck) {
                    self.accepted.insert(job);
                }
            }
            Op::Cancel(job, fate) => {
                let record = Record::Cancel {
                    job: job_id(job),
                    at_ms: 0,
                };
                if self.open(record, fate) && self.accepted.contains(&job) {
                    self.cancelled.insert(job);
                }
            }
            Op::Pull(node, count) => self.pull(node, count),
            Op::Finish(worker, node, ok) => self.finish(worker, node, ok),
            Op::Expire(node) => {
                self.nodes[node].participant.expire(self.now, ATTEMPTS);
            }
            Op::Call(node, key) => self.call(node, key),
            Op::Run(node) => self.run_calls(node),
            Op::Withdraw(node) => self.withdraw(node),
            Op::Restart(node) => self.nodes[node] = self.start(),
            Op::TakeOver(node) => self.take_over(node),
            Op::Believe(node, other, alive) => {
                self.nodes[node].believes[other] = alive || node == other;
            }
        }
    }

    fn take_over(&mut self, node: usize) {
        const STEPS: u32 = 10;
        const STEP: Duration = Duration::from_millis(400);
        let before = self.nodes[node].believes;
        self.nodes[node].believes = std::array::from_fn(|other| other == node);
        for _ in 0..STEPS {
            self.now += STEP;
            self.read(node);
            self.look(node, Fate::Lands);
        }
        self.nodes[node].believes = before;
    }

    fn read(&mut self, node: usize) {
        let next = self.nodes[node].participant.shard().next();
        let page = self.log.page(next);
        if page.first > next && self.broken != Some(Broken::PassedGap) {
            // A snapshot holds what expired unread.
            let shard = self.log.recover(self.broken);
            let this = &mut self.nodes[node];
            this.participant = Participant::new(this.me.clone(), shard);
            this.retry = None;
            this.announced.clear();
            return;
        }
        let page = rewrite(self.broken, self.nodes[node].participant.shard(), page);
        self.nodes[node].participant.apply(self.now, &page);
    }

    /// Writes old results again, as the maintenance of the daemon does.
    fn carry(&mut self, node: usize) {
        let participant = &mut self.nodes[node].participant;
        if !participant.may_start(self.now) || participant.pending() > 0 {
            return;
        }
        let now_ms = self.now.as_millis() as u64;
        for due in Retention::due(participant.shard(), now_ms, RETENTION) {
            let Rewrite::Results(job, place) = due else {
                continue;
            };
            let answers = self.log.results(job, place.offset);
            participant.push(answers.map(|answers| Record::Carry {
                job,
                from: place.offset,
                answers,
            }));
        }
    }

    fn look(&mut self, node: usize, fate: Fate) {
        let believed = |n: &Node, me: &id::Daemon| {
            let at = self.nodes.iter().position(|other| other.me == *me);
            at.is_some_and(|at| n.believes[at])
        };
        let this = &self.nodes[node];
        let winner = (0..NODES)
            .find(|other| this.believes[*other])
            .map(|n| self.nodes[n].me.clone());
        let owner = this.participant.shard().owner().cloned();
        let owner_alive = owner.is_some_and(|owner| believed(this, &owner));
        let around = Context {
            preferred_owner: winner.as_ref(),
            owner_alive,
            draining: false,
        };
        let record = self.nodes[node].participant.decide(self.now, around);
        if let Some(record) = record {
            self.open(record, fate);
        }
    }

    fn commit(&mut self, node: usize, fate: Fate) {
        let this = &mut self.nodes[node];
        let group = this.retry.take().or_else(|| this.participant.take_group());
        let Some(group) = group.filter(|group| this.participant.is_current(group)) else {
            return;
        };
        if !self.log.append(self.now, group.clone(), fate) {
            // What was not confirmed is appended again as it was.
            self.nodes[node].retry = Some(group);
        }
    }

    fn pull(&mut self, node: usize, count: u8) {
        let leases = self.nodes[node]
            .participant
            .pull(self.now, 0, &model(), count.into());
        self.workers.extend(leases);
    }

    fn finish(&mut self, worker: u8, node: usize, ok: bool) {
        if self.workers.is_empty() {
            return;
        }
        let lease = self.workers[usize::from(worker) % self.workers.len()];
        self.runs += 1;
        let answer = Answer {
            custom_id: format!("item-{}", lease.item.0).into(),
            status: 200,
            code: None,
            body: format!("run {}", self.runs),
        };
        let end = if ok {
            End::Finished(answer)
        } else {
            End::Failed(Code::BackendFailed)
        };
        self.nodes[node].participant.finish(lease, end, ATTEMPTS);
    }

    fn call(&mut self, node: usize, key: u8) {
        let call = id::Call(key.into());
        self.nonces += 1;
        let nonce = self.nonces;
        let this = &mut self.nodes[node];
        if !this.participant.may_start(self.now) {
            return;
        }
        match this
            .participant
            .call(call, nonce, key.into(), self.now.as_millis() as u64)
        {
            Step::Announce => this.announced.push(Announced { call, nonce }),
            Step::Replay(Outcome::Unknown) if self.broken == Some(Broken::RepeatCall) => {
                *self.call_runs.entry(call).or_default() += 1;
            }
            _ => {}
        }
    }

    fn run_calls(&mut self, node: usize) {
        let this = &mut self.nodes[node];
        let participant = &this.participant;
        let (ready, waiting) = std::mem::take(&mut this.announced)
            .into_iter()
            .partition::<Vec<_>, _>(|a| participant.is_announced(a.call, a.nonce));
        this.announced = waiting;
        for announced in ready {
            *self.call_runs.entry(announced.call).or_default() += 1;
            let body = b"done".to_vec();
            let outcome = Outcome::Answered {
                status: 200,
                content_type: "text/plain".into(),
                body,
            };
            this.participant
                .record_outcome(announced.call, announced.nonce, outcome);
        }
    }

    fn withdraw(&mut self, node: usize) {
        let this = &mut self.nodes[node];
        for announced in std::mem::take(&mut this.announced) {
            let (call, nonce) = (announced.call, announced.nonce);
            if !this.participant.is_announced(call, nonce) {
                this.participant.withdraw(call, nonce, Code::LogUnavailable);
            }
        }
    }

    /// Heals everything and sees that all accepted work ends.
    fn heal(&mut self) -> Result<(), String> {
        for node in &mut self.nodes {
            node.believes = [true; NODES];
        }
        for _ in 0..ROUNDS {
            self.now += ROUND;
            for node in 0..NODES {
                self.step(Op::Read(node));
                self.step(Op::Look(node, Fate::Lands));
                self.step(Op::Expire(node));
                for key in 0..KEYS {
                    self.step(Op::Call(node, key));
                }
                self.step(Op::Commit(node, Fate::Lands));
                self.step(Op::Read(node));
                self.step(Op::Run(node));
                // A call that waits too long is given up, as the daemon does.
                self.step(Op::Withdraw(node));
                self.pull(node, u8::MAX);
                for worker in 0..self.workers.len().min(usize::from(u8::MAX)) {
                    self.finish(worker as u8, node, true);
                }
            }
            self.workers.clear();
            self.check()?;
            if self.is_finished() {
                return Ok(());
            }
        }
        Err("accepted work does not end after everything was healed".to_owned())
    }

    fn is_finished(&self) -> bool {
        let settled = |key: u8| {
            let known = self.reference.call(id::Call(key.into()));
            known.is_some_and(|call| !matches!(call.outcome, Some(Outcome::NotRun(_))))
        };
        if !(0..KEYS).all(settled) {
            return false;
        }
        (0..JOBS)
            .filter(|job| self.accepted.contains(job))
            .all(|job| {
                self.reference
                    .job_by_id(job_id(job))
                    .is_some_and(|job| !job.is_open())
            })
    }
}
