//! Fault injection for stand-ins.
//!
//! Each stand-in has an [`Injector`] that it shares with the tests in its process;
//! other processes set faults through `POST /faults`. The injector applies delays,
//! outages, hung requests and reset connections before a request takes effect, and
//! loses a share of the responses after it did. Stand-ins with streams apply the
//! remaining faults in their own code.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bitterncart_transport::http::{Body, Request, Response, StatusCode};
use futures_lite::io::AsyncRead;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::reply;

/// Faults to inject into one stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every request with status 503.
    pub outage: bool,
    /// Never responds; open streams stall.
    pub silent: bool,
    /// Resets every connection.
    pub broken: bool,
    /// Stalls the streams that are open now for good; new streams work.
    pub freeze: bool,
    /// Refuses new work and reports itself as leaving.
    pub leaving: bool,
    /// Share of responses that are lost after the request took effect, from 0 to 1.
    pub lose_answers: f64,
    /// Delay before each request is handled, in milliseconds.
    pub delay_ms: u64,
    /// Factor on the duration of each engine step; 0 means no change.
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

/// Faults in effect, shared by a stand-in and its tests.
#[derive(Clone, Debug, Default)]
pub struct Injector(Arc<Mutex<Faults>>);

impl Injector {
    /// Faults in effect.
    #[must_use]
    pub fn get(&self) -> Faults {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults in effect.
    pub fn set(&self, faults: Faults) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Handles a request to `/faults`, and applies to any other request the faults
    /// that act before it takes effect. `None` means that the stand-in handles the
    /// request.
    pub async fn intercept(&self, request: &mut Request) -> Option<Response> {
        if request.url().path() == "/faults" {
            return Some(self.update(request).await);
        }
        let faults = self.get();
        if faults.delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        match faults {
            Faults { silent: true, .. } => std::future::pending().await,
            Faults { broken: true, .. } => Some(reset_response()),
            Faults { outage: true, .. } => Some(Response::new(StatusCode::ServiceUnavailable)),
            _ => None,
        }
    }

    /// The response, or a reset connection with the probability of `lose_answers`.
    #[must_use]
    pub fn maybe_lose(&self, response: Response) -> Response {
        let lost = rand::rng().random_bool(self.get().lose_answers.clamp(0.0, 1.0));
        if lost { reset_response() } else { response }
    }

    async fn update(&self, request: &mut Request) -> Response {
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

/// Body whose first read fails with a connection reset.
struct ResetReader;

impl AsyncRead for ResetReader {
    fn poll_read(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        _: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::task::Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()))
    }
}

/// Response that breaks the connection, since its announced body is never sent.
fn reset_response() -> Response {
    const ANNOUNCED_BYTES: usize = 1 << 20;
    let mut response = Response::new(StatusCode::Ok);
    let body = futures_lite::io::BufReader::new(ResetReader);
    response.set_body(Body::from_reader(body, Some(ANNOUNCED_BYTES)));
    response
}
