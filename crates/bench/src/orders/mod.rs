//! Randomised runs of the orders to engines.
//!
//! Three daemons' parts in the orders of one data centre, one log and a few
//! engines, half of which check fencing numbers, act in an order that a seed
//! gives. Daemons are held still, die, lose each other and the log; operators
//! publish weights one after another and daemons learn of them at different
//! times; orders stay on the wire and their answers are lost; clocks run at
//! different rates. What each engine took is checked after each step.

mod op;
mod world;

use proptest::collection::vec;
use proptest::test_runner::TestCaseError;

pub use op::Op;
pub use world::{Broken, World};

use crate::schedule;

/// Steps of one schedule at most.
const STEPS: usize = 240;

/// Runs schedules from a seed; the first that breaks a rule is shrunk.
///
/// # Errors
///
/// The rule that was broken and the shortest schedule found for it.
pub fn run(seed: u64, cases: u32, broken: Option<Broken>) -> Result<u64, String> {
    schedule::run(seed, cases, &vec(op::any(), 1..STEPS), |ops| {
        World::new(broken).run(&ops).map_err(TestCaseError::fail)
    })
}
