//! Batch streams at the replicas that this daemon owns.
//!
//! The runner fills the slots that the sharing policy allows: first with
//! streams that it set aside, then with items pulled from the owners of
//! shards. When fewer slots are allowed than streams run, the newest give way
//! at once and go on later from the tokens that they have.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::retry::Failure;
use bitterncart_coordination::routing::{Class, Key, State};
use bitterncart_coordination::sharing::{Bounds, Sharing};
use bitterncart_coordination::streams::{Ended, Run, Start};
use bitterncart_protocol::peer::{Ask, End, Lease, Reply, Work};
use bitterncart_protocol::record::Answer;
use bitterncart_protocol::{Code, Document, Name, id};
use futures_lite::future;
use rand::Rng;
use serde_json::Value;

use crate::answer::whole_response;
use crate::core::Core;
use crate::counters::Count;
use crate::engine::{Broken, Dispatch, Sequence};
use crate::{peers, shards};

/// Time between two looks at the slots.
const LOOK: Duration = Duration::from_millis(20);

/// Time between two rounds of ends and renewals.
const FLUSH: Duration = Duration::from_millis(50);

/// Time for another daemon's answer.
const ASK: Duration = Duration::from_secs(2);

/// First wait before an empty shard is asked again, for each shard there is;
/// doubles up to [`EMPTY_MAX`].
const EMPTY: Duration = Duration::from_millis(25);

/// Longest wait before an empty shard is asked again, for each shard there is:
/// an idle daemon asks two of them a second, whatever their number.
const EMPTY_MAX: Duration = Duration::from_millis(500);

/// Questions to other daemons for work in one look.
const PULLS: usize = 2;

/// Ends that are kept while a shard's owner is not reachable.
const MAX_ENDS: usize = 20_000;

/// Time between tokens when a model has no online bound.
const UNBOUND: Duration = Duration::from_secs(10);

/// Replica that this daemon owns.
struct Owned {
    key: Key,
    model: Name,
    allowed: usize,
}

/// Replica of this daemon's data centre.
struct Local {
    key: Key,
    name: Name,
    model: Name,
    data_centre: Name,
    up: bool,
    online: u32,
}

/// Shards known to have had no work of a model.
#[derive(Default)]
struct Empty {
    shards: HashMap<(id::Shard, Name), Wait>,
}

/// When a shard is asked again.
#[derive(Clone, Copy)]
struct Wait {
    until: Duration,
    wait: Duration,
}

impl Empty {
    fn is_due(&self, now: Duration, key: &(id::Shard, Name)) -> bool {
        self.shards.get(key).is_none_or(|wait| now >= wait.until)
    }

    fn note(&mut self, now: Duration, key: (id::Shard, Name), shards: u16) {
        let shards = u32::from(shards);
        let before = self
            .shards
            .get(&key)
            .map_or(EMPTY * shards, |wait| wait.wait * 2);
        let wait = before.min(EMPTY_MAX * shards);
        let until = now + wait.mul_f64(rand::rng().random_range(0.5..1.0));
        self.shards.insert(key, Wait { until, wait });
    }
}

/// Notes another daemon's or this daemon's online use of a replica and returns
/// what all but that daemon use.
pub fn pressure(core: &Core, replica: &Name, from: &id::Daemon, running: u32, late: bool) -> u32 {
    let now = core.now();
    let mut sharing = core.sharing();
    sharing.get_mut(replica).map_or(0, |sharing| {
        sharing.online(now, from, running, late);
        sharing.others(now, from)
    })
}

/// Notes the time to the first token of an online sequence.
pub fn first(core: &Arc<Core>, key: Key, now: Duration, ttft: Duration) {
    core.counters.first_token(ttft.as_millis() as u64);
    note(core, key, |sharing| sharing.first(now, ttft));
}

