//! Table-driven tests, and tests with many odd inputs.
//!
//! [`cases!`] generates one named `#[test]` for each row of arguments, so that the
//! test runner reports, filters and repeats each case by its name. [`fuzz`] calls a test
//! with the inputs of a strategy, [`mutation`] changes valid inputs. [`selection`] is for
//! programs with a test runner of their own.

pub mod crowd;
mod fuzz;
pub mod memory;
pub mod mutation;
pub mod selection;
pub mod slow;

pub use fuzz::fuzz;

/// Generates one test for each named case of a function.
///
/// Each case calls the function with its arguments. Attributes before the function
/// apply to the function, not to the generated tests.
///
/// ```
/// bitterncart_testing::cases! {
///     fn adds(a: u32, b: u32, sum: u32) {
///         assert_eq!(a + b, sum);
///     }
///     small(1, 2, 3);
///     zero(0, 0, 0);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    (
        $(#[$meta:meta])*
        fn $name:ident($($arg:ident: $type:ty),* $(,)?) $body:block
        $($case:ident($($value:expr),* $(,)?);)*
    ) => {
        $(#[$meta])*
        fn $name($($arg: $type),*) $body
        $(
            #[test]
            fn $case() {
                $name($($value),*);
            }
        )*
    };
}
