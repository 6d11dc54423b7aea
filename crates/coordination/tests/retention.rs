//! Records are rewritten before the log expires them.

use std::time::Duration;

use bitterncart_coordination::retention::Rewrite;
use bitterncart_coordination::{Participant, Retention};
use bitterncart_protocol::log::{Entry, Page};
use bitterncart_protocol::record::{Answer, Chunk, Group, Reason, Record, Submit};
use bitterncart_protocol::{Name, id};
use bitterncart_state::Shard;
use bitterncart_testing::cases;

const RETENTION: Duration = Duration::from_secs(100);
const JOB: id::Job = id::Job {
    shard: id::Shard(0),
    hash: 1,
};

cases! {
    fn snapshot_is_due(written_ms: Option<u64>, entries: usize, due: bool) {
        let mut schedule = Retention::new(written_ms);
        schedule.read(entries);
        assert_eq!(schedule.is_snapshot_due(60_000, RETENTION), due);
    }
    empty_shard_needs_no_snapshot(None, 0, false);
    shard_without_snapshot_is_due(None, 1, true);
    recent_snapshot_is_not_due(Some(40_000), 3, false);
    old_snapshot_of_idle_shard_is_due(Some(35_000), 0, true);
    many_new_entries_are_due(Some(59_000), 500, true);
}

#[test]
fn schedule_continues_from_the_newest_snapshot() {
    let mut schedule = Retention::new(Some(0));
    schedule.read(7);
    schedule.written(10_000, 5);
    assert_eq!(schedule.entries(), 2);
    assert!(!schedule.is_snapshot_due(34_999, RETENTION));
    assert!(schedule.is_snapshot_due(35_000, RETENTION));
}

fn answer() -> Answer {
    Answer {
        custom_id: "item".into(),
        status: 200,
        code: None,
        body: String::new(),
    }
}

fn done(item: u32) -> Record {
    Record::Done {
        job: JOB,
        item: id::Item(item),
        answer: answer(),
    }
}

fn carry(from: u64) -> Record {
    Record::Carry {
        job: JOB,
        from,
        answers: vec![(id::Item(0), answer())],
    }
}

fn submit() -> Record {
    let file = id::File {
        shard: id::Shard(0),
        hash: 0,
    };
    let chunk = Chunk {
        shard: id::Shard(0),
        offset: 0,
        lines: 8,
        at_ms: 0,
    };
    Record::Submit(Box::new(Submit {
        job: JOB,
        customer: Name::from("customer"),
        model: Name::from("model"),
        endpoint: "/v1/completions".into(),
        file,
        chunks: vec![chunk],
        due_ms: 0,
        keep_ms: 1_000_000,
        at_ms: 0,
    }))
}

fn replay(groups: Vec<Vec<Record>>) -> Shard {
    let claim = Record::Claim {
        daemon: "daemon".into(),
        supersedes: id::Epoch::default(),
        reason: Reason::Vacant,
    };
    let unfenced = [vec![claim], vec![submit()]].map(|records| (None, records));
    let fenced = groups
        .into_iter()
        .map(|records| (Some(id::Epoch(1)), records));
    let entries = unfenced.into_iter().chain(fenced).enumerate();
    let entries: Vec<Entry> = entries
        .map(|(offset, (epoch, records))| Entry {
            offset: offset as u64,
            at_ms: offset as u64,
            payload: Group { epoch, records }.encode(),
        })
        .collect();
    let mut shard = Shard::default();
    shard.apply_page(&Page {
        first: 0,
        next: entries.len() as u64,
        entries,
    });
    shard
}

cases! {
    fn each_results_entry_is_listed_once(groups: Vec<Vec<Record>>, offsets: &[u64]) {
        let shard = replay(groups);
        let job = shard.job_by_id(JOB).expect("the job was submitted");
        let found: Vec<u64> = job.results.iter().map(|entry| entry.offset).collect();
        assert_eq!(found, offsets);
    }
    two_results_in_one_entry(vec![vec![done(0), done(1)]], &[2]);
    two_entries_carried_into_one(vec![vec![done(0)], vec![done(1)], vec![carry(2), carry(3)]], &[4]);
    new_and_carried_results_in_one_entry(vec![vec![done(0)], vec![done(1), carry(2)]], &[3]);
    entry_carried_twice(vec![vec![done(0)], vec![carry(2)], vec![carry(2)]], &[3]);
}

#[test]
fn old_results_and_input_of_open_jobs_are_due() {
    let shard = replay(vec![vec![done(0)]]);
    let due = Retention::due(&shard, 50_003, RETENTION);
    assert!(matches!(
        due[..],
        [Rewrite::Results(JOB, _), Rewrite::Input(JOB, 0, _)]
    ));
    assert!(Retention::due(&shard, 50_000, RETENTION).is_empty());
}

#[test]
fn carried_results_are_grouped_separately() {
    let shard = replay(vec![vec![done(0)]]);
    let page = Page {
        first: 0,
        next: shard.next(),
        entries: Vec::new(),
    };
    let mut participant = Participant::new("daemon".into(), shard);
    participant.apply(Duration::ZERO, &page);
    participant.push([done(1), carry(2), carry(3), done(2)]);
    let sizes: Vec<usize> = std::iter::from_fn(|| participant.take_group())
        .map(|group| group.records.len())
        .collect();
    assert_eq!(sizes, [1, 2, 1]);
}
