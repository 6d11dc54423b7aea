//! Replica as the platform lists it.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Whether a replica takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Takes work.
    Ready,
    /// Leaves soon.
    Draining,
}

/// Listed replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Id, unique until its machine starts it again.
    pub id: CompactString,
    /// Service.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: Stage,
    /// Start in milliseconds since 1970; a new start knows nothing of the old one.
    pub born_ms: u64,
}
