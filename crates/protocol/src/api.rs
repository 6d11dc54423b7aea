//! Shapes of the callers' HTTP API.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Code, Name};

/// Completion or chat completion; fields that the daemon does not read pass through.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Model.
    pub model: Name,
    /// Whether tokens are streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Tokens at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// The rest.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl Completion {
    /// Tokens at most when the request names no number.
    pub const DEFAULT_MAX_TOKENS: u32 = 256;

    /// Tokens at most.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(Self::DEFAULT_MAX_TOKENS)
    }

    /// Text that the engine reads, as far as routing needs it.
    #[must_use]
    pub fn prompt(&self) -> String {
        match (self.rest.get("prompt"), self.rest.get("messages")) {
            (Some(Value::String(text)), _) => text.clone(),
            (_, Some(Value::Array(messages))) => messages
                .iter()
                .filter_map(|message| message.get("content").and_then(Value::as_str))
                .collect::<Vec<_>>()
                .join("\n"),
            _ => String::new(),
        }
    }
}

/// Error body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The error.
    pub error: Error,
}

/// Error of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Number.
    pub code: Code,
    /// Name of the number.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// What is wrong.
    pub message: String,
    /// `not_run`, `unknown` or `ran`.
    pub ran: CompactString,
    /// Whether the same request may succeed later.
    pub retry: bool,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What to do next.
    pub advice: CompactString,
}

impl Failure {
    /// Error body of a code.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            error: Error {
                code,
                kind: code.name().into(),
                message: message.into(),
                ran: code.ran().as_str().into(),
                retry: code.retry(),
                retry_after_ms: None,
                advice: code.advice().into(),
            },
        }
    }

    /// Adds when to come back, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.error.retry_after_ms = Some(ms);
        self
    }
}

/// Body of `POST /v1/batches`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CreateBatch {
    /// File to run.
    pub input_file_id: CompactString,
    /// API path.
    pub endpoint: CompactString,
    /// Time to the due time, such as `24h` or `90s`.
    #[serde(default)]
    pub completion_window: Option<CompactString>,
}

/// Line of a batch input.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Caller's name for the item.
    pub custom_id: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// API path.
    pub url: CompactString,
    /// Request body.
    pub body: Completion,
}

/// Counts of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Items.
    pub total: u32,
    /// Items with a result.
    pub completed: u32,
    /// Items with a failure.
    pub failed: u32,
}

/// Batch as callers see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Id.
    pub id: CompactString,
    /// Always `batch`.
    pub object: CompactString,
    /// API path.
    pub endpoint: CompactString,
    /// Input.
    pub input_file_id: CompactString,
    /// Results, readable while the job runs.
    pub output_file_id: CompactString,
    /// `in_progress`, `completed`, `cancelled`.
    pub status: CompactString,
    /// When it was submitted, in seconds since 1970.
    pub created_at: u64,
    /// When it is due, in seconds since 1970.
    pub expires_at: u64,
    /// Counts.
    pub request_counts: Counts,
}

/// Line of a batch output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultLine {
    /// Id of the result: job and item.
    pub id: CompactString,
    /// Caller's name for the item.
    pub custom_id: CompactString,
    /// Response, if the engine answered.
    pub response: Option<Response>,
    /// Error, if the item failed.
    pub error: Option<Error>,
}

/// Response in a batch output.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status_code: u16,
    /// Response body.
    pub body: Value,
}
