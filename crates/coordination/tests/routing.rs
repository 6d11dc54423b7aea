//! Online is gathered on the first replicas, and goes on where there is room.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::Routing;
use bitterncart_coordination::routing::State::Up;
use bitterncart_coordination::routing::{Capacity, Class, Key, Query, Replica};
use bitterncart_protocol::Name;
use bitterncart_protocol::engine::Load;
use bitterncart_protocol::instance::{Instance, Kind, State};
use bitterncart_testing::cases;

const NOW: Duration = Duration::from_secs(100);
const HOME: &str = "a";
const MODEL: &str = "model";

fn instance(number: u16, data_centre: &str) -> Instance {
    Instance {
        name: Name::from(format!("replica-{number}")),
        kind: Kind::Engine,
        serves: Name::from(MODEL),
        data_centre: Name::from(data_centre),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        state: State::Live,
    }
}

/// Three replicas at home and one elsewhere, of 10 sequences each.
fn table(fill: f64) -> Routing {
    let mut routing = Routing::new(Name::from(HOME));
    let capacity = Capacity {
        sequences: 10,
        fill,
    };
    routing.configure([], [(Name::from(MODEL), capacity)]);
    let mut instances: Vec<Instance> = (1..4).map(|n| instance(n, HOME)).collect();
    instances.push(instance(4, "b"));
    routing.list(NOW, &instances);
    routing
}

fn choose(routing: &Routing, now: Duration, tried: &[Key]) -> Option<Key> {
    let query = Query {
        serves: MODEL,
        prefix: None,
        left: Duration::from_secs(5),
        tried,
    };
    routing.choose(now, query)
}

/// Online sequences of each replica, most first, after a number of requests.
fn spread(routing: &mut Routing, requests: u32) -> Vec<u32> {
    for _ in 0..requests {
        let key = choose(routing, NOW, &[]).expect("a replica is up");
        routing.start(key, Class::Online, None);
    }
    let mut counts: Vec<u32> = routing.replicas().map(|(_, r)| r.online).collect();
    counts.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    counts
}

cases! {
    fn requests_lie(fill: f64, requests: u32, counts: &[u32]) {
        assert_eq!(spread(&mut table(fill), requests), counts);
    }
    on_the_first_replica(0.4, 3, &[3, 0, 0, 0]);
    on_the_next_when_it_is_filled(0.4, 6, &[4, 2, 0, 0]);
    evenly_when_all_are_filled(0.4, 18, &[6, 6, 6, 0]);
    evenly_without_batch(0.0, 6, &[2, 2, 2, 0]);
}

#[test]
fn other_daemons_sequences_count_for_a_while() {
    let mut routing = table(0.4);
    let first = choose(&routing, NOW, &[]).expect("a replica is up");
    routing.others(NOW, first, 4);
    assert_ne!(choose(&routing, NOW, &[]), Some(first));
    let later = NOW + Duration::from_secs(5);
    assert_eq!(choose(&routing, later, &[]), Some(first));
}

#[test]
fn slow_replica_is_passed_over_and_tried_again() {
    let mut routing = table(0.4);
    let first = choose(&routing, NOW, &[]).expect("a replica is up");
    for _ in 0..20 {
        routing.first(NOW, first, Duration::from_secs(1));
    }
    assert_ne!(choose(&routing, NOW, &[]), Some(first));
    let later = NOW + Duration::from_secs(10);
    assert_eq!(choose(&routing, later, &[]), Some(first));
}

#[test]
fn failed_replicas_leave_the_other_data_centre() {
    let mut routing = table(0.4);
    let mut chosen = Vec::new();
    while let Some(key) = choose(&routing, NOW, &[]) {
        chosen.push(key);
        routing.failed(NOW, key);
    }
    let homes: Vec<bool> = chosen
        .iter()
        .filter_map(|key| routing.replica(*key))
        .map(Replica::is_local)
        .collect();
    assert_eq!(homes, [true, true, true, false]);
}

#[test]
fn server_of_a_service_takes_many_calls_at_once() {
    const CALLS: u32 = 100;
    let mut routing = Routing::new(Name::from(HOME));
    routing.list(NOW, &[instance(1, HOME)]);
    for _ in 0..CALLS {
        let key = choose(&routing, NOW, &[]).expect("it takes one more");
        routing.start(key, Class::Online, None);
    }
}

/// Whether the first replica takes work again after its own report says that it
/// does not leave.
fn comes_back(listed: State) -> bool {
    let mut routing = table(0.0);
    let (key, _) = routing
        .named(&Name::from("replica-1"))
        .expect("it is listed");
    routing.leaving(NOW, key);
    let mut first = instance(1, HOME);
    first.state = listed;
    let rest = (2..4).map(|number| instance(number, HOME));
    let list: Vec<Instance> = std::iter::once(first).chain(rest).collect();
    routing.list(NOW, &list);
    let later = NOW + Duration::from_secs(5);
    routing.report(later, key, Load::default());
    routing
        .replica(key)
        .is_some_and(|replica| replica.state == Up)
}

cases! {
    fn report_is_believed(listed: State, back: bool) {
        assert_eq!(comes_back(listed), back);
    }
    of_a_server_that_stays(State::Live, true);
    but_not_of_one_that_the_list_has_leaving(State::Leaving, false);
}
