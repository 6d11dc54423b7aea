//! Costs of the decision layers without a daemon around them.
//!
//! Calls membership, routing, shard state, job queue, admission and document
//! parsing directly, with inputs of several sizes. Measures processor time,
//! allocated memory and encoded bytes.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bitterncart_coordination::membership::{Action, Membership};
use bitterncart_coordination::routing::{Capacity, Query, Routing};
use bitterncart_coordination::{Admission, Queue};
use bitterncart_protocol::instance::{Instance, Kind, State};
use bitterncart_protocol::peer::{End, Health, Member};
use bitterncart_protocol::record::{Answer, Chunk, Group, Reason, Record, Submit};
use bitterncart_protocol::{Document, Name, document, hash, id};
use bitterncart_state::Shard;

use super::resources::allocated_bytes;
use super::{Point, Slope};

/// Bytes that UDP, IP and the authentication code add to a membership packet.
const PACKET_OVERHEAD_BYTES: usize = 28 + 16;

/// Size of the body of a result, in bytes.
const RESULT_BYTES: usize = 600;

/// Number of results in a group.
const GROUP_SIZE: u32 = 100;

fn microseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn address(number: usize) -> SocketAddr {
    let [_, a, b, c] = (number as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, a, b, c), 7700))
}

fn member(number: usize) -> Member {
    Member {
        daemon: id::Daemon::from(format!("entry-coast-a-{number}@18f0000").as_str()),
        data_centre: Name::from("coast-a"),
        heartbeat: address(number),
        peer: address(number),
        incarnation: 0,
        health: Health::Alive,
        log_lost: false,
    }
}

/// Bandwidth and processor time of one daemon for membership, and the time until
/// all daemons know of a failure, by the number of daemons.
pub(super) fn peers() -> Slope {
    const SIZES: [usize; 5] = [12, 50, 100, 200, 400];
    let points = SIZES.map(|size| Point {
        size: size as f64,
        costs: membership_costs(size),
    });
    let costs = [
        "bytes/s of a daemon",
        "processor µs/s of a daemon",
        "s until all know of a death",
    ];
    Slope::new("peers", "daemons in the fleet", &costs, points.into())
}

/// Costs of membership in a simulated fleet, in the order of [`peers`].
fn membership_costs(size: usize) -> Vec<f64> {
    const TICK: Duration = Duration::from_millis(50);
    // Gossip about the start of the whole fleet takes this long to subside.
    const SETTLE_TIME: Duration = Duration::from_secs(600);
    const MEASUREMENT: Duration = Duration::from_secs(30);
    const DETECTION_LIMIT: Duration = Duration::from_secs(60);
    let mut fleet: Vec<Membership> = (0..size)
        .map(|number| Membership::new(member(number), number as u64))
        .collect();
    let by_address: HashMap<SocketAddr, usize> =
        (0..size).map(|number| (address(number), number)).collect();
    for membership in &mut fleet {
        membership.set_seeds((0..size).map(address));
    }
    let mut now = Duration::ZERO;
    let mut bytes = 0;
    let mut began = Instant::now();
    let mut failed = None;
    let mut elapsed = Duration::ZERO;
    let mut measured_bytes = 0;
    loop {
        if now == SETTLE_TIME {
            (bytes, began) = (0, Instant::now());
        }
        if now == SETTLE_TIME + MEASUREMENT {
            (elapsed, measured_bytes) = (began.elapsed(), bytes);
            failed = Some(0);
        }
        tick(&mut fleet, &by_address, now, failed, &mut bytes);
        now += TICK;
        let detected = failed.is_some_and(|failed| {
            let id = member(failed).daemon;
            (0..size)
                .filter(|index| *index != failed)
                .all(|index| !fleet[index].is_alive(&id))
        });
        if detected || now > SETTLE_TIME + MEASUREMENT + DETECTION_LIMIT {
            break;
        }
    }
    let daemon_seconds = MEASUREMENT.as_secs_f64() * size as f64;
    let detection_s = now.saturating_sub(SETTLE_TIME + MEASUREMENT).as_secs_f64();
    // Each packet is sent by one daemon and received by another.
    vec![
        2.0 * measured_bytes as f64 / daemon_seconds,
        microseconds(elapsed) / daemon_seconds,
        detection_s,
    ]
}

/// Ticks every running daemon and delivers all packets that result, without
/// latency; adds the bytes sent to `bytes`.
fn tick(
    fleet: &mut [Membership],
    by_address: &HashMap<SocketAddr, usize>,
    now: Duration,
    failed: Option<usize>,
    bytes: &mut usize,
) {
    let mut actions = Vec::new();
    for (index, membership) in fleet.iter_mut().enumerate() {
        if failed != Some(index) {
            actions.extend(membership.tick(now));
        }
    }
    while let Some(action) = actions.pop() {
        let Action::Send(to, packet) = action else {
            continue;
        };
        let size = postcard::to_stdvec(&*packet).map_or(0, |encoded| encoded.len());
        *bytes += size + PACKET_OVERHEAD_BYTES;
        match by_address.get(&to) {
            Some(to) if failed != Some(*to) => actions.extend(fleet[*to].receive(now, &packet)),
            _ => {}
        }
    }
}