/// Notes the time between two tokens of any sequence.
pub fn token(core: &Arc<Core>, key: Key, now: Duration, gap: Duration) {
    let owned = note(core, key, |sharing| sharing.token(now, gap));
    if !owned && is_late(core, key, gap) {
        crate::engine::tell(core, key, true);
    }
}

fn note(core: &Core, key: Key, note: impl FnOnce(&mut Sharing)) -> bool {
    let Some(name) = core
        .routing()
        .replica(key)
        .map(|replica| replica.name.clone())
    else {
        return false;
    };
    match core.sharing().get_mut(&name) {
        Some(sharing) => {
            note(sharing);
            true
        }
        None => false,
    }
}

fn is_late(core: &Core, key: Key, gap: Duration) -> bool {
    let Ok(document) = core.document() else {
        return false;
    };
    let model = core
        .routing()
        .replica(key)
        .map(|replica| replica.serves.clone());
    let online = model.and_then(|model| document.model(model.as_str())?.online.clone());
    online.is_some_and(|online| gap > Duration::from_millis(online.itl_ms))
}

/// Runs batch items until the runtime stops.
pub async fn run(core: Arc<Core>) {
    let mut empty = Empty::default();
    loop {
        let owned = owned(&core);
        for replica in &owned {
            give_way(&core, replica);
            resume(&core, replica);
        }
        if !core.is_draining() {
            fill(&core, &owned, &mut empty).await;
        }
        smol::Timer::after(LOOK).await;
    }
}

