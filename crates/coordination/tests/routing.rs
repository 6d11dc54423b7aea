//! Online requests are packed on the first replicas and spill over when these are full.

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

/// Three local replicas and one remote, with 10 sequences each.
fn routing_table(online_fill_share: f64) -> Routing {
    let mut routing = Routing::new(Name::from(HOME));
    let capacity = Capacity {
        sequences: 10,
        online_fill_share,
    };
    routing.configure([], [(Name::from(MODEL), capacity)]);
    let mut instances: Vec<Instance> = (1..4).map(|n| instance(n, HOME)).collect();
    instances.push(instance(4, "b"));
    routing.update_instances(NOW, &instances);
    routing
}

fn choose(routing: &Routing, now: Duration, excluded: &[Key]) -> Option<Key> {
    let query = Query {
        serves: MODEL,
        prefix: None,
        time_left: Duration::from_secs(5),
        excluded,
    };
    routing.choose(now, query)
}

/// Online sequences of each replica after a number of requests, in descending order.
fn online_per_replica(routing: &mut Routing, requests: u32) -> Vec<u32> {
    for _ in 0..requests {
        let key = choose(routing, NOW, &[]).expect("a replica is up");
        routing.start(key, Class::Online, None);
    }
    let mut counts: Vec<u32> = routing.replicas().map(|(_, r)| r.online).collect();
    counts.sort_unstable_by_key(|count| std::cmp::Reverse(*count));
    counts
}

cases! {
    fn requests_are_distributed(fill: f64, requests: u32, counts: &[u32]) {
        assert_eq!(online_per_replica(&mut routing_table(fill), requests), counts);
    }
    requests_below_the_fill_share_use_one_replica(0.4, 3, &[3, 0, 0, 0]);
    requests_above_the_fill_share_use_the_next_replica(0.4, 6, &[4, 2, 0, 0]);
    requests_are_spread_when_all_replicas_are_filled(0.4, 18, &[6, 6, 6, 0]);
    requests_are_spread_without_a_fill_share(0.0, 6, &[2, 2, 2, 0]);
}

#[test]
fn remote_online_sequences_count_until_outdated() {
    let mut routing = routing_table(0.4);
    let first = choose(&routing, NOW, &[]).expect("a replica is up");
    routing.set_remote_online(NOW, first, 4);
    assert_ne!(choose(&routing, NOW, &[]), Some(first));
    let later = NOW + Duration::from_secs(5);
    assert_eq!(choose(&routing, later, &[]), Some(first));
}

#[test]
fn slow_replica_is_skipped_until_its_measurement_is_outdated() {
    let mut routing = routing_table(0.4);
    let first = choose(&routing, NOW, &[]).expect("a replica is up");
    for _ in 0..20 {
        routing.record_ttft(NOW, first, Duration::from_secs(1));
    }
    assert_ne!(choose(&routing, NOW, &[]), Some(first));
    let later = NOW + Duration::from_secs(10);
    assert_eq!(choose(&routing, later, &[]), Some(first));
}

#[test]
fn remote_data_centre_is_used_when_local_replicas_are_ejected() {
    let mut routing = routing_table(0.4);
    let mut chosen = Vec::new();
    while let Some(key) = choose(&routing, NOW, &[]) {
        chosen.push(key);
        routing.record_attempt_failure(NOW, key);
    }
    let local: Vec<bool> = chosen
        .iter()
        .filter_map(|key| routing.replica(*key))
        .map(Replica::is_local)
        .collect();
    assert_eq!(local, [true, true, true, false]);
}

#[test]
fn service_server_accepts_many_concurrent_calls() {
    const CALLS: u32 = 100;
    let mut routing = Routing::new(Name::from(HOME));
    routing.update_instances(NOW, &[instance(1, HOME)]);
    for _ in 0..CALLS {
        let key = choose(&routing, NOW, &[]).expect("the server accepts another call");
        routing.start(key, Class::Online, None);
    }
}

/// Whether a leaving replica accepts work again after its load report says that it
/// is not leaving, with its state in the instance list.
fn is_readmitted_after_report(listed: State) -> bool {
    let mut routing = routing_table(0.0);
    let (key, _) = routing
        .by_name(&Name::from("replica-1"))
        .expect("the replica is listed");
    routing.mark_leaving(NOW, key);
    let mut first = instance(1, HOME);
    first.state = listed;
    let rest = (2..4).map(|number| instance(number, HOME));
    let list: Vec<Instance> = std::iter::once(first).chain(rest).collect();
    routing.update_instances(NOW, &list);
    let later = NOW + Duration::from_secs(5);
    routing.record_load(later, key, Load::default());
    routing
        .replica(key)
        .is_some_and(|replica| replica.state == Up)
}

cases! {
    fn load_report_readmits_leaving_replica(listed: State, readmitted: bool) {
        assert_eq!(is_readmitted_after_report(listed), readmitted);
    }
    load_report_readmits_if_the_list_says_live(State::Live, true);
    load_report_does_not_readmit_if_the_list_says_leaving(State::Leaving, false);
}
