//! Which build began a stream that its client takes up again, at any daemon.
//!
//! A stream can only continue at the build that began it, and replicas do not check
//! this. The daemon that began it may be gone when the client comes back:
//!
//! - The daemon that relays the first event of a stream records the build and sends it
//!   to a few holders, chosen by rendezvous hashing of the stream over the live daemons.
//!   A daemon at which the client comes back asks the daemons with the highest ranks,
//!   more than there are holders, as its view may differ.
//! - If none has a record, the daemon reads the list of replicas. If that shows that the
//!   service has had one version from before the stream can have begun until the client
//!   came back, the stream began there. What another daemon says about the versions, or
//!   that none says anything, is no such proof.
//!
//! If neither tells the build, the stream is not continued.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::hash;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::datagram::Mark;
use super::manifest::Route;
use super::profile::Fingerprint;
use super::recent::Recent;
use super::replica::Build;

/// Time for which streams, versions and moves of routes are remembered.
pub const MEMORY: Duration = Duration::from_secs(60);

/// Time from the beginning of a stream until its client takes it up for the last time,
/// as a multiple of the timeout of the route.
const TIMEOUTS_PER_WINDOW: u32 = 2;

/// Lower bound of that time: clients do not know the timeout, which a manifest may have
/// changed after the stream began.
const MIN_WINDOW: Duration = Duration::from_secs(10);

/// Daemons that hold the build of a stream beside the one that began it.
pub const HOLDERS: usize = 3;

/// Daemons that are asked for the build of a stream.
pub const MAX_ASKED: usize = 8;

/// Maximum number of streams that are remembered.
const MAX_STREAMS: usize = 8192;

/// Maximum number of routes that are remembered as moved.
const MAX_MOVED_ROUTES: usize = 4096;

const MARK: Mark = Mark(0xa6);

/// Versions of a service that a daemon has seen within a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum History {
    /// The daemon has not followed the list for so long, or its list is from before the
    /// end of the window.
    Unknown,
    /// There were several versions, or one that is not known.
    Mixed,
    /// All replicas had this version.
    Sole(CompactString),
}

/// What a daemon knows about a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// This build began it.
    Began(Build),
    /// It does not know the stream, but which versions its service had.
    History(History),
}

/// Route that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleRoute {
    /// Host.
    pub host: CompactString,
    /// Path prefix.
    pub prefix: CompactString,
    /// Service.
    pub service: CompactString,
    /// Time within which its versions may have begun a stream, in milliseconds.
    pub window_ms: u32,
}

impl SoleRoute {
    /// See [`Self::window_ms`].
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_millis(u64::from(self.window_ms))
    }

    /// Route, if all of its requests go to one service.
    #[must_use]
    pub fn of(route: &Route) -> Option<Self> {
        let mut used = route.backends.iter().filter(|b| b.weight > 0);
        let (first, others) = (used.next()?, used.next());
        others.is_none().then(|| Self {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            service: first.service.clone(),
            window_ms: (route.timeout * TIMEOUTS_PER_WINDOW)
                .clamp(MIN_WINDOW, MEMORY)
                .as_millis() as u32,
        })
    }
}

/// Message between daemons about a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A build began a stream.
    Began {
        /// Stream.
        stream: Fingerprint,
        /// Build that began it.
        build: Build,
    },
    /// Asks which build began a stream.
    Ask {
        /// Number that the reply repeats.
        id: u32,
        /// Stream.
        stream: Fingerprint,
        /// Route of the stream, if it goes to one service.
        route: Option<SoleRoute>,
    },
    /// Answers an ask.
    Reply {
        /// Number of the ask.
        id: u32,
        /// What the daemon knows.
        answer: Answer,
    },
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// # Errors
    ///
    /// If a field cannot be serialized.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        MARK.encode(self)
    }

    /// Decodes a datagram; `None` if it is no message about a stream.
    #[must_use]
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        MARK.decode(datagram)
    }
}

