//! Trial of an environment document: load, fault injection, and verification.
//!
//! A [`Trial`] starts the deployment of a document, sends online and batch load for a
//! number of seconds, and injects faults meanwhile. Accepted work then has 40 s to
//! finish. At the end the trial compares the responses that clients received with
//! the records of the stand-ins, and returns the counts as a [`Report`]. Load and
//! faults are drawn from a seed, but timing varies between runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bitterncart_state::invariant;

use crate::chaos::{self, Level};
use crate::jobs::{BatchClient, Totals};
use crate::online::{self, Shared};
use crate::report::Report;
use crate::site::Site;

/// Time after the load for accepted work to finish and for results to be read.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Threads of the online clients.
const CLIENT_THREADS: usize = 2;

/// Trial of an environment document.
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
    /// Creates a trial of the text of a document: 10 s of load, seed 1, no faults.
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

    /// Sets the duration of the load, in seconds.
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

    /// Sets which faults are injected.
    #[must_use]
    pub fn faults(mut self, level: Level) -> Self {
        self.level = level;
        self
    }

    /// Sets the number of items of the larger jobs.
    #[must_use]
    pub fn items(mut self, items: u32) -> Self {
        self.items = items;
        self
    }

    /// Sets whether progress is printed on standard output.
    #[must_use]
    pub fn progress(mut self, progress: bool) -> Self {
        self.progress = progress;
        self
    }

    /// Runs the trial.
    ///
    /// # Errors
    ///
    /// The problems of the document, one per line, or the failure to start the
    /// deployment, or a panic of the batch load.
    pub fn run(&self) -> Result<Report, String> {
        let site = Arc::new(Site::start(&self.text, 1)?);
        self.print_progress("the deployment is ready");
        let started = Instant::now();
        let duration = Duration::from_secs(self.seconds);
        let observations = Shared::default();
        let load = OnlineLoad::start(&site, &observations, self.seed, duration);
        let revert_monitor = RevertMonitor::start(&site);
        let batch = self.start_batch(&site, started + duration + COMPLETION_TIMEOUT);
        chaos::run(
            &site,
            self.level,
            self.seed,
            started + duration,
            |message| {
                self.print_progress(message);
            },
        );
        while started.elapsed() < duration {
            thread::sleep(POLL_INTERVAL);
        }
        self.print_progress("the load has ended; waiting for accepted work to finish");
        let batch = batch
            .join()
            .map_err(|_| "the batch load panicked".to_owned())?;
        load.finish();
        let mut report = self.report(&site, &observations, &batch);
        report.config_reverted = revert_monitor.finish();
        Ok(report)
    }

    fn print_progress(&self, message: &str) {
        if self.progress {
            println!("{message}");
        }
    }

    fn start_batch(&self, site: &Arc<Site>, deadline: Instant) -> JoinHandle<BatchOutcome> {
        let mut client = BatchClient::new(Arc::clone(site), self.seed, deadline);
        let (seed, items) = (self.seed, self.items);
        thread::spawn(move || smol::block_on(run_batch(&mut client, seed, items, deadline)))
    }

    /// Compares the observations of clients with the records of the stand-ins.
    fn report(&self, site: &Site, observations: &Shared, batch: &BatchOutcome) -> Report {
        let observations = online::lock(observations);
        let runs = site.service_runs();
        let started = site.started_prompts();
        let refused_prompts_run = observations
            .not_run
            .iter()
            .filter(|prompt| started.contains(*prompt))
            .count();
        let refused_calls_run = observations
            .calls_not_run
            .iter()
            .filter(|call| runs.contains_key(*call))
            .count();
        let BatchOutcome {
            totals,
            split_jobs,
            seconds,
        } = batch;
        let mut counters = std::collections::BTreeMap::new();
        for entry in site.entries().iter() {
            let counts = entry
                .daemon
                .as_ref()
                .map(|d| d.core.counters.snapshot())
                .unwrap_or_default();
            for (name, value) in counts {
                *counters.entry(name).or_default() += value;
            }
        }
        Report {
            environment: site.document.environment.as_str().into(),
            seed: self.seed,
            online_sent: observations.sent,
            online_ok: observations.ok,
            online_refused: observations.refused,
            online_lost: observations.lost,
            online_wrong: observations.wrong,
            ttft_ms_p50: observations.ttft.ms(0.5),
            ttft_ms_p95: observations.ttft.ms(0.95),
            ttft_ms_p99: observations.ttft.ms(0.99),
            itl_ms_p95: observations.itl.ms(0.95),
            batch_accepted: totals.accepted,
            batch_finished: totals.finished,
            batch_failed: totals.failed,
            batch_owed: totals.owed,
            batch_cancelled: totals.cancelled,
            batch_lost: totals.lost,
            batch_doubled: totals.doubled + split_jobs,
            batch_wrong: totals.wrong,
            batch_items_per_s: totals.finished as f64 / seconds.max(f64::EPSILON),
            once_sent: observations.calls_sent,
            once_ok: observations.calls_ok,
            once_ran_twice: runs.values().filter(|count| **count > 1).count() as u64,
            refused_but_ran: (refused_prompts_run + refused_calls_run) as u64,
            config_reverted: 0,
            invariant_checks: invariant::checks(),
            log_appends_busiest_s: site.log.totals().busiest,
            refusals: observations.refusals.clone(),
            counters,
        }
    }
}

