//! Asks for tokens of customers with a quota, and answers other daemons.
//!
//! Asks and replies are datagrams on the port of the heartbeats. Without a reply of the
//! first holder the second one is asked, once; then this daemon grants its own small
//! share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::request_quota::{
    Blocks, Buckets, Fleet, Limit, Message, Part,
};
use bitterncart_coordination::fleet::{Customer, Customers};
use compact_str::CompactString;

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::datagram::{Asks, Socket};
use crate::dialect::Dialect;
use crate::log;
use crate::settings::Settings;
use crate::store::Store;

/// Timeout of an ask; a round trip between data centres takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which a caller may ask again while the daemon does not know the others.
const UNKNOWN_FLEET_RETRY: Duration = Duration::from_millis(500);

/// Time without a heartbeat after which a daemon no longer counts, if the settings have
/// no maximum age of the manifest.
const DEFAULT_MAX_LOST: Duration = Duration::from_secs(5);

/// Time without a refusal after which the refusals of a customer have ended.
const REFUSALS_END: Duration = Duration::from_secs(5);

/// Maximum number of customers with metrics of their own.
const MAX_LABELS: usize = 512;

/// Label of the metrics of all further customers.
const OTHER_LABEL: &str = "other";

/// Refusals of a customer since the first one.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u64,
    last_at: Duration,
}

/// Customers as the metrics and the log know them; `None` while none is refused.
type Labels = HashMap<CompactString, Option<Refusals>>;

/// Tokens in a reply, or the time after which to ask again.
type Answer = Result<u16, Duration>;

/// How a request was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// By a token of a block, granted before.
    Block,
    /// By the bucket of this daemon.
    Own,
    /// By the bucket of another daemon.
    Ask,
    /// By the share that a daemon grants without a reply.
    Local,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Block => "block",
            Self::Own => "own",
            Self::Ask => "ask",
            Self::Local => "local_share",
        }
    }
}

