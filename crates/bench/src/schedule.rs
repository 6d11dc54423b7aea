//! Randomised schedules from a seed.
//!
//! Generates schedules of operations with proptest and runs a test on each. The
//! same seed gives the same schedules, and a failing schedule is shrunk to a
//! shorter one before it is reported.

use std::fmt::Debug;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// Runs a test on randomised schedules and returns the number of invariant
/// checks that were made.
///
/// # Errors
///
/// The reason of the first failure and the shortest failing schedule found.
pub(crate) fn run<S: Strategy>(
    seed: u64,
    cases: u32,
    schedules: &S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) -> Result<u64, String>
where
    S::Value: Debug,
{
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut rng_seed = [0; 32];
    rng_seed[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &rng_seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let checks_before = bitterncart_state::invariant::checks();
    match runner.run(schedules, test) {
        Ok(()) => Ok(bitterncart_state::invariant::checks() - checks_before),
        Err(TestError::Fail(reason, ops)) => {
            Err(format!("seed {seed}: {reason}\nschedule: {ops:?}"))
        }
        Err(TestError::Abort(reason)) => Err(format!("seed {seed}: aborted: {reason}")),
    }
}
