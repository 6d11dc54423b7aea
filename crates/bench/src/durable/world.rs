//! Daemons, clients and one log, step by step.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::str::FromStr;
use std::time::Duration;

use bitterncart_coordination::Participant;
use bitterncart_coordination::call::Step;
use bitterncart_coordination::participant::Surroundings;
use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::peer::{End, Lease};
use bitterncart_protocol::record::{Answer, Chunk, Group, Outcome, Record, Submit};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::Shard;
use bitterncart_state::shard::Event;

use super::op::{Fate, JOBS, KEYS, NODES, Op};

/// Items of each job.
const ITEMS: u32 = 4;

/// Attempts at an item.
const ATTEMPTS: u8 = 3;

/// Rounds in which a healed system finishes everything.
const ROUNDS: u32 = 400;

/// Time of one such round.
const ROUND: Duration = Duration::from_millis(250);

/// Rule that is broken on purpose, to see that the checks catch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Folds accept a group of an older epoch.
    StaleEpoch,
    /// A submission is acknowledged before its append is confirmed.
    EarlyAck,
    /// A call whose outcome is unknown runs again.
    RepeatCall,
}

impl FromStr for Broken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "stale-epoch" => Ok(Self::StaleEpoch),
            "early-ack" => Ok(Self::EarlyAck),
            "repeat-call" => Ok(Self::RepeatCall),
            _ => Err("write stale-epoch, early-ack or repeat-call".to_owned()),
        }
    }
}

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
    broken: Option<Broken>,
    now: Duration,
    lives: u32,
    log: Vec<Entry>,
    late: Vec<Group>,
    nodes: Vec<Node>,
    workers: Vec<Lease>,
    runs: u32,
    nonces: u64,
    accepted: BTreeSet<u8>,
    cancelled: BTreeSet<u8>,
    call_runs: HashMap<id::Call, u32>,
    reference: Shard,
    results: BTreeMap<(id::Job, u32), String>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World")
            .field("entries", &self.log.len())
            .finish_non_exhaustive()
    }
}

fn model() -> Name {
    Name::from("model")
}