/// Buckets and blocks of this daemon, and its asks without a reply. Each lock is taken
/// alone.
#[derive(Debug)]
pub(crate) struct RequestQuotas {
    socket: Arc<Socket>,
    max_lost: Duration,
    fleet: Mutex<Fleet>,
    buckets: Mutex<Buckets>,
    /// Buckets from which this daemon grants without a reply.
    local: Mutex<Buckets>,
    blocks: Mutex<Blocks>,
    labels: Mutex<Labels>,
    asks: Asks<Answer>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestQuotas {
    pub(crate) fn new(settings: &Settings, socket: Arc<Socket>) -> Self {
        let max_age = settings.max_manifest_age_ms.map(Duration::from_millis);
        Self {
            socket,
            max_lost: max_age.unwrap_or(DEFAULT_MAX_LOST),
            fleet: Mutex::new(Fleet::new(settings.peers)),
            buckets: Mutex::default(),
            local: Mutex::default(),
            blocks: Mutex::default(),
            labels: Mutex::default(),
            asks: Asks::default(),
        }
    }

    /// Forgets buckets and blocks that are not in use, and logs the customers that are no
    /// longer refused.
    pub(crate) fn expire(&self, now: Duration) {
        lock(&self.buckets).expire(now);
        lock(&self.local).expire(now);
        lock(&self.blocks).expire(now);
        for (name, state) in lock(&self.labels).iter_mut() {
            if let Some(refusals) = *state
                && now.saturating_sub(refusals.last_at) >= REFUSALS_END
            {
                log::customer_refusals_ended(name, refusals.count);
                *state = None;
            }
        }
    }

    fn take_held(
        &self,
        now: Duration,
        customer: u32,
        limit: Limit,
        part: &Part,
        wanted: u16,
    ) -> Answer {
        lock(&self.buckets).take(now, customer, limit, part, wanted, rand::random())
    }

    fn held(&self, now: Duration, customer: u32) -> Part {
        lock(&self.fleet).held(now, self.max_lost, customer)
    }

    /// Label of a customer in metrics. A refusal is counted; the first one is logged.
    fn record(&self, now: Duration, name: &CompactString, is_refused: bool) -> CompactString {
        let mut labels = lock(&self.labels);
        if !labels.contains_key(name) && labels.len() >= MAX_LABELS {
            return OTHER_LABEL.into();
        }
        let state = labels.entry(name.clone()).or_default();
        if is_refused {
            if state.is_none() {
                log::customer_refused(name);
            }
            let count = state.map_or(0, |refusals| refusals.count) + 1;
            *state = Some(Refusals {
                count,
                last_at: now,
            });
        }
        name.escape_default().collect()
    }

    /// Asks a daemon for tokens; `None` without a reply.
    async fn ask(
        &self,
        to: SocketAddr,
        customer: u32,
        limit: Limit,
        wanted: u16,
    ) -> Option<Answer> {
        let ask = self.asks.register(1);
        let message = Message::Ask {
            id: ask.id,
            customer,
            limit,
            wanted,
        };
        self.socket.send(message.encode(), to).await;
        let reply = with_timeout(REPLY_TIMEOUT, ask.replies.recv()).await;
        reply?.ok()
    }

    /// Acquires a token of a customer.
    async fn acquire(
        &self,
        own_address: SocketAddr,
        customer: u32,
        limit: Limit,
    ) -> Result<Source, Duration> {
        let asked_at = clock::now();
        let wanted = match lock(&self.blocks).take(asked_at, customer, limit.version) {
            Ok(()) => return Ok(Source::Block),
            Err(wanted) => wanted,
        };
        let holders = lock(&self.fleet).holders(customer);
        for holder in holders.into_iter().flatten() {
            if holder == own_address {
                let part = self.held(asked_at, customer);
                let answer = self.take_held(asked_at, customer, limit, &part, 1);
                return answer.map(|_| Source::Own);
            }
            let asked_at = clock::now();
            match self.ask(holder, customer, limit, wanted).await {
                Some(Ok(granted)) => {
                    let spare = granted.saturating_sub(1);
                    if spare > 0 {
                        lock(&self.blocks).add(asked_at, customer, limit.version, spare);
                    }
                    return Ok(Source::Ask);
                }
                Some(Err(retry)) => return Err(retry),
                None => {}
            }
        }
        let now = clock::now();
        let part = lock(&self.fleet).local(now, self.max_lost);
        lock(&self.local)
            .take(now, customer, limit, &part, 1, rand::random())
            .map(|_| Source::Local)
    }
}

/// Updates the daemons that this one knows and hears. To be called with each check of the
/// heartbeats.
pub(crate) fn update<S: Store, D: Dialect>(core: &Core<S, D>, now: Duration) {
    if !core.names_customers() {
        return;
    }
    let peers = core.peers();
    let live = peers.live(now).map(|peer| (peer.from, !peer.leaving));
    let live = live.collect();
    drop(peers);
    let request_quotas = &core.request_quotas;
    lock(&request_quotas.fleet).update(
        now,
        request_quotas.max_lost,
        core.shutdown.has_begun(),
        live,
        &core.members(),
    );
}

/// Handles a message of another daemon.
pub(crate) async fn handle<S: Store, D: Dialect>(
    core: &Core<S, D>,
    message: Message,
    from: SocketAddr,
) {
    let request_quotas = &core.request_quotas;
    match message {
        // A daemon that does not know the others cannot tell its part of the limit.
        Message::Ask { .. } if !core.knows_members() => {}
        Message::Ask {
            id,
            customer,
            limit,
            wanted,
        } => {
            let limit = newest_limit(core, customer, limit);
            let now = clock::now();
            let part = request_quotas.held(now, customer);
            let answer = request_quotas.take_held(now, customer, limit, &part, wanted);
            let retry = answer.err().unwrap_or_default();
            let reply = Message::Reply {
                id,
                granted: answer.unwrap_or_default(),
                retry_ms: retry.as_millis() as u32,
            };
            request_quotas.socket.send(reply.encode(), from).await;
        }
        Message::Reply {
            id,
            granted,
            retry_ms,
        } => {
            let answer = match granted {
                0 => Err(Duration::from_millis(u64::from(retry_ms))),
                _ => Ok(granted),
            };
            request_quotas.asks.reply(id, answer);
        }
    }
}

/// Limit of a customer in the newer one of the manifests of this daemon and the asking one.
fn newest_limit<S: Store, D: Dialect>(core: &Core<S, D>, customer: u32, asked: Limit) -> Limit {
    let Some(manifest) = core.manifest() else {
        return asked;
    };
    if manifest.version <= asked.version {
        return asked;
    }
    let mut customers = manifest.customers.iter().flat_map(Customers::iter);
    let known = customers.find(|known| known.short_hash() == customer);
    match known.and_then(|known| known.quota) {
        Some(quota) => Limit {
            version: manifest.version,
            quota,
        },
        None => asked,
    }
}

/// Keeps the token of a request that was not run for the customer's next one.
pub(crate) fn give_back<S: Store, D: Dialect>(core: &Core<S, D>, customer: &Customer) {
    if customer.quota.is_some() {
        let version = core.manifest().map_or(0, |manifest| manifest.version);
        let (now, id) = (clock::now(), customer.short_hash());
        lock(&core.request_quotas.blocks).add(now, id, version, 1);
    }
}

/// Acquires a token for a request of a customer. A customer without a quota needs
/// none.
///
/// # Errors
///
/// Time after which a token is expected, if there is none. It differs between callers, so
/// that they do not come back at the same time.
pub(crate) async fn acquire<S: Store, D: Dialect>(
    core: &Core<S, D>,
    customer: &Customer,
) -> Result<(), Duration> {
    let Some(quota) = customer.quota else {
        return Ok(());
    };
    let request_quotas = &core.request_quotas;
    let limit = Limit {
        version: core.manifest().map_or(0, |manifest| manifest.version),
        quota,
    };
    let acquired = if core.knows_members() {
        let own_address = core.peer_address();
        request_quotas
            .acquire(own_address, customer.short_hash(), limit)
            .await
    } else {
        Err(UNKNOWN_FLEET_RETRY.mul_f64(1.0 + rand::random::<f64>()))
    };
    let label = request_quotas.record(clock::now(), &customer.name, acquired.is_err());
    let source = acquired.as_ref().map(|source| source.name());
    core.metrics.request_quota(&label, source.ok());
    acquired.map(|_| ())
}
