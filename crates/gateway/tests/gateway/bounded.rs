//! Bounds of the bytes that are read in one turn, and for the head of a response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bitterncart_gateway::bounded::{Bounded, HeadLimit, MAX_HEAD_BYTES, TURN_BYTES};
use bitterncart_testing::cases;
use futures_lite::AsyncRead;
use futures_lite::io::repeat;

/// Reads that a task which never yields by itself makes at most.
const MAX_READS: usize = 1 << 20;

/// Reads in one turn as long as bytes come; the count, and how it ended.
fn read_turn(
    reader: &mut (impl AsyncRead + Unpin),
    read_bytes: usize,
) -> (usize, Option<std::io::Error>) {
    let mut cx = Context::from_waker(std::task::Waker::noop());
    let (mut buffer, mut count) = (vec![0; read_bytes], 0);
    for _ in 0..MAX_READS {
        match Pin::new(&mut *reader).poll_read(&mut cx, &mut buffer) {
            Poll::Ready(Ok(read)) => count += read,
            Poll::Ready(Err(e)) => return (count, Some(e)),
            Poll::Pending => return (count, None),
        }
    }
    panic!("{count} bytes are read in one turn");
}

cases! {
    /// Guards against a connection that holds the thread for as long as bytes come.
    fn turn_is_bounded(read_bytes: usize) {
        let mut reader = Bounded::new(repeat(b'a'));
        for turn in 0..100 {
            let (count, error) = read_turn(&mut reader, read_bytes);
            assert!(error.is_none(), "turn {turn}: {error:?}");
            assert_eq!(count, TURN_BYTES, "turn {turn}");
        }
    }
    turn_of_single_bytes(1);
    turn_of_odd_reads(1000);
    turn_of_one_read(TURN_BYTES);
    turn_of_reads_beyond_it(TURN_BYTES * 7);
}

cases! {
    /// Bytes count from the request until the head is there, whatever came before.
    fn head_is_bounded(ended_after: usize, expected_error: bool) {
        let head = Arc::<HeadLimit>::default();
        let mut reader = Bounded::new(repeat(b'a')).with_head_limit(Arc::clone(&head));
        let mut total = 0;
        while total < 3 * MAX_HEAD_BYTES {
            total += read_turn(&mut reader, 4096).0;
        }
        assert!(!head.is_exceeded());
        head.start();
        let (mut read, mut error) = (0, None);
        while read < 3 * MAX_HEAD_BYTES && error.is_none() {
            if read >= ended_after {
                head.end();
            }
            let (count, end) = read_turn(&mut reader, 4096);
            read += count;
            error = end;
        }
        assert_eq!(error.is_some(), expected_error);
        assert_eq!(head.is_exceeded(), expected_error);
        if expected_error {
            assert_eq!(read, MAX_HEAD_BYTES);
        }
    }
    head_without_end(usize::MAX, true);
    head_that_ends_in_time(MAX_HEAD_BYTES / 2, false);
    head_that_ends_at_once(0, false);
}
