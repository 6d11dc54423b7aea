//! Plain service that counts how often each call ran.
//!
//! The caller's name for the call is the body's `call` field.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::fault::Switch;
use crate::reply;

/// Body of a call and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Caller's name for the call.
    pub call: String,
}

/// Plain service; clones share their record.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Faults.
    pub faults: Switch,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Service {
    /// Another server of the same service: own faults, one record.
    #[must_use]
    pub fn sibling(&self) -> Self {
        Self {
            faults: Switch::default(),
            runs: Arc::clone(&self.runs),
        }
    }

    /// How often each call ran.
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
        if let Some(response) = self.faults.meet(&mut request).await {
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
            return reply::text(StatusCode::Ok, "");
        }
        match request.body_json::<Call>().await {
            Ok(call) => {
                *self.lock().entry(call.call.clone()).or_default() += 1;
                self.faults.deliver(reply::json(&call))
            }
            Err(e) => reply::text(StatusCode::BadRequest, &format!("send a call: {e}")),
        }
    }
}
