//! Tests of the ledger: each change takes effect once, with several writers,
//! lost append responses, and any order of loading the records.

use bitterncart_state::ledger::{End, Item, Ledger, Op, Quota, Record, Submission, Verdict};
use bitterncart_testing::cases;

fn submission(id: &str, items: usize, body: usize) -> Submission {
    let item = |n: usize| Item {
        id: format!("item-{n}").into(),
        path: "/batch/run".into(),
        headers: vec![("model".into(), "m".into())],
        body: vec![n as u8; body].into(),
        tokens: 100,
    };
    Submission {
        id: id.into(),
        host: "batch.example".into(),
        path: "/batch/".into(),
        submitted_ms: 1,
        items: (0..items).map(item).collect(),
    }
}

fn accept(id: &str, items: usize) -> Op {
    Op::Accept(submission(id, items, 10), None)
}

/// In-memory topic with conditional appends, like the store's.
#[derive(Default)]
struct Topic {
    records: Vec<Record>,
}

impl Topic {
    fn append(&mut self, expected_end: u64, records: &[Record]) -> bool {
        let is_at_end = expected_end == self.records.len() as u64;
        if is_at_end {
            self.records.extend_from_slice(records);
        }
        is_at_end
    }

    fn replay(&self, ledger: &mut Ledger) {
        for (offset, record) in self.records.iter().enumerate() {
            ledger.apply(offset as u64, record);
        }
    }

    /// Newest record of each key, without tombstones, in the order of keys.
    fn newest(&self) -> Vec<Record> {
        let mut newest = std::collections::BTreeMap::new();
        for record in &self.records {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.into_values().filter(|r| r.value.is_some()).collect()
    }
}

/// Plans and appends operations as one group, then applies the records.
fn apply_ops(topic: &mut Topic, ledger: &mut Ledger, ops: &[Op]) -> Vec<Verdict> {
    let plan = ledger.plan(ops);
    assert!(
        topic.append(ledger.next(), &plan.records),
        "the writer has applied all records"
    );
    topic.replay(ledger);
    plan.verdicts
}

#[test]
fn job_submitted_to_two_writers_is_accepted_once() {
    let (mut topic, mut one, mut two) = (Topic::default(), Ledger::default(), Ledger::default());
    let conflicting = two.plan(&[accept("job", 3)]);
    assert_eq!(
        apply_ops(&mut topic, &mut one, &[accept("job", 3)]),
        [Verdict::Done]
    );
    assert!(
        !topic.append(0, &conflicting.records),
        "the topic no longer ends at the offset of the second append"
    );
    topic.replay(&mut two);
    assert_eq!(
        apply_ops(&mut topic, &mut two, &[accept("job", 3)]),
        [Verdict::Already]
    );
    assert_eq!(two.jobs().count(), 1);
}

#[test]
fn retried_append_with_lost_response_accepts_job_once() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let plan = ledger.plan(&[accept("job", 2)]);
    // The response is lost and the writer repeats the same append. Whichever request arrives
    // first takes effect; the other one fails.
    assert!(topic.append(0, &plan.records));
    assert!(!topic.append(0, &plan.records));
    topic.replay(&mut ledger);
    assert_eq!(
        apply_ops(&mut topic, &mut ledger, &[accept("job", 2)]),
        [Verdict::Already]
    );
}

#[test]
fn results_keep_positions_and_items_get_one_result() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 3)]);
    let finish = |n, text: &str| Op::Finish("job".into(), n, End::Completed(text.into()));
    let verdicts = apply_ops(
        &mut topic,
        &mut ledger,
        &[finish(2, "c"), finish(0, "a"), finish(2, "x")],
    );
    assert_eq!(verdicts, [Verdict::Done, Verdict::Done, Verdict::Already]);
    let verdicts = apply_ops(
        &mut topic,
        &mut ledger,
        &[finish(0, "again"), finish(1, "b")],
    );
    assert_eq!(verdicts, [Verdict::Already, Verdict::Done]);
    let job = ledger.job("job").expect("the job exists");
    let items: Vec<u32> = job.results.iter().map(|r| r.item).collect();
    assert_eq!(items, [2, 0, 1]);
    assert_eq!(job.results[0].end, End::Completed("c".into()));
    assert!(!job.is_open());
}

