//! Keyed calls of a shard.

use bitterncart_protocol::id;
use bitterncart_protocol::record::Outcome;
use serde::{Deserialize, Serialize};

/// Keyed call as the fold knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Epoch whose owner announced it.
    pub epoch: id::Epoch,
    /// Distinguishes announcements of the same call.
    pub nonce: u64,
    /// Hash of the request.
    pub request: u128,
    /// When it was announced, in milliseconds since 1970.
    pub at_ms: u64,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
}
