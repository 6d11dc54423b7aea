//! Randomised tests of the orders to engines.
//!
//! Three daemons that may issue the orders of one data centre act on one log and
//! a few engines, half of which check fencing numbers, in an order that a seed
//! determines. Daemons pause, restart, wrongly suspect each other and lose
//! appends; operators publish successive weights, which the daemons receive at
//! different times; orders are delayed in transit; clocks run at different
//! rates. After each operation the orders that the engines accepted are
//! checked, and at the end every engine has to serve the last weights once the
//! failures stop.

mod op;
mod world;

use proptest::collection::vec;
use proptest::test_runner::TestCaseError;

pub use op::Op;
pub use world::{Defect, World};

use crate::schedule;

/// Exclusive upper bound on the number of operations in a schedule.
const OPS_LIMIT: usize = 240;

/// Runs randomised schedules, with an optional planted defect, and returns the
/// number of invariant checks that were made.
///
/// # Errors
///
/// The invariant that was violated and the shortest failing schedule found.
pub fn run(seed: u64, cases: u32, defect: Option<Defect>) -> Result<u64, String> {
    schedule::run(seed, cases, &vec(op::any(), 1..OPS_LIMIT), |ops| {
        World::new(defect).run(&ops).map_err(TestCaseError::fail)
    })
}