fn job_id(job: u8) -> id::Job {
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
            log: Vec::new(),
            late: Vec::new(),
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
        let mut shard = Shard::default();
        read(self.broken, &mut shard, &self.page(0));
        Node {
            participant: Participant::new(me.clone(), shard),
            me,
            believes: [true; NODES],
            retry: None,
            announced: Vec::new(),
        }
    }

    fn page(&self, from: u64) -> Page {
        let entries = self
            .log
            .iter()
            .filter(|entry| entry.offset >= from)
            .cloned()
            .collect();
        Page {
            first: 0,
            next: self.log.len() as u64,
            entries,
        }
    }

    /// Appends a group as its fate will have it; returns whether it was confirmed.
    fn append(&mut self, group: Group, fate: Fate) -> bool {
        match fate {
            Fate::Lands | Fate::AnswerLost => self.land(&group),
            Fate::Late => self.late.push(group),
            Fate::Lost => {}
        }
        fate == Fate::Lands
    }

    fn land(&mut self, group: &Group) {
        let entry = Entry {
            offset: self.log.len() as u64,
            at_ms: self.now.as_millis() as u64,
            payload: group.encode(),
        };
        self.log.push(entry);
    }

    fn open(&mut self, record: Record, fate: Fate) -> bool {
        self.append(
            Group {
                epoch: None,
                records: vec![record],
            },
            fate,
        )
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Wait(ms) => self.now += Duration::from_millis(ms.into()),
            Op::Read(node) => self.read(node),
            Op::Look(node, fate) => self.look(node, fate),
            Op::Commit(node, fate) => self.commit(node, fate),
            Op::Land if !self.late.is_empty() => {
                let group = self.late.remove(0);
                self.land(&group);
            }
            Op::Land => {}
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
        let page = self.page(self.nodes[node].participant.shard().next());
        let page = rewrite(self.broken, self.nodes[node].participant.shard(), page);
        self.nodes[node].participant.apply(self.now, &page);
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
        let around = Surroundings {
            winner: winner.as_ref(),
            owner_alive,
            draining: false,
        };
        let record = self.nodes[node].participant.look(self.now, around);
        if let Some(record) = record {
            self.open(record, fate);
        }
    }

    fn commit(&mut self, node: usize, fate: Fate) {
        let this = &mut self.nodes[node];
        let group = this.retry.take().or_else(|| this.participant.take_group());
        let Some(group) = group.filter(|group| this.participant.stands(group)) else {
            return;
        };
        if !self.append(group.clone(), fate) {
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
                .settle(announced.call, announced.nonce, outcome);
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

    fn check(&mut self) -> Result<(), String> {
        let page = rewrite(
            self.broken,
            &self.reference,
            self.page(self.reference.next()),
        );
        let events = self.reference.read(&page);
        self.check_cancelled(&events)?;
        let restored = Shard::restore(&self.reference.snapshot());
        if restored.map(|shard| shard.snapshot()) != Some(self.reference.snapshot()) {
            return Err("a snapshot does not restore the state".to_owned());
        }
        for job in &self.accepted {
            if self.reference.find(job_id(*job)).is_none() {
                return Err(format!("the accepted job {job} is lost"));
            }
        }
        if let Some((call, runs)) = self.call_runs.iter().find(|(_, runs)| **runs > 1) {
            return Err(format!("the call {} ran {runs} times", call.0));
        }
        self.check_results()
    }

    fn check_cancelled(&self, events: &[Event]) -> Result<(), String> {
        for event in events {
            let Event::Finished(key, _) = event else {
                continue;
            };
            let job = self.reference.job(*key);
            if job.is_some_and(|job| job.cancelled_ms.is_some()) {
                return Err("an item of a cancelled job finished".to_owned());
            }
        }
        Ok(())
    }

    /// Reads results back from the entries as a caller would.
    fn check_results(&mut self) -> Result<(), String> {
        let mut seen = BTreeMap::new();
        for (_, job) in self.reference.jobs() {
            let id = job.submit.job;
            for place in &job.results {
                let entry = &self.log[place.offset as usize];
                let group =
                    Group::decode(&entry.payload).ok_or("a result entry does not decode")?;
                for record in group.records {
                    let Record::Done {
                        job: of,
                        item,
                        answer,
                    } = record
                    else {
                        continue;
                    };
                    if of == id && seen.insert((id, item.0), answer.body).is_some() {
                        return Err(format!("item {} has two results", item.0));
                    }
                }
            }
            let read = seen.keys().filter(|(of, _)| *of == id).count() as u64;
            if read != job.done.len() {
                return Err(format!(
                    "{read} results of {} ended items can be read",
                    job.done.len()
                ));
            }
        }
        for (key, body) in &self.results {
            if seen.get(key) != Some(body) {
                return Err(format!("the result of item {} changed or went", key.1));
            }
        }
        self.results = seen;
        Ok(())
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
                    .find(job_id(job))
                    .is_some_and(|job| !job.is_open())
            })
    }
}

fn read(broken: Option<Broken>, shard: &mut Shard, page: &Page) {
    let page = rewrite(broken, shard, page.clone());
    shard.read(&page);
}

/// With [`Broken::StaleEpoch`], makes every owner's group look current.
fn rewrite(broken: Option<Broken>, shard: &Shard, mut page: Page) -> Page {
    if broken != Some(Broken::StaleEpoch) {
        return page;
    }
    let mut fold = shard.clone();
    for entry in &mut page.entries {
        let Some(mut group) = Group::decode(&entry.payload) else {
            continue;
        };
        if group.epoch.is_some() {
            group.epoch = Some(fold.epoch());
        }
        entry.payload = group.encode();
        fold.apply(entry.offset, entry.at_ms, &group);
    }
    page
}
