//! Manifest: the operator's configuration of routes.
//!
//! Maps the host and path of a request to a route. A route states the services
//! that serve the request, whether it may be retried, its timeout and latency
//! objective, and for batch jobs the deadlines and the quota. The manifest also
//! bounds what a client may send.

use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::customer::Customers;

/// Upper bound of the durations of a manifest. Sums of a few of them do not overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Kind of a route: whether requests may run twice, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Calls that may run more than once.
    Idempotent,
    /// Calls that run at most once.
    Once,
    /// Event streams that run at most once.
    Stream,
    /// Event streams that any replica continues after a given event.
    Resumable,
    /// Batch jobs.
    Batch,
}

impl Kind {
    /// Whether a request may be retried after a replica may have run it.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable | Self::Batch)
    }

    /// Whether answers are event streams.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// Deadlines and quota of a batch route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Time from the first submission to the deadline of all results.
    pub due: Duration,
    /// Time from the first submission after which an item may be abandoned.
    pub give_up: Duration,
    /// Quota of tokens in unfinished items of the whole fleet, for each customer if the
    /// manifest names customers; `None` for no limit.
    pub max_tokens: Option<u64>,
}

/// Backend service of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Service name.
    pub service: CompactString,
    /// Relative share of the route's requests.
    pub weight: u32,
    /// Longest time for which its replicas hold a reserved slot; zero if they
    /// do not support reservations.
    pub reserves: Duration,
}

/// Route for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: CompactString,
    /// Host of the requests, without a port.
    pub host: CompactString,
    /// Path prefix, with a slash at both ends.
    pub prefix: CompactString,
    /// Whether requests may run twice, and how they are answered.
    pub kind: Kind,
    /// Backend services with their weights.
    pub backends: Vec<Backend>,
    /// Time from a request's arrival to its deadline; a client may ask for less.
    pub timeout: Duration,
    /// Latency objective: time to the complete answer, the first event of a
    /// stream, or the acknowledgement of a batch job.
    pub objective: Duration,
    /// Replicas that one client request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Deadlines and quota of batch jobs.
    pub batch: Batch,
    /// Whether requests need no key although the manifest names customers.
    pub is_public: bool,
}

impl Route {
    /// Route of which only the requests are known. It has no backend and refuses them.
    #[must_use]
    pub fn unusable(name: CompactString, host: CompactString, prefix: CompactString) -> Self {
        Self {
            name,
            host,
            prefix,
            kind: Kind::Once,
            backends: Vec::new(),
            timeout: MAX_DURATION,
            objective: Duration::ZERO,
            max_attempts: 1,
            priority: 0,
            // Jobs accepted under an earlier version wait for a later one.
            batch: Batch {
                due: MAX_DURATION,
                give_up: MAX_DURATION,
                max_tokens: None,
            },
            is_public: false,
        }
    }

    /// Whether only the requests of the route are known.
    #[must_use]
    pub fn is_unusable(&self) -> bool {
        self.backends.is_empty()
    }

    /// Backend for a `point` in `0..1`, chosen in proportion to the weights;
    /// `None` if the route has none.
    #[must_use]
    pub fn backend(&self, point: f64) -> Option<&Backend> {
        let total: f64 = self.backends.iter().map(|b| f64::from(b.weight)).sum();
        let mut remaining = point * total;
        self.backends
            .iter()
            .filter(|b| b.weight > 0)
            .find(|b| {
                remaining -= f64::from(b.weight);
                remaining < 0.0
            })
            .or(self.backends.first())
    }

    /// Backend of a service, if requests still go there.
    #[must_use]
    pub fn backend_of(&self, service: &str) -> Option<&Backend> {
        let mut backends = self.backends.iter();
        backends.find(|b| b.service == service && b.weight > 0)
    }
}

/// Limits on what a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Timeout for receiving a request head.
    pub head: Duration,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Limits for clients.
    pub limits: Limits,
    /// Customers with their keys; `None` if requests need no key.
    pub customers: Option<Customers>,
    /// Whether a route was left out, as neither its requests nor its services are known.
    #[serde(default)]
    pub is_partial: bool,
}

/// What a manifest says of the batch route of a host and path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchRoute<'a> {
    /// There is one.
    Present(&'a Route),
    /// There is none: the path has no route, or one of another kind.
    Missing,
    /// The route cannot be read.
    Unreadable,
}

impl Manifest {
    /// Routes of an earlier version that go to other services now, or to none.
    pub fn moved_routes<'a>(&'a self, earlier: &'a Self) -> impl Iterator<Item = &'a Route> {
        let services = |route: &Route| -> HashSet<CompactString> {
            let used = route.backends.iter().filter(|b| b.weight > 0);
            used.map(|b| b.service.clone()).collect()
        };
        let is_moved = move |old: &&Route| {
            let new = self
                .routes
                .iter()
                .find(|new| (&new.host, &new.prefix) == (&old.host, &old.prefix));
            new.is_none_or(|new| services(new) != services(old))
        };
        earlier.routes.iter().filter(is_moved)
    }

    /// Batch route of a host and path.
    #[must_use]
    pub fn batch_route(&self, host: &str, path: &str) -> BatchRoute<'_> {
        match self.route(host, path) {
            Some(route) if route.kind == Kind::Batch => BatchRoute::Present(route),
            Some(route) if route.is_unusable() => BatchRoute::Unreadable,
            // The route that was left out may be that of a longer prefix.
            _ if self.is_partial => BatchRoute::Unreadable,
            _ => BatchRoute::Missing,
        }
    }

    /// Route of a host with the longest prefix of `path`. The host is compared
    /// without case, and a port is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| is_host(host, &r.host) && path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())
    }
}

/// Whether a host that a request names is that of a route. It is compared without case, and a
/// port is ignored.
#[must_use]
pub fn is_host(named: &str, host: &str) -> bool {
    let named = named.split(':').next().unwrap_or(named);
    named.eq_ignore_ascii_case(host)
}