/// Acceptance of a job with 300 tokens on a route with a quota of 1000.
fn accept_with_quota(id: &str, elsewhere: u64) -> Op {
    let quota = Quota {
        max_tokens: 1000,
        elsewhere,
        host: "batch.example".into(),
        prefix: "/batch/".into(),
    };
    Op::Accept(submission(id, 3, 1), Some(quota))
}

#[test]
fn quota_includes_jobs_of_same_group_and_other_shards() {
    let ledger = Ledger::default();
    let plan = ledger.plan(&["a", "b", "c"].map(|id| accept_with_quota(id, 400)));
    assert_eq!(plan.verdicts, [Verdict::Done, Verdict::Done, Verdict::Full]);
}

/// Guards against a quota overrun by concurrent operations that are split over several appends.
#[test]
fn quota_includes_jobs_of_previous_appends() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = ["a", "b", "c"].map(|id| accept_with_quota(id, 400));
    for (op, verdict) in ops
        .iter()
        .zip([Verdict::Done, Verdict::Done, Verdict::Full])
    {
        let verdicts = apply_ops(&mut topic, &mut ledger, std::slice::from_ref(op));
        assert_eq!(verdicts, [verdict]);
    }
    // Items with a result no longer count towards the quota.
    let finish = |n| Op::Finish("a".into(), n, End::GivenUp);
    apply_ops(&mut topic, &mut ledger, &[finish(0), finish(1), finish(2)]);
    assert_eq!(
        apply_ops(&mut topic, &mut ledger, &ops[2..]),
        [Verdict::Done]
    );
}

cases! {
    /// A starting daemon loads pages of the newest records and then applies the log from an
    /// offset, which may be lower than that of the pages.
    fn restart_restores_ledger(items: usize, body: usize, from: usize) {
        let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
        let op = Op::Accept(submission("job", items, body), None);
        apply_ops(&mut topic, &mut ledger, &[op]);
        let finish = |n: usize| Op::Finish("job".into(), n as u32, End::Completed("t".into()));
        let ops: Vec<Op> = (0..items - 1).map(finish).collect();
        apply_ops(&mut topic, &mut ledger, &ops);
        apply_ops(&mut topic, &mut ledger, &[Op::Fail("job".into(), (items - 1) as u32, 2)]);
        apply_ops(&mut topic, &mut ledger, &[Op::Cancel("job".into())]);

        let mut restarted = Ledger::default();
        for record in topic.newest() {
            restarted.load(&record);
        }
        restarted.start_at(from.min(topic.records.len()) as u64);
        topic.replay(&mut restarted);
        let old = ledger.job("job").expect("the job exists before the restart");
        let new = restarted.job("job").expect("the job exists after the restart");
        assert_eq!(old.results, new.results);
        assert_eq!(old.failures, new.failures);
        assert_eq!(old.submission, new.submission);
        assert!(new.cancelled);
        assert_eq!(ledger.next(), restarted.next());
    }
    restart_with_small_job(2, 10, usize::MAX);
    restart_with_more_than_ten_results(40, 10, usize::MAX);
    restart_with_records_read_twice(12, 10, 1);
    restart_with_submission_in_several_parts(3, 150_000, usize::MAX);
}

#[test]
fn deleted_job_leaves_no_records() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 2)]);
    let finish = Op::Finish("job".into(), 0, End::GivenUp);
    apply_ops(
        &mut topic,
        &mut ledger,
        &[
            finish,
            Op::Fail("job".into(), 1, 1),
            Op::Cancel("job".into()),
        ],
    );
    apply_ops(&mut topic, &mut ledger, &[Op::Forget("job".into())]);
    assert!(ledger.job("job").is_none());
    assert_eq!(topic.newest(), []);
}
