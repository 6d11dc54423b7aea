//! What the daemon keeps reading: configuration, instance list, members, load.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::{membership, routing};
use bitterncart_protocol::engine::Load;
use bitterncart_protocol::instance::Kind;
use bitterncart_protocol::log::Entry;
use bitterncart_protocol::peer::{Ask, Reply};
use bitterncart_protocol::record::Publish;
use bitterncart_protocol::{Code, hash};
use bitterncart_state::config::Verdict;
use bitterncart_transport::http::Client;
use bitterncart_transport::instances;
use bitterncart_transport::log::Log as _;
use bitterncart_transport::runtime::wall_ms;
use rand::seq::IndexedRandom;
use spdlog::{info, warn};

use crate::core::Core;
use crate::peers;
use crate::shards::append_open;

/// Stream of configuration.
const STREAM: &str = "configuration";

/// Wait of one read of the configuration stream.
const CONFIG_WAIT: Duration = Duration::from_secs(5);

/// Wait after a failed read.
const PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at a peer's configuration.
const PEER_CONFIG: Duration = Duration::from_secs(3);

/// Time between two reads of the instance list at least.
const LIST: Duration = Duration::from_secs(1);

/// Bytes of the instance list that a daemon reads a second; a longer list is
/// read less often.
const LIST_BYTES_PER_S: f64 = 1000.0;

/// Time between two steps of the membership protocol.
const MEMBERSHIP_STEP: Duration = Duration::from_millis(50);

/// Time between two rounds of load reports.
const LOAD: Duration = Duration::from_millis(500);

/// Rounds between two reports of a replica that is up.
const UP_ROUNDS: u32 = 4;

/// Time for one load report; a replica that takes longer is silent.
const LOAD_ANSWER: Duration = Duration::from_secs(1);

/// Time for the verdict on a publication.
const VERDICT: Duration = Duration::from_secs(5);

/// Follows the configuration stream.
pub async fn follow_config(core: Arc<Core>) {
    loop {
        let next = core.config().next();
        match core.log.read(STREAM, next, CONFIG_WAIT).await {
            Ok(page) => {
                core.log_answered(true);
                for entry in &page.entries {
                    apply(&core, entry);
                }
                core.configured.notify(usize::MAX);
                carry(&core).await;
            }
            Err(_) => {
                core.log_answered(false);
                smol::Timer::after(PAUSE).await;
            }
        }
    }
}

fn apply(core: &Core, entry: &Entry) {
    let publish = postcard::from_bytes::<Publish>(&entry.payload);
    let verdict = match publish {
        Ok(publish) => core.config().apply(entry.offset, entry.at_ms, &publish),
        Err(_) => {
            core.config().skip(entry.offset);
            return;
        }
    };
    match verdict {
        Verdict::Accepted(number) => {
            info!("configuration in force", kv: { version = number });
            core.reconfigure();
        }
        Verdict::Stale(standing) => info!("stale configuration ignored", kv: { standing }),
        Verdict::Invalid => warn!("invalid configuration ignored", kv: { offset = entry.offset }),
    }
}

/// Writes the version in force again before its record expires.
async fn carry(core: &Core) {
    let Some(version) = core.version() else {
        return;
    };
    let retention_ms = version.document.log.retention_s * 1000;
    if !core.config().needs_carry(wall_ms(), retention_ms) || !is_carrier(core) {
        return;
    }
    let publish = Publish {
        base: version.number,
        text: version.text.to_string(),
        operator: "carried".into(),
        carried: Some(version.number),
        nonce: rand::random(),
    };
    let payload = postcard::to_stdvec(&publish).unwrap_or_default();
    if let Err(code) = append_open(core, STREAM, &payload).await {
        core.counters.code(code);
    }
}

/// One daemon carries, by rendezvous; two at once do no harm.
fn is_carrier(core: &Core) -> bool {
    let members = core.members();
    let winner = members
        .live()
        .max_by_key(|member| hash::score(STREAM.as_bytes(), member.daemon.as_bytes()));
    winner.is_some_and(|member| member.daemon == core.me)
}

/// Takes newer configuration from a peer, so that a daemon that starts while
/// the log is down has one.
pub async fn follow_peers_config(core: Arc<Core>) {
    loop {
        let peer = {
            let members = core.members();
            let others: Vec<_> = members
                .live()
                .filter(|member| member.daemon != core.me)
                .filter(|member| {
                    member.data_centre == core.settings.data_centre || core.config().number() == 0
                })
                .cloned()
                .collect();
            others.choose(&mut rand::rng()).cloned()
        };
        let known = core.config().number();
        if let Some(peer) = peer.filter(|_| known == 0 || core.is_log_failed()) {
            let reply = peers::ask(&core, &peer, &Ask::Configuration, CONFIG_WAIT).await;
            if let Ok(Reply::Configuration(Some((number, text)))) = reply
                && core.config().offer(wall_ms(), number, &text)
            {
                info!("configuration taken from a peer", kv: { version = number });
                core.reconfigure();
            }
        }
        let pause = if known == 0 { PAUSE } else { PEER_CONFIG };
        smol::Timer::after(pause).await;
    }
}

/// Publishes a document and waits for the verdict of the fold.
///
/// # Errors
///
/// [`Code::VersionConflict`] with the standing version if another one won;
/// [`Code::LogUnavailable`] if the verdict is not known.
pub async fn publish(core: &Core, publish: Publish) -> Result<u64, (Code, u64)> {
    let nonce = publish.nonce;
    let payload = postcard::to_stdvec(&publish).map_err(|_| (Code::InvalidDocument, 0))?;
    let offset = append_open(core, STREAM, &payload)
        .await
        .map_err(|code| (code, 0))?;
    let until = core.now() + VERDICT;
    while core.now() < until {
        let changed = core.configured.listen();
        if core.config().next() > offset {
            return verdict(core, offset, nonce).await;
        }
        let late = async {
            smol::Timer::after(PAUSE).await;
        };
        futures_lite::future::or(changed, late).await;
    }
    Err((Code::LogUnavailable, core.config().number()))
}

