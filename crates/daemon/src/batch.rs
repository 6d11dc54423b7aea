//! Scheduling of batch items on the replicas that this daemon owns.
//!
//! The batch limiter states how many batch slots each replica has now. The
//! scheduler fills free slots first with paused streams and then with items
//! that it leases from the owners of shards. When a replica runs more streams
//! than it has slots, the newest streams are preempted at once; they resume
//! later from the tokens that they have already generated. A second task sends
//! the ends of attempts to the owners of the shards and renews the leases of
//! the running items.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::batch_limit::{Bounds, Limiter};
use bitterncart_coordination::retry::Failure;
use bitterncart_coordination::routing::{Class, Key, State};
use bitterncart_coordination::streams::{Ended, Run, Start};
use bitterncart_protocol::peer::{Assignment, End, Lease, Request, Response};
use bitterncart_protocol::record::Answer;
use bitterncart_protocol::{Code, Document, Name, id};
use futures_lite::future;
use rand::Rng;
use serde_json::Value;

use crate::core::Core;
use crate::counters::Count;
use crate::engine::{AttemptError, Dispatch, Sequence};
use crate::response_body::completion;
use crate::{peers, shards};

/// Interval between two scheduling passes.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two rounds of sending attempt ends and renewing leases.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a request to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

/// Initial backoff after an empty shard, multiplied by the number of shards;
/// doubles up to [`EMPTY_BACKOFF_MAX`].
const EMPTY_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum backoff after an empty shard, multiplied by the number of shards, so
/// that an idle daemon polls two shards per second however many there are.
const EMPTY_BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Maximum number of pull requests to other daemons in one scheduling pass.
const MAX_REMOTE_PULLS: usize = 2;

/// Maximum number of attempt ends queued per shard while its owner is unreachable.
const MAX_QUEUED_ENDS: usize = 20_000;

/// Latency bound, to the first token and between tokens, of a model without
/// online traffic.
const NO_ONLINE_BOUND: Duration = Duration::from_secs(10);

/// Replica that this daemon owns, with its current number of batch slots.
struct OwnedReplica {
    key: Key,
    model: Name,
    slots: usize,
}

/// Copy of the routing table's entry for a replica of this data centre.
struct LocalReplica {
    key: Key,
    name: Name,
    model: Name,
    data_centre: Name,
    up: bool,
    online: u32,
}

/// Backoff of shards whose last pull returned no items of a model.
#[derive(Default)]
struct EmptyShards {
    backoffs: HashMap<(id::Shard, Name), Backoff>,
}

#[derive(Clone, Copy)]
struct Backoff {
    until: Duration,
    delay: Duration,
}

impl EmptyShards {
    fn is_due(&self, now: Duration, key: &(id::Shard, Name)) -> bool {
        self.backoffs
            .get(key)
            .is_none_or(|backoff| now >= backoff.until)
    }

    fn back_off(&mut self, now: Duration, key: (id::Shard, Name), shard_count: u16) {
        let shard_count = u32::from(shard_count);
        let next = self
            .backoffs
            .get(&key)
            .map_or(EMPTY_BACKOFF * shard_count, |backoff| backoff.delay * 2);
        let delay = next.min(EMPTY_BACKOFF_MAX * shard_count);
        let until = now + delay.mul_f64(rand::rng().random_range(0.5..1.0));
        self.backoffs.insert(key, Backoff { until, delay });
    }
}

/// Records the online sequences that a daemon runs on a replica and returns the
/// number that all other daemons run there.
pub fn record_pressure(
    core: &Core,
    replica: &Name,
    from: &id::Daemon,
    running: u32,
    late: bool,
) -> u32 {
    let now = core.now();
    let mut limiters = core.batch_limiters();
    limiters.get_mut(replica).map_or(0, |limiter| {
        limiter.record_online(now, from, running, late);
        limiter.online_except(now, from)
    })
}

/// Records the time to first token of an online sequence.
pub fn record_ttft(core: &Arc<Core>, key: Key, now: Duration, ttft: Duration) {
    core.counters.record_ttft_ms(ttft.as_millis() as u64);
    update_limiter(core, key, |limiter| limiter.record_ttft(now, ttft));
}

/// Records the time between two tokens of an online or batch sequence; if the
/// replica has another owner, a late token is reported to that owner.
pub fn record_itl(core: &Arc<Core>, key: Key, now: Duration, itl: Duration) {
    let owned = update_limiter(core, key, |limiter| limiter.record_itl(now, itl));
    if !owned && exceeds_itl_bound(core, key, itl) {
        crate::engine::report_pressure(core, key, true);
    }
}

