//! Admission queue: free slots go to queued requests that can still meet their
//! latency objective first.

use std::time::Duration;

use bitterncart_coordination::fleet::admission_queue::{Customer, Queue};
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
    let late = queue.enqueue("s", OBJECTIVE, None).expect("queue capacity");
    let old = queue
        .enqueue("s", OBJECTIVE + at(100), None)
        .expect("queue capacity");
    let new = queue
        .enqueue("s", OBJECTIVE + at(200), None)
        .expect("queue capacity");
    let other = queue.enqueue("t", OBJECTIVE, None).expect("queue capacity");
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
    let abandoned = queue.enqueue("s", OBJECTIVE, None).expect("queue capacity");
    assert!(queue.offer(at(0), "s", key()));
    let next = queue.enqueue("s", OBJECTIVE, None).expect("queue capacity");
    let (service, replica) = queue.remove(abandoned).expect("an offer");
    assert!(queue.offer(at(0), &service, replica));
    assert_eq!(queue.take_offer(next), Some(replica));
}

#[test]
fn full_queue_rejects_requests() {
    let mut queue = Queue::default();
    let enqueued = (0..1000)
        .filter(|_| queue.enqueue("s", OBJECTIVE, None).is_some())
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
                queue
                    .enqueue("s", now + objective, None)
                    .expect("queue capacity"),
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

fn customer(id: u32, priority: u32) -> Option<Customer> {
    Some(Customer { id, priority })
}

/// Serves ten customers of equal priority for 60 s, of which the first one sends 7.5 times
/// as much as each other one, and returns the requests started by customer. Requests wait
/// for 2 s at most.
fn served(per_s: f64) -> Vec<u32> {
    const CUSTOMERS: usize = 10;
    const SLOTS_PER_S: u64 = 50;
    let mut queue = Queue::default();
    let mut waiting: Vec<(u64, usize, _)> = Vec::new();
    let mut served = vec![0; CUSTOMERS];
    let mut due = [0.0; CUSTOMERS];
    for ms in 0..60_000 {
        for (n, due) in due.iter_mut().enumerate() {
            *due += per_s / 1000.0 * if n == 0 { 7.5 } else { 1.0 };
            while *due >= 1.0 {
                *due -= 1.0;
                let ticket = queue.enqueue("s", at(ms) + OBJECTIVE, customer(n as u32, 1));
                waiting.extend(ticket.map(|ticket| (ms, n, ticket)));
            }
        }
        waiting.retain(|(since, _, ticket)| {
            let waits = ms - since < 2000;
            if !waits {
                queue.remove(*ticket);
            }
            waits
        });
        if ms % (1000 / SLOTS_PER_S) == 0 && queue.offer(at(ms), "s", key()) {
            let taken = waiting
                .iter()
                .position(|(_, _, ticket)| queue.take_offer(*ticket).is_some());
            let (_, n, ticket) = waiting.remove(taken.expect("a request with an offer"));
            queue.remove(ticket);
            served[n] += 1;
        }
    }
    served
}

/// Guards against a customer that gets more slots than others as it sends more.
#[test]
fn customers_with_more_requests_get_equal_shares() {
    let served = served(10.0);
    let mean = f64::from(served.iter().sum::<u32>()) / served.len() as f64;
    println!("served {served:?}");
    for (n, count) in served.iter().enumerate() {
        let ratio = f64::from(*count) / mean;
        assert!((0.95..=1.05).contains(&ratio), "customer {n}: {served:?}");
    }
}

/// Guards against a customer whose requests beyond its share cost the others slots that
/// they need.
#[test]
fn customers_within_their_share_are_served_in_full() {
    let served = served(4.0);
    println!("served {served:?}");
    for (n, count) in served.iter().enumerate().skip(1) {
        assert!(*count >= 235, "customer {n}: {served:?}");
    }
}

/// Guards against customers of a low priority that are served before those of a high one.
#[test]
fn higher_priority_comes_first() {
    let mut queue = Queue::default();
    let low = queue.enqueue("s", OBJECTIVE, customer(1, 2)).expect("room");
    let high = queue.enqueue("s", OBJECTIVE, customer(2, 1)).expect("room");
    for expected in [high, low] {
        assert!(queue.offer(at(0), "s", key()));
        assert!(queue.take_offer(expected).is_some());
        queue.remove(expected);
    }
}

/// Guards against an offer that nobody used and that counts for its customer.
#[test]
fn unused_offer_costs_no_share() {
    let mut queue = Queue::default();
    let abandoned = queue.enqueue("s", OBJECTIVE, customer(1, 1)).expect("room");
    assert!(queue.offer(at(0), "s", key()));
    let first = queue.enqueue("s", OBJECTIVE, customer(1, 1)).expect("room");
    let _second = queue.enqueue("s", OBJECTIVE, customer(2, 1)).expect("room");
    assert!(queue.remove(abandoned).is_some());
    assert!(queue.offer(at(0), "s", key()));
    assert!(queue.take_offer(first).is_some());
}
