//! Request and response bodies of the HTTP API that callers use.
//!
//! The API follows the common completion and batch endpoints of model
//! servers: completions, files and batches below `/v1`. Every error response
//! has a [`Failure`] body, which gives a stable code, whether the work was run
//! and whether a retry can succeed. Field names are part of the API.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Code, Name};

/// Completion or chat completion request; fields that the daemon does not read are passed to
/// the engine unchanged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
    /// Name of the model.
    pub model: Name,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields, passed through unchanged.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl Completion {
    /// Maximum number of tokens to generate if the request sets no `max_tokens`.
    pub const DEFAULT_MAX_TOKENS: u32 = 256;

    /// Maximum number of tokens to generate, with the default applied.
    #[must_use]
    pub fn max_tokens_or_default(&self) -> u32 {
        self.max_tokens.unwrap_or(Self::DEFAULT_MAX_TOKENS)
    }

    /// Prompt text for prefix-aware routing: `prompt`, or the contents of `messages` joined by
    /// newlines.
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

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Error details.
    pub error: Error,
}

/// Details of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Result code.
    pub code: Code,
    /// Name of the result code.
    #[serde(rename = "type")]
    pub kind: CompactString,
    /// Description of this failure.
    pub message: String,
    /// Whether the work was run: `not_run`, `unknown` or `ran`.
    pub ran: CompactString,
    /// Whether the same request may succeed later.
    pub retry: bool,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Recommended action for the caller.
    pub advice: CompactString,
}

impl Failure {
    /// Error with the name, retry rule and advice of `code`.
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

    /// Sets the time to wait before a retry, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.error.retry_after_ms = Some(ms);
        self
    }
}

/// Body of a `POST /v1/batches` request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CreateBatch {
    /// Id of the uploaded input file.
    pub input_file_id: CompactString,
    /// API path that every line of the file requests.
    pub endpoint: CompactString,
    /// Time from submission to the deadline, such as `24h` or `90s`.
    #[serde(default)]
    pub completion_window: Option<CompactString>,
}

/// Line of a batch input file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    /// Item id chosen by the caller.
    pub custom_id: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// API path of the request.
    pub url: CompactString,
    /// Request body.
    pub body: Completion,
}

/// Item counts of a batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// All items.
    pub total: u32,
    /// Items that completed successfully.
    pub completed: u32,
    /// Items that failed.
    pub failed: u32,
}

/// Batch job in API responses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Batch id.
    pub id: CompactString,
    /// Object type, always `batch`.
    pub object: CompactString,
    /// API path that every item requests.
    pub endpoint: CompactString,
    /// Id of the input file.
    pub input_file_id: CompactString,
    /// Id of the result file, which can be read while the job runs.
    pub output_file_id: CompactString,
    /// `in_progress`, `completed` or `cancelled`.
    pub status: CompactString,
    /// Submission time, in seconds since the Unix epoch.
    pub created_at: u64,
    /// Deadline, in seconds since the Unix epoch.
    pub expires_at: u64,
    /// Item counts.
    pub request_counts: Counts,
}

/// Line of a batch result file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResultLine {
    /// Id of the result, made of the job id and the item's position.
    pub id: CompactString,
    /// Item id chosen by the caller.
    pub custom_id: CompactString,
    /// Response of the engine, if there is one.
    pub response: Option<Response>,
    /// Error, if the item failed.
    pub error: Option<Error>,
}

/// HTTP response in a line of a result file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status.
    pub status_code: u16,
    /// Response body in JSON.
    pub body: Value,
}
