//! Configuration: following, publishing and receiving it from peers.
//!
//! Configuration is published as documents in a stream of the platform's log, and all
//! daemons replay the stream to the same version. A publication names the version
//! that it replaces, so that one of several concurrent publications wins and the
//! others are reported as conflicts. One daemon rewrites the current version before
//! its record expires from the log. While a daemon cannot read the log, or has no
//! version yet, it asks its peers for a newer one.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::log::Entry;
use bitterncart_protocol::peer::{Request, Response};
use bitterncart_protocol::record::Publish;
use bitterncart_protocol::{Code, admin, hash};
use bitterncart_state::Config;
use bitterncart_state::config::Outcome;
use bitterncart_transport::log::Log as _;
use bitterncart_transport::runtime::unix_time_ms;
use rand::seq::IndexedRandom;
use spdlog::{info, warn};

use crate::core::Core;
use crate::peers;
use crate::shards::append_with_retry;

/// Log stream of the configuration.
const STREAM: &str = "configuration";

/// Long-poll time of a read of the configuration stream, and timeout of a request to
/// a peer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed read, and interval of polls while there is no configuration
/// or a publication awaits its outcome.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two polls of a peer once there is a configuration.
const PEER_INTERVAL: Duration = Duration::from_secs(3);

/// Maximum time to wait for the outcome of a publication.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the configuration stream until the runtime stops.
pub async fn follow_stream(core: Arc<Core>) {
    loop {
        let next = core.config().next();
        match core.log.read(STREAM, next, READ_TIMEOUT).await {
            Ok(page) => {
                core.record_log_result(true);
                for entry in &page.entries {
                    apply(&core, entry);
                }
                core.config_read.notify(usize::MAX);
                rewrite_before_expiry(&core).await;
            }
            Err(_) => {
                core.record_log_result(false);
                smol::Timer::after(RETRY_INTERVAL).await;
            }
        }
    }
}

fn apply(core: &Core, entry: &Entry) {
    let publish = postcard::from_bytes::<Publish>(&entry.payload);
    let outcome = match publish {
        Ok(publish) => core.config().apply(entry.offset, entry.at_ms, &publish),
        Err(_) => {
            core.config().skip(entry.offset);
            return;
        }
    };
    match outcome {
        Outcome::Accepted(number) => {
            info!("configuration applied", kv: { version = number });
            core.reconfigure();
        }
        Outcome::Stale(standing) => info!("stale configuration ignored", kv: { standing }),
        Outcome::Invalid => warn!("invalid configuration ignored", kv: { offset = entry.offset }),
    }
}

/// Appends the current version again before its record expires from the log.
async fn rewrite_before_expiry(core: &Core) {
    let Some(version) = core.config_version() else {
        return;
    };
    let retention_ms = version.document.log.retention_s * 1000;
    if !core.config().needs_rewrite(unix_time_ms(), retention_ms) || !is_rewriter(core) {
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
    if let Err(code) = append_with_retry(core, STREAM, &payload).await {
        core.counters.count_code(code);
    }
}

/// Whether this daemon rewrites the current version.
///
/// Rendezvous hashing selects one live daemon; if two consider themselves selected,
/// the second record is harmless.
fn is_rewriter(core: &Core) -> bool {
    let membership = core.membership();
    let selected = membership
        .live()
        .max_by_key(|member| hash::rendezvous_score(STREAM.as_bytes(), member.daemon.as_bytes()));
    selected.is_some_and(|member| member.daemon == core.daemon_id)
}

/// Polls peers for a newer configuration while there is none or the log fails, so
/// that a daemon also gets one if it starts during an outage of the log.
pub async fn poll_peers(core: Arc<Core>) {
    loop {
        let peer = {
            let membership = core.membership();
            let others: Vec<_> = membership
                .live()
                .filter(|member| member.daemon != core.daemon_id)
                .filter(|member| {
                    member.data_centre == core.settings.data_centre || core.config().number() == 0
                })
                .cloned()
                .collect();
            others.choose(&mut rand::rng()).cloned()
        };
        let known = core.config().number();
        if let Some(peer) = peer.filter(|_| known == 0 || core.is_log_failing()) {
            let response = peers::send(&core, &peer, &Request::Configuration, READ_TIMEOUT).await;
            if let Ok(Response::Configuration(Some((number, text)))) = response
                && core.config().adopt(unix_time_ms(), number, &text)
            {
                info!("configuration received from a peer", kv: { version = number });
                core.reconfigure();
            }
        }
        let interval = if known == 0 {
            RETRY_INTERVAL
        } else {
            PEER_INTERVAL
        };
        smol::Timer::after(interval).await;
    }
}

/// Publishes a document, waits until the publication has been read back from the
/// stream and returns its version.
///
/// # Errors
///
/// A code with the current version or 0: [`Code::VersionConflict`] if the publication
/// names a version that is no longer current, [`Code::LogUnavailable`] if it was not
/// published, [`Code::AppendUnknown`] if it may have been.
pub async fn publish(core: &Core, publish: Publish) -> Result<u64, (Code, u64)> {
    let nonce = publish.nonce;
    let payload = postcard::to_stdvec(&publish).map_err(|_| (Code::InvalidDocument, 0))?;
    let offset = append_with_retry(core, STREAM, &payload)
        .await
        .map_err(|code| (code, 0))?;
    let deadline = core.now() + OUTCOME_TIMEOUT;
    while core.now() < deadline {
        let stream_read = core.config_read.listen();
        if core.config().next() > offset {
            return publication_outcome(core, nonce);
        }
        let timeout = async {
            smol::Timer::after(RETRY_INTERVAL).await;
        };
        futures_lite::future::or(stream_read, timeout).await;
    }
    Err((Code::AppendUnknown, core.config().number()))
}

fn publication_outcome(core: &Core, nonce: u64) -> Result<u64, (Code, u64)> {
    let config = core.config();
    let current = config.number();
    config
        .accepted_as(nonce)
        .ok_or((Code::VersionConflict, current))
}

/// Versions whose publication is still in the log, oldest first.
///
/// # Errors
///
/// [`Code::LogUnavailable`] if the log does not answer.
pub async fn history(core: &Core) -> Result<Vec<admin::Version>, Code> {
    let versions = read_accepted(core).await?.into_iter().map(|accepted| {
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

/// Publication that became a version.
struct Accepted {
    number: u64,
    at_ms: u64,
    publish: Publish,
}

/// Replays the part of the stream that is still in the log.
async fn read_accepted(core: &Core) -> Result<Vec<Accepted>, Code> {
    let mut config = Config::default();
    let mut accepted = Vec::new();
    loop {
        let page = core.log.read(STREAM, config.next(), Duration::ZERO).await;
        let page = page.map_err(|_| Code::LogUnavailable)?;
        for entry in &page.entries {
            let Ok(publish) = postcard::from_bytes::<Publish>(&entry.payload) else {
                config.skip(entry.offset);
                continue;
            };
            let at_ms = entry.at_ms;
            if let Outcome::Accepted(number) = config.apply(entry.offset, at_ms, &publish) {
                accepted.push(Accepted {
                    number,
                    at_ms,
                    publish,
                });
            }
        }
        if page.entries.is_empty() || config.next() >= page.next {
            return Ok(accepted);
        }
    }
}
