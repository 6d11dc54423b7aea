//! Costs of the decision layers on their own.

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

use super::machine::memory;
use super::{Point, Slope};

/// Bytes of UDP, IP and the packet's code around a membership packet.
const PACKET_HEAD_BYTES: usize = 28 + 16;

/// Bytes of a result's body.
const RESULT_BYTES: usize = 600;

/// Results in one group.
const GROUP: u32 = 100;

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

/// Membership: bytes and processor time a second of one daemon.
pub(super) fn peers() -> Slope {
    const SIZES: [usize; 5] = [12, 50, 100, 200, 400];
    let points = SIZES.map(|size| Point {
        size: size as f64,
        costs: fleet_of(size),
    });
    let costs = [
        "bytes/s of a daemon",
        "processor µs/s of a daemon",
        "s until all know of a death",
    ];
    Slope::new("peers", "daemons in the fleet", &costs, points.into())
}

fn fleet_of(size: usize) -> Vec<f64> {
    const STEP: Duration = Duration::from_millis(50);
    // The news of a start of the whole fleet takes this long to be spread.
    const SETTLE: Duration = Duration::from_secs(600);
    const MEASURE: Duration = Duration::from_secs(30);
    const DEATH: Duration = Duration::from_secs(60);
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
    let mut dead = None;
    let mut spent = Duration::ZERO;
    let mut measured = 0;
    loop {
        if now == SETTLE {
            (bytes, began) = (0, Instant::now());
        }
        if now == SETTLE + MEASURE {
            (spent, measured) = (began.elapsed(), bytes);
            dead = Some(0);
        }
        step(&mut fleet, &by_address, now, dead, &mut bytes);
        now += STEP;
        let known = dead.is_some_and(|dead| {
            let id = member(dead).daemon;
            (0..size)
                .filter(|at| *at != dead)
                .all(|at| !fleet[at].is_alive(&id))
        });
        if known || now > SETTLE + MEASURE + DEATH {
            break;
        }
    }
    let seconds = MEASURE.as_secs_f64() * size as f64;
    let until_known = now.saturating_sub(SETTLE + MEASURE).as_secs_f64();
    // Each packet is sent by one daemon and received by another.
    vec![
        2.0 * measured as f64 / seconds,
        microseconds(spent) / seconds,
        until_known,
    ]
}

fn step(
    fleet: &mut [Membership],
    by_address: &HashMap<SocketAddr, usize>,
    now: Duration,
    dead: Option<usize>,
    bytes: &mut usize,
) {
    let mut actions = Vec::new();
    for (at, membership) in fleet.iter_mut().enumerate() {
        if dead != Some(at) {
            actions.extend(membership.tick(now));
        }
    }
    while let Some(action) = actions.pop() {
        let Action::Send(to, packet) = action else {
            continue;
        };
        let size = postcard::to_stdvec(&*packet).map_or(0, |encoded| encoded.len());
        *bytes += size + PACKET_HEAD_BYTES;
        match by_address.get(&to) {
            Some(to) if dead != Some(*to) => actions.extend(fleet[*to].receive(now, &packet)),
            _ => {}
        }
    }
}

