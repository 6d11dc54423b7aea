//! Worker pool of one daemon and its clock.
//!
//! Each daemon has its own executor, so that several run in one process and
//! one of them can be stopped at once or held still, as a failing machine
//! would.

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

/// Handle to a worker pool.
///
/// It does not keep the pool alive: tasks hold handles, and the pool holds the
/// tasks.
#[derive(Clone, Debug)]
pub struct Runtime {
    shared: Arc<Shared>,
    executor: Weak<Executor<'static>>,
}

/// Threads of a worker pool; dropping it stops the daemon and drops its tasks.
#[derive(Debug)]
pub struct Workers {
    shared: Arc<Shared>,
    executor: Option<Arc<Executor<'static>>>,
    threads: Vec<JoinHandle<()>>,
}

/// Time after which a worker looks whether it is stopped or paused.
const LOOK: Duration = Duration::from_millis(20);

impl Runtime {
    /// Starts a pool of `workers` threads with a name.
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
                    .spawn(move || shared.work(&executor))
                    // A machine without room for a thread runs no daemon.
                    .expect("a thread starts")
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

    /// Time since the pool started, by a monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Runs a future on the pool; on one that has stopped, drops it.
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
    fn is_held(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.paused.load(Ordering::Relaxed)
    }

    fn work(&self, executor: &Executor<'static>) {
        while !self.stopped.load(Ordering::Relaxed) {
            if self.paused.load(Ordering::Relaxed) {
                thread::sleep(LOOK);
                continue;
            }
            let run = async {
                while !self.is_held() {
                    executor.tick().await;
                }
            };
            let look = async {
                Timer::after(LOOK).await;
            };
            smol::block_on(future::or(run, look));
        }
    }
}

impl Workers {
    /// Holds the daemon still, as a paused machine would.
    pub fn pause(&self) {
        self.shared.paused.store(true, Ordering::Relaxed);
    }

    /// Lets a held daemon go on.
    pub fn resume(&self) {
        self.shared.paused.store(false, Ordering::Relaxed);
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A worker that panicked broke an invariant and has said so.
            drop(thread.join());
        }
        self.executor = None;
    }
}

/// Wall-clock time in milliseconds since 1970.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Result of a future, or [`Error::Silent`] after a bound.
///
/// # Errors
///
/// The future's own error, or silence.
pub async fn within<T>(
    bound: Duration,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let silence = async {
        Timer::after(bound).await;
        Err(Error::Silent)
    };
    future::or(future, silence).await
}
