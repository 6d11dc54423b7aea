//! Simulated plain service that counts how often each call ran.
//!
//! Clients name a call in the `call` field of the body. The count per name shows
//! whether a call that must not be repeated ran at most once. `GET /bytes/N` is answered with
//! `N` bytes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::fault::Injector;
use crate::reply;

/// Body of a call and of its response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Name of the call, chosen by the client.
    pub call: String,
}

/// Plain service; clones share faults and run counts.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Injected faults.
    pub faults: Injector,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Service {
    /// Another replica of the service, with separate faults and shared run counts.
    #[must_use]
    pub fn replica(&self) -> Self {
        Self {
            faults: Injector::default(),
            runs: Arc::clone(&self.runs),
        }
    }

    /// Number of runs by call name.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u32> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u32>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for Service {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.intercept(&mut request).await {
            return response;
        }
        if request.url().path() == "/runs" {
            return reply::json(&self.runs());
        }
        if request.url().path() == "/load" {
            return reply::json(&bitterncart_protocol::engine::Load::default());
        }
        if self.faults.get().leaving {
            return reply::text(StatusCode::ServiceUnavailable, "leaving");
        }
        if request.method() == Method::Get {
            let path = request.url().path();
            let length = path.strip_prefix("/bytes/").and_then(|n| n.parse().ok());
            return reply::text(StatusCode::Ok, &"a".repeat(length.unwrap_or_default()));
        }
        match request.body_json::<Call>().await {
            Ok(call) => {
                *self.lock().entry(call.call.clone()).or_default() += 1;
                self.faults.maybe_lose(reply::json(&call))
            }
            Err(e) => reply::text(StatusCode::BadRequest, &format!("send a call: {e}")),
        }
    }
}
