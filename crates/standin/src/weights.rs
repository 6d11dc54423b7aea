//! Simulated weight store with limited bandwidth.
//!
//! Loads are served one after another, each for a fixed time. The response to a
//! request is sent when its load finishes. The store records when each load was
//! requested.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bitterncart_transport::http::{Handler, Request, Response, StatusCode};

use crate::fault::Injector;

/// Weight store; clones share its queue of loads.
#[derive(Clone, Debug)]
pub struct Store {
    /// Injected faults.
    pub faults: Injector,
    load_time: Duration,
    idle_at: Arc<Mutex<Instant>>,
    load_requests: Arc<Mutex<Vec<Instant>>>,
}

impl Store {
    /// Creates a store whose loads each take `load_time`.
    #[must_use]
    pub fn new(load_time: Duration) -> Self {
        Self {
            faults: Injector::default(),
            load_time,
            idle_at: Arc::new(Mutex::new(Instant::now())),
            load_requests: Arc::default(),
        }
    }

    /// Times at which loads were requested, oldest first.
    #[must_use]
    pub fn load_requests(&self) -> Vec<Instant> {
        let requests = self
            .load_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        requests.clone()
    }

    /// Queues a load and returns the time at which it finishes.
    #[must_use]
    pub fn schedule_load(&self) -> Instant {
        let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
        self.load_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Instant::now());
        *idle_at = (*idle_at).max(Instant::now()) + self.load_time;
        *idle_at
    }
}

impl Handler for Store {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.intercept(&mut request).await {
            return response;
        }
        smol::Timer::at(self.schedule_load()).await;
        Response::new(StatusCode::Ok)
    }
}
