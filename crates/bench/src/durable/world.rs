//! Simulated daemons, workers, clients and log of one shard.
//!
//! Applies the operations of a schedule one after another and keeps what clients
//! and workers observed, for the invariant checks. After the schedule all
//! failures stop, and the daemons run until the accepted jobs and the calls are
//! finished, which has to happen within a bounded number of rounds.

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

use super::defect::{Defect, rewrite_page};
use super::log::Log;
use super::op::{CALL_KEYS, DAEMONS, Delivery, JOBS, Op};

/// Number of items in each job.
const ITEMS_PER_JOB: u32 = 4;

/// Maximum number of attempts at an item.
const MAX_ATTEMPTS: u8 = 3;

/// Retention of the log; results are rewritten after half of it.
const RETENTION: Duration = Duration::from_secs(8);

/// Maximum number of rounds without failures until all accepted work has finished.
const MAX_ROUNDS: u32 = 400;

/// Duration of one such round.
const ROUND: Duration = Duration::from_millis(250);

/// Call that was announced and has not run yet.
struct AnnouncedCall {
    call: id::Call,
    nonce: u64,
}

struct Daemon {
    id: id::Daemon,
    participant: Participant,
    /// Daemons that this one believes to be alive.
    believed_alive: [bool; DAEMONS],
    /// Group whose append was not confirmed.
    unconfirmed: Option<Group>,
    announced_calls: Vec<AnnouncedCall>,
}

/// Simulated daemons, workers, clients and log of one shard.
pub struct World {
    pub(super) defect: Option<Defect>,
    now: Duration,
    /// Number of daemon starts; gives each start a new daemon id.
    starts: u32,
    pub(super) log: Log,
    daemons: Vec<Daemon>,
    /// Leases held by workers.
    leases: Vec<Lease>,
    /// Number of item runs; makes the result of each run unique.
    item_runs: u32,
    last_nonce: u64,
    /// Jobs whose submission was acknowledged.
    pub(super) accepted: BTreeSet<u8>,
    /// Accepted jobs whose cancellation was acknowledged.
    pub(super) cancelled: BTreeSet<u8>,
    /// Number of runs of each call.
    pub(super) call_runs: HashMap<id::Call, u32>,
    /// Fold of the whole log.
    pub(super) reference: Shard,
    /// Results read at the last check.
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
        lines: ITEMS_PER_JOB,
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
    /// Creates a world whose daemons have just started.
    #[must_use]
    pub fn new(defect: Option<Defect>) -> Self {
        let mut world = Self {
            defect,
            now: Duration::from_secs(1),
            starts: 0,
            log: Log::default(),
            daemons: Vec::new(),
            leases: Vec::new(),
            item_runs: 0,
            last_nonce: 0,
            accepted: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            call_runs: HashMap::new(),
            reference: Shard::default(),
            results: BTreeMap::new(),
        };
        world.daemons = (0..DAEMONS).map(|_| world.start_daemon()).collect();
        world
    }

