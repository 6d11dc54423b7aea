//! Request and response bodies of the administration API.
//!
//! [`Status`] reports the state of one daemon as that daemon knows it, so the
//! answers of two daemons may differ. [`Publish`] and [`Version`] are the
//! request and response types for configuration changes. A daemon also returns
//! its [`Status`] to other daemons in a peer response.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Name, id, peer};

/// State of a shard, as known to the reporting daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Shard number.
    pub shard: id::Shard,
    /// Current owner; `None` if the shard was never claimed.
    pub owner: Option<id::Daemon>,
    /// Epoch of the current owner.
    pub epoch: id::Epoch,
    /// Whether the reporting daemon owns the shard.
    pub mine: bool,
    /// Jobs that have not ended.
    pub open_jobs: u32,
    /// Items that have not ended.
    pub open_items: u64,
    /// Items that are currently leased.
    pub leased: u32,
    /// Records that wait to be appended to the log.
    pub waiting: u32,
}

/// State of a replica, as known to the reporting daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Replica name.
    pub name: Name,
    /// Model or service that the replica serves.
    pub serves: Name,
    /// Data centre of the replica.
    pub data_centre: Name,
    /// Routing state.
    pub state: CompactString,
    /// Online sequences that the reporting daemon runs on the replica.
    pub online: u32,
    /// Batch sequences that the reporting daemon runs on the replica.
    pub batch: u32,
    /// Batch slots; `None` unless the reporting daemon owns the replica.
    pub slots: Option<u32>,
}

/// Traffic of a customer at the reporting daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Customer name.
    pub name: Name,
    /// Requests in flight.
    pub running: u32,
    /// Number of requests admitted so far.
    pub admitted: u64,
    /// Number of requests refused so far.
    pub refused: u64,
}

/// Status of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon id.
    pub daemon: CompactString,
    /// Data centre of the daemon.
    pub data_centre: Name,
    /// Version of the configuration in force; 0 before a first one was read.
    pub version: u64,
    /// Digest of the configuration text.
    pub digest: CompactString,
    /// Whether the daemon is draining.
    pub draining: bool,
    /// Conditions that the daemon waits for, such as a first configuration.
    pub waiting_for: Vec<CompactString>,
    /// Known members of the fleet, the reporting daemon first.
    pub members: Vec<peer::Member>,
    /// Shards that the daemon tracks.
    pub shards: Vec<Shard>,
    /// Replicas that the daemon routes to.
    pub replicas: Vec<Replica>,
    /// Customers with traffic at the daemon.
    pub customers: Vec<Customer>,
    /// Counter values by name.
    pub counters: BTreeMap<CompactString, u64>,
    /// Number of invariant checks performed so far.
    pub invariant_checks: u64,
}

/// Request to publish an environment document.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Version that the operator edited; 0 for the first publication.
    pub base: u64,
    /// Text of the document, unchanged.
    pub text: String,
    /// Operator who publishes the document.
    pub operator: CompactString,
}

/// Published version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number, which increases with each accepted document.
    pub version: u64,
    /// Digest of the document text.
    pub digest: CompactString,
    /// Operator who published the document.
    pub operator: CompactString,
    /// Publication time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Text of the document, unchanged.
    pub text: String,
}
