//! Settings of one daemon.
//!
//! A settings file names the daemon, the addresses on which it listens and the
//! addresses of the platform services that it uses. Everything that is common
//! to the fleet is in the environment document instead. The file is JSON with
//! comments and is checked against the schema derived from [`Settings`].

use std::net::SocketAddr;

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::jsonc::{self, Problem};

/// Pattern of an IP address with a port; host names are not resolved.
const ADDRESS_PATTERN: &str = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$";

/// Settings of one daemon: its listen addresses and the addresses of the platform services.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Instance name, as in the platform's instance list.
    pub name: Name,
    /// Data centre in which the daemon runs.
    pub data_centre: Name,
    /// TCP listen address for the callers' API.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub callers: SocketAddr,
    /// TCP listen address for the administration API.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub admin: SocketAddr,
    /// UDP listen address for QUIC requests between daemons.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub peers: SocketAddr,
    /// UDP listen address for membership packets.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub heartbeats: SocketAddr,
    /// TCP address of the platform's log service.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub log: SocketAddr,
    /// TCP address of the platform's instance list.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub instances: SocketAddr,
    /// UDP address of a statsd server; no metrics are sent without one.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Secret shared by all daemons of the fleet, which authenticates them to each other.
    #[schemars(with = "String", length(min = 16))]
    pub fleet_secret: CompactString,
    /// Number of worker threads.
    #[serde(default = "Settings::default_workers")]
    #[schemars(range(min = 1, max = 64))]
    pub workers: u16,
    /// Maximum time for requests in flight to finish on shutdown, in milliseconds.
    #[serde(default = "Settings::default_drain_ms")]
    #[schemars(range(min = 1000, max = 3_600_000))]
    pub drain_ms: u64,
}

impl Settings {
    fn default_workers() -> u16 {
        2
    }

    fn default_drain_ms() -> u64 {
        30_000
    }

    /// Parses JSON text with comments.
    ///
    /// # Errors
    ///
    /// All schema violations in the text, or the first syntax error.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        jsonc::parse::<Self>(text).map(|(settings, _)| settings)
    }
}
