//! Tests of the ledger: each change takes effect once, with several writers,
//! lost append responses, and any order of loading the records.

use bitterncart_state::ledger::{
    Build, Decision, Item, Ledger, Limits, Op, Outcome, OutputPart, Quota, Record, Submission,
    Terms,
};
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
        customer: None,
        terms: None,
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
fn apply_ops(topic: &mut Topic, ledger: &mut Ledger, ops: &[Op]) -> Vec<Decision> {
    let plan = ledger.plan(ops);
    assert!(
        topic.append(ledger.next(), &plan.records),
        "the writer has applied all records"
    );
    topic.replay(ledger);
    plan.decisions
}

#[test]
fn job_submitted_to_two_writers_is_accepted_once() {
    let (mut topic, mut one, mut two) = (Topic::default(), Ledger::default(), Ledger::default());
    let conflicting = two.plan(&[accept("job", 3)]);
    assert_eq!(
        apply_ops(&mut topic, &mut one, &[accept("job", 3)]),
        [Decision::Planned]
    );
    assert!(
        !topic.append(0, &conflicting.records),
        "the topic no longer ends at the offset of the second append"
    );
    topic.replay(&mut two);
    assert_eq!(
        apply_ops(&mut topic, &mut two, &[accept("job", 3)]),
        [Decision::Unchanged]
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
        [Decision::Unchanged]
    );
}

/// Guards against a ledger that counts more or less memory than its jobs take, by which a daemon
/// accepts jobs without end, or none.
#[test]
fn memory_follows_the_jobs() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let output = |text: &str| Outcome::Completed(text.into());
    let groups: [&[Op]; 7] = [
        &[accept("a", 3), Op::Accept(submission("b", 2, 5000), None)],
        &[record_output(0, 0, 2, "x\ny")],
        &[record_output(0, 2, 3, "z")],
        &[Op::RecordResult("job".into(), 0, output("none"))],
        &[
            Op::RecordResult("a".into(), 0, output("whole")),
            Op::RecordResult("b".into(), 1, Outcome::GivenUp),
        ],
        &[Op::Cancel("b".into())],
        &[Op::Purge("b".into())],
    ];
    for ops in groups {
        apply_ops(&mut topic, &mut ledger, ops);
        let all: usize = ledger.jobs().map(|(_, job)| job.memory_bytes()).sum();
        assert!(all > 0);
        assert_eq!(ledger.memory_bytes(), all, "after {ops:?}");
        assert_eq!(
            restarted(&topic).memory_bytes(),
            all,
            "restarted after {ops:?}"
        );
    }
    apply_ops(&mut topic, &mut ledger, &[Op::Purge("a".into())]);
    assert_eq!(ledger.memory_bytes(), 0);
}

#[test]
fn results_keep_positions_and_items_get_one_result() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 3)]);
    let record_result =
        |n, text: &str| Op::RecordResult("job".into(), n, Outcome::Completed(text.into()));
    let decisions = apply_ops(
        &mut topic,
        &mut ledger,
        &[
            record_result(2, "c"),
            record_result(0, "a"),
            record_result(2, "x"),
        ],
    );
    assert_eq!(
        decisions,
        [Decision::Planned, Decision::Planned, Decision::Unchanged]
    );
    let decisions = apply_ops(
        &mut topic,
        &mut ledger,
        &[record_result(0, "again"), record_result(1, "b")],
    );
    assert_eq!(decisions, [Decision::Unchanged, Decision::Planned]);
    let job = ledger.job("job").expect("the job exists");
    let items: Vec<u32> = job.results.iter().map(|r| r.item).collect();
    assert_eq!(items, [2, 0, 1]);
    assert_eq!(job.results[0].end, Outcome::Completed("c".into()));
    assert!(!job.is_open());
}

