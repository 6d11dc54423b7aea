//! Response bodies, for callers and for batch results.

use bitterncart_protocol::api::Failure;
use bitterncart_protocol::{Code, Name};
use bitterncart_transport::http::sse;
use serde_json::{Value, json};

/// Body of a completion that is not streamed; the endpoint selects its form.
#[must_use]
pub fn completion(endpoint: &str, model: &Name, text: &str) -> Value {
    let choice = if endpoint.ends_with("/chat/completions") {
        json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"})
    } else {
        json!({"index": 0, "text": text, "finish_reason": "stop"})
    };
    let object = if endpoint.ends_with("/chat/completions") {
        "chat.completion"
    } else {
        "text_completion"
    };
    json!({"id": "cmpl", "object": object, "model": model.as_str(), "choices": [choice]})
}

/// Server-sent event with an error, which ends a stream.
#[must_use]
pub fn error_event(code: Code, message: &str) -> String {
    let failure = Failure::new(code, message);
    sse::event(&serde_json::to_string(&failure).unwrap_or_default())
}
