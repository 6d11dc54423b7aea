//! Selection of tests by the arguments of a test runner.

use bitterncart_testing::cases;
use bitterncart_testing::selection::is_selected;

cases! {
    /// Guards against a test that CI leaves out unseen, as the name of another one that is to
    /// be skipped counts as a filter.
    fn test_of_a_runner(args: &[&str], expected: bool) {
        let args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
        assert_eq!(is_selected(&args, "crowd_of_silent"), expected);
    }
    all_run_without_arguments(&[], true);
    others_are_skipped(&["--exact", "--skip", "links::reset", "--skip", "ends::cut"], true);
    one_is_skipped_by_its_name(&["--skip", "crowd_of_silent"], false);
    one_is_filtered_by_its_name(&["silent"], true);
    others_are_filtered(&["links"], false);
    threads_are_no_filter(&["--test-threads", "1"], true);
}
