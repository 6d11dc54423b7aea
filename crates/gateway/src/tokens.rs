//! Asks for tokens of replicas that limit their rate, and answers other daemons.
//!
//! Asks and replies are datagrams on the port of the heartbeats. A lost one counts
//! as a refusal: the request goes to another replica, or asks again.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::pool::{Class, Selection};
use bitterncart_coordination::fleet::rate_limit::{Buckets, Message, Report, holder, per_1000_s};

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::datagram::{Asks, Socket};
use crate::dialect::Dialect;
use crate::store::Store;

/// Timeout of an ask; a round trip between data centres takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which to ask again without a reply.
const RETRY_AFTER_SILENCE: Duration = Duration::from_millis(400);

/// Result of an ask: granted, or the time after which to ask again.
type Answer = Result<(), Duration>;

/// Buckets of this daemon and its asks without a reply.
#[derive(Debug)]
pub(crate) struct Tokens {
    socket: Arc<Socket>,
    buckets: Mutex<Buckets>,
    asks: Asks<Answer>,
}

impl Tokens {
    pub(crate) fn new(socket: Arc<Socket>) -> Self {
        Self {
            socket,
            buckets: Mutex::default(),
            asks: Asks::default(),
        }
    }

    fn buckets(&self) -> MutexGuard<'_, Buckets> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets buckets that are not in use.
    pub(crate) fn expire(&self) {
        self.buckets().expire(clock::now());
    }

    fn take(&self, process: u32, per_s: f64, class: Class) -> Answer {
        self.buckets().take(clock::now(), process, per_s, class)
    }

    /// Asks a daemon for a token, by a limit that an answer of `age` named.
    async fn ask(
        &self,
        to: SocketAddr,
        process: u32,
        (per_s, age): (f64, Duration),
        class: Class,
    ) -> Answer {
        let ask = self.asks.register(1);
        let message = Message::Ask {
            id: ask.id,
            process,
            per_1000_s: per_1000_s(per_s),
            is_batch: class == Class::Batch,
        };
        self.socket.send(message.encode_ask(age), to).await;
        match with_timeout(REPLY_TIMEOUT, ask.replies.recv()).await {
            Some(Ok(answer)) => answer,
            _ => Err(RETRY_AFTER_SILENCE),
        }
    }
}

/// Handles a message of another daemon. The limit in an ask counts only if it comes from
/// a later answer than the one that is known here.
pub(crate) async fn handle<S: Store, D: Dialect>(
    core: &Core<S, D>,
    message: Message,
    report: Option<Report>,
    from: SocketAddr,
) {
    let tokens = &core.tokens;
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
            let per_s = latest_limit(core, process, per_1000_s, report);
            let answer = tokens.take(process, per_s, class);
            let retry_ms = answer.err().map(|retry| retry.as_millis() as u32);
            let reply = Message::Reply { id, retry_ms };
            tokens.socket.send(reply.encode(), from).await;
        }
        Message::Reply { id, retry_ms } => {
            let answer = match retry_ms {
                None => Ok(()),
                Some(ms) => Err(Duration::from_millis(u64::from(ms))),
            };
            tokens.asks.reply(id, answer);
        }
    }
}

/// Limit of a process in requests a second by the latest answer: that in an ask, or the
/// one that is known here.
fn latest_limit<S: Store, D: Dialect>(
    core: &Core<S, D>,
    process: u32,
    per_1000_s: u32,
    report: Option<Report>,
) -> f64 {
    let asked = f64::from(per_1000_s) / 1000.0;
    let mut pool = core.pool();
    match (pool.limit_of(process), report) {
        (Some(known), _) if known == asked => return asked,
        (_, Some(report)) => pool.merge_limits(clock::now(), &[report]),
        (_, None) => {}
    }
    // An asker that does not know yet that the limit has ended keeps to it.
    pool.limit_of(process).unwrap_or(asked)
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
        let own = (!core.shutdown.has_begun()).then_some(own_address);
        holder(process, live.map(|peer| peer.from).chain(own))
    };
    match holder {
        Some(holder) if holder != own_address => {
            let age = core.pool().limit_age(clock::now(), process);
            let limit = (per_s, age.unwrap_or_default());
            core.tokens.ask(holder, process, limit, class).await
        }
        _ => core.tokens.take(process, per_s, class),
    }
}
