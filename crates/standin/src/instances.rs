//! The platform's list of instances; it lags.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bitterncart_protocol::instance::Instance;
use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};

use crate::fault::Switch;
use crate::reply;

#[derive(Debug, Default)]
struct State {
    /// Versions with the time from which each is shown.
    versions: Vec<(Instant, Vec<Instance>)>,
}

/// List of instances.
#[derive(Clone, Debug)]
pub struct Instances {
    /// Faults.
    pub faults: Switch,
    lag: Duration,
    state: Arc<Mutex<State>>,
}

impl Instances {
    /// List that shows changes after `lag`, except the first version.
    #[must_use]
    pub fn new(lag: Duration, first: Vec<Instance>) -> Self {
        let state = State {
            versions: vec![(Instant::now(), first)],
        };
        Self {
            faults: Switch::default(),
            lag,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Replaces the list; shown after the lag.
    pub fn set(&self, list: Vec<Instance>) {
        let from = Instant::now() + self.lag;
        self.lock().versions.push((from, list));
    }

    /// Newest version, shown or not.
    #[must_use]
    pub fn newest(&self) -> Vec<Instance> {
        self.lock()
            .versions
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }

    fn shown(&self) -> Vec<Instance> {
        let now = Instant::now();
        let mut state = self.lock();
        let current = state
            .versions
            .iter()
            .rposition(|(from, _)| *from <= now)
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
        if let Some(response) = self.faults.meet(&mut request).await {
            return response;
        }
        match (request.method(), request.url().path()) {
            (Method::Get, "/instances") => reply::json(&self.shown()),
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