/// Acceptance of a job with 300 tokens on a route with a quota of 1000.
fn accept_with_quota(id: &str, other_shards_tokens: u64) -> Op {
    let quota = Quota {
        max_tokens: 1000,
        other_shards_tokens,
        host: "batch.example".into(),
        prefix: "/batch/".into(),
        customer: None,
    };
    Op::Accept(submission(id, 3, 1), Some(quota))
}

#[test]
fn quota_includes_jobs_of_same_group_and_other_shards() {
    let ledger = Ledger::default();
    let plan = ledger.plan(&["a", "b", "c"].map(|id| accept_with_quota(id, 400)));
    assert_eq!(
        plan.decisions,
        [
            Decision::Planned,
            Decision::Planned,
            Decision::QuotaExceeded
        ]
    );
}

/// Guards against a quota overrun by concurrent operations that are split over several appends.
#[test]
fn quota_includes_jobs_of_previous_appends() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = ["a", "b", "c"].map(|id| accept_with_quota(id, 400));
    for (op, decision) in ops.iter().zip([
        Decision::Planned,
        Decision::Planned,
        Decision::QuotaExceeded,
    ]) {
        let decisions = apply_ops(&mut topic, &mut ledger, std::slice::from_ref(op));
        assert_eq!(decisions, [decision]);
    }
    // Items with a result no longer count towards the quota.
    let record_result = |n| Op::RecordResult("a".into(), n, Outcome::GivenUp);
    apply_ops(
        &mut topic,
        &mut ledger,
        &[record_result(0), record_result(1), record_result(2)],
    );
    assert_eq!(
        apply_ops(&mut topic, &mut ledger, &ops[2..]),
        [Decision::Planned]
    );
}

cases! {
    /// A starting daemon loads pages of the newest records and then applies the log from an
    /// offset, which may be lower than that of the pages.
    fn restart_restores_ledger(items: usize, body: usize, from: usize) {
        let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
        let op = Op::Accept(submission("job", items, body), None);
        apply_ops(&mut topic, &mut ledger, &[op]);
        let record_result = |n: usize| {
            Op::RecordResult("job".into(), n as u32, Outcome::Completed("t".into()))
        };
        let ops: Vec<Op> = (0..items - 1).map(record_result).collect();
        apply_ops(&mut topic, &mut ledger, &ops);
        let record_failures = Op::RecordFailures("job".into(), (items - 1) as u32, 2);
        apply_ops(&mut topic, &mut ledger, &[record_failures]);
        apply_ops(&mut topic, &mut ledger, &[Op::Cancel("job".into())]);

        let mut restarted = Ledger::default();
        for record in topic.newest() {
            restarted.apply_newest(&record);
        }
        restarted.set_next(from.min(topic.records.len()) as u64);
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

fn record_output(item: u32, after: u64, last_event_id: u64, text: &str) -> Op {
    record_output_of("1", item, (after, last_event_id), text)
}

/// Output between two events, which a version of the software wrote; an empty version
/// is not known.
fn record_output_of(version: &str, item: u32, (after, last): (u64, u64), text: &str) -> Op {
    let build = Build {
        service: "s".into(),
        version: version.into(),
    };
    let part = OutputPart {
        item,
        after,
        last_event_id: last,
        text: text.into(),
        build: (!version.is_empty()).then_some(build),
    };
    Op::RecordOutput("job".into(), part)
}

/// Ledger of a daemon that starts after the topic was written.
fn restarted(topic: &Topic) -> Ledger {
    let mut ledger = Ledger::default();
    for record in topic.newest() {
        ledger.apply_newest(&record);
    }
    ledger
}

/// All daemons are lost while items run: their outputs go on from the last part.
#[test]
fn output_of_unfinished_items_survives_the_loss_of_all_daemons() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 12)]);
    for n in 0..12 {
        let ops = [
            record_output(11, 9 * n, 9 * n + 9, &format!("t{n}")),
            record_output(2, n, n + 1, "x"),
        ];
        assert_eq!(
            apply_ops(&mut topic, &mut ledger, &ops),
            [Decision::Planned; 2]
        );
    }
    let mut restarted = restarted(&topic);
    topic.replay(&mut restarted);
    let job = restarted.job("job").expect("the job exists");
    assert_eq!(job.stored_events(11), 108);
    let expected: Vec<String> = (0..12).map(|n| format!("t{n}")).collect();
    assert_eq!(job.progress[&11].output, expected.join("\n"));
    assert_eq!(job.stored_events(2), 12);
    assert_eq!(job.stored_events(3), 0);
}

