//! Decides keyed calls, which must not run more than once.
//!
//! The owner of the key's shard announces a call in the log before it runs. Only
//! the announcement with the lowest log offset may run. If an announced call has
//! no outcome because its owner was lost, the outcome is unknown and the call is
//! not run again.

use bitterncart_protocol::id;
use bitterncart_protocol::record::Outcome;
use bitterncart_state::Shard;

/// Next step of the owner for a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Announce the call, and run it once the announcement is read back from the log.
    Announce,
    /// The call already runs here; wait for its outcome.
    Join,
    /// The call has ended or its outcome is unknown; return the outcome.
    Replay(Outcome),
    /// The key was used for another request.
    Conflict,
}

/// Decides a keyed call; `running` states whether this owner runs it now.
#[must_use]
pub fn decide(shard: &Shard, call: id::Call, request: u128, running: bool) -> Step {
    match shard.call(call) {
        _ if running => Step::Join,
        None => Step::Announce,
        Some(known) if known.request != request => Step::Conflict,
        Some(known) => match &known.outcome {
            Some(Outcome::NotRun(_)) => Step::Announce,
            Some(outcome) => Step::Replay(outcome.clone()),
            None => Step::Replay(Outcome::Unknown),
        },
    }
}
