//! A caller over the daemon's HTTP API.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bitterncart_protocol::api::Failure;
use bitterncart_transport::Error;
use bitterncart_transport::http::sse::Events;
use bitterncart_transport::http::{Client, Method, Request};
use serde_json::{Value, json};

/// Time that a caller waits for an event.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer.
    Whole(String),
    /// A numbered refusal or failure, before or within the answer.
    Refused(Failure),
    /// The answer ended without a word.
    CutOff,
    /// No answer; the connection failed.
    Lost(Error),
}

/// Times of a streamed answer.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Caller with a key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Bearer token.
    pub key: String,
    http: Client,
}

impl Caller {
    /// Caller with a key.
    #[must_use]
    pub fn new(key: String) -> Self {
        let http = Client::default()
            .connect(Duration::from_secs(2))
            .head(PATIENCE)
            .body(PATIENCE);
        Self { key, http }
    }

    fn request(&self, method: Method, to: SocketAddr, path: &str) -> Result<Request, Error> {
        let mut request = Client::request(method, to, path)?;
        request.insert_header("Authorization", format!("Bearer {}", self.key));
        Ok(request)
    }

    /// Sends a JSON body and reads status and body.
    ///
    /// # Errors
    ///
    /// As the HTTP client.
    pub async fn post(
        &self,
        to: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: impl Into<Vec<u8>>,
    ) -> Result<(u16, Vec<u8>), Error> {
        let mut request = self.request(Method::Post, to, path)?;
        request.set_body(body.into());
        request.insert_header("Content-Type", "application/json");
        if let Some(key) = key {
            request.insert_header("Idempotency-Key", key);
        }
        let mut response = self.http.send(to, request).await?;
        let bytes = self.http.bytes(&mut response).await?;
        Ok((response.status().into(), bytes))
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// As the HTTP client.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Result<(u16, Vec<u8>), Error> {
        let request = self.request(Method::Get, to, path)?;
        let mut response = self.http.send(to, request).await?;
        let bytes = self.http.bytes(&mut response).await?;
        Ok((response.status().into(), bytes))
    }

    /// Sends a completion and reads its tokens as they come.
    pub async fn stream(&self, to: SocketAddr, path: &str, body: &Value) -> (End, Times) {
        let mut times = Times::default();
        let end = match self.stream_into(to, path, body, &mut times).await {
            Ok(end) => end,
            Err(e) => End::Lost(e),
        };
        (end, times)
    }

    async fn stream_into(
        &self,
        to: SocketAddr,
        path: &str,
        body: &Value,
        times: &mut Times,
    ) -> Result<End, Error> {
        let mut request = self.request(Method::Post, to, path)?;
        let mut body = body.clone();
        body["stream"] = json!(true);
        request.set_body(body.to_string());
        let mut since = Instant::now();
        let mut response = self.http.send(to, request).await?;
        if !response.status().is_success() {
            let bytes = self.http.bytes(&mut response).await?;
            return Ok(refused(&bytes));
        }
        let mut events = Events::new(&mut response);
        let mut text = String::new();
        loop {
            let data = match events.next(PATIENCE).await {
                Ok(Some(data)) => data,
                Ok(None) => return Ok(End::Whole(text)),
                // Only a body that ended in good order without a word is cut off.
                Err(Error::Malformed(_)) => return Ok(End::CutOff),
                Err(e) => return Err(e),
            };
            let passed = since.elapsed();
            since = Instant::now();
            match times.first {
                None => times.first = Some(passed),
                Some(_) => times.gaps.push(passed),
            }
            let value: Value = serde_json::from_str(&data).map_err(Error::malformed)?;
            if value.get("error").is_some() {
                return Ok(refused(data.as_bytes()));
            }
            let choice = &value["choices"][0];
            let piece = choice["text"]
                .as_str()
                .or_else(|| choice["delta"]["content"].as_str());
            text.push_str(piece.unwrap_or_default());
        }
    }

    /// Sends a completion and reads its whole answer.
    pub async fn whole(&self, to: SocketAddr, path: &str, body: &Value) -> End {
        match self.post(to, path, None, body.to_string()).await {
            Ok((200, bytes)) => {
                let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
                let choice = &value["choices"][0];
                let text = choice["text"]
                    .as_str()
                    .or_else(|| choice["message"]["content"].as_str());
                End::Whole(text.unwrap_or_default().to_owned())
            }
            Ok((_, bytes)) => refused(&bytes),
            Err(e) => End::Lost(e),
        }
    }
}

/// Refusal of an error body.
#[must_use]
pub fn refused(bytes: &[u8]) -> End {
    match serde_json::from_slice(bytes) {
        Ok(failure) => End::Refused(failure),
        Err(_) => End::CutOff,
    }
}

/// Whether a refusal says that the request was not run.
#[must_use]
pub fn says_not_run(failure: &Failure) -> bool {
    failure.error.ran == "not_run"
}
