//! Asks peers for the age of their manifests while the store does not answer.
//!
//! A daemon that has lost its way to the store goes on with requests that need keys as
//! long as a peer that still reads the store has the same version. Asks and replies are
//! datagrams on the port of the heartbeats; heartbeats themselves confirm nothing, as one
//! that was received late shows an age of an unknown time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::freshness::Message;
use rand::seq::IteratorRandom;

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::datagram::{Asks, Socket};
use crate::dialect::Dialect;
use crate::store::Store;

/// Interval between checks of the age.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of the replies; a round trip between data centres takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(150);

/// Peers that are asked at a time: some may have lost the store, too.
const PEERS_ASKED: usize = 3;

/// Version and age of a peer's manifest.
#[derive(Clone, Copy, Debug)]
struct Answer {
    version: u64,
    age: Duration,
}

/// Asks of this daemon that wait for replies.
#[derive(Debug)]
pub(crate) struct Confirmations {
    socket: Arc<Socket>,
    asks: Asks<Answer>,
}

impl Confirmations {
    pub(crate) fn new(socket: Arc<Socket>) -> Self {
        Self {
            socket,
            asks: Asks::default(),
        }
    }
}

/// Handles a message of another daemon.
pub(crate) async fn handle<S: Store, D: Dialect>(
    core: &Core<S, D>,
    message: Message,
    from: SocketAddr,
) {
    match message {
        Message::Ask { id } => {
            let version = core.manifest().map(|manifest| manifest.version);
            let age = core.freshness().age(clock::now());
            if let (Some(version), Some(age)) = (version, age) {
                let age_ms = u32::try_from(age.as_millis().saturating_add(1)).unwrap_or(u32::MAX);
                let reply = Message::Reply {
                    id,
                    version,
                    age_ms,
                };
                core.confirmations.socket.send(reply.encode(), from).await;
            }
        }
        Message::Reply {
            id,
            version,
            age_ms,
        } => {
            let age = Duration::from_millis(u64::from(age_ms));
            core.confirmations.asks.reply(id, Answer { version, age });
        }
    }
}

/// Asks peers whenever the manifest of a deployment with customers gets old.
pub(crate) async fn maintain<S: Store, D: Dialect>(core: Core<S, D>) {
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let max_age = core.current_settings().max_manifest_age();
        let is_due = |max_age| core.freshness().is_ask_due(clock::now(), max_age);
        if core.names_customers() && max_age.is_some_and(is_due) {
            ask(&core).await;
        }
    }
}

async fn ask<S: Store, D: Dialect>(core: &Core<S, D>) {
    let asked_at = clock::now();
    let peers: Vec<SocketAddr> = core
        .peers()
        .live(asked_at)
        .map(|peer| peer.from)
        .choose_multiple(&mut rand::rng(), PEERS_ASKED);
    let confirmations = &core.confirmations;
    let ask = confirmations.asks.register(PEERS_ASKED);
    for peer in &peers {
        let message = Message::Ask { id: ask.id };
        confirmations.socket.send(message.encode(), *peer).await;
    }
    let replies = async {
        for _ in &peers {
            let Ok(answer) = ask.replies.recv().await else {
                return;
            };
            let version = core.manifest().map(|manifest| manifest.version);
            // A peer with another version has not seen this one, or knows of a newer one.
            if version == Some(answer.version) {
                core.freshness().confirm_by_peer(asked_at, answer.age);
            }
        }
    };
    // Without replies the manifest stays as old as it is.
    let _end = with_timeout(REPLY_TIMEOUT, replies).await;
}