/// Folds the stream up to the publication; an append that was sent again may
/// stand at an earlier offset.
async fn verdict(core: &Core, offset: u64, nonce: u64) -> Result<u64, (Code, u64)> {
    let standing = core.config().number();
    if standing == offset + 1 {
        return Ok(standing);
    }
    let page = core.log.read(STREAM, 0, Duration::ZERO).await;
    let page = page.map_err(|_| (Code::LogUnavailable, standing))?;
    let mut fold = bitterncart_state::Config::default();
    for entry in &page.entries {
        let Ok(publish) = postcard::from_bytes::<Publish>(&entry.payload) else {
            continue;
        };
        let verdict = fold.apply(entry.offset, entry.at_ms, &publish);
        match verdict {
            Verdict::Accepted(number) if publish.nonce == nonce => return Ok(number),
            _ => {}
        }
    }
    Err((Code::VersionConflict, standing))
}

/// Versions that the log still holds, oldest first.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer.
pub async fn history(core: &Core) -> Result<Vec<bitterncart_protocol::admin::Version>, Code> {
    let page = core
        .log
        .read(STREAM, 0, Duration::ZERO)
        .await
        .map_err(|_| Code::LogUnavailable)?;
    let mut fold = bitterncart_state::Config::default();
    let mut versions = Vec::new();
    for entry in &page.entries {
        let Ok(publish) = postcard::from_bytes::<Publish>(&entry.payload) else {
            continue;
        };
        if let Verdict::Accepted(version) = fold.apply(entry.offset, entry.at_ms, &publish) {
            versions.push(bitterncart_protocol::admin::Version {
                version,
                digest: hash::digest(publish.text.as_bytes()).into(),
                operator: publish.operator,
                at_ms: entry.at_ms,
                text: publish.text,
            });
        }
    }
    Ok(versions)
}

/// Follows the instance list.
pub async fn follow_list(core: Arc<Core>) {
    let mut pause = LIST;
    loop {
        match instances::read(core.settings.instances).await {
            Ok((list, bytes)) => {
                pause = LIST.max(Duration::from_secs_f64(bytes as f64 / LIST_BYTES_PER_S));
                core.routing().list(core.now(), &list);
                let entries = list.iter().filter(|instance| instance.kind == Kind::Entry);
                core.members()
                    .list(entries.map(|instance| instance.address));
            }
            Err(e) => warn!("instance list cannot be read", kv: { why: = e }),
        }
        smol::Timer::after(pause).await;
    }
}

/// Runs the membership protocol's clock.
pub async fn keep_membership(core: Arc<Core>) {
    loop {
        let actions = core.members().tick(core.now());
        act(&core, actions).await;
        smol::Timer::after(MEMBERSHIP_STEP).await;
    }
}

/// Takes the packets of the membership protocol.
pub async fn receive_membership(core: Arc<Core>) {
    loop {
        let packet = core.heartbeat.receive().await;
        let actions = core.members().receive(core.now(), &packet);
        act(&core, actions).await;
    }
}

async fn act(core: &Core, actions: Vec<membership::Action>) {
    for action in actions {
        match action {
            membership::Action::Send(to, packet) => core.heartbeat.send(to, &packet).await,
            membership::Action::Changed => core.reconfigure(),
        }
    }
}

/// Tells the others that this daemon leaves.
pub async fn leave(core: &Core) {
    let actions = core.members().leave();
    core.reconfigure();
    act(core, actions).await;
}

/// Asks replicas for their load: those that this daemon owns, and those that
/// are out, so that they come back.
pub async fn watch_load(core: Arc<Core>) {
    let mut round = 0;
    loop {
        round += 1;
        let due: Vec<routing::Key> = {
            let now = core.now();
            let routing = core.routing();
            let asked = routing
                .replicas()
                .filter(|(_, replica)| match replica.state {
                    routing::State::Up => round % UP_ROUNDS == 0,
                    routing::State::Out(until) => now >= until,
                    routing::State::Leaving(_) => true,
                });
            asked.map(|(key, _)| key).collect()
        };
        for key in due {
            let is_due = is_mine_or_out(&core, key);
            if is_due {
                core.runtime.spawn(probe(Arc::clone(&core), key)).detach();
            }
        }
        smol::Timer::after(LOAD).await;
    }
}

fn is_mine_or_out(core: &Core, key: routing::Key) -> bool {
    let replica = core.routing().replica(key).cloned();
    let Some(replica) = replica else { return false };
    let owner = core.replica_owner(&replica.name, &replica.data_centre);
    replica.state != routing::State::Up || owner.is_some_and(|owner| owner.daemon == core.me)
}

async fn probe(core: Arc<Core>, key: routing::Key) {
    let Some(address) = core.routing().replica(key).map(|replica| replica.address) else {
        return;
    };
    let client = Client::default().connect(LOAD_ANSWER).head(LOAD_ANSWER);
    let load = client.get::<Load>(address, "/load").await;
    let now = core.now();
    let mut routing = core.routing();
    match load {
        Ok(load) => {
            routing.alive(key);
            routing.report(now, key, load);
        }
        Err(_) => routing.failed(now, key),
    }
}
