//! Randomised runs of the durable decisions.
//!
//! Several daemons' parts in one shard act on one log in an order that a seed
//! gives, while appends are lost, answered late or land late, daemons die, are
//! held still, believe each other dead, the log
//! drops what is held elsewhere, and clients resend and cancel. After
//! each step the promises are checked on a fold of the whole log.

mod broken;
mod check;
mod log;
mod op;
mod world;

use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

pub use broken::Broken;
pub use op::{Fate, Op};
pub use world::World;

/// Steps of one schedule at most.
const STEPS: usize = 160;

/// Runs schedules from a seed; the first that breaks a promise is shrunk.
///
/// # Errors
///
/// The promise that was broken and the shortest schedule found for it.
pub fn run(seed: u64, cases: u32, broken: Option<Broken>) -> Result<u64, String> {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let before = bitterncart_state::invariant::checks();
    let outcome = runner.run(&vec(op::any(), 1..STEPS), |ops| {
        let mut world = World::new(broken);
        world.run(&ops).map_err(TestCaseError::fail)
    });
    match outcome {
        Ok(()) => Ok(bitterncart_state::invariant::checks() - before),
        Err(TestError::Fail(why, ops)) => Err(format!("seed {seed}: {why}\nschedule: {ops:?}")),
        Err(TestError::Abort(why)) => Err(format!("seed {seed}: aborted: {why}")),
    }
}
