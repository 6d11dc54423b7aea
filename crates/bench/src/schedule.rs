//! Schedules from a seed.

use std::fmt::Debug;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};

/// Runs schedules from a seed; the first that fails is shrunk.
///
/// # Errors
///
/// Why it failed, and the shortest schedule found that does.
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
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let before = bitterncart_state::invariant::checks();
    match runner.run(schedules, test) {
        Ok(()) => Ok(bitterncart_state::invariant::checks() - before),
        Err(TestError::Fail(why, ops)) => Err(format!("seed {seed}: {why}\nschedule: {ops:?}")),
        Err(TestError::Abort(why)) => Err(format!("seed {seed}: aborted: {why}")),
    }
}
