//! Worker threads and clock of one daemon.
//!
//! Each daemon has its own executor and threads, so several daemons can run in
//! one process. Tests can pause or stop one of them to simulate a machine that
//! hangs or crashes: a paused daemon runs none of its tasks, and a stopped one
//! drops them. The module also has the time limit for futures, [`timeout()`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_lite::future;
use smol::{Executor, Task, Timer};

use crate::Error;

#[derive(Debug)]
struct Shared {
    stopped: AtomicBool,
    paused: AtomicBool,
    started: Instant,
}

/// Handle to a daemon's executor.
///
/// A handle does not keep the executor alive: tasks hold handles, so a strong
/// reference would be a cycle and the tasks would never be dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    shared: Arc<Shared>,
    executor: Weak<Executor<'static>>,
}

/// Worker threads of a daemon; dropping them stops the daemon and drops its tasks.
#[derive(Debug)]
pub struct Workers {
    shared: Arc<Shared>,
    executor: Option<Arc<Executor<'static>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Interval at which a worker checks whether it is stopped or paused.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Runtime {
    /// Starts `workers` threads, at least one, that are all called `name`.
    #[must_use]
    pub fn start(name: &str, workers: u16) -> (Self, Workers) {
        let shared = Arc::new(Shared {
            stopped: AtomicBool::new(false),
            paused: AtomicBool::new(false),
            started: Instant::now(),
        });
        let executor = Arc::new(Executor::new());
        let threads = (0..workers.max(1))
            .map(|_| {
                let (shared, executor) = (Arc::clone(&shared), Arc::clone(&executor));
                thread::Builder::new()
                    .name(name.to_owned())
                    .spawn(move || shared.run_tasks(&executor))
                    // A daemon cannot run on a host that has no resources for its threads.
                    .expect("the operating system can start a worker thread")
            })
            .collect();
        let runtime = Self {
            shared: Arc::clone(&shared),
            executor: Arc::downgrade(&executor),
        };
        (
            runtime,
            Workers {
                shared,
                executor: Some(executor),
                threads,
            },
        )
    }

    /// Time since the start of the runtime, by a monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Runs a future on the executor; once the runtime has stopped, drops it without running
    /// it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        match self.executor.upgrade() {
            Some(executor) => executor.spawn(future),
            None => Executor::new().spawn(future),
        }
    }
}

impl Shared {
    fn is_stopped_or_paused(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.paused.load(Ordering::Relaxed)
    }

    fn run_tasks(&self, executor: &Executor<'static>) {
        while !self.stopped.load(Ordering::Relaxed) {
            if self.paused.load(Ordering::Relaxed) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let run = async {
                while !self.is_stopped_or_paused() {
                    executor.tick().await;
                }
            };
            let interval = async {
                Timer::after(POLL_INTERVAL).await;
            };
            smol::block_on(future::or(run, interval));
        }
    }
}

impl Workers {
    /// Stops running tasks until [`Self::resume`], as on a paused machine.
    pub fn pause(&self) {
        self.shared.paused.store(true, Ordering::Relaxed);
    }

    /// Runs the tasks of a paused daemon again.
    pub fn resume(&self) {
        self.shared.paused.store(false, Ordering::Relaxed);
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The error of a worker that panicked is ignored: the panic has already been
            // reported.
            drop(thread.join());
        }
        self.executor = None;
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    elapsed.as_millis() as u64
}

/// Awaits a future for at most `limit`.
///
/// # Errors
///
/// The error of the future, or [`Error::Timeout`] if it does not complete in time.
pub async fn timeout<T>(
    limit: Duration,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let expiry = async {
        Timer::after(limit).await;
        Err(Error::Timeout)
    };
    future::or(future, expiry).await
}