cases! {
    /// An item runs at two daemons; only parts of one run are joined.
    fn part_of_another_run_is_not_stored(after: u64, last_event_id: u64) {
        let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
        let ops = [accept("job", 2)];
        apply_ops(&mut topic, &mut ledger, &ops);
        let ops = [record_output(0, 0, 20, "a")];
        apply_ops(&mut topic, &mut ledger, &ops);
        let other = [record_output(0, after, last_event_id, "b")];
        assert_eq!(apply_ops(&mut topic, &mut ledger, &other), [Decision::Unchanged]);
        assert_eq!(ledger.job("job").expect("the job").progress[&0].output, "a");
    }
    part_of_a_run_from_the_start(0, 30);
    part_that_ends_earlier(0, 10);
    part_that_begins_inside(10, 30);
    part_that_leaves_a_gap(21, 30);
    part_without_events(20, 20);
}

cases! {
    /// An item has begun anew at another version, as the one that wrote its stored
    /// output is gone. Outputs of both are never joined.
    fn output_of_another_version(
        before: &str,
        part: (u64, u64),
        decision: Decision,
        expected: (&str, u64)
    ) {
        let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
        let ops = [accept("job", 2)];
        apply_ops(&mut topic, &mut ledger, &ops);
        for (part, text) in [((0, 10), "a"), ((10, 20), "b")] {
            let ops = [record_output_of(before, 0, part, text)];
            assert_eq!(apply_ops(&mut topic, &mut ledger, &ops), [Decision::Planned]);
        }
        let ops = [record_output_of("2", 0, part, "c")];
        assert_eq!(apply_ops(&mut topic, &mut ledger, &ops), [decision]);
        let mut restarted = restarted(&topic);
        topic.replay(&mut restarted);
        for ledger in [&ledger, &restarted] {
            let progress = &ledger.job("job").expect("the job").progress[&0];
            assert_eq!((progress.output.as_str(), progress.last_event_id), expected);
            let version = progress.build.as_ref().map_or("", |build| &build.version);
            assert_eq!(version, if expected.0 == "c" { "2" } else { before });
        }
    }
    longer_output_of_another_version_takes_its_place(
        "1",
        (0, 30),
        Decision::Planned,
        ("c", 30)
    );
    shorter_output_of_another_version_is_not_stored(
        "1",
        (0, 15),
        Decision::Unchanged,
        ("a\nb", 20)
    );
    part_of_another_version_is_not_joined("1", (20, 30), Decision::Unchanged, ("a\nb", 20));
    output_of_an_earlier_daemon_is_of_no_known_version(
        "",
        (20, 30),
        Decision::Unchanged,
        ("a\nb", 20)
    );
    output_of_an_earlier_daemon_is_replaced("", (0, 30), Decision::Planned, ("c", 30));
}

#[test]
fn one_part_of_a_group_is_stored() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 1)]);
    let ops = [record_output(0, 0, 5, "a"), record_output(0, 0, 7, "b")];
    let decisions = apply_ops(&mut topic, &mut ledger, &ops);
    assert_eq!(decisions, [Decision::Planned, Decision::Unchanged]);
}

