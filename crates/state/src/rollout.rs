//! Rollout state of a model in a data centre.
//!
//! It is kept in the shard that holds the orders to the engines of the data
//! centre, and states which weights were rolled out successfully and which
//! rollout was halted.

use bitterncart_protocol::engine::Weights;
use serde::{Deserialize, Serialize};

/// Results of the latest rollouts of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Weights of the last successful rollout: all replicas ran them without a halt.
    pub good: Option<Weights>,
    /// Weights of the last halted rollout.
    pub halted: Option<Weights>,
}