/// Updates the batch limiter of a replica; `false` if this daemon has none.
fn update_limiter(core: &Core, key: Key, update: impl FnOnce(&mut Limiter)) -> bool {
    let Some(name) = core
        .routing()
        .replica(key)
        .map(|replica| replica.name.clone())
    else {
        return false;
    };
    match core.batch_limiters().get_mut(&name) {
        Some(limiter) => {
            update(limiter);
            true
        }
        None => false,
    }
}

fn exceeds_itl_bound(core: &Core, key: Key, itl: Duration) -> bool {
    let Ok(document) = core.document() else {
        return false;
    };
    let model = core
        .routing()
        .replica(key)
        .map(|replica| replica.serves.clone());
    let online = model.and_then(|model| document.model(model.as_str())?.online.clone());
    online.is_some_and(|online| itl > Duration::from_millis(online.itl_ms))
}

/// Schedules batch streams until the runtime stops.
pub async fn run_scheduler(core: Arc<Core>) {
    let mut empty_shards = EmptyShards::default();
    loop {
        let replicas = owned_replicas(&core);
        for replica in &replicas {
            preempt_excess(&core, replica);
            resume_paused(&core, replica);
        }
        if !core.is_draining() {
            fill_slots(&core, &replicas, &mut empty_shards).await;
        }
        smol::Timer::after(SCHEDULE_INTERVAL).await;
    }
}

/// Replicas that this daemon owns; one that is not up has no slots.
fn owned_replicas(core: &Core) -> Vec<OwnedReplica> {
    let Ok(document) = core.document() else {
        return Vec::new();
    };
    let now = core.now();
    let local: Vec<LocalReplica> = {
        let routing = core.routing();
        let local = routing.replicas().filter(|(_, replica)| replica.is_local());
        local
            .map(|(key, replica)| LocalReplica {
                key,
                name: replica.name.clone(),
                model: replica.serves.clone(),
                data_centre: replica.data_centre.clone(),
                up: replica.state == State::Up,
                online: replica.online,
            })
            .collect()
    };
    let mut owned = Vec::new();
    for replica in local {
        let owner = core.replica_owner(&replica.name, &replica.data_centre);
        let mine = owner.is_some_and(|owner| owner.daemon == core.daemon_id);
        let bounds = bounds(&document, &replica.model).filter(|_| mine);
        let mut limiters = core.batch_limiters();
        let Some(bounds) = bounds else {
            limiters.remove(&replica.name);
            continue;
        };
        let limiter = limiters
            .entry(replica.name)
            .or_insert_with(|| Limiter::new(now, bounds));
        limiter.configure(bounds);
        limiter.record_online(now, &core.daemon_id, replica.online, false);
        let slots = if replica.up {
            limiter.batch_limit(now)
        } else {
            0
        };
        owned.push(OwnedReplica {
            key: replica.key,
            model: replica.model,
            slots: slots as usize,
        });
    }
    owned
}

/// Bounds of batch on a replica; `None` if the model takes no batch work.
fn bounds(document: &Document, model: &Name) -> Option<Bounds> {
    let model = document
        .model(model.as_str())
        .filter(|model| model.batch.is_some())?;
    let (ttft, itl) = match &model.online {
        Some(online) => (
            Duration::from_millis(online.ttft_ms),
            Duration::from_millis(online.itl_ms),
        ),
        None => (NO_ONLINE_BOUND, NO_ONLINE_BOUND),
    };
    Some(Bounds {
        max_sequences: model.max_sequences,
        reserve: if model.online.is_some() {
            document.sharing.reserve
        } else {
            0
        },
        ttft,
        itl,
        batch_weight: document.sharing.batch_weight,
    })
}

/// Preempts the newest streams that exceed the replica's slots.
fn preempt_excess(core: &Core, replica: &OwnedReplica) {
    let preempted = core
        .streams()
        .preempt(core.now(), replica.key, replica.slots);
    for _ in 0..preempted {
        core.counters.add(Count::BatchPreempted, 1);
        core.counters.count_code(Code::RetryGiveWay);
    }
}

fn free_slots(core: &Core, replica: &OwnedReplica) -> usize {
    replica
        .slots
        .saturating_sub(core.streams().running(replica.key))
}

/// Resumes paused streams of the replica's model in its free slots.
fn resume_paused(core: &Arc<Core>, replica: &OwnedReplica) {
    let free = free_slots(core, replica);
    let paused = core.streams().paused(&replica.model, free);
    for lease in paused {
        spawn_run(core, lease, replica.key);
    }
}

fn model_of(assignment: &Assignment) -> Name {
    #[derive(serde::Deserialize)]
    struct Model {
        model: Name,
    }
    serde_json::from_str::<Model>(&assignment.body)
        .map(|body| body.model)
        .unwrap_or_default()
}

