//! Faults that are switched on over HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bitterncart_transport::http::{Body, Request, Response, StatusCode};
use futures_lite::io::AsyncRead;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::reply;

/// Faults of one stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every request with 503.
    pub outage: bool,
    /// Never answers; streams stop.
    pub silent: bool,
    /// Breaks every connection.
    pub broken: bool,
    /// Streams that are open now go silent for good; new ones work.
    pub freeze: bool,
    /// Takes no new work and says so.
    pub leaving: bool,
    /// Share of answers that are lost after the action took effect.
    pub lose_answers: f64,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Factor on the time of each step.
    pub slow: f64,
}

impl Faults {
    /// No fault.
    pub const NONE: Self = Self {
        outage: false,
        silent: false,
        broken: false,
        freeze: false,
        leaving: false,
        lose_answers: 0.0,
        delay_ms: 0,
        slow: 0.0,
    };
}

/// Switch that a stand-in and its tests share.
#[derive(Clone, Debug, Default)]
pub struct Switch(Arc<Mutex<Faults>>);

impl Switch {
    /// Faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts faults in force.
    pub fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Answers `POST /faults`, or meets another request with the faults before its action.
    pub async fn meet(&self, request: &mut Request) -> Option<Response> {
        if request.url().path() == "/faults" {
            return Some(self.switch(request).await);
        }
        let faults = self.get();
        if faults.delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        match faults {
            Faults { silent: true, .. } => std::future::pending().await,
            Faults { broken: true, .. } => Some(broken()),
            Faults { outage: true, .. } => Some(Response::new(StatusCode::ServiceUnavailable)),
            _ => None,
        }
    }

    /// The answer, or a lost one.
    #[must_use]
    pub fn deliver(&self, response: Response) -> Response {
        let lost = rand::rng().random_bool(self.get().lose_answers.clamp(0.0, 1.0));
        if lost { broken() } else { response }
    }

    async fn switch(&self, request: &mut Request) -> Response {
        match request.body_json::<Faults>().await {
            Ok(faults) => {
                self.set(faults);
                reply::json(&faults)
            }
            Err(e) => reply::text(
                StatusCode::BadRequest,
                &format!("write the faults as JSON: {e}"),
            ),
        }
    }
}

struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        _: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::task::Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()))
    }
}

fn broken() -> Response {
    const NEVER_SENT_BYTES: usize = 1 << 20;
    let mut response = Response::new(StatusCode::Ok);
    let body = futures_lite::io::BufReader::new(Broken);
    response.set_body(Body::from_reader(body, Some(NEVER_SENT_BYTES)));
    response
}
