//! Types of the environment document.
//!
//! The JSON schema that validates a document is derived from these types.
//! Field names are the names used in the document.

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
    /// Limits of the platform's log.
    pub log: Log,
    /// How online and batch traffic share replicas.
    pub sharing: Sharing,
    /// Limits of the platform's weight store; required if a model has `weights`.
    #[serde(default)]
    pub weight_store: Option<WeightStore>,
    /// Models served by the environment.
    pub models: Vec<Model>,
    /// Plain services (not model engines) served by the environment.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Customers that may send requests.
    #[schemars(length(min = 1))]
    pub customers: Vec<Customer>,
}

/// Group of data centres with the same network delays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: Name,
    /// Data centres of the region.
    #[schemars(length(min = 1))]
    pub data_centres: Vec<Name>,
    /// One-way network delay between its data centres, in milliseconds.
    #[schemars(range(min = 0, max = 1000))]
    pub one_way_ms: f64,
    /// One-way network delay to its clients, in milliseconds.
    #[schemars(range(min = 0, max = 1000))]
    pub client_one_way_ms: f64,
}

/// Limits of the platform's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Number of shards for jobs and calls with an idempotency key; must not change while an
    /// environment is in use, as it determines the shard of each idempotency key.
    #[schemars(range(min = 1, max = 4095))]
    pub shards: u16,
    /// Appends per second that the whole fleet may use.
    #[schemars(range(min = 1, max = 100_000))]
    pub appends_per_s: u32,
    /// How long the log keeps records, in seconds.
    #[schemars(range(min = 10))]
    pub retention_s: u64,
    /// How long results stay readable after the job ends, in seconds.
    #[schemars(range(min = 1))]
    pub results_s: u64,
}

/// How online and batch traffic share replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Sharing {
    /// Weight of batch throughput, 0 to 1; online tail latency has the remaining weight.
    #[schemars(range(min = 0, max = 1))]
    pub batch_weight: f64,
    /// Sequences per replica that batch leaves free for bursts of online traffic.
    #[schemars(range(min = 0, max = 1024))]
    pub reserve: u32,
}

/// Limits of the platform's weight store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// Weight loads per minute, summed over all data centres.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub loads_per_min: u32,
}

/// Model with its replicas, limits and objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: Name,
    /// Replica counts by data centre.
    #[schemars(length(min = 1))]
    pub replicas: Vec<Replicas>,
    /// Maximum number of sequences that a replica runs concurrently.
    #[schemars(range(min = 1, max = 4096))]
    pub max_sequences: u32,
    /// Maximum number of tokens in prompt and completion together.
    #[schemars(range(min = 1))]
    pub max_tokens: u32,
    /// Whether its engines reject orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Weights that the replicas should serve; without them no orders are sent to the engines.
    #[serde(default)]
    pub weights: Option<Weights>,
    /// How a change of the weights is rolled out.
    #[serde(default)]
    pub rollout: Rollout,
    /// Online objectives; `None` if the model serves no online traffic.
    #[serde(default)]
    pub online: Option<Online>,
    /// Batch objectives; `None` if the model serves no batch traffic.
    #[serde(default)]
    pub batch: Option<Batch>,
}

/// Limits of a rollout of new weights, applied in each data centre separately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rollout {
    /// Minimum number of replicas that stay in service.
    #[schemars(range(min = 1, max = 100_000))]
    pub min_up: u32,
    /// Maximum number of replicas that change concurrently.
    #[schemars(range(min = 1, max = 100_000))]
    pub at_once: u32,
    /// Observation period of a changed replica, in seconds.
    #[schemars(range(min = 1, max = 86400))]
    pub observe_s: u64,
    /// Share of failed requests at a changed replica, 0 to 1, above which the rollout halts.
    #[schemars(range(min = 0, max = 1))]
    pub failures: f64,
    /// Ratio of a changed replica's time to first token to that of the other replicas above
    /// which the rollout halts.
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

/// Number of replicas in a data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Name of the data centre.
    pub data_centre: Name,
    /// Number of replicas.
    #[schemars(range(min = 1, max = 100_000))]
    pub count: u32,
}

/// Objectives of a model's online traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Online {
    /// Default deadline for the complete response, in milliseconds, if a request sets none.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Objective for the 95th percentile of the time to first token, in milliseconds.
    #[schemars(range(min = 1))]
    pub ttft_ms: u64,
    /// Objective for the 95th percentile of the inter-token latency, in milliseconds.
    #[schemars(range(min = 1))]
    pub itl_ms: u64,
}

/// Objectives of a model's batch traffic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Default time from submission to the deadline, in seconds, if a job sets none.
    #[schemars(range(min = 1))]
    pub due_s: u64,
    /// Maximum number of attempts at an item.
    #[schemars(range(min = 1, max = 100))]
    pub attempts: u8,
    /// Time limit of one attempt, in milliseconds.
    #[schemars(range(min = 1))]
    pub attempt_ms: u64,
}

/// Plain service with its replicas and routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Replica counts by data centre.
    #[schemars(length(min = 1))]
    pub replicas: Vec<Replicas>,
    /// Default deadline for the complete response, in milliseconds, if a request sets none.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// Retry rules by method and path; a call that matches no route is not repeatable.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Retry rule for the calls of a service with a method and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    #[schemars(with = "String", regex(pattern = "^[A-Z]+$"))]
    pub method: CompactString,
    /// Path prefix, matched by whole path segments.
    #[schemars(with = "String", regex(pattern = "^/"))]
    pub path: CompactString,
    /// Whether a call may be sent again after a failure.
    pub repeatable: bool,
}

/// Customer with its API key and quotas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name of the customer.
    pub name: Name,
    /// BLAKE3 digest of the customer's API key, as printed by `bitternctl key`.
    #[schemars(with = "String", regex(pattern = "^[0-9a-f]{64}$"))]
    pub key_digest: CompactString,
    /// Requests per second, summed over the whole fleet.
    #[schemars(range(min = 1))]
    pub requests_per_s: u32,
    /// Tokens per second, summed over the whole fleet.
    #[schemars(range(min = 1))]
    pub tokens_per_s: u32,
    /// Maximum number of requests in flight in one data centre.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
}