/// Pulls items for free slots, trying the shards from a random one on until one
/// has items.
async fn fill_slots(core: &Arc<Core>, replicas: &[OwnedReplica], empty_shards: &mut EmptyShards) {
    let Ok(document) = core.document() else {
        return;
    };
    let mut remote_pulls = 0;
    for replica in replicas {
        let free = free_slots(core, replica);
        if free == 0 || remote_pulls >= MAX_REMOTE_PULLS {
            continue;
        }
        let shard_count = document.log.shards;
        let start = rand::rng().random_range(0..shard_count);
        let numbers = (0..shard_count).map(|i| id::Shard((start + i) % shard_count));
        for number in numbers {
            let key = (number, replica.model.clone());
            let now = core.now();
            if remote_pulls >= MAX_REMOTE_PULLS || !empty_shards.is_due(now, &key) {
                continue;
            }
            let mine = core
                .shards()
                .get(&number)
                .is_some_and(|handle| handle.is_owner());
            remote_pulls += usize::from(!mine);
            let items = pull_items(core, number, &replica.model, free as u16, mine).await;
            if items.is_empty() {
                empty_shards.back_off(now, key, shard_count);
                continue;
            }
            empty_shards.backoffs.remove(&key);
            for item in items {
                start_item(core, number, item, replica.key);
            }
            break;
        }
    }
}

/// Leases items from a shard's owner; none if the owner cannot be reached.
async fn pull_items(
    core: &Core,
    shard: id::Shard,
    model: &Name,
    count: u16,
    mine: bool,
) -> Vec<Assignment> {
    if mine {
        return shards::lease_items(core, shard, model, count)
            .await
            .unwrap_or_default();
    }
    let request = Request::Pull {
        shard,
        model: model.clone(),
        count,
    };
    match peers::send_to_owner(core, shard, &request, PEER_TIMEOUT).await {
        Ok(Response::Work(assignments)) => assignments,
        _ => Vec::new(),
    }
}

fn start_item(core: &Arc<Core>, shard: id::Shard, assignment: Assignment, key: Key) {
    let lease = assignment.lease;
    let model = model_of(&assignment);
    core.streams().insert(core.now(), shard, model, assignment);
    spawn_run(core, lease, key);
}

/// Spawns a run of a paused stream at a replica.
fn spawn_run(core: &Arc<Core>, lease: Lease, key: Key) {
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let Some(start) = core.streams().launch(lease, key, stop) else {
        return;
    };
    let task_core = Arc::clone(core);
    let task = async move {
        let run = start.run;
        let attempt = async { Some(run_attempt(&task_core, start, key).await) };
        // The channel closes when the stream is preempted or dropped.
        let stop = async {
            stopped.recv().await.ok();
            None
        };
        if let Some(outcome) = future::or(stop, attempt).await {
            finish_run(&task_core, lease, run, outcome);
        }
    };
    core.runtime.spawn(task).detach();
}

/// Outcome of a run that was not stopped.
enum Outcome {
    /// All tokens were generated.
    Completed,
    /// The attempt ended without a complete answer.
    Incomplete(End),
}

/// Ends the stream of a run and queues the attempt's end for the shard's owner.
fn finish_run(core: &Core, lease: Lease, run: Run, outcome: Outcome) {
    let Some(ended) = core.streams().end(lease, run) else {
        return;
    };
    let end = match outcome {
        Outcome::Completed => {
            core.counters.add(Count::BatchFinished, 1);
            completed_end(&ended)
        }
        Outcome::Incomplete(end) => end,
    };
    let mut ends = core.ends();
    let queued = ends.entry(ended.shard).or_default();
    if queued.len() < MAX_QUEUED_ENDS {
        queued.push((lease, end));
    }
}

async fn run_attempt(core: &Arc<Core>, start: Start, key: Key) -> Outcome {
    let Start {
        run,
        assignment,
        tokens_done,
    } = start;
    let Ok(request) = serde_json::from_str::<Value>(&assignment.body) else {
        return Outcome::Incomplete(End::Failed(Code::MalformedJson));
    };
    let first_token_timeout = first_token_timeout(core, &assignment);
    let endpoint = &assignment.endpoint;
    let dispatch = Dispatch {
        key,
        class: Class::Batch,
        endpoint,
        request: &request,
        resume_tokens: tokens_done,
        first_token_timeout,
    };
    let mut sequence = match Sequence::start(core, dispatch).await {
        Ok(sequence) => sequence,
        Err(error) => return Outcome::Incomplete(failed_end(core, &assignment, error)),
    };
    loop {
        match sequence.next().await {
            Ok(Some(token)) => {
                if !core.streams().add_token(assignment.lease, run, token.text) {
                    return Outcome::Incomplete(End::Returned);
                }
            }
            Ok(None) => return Outcome::Completed,
            Err(error) => return Outcome::Incomplete(failed_end(core, &assignment, error)),
        }
    }
}

