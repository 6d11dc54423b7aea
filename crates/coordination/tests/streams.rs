//! Tokens of a stopped run are dropped, and preempted streams are paused and resumed.

use std::time::Duration;

use bitterncart_coordination::Streams;
use bitterncart_coordination::routing::Key;
use bitterncart_protocol::peer::{Assignment, Lease};
use bitterncart_protocol::{Name, id};
use bitterncart_testing::cases;

const SHARD: id::Shard = id::Shard(0);

fn lease(item: u32) -> Lease {
    Lease {
        job: id::Job {
            shard: SHARD,
            hash: 1,
        },
        item: id::Item(item),
        attempt: 1,
    }
}

fn streams(items: u32) -> Streams<()> {
    let mut streams = Streams::default();
    for item in 0..items {
        let assignment = Assignment {
            lease: lease(item),
            custom_id: "item".into(),
            endpoint: "/v1/completions".into(),
            body: String::new(),
            due_ms: 0,
        };
        streams.insert(Duration::ZERO, SHARD, Name::from("model"), assignment);
    }
    streams
}

#[test]
fn token_of_an_earlier_run_is_dropped_after_restart() {
    let mut streams = streams(1);
    let first = streams
        .launch(lease(0), Key::default(), ())
        .expect("the stream is paused");
    assert!(streams.add_token(lease(0), first.run, "a ".to_owned()));
    assert_eq!(streams.preempt(Duration::ZERO, Key::default(), 0), 1);
    let second = streams
        .launch(lease(0), Key::default(), ())
        .expect("the stream was preempted");
    assert_eq!(second.tokens_done, 1);
    assert!(!streams.add_token(lease(0), first.run, "late ".to_owned()));
    assert!(streams.add_token(lease(0), second.run, "b ".to_owned()));
    assert_eq!(streams.end(lease(0), first.run), None);
    let ended = streams
        .end(lease(0), second.run)
        .expect("the current run ends the stream");
    assert_eq!(ended.text, "a b ");
}

#[test]
fn token_after_preemption_is_dropped() {
    let mut streams = streams(1);
    let run = streams
        .launch(lease(0), Key::default(), ())
        .expect("the stream is paused")
        .run;
    streams.preempt(Duration::ZERO, Key::default(), 0);
    assert!(!streams.add_token(lease(0), run, "late ".to_owned()));
}

cases! {
    fn preemption_stops_excess_streams(items: u32, allowed: usize, stopped: usize) {
        let mut streams = streams(items);
        for item in 0..items {
            streams.launch(lease(item), Key::default(), ());
        }
        assert_eq!(streams.preempt(Duration::ZERO, Key::default(), allowed), stopped);
        assert_eq!(streams.paused(&Name::from("model"), usize::MAX).len(), stopped);
        // The earliest runs are not preempted.
        let oldest_stays = allowed == 0 || streams.launch(lease(0), Key::default(), ()).is_none();
        assert!(oldest_stays);
    }
    limit_equal_to_running_stops_none(3, 3, 0);
    limit_above_running_stops_none(3, 9, 0);
    lower_limit_stops_the_excess(3, 1, 2);
    zero_limit_stops_all(3, 0, 3);
}

#[test]
fn stream_paused_too_long_is_returned() {
    let mut streams = streams(2);
    let run = streams.launch(lease(0), Key::default(), ());
    assert!(run.is_some());
    let second = Duration::from_secs(1);
    assert_eq!(streams.take_overdue(second * 9), []);
    assert_eq!(streams.take_overdue(second * 10), [(SHARD, lease(1))]);
    streams.preempt(second * 20, Key::default(), 0);
    assert_eq!(streams.take_overdue(second * 29), []);
    assert_eq!(streams.take_overdue(second * 30), [(SHARD, lease(0))]);
}