cases! {
    /// The result replaces the stored parts, also those of the same append.
    fn ended_item_keeps_no_output(parts: u64, ending: &[Op], decision: Decision) {
        let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
        apply_ops(&mut topic, &mut ledger, &[accept("job", 1)]);
        for n in 0..parts {
            apply_ops(&mut topic, &mut ledger, &[record_output(0, n, n + 1, "t")]);
        }
        let decisions = apply_ops(&mut topic, &mut ledger, ending);
        assert_eq!(decisions.last(), Some(&decision));
        let job = ledger.job("job").expect("the job exists");
        assert!(job.progress.is_empty());
        assert!(topic.newest().iter().all(|r| !r.key.starts_with("p/")));
        assert!(restarted(&topic).job("job").expect("the job").progress.is_empty());
    }
    result_removes_earlier_parts(
        3,
        &[Op::RecordResult("job".into(), 0, Outcome::Completed("t".into()))],
        Decision::Planned
    );
    result_removes_a_part_of_the_same_append(
        1,
        &[record_output(0, 1, 2, "t"), Op::RecordResult("job".into(), 0, Outcome::GivenUp)],
        Decision::Planned
    );
    part_after_the_result_is_not_stored(
        1,
        &[Op::RecordResult("job".into(), 0, Outcome::GivenUp), record_output(0, 1, 2, "t")],
        Decision::Unchanged
    );
}

#[test]
fn cancelled_job_stores_no_output() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 1)]);
    apply_ops(&mut topic, &mut ledger, &[Op::Cancel("job".into())]);
    let ops = [record_output(0, 0, 5, "a")];
    assert_eq!(
        apply_ops(&mut topic, &mut ledger, &ops),
        [Decision::Unchanged]
    );
}

#[test]
fn deleted_job_leaves_no_records() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    apply_ops(&mut topic, &mut ledger, &[accept("job", 2)]);
    let record_result = Op::RecordResult("job".into(), 0, Outcome::GivenUp);
    apply_ops(
        &mut topic,
        &mut ledger,
        &[
            record_result,
            Op::RecordFailures("job".into(), 1, 1),
            record_output(1, 0, 5, "a"),
            Op::Cancel("job".into()),
        ],
    );
    apply_ops(&mut topic, &mut ledger, &[Op::Purge("job".into())]);
    assert!(ledger.job("job").is_none());
    assert_eq!(topic.newest(), []);
}

const LIMITS: Limits = Limits {
    record_bytes: 5_000,
    call_bytes: 10_000,
};

fn result(item: u32, bytes: usize) -> Op {
    let text = "x".repeat(bytes);
    Op::RecordResult("job".into(), item, Outcome::Completed(text.into()))
}

cases! {
    /// Plans cover all operations in order, each within the limits, and name those that
    /// never fit.
    fn plans_are_within_the_limits(sizes: &[usize], expected_plans: &[usize], expected_large: &[usize]) {
        let mut log = Topic::default();
        let mut ledger = Ledger::default();
        log.append(0, &ledger.plan([&accept("job", sizes.len())]).records);
        log.replay(&mut ledger);
        let ops: Vec<Op> = (0..).zip(sizes).map(|(n, size)| result(n, *size)).collect();
        let mut pending: Vec<&Op> = ops.iter().collect();
        let (mut plans, mut too_large) = (Vec::new(), Vec::new());
        while !pending.is_empty() {
            let plan = ledger.plan_within(&pending, &LIMITS);
            let size = |r: &Record| 5 + r.key.len() + r.value.as_ref().map_or(0, Vec::len);
            assert!(plan.records.iter().all(|r| size(r) <= LIMITS.record_bytes));
            assert!(plan.records.iter().map(size).sum::<usize>() <= LIMITS.call_bytes);
            let first = ops.len() - pending.len();
            let large = plan.decisions.iter().enumerate();
            let large = large.filter(|(_, decision)| **decision == Decision::TooLarge);
            too_large.extend(large.map(|(n, _)| first + n));
            plans.push(plan.decisions.len());
            pending.drain(..plan.decisions.len());
            assert!(log.append(ledger.next(), &plan.records));
            log.replay(&mut ledger);
        }
        assert_eq!(plans, expected_plans);
        assert_eq!(too_large, expected_large);
        let job = ledger.job("job").expect("a job");
        assert_eq!(job.results.len(), sizes.len() - expected_large.len());
    }
    all_fit(&[100, 100, 100], &[3], &[]);
    two_fit_in_a_call(&[4_900, 4_900, 4_900, 4_900, 4_900], &[2, 2, 1], &[]);
    small_ones_beside_large_ones(&[4_900, 200, 4_900, 200], &[2, 2], &[]);
    one_is_too_large(&[100, 5_000, 100], &[3], &[1]);
    all_are_too_large(&[5_000, 9_999, 20_000], &[3], &[0, 1, 2]);
    large_ones_around_a_split(&[4_900, 20_000, 4_900, 4_900, 20_000], &[3, 2], &[1, 4]);
}

