//! Admission queue: free slots go to queued requests that can still meet their
//! latency objective first.

use std::time::Duration;

use bitterncart_coordination::fleet::admission_queue::Queue;
use bitterncart_coordination::fleet::pool::Key;
use slotmap::SlotMap;

const OBJECTIVE: Duration = Duration::from_millis(240);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn key() -> Key {
    SlotMap::with_key().insert(())
}

#[test]
fn offers_go_to_oldest_in_time_then_to_late() {
    let mut queue = Queue::default();
    let late = queue.enqueue("s", OBJECTIVE).expect("queue capacity");
    let old = queue
        .enqueue("s", OBJECTIVE + at(100))
        .expect("queue capacity");
    let new = queue
        .enqueue("s", OBJECTIVE + at(200))
        .expect("queue capacity");
    let other = queue.enqueue("t", OBJECTIVE).expect("queue capacity");
    for expected in [old, new, late] {
        assert!(queue.offer(OBJECTIVE + at(50), "s", key()));
        assert!(queue.take_offer(expected).is_some());
        queue.remove(expected);
    }
    assert!(!queue.offer(OBJECTIVE + at(50), "s", key()));
    assert_eq!(queue.take_offer(other), None);
}

#[test]
fn untaken_offer_is_returned_on_removal() {
    let mut queue = Queue::default();
    let abandoned = queue.enqueue("s", OBJECTIVE).expect("queue capacity");
    assert!(queue.offer(at(0), "s", key()));
    let next = queue.enqueue("s", OBJECTIVE).expect("queue capacity");
    let (service, replica) = queue.remove(abandoned).expect("an offer");
    assert!(queue.offer(at(0), &service, replica));
    assert_eq!(queue.take_offer(next), Some(replica));
}

#[test]
fn full_queue_rejects_requests() {
    let mut queue = Queue::default();
    let enqueued = (0..1000)
        .filter(|_| queue.enqueue("s", OBJECTIVE).is_some())
        .count();
    assert!(enqueued < 1000);
}

/// Simulates ten seconds of periodic load whose peaks exceed the capacity of the
/// slots by an eighth, with lulls in between, and returns the share of
/// requests that start within [`OBJECTIVE`]. The queue is given `objective` as
/// the latency objective.
fn share_in_time(objective: Duration) -> f64 {
    const SLOTS: usize = 80;
    const SERVICE_TIME: Duration = Duration::from_millis(800);
    let mut queue = Queue::default();
    let mut busy: Vec<Duration> = Vec::new();
    let (mut queued, mut arrived, mut on_time) = (Vec::new(), 0_u32, 0_u32);
    for ms in 0..10_000 {
        let now = at(ms);
        let interval = if ms % 5800 < 2400 { 9 } else { 40 };
        if ms % interval == 0 {
            arrived += 1;
            queued.push((
                now,
                queue.enqueue("s", now + objective).expect("queue capacity"),
            ));
        }
        busy.retain(|ends| *ends > now);
        while busy.len() < SLOTS && queue.offer(now, "s", key()) {
            let taken = queued
                .iter()
                .position(|(_, t)| queue.take_offer(*t).is_some());
            let (arrived_at, ticket) =
                queued.remove(taken.expect("a queued request with an offer"));
            queue.remove(ticket);
            on_time += u32::from(now - arrived_at <= OBJECTIVE);
            busy.push(now + SERVICE_TIME);
        }
    }
    f64::from(on_time) / f64::from(arrived)
}

/// Guards against an order that lets a backlog from a peak delay all requests
/// after it. The comparison uses an objective so long that no request counts as
/// late, which makes the queue first come, first served.
#[test]
fn periodic_overload_leaves_most_requests_in_time() {
    let share = share_in_time(OBJECTIVE);
    assert!(share > 0.85, "{share} in time");
    let first_come = share_in_time(Duration::from_secs(100));
    assert!(share >= first_come, "{share}, first come {first_come}");
}
