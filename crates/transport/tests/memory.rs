//! Bodies that a server writes, and the memory that they share.

use std::thread;
use std::time::Duration;

use bitterncart_testing::cases;
use bitterncart_transport::http::Memory;

const MAX_BYTES: usize = 1 << 20;

/// Size of a body, of which two do not fit.
const BODY_BYTES: usize = MAX_BYTES * 3 / 4;

cases! {
    /// Guards against answers that come from another daemon or the log, are not read by the
    /// client here, and are in no bound while callers read them slowly.
    fn second_body(written_for: Duration, gives_way: bool) {
        let memory = Memory::new(MAX_BYTES);
        let first = memory.body(vec![b'a'; BODY_BYTES]);
        thread::sleep(written_for);
        let second = memory.body(vec![b'b'; BODY_BYTES]);
        let first = smol::block_on(first.into_bytes());
        assert_eq!(first.is_err(), gives_way);
        let second = smol::block_on(second.into_bytes());
        assert_eq!(second.expect("the second body").len(), BODY_BYTES);
    }
    body_that_has_been_written_for_long_gives_way(Duration::from_millis(5100), true);
    body_that_has_been_written_for_a_short_time_remains(Duration::from_millis(100), false);
}
