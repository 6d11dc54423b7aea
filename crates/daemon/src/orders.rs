//! Orders to the engines of this data centre, at their issuer.
//!
//! What to order is decided by [`Rollout`], whether this daemon may by
//! [`Issuer`]; that is asked again immediately before each order is sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::issuer::WIRE;
use bitterncart_coordination::rollout::{Action, Plan, Replica};
use bitterncart_coordination::routing::{Key, State};
use bitterncart_coordination::{Bucket, Issuer, Rollout};
use bitterncart_protocol::engine::{Order, Placed, Role, Weights};
use bitterncart_protocol::record::Record;
use bitterncart_protocol::{Document, Name, document, id};
use bitterncart_transport::Error;
use bitterncart_transport::runtime::within;
use spdlog::{info, warn};

use crate::core::Core;
use crate::counters::Count;
use crate::shards::Handle;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(250);

/// Time between two questions to a replica that changes.
const ASK_MOVING: Duration = Duration::from_millis(500);

/// Time between two questions to any other replica.
const ASK_CALM: Duration = Duration::from_secs(300);

/// Time for one question.
const ANSWER: Duration = Duration::from_secs(1);

/// Loads that may be made up for after a pause.
const LOAD_BURST: f64 = 1.0;

#[derive(Debug)]
struct Seen {
    asked: Duration,
    placed: Option<Placed>,
}

/// What the issuer knows in one epoch.
#[derive(Debug)]
struct Desk {
    epoch: id::Epoch,
    issuer: Issuer,
    rollouts: HashMap<Name, Rollout<Key>>,
    seen: HashMap<Key, Seen>,
    loads: Bucket,
}

impl Desk {
    /// Desk of a new epoch: what was seen before it may have changed since, and
    /// no load is saved up, so that replaced issuers do not load all at once.
    fn new(now: Duration, epoch: id::Epoch, issuer: Issuer) -> Self {
        let mut loads = Bucket::new(0.0, LOAD_BURST);
        loads.charge(now, LOAD_BURST);
        Self {
            epoch,
            issuer,
            rollouts: HashMap::new(),
            seen: HashMap::new(),
            loads,
        }
    }
}

type Shared = Arc<Mutex<Desk>>;

fn lock(desk: &Mutex<Desk>) -> MutexGuard<'_, Desk> {
    desk.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Orders the engines as long as this daemon is their issuer.
pub async fn run(core: Arc<Core>) {
    let number = id::Shard::orders(core.settings.data_centre.as_str());
    let mut issuer = Issuer::default();
    let mut desk: Option<Shared> = None;
    loop {
        smol::Timer::after(LOOK).await;
        let handle = core.shards().get(&number).cloned();
        let epoch = handle.as_deref().and_then(epoch);
        let now = core.now();
        issuer.follow(now, epoch);
        let (Some(handle), Some(epoch)) = (handle, epoch) else {
            desk = None;
            continue;
        };
        let standing = desk
            .take()
            .filter(|standing| lock(standing).epoch == epoch)
            .unwrap_or_else(|| Arc::new(Mutex::new(Desk::new(now, epoch, issuer))));
        if let Ok(document) = core.document() {
            look(&core, &handle, &standing, &document);
        }
        desk = Some(standing);
    }
}

fn epoch(handle: &Handle) -> Option<id::Epoch> {
    let participant = handle.participant();
    let epoch = participant.shard().epoch();
    participant.is_mine().then_some(epoch)
}

/// Fencing number for an order that is sent at once, if one may be.
fn fencing(core: &Core, handle: &Handle, desk: &Mutex<Desk>) -> Option<u64> {
    let read = handle.participant().last_read();
    let desk = lock(desk);
    let stands = epoch(handle) == Some(desk.epoch);
    desk.issuer
        .fencing(core.now(), read)
        .filter(|_| stands && !core.is_draining())
}

fn look(core: &Arc<Core>, handle: &Arc<Handle>, desk: &Shared, document: &Document) {
    if fencing(core, handle, desk).is_none() {
        return;
    }
    let mut models: Vec<&document::Model> = document
        .models
        .iter()
        .filter(|model| model.weights.is_some())
        .collect();
    // Loads for online go first.
    models.sort_by_key(|model| model.online.is_none());
    let now = core.now();
    let rate = load_rate(document, &core.settings.data_centre);
    lock(desk).loads.adjust(now, rate, LOAD_BURST);
    for model in models {
        let replicas = replicas(core, desk, &model.name);
        ask(core, desk, &model.name, &replicas);
        for action in decide(core, handle, desk, model, &replicas) {
            act(core, handle, desk, &model.name, action);
        }
    }
}

/// This data centre's share of the weight store's loads a second.
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

