//! Ends of a stream that its answers do not state.

use bitterncart_coordination::fleet::Ends;
use bitterncart_coordination::fleet::ends::Verdict;
use bitterncart_testing::cases;

cases! {
    /// Records ends as the event behind which an answer ended and whether it brought events.
    fn unstated_ends(recorded: &[(u64, bool)], expected: Verdict) {
        let mut ends = Ends::default();
        let mut verdict = None;
        for (last_event_id, has_events) in recorded {
            verdict = Some(ends.record(*last_event_id, *has_events));
        }
        assert_eq!(verdict, Some(expected));
    }
    first_end(&[(5, true)], Verdict::Resume);
    second_end_behind_the_same_event(&[(5, true), (5, false)], Verdict::Resume);
    third_end_behind_the_same_event(&[(5, true), (5, false), (5, false)], Verdict::Complete);
    later_events_start_anew(&[(5, true), (5, false), (7, true), (7, false)], Verdict::Resume);
    ends_of_a_run_that_begins_anew(&[(5, true), (5, false), (5, true)], Verdict::Resume);
    no_answer_brought_an_event(&[(5, false), (5, false), (5, false)], Verdict::Unfounded);
    empty_ends_behind_an_event_that_broke(
        &[(5, true), (6, false), (6, false), (6, false)],
        Verdict::Unfounded
    );
}