    /// Runs a schedule, then stops all failures and waits for accepted work to finish.
    ///
    /// # Errors
    ///
    /// The invariant that was violated, or that accepted work does not finish.
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
        Daemon {
            participant: Participant::new(id.clone(), self.log.recover(self.defect)),
            id,
            believed_alive: [true; DAEMONS],
            unconfirmed: None,
            announced_calls: Vec::new(),
        }
    }

    /// Appends a record without an epoch, which folds accept from any writer.
    fn append_without_epoch(&mut self, record: Record, delivery: Delivery) -> bool {
        let group = Group {
            epoch: None,
            records: vec![record],
        };
        self.log.append(self.now, group, delivery)
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Advance(ms) => self.now += Duration::from_millis(ms.into()),
            Op::Read(daemon) => self.read_log(daemon),
            Op::DecideOwnership(daemon, delivery) => self.decide_ownership(daemon, delivery),
            Op::Commit(daemon, delivery) => self.commit(daemon, delivery),
            Op::DeliverDelayed => self.log.deliver_delayed(self.now),
            Op::Snapshot(daemon, delivery) => {
                let bytes = self.daemons[daemon].participant.shard().snapshot();
                self.log.snapshot(bytes, delivery);
            }
            Op::RewriteResults(daemon) => self.rewrite_results(daemon),
            Op::Truncate => self.log.truncate(self.defect, &self.reference),
            Op::Submit(job, delivery) => {
                let confirmed =
                    self.append_without_epoch(Record::Submit(Box::new(submit(job))), delivery);
                if confirmed || self.defect == Some(Defect::EarlyAck) {
                    self.accepted.insert(job);
                }
            }
            Op::Cancel(job, delivery) => {
                let record = Record::Cancel {
                    job: job_id(job),
                    at_ms: 0,
                };
                if self.append_without_epoch(record, delivery) && self.accepted.contains(&job) {
                    self.cancelled.insert(job);
                }
            }
            Op::Pull(daemon, count) => self.pull(daemon, count),
            Op::Finish(worker, daemon, ok) => self.finish(worker, daemon, ok),
            Op::Expire(daemon) => {
                self.daemons[daemon]
                    .participant
                    .expire(self.now, MAX_ATTEMPTS);
            }
            Op::Call(daemon, key) => self.start_call(daemon, key),
            Op::RunCalls(daemon) => self.run_calls(daemon),
            Op::WithdrawCalls(daemon) => self.withdraw_calls(daemon),
            Op::Restart(daemon) => self.daemons[daemon] = self.start_daemon(),
            Op::TakeOver(daemon) => self.take_over(daemon),
            Op::UpdateLiveness(daemon, other, alive) => {
                self.daemons[daemon].believed_alive[other] = alive || daemon == other;
            }
        }
    }

    /// Lets one daemon run alone, long enough to take the shard over.
    fn take_over(&mut self, daemon: usize) {
        const TAKEOVER_ROUNDS: u32 = 10;
        const TAKEOVER_ROUND: Duration = Duration::from_millis(400);
        let previous = self.daemons[daemon].believed_alive;
        self.daemons[daemon].believed_alive = std::array::from_fn(|other| other == daemon);
        for _ in 0..TAKEOVER_ROUNDS {
            self.now += TAKEOVER_ROUND;
            self.read_log(daemon);
            self.decide_ownership(daemon, Delivery::Confirmed);
        }
        self.daemons[daemon].believed_alive = previous;
    }

    fn read_log(&mut self, daemon: usize) {
        let next = self.daemons[daemon].participant.shard().next();
        let page = self.log.page(next);
        if page.first > next && self.defect != Some(Defect::PassedGap) {
            // Entries were truncated before this daemon read them; a snapshot covers them.
            let shard = self.log.recover(self.defect);
            let this = &mut self.daemons[daemon];
            this.participant = Participant::new(this.id.clone(), shard);
            this.unconfirmed = None;
            this.announced_calls.clear();
            return;
        }
        let page = rewrite_page(self.defect, self.daemons[daemon].participant.shard(), page);
        self.daemons[daemon].participant.apply(self.now, &page);
    }

    /// Rewrites results that approach the end of the retention, as the daemon's
    /// maintenance does.
    fn rewrite_results(&mut self, daemon: usize) {
        let participant = &mut self.daemons[daemon].participant;
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

    fn decide_ownership(&mut self, daemon: usize, delivery: Delivery) {
        let believes_alive = |observer: &Daemon, id: &id::Daemon| {
            let index = self.daemons.iter().position(|other| other.id == *id);
            index.is_some_and(|index| observer.believed_alive[index])
        };
        let this = &self.daemons[daemon];
        let preferred_owner = (0..DAEMONS)
            .find(|other| this.believed_alive[*other])
            .map(|preferred_owner| self.daemons[preferred_owner].id.clone());
        let owner = this.participant.shard().owner().cloned();
        let owner_alive = owner.is_some_and(|owner| believes_alive(this, &owner));
        let surroundings = Context {
            preferred_owner: preferred_owner.as_ref(),
            owner_alive,
            draining: false,
        };
        let record = self.daemons[daemon]
            .participant
            .decide(self.now, surroundings);
        if let Some(record) = record {
            self.append_without_epoch(record, delivery);
        }
    }

    /// Appends the unconfirmed group again, or else the next group of the daemon.
    fn commit(&mut self, daemon: usize, delivery: Delivery) {
        let this = &mut self.daemons[daemon];
        let group = this
            .unconfirmed
            .take()
            .or_else(|| this.participant.take_group());
        let Some(group) = group.filter(|group| this.participant.is_current(group)) else {
            return;
        };
        if !self.log.append(self.now, group.clone(), delivery) {
            // An unconfirmed group is appended again unchanged, as it may already be in the log.
            self.daemons[daemon].unconfirmed = Some(group);
        }
    }

    fn pull(&mut self, daemon: usize, count: u8) {
        let leases = self.daemons[daemon]
            .participant
            .pull(self.now, 0, &model(), count.into());
        self.leases.extend(leases);
    }

    fn finish(&mut self, worker: u8, daemon: usize, ok: bool) {
        if self.leases.is_empty() {
            return;
        }
        let lease = self.leases[usize::from(worker) % self.leases.len()];
        self.item_runs += 1;
        let answer = Answer {
            custom_id: format!("item-{}", lease.item.0).into(),
            status: 200,
            code: None,
            body: format!("run {}", self.item_runs),
        };
        let end = if ok {
            End::Finished(answer)
        } else {
            End::Failed(Code::BackendFailed)
        };
        self.daemons[daemon]
            .participant
            .finish(lease, end, MAX_ATTEMPTS);
    }

    fn start_call(&mut self, daemon: usize, key: u8) {
        let call = id::Call(key.into());
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let this = &mut self.daemons[daemon];
        if !this.participant.may_start(self.now) {
            return;
        }
        match this
            .participant
            .call(call, nonce, key.into(), self.now.as_millis() as u64)
        {
            Step::Announce => this.announced_calls.push(AnnouncedCall { call, nonce }),
            Step::Replay(Outcome::Unknown) if self.defect == Some(Defect::RepeatCall) => {
                *self.call_runs.entry(call).or_default() += 1;
            }
            _ => {}
        }
    }

    fn run_calls(&mut self, daemon: usize) {
        let this = &mut self.daemons[daemon];
        let participant = &this.participant;
        let (ready, waiting) = std::mem::take(&mut this.announced_calls)
            .into_iter()
            .partition::<Vec<_>, _>(|announced| {
                participant.is_announced(announced.call, announced.nonce)
            });
        this.announced_calls = waiting;
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

    fn withdraw_calls(&mut self, daemon: usize) {
        let this = &mut self.daemons[daemon];
        for announced in std::mem::take(&mut this.announced_calls) {
            let (call, nonce) = (announced.call, announced.nonce);
            if !this.participant.is_announced(call, nonce) {
                this.participant.withdraw(call, nonce, Code::LogUnavailable);
            }
        }
    }

    /// Runs all daemons without failures until accepted work has finished.
    fn converge(&mut self) -> Result<(), String> {
        for daemon in &mut self.daemons {
            daemon.believed_alive = [true; DAEMONS];
        }
        for _ in 0..MAX_ROUNDS {
            self.now += ROUND;
            for daemon in 0..DAEMONS {
                self.apply(Op::Read(daemon));
                self.apply(Op::DecideOwnership(daemon, Delivery::Confirmed));
                self.apply(Op::Expire(daemon));
                for key in 0..CALL_KEYS {
                    self.apply(Op::Call(daemon, key));
                }
                self.apply(Op::Commit(daemon, Delivery::Confirmed));
                self.apply(Op::Read(daemon));
                self.apply(Op::RunCalls(daemon));
                // A call that has waited too long is withdrawn, as in the daemon.
                self.apply(Op::WithdrawCalls(daemon));
                self.pull(daemon, u8::MAX);
                for worker in 0..self.leases.len().min(usize::from(u8::MAX)) {
                    self.finish(worker as u8, daemon, true);
                }
            }
            self.leases.clear();
            self.check_invariants()?;
            if self.is_finished() {
                return Ok(());
            }
        }
        Err("accepted work does not finish after all failures stopped".to_owned())
    }

    /// Whether every call is known and not recorded as not run, and every accepted
    /// job has ended.
    fn is_finished(&self) -> bool {
        let settled = |key: u8| {
            let known = self.reference.call(id::Call(key.into()));
            known.is_some_and(|call| !matches!(call.outcome, Some(Outcome::NotRun(_))))
        };
        if !(0..CALL_KEYS).all(settled) {
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
