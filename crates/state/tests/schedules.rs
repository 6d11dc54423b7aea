//! Randomized schedules of several ledger writers on one topic.
//!
//! Append responses get lost, appends take effect late and writers restart.
//! Each schedule is generated from a seed. To verify the checks themselves,
//! writers with a known defect must make them fail.

use std::collections::BTreeMap;

use bitterncart_state::ledger::{
    Decision, Item, Ledger, Op, Outcome, OutputPart, Record, Submission,
};
use bitterncart_testing::cases;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const WRITERS: usize = 3;
const JOBS: usize = 4;
const ITEMS: u32 = 3;
const STEPS: usize = 120;

/// Defect of the writers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defect {
    None,
    /// Appends at the end of the topic, whatever the ledger has applied.
    UnconditionalAppend,
    /// Treats an append without a response as failed.
    LostResponseIsFailure,
    /// Treats an append without a response as successful.
    LostResponseIsSuccess,
}

/// Append that takes effect later, if the topic still ends at the expected offset.
struct DelayedAppend {
    expected_end: u64,
    records: Vec<Record>,
}

#[derive(Default)]
struct World {
    topic: Vec<Record>,
    delayed: Vec<DelayedAppend>,
    /// Results that any writer has returned to a client, by job id and position.
    returned: BTreeMap<(String, usize), (u32, Outcome)>,
    /// Jobs reported to clients as accepted.
    accepted: Vec<String>,
    /// Jobs reported to clients as rejected.
    rejected: Vec<String>,
}

fn submission(id: &str) -> Submission {
    let item = |n: u32| Item {
        id: format!("{n}").into(),
        path: "/".into(),
        headers: Vec::new(),
        body: vec![0].into(),
        tokens: 1,
    };
    Submission {
        id: id.into(),
        host: "h".into(),
        path: "/".into(),
        submitted_ms: 0,
        items: (0..ITEMS).map(item).collect(),
        customer: None,
        terms: None,
    }
}

impl World {
    fn append(&mut self, expected_end: u64, records: &[Record]) -> bool {
        let is_at_end = expected_end == self.topic.len() as u64;
        if is_at_end {
            self.topic.extend_from_slice(records);
        }
        is_at_end
    }

    fn replay(&self, ledger: &mut Ledger) {
        for (offset, record) in self.topic.iter().enumerate() {
            ledger.apply(offset as u64, record);
        }
    }

    /// Ledger of a restarted writer, loaded from the newest records.
    fn restarted_ledger(&self) -> Ledger {
        let newest: BTreeMap<_, _> = self.topic.iter().map(|r| (&r.key, r)).collect();
        let mut ledger = Ledger::default();
        newest
            .into_values()
            .for_each(|record| ledger.apply_newest(record));
        ledger.set_next(self.topic.len() as u64);
        ledger
    }

    fn step(&mut self, ledgers: &mut [Ledger], random: &mut SmallRng, defect: Defect) {
        let writer = random.random_range(0..WRITERS);
        match random.random_range(0..10) {
            0 => ledgers[writer] = self.restarted_ledger(),
            1 | 2 => self.replay(&mut ledgers[writer]),
            3 if !self.delayed.is_empty() => {
                let delayed = self.delayed.swap_remove(0);
                self.append(delayed.expected_end, &delayed.records);
            }
            _ => self.write(&mut ledgers[writer], random, defect),
        }
        self.read_results(&ledgers[writer]);
    }

    fn write(&mut self, ledger: &mut Ledger, random: &mut SmallRng, defect: Defect) {
        let id = format!("job{}", random.random_range(0..JOBS));
        let item = random.random_range(0..ITEMS);
        let text = format!("t{}", random.random::<u8>());
        let op = match random.random_range(0..6) {
            0 => Op::Accept(submission(&id), None),
            1 => Op::RecordFailures(id.as_str().into(), item, 1),
            2 | 3 => {
                let after = ledger.job(&id).map_or(0, |job| job.stored_events(item));
                let part = OutputPart {
                    item,
                    after,
                    last_event_id: after + random.random_range(1..4),
                    text: text.as_str().into(),
                    build: None,
                };
                Op::RecordOutput(id.as_str().into(), part)
            }
            _ => Op::RecordResult(
                id.as_str().into(),
                item,
                Outcome::Completed(text.as_str().into()),
            ),
        };
        let plan = ledger.plan([&op]);
        let expected_end = match defect {
            Defect::UnconditionalAppend => self.topic.len() as u64,
            _ => ledger.next(),
        };
        let is_response_lost = random.random_ratio(1, 3);
        if is_response_lost {
            let records = plan.records;
            match random.random_range(0..2) {
                0 => drop(self.append(expected_end, &records)),
                _ => self.delayed.push(DelayedAppend {
                    expected_end,
                    records,
                }),
            }
        } else if self.append(expected_end, &plan.records) {
            self.replay(ledger);
        } else {
            return;
        }
        match (&op, plan.decisions[0], is_response_lost) {
            (Op::Accept(..), Decision::Planned, true)
                if defect == Defect::LostResponseIsFailure =>
            {
                self.rejected.push(id);
            }
            (Op::Accept(..), Decision::Planned, true)
                if defect == Defect::LostResponseIsSuccess =>
            {
                self.accepted.push(id);
            }
            (Op::Accept(..), Decision::Planned | Decision::Unchanged, false) => {
                self.accepted.push(id);
            }
            _ => {}
        }
    }