/// A job is stored in one call, or not at all.
#[test]
fn job_beyond_a_call_is_too_large() {
    let ledger = Ledger::default();
    let large = Op::Accept(submission("large", 3, 4_000), None);
    let (small, again) = (accept("small", 1), accept("large", 1));
    let plan = ledger.plan_within(&[&large, &small, &again], &LIMITS);
    let expected = [Decision::TooLarge, Decision::Planned, Decision::Planned];
    assert_eq!(plan.decisions, expected);
    assert!(!plan.records.iter().any(|r| r.key == "b/large/1"));
}

/// Submission as earlier versions store it.
#[derive(serde::Serialize, serde::Deserialize)]
struct EarlierSubmission {
    id: String,
    host: String,
    path: String,
    submitted_ms: u64,
    items: Vec<bitterncart_state::ledger::Item>,
}

fn owned_submission(id: &str) -> Submission {
    Submission {
        customer: Some("acme".into()),
        ..submission(id, 3, 10)
    }
}

/// Guards against a job whose customer is lost with its daemon, and one that an earlier
/// version cannot read.
#[test]
fn customer_follows_the_fields_of_earlier_versions() {
    let mut topic = Topic::default();
    let mut ledger = Ledger::default();
    apply_ops(
        &mut topic,
        &mut ledger,
        &[Op::Accept(owned_submission("j"), None)],
    );
    let restarted = restarted(&topic);
    let job = restarted.job("j").expect("the job");
    assert_eq!(job.submission, owned_submission("j"));
    let part = topic
        .records
        .iter()
        .find(|r| r.key == "b/j/0")
        .expect("a part");
    let value = part.value.as_deref().expect("a value");
    let earlier: EarlierSubmission = postcard::from_bytes(value).expect("an earlier version");
    assert_eq!((earlier.id.as_str(), earlier.items.len()), ("j", 3));
}

/// Guards against a job of an earlier version that can no longer be read.
#[test]
fn job_of_an_earlier_version_has_no_customer() {
    let Submission {
        id,
        host,
        path,
        submitted_ms,
        items,
        ..
    } = submission("j", 2, 10);
    let earlier = EarlierSubmission {
        id: id.to_string(),
        host: host.to_string(),
        path: path.to_string(),
        submitted_ms,
        items,
    };
    let record = |key: &str, value: Vec<u8>| Record {
        key: key.into(),
        value: Some(value),
    };
    let mut ledger = Ledger::default();
    ledger.apply_newest(&record(
        "b/j/0",
        postcard::to_stdvec(&earlier).expect("a part"),
    ));
    ledger.apply_newest(&record("j/j", vec![1]));
    assert_eq!(
        ledger.job("j").expect("the job").submission,
        submission("j", 2, 10)
    );
}

/// Head of a job as earlier versions store it.
#[derive(serde::Deserialize)]
struct EarlierHead {
    parts: u32,
}

fn submission_with_terms() -> Submission {
    Submission {
        terms: Some(Terms {
            manifest_version: 7,
            give_up_ms: 300_000,
            is_public: true,
        }),
        ..submission("j", 2, 10)
    }
}