/// Outcome of the batch load.
struct BatchOutcome {
    totals: Totals,
    /// Jobs whose second submission created another job.
    split_jobs: u64,
    /// Time from the first submission until the jobs ended or timed out, in seconds.
    seconds: f64,
}

/// Submits a large, a small and a cancelled job, waits for their ends, and verifies
/// their results.
async fn run_batch(
    client: &mut BatchClient,
    seed: u64,
    items: u32,
    deadline: Instant,
) -> BatchOutcome {
    let started = Instant::now();
    let mut jobs = vec![
        client.generate_job(&format!("large-{seed}"), items, 3, false),
        client.generate_job(&format!("small-{seed}"), items / 4, 0, false),
        client.generate_job(&format!("cancelled-{seed}"), items, 0, true),
    ];
    let mut split_jobs = 0;
    let mut accepted = Vec::new();
    for mut job in jobs.drain(..) {
        if let Some(is_one_job) = client.submit(&mut job).await {
            split_jobs += u64::from(!is_one_job);
            if job.cancel {
                client.cancel(&job).await;
            }
            accepted.push(job);
        }
    }
    let has_ended = |status: &str| status != "in_progress";
    for job in &accepted {
        // A quarter of the timeout is reserved for reading the results.
        while Instant::now() + COMPLETION_TIMEOUT / 4 < deadline {
            if client
                .status(job)
                .await
                .is_some_and(|batch| has_ended(&batch.status))
            {
                break;
            }
            smol::Timer::after(POLL_INTERVAL).await;
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    let mut totals = Totals::default();
    for job in &accepted {
        client.verify(job, &mut totals).await;
    }
    BatchOutcome {
        totals,
        split_jobs,
        seconds,
    }
}

/// Online load on its own threads.
struct OnlineLoad {
    executor: Arc<smol::Executor<'static>>,
    generators: Vec<smol::Task<()>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl OnlineLoad {
    fn start(site: &Arc<Site>, observations: &Shared, seed: u64, duration: Duration) -> Self {
        let executor = Arc::new(smol::Executor::new());
        let clones = || {
            (
                Arc::clone(site),
                Arc::clone(&executor),
                Arc::clone(observations),
            )
        };
        let (a, b, c) = clones();
        let completions = executor.spawn(online::send_completions(a, b, c, seed, duration));
        let (a, b, c) = clones();
        let calls = executor.spawn(online::send_calls(a, b, c, seed, duration));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENT_THREADS)
            .map(|_| {
                let (executor, stop) = (Arc::clone(&executor), Arc::clone(&stop));
                thread::spawn(move || run_executor(&executor, &stop))
            })
            .collect();
        Self {
            executor,
            generators: vec![completions, calls],
            stop,
            threads,
        }
    }

    /// Waits until every request has ended, then stops the threads.
    fn finish(self) {
        for generator in self.generators {
            smol::block_on(generator);
        }
        while !self.executor.is_empty() {
            thread::sleep(POLL_INTERVAL);
        }
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            drop(thread.join());
        }
    }
}

/// Runs tasks until `stop` is set, which is checked at least once per poll interval.
fn run_executor(executor: &smol::Executor<'static>, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let run = async {
            while !stop.load(Ordering::Relaxed) {
                executor.tick().await;
            }
        };
        let timeout = async {
            smol::Timer::after(POLL_INTERVAL).await;
        };
        smol::block_on(smol::future::or(run, timeout));
    }
}

/// Counts how often a daemon went back to an older configuration version. A restarted
/// daemon counts as another one, since it may start from an older version.
struct RevertMonitor {
    stop: Arc<AtomicBool>,
    reverts: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl RevertMonitor {
    fn start(site: &Arc<Site>) -> Self {
        let (stop, reverts) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let (site, stopped, counter) = (Arc::clone(site), Arc::clone(&stop), Arc::clone(&reverts));
        let thread = thread::spawn(move || {
            let mut last_versions = HashMap::new();
            while !stopped.load(Ordering::Relaxed) {
                for entry in site.entries().iter() {
                    let Some(daemon) = &entry.daemon else {
                        continue;
                    };
                    let version = daemon
                        .core
                        .config_version()
                        .map_or(0, |version| version.number);
                    let before = last_versions.insert(daemon.core.daemon_id.clone(), version);
                    if before.is_some_and(|before| version < before) {
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                }
                thread::sleep(POLL_INTERVAL);
            }
        });
        Self {
            stop,
            reverts,
            thread,
        }
    }

    /// Stops the monitor and returns the count.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.join());
        self.reverts.load(Ordering::Relaxed)
    }
}