    /// Lets clients read all results of a writer; a result must not change between reads.
    fn read_results(&mut self, ledger: &Ledger) {
        for (_, job) in ledger.jobs() {
            for (position, item_result) in job.results.iter().enumerate() {
                let key = (job.submission.id.to_string(), position);
                let result = (item_result.item, item_result.end.clone());
                let before = self.returned.entry(key).or_insert_with(|| result.clone());
                assert_eq!(*before, result, "a result changed");
            }
        }
    }

    /// Output of an item that has no result, from the parts in the order of appends.
    fn stored_output(&self, id: &str, item: u32) -> Option<String> {
        let prefix = format!("p/{id}/{item:06}/");
        let records = self.topic.iter().filter(|r| r.key.starts_with(&prefix));
        let mut parts: Vec<OutputPart> = Vec::new();
        for record in records {
            match &record.value {
                Some(value) => parts.push(postcard::from_bytes(value).expect("a part")),
                None => parts.clear(),
            }
        }
        let texts: Vec<&str> = parts.iter().map(|part| &*part.text).collect();
        (!texts.is_empty()).then(|| texts.join("\n"))
    }

    fn check(&mut self) {
        for delayed in std::mem::take(&mut self.delayed) {
            self.append(delayed.expected_end, &delayed.records);
        }
        let ledger = self.restarted_ledger();
        self.read_results(&ledger);
        for id in &self.accepted {
            assert!(ledger.job(id).is_some(), "accepted job {id} is lost");
        }
        for id in &self.rejected {
            let is_accepted = self.accepted.contains(id);
            assert!(
                is_accepted || ledger.job(id).is_none(),
                "rejected job {id} was stored"
            );
        }
        for (_, job) in ledger.jobs() {
            let mut items: Vec<u32> = job.results.iter().map(|r| r.item).collect();
            items.sort_unstable();
            items.dedup();
            assert_eq!(items.len(), job.results.len(), "an item has two results");
        }
        for (_, job) in ledger.jobs() {
            let id = &job.submission.id;
            for item in 0..ITEMS {
                let stored = self.stored_output(id, item);
                let progress = job.progress.get(&item);
                assert_eq!(
                    progress.map(|p| p.output.as_str()),
                    stored.as_deref(),
                    "an output was not joined in the order of its parts"
                );
            }
        }
        let heads = self.topic.iter().filter(|r| r.key.starts_with("j/"));
        let mut keys: Vec<&str> = heads.map(|r| r.key.as_str()).collect();
        let count = keys.len();
        keys.sort_unstable();
        keys.dedup();
        assert_eq!(keys.len(), count, "a job was accepted twice");
    }
}

/// Runs schedules with consecutive seeds; panics if a guarantee is violated.
fn run(seed: u64, schedules: u64, defect: Defect) {
    for number in 0..schedules {
        let mut random = SmallRng::seed_from_u64(seed + number);
        let mut world = World::default();
        let mut ledgers: Vec<Ledger> = (0..WRITERS).map(|_| Ledger::default()).collect();
        for _ in 0..STEPS {
            world.step(&mut ledgers, &mut random, defect);
        }
        world.check();
    }
}

cases! {
    fn guarantees_hold(seed: u64, schedules: u64) {
        run(seed, schedules, Defect::None);
    }
    guarantees_hold_from_seed_1(1, 1000);
    guarantees_hold_from_seed_77000(77_000, 1000);
}

cases! {
    fn defect_is_detected(defect: Defect) {
        let outcome = std::panic::catch_unwind(|| run(1, 200, defect));
        assert!(outcome.is_err(), "{defect:?} was not detected");
    }
    unconditional_append_is_detected(Defect::UnconditionalAppend);
    lost_response_taken_as_failure_is_detected(Defect::LostResponseIsFailure);
    lost_response_taken_as_success_is_detected(Defect::LostResponseIsSuccess);
}
