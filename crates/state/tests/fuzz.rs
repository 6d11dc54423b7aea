//! Odd records of a ledger partition: none panics or spoils another job.

use bitterncart_state::ledger::{Build, Item, Ledger, Op, Outcome, OutputPart, Record, Submission};
use bitterncart_testing::fuzz;
use bitterncart_testing::mutation::{damage, damages};
use proptest::prelude::any;

fn submission(id: &str) -> Submission {
    let item = |n: usize| Item {
        id: format!("item-{n}").into(),
        path: "/batch/run".into(),
        headers: vec![("model".into(), "m".into())],
        body: [1, 2, 3].into(),
        tokens: 940,
    };
    Submission {
        id: id.into(),
        host: "batch.example".into(),
        path: "/batch/".into(),
        submitted_ms: 1,
        items: (0..3).map(item).collect(),
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

/// Records of a job with the output, the failures and the result of an item, which is kept
/// apart: another result would break the order of results.
fn records(id: &str) -> (Vec<Record>, Record) {
    let mut ledger = Ledger::default();
    let part = OutputPart {
        item: 0,
        after: 0,
        last_event_id: 2,
        text: "a\nb".into(),
        build: Some(Build {
            service: "s".into(),
            version: "v1".into(),
        }),
    };
    let ops = [
        Op::Accept(submission(id), None),
        Op::RecordOutput(id.into(), part),
        Op::RecordFailures(id.into(), 1, 2),
        Op::RecordResult(id.into(), 2, Outcome::Completed("a\nb".into())),
    ];
    let records = ops.iter().flat_map(|op| apply(&mut ledger, op));
    let mut records: Vec<Record> = records.collect();
    let result = records.pop().expect("the result");
    (records, result)
}

fn damaged(record: &Record, damages: &[bitterncart_testing::mutation::Damage]) -> Record {
    let value = record.value.as_deref().unwrap_or_default();
    Record {
        key: record.key.clone(),
        value: Some(damage(value, damages)),
    }
}

#[test]
fn odd_records_leave_other_jobs_in_force() {
    let (sound, result) = records("odd");
    fuzz(
        &(any::<u8>(), damages(), damages(), any::<bool>()),
        |(chosen, one, other, is_page)| {
            let mut ledger = Ledger::default();
            let chosen = usize::from(chosen) % sound.len();
            for (n, record) in sound.iter().enumerate() {
                let odd = if n == chosen {
                    damaged(record, &one)
                } else {
                    record.clone()
                };
                if is_page {
                    ledger.apply_newest(&odd);
                } else {
                    ledger.apply(ledger.next(), &odd);
                }
            }
            ledger.apply(ledger.next(), &damaged(&result, &other));
            let _open = ledger.open_tokens("batch.example", "/batch/", None);
            apply(&mut ledger, &Op::Accept(submission("job"), None));
            for item in 0..3 {
                let end = Outcome::Completed("a".into());
                apply(&mut ledger, &Op::RecordResult("job".into(), item, end));
            }
            let job = ledger.job("job").expect("the job");
            assert_eq!((job.results.len(), job.is_open()), (3, false));
            apply(&mut ledger, &Op::Purge("odd".into()));
            assert!(ledger.job("job").is_some());
        },
    );
}
