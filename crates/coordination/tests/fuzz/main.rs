//! Odd datagrams of peers: none panics or spoils what other peers have sent.

use std::net::SocketAddr;
use std::time::Duration;

use bitterncart_coordination::fleet::catalog::Catalog;
use bitterncart_coordination::fleet::peers::{Ownership, Usage};
use bitterncart_coordination::fleet::quarantine::{Digest, Report, ReportedCrash, ReportedEnd};
use bitterncart_coordination::fleet::{
    Build, Candidate, CutOff, Fingerprint, Group, Heartbeat, Member, Part, Peers, Pool, Quarantine,
    Queued, View, links, ownership, quarantine, rate_limit, streams,
};
use bitterncart_testing::fuzz;
use bitterncart_testing::mutation::{damage, damages};
use proptest::array::uniform10;
use proptest::collection::vec;
use proptest::prelude::{any, prop_oneof};
use proptest::sample::select;
use proptest::strategy::Strategy;

const NOW: Duration = Duration::from_secs(100);

/// Shards of the fleet.
const SHARDS: usize = 64;

fn address(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn heartbeat(from: u16) -> Heartbeat {
    Heartbeat {
        from: address(from),
        born_us: 1_796_435_776_132_000,
        seq: 9,
        data_centre: "here".into(),
        period_ms: 250,
        leaving: false,
        writes: true,
        capacity: 500,
        shards: vec![Ownership {
            shard: 3,
            tokens: vec![(7, 940)],
        }],
        waiting: 3,
        load: vec![Usage {
            replica: 5,
            online: 2,
            batch: 1,
        }],
        running: vec![11, 12],
        queued: vec![Queued {
            group: Group::new("s", "here"),
            requests: 2,
        }],
        quarantine: Digest {
            ends: vec![ReportedEnd {
                process: 5,
                age_ms: 20,
            }],
            reports: vec![Report {
                subject: quarantine::Subject::Part(Part(9)),
                is_first: true,
                crashes: vec![ReportedCrash {
                    process: 5,
                    source: 6,
                    age_ms: 20,
                }],
                sound_ms: Some(40),
            }],
        },
        limits: vec![rate_limit::Report {
            process: 5,
            per_1000_s: Some(2500),
            age_ms: 30,
        }],
        speeds: Vec::new(),
        recent_jobs: None,
        links: Some(links::Report {
            cut_off: false,
            relayed: 2,
            answered_ago_ms: 5,
        }),
    }
}

/// Numbers that a field may hold at most, and others.
fn numbers() -> impl Strategy<Value = [u64; 10]> {
    let odd = select(vec![
        0,
        1,
        255,
        65_535,
        1 << 20,
        (1 << 32) - 1,
        1 << 62,
        u64::MAX,
    ]);
    uniform10(odd)
}

/// Heartbeat with these numbers.
fn heartbeat_with(numbers: [u64; 10]) -> Heartbeat {
    let [
        born_us,
        seq,
        period,
        capacity,
        waiting,
        shard,
        tokens,
        count,
        process,
        age,
    ] = numbers;
    let age_ms = age as u32;
    let process = process as u32;
    let sound = heartbeat(2 + (seq % 3) as u16);
    Heartbeat {
        born_us,
        seq,
        period_ms: period as u32,
        capacity: capacity as u32,
        waiting: waiting as u32,
        shards: vec![Ownership {
            shard: shard as u16,
            tokens: vec![(7, tokens); 3],
        }],
        load: vec![
            Usage {
                replica: process,
                online: count as u16,
                batch: count as u16,
            };
            3
        ],
        queued: vec![
            Queued {
                group: Group::new("s", "here"),
                requests: count as u16,
            };
            3
        ],
        quarantine: Digest {
            ends: vec![ReportedEnd { process, age_ms }],
            reports: vec![Report {
                subject: quarantine::Subject::Part(Part(tokens)),
                is_first: false,
                crashes: vec![
                    ReportedCrash {
                        process,
                        source: count as u32,
                        age_ms,
                    };
                    3
                ],
                sound_ms: Some(age_ms),
            }],
        },
        limits: vec![rate_limit::Report {
            process,
            per_1000_s: Some(tokens as u32),
            age_ms,
        }],
        speeds: Vec::new(),
        recent_jobs: None,
        links: Some(links::Report {
            cut_off: false,
            relayed: count as u16,
            answered_ago_ms: age as u16,
        }),
        ..sound
    }
}

/// Datagrams: any bytes, those of a heartbeat with changes, and heartbeats with odd numbers.
fn datagrams() -> impl Strategy<Value = Vec<u8>> {
    let valid = heartbeat(2).encode().expect("a datagram");
    prop_oneof![
        vec(any::<u8>(), 0..128),
        damages().prop_map(move |damages| damage(&valid, &damages)),
        numbers().prop_map(|numbers| heartbeat_with(numbers).encode().expect("a datagram")),
    ]
}

/// Uses all that the peers have sent.
fn check(peers: &Peers) {
    assert_eq!(peers.unfinished_tokens(3, 1), Some(0));
    assert!(peers.waiting_items(NOW) >= 3);
    assert!(!peers.running_items(NOW).is_empty());
    let relays = peers.relays(NOW, 500);
    let _relay = links::choose_relay(&relays, ["here", "there"], || 0.5);
    let _load = peers.load_by_replica(NOW);
    let _outage = peers.is_store_outage(NOW);
    let members = Member::from_peers(peers, NOW);
    let mut candidates = CutOff::default().candidates(NOW, &members);
    candidates.push(Candidate {
        address: address(9),
        capacity: 500,
    });
    let mut table = ownership::Table::default();
    table.update(SHARDS, candidates);
    let view = View::new(address(9), NOW, peers, &table);
    assert!((0..SHARDS as u16).all(|shard| table.preferred(shard).is_some()));
    let _target = view.target(3, view.should_own(3, false));
    let mut pool = Pool::new("here".into(), "d".into());
    pool.set_backlog(peers.queued(NOW));
}

#[test]
fn odd_heartbeats_leave_those_of_others_in_force() {
    fuzz(&vec(datagrams(), 1..6), |datagrams| {
        let (mut peers, mut quarantine) = (Peers::default(), Quarantine::default());
        let mut pool = Pool::new("here".into(), "d".into());
        for datagram in datagrams {
            let Ok(odd) = Heartbeat::decode(&datagram) else {
                continue;
            };
            let _change = quarantine.merge(NOW, &odd.quarantine);
            pool.merge_limits(NOW, &odd.limits);
            peers.receive(NOW, odd);
        }
        let sound = Heartbeat {
            shards: vec![Ownership {
                shard: 3,
                tokens: Vec::new(),
            }],
            ..heartbeat(1)
        };
        peers.receive(NOW, sound);
        check(&peers);
        assert!(peers.live(NOW).any(|peer| peer.from == address(1)));
        let _change = quarantine.expire(NOW + Duration::from_secs(60));
        let _digest = quarantine.digest(NOW);
        let _reports = pool.limit_reports(NOW);
    });
}

#[test]
fn odd_messages_about_tokens_are_answered() {
    let ask = rate_limit::Message::Ask {
        id: 1,
        process: 5,
        per_1000_s: 2500,
        is_batch: true,
    };
    let valid = ask.encode().expect("a datagram");
    fuzz(&damages(), |damages| {
        let mut buckets = rate_limit::Buckets::default();
        match rate_limit::Message::decode(&damage(&valid, &damages)) {
            Some(rate_limit::Message::Ask {
                process,
                per_1000_s,
                ..
            }) => {
                let per_s = f64::from(per_1000_s) / 1000.0;
                let class = bitterncart_coordination::fleet::Class::Batch;
                let _answer = buckets.take(NOW, process, per_s, class);
                buckets.expire(NOW + Duration::from_secs(60));
            }
            Some(rate_limit::Message::Reply { retry_ms, .. }) => {
                assert!(retry_ms.is_none_or(|ms| ms <= 1000));
            }
            None => {}
        }
    });
}

#[test]
fn odd_messages_about_streams_are_answered() {
    let ask = streams::Message::Ask {
        id: 1,
        stream: Fingerprint(7),
        route: Some(streams::SoleRoute {
            host: "h".into(),
            prefix: "/p/".into(),
            service: "s".into(),
            window_ms: 10_000,
        }),
    };
    let began = streams::Message::Began {
        stream: Fingerprint(7),
        build: Build {
            service: "s".into(),
            version: "v1".into(),
        },
    };
    let valid = [ask, began].map(|message| message.encode().expect("a datagram"));
    fuzz(&(any::<bool>(), damages()), |(first, damages)| {
        let pool = Pool::new("here".into(), "d".into());
        let mut streams = streams::Streams::default();
        match streams::Message::decode(&damage(&valid[usize::from(first)], &damages)) {
            Some(streams::Message::Ask { stream, route, .. }) => {
                let route = route.as_ref();
                let history = route.map_or(streams::History::Unknown, |route| {
                    let of_service = pool.history(NOW, &route.service, route.window());
                    streams.history_of(NOW, route, of_service)
                });
                let answer = streams.answer(stream, history);
                let _build = streams::decide(route, &answer, &[]);
            }
            Some(streams::Message::Began { stream, build }) => streams.record(NOW, stream, build),
            _ => {}
        }
        streams.expire(NOW);
    });
}

#[test]
fn odd_records_of_the_catalog_leave_the_others() {
    fuzz(
        &(damages(), damages(), any::<u64>()),
        |(key, value, now_ms)| {
            let mut catalog = Catalog::default();
            let key = damage("version/odd\u{1f}v1".as_bytes(), &key);
            let value = damage(b"1796435776132 18446744073709551615", &value);
            catalog.apply(&String::from_utf8_lossy(&key), Some(&value));
            catalog.apply("version/s\u{1f}v1", Some(b"5"));
            let _changes = catalog.changes(now_ms, &Default::default());
            assert!(
                catalog.sole_versions(now_ms).contains_key("s") || key.starts_with(b"version/s")
            );
        },
    );
}
