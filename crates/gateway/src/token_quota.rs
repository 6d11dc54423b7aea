//! Grants for jobs on routes with a token quota.
//!
//! One writer of each daemon reads the grants of all daemons, decides about its jobs in
//! groups and appends the records, on the condition that the topic has not grown since it
//! was read; see [`bitterncart_coordination::fleet::token_quota`]. What the ledgers hold is
//! known from the shards that are loaded here and from the heartbeats of the other owners. A
//! job that gets no decision in time is decided here, by this daemon's share of what is
//! left.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bitterncart_coordination::fleet::token_quota::{
    Ask, Change, Decision, Grant, Jobs, Known, Plan, Shards, Table, Verdict,
};
use bitterncart_coordination::fleet::{Customer, Route};
use bitterncart_protocol::Code;
use bitterncart_state::ledger::{Record, Submission};
use compact_str::CompactString;

use crate::availability::Availability;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::ownership::route_hash;
use crate::shard::{Shard, conflict_backoff};
use crate::store::{Failure, Store, Topic};
use crate::watch::read_snapshot;

/// Time after which a job without a decision is decided by the share of this daemon. With the
/// append of the job it is within the latency objectives of jobs, of which the shortest one
/// is 500 ms.
const DECISION_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of one call to the store; several fit into [`DECISION_TIMEOUT`].
const CALL_TIMEOUT: Duration = Duration::from_millis(120);

/// Time for which the grants that were read are taken as the newest. An append shows if they
/// are not, at the price of a call.
const FRESH_FOR: Duration = Duration::from_millis(50);

/// Time after which a job is so decided while the topic fails persistently; a call that
/// succeeds ends that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of changes in one append.
const MAX_GROUP_CHANGES: usize = 64;

/// Decided by the records of the topic, in metrics and logs.
const RECORDS: &str = "records";

/// Decided by the share of this daemon, in metrics and logs.
const SHARE: &str = "share";

/// Jobs whose tokens count together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Scope {
    /// Short id of the quota.
    id: u32,
    pub host: CompactString,
    pub prefix: CompactString,
    /// Customer; `None` if the jobs of all count.
    pub customer: Option<CompactString>,
}

impl Scope {
    /// Scope of the jobs on a route, or of those of a customer on it.
    pub(crate) fn new(route: &Route, customer: Option<&Customer>) -> Self {
        let customer = customer.map(|customer| customer.name.as_str());
        Self {
            id: route_hash(route, customer),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            customer: customer.map(CompactString::from),
        }
    }

    /// Tokens in all shards but one; `None` if those of a shard are not known.
    pub(crate) fn tokens_without<S: Store, D: Dialect>(
        &self,
        core: &Core<S, D>,
        left_out: &Shard,
    ) -> Option<u64> {
        let shards = core.shards.iter();
        let others = shards.filter(|shard| !std::ptr::eq(*shard, left_out));
        let tokens = |shard| Some(self.known_in(core, shard, &[])?.tokens);
        others.map(tokens).sum()
    }

    /// What a shard is known to hold; `None` if it is neither loaded nor reported.
    fn known_in<S: Store, D: Dialect>(
        &self,
        core: &Core<S, D>,
        shard: &Shard,
        grants: &[Grant],
    ) -> Option<Known> {
        let read = shard.is_loaded().then(|| {
            let ledger = shard.ledger();
            let grants = grants.iter().filter(|grant| grant.shard == shard.number());
            let jobs = grants.map(|grant| &grant.job);
            let jobs = jobs.filter(|job| ledger.job(job).is_some()).cloned();
            Known {
                tokens: ledger.open_tokens(&self.host, &self.prefix, self.customer.as_deref()),
                jobs: Jobs::Read(jobs.collect()),
            }
        });
        if shard.is_serving() {
            return read;
        }
        // An owner that has not read on does not report the jobs accepted here for it.
        let reported = core.peers().known_jobs(shard.number(), self.id);
        match (read, reported) {
            (Some(read), Some(reported)) if read.tokens > reported.tokens => Some(read),
            (read, reported) => reported.or(read),
        }
    }
}

/// Change that waits for its decision.
#[derive(Debug)]
struct Pending {
    change: Change,
    scope: Scope,
    /// `None` if nobody waits.
    reply_sender: Option<Sender<Decision>>,
}

impl Pending {
    fn is_abandoned(&self) -> bool {
        self.reply_sender.as_ref().is_some_and(Sender::is_closed)
    }

    fn reply(self, decision: Decision) {
        if let Some(sender) = self.reply_sender {
            // The caller may have stopped waiting.
            let _sent = sender.try_send(decision);
        }
    }
}