/// Routing: one choice among a model's replicas.
pub(super) fn replicas() -> Slope {
    const SIZES: [usize; 5] = [60, 150, 300, 450, 600];
    const CHOICES: u32 = 2000;
    let points = SIZES.map(|size| {
        let before = memory();
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
        for _ in 0..CHOICES {
            std::hint::black_box(routing.choose(Duration::ZERO, query));
        }
        let each = microseconds(began.elapsed()) / f64::from(CHOICES);
        let kb = memory().saturating_sub(before) as f64 / 1e3;
        Point {
            size: size as f64,
            costs: vec![each, kb],
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

fn claimed() -> Shard {
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
    let chunks = (0..items.div_ceil(CHUNK_LINES)).map(|at| Chunk {
        shard: id::Shard(0),
        offset: at.into(),
        lines: CHUNK_LINES.min(items - at * CHUNK_LINES),
        at_ms: 0,
    });
    Submit {
        job: id::Job {
            shard: id::Shard(0),
            hash: hash::parts(&[&number.to_le_bytes()]),
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

/// Open jobs of a shard: state, snapshot, one pull, recovery.
pub(super) fn jobs() -> Slope {
    const SIZES: [u64; 5] = [100, 500, 1000, 2000, 4000];
    const ITEMS: u32 = 444;
    let points = SIZES.map(|size| {
        let before = memory();
        let mut shard = claimed();
        let records = (0..size)
            .map(|n| Record::Submit(Box::new(submit(n, ITEMS))))
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
        let kb = memory().saturating_sub(before) as f64 / 1e3;
        let began = Instant::now();
        queue.pull(Duration::ZERO, 0, &shard, &Name::from("assistant"), 1);
        let pull = microseconds(began.elapsed());
        let snapshot = shard.snapshot();
        let began = Instant::now();
        std::hint::black_box(Shard::restore(&snapshot));
        let restore = microseconds(began.elapsed()) / 1e3;
        Point {
            size: size as f64,
            costs: vec![kb, snapshot.len() as f64 / 1e3, pull, restore],
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

/// Items of one job, from its submission to its last result.
pub(super) fn items() -> Slope {
    const SIZES: [u32; 5] = [10_000, 50_000, 150_000, 300_000, 630_000];
    let points = SIZES.map(|size| {
        let before = memory();
        let mut shard = claimed();
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
        let (mut offset, mut log_bytes, mut peak) = (2, 0, 0);
        let mut spent = Duration::ZERO;
        loop {
            let began = Instant::now();
            let model = Name::from("assistant");
            let leases = queue.pull(Duration::ZERO, 0, &shard, &model, GROUP as usize);
            if leases.is_empty() {
                break;
            }
            let end = |lease| {
                let answer = Answer {
                    custom_id: "item".into(),
                    status: 200,
                    code: None,
                    body: "x".repeat(RESULT_BYTES),
                };
                (lease, End::Finished(answer))
            };
            let ends: Vec<_> = leases.into_iter().map(end).collect();
            let finish = |(lease, end)| queue.finish(&shard, lease, end, 3);
            let records: Vec<Record> = ends.into_iter().filter_map(finish).collect();
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
            spent += began.elapsed();
            offset += 1;
            peak = peak.max(memory());
        }
        let ended = shard.job_by_id(id).is_some_and(|job| !job.is_open());
        assert!(ended, "all items end");
        let each = f64::from(size);
        let costs = vec![
            peak.saturating_sub(before) as f64 / 1e6,
            shard.snapshot().len() as f64 / 1e3,
            microseconds(spent) / each,
            log_bytes as f64 / each,
        ];
        Point { size: each, costs }
    });
    let costs = [
        "MB of state at most",
        "KB of a snapshot",
        "µs of an item",
        "bytes in the log of an item",
    ];
    Slope::new("items", "items of one job", &costs, points.into())
}

/// Limits: one admission among customers.
pub(super) fn customers() -> Slope {
    const SIZES: [usize; 5] = [50, 100, 350, 700, 1400];
    const ADMISSIONS: u32 = 20_000;
    let points = SIZES.map(|size| {
        let before = memory();
        let mut admission = Admission::default();
        let customers: Vec<document::Customer> = (0..size).map(customer).collect();
        admission.configure(Duration::ZERO, &customers, 400, 57);
        let began = Instant::now();
        for n in 0..ADMISSIONS {
            let customer = &customers[n as usize % size].name;
            if admission
                .admit(Duration::from_millis(n.into()), customer)
                .is_ok()
            {
                admission.finish(Duration::from_millis(n.into()), customer, 10);
            }
        }
        let each = microseconds(began.elapsed()) / f64::from(ADMISSIONS);
        let kb = memory().saturating_sub(before) as f64 / 1e3;
        Point {
            size: size as f64,
            costs: vec![each, kb],
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

/// Configuration: one change of a document with many customers.
pub(super) fn changes() -> Slope {
    const SIZES: [usize; 4] = [10, 100, 350, 700];
    const CHANGES: u32 = 5;
    let base = Document::parse(include_str!("../../../../examples/sunhaven.jsonc"));
    let base = base.expect("the example is valid");
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
