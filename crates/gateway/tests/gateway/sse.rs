//! Events in a byte stream, in whatever pieces it arrives.

use bitterncart_gateway::budget::Budget;
use bitterncart_gateway::sse::{Event, MAX_EVENT_BYTES, Splitter};
use bitterncart_testing::cases;

/// Size of the inputs that show a cost that is not linear: a search of all bytes for each
/// piece or line would go on for minutes.
const LONG_BYTES: usize = 4 << 20;

/// Splitter with enough memory.
fn splitter() -> Splitter {
    Splitter::new(Budget::of_memory(64 << 20).share())
}

/// Events of a stream that arrives in pieces.
fn split<'a>(splitter: &mut Splitter, pieces: impl IntoIterator<Item = &'a [u8]>) -> Vec<Event> {
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    events
}

cases! {
    /// An event is the bytes from its first line to an empty line, whatever the pieces.
    fn stream_is_split(stream: &str, expected: &[&str], expected_partial: bool) {
        let stream = stream.as_bytes();
        for first in 0..=stream.len() {
            for second in first..=stream.len() {
                let pieces = [&stream[..first], &stream[first..second], &stream[second..]];
                let mut splitter = splitter();
                let events = split(&mut splitter, pieces);
                let texts: Vec<_> = events.iter().map(|e| String::from_utf8_lossy(&e.bytes)).collect();
                assert_eq!(texts, expected, "pieces end at {first} and {second}");
                assert_eq!(splitter.has_partial_event(), expected_partial);
            }
        }
    }
    no_bytes("", &[], false);
    two_events("id: 1\n\nid: 2\n\n", &["id: 1\n\n", "id: 2\n\n"], false);
    events_of_several_lines("id: 1\ndata: a\n\ndata: b\n\n", &["id: 1\ndata: a\n\n", "data: b\n\n"], false);
    carriage_returns("id: 1\r\n\r\nid: 2\r\n\r\n", &["id: 1\r\n\r\n", "id: 2\r\n\r\n"], false);
    both_ends_of_lines("id: 1\n\r\nid: 2\r\n\n", &["id: 1\n\r\n", "id: 2\r\n\n"], false);
    event_without_an_end("id: 1\n\nid: 2\n", &["id: 1\n\n"], true);
    empty_lines_alone("\n\n\n\r\n\r\n", &[], false);
    empty_lines_before_events("\n\nid: 1\n\n\n\n\nid: 2\n\n\r\n", &["id: 1\n\n", "id: 2\n\n"], false);
    comment(":\n\nid: 1\n\n", &[":\n\n", "id: 1\n\n"], false);
}

cases! {
    /// Guards against a daemon that hangs for seconds, as each empty event or piece costs
    /// a search of all that is buffered.
    fn cost_is_linear(unit: &str, piece_bytes: usize, expected_events: usize) {
        let stream = unit.repeat(LONG_BYTES / unit.len());
        let mut splitter = splitter();
        let mut count = 0;
        for piece in stream.as_bytes().chunks(piece_bytes) {
            count += split(&mut splitter, [piece]).len();
            if splitter.is_oversized() {
                break;
            }
        }
        assert_eq!(count, expected_events);
    }
    line_feeds_at_once("\n", LONG_BYTES, 0);
    line_feeds_in_large_pieces("\n", 256 << 10, 0);
    carriage_returns_at_once("\r\n", LONG_BYTES, 0);
    small_events_at_once("id:1\n\n", LONG_BYTES, LONG_BYTES / 6);
    comments_at_once(":\n\n", LONG_BYTES, LONG_BYTES / 3);
    one_line_in_single_bytes("a", 1, 0);
    lines_in_single_bytes("a\n", 1, 0);
}

/// The partial event alone counts, not the events before it.
#[test]
fn partial_event_is_bounded() {
    let mut splitter = splitter();
    let event = format!("data: {}\n\n", "a".repeat(MAX_EVENT_BYTES / 2));
    for _ in 0..4 {
        assert_eq!(split(&mut splitter, [event.as_bytes()]).len(), 1);
        assert!(!splitter.is_oversized());
    }
    split(&mut splitter, ["a".repeat(MAX_EVENT_BYTES).as_bytes()]);
    assert!(!splitter.is_oversized());
    splitter.push(b"a");
    assert!(splitter.is_oversized());
}
