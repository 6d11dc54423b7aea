//! Randomised runs of the durable decisions.
//!
//! Several daemons' parts in one shard act on one log in an order that a seed
//! gives, while appends are lost, answered late or land late, daemons die, are
//! held still, believe each other dead, the log
//! drops what is held elsewhere, and clients resend and cancel. After
//! each step the promises are checked on a fold of the whole log.

mod broken;
mod check;
pub(crate) mod log;
pub(crate) mod op;
mod world;

use proptest::collection::vec;
use proptest::test_runner::TestCaseError;

pub use broken::Broken;
pub use op::{Fate, Op};
pub use world::World;

use crate::schedule;

/// Steps of one schedule at most.
const STEPS: usize = 160;

/// Runs schedules from a seed; the first that breaks a promise is shrunk.
///
/// # Errors
///
/// The promise that was broken and the shortest schedule found for it.
pub fn run(seed: u64, cases: u32, broken: Option<Broken>) -> Result<u64, String> {
    schedule::run(seed, cases, &vec(op::any(), 1..STEPS), |ops| {
        World::new(broken).run(&ops).map_err(TestCaseError::fail)
    })
}
