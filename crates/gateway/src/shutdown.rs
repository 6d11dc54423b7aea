//! State of the shutdown of a daemon, and its signals to the connections and requests.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bitterncart_coordination::fleet::Shutdown;
use bitterncart_coordination::fleet::shutdown::Work;
use event_listener::Event;
use futures_lite::future;

use crate::clock;

/// Signal that is given once.
#[derive(Debug, Default)]
struct Signal {
    is_given: AtomicBool,
    given: Event,
}

impl Signal {
    fn give(&self) {
        self.is_given.store(true, Ordering::Relaxed);
        self.given.notify(usize::MAX);
    }

    fn is_given(&self) -> bool {
        self.is_given.load(Ordering::Relaxed)
    }

    async fn wait(&self) {
        while !self.is_given() {
            let given = self.given.listen();
            if !self.is_given() {
                given.await;
            }
        }
    }
}

/// Shutdown of a daemon, which may not have begun.
#[derive(Debug, Default)]
pub(crate) struct State {
    course: OnceLock<Shutdown>,
    close: Signal,
    answer: Signal,
}

impl State {
    /// Begins the shutdown, and returns its course.
    pub(crate) fn begin(&self, timeout: Duration) -> Shutdown {
        *self
            .course
            .get_or_init(|| Shutdown::new(clock::now(), timeout))
    }

    /// Whether the daemon is shutting down and starts no new work of its own.
    pub(crate) fn has_begun(&self) -> bool {
        self.course.get().is_some()
    }

    /// Whether a request that has been received as a whole is served.
    pub(crate) fn admits(&self, work: Work) -> bool {
        let course = self.course.get();
        course.is_none_or(|course| course.admits(clock::now(), work))
    }

    /// Closes connections once they have no request.
    pub(crate) fn close_connections(&self) {
        self.close.give();
    }

    /// Whether connections have to be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.close.is_given()
    }

    /// Waits until connections have to be closed.
    pub(crate) async fn closing(&self) {
        self.close.wait().await;
    }

    /// Ends all requests with an answer.
    pub(crate) fn require_answers(&self) {
        self.answer.give();
    }

    /// Output of `work`; `None` if all requests have to be answered before it is done.
    pub(crate) async fn unless_ending<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let ending = async {
            self.answer.wait().await;
            None
        };
        future::or(async { Some(work.await) }, ending).await
    }
}
