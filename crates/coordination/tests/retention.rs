//! What is written again before the log drops it, and when.

use std::time::Duration;

use bitterncart_coordination::retention::Due;
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
        let mut age = Retention::new(written_ms);
        age.read(entries);
        assert_eq!(age.is_snapshot_due(60_000, RETENTION), due);
    }
    nothing_to_keep(None, 0, false);
    never_written(None, 1, true);
    fresh(Some(40_000), 3, false);
    idle_and_old(Some(35_000), 0, true);
    many_entries(Some(59_000), 500, true);
}

#[test]
fn new_owner_goes_on_from_the_age_of_the_snapshot() {
    let mut age = Retention::new(Some(0));
    age.read(7);
    age.written(10_000, 5);
    assert_eq!(age.entries(), 2);
    assert!(!age.is_snapshot_due(34_999, RETENTION));
    assert!(age.is_snapshot_due(35_000, RETENTION));
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

fn fold(groups: Vec<Vec<Record>>) -> Shard {
    let claim = Record::Claim {
        daemon: "daemon".into(),
        supersedes: id::Epoch::default(),
        reason: Reason::Vacant,
    };
    let open = [vec![claim], vec![submit()]].map(|records| (None, records));
    let owned = groups
        .into_iter()
        .map(|records| (Some(id::Epoch(1)), records));
    let entries = open.into_iter().chain(owned).enumerate();
    let entries: Vec<Entry> = entries
        .map(|(offset, (epoch, records))| Entry {
            offset: offset as u64,
            at_ms: offset as u64,
            payload: Group { epoch, records }.encode(),
        })
        .collect();
    let mut shard = Shard::default();
    shard.read(&Page {
        first: 0,
        next: entries.len() as u64,
        entries,
    });
    shard
}

cases! {
    fn entry_is_listed_once(groups: Vec<Vec<Record>>, places: &[u64]) {
        let shard = fold(groups);
        let job = shard.find(JOB).expect("the job was submitted");
        let found: Vec<u64> = job.results.iter().map(|place| place.offset).collect();
        assert_eq!(found, places);
    }
    two_results(vec![vec![done(0), done(1)]], &[2]);
    two_carried(vec![vec![done(0)], vec![done(1)], vec![carry(2), carry(3)]], &[4]);
    result_and_carried(vec![vec![done(0)], vec![done(1), carry(2)]], &[3]);
    carried_twice(vec![vec![done(0)], vec![carry(2)], vec![carry(2)]], &[3]);
}

#[test]
fn old_results_and_the_input_of_open_jobs_are_due() {
    let shard = fold(vec![vec![done(0)]]);
    let due = Retention::due(&shard, 50_003, RETENTION);
    assert!(matches!(
        due[..],
        [Due::Results(JOB, _), Due::Input(JOB, 0, _)]
    ));
    assert!(Retention::due(&shard, 50_000, RETENTION).is_empty());
}

#[test]
fn carried_results_have_groups_of_their_own() {
    let shard = fold(vec![vec![done(0)]]);
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
