//! Costs of recovering a shard and of grouping results.
//!
//! Recovery is measured from the whole stream and from a snapshot, by the
//! number of items of an open job. Grouping is measured as the throughput that
//! the append limit of the log allows and the cost of an item, by the number of
//! results in one append.

use std::time::Instant;

use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::record::{Answer, Chunk, Group, Reason, Record, Submit};
use bitterncart_protocol::{Name, id};
use bitterncart_state::Shard;

use super::{Point, Slope};

/// Limit of the log on appends, per second.
const APPENDS_PER_S: f64 = 300.0;

/// Size of the body of a result, in bytes.
const RESULT_BYTES: usize = 600;

/// Number of results in a group of a busy shard.
const GROUP_SIZE: u32 = 32;

const JOB: id::Job = id::Job {
    shard: id::Shard(0),
    hash: 1,
};

fn entry(offset: usize, epoch: Option<id::Epoch>, records: Vec<Record>) -> Entry {
    Entry {
        offset: offset as u64,
        at_ms: offset as u64,
        payload: Group { epoch, records }.encode(),
    }
}

fn done(item: u32) -> Record {
    Record::Done {
        job: JOB,
        item: id::Item(item),
        answer: Answer {
            custom_id: "item".into(),
            status: 200,
            code: None,
            body: "x".repeat(RESULT_BYTES),
        },
    }
}

fn submit(items: u32) -> Record {
    const CHUNK_LINES: u32 = 1000;
    let file = id::File {
        shard: id::Shard(0),
        hash: 0,
    };
    let chunk = |number| Chunk {
        shard: id::Shard(0),
        offset: u64::from(number),
        lines: CHUNK_LINES,
        at_ms: 0,
    };
    Record::Submit(Box::new(Submit {
        job: JOB,
        customer: Name::from("customer"),
        model: Name::from("model"),
        endpoint: "/v1/completions".into(),
        file,
        chunks: (0..items / CHUNK_LINES).map(chunk).collect(),
        due_ms: u64::MAX,
        keep_ms: u64::from(u32::MAX),
        at_ms: 0,
    }))
}

/// Stream of a shard with one job, the first half of whose items has ended, with
/// `group_size` results in each entry.
fn stream(items: u32, group_size: u32) -> Page {
    let claim = Record::Claim {
        daemon: "owner".into(),
        supersedes: id::Epoch::default(),
        reason: Reason::Vacant,
    };
    let mut entries = vec![
        entry(0, None, vec![claim]),
        entry(1, None, vec![submit(items)]),
    ];
    let ended: Vec<u32> = (0..items / 2).collect();
    for items in ended.chunks(group_size as usize) {
        let records = items.iter().map(|item| done(*item)).collect();
        entries.push(entry(entries.len(), Some(id::Epoch(1)), records));
    }
    Page {
        first: 0,
        next: entries.len() as u64,
        entries,
    }
}

/// Time to recover a shard with a large open job from its whole stream and from
/// its snapshot.
pub(super) fn recovery() -> Slope {
    const SIZES: [u32; 5] = [20_000, 60_000, 200_000, 400_000, 630_000];
    const MS_PER_S: f64 = 1e3;
    let points = SIZES.map(|items| {
        let page = stream(items, GROUP_SIZE);
        let mut shard = Shard::default();
        let began = Instant::now();
        shard.apply_page(&page);
        let fold_ms = began.elapsed().as_secs_f64() * MS_PER_S;
        let snapshot = shard.snapshot();
        let began = Instant::now();
        let restored = Shard::restore(&snapshot);
        let restore_ms = began.elapsed().as_secs_f64() * MS_PER_S;
        assert_eq!(
            restored.map(|shard| shard.open_items()),
            Some(shard.open_items())
        );
        Point {
            size: f64::from(items),
            costs: vec![fold_ms, restore_ms],
        }
    });
    Slope::new(
        "recovery",
        "items of a job, half of them open",
        &["ms from the whole stream", "ms from the snapshot"],
        points.into(),
    )
}

/// Items per second at the append limit of the log, and the cost of an item, by the
/// number of results in a group.
pub(super) fn groups() -> Slope {
    const SIZES: [u32; 5] = [1, 8, 32, 128, 512];
    const ITEMS: u32 = 20_000;
    let points = SIZES.map(|size| {
        let began = Instant::now();
        let page = stream(2 * ITEMS, size);
        Shard::default().apply_page(&page);
        let item_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(ITEMS);
        let bytes: usize = page.entries[2..].iter().map(|e| e.payload.len()).sum();
        let item_bytes = bytes as f64 / f64::from(ITEMS);
        let items_per_s = APPENDS_PER_S * f64::from(size);
        Point {
            size: f64::from(size),
            costs: vec![items_per_s, items_per_s * item_bytes / 1e6, item_us],
        }
    });
    Slope::new(
        "groups",
        "results in a group",
        &[
            "items a second at 300 appends",
            "MB a second in the log",
            "µs to encode and fold an item",
        ],
        points.into(),
    )
}
