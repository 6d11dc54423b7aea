//! Tests with many odd inputs.

use std::fmt::Debug;
use std::str::FromStr;

use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Cases of a test, unless `PROPTEST_CASES` sets their number.
const DEFAULT_CASES: u32 = 2000;

/// Seed of the cases, unless `PROPTEST_RNG_SEED` sets it.
const DEFAULT_SEED: u64 = 1;

/// Calls a test with inputs of a strategy. The inputs are the same in each run, unless the
/// environment sets their number or seed.
///
/// # Panics
///
/// If the test panics; the message has the smallest input that was found.
pub fn fuzz<S: Strategy>(strategy: &S, test: impl Fn(S::Value))
where
    S::Value: Debug,
{
    let config = Config {
        cases: variable("PROPTEST_CASES").unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(variable("PROPTEST_RNG_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(strategy, |input| {
        test(input);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}

fn variable<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}
