//! Records of a ledger partition that cannot be decoded.

use bitterncart_state::ledger::{Item, Ledger, Op, Outcome, OutputPart, Quota, Record, Submission};
use bitterncart_testing::cases;

const JOB: &str = "job";

fn submission(id: &str, tokens: u64) -> Submission {
    let item = |n: usize| Item {
        id: format!("item-{n}").into(),
        path: "/batch/run".into(),
        headers: Vec::new(),
        body: [1, 2, 3].into(),
        tokens,
    };
    Submission {
        id: id.into(),
        host: "batch.example".into(),
        path: "/batch/".into(),
        submitted_ms: 1,
        items: (0..2).map(item).collect(),
        customer: None,
        terms: None,
    }
}

fn apply(ledger: &mut Ledger, op: &Op) -> Vec<Record> {
    let plan = ledger.plan([op]);
    for record in &plan.records {
        ledger.apply(ledger.next(), record);
    }
    plan.records
}

/// Ledger with one job of two items, and its records.
fn ledger() -> (Ledger, Vec<Record>) {
    let mut ledger = Ledger::default();
    let records = apply(&mut ledger, &Op::Accept(submission(JOB, 5), None));
    (ledger, records)
}

fn odd(key: &str, value: &[u8]) -> Record {
    Record {
        key: key.into(),
        value: Some(value.to_vec()),
    }
}

cases! {
    /// Guards against a daemon that ends each time that it loads the shard.
    fn odd_record_leaves_the_job_in_force(key: &str, value: &[u8]) {
        let (mut ledger, _) = ledger();
        ledger.apply(ledger.next(), &odd(key, value));
        assert_eq!(ledger.invalid_records(), 1);
        let ends = [Outcome::Completed("one".into()), Outcome::GivenUp];
        for (item, end) in (0..).zip(ends) {
            apply(&mut ledger, &Op::RecordResult(JOB.into(), item, end));
        }
        let job = ledger.job(JOB).expect("the job");
        assert_eq!((job.results.len(), job.is_open()), (2, false));
    }
    empty_result_is_ignored("r/job/0", &[]);
    result_that_is_cut_off_is_ignored("r/job/0", &[0, 0, 9, b'x']);
    result_that_is_not_utf8_is_ignored("r/job/0", &[0, 0, 1, 0xff]);
    result_of_an_item_out_of_range_is_ignored("r/job/0", &[2, 1]);
    result_of_an_endless_item_is_ignored("r/job/0", &[0xff, 0xff, 0xff, 0xff, 0x0f, 1]);
    result_without_position_is_ignored("r/job/first", &[0, 1]);
    empty_output_is_ignored("p/job/0/0", &[]);
    output_with_an_endless_event_id_is_ignored(
        "p/job/0/0",
        &[0, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1, b'x'],
    );
    output_of_an_item_out_of_range_is_ignored("p/job/7/0", &[7, 0, 1, 1, b'x']);
    failures_of_no_item_are_ignored("f/job/first", &[3]);
    empty_failures_are_ignored("f/job/0", &[]);
}

cases! {
    fn odd_submission_is_ignored(records: &[Record]) {
        let (mut ledger, _) = ledger();
        for record in records {
            ledger.apply(ledger.next(), record);
        }
        assert_eq!(ledger.invalid_records(), 1);
        assert!(ledger.job("odd").is_none());
        assert!(ledger.job(JOB).is_some());
        assert_eq!(ledger.jobs().count(), 1);
    }
    submission_that_cannot_be_decoded_is_ignored(&[odd("b/odd/0", &[0xff; 9]), odd("j/odd", &[1])]);
    submission_without_parts_is_ignored(&[odd("j/odd", &[0])]);
    head_that_cannot_be_decoded_is_ignored(&[odd("j/odd", &[])]);
    submission_under_another_id_is_ignored(&under_id("odd"));
}

/// Records of the job under another id.
fn under_id(id: &str) -> Vec<Record> {
    let (_, records) = ledger();
    let rename = |record: Record| Record {
        key: record.key.replace(JOB, id).into(),
        ..record
    };
    records.into_iter().map(rename).collect()
}

/// Guards against a head that makes the ledger list the keys of all its parts.
#[test]
fn submission_of_endless_parts_waits_for_them() {
    let (mut ledger, _) = ledger();
    ledger.apply(
        ledger.next(),
        &odd("j/odd", &[0xff, 0xff, 0xff, 0xff, 0x0f]),
    );
    assert!(ledger.job("odd").is_none());
}

#[test]
fn record_at_the_last_offset_is_applied() {
    let mut ledger = Ledger::default();
    ledger.set_next(u64::MAX);
    ledger.apply(u64::MAX, &odd("x", &[1]));
    assert_eq!(ledger.next(), u64::MAX);
}

/// Guards against a sum that overflows, and so fits into the quota.
#[test]
fn endless_tokens_exceed_the_quota() {
    let mut ledger = Ledger::default();
    apply(&mut ledger, &Op::Accept(submission("one", u64::MAX), None));
    assert_eq!(
        ledger.open_tokens("batch.example", "/batch/", None),
        u64::MAX
    );
    let quota = Quota {
        max_tokens: 100,
        other_shards_tokens: u64::MAX,
        host: "batch.example".into(),
        prefix: "/batch/".into(),
        customer: None,
    };
    let records = apply(
        &mut ledger,
        &Op::Accept(submission("two", u64::MAX), Some(quota)),
    );
    assert!(records.is_empty());
}

/// Other versions may write records of other kinds.
#[test]
fn unknown_kind_is_not_invalid() {
    let (mut ledger, _) = ledger();
    ledger.apply(ledger.next(), &odd("x/job/0", &[1]));
    assert_eq!(ledger.invalid_records(), 0);
    assert!(ledger.job(JOB).is_some());
}

#[test]
fn sound_output_is_kept() {
    let (mut ledger, _) = ledger();
    let part = OutputPart {
        item: 0,
        after: 0,
        last_event_id: 2,
        text: "a\nb".into(),
        build: None,
    };
    apply(&mut ledger, &Op::RecordOutput(JOB.into(), part));
    assert_eq!(ledger.job(JOB).map(|job| job.stored_events(0)), Some(2));
    assert_eq!(ledger.invalid_records(), 0);
}
