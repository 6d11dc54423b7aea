//! The macro that names each test case.

/// Makes one test of each named case of a function.
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
