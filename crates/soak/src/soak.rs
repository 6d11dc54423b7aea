//! A run: load, faults and checks.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::path::Path;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::client::{self, Log};
use crate::fleet::{self, Fleet};
use crate::jobs::{FINISH_TIME, Jobs};
use crate::plan::{self, Kind, Size};
use crate::runs::{self, Runs};
use crate::verdict::{Broken, Verdict};

/// Time from readiness to the load, in which shards get owners.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time of load before the first fault.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Time after the last fault in which all daemons have to be ready again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Interval of checks for the end of a phase.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Lines of logs that are shown for a broken promise.
const MAX_LINES: usize = 40;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Processes and folder.
    pub fleet: fleet::Options,
    /// Time of faults.
    pub length: Duration,
    /// Kinds of faults.
    pub kinds: Vec<Kind>,
    /// Clients that send requests at the same time.
    pub clients: usize,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Kinds of faults.
    pub faults: Vec<&'static str>,
    /// Steps of the plan.
    pub steps: usize,
    /// What was counted.
    pub counts: BTreeMap<String, u64>,
    /// Broken promises by name.
    pub broken: BTreeMap<&'static str, u64>,
    /// Broken promises, each with its id.
    pub cases: Vec<Broken>,
}

/// Plays a run.
///
/// # Errors
///
/// If it cannot run.
pub fn run(options: &Options) -> std::io::Result<Report> {
    let folder = &options.fleet.folder;
    fleet::clear(folder)?;
    let verdict = Verdict::create(folder)?;
    let seed = options.fleet.seed;
    let mut random = SmallRng::seed_from_u64(seed);
    let size = Size {
        daemons: options.fleet.daemons,
        replicas: options.fleet.replicas,
    };
    let plan = plan::draw(&options.kinds, size, options.length, &mut random);
    let fleet = Fleet::start(&options.fleet, &verdict)?;
    thread::sleep(SETTLING_TIME);
    let (log, jobs) = (Log::default(), Jobs::default());
    let [load_over, jobs_over, watch_over] = [const { AtomicBool::new(false) }; 3];
    thread::scope(|scope| {
        scope.spawn(|| fleet.watch(&watch_over));
        let clients = (0..options.clients).map(|_| {
            let random = SmallRng::from_rng(&mut random);
            scope.spawn(|| client::run(&fleet, &verdict, &log, &load_over, random))
        });
        let clients: Vec<_> = clients.collect();
        let submitting = SmallRng::from_rng(&mut random);
        let submitting =
            scope.spawn(|| jobs.submit_until(&fleet, &verdict, &load_over, submitting));
        let reading = SmallRng::from_rng(&mut random);
        scope.spawn(|| jobs.read_until(&fleet, &verdict, &jobs_over, reading));
        thread::sleep(CALM_TIME);
        play(&plan, options.length, &fleet, &verdict);
        for action in plan::repair(size) {
            action.run(&fleet);
        }
        verdict.note("all faults are over");
        let is_ready = || fleet.daemons.iter().all(fleet::Daemon::is_ready);
        if !wait(RECOVERY_TIME, is_ready) {
            let seen = format!("a daemon is not ready {RECOVERY_TIME:?} after the last fault");
            verdict.broken("ready again", "-", seen);
        }
        thread::sleep(CALM_TIME);
        load_over.store(true, Ordering::SeqCst);
        for client in clients {
            drop(client.join());
        }
        drop(submitting.join());
        // Items that end one after the other wait for a replica.
        let mut listed = 0;
        while !wait(FINISH_TIME, || jobs.are_finished()) && jobs.listed() > listed {
            listed = jobs.listed();
        }
        jobs_over.store(true, Ordering::SeqCst);
        watch_over.store(true, Ordering::SeqCst);
    });
    drop(fleet);
    let runs = runs::read(&folder.join("runs.txt"))?;
    check_requests(&verdict, &log, &jobs, &runs);
    if options.fleet.customers {
        check_customers(&verdict, &runs);
    }
    let is_planned = |kind: &Kind| *kind == Kind::StopDaemon;
    if options.kinds.iter().all(is_planned) {
        check_stops(&verdict, &log, &runs);
    }
    jobs.check(&verdict, &runs);
    let (counts, cases) = verdict.results();
    let mut broken = BTreeMap::new();
    for case in &cases {
        *broken.entry(case.promise).or_default() += 1;
    }
    let report = Report {
        seed,
        faults: options.kinds.iter().map(|kind| kind.name()).collect(),
        steps: plan.len(),
        counts,
        broken,
        cases,
    };
    explain(&report, folder, &runs);
    Ok(report)
}

