//! Client of the HTTP API of a daemon, with one customer key.
//!
//! Requests are sent once, without retries. Completions are classified by how they
//! ended: complete, refused or failed with an error code, truncated, or cut short by a failed
//! connection. For streams the client also measures the time to first token and the
//! inter-token latency.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitterncart_protocol::api::Failure;
use bitterncart_transport::Error;
use bitterncart_transport::http::sse::Events;
use bitterncart_transport::http::{Client, Method, Request};
use serde_json::{Value, json};

/// Timeout for the response head, the body, and each event of a stream.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// How a completion ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The complete text.
    Whole(String),
    /// An error with a code, instead of the response or within the stream.
    Refused(Failure),
    /// The response ended early without an error body.
    Truncated,
    /// The connection failed before the end of the response.
    ConnectionFailed(Error),
}

/// Timings of a stream.
#[derive(Clone, Debug, Default)]
pub struct Timings {
    /// Time to first token.
    pub ttft: Option<Duration>,
    /// Inter-token latencies.
    pub itl: Vec<Duration>,
}

/// API client with a customer key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Key that is sent as bearer token.
    pub api_key: String,
    http: Client,
}

impl Caller {
    /// Creates a client with a customer key.
    #[must_use]
    pub fn new(api_key: String) -> Self {
        let http = Client::default()
            .connect_timeout(Duration::from_secs(2))
            .head_timeout(RESPONSE_TIMEOUT)
            .body_timeout(RESPONSE_TIMEOUT);
        Self { api_key, http }
    }

    fn request(&self, method: Method, to: SocketAddr, path: &str) -> Result<Request, Error> {
        let mut request = Client::request(method, to, path)?;
        request.insert_header("Authorization", format!("Bearer {}", self.api_key));
        Ok(request)
    }

    /// Sends a JSON body, with an optional idempotency key, and returns the status
    /// and body of the response.
    ///
    /// # Errors
    ///
    /// Errors of the HTTP client: connection, timeout or malformed response.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        idempotency_key: Option<&str>,
        body: impl Into<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), Error> {
        let mut request = self.request(Method::Post, to, path)?;
        request.set_body(body.into());
        request.insert_header("Content-Type", "application/json");
        if let Some(key) = idempotency_key {
            request.insert_header("Idempotency-Key", key);
        }
        let mut response = self.http.send(to, request).await?;
        let bytes = self.http.read_body(&mut response).await?;
        Ok((response.status().into(), bytes))
    }

    /// Gets a path and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Errors of the HTTP client: connection, timeout or malformed response.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), Error> {
        let request = self.request(Method::Get, to, path)?;
        let mut response = self.http.send(to, request).await?;
        let bytes = self.http.read_body(&mut response).await?;
        Ok((response.status().into(), bytes))
    }

    /// Sends a streaming completion and measures the arrival of its tokens.
    pub async fn stream(&self, to: SocketAddr, path: &str, body: &Value) -> (End, Timings) {
        let mut timings = Timings::default();
        let end = match self.read_stream(to, path, body, &mut timings).await {
            Ok(end) => end,
            Err(e) => End::ConnectionFailed(e),
        };
        (end, timings)
    }

    async fn read_stream(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Value,
        timings: &mut Timings,
    ) -> Result<End, Error> {
        let mut request = self.request(Method::Post, to, path)?;
        let mut body = body.clone();
        body["stream"] = json!(true);
        request.set_body(body.to_string());
        let mut last_event = Instant::now();
        let mut response = self.http.send(to, request).await?;
        if !response.status().is_success() {
            let bytes = self.http.read_body(&mut response).await?;
            return Ok(parse_refusal(&bytes));
        }
        let mut events = Events::new(&mut response);
        let mut text = String::new();
        loop {
            let data = match events.next(RESPONSE_TIMEOUT).await {
                Ok(Some(data)) => data,
                Ok(None) => return Ok(End::Whole(text)),
                // Only a stream whose body ends regularly but without an end event is
                // truncated; any other error is a failed connection.
                Err(Error::Malformed(_)) => return Ok(End::Truncated),
                Err(e) => return Err(e),
            };
            let elapsed = last_event.elapsed();
            last_event = Instant::now();
            match timings.ttft {
                None => timings.ttft = Some(elapsed),
                Some(_) => timings.itl.push(elapsed),
            }
            let value: Value = serde_json::from_str(&data).map_err(Error::malformed)?;
            if value.get("error").is_some() {
                return Ok(parse_refusal(data.as_bytes()));
            }
            let choice = &value["choices"][0];
            let token = choice["text"]
                .as_str()
                .or_else(|| choice["delta"]["content"].as_str());
            text.push_str(token.unwrap_or_default());
        }
    }

    /// Sends a completion without streaming.
    pub async fn complete(&self, to: SocketAddr, path: &str, body: &Value) -> End {
        match self.post(to, path, None, body.to_string()).await {
            Ok((200, bytes)) => {
                let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                let choice = &value["choices"][0];
                let text = choice["text"]
                    .as_str()
                    .or_else(|| choice["message"]["content"].as_str());
                End::Whole(text.unwrap_or_default().to_owned())
            }
            Ok((_, bytes)) => parse_refusal(&bytes),
            Err(e) => End::ConnectionFailed(e),
        }
    }
}

/// Parses an error body; any other body counts as truncated.
#[must_use]
pub fn parse_refusal(bytes: &[u8]) -> End {
    match serde_json::from_slice(bytes) {
        Ok(failure) => End::Refused(failure),
        Err(_) => End::Truncated,
    }
}

/// Whether an error states that the request was not run.
#[must_use]
pub fn is_not_run(failure: &Failure) -> bool {
    failure.error.ran == "not_run"
}
