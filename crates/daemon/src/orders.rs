//! Orders to the engines of this data centre: roles and model weights.
//!
//! At most one daemon of a data centre, the issuer, may send orders at a time: the
//! owner of the data centre's orders shard. Several times a second it compares what
//! each replica runs with the weights that the document states. [`Rollout`] decides
//! which orders bring the replicas to those weights, and the issuer records the
//! result of a rollout in the shard's log. [`Issuer`] decides whether this daemon
//! may send an order; that is checked again immediately before each order, which
//! carries the shard's epoch as its fencing token.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::issuer::ORDER_TIMEOUT;
use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::routing::{Key, State};
use bitterncart_coordination::{Bucket, Issuer, Rollout};
use bitterncart_protocol::engine::{Order, Placement, Role, Weights};
use bitterncart_protocol::record::Record;
use bitterncart_protocol::{Document, Name, document, id};
use bitterncart_transport::Error;
use bitterncart_transport::runtime::timeout;
use spdlog::{info, warn};

use crate::core::Core;
use crate::counters::Count;
use crate::shards::Handle;

/// Interval between two reconciliation passes.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two placement polls of a replica that a rollout is changing.
const POLL_INTERVAL_CHANGING: Duration = Duration::from_millis(500);

/// Interval between two placement polls of any other replica.
const POLL_INTERVAL_STEADY: Duration = Duration::from_secs(300);

/// Timeout of a placement poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Burst size of the rate limit on weight loads, in loads.
const LOAD_BURST: f64 = 1.0;

/// Last poll of a replica's placement.
#[derive(Debug)]
struct Poll {
    at: Duration,
    placement: Option<Placement>,
}

/// State of the issuer in one epoch.
#[derive(Debug)]
struct EpochState {
    epoch: id::Epoch,
    issuer: Issuer,
    rollouts: HashMap<Name, Rollout<Key>>,
    polls: HashMap<Key, Poll>,
    load_limit: Bucket,
}

impl EpochState {
    /// State at the start of an epoch.
    ///
    /// Nothing is kept of earlier epochs, because placements may have changed since.
    /// The rate limit on loads starts without credit, so that successive issuers do
    /// not exceed it together.
    fn new(now: Duration, epoch: id::Epoch, issuer: Issuer) -> Self {
        let mut load_limit = Bucket::new(0.0, LOAD_BURST);
        load_limit.charge(now, LOAD_BURST);
        Self {
            epoch,
            issuer,
            rollouts: HashMap::new(),
            polls: HashMap::new(),
            load_limit,
        }
    }
}

type SharedState = Arc<Mutex<EpochState>>;

fn lock(state: &Mutex<EpochState>) -> MutexGuard<'_, EpochState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends orders to the engines whenever this daemon is their issuer, until the
/// runtime stops.
pub async fn run(core: Arc<Core>) {
    let number = id::Shard::orders(core.settings.data_centre.as_str());
    let mut issuer = Issuer::default();
    let mut state: Option<SharedState> = None;
    loop {
        smol::Timer::after(RECONCILE_INTERVAL).await;
        let handle = core.shards().get(&number).cloned();
        let epoch = handle.as_deref().and_then(owned_epoch);
        let now = core.now();
        issuer.set_epoch(now, epoch);
        let (Some(handle), Some(epoch)) = (handle, epoch) else {
            state = None;
            continue;
        };
        let current = state
            .take()
            .filter(|current| lock(current).epoch == epoch)
            .unwrap_or_else(|| Arc::new(Mutex::new(EpochState::new(now, epoch, issuer))));
        if let Ok(document) = core.document() {
            reconcile(&core, &handle, &current, &document);
        }
        state = Some(current);
    }
}

/// Epoch of a shard if this daemon owns it.
fn owned_epoch(handle: &Handle) -> Option<id::Epoch> {
    let participant = handle.participant();
    let epoch = participant.shard().epoch();
    participant.is_mine().then_some(epoch)
}

