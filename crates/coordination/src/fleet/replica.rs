//! Replicas in the platform's listing.
//!
//! The platform publishes an entry for each replica of a service: its address,
//! its capacity in slots, and whether it accepts new requests. A restart of a
//! replica gives its entry a new start time.

use std::net::SocketAddr;

pub use bitterncart_state::ledger::Build;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::peers::short_hash;

/// Lifecycle stage of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and shuts down soon.
    Draining,
}

/// Process of a replica: a restart, or a replica that moved, is another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// Id of the replica.
    pub id: CompactString,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Start time in milliseconds since 1970.
    pub born_ms: u64,
}

impl Process {
    /// Short id in heartbeats.
    #[must_use]
    pub fn short_hash(&self) -> u32 {
        let address = self.address.to_string();
        short_hash(&[
            self.id.as_bytes(),
            address.as_bytes(),
            &self.born_ms.to_be_bytes(),
        ])
    }
}

/// Listed replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Id, which is unique except that a restart on the same machine reuses it.
    pub id: CompactString,
    /// Name of its service.
    pub service: CompactString,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Start time in milliseconds since 1970; a restarted replica keeps no state.
    pub born_ms: u64,
    /// Version of its software, if it is known.
    pub version: Option<CompactString>,
}

impl Replica {
    /// Process that the entry describes.
    #[must_use]
    pub fn process(&self) -> Process {
        Process {
            id: self.id.clone(),
            address: self.address,
            born_ms: self.born_ms,
        }
    }
}
