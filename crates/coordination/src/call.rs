//! Calls that may not be repeated.
//!
//! The owner of the key's shard announces a call in the log before it runs.
//! The first announcement in offset order runs; a call that was announced and
//! whose outcome was lost with its owner stays unknown and is not run again.

use bitterncart_protocol::id;
use bitterncart_protocol::record::Outcome;
use bitterncart_state::Shard;

/// What the owner does with a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Announce it, and run it once the fold has the announcement.
    Announce,
    /// It runs here already; wait for its outcome.
    Join,
    /// It has ended.
    Replay(Outcome),
    /// The key was used for another request.
    Conflict,
}

/// Decides a keyed call; `running` tells whether this owner runs it now.
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