/// Guards against a job that loses what it keeps of its route with its daemon, and one that
/// an earlier version cannot read.
#[test]
fn terms_follow_the_head_of_earlier_versions() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = [Op::Accept(submission_with_terms(), None)];
    apply_ops(&mut topic, &mut ledger, &ops);
    for ledger in [&ledger, &restarted(&topic)] {
        let job = ledger.job("j").expect("the job");
        assert_eq!(job.submission, submission_with_terms());
    }
    let record = |key| topic.records.iter().find(|r| r.key == key);
    let value = |key| {
        record(key)
            .and_then(|r| r.value.as_deref())
            .expect("a value")
    };
    let head: EarlierHead = postcard::from_bytes(value("j/j")).expect("an earlier version");
    assert_eq!(head.parts, 1);
    let part: EarlierSubmission = postcard::from_bytes(value("b/j/0")).expect("a submission");
    assert_eq!((part.id.as_str(), part.items.len()), ("j", 2));
}

/// Guards against a job that is lost, as its terms cannot be read.
#[test]
fn job_with_odd_terms_is_one_without() {
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = [Op::Accept(submission_with_terms(), None)];
    apply_ops(&mut topic, &mut ledger, &ops);
    for record in topic.records.iter_mut().filter(|r| r.key == "j/j") {
        record.value = Some(vec![1, 0xff]);
    }
    let job = &restarted(&topic);
    let job = job.job("j").expect("the job");
    assert_eq!(job.submission, submission("j", 2, 10));
}

/// Guards against a customer that fills the queue of the others, within one group of appends
/// and over several.
#[test]
fn quota_of_a_customer_counts_its_jobs_alone() {
    let accept = |id: &str, customer: &str| {
        let quota = Quota {
            max_tokens: 600,
            other_shards_tokens: 0,
            host: "batch.example".into(),
            prefix: "/batch/".into(),
            customer: Some(customer.into()),
        };
        let submission = Submission {
            customer: Some(customer.into()),
            ..submission(id, 3, 1)
        };
        Op::Accept(submission, Some(quota))
    };
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = [
        accept("a1", "a"),
        accept("a2", "a"),
        accept("a3", "a"),
        accept("b1", "b"),
    ];
    let decisions = apply_ops(&mut topic, &mut ledger, &ops);
    let (planned, exceeded) = (Decision::Planned, Decision::QuotaExceeded);
    assert_eq!(decisions, [planned, planned, exceeded, planned]);
    let decisions = apply_ops(
        &mut topic,
        &mut ledger,
        &[accept("a4", "a"), accept("b2", "b")],
    );
    assert_eq!(decisions, [exceeded, planned]);
    let tokens = ledger.open_tokens_by_customer("batch.example", "/batch/");
    assert_eq!(tokens.into_values().collect::<Vec<_>>(), [600, 600]);
}

/// Guards against a customer that is told that its job was accepted although the id belongs to
/// another customer's.
#[test]
fn id_of_another_customers_job_is_refused() {
    let accept = |customer: Option<&str>| {
        let submission = Submission {
            customer: customer.map(Into::into),
            ..submission("j", 1, 1)
        };
        Op::Accept(submission, None)
    };
    let (mut topic, mut ledger) = (Topic::default(), Ledger::default());
    let ops = [accept(Some("a")), accept(Some("b")), accept(Some("a"))];
    let decisions = apply_ops(&mut topic, &mut ledger, &ops);
    let (planned, unchanged) = (Decision::Planned, Decision::Unchanged);
    assert_eq!(decisions, [planned, Decision::OtherCustomer, unchanged]);
    let decisions = apply_ops(
        &mut topic,
        &mut ledger,
        &[accept(Some("b")), accept(Some("a"))],
    );
    assert_eq!(decisions, [Decision::OtherCustomer, unchanged]);
}
