//! A stopped run changes nothing any more.

use std::time::Duration;

use bitterncart_coordination::Streams;
use bitterncart_coordination::routing::Key;
use bitterncart_protocol::peer::{Lease, Work};
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
        let work = Work {
            lease: lease(item),
            custom_id: "item".into(),
            endpoint: "/v1/completions".into(),
            body: String::new(),
            due_ms: 0,
        };
        streams.insert(Duration::ZERO, SHARD, Name::from("model"), work);
    }
    streams
}

#[test]
fn late_token_of_a_stopped_run_is_dropped() {
    let mut streams = streams(1);
    let first = streams
        .launch(lease(0), Key::default(), ())
        .expect("it is set aside");
    assert!(streams.token(lease(0), first.run, "a ".to_owned()));
    assert_eq!(streams.give_way(Duration::ZERO, Key::default(), 0), 1);
    let second = streams
        .launch(lease(0), Key::default(), ())
        .expect("it gave way");
    assert_eq!(second.done, 1);
    assert!(!streams.token(lease(0), first.run, "late ".to_owned()));
    assert!(streams.token(lease(0), second.run, "b ".to_owned()));
    assert_eq!(streams.end(lease(0), first.run), None);
    let ended = streams
        .end(lease(0), second.run)
        .expect("the newest run ends it");
    assert_eq!(ended.text, "a b ");
}

#[test]
fn token_after_giving_way_is_dropped() {
    let mut streams = streams(1);
    let run = streams
        .launch(lease(0), Key::default(), ())
        .expect("it is set aside")
        .run;
    streams.give_way(Duration::ZERO, Key::default(), 0);
    assert!(!streams.token(lease(0), run, "late ".to_owned()));
}

cases! {
    fn leaves_running(items: u32, allowed: usize, stopped: usize) {
        let mut streams = streams(items);
        for item in 0..items {
            streams.launch(lease(item), Key::default(), ());
        }
        assert_eq!(streams.give_way(Duration::ZERO, Key::default(), allowed), stopped);
        assert_eq!(streams.aside(&Name::from("model"), usize::MAX).len(), stopped);
        // The oldest runs stay.
        let oldest_stays = allowed == 0 || streams.launch(lease(0), Key::default(), ()).is_none();
        assert!(oldest_stays);
    }
    all(3, 3, 0);
    more_than_there_are(3, 9, 0);
    some(3, 1, 2);
    none(3, 0, 3);
}

#[test]
fn stream_that_no_replica_has_is_given_back() {
    let mut streams = streams(2);
    let run = streams.launch(lease(0), Key::default(), ());
    assert!(run.is_some());
    let second = Duration::from_secs(1);
    assert_eq!(streams.take_waiting(second * 9), []);
    assert_eq!(streams.take_waiting(second * 10), [(SHARD, lease(1))]);
    streams.give_way(second * 20, Key::default(), 0);
    assert_eq!(streams.take_waiting(second * 29), []);
    assert_eq!(streams.take_waiting(second * 30), [(SHARD, lease(0))]);
}