/// Waits until something holds; `false` after `time`.
fn wait(time: Duration, holds: impl Fn() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    holds()
}

/// Carries out the actions of a plan at their times.
fn play(plan: &plan::Plan, length: Duration, fleet: &Fleet, verdict: &Verdict) {
    let started = Instant::now();
    for (at, action) in plan.iter().filter(|(at, _)| *at < length) {
        thread::sleep(at.saturating_sub(started.elapsed()));
        verdict.note(&format!("fault {action:?}"));
        action.run(fleet);
    }
    thread::sleep(length.saturating_sub(started.elapsed()));
}

/// Checks requests against the records of the replicas.
fn check_requests(verdict: &Verdict, log: &Log, jobs: &Jobs, runs: &HashMap<String, Runs>) {
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    let sent: HashMap<&str, &client::Sent> = log.iter().map(|s| (s.id.as_str(), s)).collect();
    for (id, runs) in runs {
        let Some(sent) = sent.get(id.as_str()) else {
            if runs.started > 0 && !jobs.has_item(id) {
                verdict.broken("own requests", id, "ran, and no client sent it".into());
            }
            continue;
        };
        if !sent.kind.runs_once() {
            continue;
        }
        if runs.started > 1 {
            let seen = format!("ran {} times", runs.started);
            verdict.broken("runs once", id, seen);
        }
        if let Some(status @ (429 | 503 | 408 | 421)) = sent.status
            && runs.started > 0
        {
            let seen = format!("answered {status}, and ran");
            verdict.broken("refused is not run", id, seen);
        }
    }
    for sent in log.iter().filter(|s| s.is_signed && s.status != Some(200)) {
        let failed = runs.get(&sent.id).map_or(0, |runs| runs.failed);
        if failed == 0 {
            let seen = format!("a signed {:?} that no replica gave", sent.status);
            verdict.broken("own failure", &sent.id, seen);
        }
    }
}

/// Checks that replicas get the name of the customer and no key.
fn check_customers(verdict: &Verdict, runs: &HashMap<String, Runs>) {
    for (id, runs) in runs {
        if runs.keys > 0 {
            verdict.broken("no key", id, "a replica got the key".into());
        }
        if runs.strangers > 0 {
            verdict.broken(
                "own customer",
                id,
                "a replica got no or another name".into(),
            );
        }
    }
}

/// Checks that requests which ran were answered, where all faults are planned stops.
fn check_stops(verdict: &Verdict, log: &Log, runs: &HashMap<String, Runs>) {
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    for sent in log.iter().filter(|sent| sent.is_cut) {
        if runs.get(&sent.id).is_some_and(|runs| runs.started > 0) {
            let seen = "ran, and was not answered in a planned stop".to_owned();
            verdict.broken("answered in a stop", &sent.id, seen);
        }
    }
}

/// Prints what replicas and daemons recorded about each broken promise.
fn explain(report: &Report, folder: &Path, runs: &HashMap<String, Runs>) {
    for case in &report.cases {
        println!("{} {}: {}", case.promise, case.id, case.seen);
        let lines = runs.get(&case.id).map_or(&[][..], |runs| &runs.lines);
        lines.iter().for_each(|line| println!("  replica: {line}"));
        let mut shown = 0;
        let files = fs::read_dir(folder).into_iter().flatten().flatten();
        for file in files {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with("daemon") {
                continue;
            }
            let text = fs::read_to_string(file.path()).unwrap_or_default();
            for line in text.lines().filter(|line| line.contains(&case.id)) {
                if shown < MAX_LINES {
                    println!("  {name}: {line}");
                }
                shown += 1;
            }
        }
    }
}