fn replicas(core: &Core, desk: &Mutex<Desk>, model: &Name) -> Vec<Replica<Key>> {
    let mut replicas: Vec<Replica<Key>> = {
        let routing = core.routing();
        let local = routing
            .replicas()
            .filter(|(_, replica)| replica.is_local() && replica.serves == *model);
        local
            .map(|(key, replica)| Replica {
                key,
                placed: None,
                up: replica.state == State::Up,
                requests: replica.requests,
                failures: replica.faults,
                ttft: replica.ttft(),
            })
            .collect()
    };
    let desk = lock(desk);
    for replica in &mut replicas {
        let seen = desk.seen.get(&replica.key);
        replica.placed = seen.and_then(|seen| seen.placed.clone());
    }
    replicas
}

/// Asks replicas what they run, those that change more often.
fn ask(core: &Arc<Core>, desk: &Shared, model: &Name, replicas: &[Replica<Key>]) {
    let now = core.now();
    for replica in replicas {
        let key = replica.key;
        {
            let mut desk = lock(desk);
            let moving = desk.rollouts.get(model).is_some_and(|r| r.is_moving(key));
            let pause = if moving { ASK_MOVING } else { ASK_CALM };
            let seen = desk.seen.get(&key);
            if seen.is_some_and(|seen| now.saturating_sub(seen.asked) < pause) {
                continue;
            }
            let placed = replica.placed.clone();
            desk.seen.insert(key, Seen { asked: now, placed });
        }
        let (core_of, desk_of) = (Arc::clone(core), Arc::clone(desk));
        let task = async move {
            let placed = placed(&core_of, key).await;
            if let Some(seen) = lock(&desk_of).seen.get_mut(&key) {
                seen.placed = placed.ok();
            }
        };
        core.runtime.spawn(task).detach();
    }
}

async fn placed(core: &Core, key: Key) -> Result<Placed, Error> {
    let address = core.routing().replica(key).map(|replica| replica.address);
    let address = address.ok_or_else(|| Error::connect("the replica is gone"))?;
    let client = core.http.clone().connect(ANSWER).head(ANSWER);
    client.get(address, "/placement").await
}

fn decide(
    core: &Core,
    handle: &Handle,
    desk: &Mutex<Desk>,
    model: &document::Model,
    replicas: &[Replica<Key>],
) -> Vec<Action<Key>> {
    let Some(plan) = plan(model) else {
        return Vec::new();
    };
    let outcome = handle.participant().shard().rollout(&model.name);
    let now = core.now();
    let desk = &mut *lock(desk);
    let rollout = desk.rollouts.entry(model.name.clone()).or_default();
    let loads = &mut desk.loads;
    rollout.look(now, &plan, &outcome, replicas, || loads.take(now, 1.0))
}

fn plan(model: &document::Model) -> Option<Plan> {
    /// Time for batch streams to be set aside.
    const BATCH: Duration = Duration::from_secs(10);
    let rollout = &model.rollout;
    let online = model.online.as_ref();
    Some(Plan {
        target: model.weights.clone()?,
        min_up: rollout.min_up,
        at_once: rollout.at_once,
        observe: Duration::from_secs(rollout.observe_s),
        // No request runs longer than its deadline.
        drain: online.map_or(BATCH, |online| Duration::from_millis(online.deadline_ms)),
        failures: rollout.failures,
        slowdown: rollout.slowdown,
    })
}

fn act(core: &Arc<Core>, handle: &Arc<Handle>, desk: &Shared, model: &Name, action: Action<Key>) {
    let record = match action {
        Action::Order(key, role, weights) => {
            let send = send(
                Arc::clone(core),
                Arc::clone(handle),
                Arc::clone(desk),
                key,
                role,
                weights,
            );
            core.runtime.spawn(send).detach();
            return;
        }
        Action::Try(key, requests) => {
            core.routing().try_first(key, requests);
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
    // The fold shows it at a later look; until then it is queued once.
    let mut participant = handle.participant();
    if participant.pending() == 0 {
        participant.push([record]);
    }
    drop(participant);
    handle.wake();
}

async fn send(
    core: Arc<Core>,
    handle: Arc<Handle>,
    desk: Shared,
    key: Key,
    role: Role,
    weights: Option<Weights>,
) {
    let Some(replica) = core.routing().replica(key).cloned() else {
        return;
    };
    // Nothing may lie between this look at the clock and the order.
    let Some(fencing) = fencing(&core, &handle, &desk) else {
        return;
    };
    let version = weights.as_ref().map(|weights| weights.version.to_string());
    let order = Order {
        fencing,
        role,
        weights,
    };
    let client = core.http.clone().connect(WIRE).head(WIRE);
    let sent = within(WIRE, client.post(replica.address, "/orders", &order)).await;
    core.counters.add(Count::Orders, 1);
    info!("order", kv: {
        replica = replica.name.as_str(), role:?, version:?, fencing,
        taken = matches!(sent, Ok((200, _)))
    });
    if let Some(seen) = lock(&desk).seen.get_mut(&key) {
        // Whatever became of it, the replica is asked at the next look.
        seen.asked = Duration::ZERO;
    }
}