/// Fencing token for an order to be sent at once; `None` if this daemon may not
/// send orders now.
fn fencing_token(core: &Core, handle: &Handle, state: &Mutex<EpochState>) -> Option<u64> {
    let read = handle.participant().last_read();
    let state = lock(state);
    let is_current = owned_epoch(handle) == Some(state.epoch);
    state
        .issuer
        .fencing_token(core.now(), read)
        .filter(|_| is_current && !core.is_draining())
}

fn reconcile(core: &Arc<Core>, handle: &Arc<Handle>, state: &SharedState, document: &Document) {
    if fencing_token(core, handle, state).is_none() {
        return;
    }
    let mut models: Vec<&document::Model> = document
        .models
        .iter()
        .filter(|model| model.weights.is_some())
        .collect();
    // Models with online traffic use the limited loads first.
    models.sort_by_key(|model| model.online.is_none());
    let now = core.now();
    let rate = load_rate(document, &core.settings.data_centre);
    lock(state).load_limit.adjust(now, rate, LOAD_BURST);
    for model in models {
        let replicas = local_replicas(core, state, &model.name);
        poll_placements(core, state, &model.name, &replicas);
        for action in decide(core, handle, state, model, &replicas) {
            execute(core, handle, state, &model.name, action);
        }
    }
}

/// This data centre's share of the weight store's load rate, in loads per second,
/// by its share of the replicas.
fn load_rate(document: &Document, home: &Name) -> f64 {
    const SECONDS: f64 = 60.0;
    let loads = document
        .weight_store
        .as_ref()
        .map_or(0, |s| s.loads_per_min);
    let rows = || {
        let models = document
            .models
            .iter()
            .filter(|model| model.weights.is_some());
        models.flat_map(|model| &model.replicas)
    };
    let all: u32 = rows().map(|row| row.count).sum();
    let local: u32 = rows()
        .filter(|row| row.data_centre == *home)
        .map(|row| row.count)
        .sum();
    f64::from(loads) / SECONDS * f64::from(local) / f64::from(all.max(1))
}

/// Replicas of a model in this data centre, with their last known placement.
fn local_replicas(core: &Core, state: &Mutex<EpochState>, model: &Name) -> Vec<Replica<Key>> {
    let mut replicas: Vec<Replica<Key>> = {
        let routing = core.routing();
        let local = routing
            .replicas()
            .filter(|(_, replica)| replica.is_local() && replica.serves == *model);
        local
            .map(|(key, replica)| Replica {
                key,
                placement: None,
                up: replica.state == State::Up,
                requests: replica.requests,
                failures: replica.failed_requests,
                ttft: replica.ttft(),
            })
            .collect()
    };
    let state = lock(state);
    for replica in &mut replicas {
        let poll = state.polls.get(&replica.key);
        replica.placement = poll.and_then(|poll| poll.placement.clone());
    }
    replicas
}

/// Polls the placements of replicas that are due, in the background.
fn poll_placements(core: &Arc<Core>, state: &SharedState, model: &Name, replicas: &[Replica<Key>]) {
    let now = core.now();
    for replica in replicas {
        let key = replica.key;
        {
            let mut state = lock(state);
            let changing = state
                .rollouts
                .get(model)
                .is_some_and(|r| r.is_in_transition(key));
            let interval = if changing {
                POLL_INTERVAL_CHANGING
            } else {
                POLL_INTERVAL_STEADY
            };
            let poll = state.polls.get(&key);
            if poll.is_some_and(|poll| now.saturating_sub(poll.at) < interval) {
                continue;
            }
            let placement = replica.placement.clone();
            state.polls.insert(key, Poll { at: now, placement });
        }
        let (task_core, task_state) = (Arc::clone(core), Arc::clone(state));
        let task = async move {
            let placement = fetch_placement(&task_core, key).await;
            if let Some(poll) = lock(&task_state).polls.get_mut(&key) {
                poll.placement = placement.ok();
            }
        };
        core.runtime.spawn(task).detach();
    }
}

async fn fetch_placement(core: &Core, key: Key) -> Result<Placement, Error> {
    let address = core.routing().replica(key).map(|replica| replica.address);
    let address =
        address.ok_or_else(|| Error::connect("the replica is no longer in the routing table"))?;
    let client = core
        .http
        .clone()
        .connect_timeout(POLL_TIMEOUT)
        .head_timeout(POLL_TIMEOUT);
    client.get(address, "/placement").await
}

