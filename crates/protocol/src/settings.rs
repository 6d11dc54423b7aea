//! Settings of one daemon.

use std::net::SocketAddr;

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::jsonc::{self, Problem};

/// An IP number and a port; names are not looked up.
const ADDRESS: &str = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$";

/// Settings of one daemon: where it listens and where the platform is.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Instance name, as in the platform's list.
    pub name: Name,
    /// Data centre.
    pub data_centre: Name,
    /// TCP address for callers.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub callers: SocketAddr,
    /// TCP address for operators.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub admin: SocketAddr,
    /// UDP address for requests between daemons.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub peers: SocketAddr,
    /// UDP address for membership packets.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub heartbeats: SocketAddr,
    /// TCP address of the log service.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub log: SocketAddr,
    /// TCP address of the instance list.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub instances: SocketAddr,
    /// UDP address of a statsd server.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Secret that the fleet's daemons share.
    #[schemars(with = "String", length(min = 16))]
    pub fleet_secret: CompactString,
    /// Worker threads.
    #[serde(default = "Settings::default_workers")]
    #[schemars(range(min = 1, max = 64))]
    pub workers: u16,
    /// Time that a shutdown gives requests to finish, in milliseconds.
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

    /// Settings of a JSON text with comments.
    ///
    /// # Errors
    ///
    /// All problems of the text at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        jsonc::parse::<Self>(text).map(|(settings, _)| settings)
    }
}
