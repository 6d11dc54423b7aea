//! Simulated list of instances, as the platform publishes it.
//!
//! A replaced list becomes visible to readers only after a fixed delay, since the
//! platform's list lags behind the real state. Tests can read the newest version
//! directly.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bitterncart_protocol::instance::Instance;
use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};

use crate::fault::Injector;
use crate::reply;

#[derive(Debug, Default)]
struct State {
    /// Versions of the list, each with the time from which it is visible.
    versions: Vec<(Instant, Vec<Instance>)>,
}

/// List of instances; clones share its versions.
#[derive(Clone, Debug)]
pub struct Instances {
    /// Injected faults.
    pub faults: Injector,
    lag: Duration,
    state: Arc<Mutex<State>>,
}

impl Instances {
    /// Creates a list with a first version that is visible at once; later versions
    /// become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration, first: Vec<Instance>) -> Self {
        let state = State {
            versions: vec![(Instant::now(), first)],
        };
        Self {
            faults: Injector::default(),
            lag,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Replaces the list; readers see the change after the lag.
    pub fn set(&self, list: Vec<Instance>) {
        let visible_from = Instant::now() + self.lag;
        self.lock().versions.push((visible_from, list));
    }

    /// Newest version, even if it is not visible to readers yet.
    #[must_use]
    pub fn newest(&self) -> Vec<Instance> {
        self.lock()
            .versions
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    /// Newest version that is visible to readers; drops older versions.
    fn visible(&self) -> Vec<Instance> {
        let now = Instant::now();
        let mut state = self.lock();
        let current = state
            .versions
            .iter()
            .rposition(|(visible_from, _)| *visible_from <= now)
            .unwrap_or(0);
        state.versions.drain(..current);
        state
            .versions
            .first()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Instances {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.intercept(&mut request).await {
            return response;
        }
        match (request.method(), request.url().path()) {
            (Method::Get, "/instances") => reply::json(&self.visible()),
            (Method::Post, "/instances") => match request.body_json().await {
                Ok(list) => {
                    self.set(list);
                    Response::new(StatusCode::Ok)
                }
                Err(e) => reply::text(StatusCode::BadRequest, &e.to_string()),
            },
            _ => reply::not_found(),
        }
    }
}