fn decide(
    core: &Core,
    handle: &Handle,
    state: &Mutex<EpochState>,
    model: &document::Model,
    replicas: &[Replica<Key>],
) -> Vec<Action<Key>> {
    let Some(plan) = plan(model) else {
        return Vec::new();
    };
    let history = handle.participant().shard().rollout(&model.name);
    let now = core.now();
    let state = &mut *lock(state);
    let rollout = state.rollouts.entry(model.name.clone()).or_default();
    let load_limit = &mut state.load_limit;
    rollout.decide(now, &plan, &history, replicas, || load_limit.take(now, 1.0))
}

/// Rollout plan of a model; `None` if the document states no weights for it.
fn plan(model: &document::Model) -> Option<Plan> {
    /// Drain time of a model without online traffic, in which its batch streams
    /// are preempted.
    const BATCH_DRAIN: Duration = Duration::from_secs(10);
    let rollout = &model.rollout;
    let online = model.online.as_ref();
    Some(Plan {
        target: model.weights.clone()?,
        min_in_service: rollout.min_up,
        max_concurrent: rollout.at_once,
        observe: Duration::from_secs(rollout.observe_s),
        // No online request runs longer than its deadline.
        drain: online.map_or(BATCH_DRAIN, |online| {
            Duration::from_millis(online.deadline_ms)
        }),
        max_failure_share: rollout.failures,
        max_slowdown: rollout.slowdown,
    })
}

fn execute(
    core: &Arc<Core>,
    handle: &Arc<Handle>,
    state: &SharedState,
    model: &Name,
    action: Action<Key>,
) {
    let record = match action {
        Action::Order(key, role, weights) => {
            let send = send_order(
                Arc::clone(core),
                Arc::clone(handle),
                Arc::clone(state),
                key,
                role,
                weights,
            );
            core.runtime.spawn(send).detach();
            return;
        }
        Action::Prefer(key, requests) => {
            core.routing().prefer(key, requests);
            return;
        }
        Action::Good(weights) => {
            info!("weights are up", kv: {
                model = model.as_str(), version = weights.version.as_str()
            });
            Record::Good {
                model: model.clone(),
                weights,
            }
        }
        Action::Halt(weights, cause) => {
            core.counters.add(Count::RolloutsHalted, 1);
            warn!("rollout halted", kv: {
                model = model.as_str(), version = weights.version.as_str(), cause:?
            });
            Record::Halted {
                model: model.clone(),
                weights,
            }
        }
    };
    // The rollout decides the same action in every pass until the record has been
    // read back from the log; queueing only onto an empty queue avoids duplicates.
    let mut participant = handle.participant();
    if participant.pending() == 0 {
        participant.push([record]);
    }
    drop(participant);
    handle.notify_committer();
}

async fn send_order(
    core: Arc<Core>,
    handle: Arc<Handle>,
    state: SharedState,
    key: Key,
    role: Role,
    weights: Option<Weights>,
) {
    let Some(replica) = core.routing().replica(key).cloned() else {
        return;
    };
    // The order must be sent directly after this check: the check reads the clock,
    // and the right to send orders expires with time.
    let Some(fencing) = fencing_token(&core, &handle, &state) else {
        return;
    };
    let version = weights.as_ref().map(|weights| weights.version.to_string());
    let order = Order {
        fencing,
        role,
        weights,
    };
    let client = core
        .http
        .clone()
        .connect_timeout(ORDER_TIMEOUT)
        .head_timeout(ORDER_TIMEOUT);
    let sent = timeout(
        ORDER_TIMEOUT,
        client.post(replica.address, "/orders", &order),
    )
    .await;
    core.counters.add(Count::Orders, 1);
    info!("order", kv: {
        replica = replica.name.as_str(), role:?, version:?, fencing,
        taken = matches!(sent, Ok((200, _)))
    });
    if let Some(poll) = lock(&state).polls.get_mut(&key) {
        // The placement is polled in the next pass, whether or not the order succeeded.
        poll.at = Duration::ZERO;
    }
}
