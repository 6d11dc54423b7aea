//! Selection of tests by the arguments of the test runner, for programs with a runner of
//! their own.

/// Whether the arguments select a test: no `--skip` names it, and a filter does if there are
/// any.
#[must_use]
pub fn is_selected(args: &[String], name: &str) -> bool {
    let (mut filters, mut is_skipped) = (Vec::new(), false);
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--skip" => is_skipped |= args.next().is_some_and(|skip| name.contains(skip.as_str())),
            "--test-threads" => drop(args.next()),
            option if option.starts_with('-') => {}
            filter => filters.push(filter),
        }
    }
    !is_skipped && (filters.is_empty() || filters.iter().any(|filter| name.contains(filter)))
}
