//! Messages of the model engines, as far as they are not the callers' own API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Body field of a completion that goes on after this many tokens.
pub const RESUME_FIELD: &str = "resume_tokens";

/// Answer to `GET /load`; it lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences that generate.
    pub running: u32,
    /// Sequences that wait to be admitted.
    pub waiting: u32,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// Event of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it was stored or evicted.
    pub stored: bool,
}

/// Weights of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Version of the model.
    pub version: Name,
    /// Adapters on top of it.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes requests.
    #[default]
    Serving,
    /// Ends the running requests and takes no others.
    Draining,
}

/// Order to an engine, `POST /orders`.
///
/// An order names what shall be, so giving it again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the issuer.
    pub fencing: u64,
    /// Role to take.
    pub role: Role,
    /// Weights to load; `None` leaves them.
    pub weights: Option<Weights>,
}

/// What an engine runs, `GET /placement`; it does not lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// Role.
    pub role: Role,
    /// Weights, if they are known.
    pub weights: Option<Weights>,
    /// Whether it loads them still.
    pub loading: bool,
    /// Requests that run or wait.
    pub running: u32,
}

/// Characters of a prompt that make its prefix.
pub const PREFIX_CHARS: usize = 64;

/// Hash of a prompt's prefix.
#[must_use]
pub fn prefix(prompt: &str) -> u64 {
    let end = prompt
        .char_indices()
        .nth(PREFIX_CHARS)
        .map_or(prompt.len(), |(at, _)| at);
    crate::hash::parts(&[&prompt.as_bytes()[..end]]) as u64
}
