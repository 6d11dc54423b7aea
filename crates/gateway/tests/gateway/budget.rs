//! Memory for the answers that a daemon keeps.

use std::time::Duration;

use bitterncart_gateway::budget::{Budget, SMALL_BYTES};
use bitterncart_gateway::buffer::Buffer;
use bitterncart_testing::cases;
use bitterncart_testing::slow::Readers;
use bytes::Bytes;
use futures_lite::future;

use crate::harness::{Gateway, post, status, store, wait_until};
use crate::replica::{Action, ScriptedReplica};

const MB: usize = 1 << 20;

/// Budget of 2 MB, half a MB of it for small answers.
fn budget() -> Budget {
    Budget::of_memory(8 * MB)
}

cases! {
    /// An answer passes beside what others keep if the sum is within the part for its size.
    fn answer_is_within(others: usize, bytes: usize, expected: bool) {
        let budget = budget();
        let mut other = budget.share();
        other.resize(others);
        let mut share = budget.share();
        assert_eq!(share.resize(bytes), expected);
        assert_eq!(budget.kept(), others + bytes);
        drop((share, other));
        assert_eq!(budget.kept(), 0);
    }
    large_answer_alone(0, 3 * MB / 2, true);
    too_large_answer(0, 3 * MB / 2 + 1, false);
    large_answer_beside_another(MB, MB / 2, true);
    too_large_answer_beside_another(MB, MB / 2 + 1, false);
    small_answer_beside_large_ones(3 * MB / 2, SMALL_BYTES, true);
    larger_answer_beside_large_ones(3 * MB / 2, SMALL_BYTES + 1, false);
    small_answer_up_to_the_bound(2 * MB - SMALL_BYTES, SMALL_BYTES, true);
    small_answer_beyond_the_bound(2 * MB, 1, false);
}

#[test]
fn smaller_answer_gives_back() {
    let budget = budget();
    let mut share = budget.share();
    assert!(!share.resize(3 * MB));
    assert!(share.resize(MB));
    assert_eq!(budget.kept(), MB);
}

/// Events and bodies that wait for a slow client count until they have been sent.
#[test]
fn bytes_count_until_their_last_use() {
    let budget = budget();
    let event = budget.share().hold(Bytes::from(vec![0; MB]));
    let copy = event.clone();
    drop(event);
    assert_eq!(budget.kept(), MB);
    drop(copy);
    assert_eq!(budget.kept(), 0);
    let mut share = budget.share();
    share.resize(MB);
    let body = share.into_held(Bytes::from(vec![0; MB]));
    assert_eq!(budget.kept(), MB);
    drop(body);
    assert_eq!(budget.kept(), 0);
}

cases! {
    /// Guards against a body that takes up to twice its size, which nothing counts: all that is
    /// allocated counts, and it is at most half more than the body, or what the body states.
    fn allocated_bytes_count(stated: Option<u64>, pieces: usize, max_bytes: usize) {
        let budget = budget();
        let mut buffer = Buffer::new(&budget, stated);
        for piece in 1..=pieces {
            assert!(buffer.push(&[0; 10_000]));
            assert!(budget.kept() >= piece * 10_000);
            assert!(budget.kept() <= max_bytes, "{} bytes", budget.kept());
        }
        let body = buffer.into_bytes();
        assert_eq!(budget.kept(), pieces * 10_000);
        drop(body);
        assert_eq!(budget.kept(), 0);
    }
    stated_length(Some(90_000), 9, 90_000);
    no_length(None, 9, 135_000);
    length_that_is_too_small(Some(10_000), 2, 20_000);
    length_that_is_too_large(Some(4 << 20), 2, 20_000);
}

/// Guards against an answer that is refused once and then kept, as it counts already.
#[test]
fn answer_that_finds_no_room_does_not_count() {
    let budget = budget();
    let mut other = budget.share();
    assert!(other.try_resize(MB));
    let mut share = budget.share();
    for _ in 0..2 {
        assert!(!share.try_resize(MB));
        assert_eq!(budget.kept(), MB);
    }
    drop(other);
    assert!(share.try_resize(MB));
}

#[test]
fn body_beyond_the_budget_is_not_kept() {
    let budget = budget();
    let mut buffer = Buffer::new(&budget, Some(3 * MB as u64));
    assert!(buffer.push(&vec![0; MB]));
    assert!(!buffer.push(&vec![0; MB]));
    assert_eq!(buffer.len(), MB);
}

