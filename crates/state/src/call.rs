//! State of a keyed call: a service call under an idempotency key.
//!
//! The owner of the shard records an intent in the log before it runs the call
//! and the outcome afterwards. A call without an outcome may have run.

use bitterncart_protocol::id;
use bitterncart_protocol::record::Outcome;
use serde::{Deserialize, Serialize};

/// Keyed call, from its latest intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Epoch in which the intent was recorded.
    pub epoch: id::Epoch,
    /// Distinguishes intents of the same call.
    pub nonce: u64,
    /// Hash of the request, to detect a key that is reused for another request.
    pub request: u128,
    /// Time of the intent, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Outcome; `None` if none is recorded.
    pub outcome: Option<Outcome>,
}
