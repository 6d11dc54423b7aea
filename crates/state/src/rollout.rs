//! What is known of the weights of a model in a data centre.

use bitterncart_protocol::engine::Weights;
use serde::{Deserialize, Serialize};

/// Outcome of the rollouts of one model so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Weights that all replicas ran and that held.
    pub good: Option<Weights>,
    /// Weights whose rollout was halted last.
    pub halted: Option<Weights>,
}