/// Time of one routing decision and size of the routing table, by the number of
/// replicas of a model.
pub(super) fn replicas() -> Slope {
    const SIZES: [usize; 5] = [60, 150, 300, 450, 600];
    const DECISIONS: u32 = 2000;
    let points = SIZES.map(|size| {
        let before = allocated_bytes();
        let mut routing = Routing::new(Name::from("dc-0"));
        let capacity = Capacity {
            sequences: 32,
            online_fill_share: 0.4,
        };
        routing.configure([], [(Name::from("model"), capacity)]);
        let instances: Vec<Instance> = (0..size).map(instance).collect();
        routing.update_instances(Duration::ZERO, &instances);
        let query = Query {
            serves: "model",
            prefix: Some(1),
            time_left: Duration::from_secs(10),
            excluded: &[],
        };
        let began = Instant::now();
        for _ in 0..DECISIONS {
            std::hint::black_box(routing.choose(Duration::ZERO, query));
        }
        let decision_us = microseconds(began.elapsed()) / f64::from(DECISIONS);
        let allocated_kb = allocated_bytes().saturating_sub(before) as f64 / 1e3;
        Point {
            size: size as f64,
            costs: vec![decision_us, allocated_kb],
        }
    });
    Slope::new(
        "replicas",
        "replicas",
        &["µs of a choice", "KB of the table"],
        points.into(),
    )
}

fn instance(number: usize) -> Instance {
    Instance {
        name: Name::from(format!("replica-{number}")),
        kind: Kind::Engine,
        serves: Name::from("model"),
        data_centre: Name::from(format!("dc-{}", number % 7)),
        address: address(number),
        state: State::Live,
    }
}

/// Shard with an owner and no jobs.
fn claimed_shard() -> Shard {
    let mut shard = Shard::default();
    let claim = Record::Claim {
        daemon: "owner".into(),
        supersedes: shard.epoch(),
        reason: Reason::Vacant,
    };
    shard.apply(
        0,
        0,
        &Group {
            epoch: None,
            records: vec![claim],
        },
    );
    shard
}

fn submit(number: u64, items: u32) -> Submit {
    const CHUNK_LINES: u32 = 800;
    let chunks = (0..items.div_ceil(CHUNK_LINES)).map(|index| Chunk {
        shard: id::Shard(0),
        offset: index.into(),
        lines: CHUNK_LINES.min(items - index * CHUNK_LINES),
        at_ms: 0,
    });
    Submit {
        job: id::Job {
            shard: id::Shard(0),
            hash: hash::hash_parts(&[&number.to_le_bytes()]),
        },
        customer: Name::from("back-office"),
        model: Name::from("assistant"),
        endpoint: "/v1/chat/completions".into(),
        file: id::File {
            shard: id::Shard(0),
            hash: 0,
        },
        chunks: chunks.collect(),
        due_ms: 1 << 40,
        keep_ms: 1 << 30,
        at_ms: 0,
    }
}

/// Sizes of the state and snapshot of a shard, and times of a lease and of a
/// recovery, by the number of open jobs.
pub(super) fn jobs() -> Slope {
    const SIZES: [u64; 5] = [100, 500, 1000, 2000, 4000];
    const ITEMS_PER_JOB: u32 = 444;
    let points = SIZES.map(|size| {
        let before = allocated_bytes();
        let mut shard = claimed_shard();
        let records = (0..size)
            .map(|n| Record::Submit(Box::new(submit(n, ITEMS_PER_JOB))))
            .collect();
        shard.apply(
            1,
            0,
            &Group {
                epoch: None,
                records,
            },
        );
        let mut queue = Queue::new(&shard);
        let allocated_kb = allocated_bytes().saturating_sub(before) as f64 / 1e3;
        let began = Instant::now();
        queue.pull(Duration::ZERO, 0, &shard, &Name::from("assistant"), 1);
        let pull_us = microseconds(began.elapsed());
        let snapshot = shard.snapshot();
        let began = Instant::now();
        std::hint::black_box(Shard::restore(&snapshot));
        let restore_ms = microseconds(began.elapsed()) / 1e3;
        Point {
            size: size as f64,
            costs: vec![
                allocated_kb,
                snapshot.len() as f64 / 1e3,
                pull_us,
                restore_ms,
            ],
        }
    });
    let costs = [
        "KB of state",
        "KB of a snapshot",
        "µs of a pull",
        "ms of a restore",
    ];
    Slope::new("jobs", "open jobs in a shard", &costs, points.into())
}

