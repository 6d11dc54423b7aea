//! Finds the build that began a stream which a client takes up, and tells other daemons
//! which build began those of this daemon.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bitterncart_coordination::fleet::streams::{
    self, Answer, HOLDERS, History, MAX_ASKED, Message, SoleRoute,
};
use bitterncart_coordination::fleet::{Build, Fingerprint, Manifest, Route, Streams};

use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::datagram::{Asks, Socket};
use crate::dialect::Dialect;
use crate::gossip::known_peers;
use crate::log;
use crate::store::Store;

/// Timeout of an ask; a round trip between data centres takes a few milliseconds.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Maximum time to wait for a read of the list.
const LIST_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of times that an ask without a result is sent, as datagrams may be lost.
const MAX_ROUNDS: usize = 2;

/// Streams that this daemon knows, and its asks without a reply.
#[derive(Debug)]
pub(crate) struct Registry {
    socket: Arc<Socket>,
    streams: Mutex<Streams>,
    asks: Asks<Answer>,
}

impl Registry {
    pub(crate) fn new(socket: Arc<Socket>) -> Self {
        Self {
            socket,
            streams: Mutex::default(),
            asks: Asks::default(),
        }
    }

    fn streams(&self) -> MutexGuard<'_, Streams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the routes that a manifest moves to other services.
    pub(crate) fn record_moved_routes(&self, old: &Manifest, new: &Manifest) {
        let mut streams = self.streams();
        for route in new.moved_routes(old) {
            streams.record_moved(clock::now(), route);
        }
    }

    /// Forgets streams that are no longer taken up.
    pub(crate) fn expire(&self) {
        self.streams().expire(clock::now());
    }
}

/// Time until which the list has to tell which versions a service had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Until {
    /// Given time.
    Time(Duration),
    /// When it was last read, if that is not long ago.
    Lately,
    /// When it was last read, as nobody can be listed.
    StoreOutage,
}

/// Versions that may have begun the streams of a route.
fn history<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: Option<&SoleRoute>,
    until: Until,
) -> History {
    let Some(route) = route else {
        return History::Unknown;
    };
    let (now, pool) = (clock::now(), core.pool());
    let of_service = match until {
        Until::Time(time) => pool.history(time, &route.service, route.window()),
        Until::Lately if !pool.is_list_current(now) => History::Unknown,
        _ => pool.latest_history(&route.service, route.window()),
    };
    drop(pool);
    core.streams.streams().history_of(now, route, of_service)
}

/// Other daemons by their rank for a stream: the live ones, or all that are known if
/// this one has not listened for long enough to tell.
fn ranked_peers<S: Store, D: Dialect>(
    core: &Core<S, D>,
    stream: Fingerprint,
    count: usize,
) -> Vec<SocketAddr> {
    let (now, peers) = (clock::now(), core.peers());
    let daemons: BTreeSet<SocketAddr> = if peers.is_stable(now) {
        peers.live(now).map(|peer| peer.from).collect()
    } else {
        drop(peers);
        known_peers(core)
    };
    let mut ranked = streams::ranked(stream, daemons);
    ranked.truncate(count);
    ranked
}

/// Records the build that began a stream, here and at other daemons.
pub(crate) async fn record<S: Store, D: Dialect>(
    core: &Core<S, D>,
    stream: Fingerprint,
    build: &Build,
) {
    let now = clock::now();
    core.streams.streams().record(now, stream, build.clone());
    let message = Message::Began {
        stream,
        build: build.clone(),
    };
    for holder in ranked_peers(core, stream, HOLDERS) {
        core.streams.socket.send(message.encode(), holder).await;
    }
}

/// Finds the build that began a stream of a route; `None` if it is not known. A client
/// that does not name the `stream` may have one of any that the route had.
pub(crate) async fn find<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: &Route,
    stream: Option<Fingerprint>,
) -> Option<Build> {
    let came_at = clock::now();
    let stream = stream.unwrap_or_default();
    let route = SoleRoute::of(route);
    let own = |until| {
        let history = history(core, route.as_ref(), until);
        core.streams.streams().answer(stream, history)
    };
    if let Answer::Began(build) = own(Until::Time(came_at)) {
        return Some(build);
    }
    let (others, is_complete) = match ask(core, route.as_ref(), stream).await {
        Ok(build) => return Some(build),
        Err(Unknown {
            answers,
            is_complete,
        }) => (answers, is_complete),
    };
    // No reading of the list makes several versions one.
    let several = Answer::History(History::Mixed);
    let is_mixed = own(Until::Time(came_at)) == several || others.contains(&several);
    let now = clock::now();
    let own = match core.is_store_unavailable(now) {
        // A version that this daemon has not seen was listed before, and others have
        // seen it.
        true if is_complete && core.peers().is_store_outage(now) => own(Until::StoreOutage),
        false if route.is_some() && !is_mixed => {
            core.list_reads.wait_for(came_at, LIST_TIMEOUT).await;
            own(Until::Time(came_at))
        }
        _ => own(Until::Time(came_at)),
    };
    let build = streams::decide(route.as_ref(), &own, &others);
    log::stream_without_record(&own, &others, build.as_ref());
    build
}

/// Answers of which none names a build.
struct Unknown {
    answers: Vec<Answer>,
    /// Whether all daemons that were asked have answered, at least one.
    is_complete: bool,
}

/// Asks other daemons for the build that began a stream.
///
/// # Errors
///
/// The answers, if none of them names a build.
async fn ask<S: Store, D: Dialect>(
    core: &Core<S, D>,
    route: Option<&SoleRoute>,
    stream: Fingerprint,
) -> Result<Build, Unknown> {
    let asked = ranked_peers(core, stream, MAX_ASKED);
    let mut answers = Vec::new();
    for _ in 0..MAX_ROUNDS {
        answers.clear();
        let ask = core.streams.asks.register(asked.len());
        let message = Message::Ask {
            id: ask.id,
            stream,
            route: route.cloned(),
        };
        for daemon in &asked {
            core.streams.socket.send(message.encode(), *daemon).await;
        }
        let until = clock::now() + REPLY_TIMEOUT;
        while answers.len() < asked.len() {
            let left = until.saturating_sub(clock::now());
            match with_timeout(left, ask.replies.recv()).await {
                Some(Ok(Answer::Began(build))) => return Ok(build),
                Some(Ok(answer)) => answers.push(answer),
                _ => break,
            }
        }
        if answers.len() == asked.len() {
            break;
        }
    }
    let is_complete = !answers.is_empty() && answers.len() == asked.len();
    Err(Unknown {
        answers,
        is_complete,
    })
}

/// Handles a message of another daemon.
pub(crate) async fn handle<S: Store, D: Dialect>(
    core: &Core<S, D>,
    message: Message,
    from: SocketAddr,
) {
    match message {
        Message::Began { stream, build } => {
            core.streams.streams().record(clock::now(), stream, build);
        }
        Message::Ask { id, stream, route } => {
            let history = history(core, route.as_ref(), Until::Lately);
            let answer = core.streams.streams().answer(stream, history);
            let reply = Message::Reply { id, answer };
            core.streams.socket.send(reply.encode(), from).await;
        }
        Message::Reply { id, answer } => core.streams.asks.reply(id, answer),
    }
}