/// Grants as this daemon knows them, and the changes that wait for its writer.
#[derive(Debug)]
pub(crate) struct TokenQuotas {
    table: Mutex<Table>,
    availability: Availability,
    changes: Sender<Pending>,
    queue: Receiver<Pending>,
}

impl Default for TokenQuotas {
    fn default() -> Self {
        let (changes, queue) = async_channel::unbounded();
        Self {
            table: Mutex::default(),
            availability: Availability::default(),
            changes,
            queue,
        }
    }
}

impl TokenQuotas {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Permission to append one job.
#[derive(Debug)]
pub(crate) struct Permit {
    ask: Ask,
    scope: Scope,
}

impl Permit {
    /// Gives the permit back, as the job is certainly not appended.
    pub(crate) fn release<S: Store, D: Dialect>(self, core: &Core<S, D>) {
        core.token_quotas.table().release_local(&self.ask);
        let change = Pending {
            change: Change::Release(self.ask),
            scope: self.scope,
            reply_sender: None,
        };
        // The channel is unbounded, and open as long as the daemon runs.
        let _sent = core.token_quotas.changes.try_send(change);
    }
}

/// Acquires the permission to append a job to a shard; `None` if its route has no quota.
///
/// # Errors
///
/// If the job does not fit, or it is not known how much is queued.
pub(crate) async fn acquire<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: &Route,
    customer: Option<&Customer>,
    shard: &Shard,
    job: &Submission,
) -> Result<Option<Permit>, Code> {
    let Some(max_tokens) = route.batch.max_tokens else {
        return Ok(None);
    };
    let scope = Scope::new(route, customer);
    let tokens = job.items.iter().map(|item| item.tokens);
    let ask = Ask {
        quota: scope.id,
        max_tokens,
        grant: Grant {
            job: job.id.clone(),
            shard: shard.number(),
            tokens: tokens.fold(0, u64::saturating_add),
            nonce: rand::random(),
        },
    };
    if ask.grant.tokens > max_tokens {
        return Err(Code::TokenLimited);
    }
    let (reply_sender, reply) = async_channel::bounded(1);
    let change = Pending {
        change: Change::Add(ask.clone()),
        scope: scope.clone(),
        reply_sender: Some(reply_sender),
    };
    // The channel is unbounded, and open as long as the daemon runs.
    let _sent = core.token_quotas.changes.try_send(change);
    let timeout = match core.token_quotas.availability.is_unavailable(clock::now()) {
        true => PROBE_TIMEOUT,
        false => DECISION_TIMEOUT,
    };
    let (decision, by) = match with_timeout(timeout, reply.recv()).await {
        Some(Ok(decision)) => (decision, RECORDS),
        _ => (decide_locally(core, &scope, &ask), SHARE),
    };
    core.metrics.token_quota(by, decision.verdict);
    log::token_quota_decided(&ask, by, decision);
    let permit = Permit { ask, scope };
    let code = match decision.verdict {
        Verdict::Granted => return Ok(Some(permit)),
        Verdict::Exceeded => Code::TokenLimited,
        Verdict::Unknown => Code::LogUnavailable,
    };
    if by == SHARE {
        // The writer may still grant it.
        permit.release(core);
    }
    Err(code)
}

/// Decides by the share of this daemon, as the records cannot be written in time.
fn decide_locally<S: Store, D: Dialect>(core: &Core<S, D>, scope: &Scope, ask: &Ask) -> Decision {
    let shards = known_shards(core, scope);
    let daemons = core
        .members()
        .len()
        .max(core.peers().live(clock::now()).count() + 1);
    let mut table = core.token_quotas.table();
    table.decide_locally(clock::now(), ask, &shards, daemons)
}

/// What the shards are known to hold; `None` if that of one is not known, or may be from
/// before a suspension.
fn known_shards<S: Store, D: Dialect>(core: &Core<S, D>, scope: &Scope) -> Shards {
    if core.peers().may_be_outdated(clock::now()) {
        return None;
    }
    let table = core.token_quotas.table();
    let grants: Vec<Grant> = table.grants(clock::now(), scope.id).cloned().collect();
    drop(table);
    let shards = core.shards.iter();
    shards
        .map(|shard| scope.known_in(core, shard, &grants))
        .collect()
}

/// Offset up to which the grants were read.
#[derive(Debug, Default)]
struct Position {
    /// `None` if they have to be read as a whole.
    next: Option<u64>,
    /// Time at which they were known to be the newest.
    read_at: Option<Duration>,
}