/// Costs of one job from its submission to its last result, by its number of items.
pub(super) fn items() -> Slope {
    const SIZES: [u32; 5] = [10_000, 50_000, 150_000, 300_000, 630_000];
    let points = SIZES.map(|size| {
        let before = allocated_bytes();
        let mut shard = claimed_shard();
        let job = submit(1, size);
        let id = job.job;
        shard.apply(
            1,
            0,
            &Group {
                epoch: None,
                records: vec![Record::Submit(Box::new(job))],
            },
        );
        let mut queue = Queue::new(&shard);
        let (mut offset, mut log_bytes, mut peak_bytes) = (2, 0, 0);
        let mut elapsed = Duration::ZERO;
        loop {
            let began = Instant::now();
            let model = Name::from("assistant");
            let leases = queue.pull(Duration::ZERO, 0, &shard, &model, GROUP_SIZE as usize);
            if leases.is_empty() {
                break;
            }
            let finished = |lease| {
                let answer = Answer {
                    custom_id: "item".into(),
                    status: 200,
                    code: None,
                    body: "x".repeat(RESULT_BYTES),
                };
                (lease, End::Finished(answer))
            };
            let ends: Vec<_> = leases.into_iter().map(finished).collect();
            let record = |(lease, end)| queue.finish(&shard, lease, end, 3);
            let records: Vec<Record> = ends.into_iter().filter_map(record).collect();
            let group = Group {
                epoch: Some(shard.epoch()),
                records,
            };
            log_bytes += group.encode().len();
            for event in shard.apply(offset, 0, &group) {
                if let bitterncart_state::shard::Event::ItemFinished(key, item) = event {
                    queue.commit_end(key, item);
                }
            }
            elapsed += began.elapsed();
            offset += 1;
            peak_bytes = peak_bytes.max(allocated_bytes());
        }
        let ended = shard.job_by_id(id).is_some_and(|job| !job.is_open());
        assert!(ended, "the job is open after its last item");
        let item_count = f64::from(size);
        let costs = vec![
            peak_bytes.saturating_sub(before) as f64 / 1e6,
            shard.snapshot().len() as f64 / 1e3,
            microseconds(elapsed) / item_count,
            log_bytes as f64 / item_count,
        ];
        Point {
            size: item_count,
            costs,
        }
    });
    let costs = [
        "MB of state at most",
        "KB of a snapshot",
        "µs of an item",
        "bytes in the log of an item",
    ];
    Slope::new("items", "items of one job", &costs, points.into())
}

/// Time of one admission and size of the customer accounts, by the number of
/// customers.
pub(super) fn customers() -> Slope {
    const SIZES: [usize; 5] = [50, 100, 350, 700, 1400];
    const ADMISSIONS: u32 = 20_000;
    let points = SIZES.map(|size| {
        let before = allocated_bytes();
        let mut admission = Admission::default();
        let customers: Vec<document::Customer> = (0..size).map(customer).collect();
        admission.configure(Duration::ZERO, &customers, 400, 57);
        let began = Instant::now();
        for number in 0..ADMISSIONS {
            let customer = &customers[number as usize % size].name;
            if admission
                .admit(Duration::from_millis(number.into()), customer)
                .is_ok()
            {
                admission.finish(Duration::from_millis(number.into()), customer, 10);
            }
        }
        let admission_us = microseconds(began.elapsed()) / f64::from(ADMISSIONS);
        let allocated_kb = allocated_bytes().saturating_sub(before) as f64 / 1e3;
        Point {
            size: size as f64,
            costs: vec![admission_us, allocated_kb],
        }
    });
    Slope::new(
        "customers",
        "customers",
        &["µs of an admission", "KB of accounts"],
        points.into(),
    )
}

fn customer(number: usize) -> document::Customer {
    document::Customer {
        name: Name::from(format!("customer-{number}")),
        key_digest: hash::digest(&number.to_le_bytes()).into(),
        requests_per_s: 10_000,
        tokens_per_s: 1_000_000,
        concurrency: 1000,
    }
}

/// Time to parse a changed document and its size, by the number of customers.
pub(super) fn changes() -> Slope {
    const SIZES: [usize; 4] = [10, 100, 350, 700];
    const CHANGES: u32 = 5;
    let base = Document::parse(include_str!("../../../../examples/sunhaven.jsonc"));
    let base = base.expect("the example document is valid");
    let points = SIZES.map(|size| {
        let document = Document {
            customers: (0..size).map(customer).collect(),
            ..base.clone()
        };
        let text = serde_json::to_string(&document).unwrap_or_default();
        let began = Instant::now();
        for _ in 0..CHANGES {
            std::hint::black_box(Document::parse(&text).is_ok());
        }
        let ms = microseconds(began.elapsed()) / 1e3 / f64::from(CHANGES);
        Point {
            size: size as f64,
            costs: vec![ms, text.len() as f64 / 1e3],
        }
    });
    let costs = ["ms of reading a change", "KB of the document"];
    Slope::new(
        "changes",
        "customers in the document",
        &costs,
        points.into(),
    )
}
