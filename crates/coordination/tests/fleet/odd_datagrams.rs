//! Datagrams of peers with values out of range.

use std::time::Duration;

use bitterncart_coordination::fleet::catalog::Catalog;
use bitterncart_coordination::fleet::peers::Ownership;
use bitterncart_coordination::fleet::{Heartbeat, Peers, links, rate_limit};
use bitterncart_testing::cases;

use crate::ownership::heartbeat;

const NOW: Duration = Duration::from_secs(100);

/// Routes of the largest token counts.
const ROUTE: u32 = 7;

/// Heartbeat whose counts are as large as the datagram can say.
fn extreme(from: u16) -> Heartbeat {
    let shard = |shard| Ownership {
        shard,
        tokens: vec![(ROUTE, u64::MAX)],
    };
    Heartbeat {
        period_ms: u32::MAX,
        capacity: u32::MAX,
        waiting: u32::MAX,
        shards: vec![shard(0), shard(1), shard(u16::MAX)],
        speeds: Vec::new(),
        recent_jobs: None,
        links: Some(links::Report {
            cut_off: false,
            relayed: u16::MAX,
            answered_ago_ms: u16::MAX,
        }),
        ..heartbeat(from, 1)
    }
}

/// What a peer decodes.
fn sent(heartbeat: &Heartbeat) -> Heartbeat {
    let datagram = heartbeat.encode().expect("a datagram");
    Heartbeat::decode(&datagram).expect("a heartbeat")
}

/// Peers after two extreme heartbeats.
fn peers() -> Peers {
    let mut peers = Peers::default();
    for from in [1, 2] {
        peers.receive(NOW, sent(&extreme(from)));
    }
    peers
}

#[test]
fn waiting_items_of_extreme_heartbeats_are_summed() {
    assert!(peers().waiting_items(NOW) < 1 << 24);
}

#[test]
fn extreme_capacities_make_relays() {
    assert_eq!(peers().relays(NOW, 500).len(), 2);
}

/// Guards against a sum of the tokens of all shards that overflows.
#[test]
fn tokens_of_extreme_heartbeats_can_be_summed() {
    let tokens = peers().unfinished_tokens(0, ROUTE).expect("a report");
    assert!(tokens.checked_mul(1024).is_some());
}

#[test]
fn shard_that_no_fleet_has_is_not_kept() {
    assert_eq!(peers().unfinished_tokens(u16::MAX, ROUTE), None);
}

#[test]
fn load_of_an_extreme_period_expires() {
    let period = sent(&extreme(1)).period_ms;
    assert!(period <= 60_000, "{period} ms");
}

cases! {
    /// Replies go to the address in the heartbeat.
    fn heartbeat_without_sender_is_rejected(from: &str) {
        let heartbeat = Heartbeat {
            from: from.parse().expect("an address"),
            ..heartbeat(1, 1)
        };
        let datagram = heartbeat.encode().expect("a datagram");
        assert!(Heartbeat::decode(&datagram).is_err());
    }
    heartbeat_from_port_zero_is_rejected("10.0.0.1:0");
    heartbeat_from_any_address_is_rejected("0.0.0.0:80");
    heartbeat_from_multicast_is_rejected("224.0.0.1:80");
}

/// Guards against a replica that is not used for weeks.
#[test]
fn time_to_ask_again_is_bounded() {
    let reply = rate_limit::Message::Reply {
        id: 1,
        retry_ms: Some(u32::MAX),
    };
    let datagram = reply.encode().expect("a datagram");
    let bounded = rate_limit::Message::Reply {
        id: 1,
        retry_ms: Some(1000),
    };
    assert_eq!(rate_limit::Message::decode(&datagram), Some(bounded));
}

/// Guards against a version that never leaves the catalog.
#[test]
fn version_that_left_in_the_future_is_corrected() {
    let mut catalog = Catalog::default();
    let key = "version/s\u{1f}v1";
    catalog.apply(key, Some(b"5 18446744073709551615"));
    let changes = catalog.changes(1_000_000, &Default::default());
    let values: Vec<_> = changes.iter().map(|c| c.value.as_deref()).collect();
    assert_eq!(values, [Some("5 1000000")]);
}