/// Writer of this daemon: decides about the jobs that are submitted here.
pub(crate) async fn run_writer<S: Store, D: Dialect>(core: Core<S, D>) {
    let quotas = &core.token_quotas;
    let mut position = Position::default();
    let mut pending: Vec<Pending> = Vec::new();
    let mut conflicts = 0;
    loop {
        if pending.is_empty() {
            conflicts = 0;
            match quotas.queue.recv().await {
                Ok(change) => pending.push(change),
                Err(_) => return,
            }
        }
        while pending.len() < MAX_GROUP_CHANGES {
            match quotas.queue.try_recv() {
                Ok(change) => pending.push(change),
                Err(_) => break,
            }
        }
        pending.retain(|change| !change.is_abandoned());
        if pending.is_empty() {
            continue;
        }
        match decide(&core, &mut position, &pending).await {
            Ok(decisions) => {
                let _failed = quotas.availability.record_success();
                for (change, decision) in pending.drain(..).zip(decisions) {
                    change.reply(decision);
                }
            }
            Err(Failure::Conflict) => {
                let _failed = quotas.availability.record_success();
                core.record_store_success();
                core.metrics.token_quota_conflict();
                smol::Timer::after(conflict_backoff(conflicts)).await;
                conflicts += 1;
            }
            Err(e) => {
                core.metrics.store_failure("quota");
                if quotas.availability.record_failure() {
                    log::store_call_failed("quota", &e);
                }
                // A release is not worth waiting for; the grant ends by itself.
                pending.retain(|change| change.reply_sender.is_some());
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Decides about a group of changes, and appends the grants.
async fn decide<S: Store, D: Dialect>(
    core: &Core<S, D>,
    position: &mut Position,
    pending: &[Pending],
) -> Result<Vec<Decision>, Failure> {
    let is_fresh = |at: Duration| clock::now().saturating_sub(at) < FRESH_FOR;
    if !position.read_at.is_some_and(is_fresh) {
        read_on(core, position).await?;
    }
    let Plan { records, decisions } = plan(core, pending);
    if records.is_empty() {
        return Ok(decisions);
    }
    let records: Vec<Record> = records
        .into_iter()
        .map(|(key, value)| Record {
            key,
            value: Some(value),
        })
        .collect();
    // What was read is out of date unless the append succeeds.
    position.read_at = None;
    let started = clock::now();
    let appended = core
        .store
        .append(Topic::Quotas, position.next, &records, CALL_TIMEOUT);
    position.next = Some(appended.await?);
    position.read_at = Some(started);
    core.record_store_success();
    apply(core, &records);
    Ok(decisions)
}

fn plan<S: Store, D: Dialect>(core: &Core<S, D>, pending: &[Pending]) -> Plan {
    let mut shards: HashMap<u32, Shards> = HashMap::new();
    for change in pending {
        let scope = &change.scope;
        shards
            .entry(scope.id)
            .or_insert_with(|| known_shards(core, scope));
    }
    let changes = pending.iter().map(|change| &change.change);
    let table = core.token_quotas.table();
    table.plan(clock::now(), changes, |quota| &shards[&quota])
}

/// Reads the grants to the end of the topic.
async fn read_on<S: Store, D: Dialect>(
    core: &Core<S, D>,
    position: &mut Position,
) -> Result<(), Failure> {
    loop {
        let started = clock::now();
        let Some(next) = position.next else {
            let (records, end) = read_snapshot(core, Topic::Quotas, CALL_TIMEOUT).await?;
            apply(core, &records);
            position.next = Some(end);
            continue;
        };
        let read = core.store.read(Topic::Quotas, next, Duration::ZERO);
        match with_timeout(CALL_TIMEOUT, read).await {
            Some(Ok(read)) => {
                core.record_store_success();
                apply(core, &read.records);
                let end = next + read.records.len() as u64;
                position.next = Some(end);
                if end >= read.end_offset {
                    position.read_at = Some(started);
                    return Ok(());
                }
                if read.records.is_empty() {
                    // The records before the end have been deleted.
                    position.next = None;
                }
            }
            Some(Err(Failure::Truncated)) => position.next = None,
            Some(Err(e)) => {
                if matches!(e, Failure::Undecodable(_)) {
                    // A read from the same offset may bring the same; pages do not.
                    position.next = None;
                }
                return Err(e);
            }
            None => return Err(Failure::OutcomeUnknown("silence".into())),
        }
    }
}

fn apply<S: Store, D: Dialect>(core: &Core<S, D>, records: &[Record]) {
    let now = clock::now();
    for record in records {
        let mut table = core.token_quotas.table();
        let is_valid = table.apply(now, &record.key, record.value.as_deref());
        drop(table);
        if !is_valid {
            core.metrics.add_invalid("quota", 1);
            log::record_invalid(&record.key, "no grants of a quota");
        }
    }
}
