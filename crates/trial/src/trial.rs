//! One trial: load, faults, and the comparison at the end.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bitterncart_state::invariant;

use crate::chaos::{self, Level};
use crate::jobs::{Sender, Totals};
use crate::online::{self, Shared};
use crate::report::Report;
use crate::site::Site;

/// Time after the load in which accepted work may still finish.
const GRACE: Duration = Duration::from_secs(40);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(200);

/// Threads of the callers.
const CALLER_THREADS: usize = 2;

/// Trial of a document.
///
/// ```no_run
/// use bitterncart_trial::Trial;
///
/// let text = std::fs::read_to_string("examples/sunhaven.jsonc").unwrap();
/// let report = Trial::new(text).seconds(5).seed(7).run().unwrap();
/// assert!(report.is_clean());
/// ```
#[derive(Clone, Debug)]
pub struct Trial {
    text: String,
    seconds: u64,
    seed: u64,
    level: Level,
    items: u32,
    progress: bool,
}

impl Trial {
    /// Trial of a document's text.
    #[must_use]
    pub fn new(text: String) -> Self {
        Self {
            text,
            seconds: 10,
            seed: 1,
            level: Level::None,
            items: 400,
            progress: false,
        }
    }

    /// Sets the length of the load.
    #[must_use]
    pub fn seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the seed of load and faults.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the faults.
    #[must_use]
    pub fn faults(mut self, level: Level) -> Self {
        self.level = level;
        self
    }

    /// Sets the items of the larger job.
    #[must_use]
    pub fn items(mut self, items: u32) -> Self {
        self.items = items;
        self
    }

    /// Shows progress on standard output.
    #[must_use]
    pub fn progress(mut self, progress: bool) -> Self {
        self.progress = progress;
        self
    }

    /// Runs the trial.
    ///
    /// # Errors
    ///
    /// What is wrong with the document or could not be started.
    pub fn run(&self) -> Result<Report, String> {
        let site = Arc::new(Site::start(&self.text, 1)?);
        self.say("the deployment is ready");
        let started = Instant::now();
        let length = Duration::from_secs(self.seconds);
        let held = Shared::default();
        let callers = Callers::start(&site, &held, self.seed, length);
        let reverted = Watch::start(&site);
        let batch = self.start_batch(&site, started + length + GRACE);
        chaos::run(&site, self.level, self.seed, started + length, |text| {
            self.say(text);
        });
        while started.elapsed() < length {
            thread::sleep(LOOK);
        }
        self.say("the load has ended; accepted work finishes");
        let batch = batch
            .join()
            .map_err(|_| "the batch callers panicked".to_owned())?;
        callers.finish();
        let mut report = self.compare(&site, &held, &batch);
        report.config_reverted = reverted.finish();
        Ok(report)
    }

    fn say(&self, text: &str) {
        if self.progress {
            println!("{text}");
        }
    }

    fn start_batch(&self, site: &Arc<Site>, until: Instant) -> JoinHandle<Batch> {
        let mut sender = Sender::new(Arc::clone(site), self.seed, until);
        let (seed, items) = (self.seed, self.items);
        thread::spawn(move || smol::block_on(batch(&mut sender, seed, items, until)))
    }

    fn compare(&self, site: &Site, held: &Shared, batch: &Batch) -> Report {
        let held = online::lock(held);
        let runs = site.service_runs();
        let started = site.started_prompts();
        let prompts = held
            .not_run
            .iter()
            .filter(|prompt| started.contains(*prompt))
            .count();
        let calls = held
            .calls_not_run
            .iter()
            .filter(|call| runs.contains_key(*call))
            .count();
        let Batch {
            totals,
            split_jobs,
            seconds,
        } = batch;
        let mut counters = std::collections::BTreeMap::new();
        for entry in site.entries().iter() {
            let view = entry
                .daemon
                .as_ref()
                .map(|d| d.core.counters.snapshot())
                .unwrap_or_default();
            for (name, value) in view {
                *counters.entry(name).or_default() += value;
            }
        }
        Report {
            environment: site.document.environment.as_str().into(),
            seed: self.seed,
            online_sent: held.sent,
            online_ok: held.ok,
            online_refused: held.refused,
            online_lost: held.lost,
            online_wrong: held.wrong,
            ttft_ms_p50: held.first.ms(0.5),
            ttft_ms_p95: held.first.ms(0.95),
            ttft_ms_p99: held.first.ms(0.99),
            itl_ms_p95: held.gaps.ms(0.95),
            batch_accepted: totals.accepted,
            batch_finished: totals.finished,
            batch_failed: totals.failed,
            batch_owed: totals.owed,
            batch_cancelled: totals.cancelled,
            batch_lost: totals.lost,
            batch_doubled: totals.doubled + split_jobs,
            batch_wrong: totals.wrong,
            batch_items_per_s: totals.finished as f64 / seconds.max(f64::EPSILON),
            once_sent: held.calls,
            once_ok: held.calls_ok,
            once_ran_twice: runs.values().filter(|count| **count > 1).count() as u64,
            refused_but_ran: (prompts + calls) as u64,
            config_reverted: 0,
            invariant_checks: invariant::checks(),
            log_appends_busiest_s: site.log.totals().busiest,
            refusals: held.refusals.clone(),
            counters,
        }
    }
}

