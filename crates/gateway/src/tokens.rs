//! Asks for tokens of replicas that limit their rate, and answers other daemons.
//!
//! Asks and replies are datagrams on the port of the heartbeats. A lost one counts
//! as a refusal: the request goes to another replica, or asks again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use async_channel::Sender;
use bitterncart_coordination::fleet::pool::{Class, Selection};
use bitterncart_coordination::fleet::rate_limit::{Buckets, Message, holder, per_1000_s};
use smol::net::UdpSocket;

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::log;
use crate::store::Store;

/// Timeout of an ask; a round trip between data centres takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which to ask again without a reply.
const RETRY_AFTER_SILENCE: Duration = Duration::from_millis(400);

/// Result of an ask: granted, or the time after which to ask again.
type Answer = Result<(), Duration>;

/// Buckets of this daemon and its asks without a reply.
#[derive(Debug, Default)]
pub(crate) struct Tokens {
    socket: OnceLock<UdpSocket>,
    buckets: Mutex<Buckets>,
    pending: Mutex<HashMap<u32, Sender<Answer>>>,
    next_id: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes an ask that is no longer waited for.
struct Pending<'a> {
    tokens: &'a Tokens,
    id: u32,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        lock(&self.tokens.pending).remove(&self.id);
    }
}

impl Tokens {
    /// Sets the socket of the heartbeats.
    pub(crate) fn set_socket(&self, socket: UdpSocket) {
        // It is set once, at the start.
        drop(self.socket.set(socket));
    }

    /// Forgets buckets that are not in use.
    pub(crate) fn expire(&self) {
        lock(&self.buckets).expire(clock::now());
    }

    fn take(&self, process: u32, per_s: f64, class: Class) -> Answer {
        lock(&self.buckets).take(clock::now(), process, per_s, class)
    }

    /// Handles a message of another daemon.
    pub(crate) async fn handle(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Ask {
                id,
                process,
                per_1000_s,
                is_batch,
            } => {
                let class = if is_batch {
                    Class::Batch
                } else {
                    Class::Online
                };
                let answer = self.take(process, f64::from(per_1000_s) / 1000.0, class);
                let retry_ms = answer.err().map(|retry| retry.as_millis() as u32);
                self.send(&Message::Reply { id, retry_ms }, from).await;
            }
            Message::Reply { id, retry_ms } => {
                let waiting = lock(&self.pending).remove(&id);
                let answer = match retry_ms {
                    None => Ok(()),
                    Some(ms) => Err(Duration::from_millis(u64::from(ms))),
                };
                if let Some(waiting) = waiting {
                    // The request may have ended meanwhile.
                    let _sent = waiting.try_send(answer);
                }
            }
        }
    }

    async fn send(&self, message: &Message, to: SocketAddr) {
        match (self.socket.get(), message.encode()) {
            // A failed send is treated as a lost datagram.
            (Some(socket), Ok(bytes)) => drop(socket.send_to(&bytes, to).await),
            (_, Err(e)) => log::datagram_error(&e.to_string()),
            (None, _) => {}
        }
    }

    async fn ask(&self, to: SocketAddr, process: u32, per_s: f64, class: Class) -> Answer {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = async_channel::bounded(1);
        lock(&self.pending).insert(id, sender);
        let _pending = Pending { tokens: self, id };
        let message = Message::Ask {
            id,
            process,
            per_1000_s: per_1000_s(per_s),
            is_batch: class == Class::Batch,
        };
        self.send(&message, to).await;
        match with_timeout(REPLY_TIMEOUT, reply.recv()).await {
            Some(Ok(answer)) => answer,
            _ => Err(RETRY_AFTER_SILENCE),
        }
    }
}

/// Acquires a token of a replica that limits its rate.
///
/// # Errors
///
/// Time after which to ask again, if there is none.
pub(crate) async fn acquire<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    per_s: f64,
    class: Class,
) -> Result<(), Duration> {
    let own_address = core.peer_address();
    let process = selection.process_hash;
    let holder = {
        let peers = core.peers();
        let live = peers.live(clock::now()).filter(|peer| !peer.leaving);
        let own = (!core.is_draining()).then_some(own_address);
        holder(process, live.map(|peer| peer.from).chain(own))
    };
    match holder {
        Some(holder) if holder != own_address => {
            core.tokens.ask(holder, process, per_s, class).await
        }
        _ => core.tokens.take(process, per_s, class),
    }
}
