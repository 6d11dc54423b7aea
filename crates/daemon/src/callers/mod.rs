//! HTTP API for callers.
//!
//! Routes each request by method and path to completions, files, batches or plain
//! services, and identifies the customer by the bearer token. Each response carries
//! a request id. A request that fails gets an error response with a numbered code,
//! which is counted and logged.

mod batches;
mod completions;
mod error;
mod files;
mod permit;
mod relay;
mod services;

use std::sync::Arc;
use std::time::Duration;

use bitterncart_protocol::{Code, Name};
use bitterncart_transport::http::{Handler, Method, Request, Response, server};
use futures_lite::future;
use serde_json::json;
use spdlog::info;

pub use error::ApiError;

use crate::core::Core;

/// Maximum size of a request body that is held in memory.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Header with the time allowed for the complete response, in milliseconds.
const DEADLINE_HEADER: &str = "X-Deadline-Ms";

/// Header with the caller's idempotency key for a job or a service call.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Handler of callers' requests.
#[derive(Clone, Debug)]
pub struct Api {
    /// Shared state.
    pub core: Arc<Core>,
}

type Result<T> = std::result::Result<T, ApiError>;

impl Handler for Api {
    async fn handle(&self, mut request: Request) -> Response {
        let id = format!("{}-{}", self.core.daemon_id, self.core.next_request());
        let path = request.url().path().to_owned();
        let ending = async {
            self.core.ending().await;
            let message = "the instance ends; the request may have run";
            Err(ApiError::new(Code::OutcomeUnknown, message))
        };
        let answered = future::or(self.route(&mut request, &path), ending).await;
        let mut response = match answered {
            Ok(response) => response,
            Err(error) => {
                self.core.counters.count_code(error.code);
                info!("refused", kv: { request = id.as_str(), path = path.as_str(), code = error.code.number() });
                error.response()
            }
        };
        response.insert_header("X-Request-Id", id.as_str());
        response
    }
}

impl Api {
    async fn route(&self, request: &mut Request, path: &str) -> Result<Response> {
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (Method::Get, ["healthz"]) => Ok(server::json(200, &json!({"status": "alive"}))),
            (Method::Get, ["readyz"]) => self.ready(),
            (Method::Get, ["v1", "models"]) => self.models(request),
            (Method::Post, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                completions::complete(&self.core, request, path).await
            }
            (Method::Post, ["v1", "files"]) => files::upload(&self.core, request).await,
            (Method::Get, ["v1", "files", id, "content"]) => {
                files::content(&self.core, request, id).await
            }
            (Method::Get, ["v1", "files", id]) => files::show(&self.core, request, id).await,
            (Method::Post, ["v1", "batches"]) => batches::create(&self.core, request).await,
            (Method::Get, ["v1", "batches", id]) => batches::show(&self.core, request, id).await,
            (Method::Post, ["v1", "batches", id, "cancel"]) => {
                batches::cancel(&self.core, request, id).await
            }
            (_, ["services", service, ..]) => {
                services::call(&self.core, request, service, path).await
            }
            (
                _,
                ["v1", "models" | "completions" | "files" | "batches", ..] | ["healthz" | "readyz"],
            ) => Err(ApiError::new(
                Code::MethodNotAllowed,
                "this path has other methods",
            )),
            _ => Err(ApiError::new(Code::NotFound, "no such path")),
        }
    }

    fn ready(&self) -> Result<Response> {
        if self.core.is_draining() {
            return Err(ApiError::new(Code::Draining, "the instance drains"));
        }
        self.core.document()?;
        Ok(server::json(200, &json!({"status": "ready"})))
    }

    fn models(&self, request: &Request) -> Result<Response> {
        let document = self.core.document()?;
        customer(&self.core, request)?;
        let data: Vec<_> = document
            .models
            .iter()
            .map(|model| json!({"id": model.name, "object": "model", "owned_by": document.environment}))
            .collect();
        Ok(server::json(200, &json!({"object": "list", "data": data})))
    }
}

/// Authenticates the customer who sent a request.
fn customer(core: &Core, request: &Request) -> Result<Name> {
    let header = request
        .header("Authorization")
        .map(|values| values.as_str());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| ApiError::new(Code::BadCredentials, "no bearer token"))?;
    let document = core.document()?;
    let digest = bitterncart_protocol::hash::digest(key.as_bytes());
    let customer = document.customer_by_key_digest(&digest);
    let customer =
        customer.ok_or_else(|| ApiError::new(Code::BadCredentials, "no customer has this key"))?;
    Ok(customer.name.clone())
}

/// Time allowed for the complete response: from the header, or the default.
fn deadline(request: &Request, default_ms: u64) -> Result<Duration> {
    let Some(values) = request.header(DEADLINE_HEADER) else {
        return Ok(Duration::from_millis(default_ms));
    };
    let ms = values.as_str().parse::<u64>().ok().filter(|ms| *ms > 0);
    let ms = ms.ok_or_else(|| {
        ApiError::new(
            Code::BadHeader,
            "X-Deadline-Ms is a number of milliseconds above 0",
        )
    })?;
    Ok(Duration::from_millis(ms))
}

/// Idempotency key of a request, if it has one.
fn idempotency_key(request: &Request) -> Result<Option<String>> {
    let Some(values) = request.header(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let key = values.as_str();
    if values.iter().count() != 1 || key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(ApiError::new(
            Code::BadHeader,
            "Idempotency-Key is one text of 1 to 255 characters",
        ));
    }
    Ok(Some(key.to_owned()))
}

/// Reads a request body of at most [`MAX_BODY_BYTES`].
async fn body(request: &mut Request) -> Result<Vec<u8>> {
    use futures_lite::AsyncReadExt;
    if request.len().is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(ApiError::new(
            Code::BodyTooLarge,
            format!("the body is larger than {MAX_BODY_BYTES} bytes"),
        ));
    }
    let length = request.len();
    let mut bytes = Vec::new();
    let read = request
        .take_body()
        .take(MAX_BODY_BYTES as u64 + 1)
        .read_to_end(&mut bytes)
        .await;
    match read {
        Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
            Err(ApiError::new(Code::SlowSender, "the body came too slowly"))
        }
        Err(e) => Err(ApiError::new(
            Code::MalformedRequest,
            format!("the body cannot be read: {e}"),
        )),
        Ok(size) if size > MAX_BODY_BYTES => Err(ApiError::new(
            Code::BodyTooLarge,
            format!("the body is larger than {MAX_BODY_BYTES} bytes"),
        )),
        Ok(size) if length.is_some_and(|length| size < length) => Err(ApiError::new(
            Code::MalformedRequest,
            "the body ended before its Content-Length",
        )),
        Ok(_) => Ok(bytes),
    }
}
