//! Completions and chat completions, streamed or in one response.
//!
//! The first token is awaited before the response starts, so that a failure up to
//! then has an HTTP status of its own. A failure in a started stream is sent as an
//! error event. The tokens are charged to the customer when the request ends.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bitterncart_protocol::api::Completion;
use bitterncart_protocol::{Code, Document};
use bitterncart_transport::http::chunks::Chunks;
use bitterncart_transport::http::sse::{DONE, event};
use bitterncart_transport::http::{Body, Request, Response, StatusCode, server};
use serde_json::Value;

use super::permit::Permit;
use super::relay::{Inference, Relay};
use super::{ApiError, Result, body, customer, deadline};
use crate::core::Core;
use crate::counters::Count;
use crate::engine::Token;
use crate::response_body;

/// Number of events buffered for a slow caller before its stream is held back.
const STREAM_BUFFER_EVENTS: usize = 256;

/// Serves a completion request.
pub(super) async fn complete(
    core: &Arc<Core>,
    request: &mut Request,
    path: &str,
) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let bytes = body(request).await?;
    let completion = parse(&bytes, path)?;
    let deadline_ms = online_deadline_ms(&document, &completion)?;
    let deadline = core.now() + deadline(request, deadline_ms)?;
    let permit = Permit::admit(core, &customer)?;
    let inference = inference(&document, &completion, &bytes, path, deadline)?;
    let mut relay = Relay::new(core, inference);
    let first = relay.next().await?;
    if completion.stream {
        Ok(stream(core, relay, permit, first))
    } else {
        unstreamed(core, relay, permit, first, &completion, path).await
    }
}

fn parse(bytes: &[u8], path: &str) -> Result<Completion> {
    let completion: Completion = serde_json::from_slice(bytes)
        .map_err(|e| ApiError::new(Code::MalformedJson, e.to_string()))?;
    let field = if path.ends_with("/chat/completions") {
        "messages"
    } else {
        "prompt"
    };
    if !completion.rest.contains_key(field) {
        return Err(ApiError::new(
            Code::MalformedJson,
            format!("the field `{field}` is missing"),
        ));
    }
    if completion.max_tokens == Some(0) {
        return Err(ApiError::new(
            Code::MalformedJson,
            "`max_tokens` is at least 1",
        ));
    }
    Ok(completion)
}

/// Default deadline of the model, in milliseconds.
fn online_deadline_ms(document: &Document, completion: &Completion) -> Result<u64> {
    let model = document.model(completion.model.as_str());
    let online = model.and_then(|model| model.online.as_ref());
    let online = online.ok_or_else(|| {
        ApiError::new(
            Code::UnknownModel,
            format!("no model `{}` is served online", completion.model),
        )
    })?;
    Ok(online.deadline_ms)
}

fn inference(
    document: &Document,
    completion: &Completion,
    bytes: &[u8],
    path: &str,
    deadline: Duration,
) -> Result<Inference> {
    let model = document.model(completion.model.as_str());
    let (max_tokens, ttft_ms) = model
        .and_then(|model| Some((model.max_tokens, model.online.as_ref()?.ttft_ms)))
        .ok_or(Code::UnknownModel)?;
    if completion.max_tokens_or_default() > max_tokens {
        let message = format!("`max_tokens` is at most {max_tokens} for this model");
        return Err(ApiError::new(Code::MalformedJson, message));
    }
    let mut body: Value = serde_json::from_slice(bytes)
        .map_err(|e| ApiError::new(Code::MalformedJson, e.to_string()))?;
    // Stated explicitly, so that every attempt generates the same number of tokens.
    body["max_tokens"] = completion.max_tokens_or_default().into();
    Ok(Inference {
        model: completion.model.clone(),
        endpoint: path.to_owned(),
        body,
        deadline,
        ttft_bound: Duration::from_millis(ttft_ms),
    })
}

async fn unstreamed(
    core: &Core,
    mut relay: Relay,
    mut permit: Permit,
    first: Option<Token>,
    completion: &Completion,
    path: &str,
) -> Result<Response> {
    let mut text = String::new();
    let mut next = first;
    while let Some(token) = next {
        text.push_str(&token.text);
        permit.tokens += 1;
        next = relay.next().await?;
    }
    count_answered(core, &permit);
    let mut body = response_body::completion(path, &completion.model, &text);
    body["usage"] = serde_json::json!({"completion_tokens": permit.tokens});
    Ok(server::json(200, &body))
}

fn count_answered(core: &Core, permit: &Permit) {
    core.counters.add(Count::OnlineAnswered, 1);
    core.counters.add(Count::OnlineTokens, permit.tokens.into());
}

fn stream(core: &Arc<Core>, relay: Relay, permit: Permit, first: Option<Token>) -> Response {
    let (sender, receiver) = async_channel::bounded(STREAM_BUFFER_EVENTS);
    let task = send_events(Arc::clone(core), relay, permit, first, sender);
    core.runtime.spawn(task).detach();
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("Content-Type", "text/event-stream");
    response.set_body(Body::from_reader(Chunks::new(Box::pin(receiver)), None));
    response
}

/// Sends tokens to the caller until the answer is complete or fails, or the caller
/// disconnects.
async fn send_events(
    core: Arc<Core>,
    mut relay: Relay,
    mut permit: Permit,
    first: Option<Token>,
    sender: Sender<std::io::Result<Vec<u8>>>,
) {
    let mut next: Result<Option<Token>> = Ok(first);
    loop {
        let (text, more) = match next {
            Ok(Some(token)) => (event(&token.data), true),
            Ok(None) => (event(DONE), false),
            Err(error) => {
                core.counters.count_code(error.code);
                (
                    response_body::error_event(error.code, &error.message),
                    false,
                )
            }
        };
        let is_done = text == event(DONE);
        if sender.send(Ok(text.into_bytes())).await.is_err() {
            return;
        }
        permit.tokens += u32::from(more);
        if is_done {
            count_answered(&core, &permit);
        }
        if !more {
            return;
        }
        next = relay.next().await;
    }
}
