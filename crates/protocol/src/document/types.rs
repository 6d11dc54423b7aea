//! Types of the document.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::engine::Weights;

/// Environment document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the environment.
    pub environment: Name,
    /// Regions and their data centres.
    #[schemars(length(min = 1))]
    pub regions: Vec<Region>,
    /// The platform's log.
    pub log: Log,
    /// What online and batch may cost each other.
    pub sharing: Sharing,
    /// The platform's weight store, if models state their weights.
    #[serde(default)]
    pub weight_store: Option<WeightStore>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Customers.
    #[schemars(length(min = 1))]
    pub customers: Vec<Customer>,
}

/// Region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name.
    pub name: Name,
    /// Data centres.
    #[schemars(length(min = 1))]
    pub data_centres: Vec<Name>,
    /// Delay between its data centres, one way, in milliseconds.
    #[schemars(range(min = 0, max = 1000))]
    pub one_way_ms: f64,
    /// Delay to its clients, one way, in milliseconds.
    #[schemars(range(min = 0, max = 1000))]
    pub client_one_way_ms: f64,
}

/// The platform's log, as far as the design depends on it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Shards for jobs and keyed calls; never changed in a living environment.
    #[schemars(range(min = 1, max = 4095))]
    pub shards: u16,
    /// Appends a second that the whole fleet may use.
    #[schemars(range(min = 1, max = 100_000))]
    pub appends_per_s: u32,
    /// How long the log keeps records, in seconds.
    #[schemars(range(min = 10))]
    pub retention_s: u64,
    /// How long results stay readable after a job's end, in seconds.
    #[schemars(range(min = 1))]
    pub results_s: u64,
}

/// What online and batch may cost each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Weight of batch throughput, 0 to 1; the rest is the weight of online tail latency.
    #[schemars(range(min = 0, max = 1))]
    pub batch_weight: f64,
    /// Sequences of a replica kept free for a burst.
    #[schemars(range(min = 0, max = 1024))]
    pub reserve: u32,
}

/// The platform's weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Loads a minute over all data centres.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub loads_per_min: u32,
}

/// Model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name.
    pub name: Name,
    /// Replicas by data centre.
    #[schemars(length(min = 1))]
    pub replicas: Vec<Replicas>,
    /// Sequences that a replica runs at once.
    #[schemars(range(min = 1, max = 4096))]
    pub max_sequences: u32,
    /// Tokens of prompt and answer at most.
    #[schemars(range(min = 1))]
    pub max_tokens: u32,
    /// Whether its engines refuse an old fencing number.
    pub checks_fencing: bool,
    /// Weights that shall be up; without them nobody orders its engines.
    #[serde(default)]
    pub weights: Option<Weights>,
    /// How a change of the weights goes on.
    #[serde(default)]
    pub rollout: Rollout,
    /// Online traffic, if it serves any.
    #[serde(default)]
    pub online: Option<Online>,
    /// Batch traffic, if it serves any.
    #[serde(default)]
    pub batch: Option<Batch>,
}

/// How a change of weights goes on, in each data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rollout {
    /// Replicas that serve at least.
    #[schemars(range(min = 1, max = 100_000))]
    pub min_up: u32,
    /// Replicas that change at once.
    #[schemars(range(min = 1, max = 100_000))]
    pub at_once: u32,
    /// Time for which a changed replica is observed, in seconds.
    #[schemars(range(min = 1, max = 86400))]
    pub observe_s: u64,
    /// Share of failed requests at a changed replica above which the change halts.
    #[schemars(range(min = 0, max = 1))]
    pub failures: f64,
    /// Factor on the other replicas' time to first token above which it halts.
    #[schemars(range(min = 1, max = 1000))]
    pub slowdown: f64,
}

impl Default for Rollout {
    fn default() -> Self {
        Self {
            min_up: 1,
            at_once: 1,
            observe_s: 30,
            failures: 0.05,
            slowdown: 3.0,
        }
    }
}

/// Replicas in a data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Data centre.
    pub data_centre: Name,
    /// How many.
    #[schemars(range(min = 1, max = 100_000))]
    pub count: u32,
}

/// Online traffic of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Online {
    /// Time to the whole answer, in milliseconds, when a request names none.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Time to the first token for 95 in 100, in milliseconds.
    #[schemars(range(min = 1))]
    pub ttft_ms: u64,
    /// Time between tokens for 95 in 100, in milliseconds.
    #[schemars(range(min = 1))]
    pub itl_ms: u64,
}

/// Batch traffic of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Time to the due time, in seconds, when a job names none.
    #[schemars(range(min = 1))]
    pub due_s: u64,
    /// Attempts at an item.
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u8,
    /// Time for one attempt, in milliseconds.
    #[schemars(range(min = 1))]
    pub attempt_ms: u64,
}

/// Plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Replicas by data centre.
    #[schemars(length(min = 1))]
    pub replicas: Vec<Replicas>,
    /// Time to the whole answer, in milliseconds, when a request names none.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Calls; a call that no route names may not be repeated.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Calls of a service with a method and below a path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    #[schemars(with = "String", regex(pattern = "^[A-Z]+$"))]
    pub method: CompactString,
    /// Path prefix.
    #[schemars(with = "String", regex(pattern = "^/"))]
    pub path: CompactString,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}

/// Customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name.
    pub name: Name,
    /// BLAKE3 digest of the customer's key, as `bitternctl key` prints it.
    #[schemars(with = "String", regex(pattern = "^[0-9a-f]{64}$"))]
    pub key_digest: CompactString,
    /// Requests a second over the whole fleet.
    #[schemars(range(min = 1))]
    pub requests_per_s: u32,
    /// Tokens a second over the whole fleet.
    #[schemars(range(min = 1))]
    pub tokens_per_s: u32,
    /// Requests under way at one data centre.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
}
