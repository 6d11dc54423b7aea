//! Configuration: following its stream, publishing, taking it from a peer.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::log::Entry;
use bitterncart_protocol::peer::{Ask, Reply};
use bitterncart_protocol::record::Publish;
use bitterncart_protocol::{Code, admin, hash};
use bitterncart_state::Config;
use bitterncart_state::config::Verdict;
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
const WAIT: Duration = Duration::from_secs(5);

/// Wait after a failed read.
const PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at a peer's configuration.
const PEER: Duration = Duration::from_secs(3);

/// Time for the verdict on a publication.
const VERDICT: Duration = Duration::from_secs(5);

/// Follows the configuration stream.
pub async fn follow(core: Arc<Core>) {
    loop {
        let next = core.config().next();
        match core.log.read(STREAM, next, WAIT).await {
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
pub async fn follow_peers(core: Arc<Core>) {
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
            let reply = peers::ask(&core, &peer, &Ask::Configuration, WAIT).await;
            if let Ok(Reply::Configuration(Some((number, text)))) = reply
                && core.config().offer(wall_ms(), number, &text)
            {
                info!("configuration taken from a peer", kv: { version = number });
                core.reconfigure();
            }
        }
        let pause = if known == 0 { PAUSE } else { PEER };
        smol::Timer::after(pause).await;
    }
}

/// Publishes a document and waits for the verdict of the fold.
///
/// # Errors
///
/// [`Code::VersionConflict`] with the standing version if another one won;
/// [`Code::LogUnavailable`] if it was not published, [`Code::AppendUnknown`] if
/// it may have been.
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
            return verdict(core, nonce);
        }
        let late = async {
            smol::Timer::after(PAUSE).await;
        };
        futures_lite::future::or(changed, late).await;
    }
    Err((Code::AppendUnknown, core.config().number()))
}

fn verdict(core: &Core, nonce: u64) -> Result<u64, (Code, u64)> {
    let config = core.config();
    let standing = config.number();
    config.won(nonce).ok_or((Code::VersionConflict, standing))
}

/// Versions that the log still holds, oldest first.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer.
pub async fn history(core: &Core) -> Result<Vec<admin::Version>, Code> {
    let versions = accepted(core).await?.into_iter().map(|accepted| {
        let Accepted {
            number,
            at_ms,
            publish,
        } = accepted;
        admin::Version {
            version: number,
            digest: hash::digest(publish.text.as_bytes()).into(),
            operator: publish.operator,
            at_ms,
            text: publish.text,
        }
    });
    Ok(versions.collect())
}

/// Publication that the fold accepted.
struct Accepted {
    number: u64,
    at_ms: u64,
    publish: Publish,
}

/// Folds the whole stream that the log still holds.
async fn accepted(core: &Core) -> Result<Vec<Accepted>, Code> {
    let mut fold = Config::default();
    let mut accepted = Vec::new();
    loop {
        let page = core.log.read(STREAM, fold.next(), Duration::ZERO).await;
        let page = page.map_err(|_| Code::LogUnavailable)?;
        for entry in &page.entries {
            let Ok(publish) = postcard::from_bytes::<Publish>(&entry.payload) else {
                fold.skip(entry.offset);
                continue;
            };
            let at_ms = entry.at_ms;
            if let Verdict::Accepted(number) = fold.apply(entry.offset, at_ms, &publish) {
                accepted.push(Accepted {
                    number,
                    at_ms,
                    publish,
                });
            }
        }
        if page.entries.is_empty() || fold.next() >= page.next {
            return Ok(accepted);
        }
    }
}
