//! Settings of a daemon, read from JSON with comments.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_protocol::jsonc::{self, Problem};
use bitterncart_state::ledger::Limits;
use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Pattern of an IP address with a port; host names are not resolved.
const ADDRESS: &str = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$";

/// Bytes of a record beside the output of an item: key, ids, and the name and version of
/// a service.
const RECORD_OVERHEAD_BYTES: usize = 1024;

/// Settings of a daemon.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Settings {
    /// Instance name.
    #[schemars(with = "String")]
    pub name: CompactString,
    /// Data centre.
    #[schemars(with = "String")]
    pub data_centre: CompactString,
    /// TCP address for clients.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub clients: SocketAddr,
    /// TCP address for readiness checks of the load balancer.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub ready: SocketAddr,
    /// UDP and TCP address for peers.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub peers: SocketAddr,
    /// TCP address of the store.
    #[schemars(with = "String", regex(pattern = ADDRESS))]
    pub store: SocketAddr,
    /// Seed addresses of peers.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// Number of partitions of each topic of the store.
    #[serde(default = "Settings::default_partitions")]
    #[schemars(range(min = 1, max = 1024))]
    pub partitions: u16,
    /// Number of shards of the ledger, each in one partition; the same for the
    /// whole fleet.
    #[serde(default = "Settings::default_shards")]
    #[schemars(range(min = 1, max = 1024))]
    pub shards: u16,
    /// Processor capacity of the instance, in cores.
    #[serde(default = "Settings::default_cores")]
    #[schemars(range(min = 0.001, max = 1000.0))]
    pub cores: f64,
    /// TCP address for metrics as text.
    #[serde(default)]
    #[schemars(with = "Option<String>", regex(pattern = ADDRESS))]
    pub metrics: Option<SocketAddr>,
    /// Retention of an ended job, counted from its submission, in
    /// seconds.
    #[serde(default = "Settings::default_keep_s")]
    #[schemars(range(min = 1.0, max = 31_536_000.0))]
    pub keep_s: f64,
    /// Memory of the process beyond which it is killed, in megabytes.
    #[serde(default = "Settings::default_memory_mb")]
    #[schemars(range(min = 1.0, max = 1_000_000.0))]
    pub memory_mb: f64,
    /// Descriptors that the process may have; 200 of them are reserved for files.
    #[serde(default = "Settings::default_max_fds")]
    #[schemars(range(min = 400, max = 1_000_000))]
    pub max_fds: usize,
    /// Maximum size of a record of the store, with its key, in bytes.
    #[serde(default = "Settings::default_record_bytes")]
    #[schemars(range(min = 4096))]
    pub record_bytes: usize,
    /// Maximum size of the records of one call to the store, in bytes.
    #[serde(default = "Settings::default_call_bytes")]
    #[schemars(range(min = 4096))]
    pub call_bytes: usize,
    /// Age of the manifest, in milliseconds, beyond which no request with a customer's key
    /// may run, as the key may have been withdrawn; by default there is no bound.
    #[serde(default)]
    #[schemars(range(min = 100, max = 86_400_000))]
    pub max_manifest_age_ms: Option<u64>,
    /// Whether the daemon learns how much each replica takes well, and chooses by that.
    /// Otherwise it chooses by requests in flight; the default.
    #[serde(default)]
    pub learn_capacity: bool,
    /// Whether batch items start and yield by the online load of the last seconds.
    /// Otherwise they leave a fixed headroom; the default.
    #[serde(default)]
    pub forecast_demand: bool,
    /// Time from the start of a shutdown until the process is killed, in seconds.
    #[serde(default = "Settings::default_stop_s")]
    #[schemars(range(min = 1.0, max = 600.0))]
    pub stop_s: f64,
}

impl Settings {
    fn default_partitions() -> u16 {
        8
    }

    fn default_shards() -> u16 {
        64
    }

    fn default_cores() -> f64 {
        1.0
    }

    fn default_keep_s() -> f64 {
        3600.0
    }

    fn default_memory_mb() -> f64 {
        256.0
    }

    fn default_max_fds() -> usize {
        4096
    }

    fn default_record_bytes() -> usize {
        256 << 10
    }

    fn default_call_bytes() -> usize {
        2 << 20
    }

    fn default_stop_s() -> f64 {
        8.0
    }

    /// Processor capacity in thousandths of a core.
    #[must_use]
    pub fn capacity_millicores(&self) -> u32 {
        (self.cores * 1000.0).round() as u32
    }

    /// Time from the start of a shutdown until the process is killed.
    #[must_use]
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    /// Maximum age of the manifest at which requests with keys may run; `None` for no bound.
    #[must_use]
    pub fn max_manifest_age(&self) -> Option<Duration> {
        self.max_manifest_age_ms.map(Duration::from_millis)
    }

    /// Retention of an ended job, counted from its submission.
    #[must_use]
    pub fn retention(&self) -> Duration {
        Duration::from_secs_f64(self.keep_s)
    }

    /// Sizes of records and calls that the store accepts.
    #[must_use]
    pub fn store_limits(&self) -> Limits {
        Limits {
            record_bytes: self.record_bytes,
            call_bytes: self.call_bytes,
        }
    }

    /// Memory of the process beyond which it is killed, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb * f64::from(1 << 20)) as usize
    }

    /// Maximum size of the output of an item, in bytes: with its key it fits in one record
    /// of the store.
    #[must_use]
    pub fn max_output_bytes(&self) -> usize {
        self.record_bytes.min(self.call_bytes) - RECORD_OVERHEAD_BYTES
    }

    /// Names of the settings that differ in `new` and take effect only after a
    /// restart, as sockets and shards are created once.
    #[must_use]
    pub fn restart_only_changes(&self, new: &Self) -> Vec<&'static str> {
        let settings = [
            ("name", self.name != new.name),
            ("data_centre", self.data_centre != new.data_centre),
            ("clients", self.clients != new.clients),
            ("ready", self.ready != new.ready),
            ("peers", self.peers != new.peers),
            ("store", self.store != new.store),
            ("metrics", self.metrics != new.metrics),
            ("partitions", self.partitions != new.partitions),
            ("shards", self.shards != new.shards),
            ("memory_mb", self.memory_mb != new.memory_mb),
            ("max_fds", self.max_fds != new.max_fds),
            ("call_bytes", self.call_bytes != new.call_bytes),
            ("record_bytes", self.record_bytes != new.record_bytes),
        ];
        let changed = settings.into_iter().filter(|(_, differs)| *differs);
        changed.map(|(name, _)| name).collect()
    }

    /// Parses JSON with comments.
    ///
    /// # Errors
    ///
    /// All problems of the text at once.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        jsonc::parse::<Self>(text).map(|(settings, _)| settings)
    }
}