/// Daemons by their rank for a stream: the first [`HOLDERS`] hold its build, the first
/// [`MAX_ASKED`] are asked for it.
#[must_use]
pub fn ranked(
    stream: Fingerprint,
    daemons: impl IntoIterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let key = stream.0.to_be_bytes();
    let mut ranked: Vec<(u64, SocketAddr)> = daemons
        .into_iter()
        .map(|daemon| {
            let address = daemon.to_string();
            (hash::rendezvous_score(&key, address.as_bytes()), daemon)
        })
        .collect();
    ranked.sort_unstable_by_key(|(score, daemon)| (Reverse(*score), *daemon));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// Builds of streams that began lately.
#[derive(Debug)]
pub struct Streams {
    /// `None` for a stream that was reported with several builds.
    builds: Recent<Fingerprint, Option<Build>>,
    /// Routes, by host and prefix, that went to other services before.
    moved_routes: Recent<(CompactString, CompactString), ()>,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            builds: Recent::with_capacity(MAX_STREAMS),
            moved_routes: Recent::with_capacity(MAX_MOVED_ROUTES),
        }
    }
}

impl Streams {
    /// Records the build that began a stream.
    pub fn record(&mut self, now: Duration, stream: Fingerprint, build: Build) {
        let build = match self.builds.get(&stream) {
            Some((_, known)) if known.as_ref() != Some(&build) => None,
            _ => Some(build),
        };
        self.builds.insert(now, stream, build);
    }

    /// Records that a route goes to other services from now on.
    pub fn record_moved(&mut self, now: Duration, route: &Route) {
        let key = (route.host.clone(), route.prefix.clone());
        self.moved_routes.insert(now, key, ());
    }

    /// Versions that may have begun the streams of a route whose service has this
    /// history.
    #[must_use]
    pub fn history_of(&self, now: Duration, route: &SoleRoute, of_service: History) -> History {
        let key = (route.host.clone(), route.prefix.clone());
        match self.moved_routes.get(&key) {
            Some((at, ())) if now.saturating_sub(at) < route.window() => History::Mixed,
            _ => of_service,
        }
    }

    /// What this daemon knows about a stream of a route with this history.
    #[must_use]
    pub fn answer(&self, stream: Fingerprint, history: History) -> Answer {
        match self.builds.get(&stream) {
            Some((_, Some(build))) => Answer::Began(build.clone()),
            Some((_, None)) => Answer::History(History::Mixed),
            None => Answer::History(history),
        }
    }

    /// Forgets streams that are no longer taken up.
    pub fn expire(&mut self, now: Duration) {
        self.builds.expire(now, MEMORY);
        self.moved_routes.expire(now, MEMORY);
    }
}

/// Build that began a stream of `route`, from what this daemon knows and the answers of
/// others; `None` if they do not tell. Only the history of this daemon is of a list that
/// it asked for after the client had come back; that of others can only contradict it.
#[must_use]
pub fn decide(route: Option<&SoleRoute>, own: &Answer, others: &[Answer]) -> Option<Build> {
    let answers = || others.iter().chain([own]);
    let began = answers().filter_map(|answer| match answer {
        Answer::Began(build) => Some(build),
        Answer::History(_) => None,
    });
    if let Some(build) = one_of(began)? {
        return Some(build.clone());
    }
    let Answer::History(History::Sole(version)) = own else {
        return None;
    };
    let contradicts = |answer: &Answer| match answer {
        Answer::History(History::Mixed) => true,
        Answer::History(History::Sole(other)) => other != version,
        Answer::History(History::Unknown) | Answer::Began(_) => false,
    };
    let is_contradicted = answers().any(contradicts);
    (!is_contradicted).then_some(Build {
        service: route?.service.clone(),
        version: version.clone(),
    })
}

/// The value of all items, which is `Some(None)` if there is no item and `None` if they
/// differ.
fn one_of<T: PartialEq>(mut items: impl Iterator<Item = T>) -> Option<Option<T>> {
    match items.next() {
        None => Some(None),
        Some(first) => items.all(|item| item == first).then_some(Some(first)),
    }
}