/// What the batch callers hold at the end.
struct Batch {
    totals: Totals,
    /// Jobs that were sent again and became two.
    split_jobs: u64,
    seconds: f64,
}

async fn batch(sender: &mut Sender, seed: u64, items: u32, until: Instant) -> Batch {
    let began = Instant::now();
    let mut jobs = vec![
        sender.plan(&format!("large-{seed}"), items, 3, false),
        sender.plan(&format!("small-{seed}"), items / 4, 0, false),
        sender.plan(&format!("cancelled-{seed}"), items, 0, true),
    ];
    let mut split_jobs = 0;
    let mut accepted = Vec::new();
    for mut job in jobs.drain(..) {
        if let Some(one) = sender.submit(&mut job).await {
            split_jobs += u64::from(!one);
            if job.cancel {
                sender.cancel(&job).await;
            }
            accepted.push(job);
        }
    }
    let ended = |status: &str| status != "in_progress";
    for job in &accepted {
        // The last seconds are for reading the results.
        while Instant::now() + GRACE / 4 < until {
            if sender
                .status(job)
                .await
                .is_some_and(|batch| ended(&batch.status))
            {
                break;
            }
            smol::Timer::after(LOOK).await;
        }
    }
    let seconds = began.elapsed().as_secs_f64();
    let mut totals = Totals::default();
    for job in &accepted {
        sender.check(job, &mut totals).await;
    }
    Batch {
        totals,
        split_jobs,
        seconds,
    }
}

/// Threads of the online callers.
struct Callers {
    executor: Arc<smol::Executor<'static>>,
    generators: Vec<smol::Task<()>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn start(site: &Arc<Site>, held: &Shared, seed: u64, length: Duration) -> Self {
        let executor = Arc::new(smol::Executor::new());
        let of = || (Arc::clone(site), Arc::clone(&executor), Arc::clone(held));
        let (a, b, c) = of();
        let completions = executor.spawn(online::completions(a, b, c, seed, length));
        let (a, b, c) = of();
        let calls = executor.spawn(online::calls(a, b, c, seed, length));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLER_THREADS)
            .map(|_| {
                let (executor, stop) = (Arc::clone(&executor), Arc::clone(&stop));
                thread::spawn(move || work(&executor, &stop))
            })
            .collect();
        Self {
            executor,
            generators: vec![completions, calls],
            stop,
            threads,
        }
    }

    /// Waits until every request has ended.
    fn finish(self) {
        for generator in self.generators {
            smol::block_on(generator);
        }
        while !self.executor.is_empty() {
            thread::sleep(LOOK);
        }
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            drop(thread.join());
        }
    }
}

fn work(executor: &smol::Executor<'static>, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let run = async {
            while !stop.load(Ordering::Relaxed) {
                executor.tick().await;
            }
        };
        let look = async {
            smol::Timer::after(LOOK).await;
        };
        smol::block_on(smol::future::or(run, look));
    }
}

/// Watches that no daemon's configuration goes back within one life.
struct Watch {
    stop: Arc<AtomicBool>,
    reverted: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl Watch {
    fn start(site: &Arc<Site>) -> Self {
        let (stop, reverted) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let (site, stopped, counted) = (Arc::clone(site), Arc::clone(&stop), Arc::clone(&reverted));
        let thread = thread::spawn(move || {
            let mut newest = HashMap::new();
            while !stopped.load(Ordering::Relaxed) {
                for entry in site.entries().iter() {
                    let Some(daemon) = &entry.daemon else {
                        continue;
                    };
                    let version = daemon
                        .core
                        .config_version()
                        .map_or(0, |version| version.number);
                    let before = newest.insert(daemon.core.daemon_id.clone(), version);
                    if before.is_some_and(|before| version < before) {
                        counted.fetch_add(1, Ordering::Relaxed);
                    }
                }
                thread::sleep(LOOK);
            }
        });
        Self {
            stop,
            reverted,
            thread,
        }
    }

    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.join());
        self.reverted.load(Ordering::Relaxed)
    }
}
