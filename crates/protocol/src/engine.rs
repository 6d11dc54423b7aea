//! Messages between daemons and model engines.
//!
//! These are the requests and responses besides the completion API, which
//! daemons pass through: load reports, prefix cache events, and the orders by
//! which the owner of a data centre's order shard sets the role and weights of
//! an engine. The module also defines the prompt prefix hash that both sides
//! use for prefix-aware routing.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Field of a completion request: number of tokens already generated elsewhere, after which
/// the engine continues.
pub const RESUME_FIELD: &str = "resume_tokens";

/// Response to `GET /load`; the values are delayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences that generate tokens.
    pub running: u32,
    /// Sequences that wait to be admitted.
    pub waiting: u32,
    /// Whether the engine is shutting down and accepts no new work.
    pub leaving: bool,
}

/// Event of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prefix.
    pub prefix: u64,
    /// `true` if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// Weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Version of the model.
    pub version: Name,
    /// Adapters loaded on top of the model.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts requests.
    #[default]
    Serving,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Order to an engine, the body of `POST /orders`.
///
/// An order states the desired role and weights, so sending it again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender: the epoch of the order shard.
    pub fencing: u64,
    /// Desired role.
    pub role: Role,
    /// Desired weights; `None` keeps the current ones.
    pub weights: Option<Weights>,
}

/// Response to `GET /placement`; unlike [`Load`], the values are current.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Current role.
    pub role: Role,
    /// Current weights; `None` if they are unknown.
    pub weights: Option<Weights>,
    /// Whether the engine is still loading the weights.
    pub loading: bool,
    /// Number of running and waiting requests.
    pub running: u32,
}

/// Number of leading characters of a prompt that form its prefix.
pub const PREFIX_CHARS: usize = 64;

/// Hashes the first [`PREFIX_CHARS`] characters of a prompt.
#[must_use]
pub fn prefix_hash(prompt: &str) -> u64 {
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(offset, _)| offset);
    crate::hash::hash_parts(&[&prompt.as_bytes()[..end]]) as u64
}