/// Guards against answers without memory that count as failures of the replica: the request ran
/// once more at another one, in vain, and both were avoided.
#[test]
fn answer_without_memory_is_no_failure_of_the_replica() {
    smol::block_on(async {
        let head = Action::Respond(200, "signature: s\r\nconnection: close\r\n", "");
        let script = move |request: &str| {
            let pause = match request {
                _ if request.contains("attempt: held") => Duration::from_secs(1),
                _ => Duration::ZERO,
            };
            let (most, rest) = (Action::Send("x".repeat(MB - 1)), Action::Send("x".into()));
            vec![head.clone(), most, Action::Wait(pause), rest, Action::Close]
        };
        let one = ScriptedReplica::start_with("one", script.clone()).await;
        let two = ScriptedReplica::start_with("two", script).await;
        let store = store(&[&one, &two]);
        let gateway = Gateway::start_with(&store, r#""memory_mb": 8,"#).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        let count = || one.requests().len() + two.requests().len();
        let fetch = async |id| gateway.fetch(&post("/idempotent/a", id)).await;
        let other = async {
            wait_until("the other answer", || count() == 1).await;
            smol::Timer::after(Duration::from_millis(200)).await;
            fetch("second").await
        };
        let (held, second) = future::zip(fetch("held"), other).await;
        assert_eq!(status(&held), 200);
        assert_eq!(status(&second), 502, "{second}");
        assert_eq!(count(), 2);
        let failed = gateway.daemon.metrics_text();
        assert!(failed.contains("no_memory"), "{failed}");
        assert_eq!(status(&fetch("last").await), 200);
    });
}

/// Guards against slow readers that keep all others from large answers for as long as they read:
/// the slowest gives way once it has read for longer than clients wait.
#[test]
fn slowest_reader_gives_way() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |_| {
            let headers = "signature: s\r\ncontent-length: 1000000\r\n";
            vec![
                Action::Respond(200, headers, ""),
                Action::Send("x".repeat(1_000_000)),
            ]
        });
        let replica = replica.await;
        let store = store(&[&replica]);
        let gateway = Gateway::start_with(&store, r#""memory_mb": 24,"#).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        let address = gateway.daemon.client_address();
        let requests = (0..8).map(|n| (address, post("/once/a", &format!("slow{n}"))));
        let readers = Readers::start(requests.collect());
        wait_until("the slow readers", || readers.answered() >= 4).await;
        let mut statuses = Vec::new();
        for n in 0..40 {
            let response = gateway.fetch(&post("/once/a", &format!("fast{n}"))).await;
            statuses.push(status(&response));
            if statuses.contains(&502) && statuses.last() == Some(&200) {
                break;
            }
            smol::Timer::after(Duration::from_millis(250)).await;
        }
        assert_eq!(statuses.first(), Some(&502), "{statuses:?}");
        assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
        let metrics = gateway.daemon.metrics_text();
        assert!(metrics.contains("slow_readers_closed_total"), "{metrics}");
    });
}

/// Guards against a daemon that exceeds its memory by many large answers at once, none of
/// which is too large by itself. Small answers are read meanwhile.
#[test]
fn large_answers_at_once_are_bounded_together() {
    smol::block_on(async {
        let replica = ScriptedReplica::start_with("r", |head| match head {
            _ if head.contains("/large ") => vec![
                Action::Respond(200, "signature: s\r\nconnection: close\r\n", ""),
                Action::Send("x".repeat(MB - 1)),
                Action::Wait(Duration::from_secs(1)),
                Action::Send("x".into()),
                Action::Close,
            ],
            _ => vec![Action::Respond(
                200,
                "signature: s\r\ncontent-length: 2\r\n",
                "ok",
            )],
        });
        let mut replicas = vec![replica.await];
        let more = ScriptedReplica::start(
            "other",
            vec![vec![Action::Respond(
                200,
                "signature: s\r\ncontent-length: 2\r\n",
                "ok",
            )]],
        );
        replicas.push(more.await);
        let store = store(&[&replicas[0]]);
        let gateway = Gateway::start_with(&store, r#""memory_mb": 8,"#).await;
        wait_until("the daemon to be ready", || gateway.daemon.is_ready()).await;
        let requests: Vec<String> = (0..4)
            .map(|n| post("/once/large", &format!("l{n}")))
            .collect();
        let large = |n: usize| gateway.fetch(&requests[n]);
        let large = future::zip(
            future::zip(large(0), large(1)),
            future::zip(large(2), large(3)),
        );
        let small = async {
            wait_until("the large answers", || replicas[0].requests().len() == 4).await;
            store.publish_replica(&replicas[1].record());
            for n in 0..10 {
                let response = gateway.fetch(&post("/once/a", &format!("s{n}"))).await;
                assert_eq!(status(&response), 200, "request {n}: {response}");
            }
        };
        let (((a, b), (c, d)), ()) = future::zip(large, small).await;
        let whole = [a, b, c, d].iter().filter(|r| status(r) == 200).count();
        assert!((1..=2).contains(&whole), "{whole} whole answers");
    });
}