/// Replicas that this daemon owns, with the slots allowed now.
fn owned(core: &Core) -> Vec<Owned> {
    let Ok(document) = core.document() else {
        return Vec::new();
    };
    let now = core.now();
    let local: Vec<Local> = {
        let routing = core.routing();
        let local = routing.replicas().filter(|(_, replica)| replica.is_local());
        local
            .map(|(key, replica)| Local {
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
        let mine = owner.is_some_and(|owner| owner.daemon == core.me);
        let bounds = bounds(&document, &replica.model).filter(|_| mine);
        let mut sharing = core.sharing();
        let Some(bounds) = bounds else {
            sharing.remove(&replica.name);
            continue;
        };
        let slots = sharing
            .entry(replica.name)
            .or_insert_with(|| Sharing::new(now, bounds));
        slots.configure(bounds);
        slots.online(now, &core.me, replica.online, false);
        let allowed = if replica.up { slots.allowed(now) } else { 0 };
        owned.push(Owned {
            key: replica.key,
            model: replica.model,
            allowed: allowed as usize,
        });
    }
    owned
}

fn bounds(document: &Document, model: &Name) -> Option<Bounds> {
    let model = document
        .model(model.as_str())
        .filter(|model| model.batch.is_some())?;
    let (ttft, itl) = match &model.online {
        Some(online) => (
            Duration::from_millis(online.ttft_ms),
            Duration::from_millis(online.itl_ms),
        ),
        None => (UNBOUND, UNBOUND),
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

/// Stops the newest streams above the allowed number.
fn give_way(core: &Core, replica: &Owned) {
    let stopped = core
        .streams()
        .give_way(core.now(), replica.key, replica.allowed);
    for _ in 0..stopped {
        core.counters.add(Count::BatchGaveWay, 1);
        core.counters.code(Code::RetryGiveWay);
    }
}

fn free(core: &Core, replica: &Owned) -> usize {
    replica
        .allowed
        .saturating_sub(core.streams().running(replica.key))
}

/// Goes on with streams that were set aside.
fn resume(core: &Arc<Core>, replica: &Owned) {
    let free = free(core, replica);
    let aside = core.streams().aside(&replica.model, free);
    for lease in aside {
        launch(core, lease, replica.key);
    }
}

fn model_of(work: &Work) -> Name {
    #[derive(serde::Deserialize)]
    struct Model {
        model: Name,
    }
    serde_json::from_str::<Model>(&work.body)
        .map(|body| body.model)
        .unwrap_or_default()
}

/// Pulls items for free slots.
async fn fill(core: &Arc<Core>, owned: &[Owned], empty: &mut Empty) {
    let Ok(document) = core.document() else {
        return;
    };
    let mut asked = 0;
    for replica in owned {
        let free = free(core, replica);
        if free == 0 || asked >= PULLS {
            continue;
        }
        let shards = document.log.shards;
        let start = rand::rng().random_range(0..shards);
        let numbers = (0..shards).map(|i| id::Shard((start + i) % shards));
        for number in numbers {
            let key = (number, replica.model.clone());
            let now = core.now();
            if asked >= PULLS || !empty.is_due(now, &key) {
                continue;
            }
            let mine = core
                .shards()
                .get(&number)
                .is_some_and(|handle| handle.is_mine());
            asked += usize::from(!mine);
            let work = pull(core, number, &replica.model, free as u16, mine).await;
            if work.is_empty() {
                empty.note(now, key, shards);
                continue;
            }
            empty.shards.remove(&key);
            for item in work {
                take(core, number, item, replica.key);
            }
            break;
        }
    }
}

async fn pull(core: &Core, shard: id::Shard, model: &Name, count: u16, mine: bool) -> Vec<Work> {
    if mine {
        return shards::pull(core, shard, model, count)
            .await
            .unwrap_or_default();
    }
    let ask = Ask::Pull {
        shard,
        model: model.clone(),
        count,
    };
    match peers::ask_owner(core, shard, &ask, ASK).await {
        Ok(Reply::Work(work)) => work,
        _ => Vec::new(),
    }
}

fn take(core: &Arc<Core>, shard: id::Shard, work: Work, key: Key) {
    let lease = work.lease;
    let model = model_of(&work);
    core.streams().insert(core.now(), shard, model, work);
    launch(core, lease, key);
}

fn launch(core: &Arc<Core>, lease: Lease, key: Key) {
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let Some(start) = core.streams().launch(lease, key, stop) else {
        return;
    };
    let core_of = Arc::clone(core);
    let task = async move {
        let run = start.run;
        let attempt = async { Some(attempt(&core_of, start, key).await) };
        // The channel closes when the stream gives way or is dropped.
        let stop = async {
            stopped.recv().await.ok();
            None
        };
        if let Some(end) = future::or(stop, attempt).await {
            ended(&core_of, lease, run, end);
        }
    };
    core.runtime.spawn(task).detach();
}

/// How a run ended.
enum Outcome {
    /// All tokens are there.
    Whole,
    /// The attempt ended otherwise.
    Other(End),
}

/// Takes the end of a run that was not stopped.
fn ended(core: &Core, lease: Lease, run: Run, outcome: Outcome) {
    let Some(ended) = core.streams().end(lease, run) else {
        return;
    };
    let end = match outcome {
        Outcome::Whole => {
            core.counters.add(Count::BatchFinished, 1);
            finished(&ended)
        }
        Outcome::Other(end) => end,
    };
    let mut ends = core.ends();
    let waiting = ends.entry(ended.shard).or_default();
    if waiting.len() < MAX_ENDS {
        waiting.push((lease, end));
    }
}

async fn attempt(core: &Arc<Core>, start: Start, key: Key) -> Outcome {
    let Start { run, work, done } = start;
    let Ok(request) = serde_json::from_str::<Value>(&work.body) else {
        return Outcome::Other(End::Failed(Code::MalformedJson));
    };
    let patience = patience(core, &work);
    let endpoint = &work.endpoint;
    let dispatch = Dispatch {
        key,
        class: Class::Batch,
        endpoint,
        request: &request,
        done,
        patience,
    };
    let mut sequence = match Sequence::start(core, dispatch).await {
        Ok(sequence) => sequence,
        Err(broken) => return Outcome::Other(judge(core, &work, broken)),
    };
    loop {
        match sequence.next().await {
            Ok(Some(token)) => {
                if !core.streams().token(work.lease, run, token.text) {
                    return Outcome::Other(End::Returned);
                }
            }
            Ok(None) => return Outcome::Whole,
            Err(broken) => return Outcome::Other(judge(core, &work, broken)),
        }
    }
}

fn patience(core: &Core, work: &Work) -> Duration {
    let document = core.document().ok();
    let model = model_of(work);
    let batch = document
        .as_ref()
        .and_then(|document| document.model(model.as_str())?.batch.as_ref());
    Duration::from_millis(batch.map_or(30_000, |batch| batch.attempt_ms))
}

/// Refusals and lost connections are the fleet's fault and cost no attempt.
fn judge(core: &Core, work: &Work, broken: Broken) -> End {
    match broken {
        Broken::Failed(failure @ (Failure::Connect | Failure::Refused | Failure::Silent)) => {
            core.counters.code(failure.reason());
            End::Returned
        }
        Broken::Failed(failure) => {
            core.counters.code(failure.reason());
            End::Failed(Code::BackendFailed)
        }
        Broken::Rejected(status, body) => {
            let answer = Answer {
                custom_id: work.custom_id.clone(),
                status,
                code: Some(Code::BackendRejected),
                body,
            };
            End::Finished(answer)
        }
    }
}

fn finished(ended: &Ended) -> End {
    let work = &ended.work;
    let body = whole_response(&work.endpoint, &model_of(work), &ended.text).to_string();
    End::Finished(Answer {
        custom_id: work.custom_id.clone(),
        status: 200,
        code: None,
        body,
    })
}

/// Brings ends to the shards' owners and renews leases.
pub async fn settle(core: Arc<Core>) {
    loop {
        let waiting = core.streams().take_waiting(core.now());
        return_all(&core, waiting);
        flush(&core).await;
        renew(&core).await;
        smol::Timer::after(FLUSH).await;
    }
}

async fn flush(core: &Core) {
    let all: Vec<(id::Shard, Vec<(Lease, End)>)> = core.ends().drain().collect();
    for (shard, ends) in all {
        if ends.is_empty() {
            continue;
        }
        if shards::finish(core, shard, ends.clone()).is_ok() {
            continue;
        }
        let ask = Ask::Finish { shard, ends };
        match peers::ask_owner(core, shard, &ask, ASK).await {
            Ok(Reply::Done) => {}
            _ => keep(core, ask),
        }
    }
}

/// Keeps ends for the next round; a result counts for any later owner too.
fn keep(core: &Core, ask: Ask) {
    if let Ask::Finish { shard, ends } = ask {
        let mut all = core.ends();
        let waiting = all.entry(shard).or_default();
        let room = MAX_ENDS.saturating_sub(waiting.len());
        waiting.extend(ends.into_iter().take(room));
    }
}

async fn renew(core: &Core) {
    let now = core.now();
    let mut due: HashMap<id::Shard, Vec<Lease>> = HashMap::new();
    for (shard, lease) in core.streams().due(now) {
        due.entry(shard).or_default().push(lease);
    }
    for (shard, leases) in due {
        let revoked = match shards::renew(core, shard, &leases) {
            Ok(revoked) => Some(revoked),
            Err(_) => {
                let ask = Ask::Renew {
                    shard,
                    leases: leases.clone(),
                };
                match peers::ask_owner(core, shard, &ask, ASK).await {
                    Ok(Reply::Revoked(revoked)) => Some(revoked),
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
                streams.renewed(now, &lease);
            }
        }
    }
}

/// Gives all batch streams back, before a shutdown.
pub async fn give_back(core: &Core) {
    let given_back = core.streams().take_all();
    return_all(core, given_back);
    flush(core).await;
}

/// Queues the return of leases to the owners of their shards.
fn return_all(core: &Core, leases: Vec<(id::Shard, Lease)>) {
    let mut ends = core.ends();
    for (shard, lease) in leases {
        ends.entry(shard).or_default().push((lease, End::Returned));
    }
}
