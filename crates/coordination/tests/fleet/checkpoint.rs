//! Loss of daemons while items run: an item goes on from the stored output, and
//! the stored output never joins two runs.

use bitterncart_coordination::fleet::checkpoint::Output;
use bitterncart_state::ledger::{Item, Ledger, Op, Outcome, Submission};
use bitterncart_testing::cases;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const EVENTS: u64 = 24;

/// Ledger with one job of one item, whose plans are applied directly.
struct Log {
    ledger: Ledger,
    end: u64,
}

impl Log {
    fn new() -> Self {
        let item = Item {
            id: "i".into(),
            path: "/".into(),
            headers: Vec::new(),
            body: [0].into(),
            tokens: 1,
        };
        let submission = Submission {
            id: "job".into(),
            host: "h".into(),
            path: "/".into(),
            submitted_ms: 0,
            items: vec![item],
            customer: None,
            terms: None,
        };
        let mut log = Self {
            ledger: Ledger::default(),
            end: 0,
        };
        log.write(&Op::Accept(submission, None));
        log
    }

    fn write(&mut self, op: &Op) {
        for record in self.ledger.plan([op]).records {
            self.ledger.apply(self.end, &record);
            self.end += 1;
        }
    }

    fn checkpoint(&mut self, output: &Output) {
        let stored = self.ledger.job("job").and_then(|job| job.progress.get(&0));
        if let Some(part) = output.part_behind(0, stored) {
            self.write(&Op::RecordOutput("job".into(), part));
        }
    }

    fn resumed(&self) -> Output {
        let stored = self.ledger.job("job").and_then(|job| job.progress.get(&0));
        stored.map_or_else(Output::default, Output::resume)
    }
}

/// Output of a run with some events; each run produces data of its own.
fn run(run: &str, mut output: Output, events: u64) -> Output {
    for _ in 0..events {
        let id = output.last_event_id() + 1;
        output.push(&format!("{run}{id}"));
    }
    output
}

#[test]
fn item_goes_on_after_the_stored_output() {
    let mut log = Log::new();
    let lost = run("a", Output::default(), 5);
    log.checkpoint(&lost);
    // Not stored before the loss.
    drop(run("a", lost, 3));
    let mut output = log.resumed();
    assert_eq!(output.last_event_id(), 5);
    output = run("b", output, 2);
    log.checkpoint(&output);
    assert_eq!(log.resumed().text(), "a1\na2\na3\na4\na5\nb6\nb7");
    assert_eq!(output.text(), log.resumed().text());
}

cases! {
    /// The ledger has `stored` events of run `a`; another run has received more.
    fn parts_of_another_run_are_not_given(stored: u64, resumed: bool) {
        let mut log = Log::new();
        log.checkpoint(&run("a", Output::default(), stored));
        let before = if resumed { log.resumed() } else { Output::default() };
        log.checkpoint(&run("a", log.resumed(), 3));
        let other = run("b", before, 12);
        let stored = log.ledger.job("job").and_then(|job| job.progress.get(&0));
        assert_eq!(other.part_behind(0, stored), None);
    }
    run_from_the_start(4, false);
    run_resumed_at_the_same_event(4, true);
}

#[test]
fn checkpoint_without_new_events_stores_nothing() {
    let mut log = Log::new();
    log.checkpoint(&Output::default());
    let output = run("a", Output::default(), 3);
    log.checkpoint(&output);
    let end = log.end;
    log.checkpoint(&output);
    log.checkpoint(&log.resumed());
    assert_eq!(log.end, end);
}

/// Daemons run the item, lose it, take it over and run it twice, at random. Every
/// event of the result must follow the event with which its run was resumed.
#[test]
fn no_schedule_joins_two_runs() {
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log = Log::new();
        // Resume point and output of each run.
        let mut runs: Vec<(u64, Output)> = Vec::new();
        let mut started: Vec<u64> = Vec::new();
        for _ in 0..40 {
            match rng.random_range(0..6) {
                0 if runs.len() < 3 => {
                    let output = log.resumed();
                    started.push(output.last_event_id());
                    runs.push((started.len() as u64 - 1, output));
                }
                1 if !runs.is_empty() => {
                    runs.swap_remove(rng.random_range(0..runs.len()));
                }
                2 if !runs.is_empty() => {
                    let (_, output) = runs.choose(&mut rng).expect("a run");
                    log.checkpoint(output);
                }
                _ => {
                    let index = rng.random_range(0..runs.len().max(1));
                    if let Some((number, output)) = runs.get_mut(index)
                        && output.last_event_id() < EVENTS
                    {
                        *output = run(&format!("{number}:"), std::mem::take(output), 1);
                    }
                }
            }
            check(log.resumed().text(), &started, seed);
        }
        let end = Op::RecordResult("job".into(), 0, Outcome::GivenUp);
        log.write(&end);
        assert_eq!(log.resumed().last_event_id(), 0);
    }
}

fn check(text: &str, started: &[u64], seed: u64) {
    let mut last_run = None;
    for (line, expected) in text.lines().zip(1_u64..) {
        let (number, id) = line.split_once(':').expect("run and id");
        let number: usize = number.parse().expect("a run");
        assert_eq!(id.parse(), Ok(expected), "seed {seed}: {text}");
        if last_run != Some(number) {
            assert_eq!(started[number], expected - 1, "seed {seed}: {text}");
        }
        last_run = Some(number);
    }
}
