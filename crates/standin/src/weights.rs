//! Weight store with a limit on its rate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bitterncart_transport::http::{Handler, Request, Response, StatusCode};

use crate::fault::Switch;

/// Weight store; a load takes its turn.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Faults.
    pub faults: Switch,
    each: Duration,
    free_at: Arc<Mutex<Instant>>,
    turns: Arc<Mutex<Vec<Instant>>>,
}

impl Weights {
    /// Store that serves one load in `each`.
    #[must_use]
    pub fn new(each: Duration) -> Self {
        Self {
            faults: Switch::default(),
            each,
            free_at: Arc::new(Mutex::new(Instant::now())),
            turns: Arc::default(),
        }
    }

    /// When each load was asked for.
    #[must_use]
    pub fn turns(&self) -> Vec<Instant> {
        let turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        turns.clone()
    }

    /// Takes a turn; returns when its load is done.
    #[must_use]
    pub fn turn(&self) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        self.turns
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Instant::now());
        *free_at = (*free_at).max(Instant::now()) + self.each;
        *free_at
    }
}

impl Handler for Weights {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.meet(&mut request).await {
            return response;
        }
        smol::Timer::at(self.turn()).await;
        Response::new(StatusCode::Ok)
    }
}
