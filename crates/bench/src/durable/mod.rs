//! Randomised tests of the durable decisions.
//!
//! Several daemons that take part in one shard act on one log in an order that
//! a seed determines. Appends get lost, lose their response or are delayed;
//! daemons restart, pause and wrongly suspect each other; the log truncates
//! entries that a snapshot covers; clients resend and cancel. After each
//! operation the invariants are checked on a fold of the whole log, and at the
//! end all accepted work has to finish once the failures stop.

mod defect;
mod invariants;
pub(crate) mod log;
pub(crate) mod op;
mod world;

use proptest::collection::vec;
use proptest::test_runner::TestCaseError;

pub use defect::Defect;
pub use op::{Delivery, Op};
pub use world::World;

use crate::schedule;

/// Exclusive upper bound on the number of operations in a schedule.
const OPS_LIMIT: usize = 160;

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