/// Timeout of the first token; 30 s if the model is no longer in the document.
fn first_token_timeout(core: &Core, assignment: &Assignment) -> Duration {
    let document = core.document().ok();
    let model = model_of(assignment);
    let batch = document
        .as_ref()
        .and_then(|document| document.model(model.as_str())?.batch.as_ref());
    Duration::from_millis(batch.map_or(30_000, |batch| batch.attempt_ms))
}

/// End of an attempt that failed.
///
/// A failed connection, a refusal and a silent replica do not use up one of the
/// item's attempts, since the item is not their cause.
fn failed_end(core: &Core, assignment: &Assignment, error: AttemptError) -> End {
    match error {
        AttemptError::Failed(
            failure @ (Failure::Connect | Failure::Refused | Failure::Timeout),
        ) => {
            core.counters.count_code(failure.retry_code());
            End::Returned
        }
        AttemptError::Failed(failure) => {
            core.counters.count_code(failure.retry_code());
            End::Failed(Code::BackendFailed)
        }
        AttemptError::Rejected(status, body) => {
            let answer = Answer {
                custom_id: assignment.custom_id.clone(),
                status,
                code: Some(Code::BackendRejected),
                body,
            };
            End::Finished(answer)
        }
    }
}

fn completed_end(ended: &Ended) -> End {
    let assignment = &ended.assignment;
    let body = completion(&assignment.endpoint, &model_of(assignment), &ended.text).to_string();
    End::Finished(Answer {
        custom_id: assignment.custom_id.clone(),
        status: 200,
        code: None,
        body,
    })
}

/// Sends attempt ends to the shards' owners and renews leases until the runtime
/// stops.
pub async fn run_flusher(core: Arc<Core>) {
    loop {
        let paused_too_long = core.streams().take_overdue(core.now());
        queue_returns(&core, paused_too_long);
        flush_ends(&core).await;
        renew_leases(&core).await;
        smol::Timer::after(FLUSH_INTERVAL).await;
    }
}

async fn flush_ends(core: &Core) {
    let all: Vec<(id::Shard, Vec<(Lease, End)>)> = core.ends().drain().collect();
    for (shard, ends) in all {
        if ends.is_empty() {
            continue;
        }
        if shards::finish_attempts(core, shard, ends.clone()).is_ok() {
            continue;
        }
        let request = Request::Finish { shard, ends };
        match peers::send_to_owner(core, shard, &request, PEER_TIMEOUT).await {
            Ok(Response::Done) => {}
            _ => requeue_ends(core, request),
        }
    }
}

/// Queues ends again for the next round; a result is also valid for a later
/// owner of the shard.
fn requeue_ends(core: &Core, request: Request) {
    if let Request::Finish { shard, ends } = request {
        let mut all = core.ends();
        let queued = all.entry(shard).or_default();
        let room = MAX_QUEUED_ENDS.saturating_sub(queued.len());
        queued.extend(ends.into_iter().take(room));
    }
}

/// Renews the leases that are due and drops the streams whose lease was revoked.
async fn renew_leases(core: &Core) {
    let now = core.now();
    let mut due: HashMap<id::Shard, Vec<Lease>> = HashMap::new();
    for (shard, lease) in core.streams().leases_to_renew(now) {
        due.entry(shard).or_default().push(lease);
    }
    for (shard, leases) in due {
        let revoked = match shards::renew_leases(core, shard, &leases) {
            Ok(revoked) => Some(revoked),
            Err(_) => {
                let request = Request::Renew {
                    shard,
                    leases: leases.clone(),
                };
                match peers::send_to_owner(core, shard, &request, PEER_TIMEOUT).await {
                    Ok(Response::Revoked(revoked)) => Some(revoked),
                    _ => None,
                }
            }
        };
        let Some(revoked) = revoked else { continue };
        let mut streams = core.streams();
        for lease in leases {
            if revoked.contains(&lease) {
                streams.revoke(&lease);
            } else {
                streams.record_renewal(now, &lease);
            }
        }
    }
}

/// Stops all batch streams and returns their leases to the owners of the shards,
/// before a shutdown.
pub async fn return_streams(core: &Core) {
    let leases = core.streams().take_all();
    queue_returns(core, leases);
    flush_ends(core).await;
}

fn queue_returns(core: &Core, leases: Vec<(id::Shard, Lease)>) {
    let mut ends = core.ends();
    for (shard, lease) in leases {
        ends.entry(shard).or_default().push((lease, End::Returned));
    }
}
