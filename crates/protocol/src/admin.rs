//! Answers of the administration API.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Name, id, peer};

/// Shard as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Number.
    pub shard: id::Shard,
    /// Owner that the daemon's fold knows.
    pub owner: Option<id::Daemon>,
    /// Epoch.
    pub epoch: id::Epoch,
    /// Whether this daemon owns it.
    pub mine: bool,
    /// Jobs that have not ended.
    pub open_jobs: u32,
    /// Items that have not ended.
    pub open_items: u64,
    /// Items leased out.
    pub leased: u32,
    /// Results that wait for the log.
    pub waiting: u32,
}

/// Replica as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Name.
    pub name: Name,
    /// Model or service.
    pub serves: Name,
    /// Data centre.
    pub data_centre: Name,
    /// State of routing.
    pub state: CompactString,
    /// This daemon's online sequences on it.
    pub online: u32,
    /// This daemon's batch sequences on it.
    pub batch: u32,
    /// Batch slots, when this daemon is its owner.
    pub slots: Option<u32>,
}

/// Customer as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: Name,
    /// Requests under way.
    pub running: u32,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
}

/// Status of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Daemon.
    pub daemon: CompactString,
    /// Data centre.
    pub data_centre: Name,
    /// Version of the configuration in force; 0 for none.
    pub version: u64,
    /// Digest of the configuration.
    pub digest: CompactString,
    /// Whether it drains.
    pub draining: bool,
    /// What it waits for.
    pub waiting_for: Vec<CompactString>,
    /// Members.
    pub members: Vec<peer::Member>,
    /// Shards.
    pub shards: Vec<Shard>,
    /// Replicas.
    pub replicas: Vec<Replica>,
    /// Customers with traffic.
    pub customers: Vec<Customer>,
    /// Counters by name.
    pub counters: BTreeMap<CompactString, u64>,
    /// Invariants checked so far.
    pub invariant_checks: u64,
}

/// Publication of a document.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Version that the operator started from; 0 for none.
    pub base: u64,
    /// Document, byte for byte.
    pub text: String,
    /// Who publishes.
    pub operator: CompactString,
}

/// Version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Number; rises with each accepted document.
    pub version: u64,
    /// Digest of the text.
    pub digest: CompactString,
    /// Who published it.
    pub operator: CompactString,
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// Document, byte for byte.
    pub text: String,
}
