//! Completions and chat completions.

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
use super::relay::{Question, Relay};
use super::{Refusal, Result, body, customer, deadline};
use crate::answer::{error_event, whole_response};
use crate::core::Core;
use crate::counters::Count;
use crate::engine::Token;

/// Events that a slow caller may leave unread before its stream waits.
const BUFFER: usize = 256;

/// Answers a completion.
pub(super) async fn complete(
    core: &Arc<Core>,
    request: &mut Request,
    path: &str,
) -> Result<Response> {
    let customer = customer(core, request)?;
    let document = core.document()?;
    let bytes = body(request).await?;
    let completion = parse(&bytes, path)?;
    let deadline_ms = online_deadline(&document, &completion)?;
    let until = core.now() + deadline(request, deadline_ms)?;
    let permit = Permit::admit(core, &customer)?;
    let question = question(&document, &completion, &bytes, path, until)?;
    let mut relay = Relay::new(core, question);
    let first = relay.next().await?;
    if completion.stream {
        Ok(stream(core, relay, permit, first))
    } else {
        whole(core, relay, permit, first, &completion, path).await
    }
}

fn parse(bytes: &[u8], path: &str) -> Result<Completion> {
    let completion: Completion = serde_json::from_slice(bytes)
        .map_err(|e| Refusal::new(Code::MalformedJson, e.to_string()))?;
    let field = if path.ends_with("/chat/completions") {
        "messages"
    } else {
        "prompt"
    };
    if !completion.rest.contains_key(field) {
        return Err(Refusal::new(
            Code::MalformedJson,
            format!("the field `{field}` is missing"),
        ));
    }
    if completion.max_tokens == Some(0) {
        return Err(Refusal::new(
            Code::MalformedJson,
            "`max_tokens` is at least 1",
        ));
    }
    Ok(completion)
}

fn online_deadline(document: &Document, completion: &Completion) -> Result<u64> {
    let model = document.model(completion.model.as_str());
    let online = model.and_then(|model| model.online.as_ref());
    let online = online.ok_or_else(|| {
        Refusal::new(
            Code::UnknownModel,
            format!("no model `{}` is served online", completion.model),
        )
    })?;
    Ok(online.deadline_ms)
}

fn question(
    document: &Document,
    completion: &Completion,
    bytes: &[u8],
    path: &str,
    until: Duration,
) -> Result<Question> {
    let model = document.model(completion.model.as_str());
    let (max_tokens, ttft_ms) = model
        .and_then(|model| Some((model.max_tokens, model.online.as_ref()?.ttft_ms)))
        .ok_or(Code::UnknownModel)?;
    if completion.tokens() > max_tokens {
        let message = format!("`max_tokens` is at most {max_tokens} for this model");
        return Err(Refusal::new(Code::MalformedJson, message));
    }
    let mut body: Value = serde_json::from_slice(bytes)
        .map_err(|e| Refusal::new(Code::MalformedJson, e.to_string()))?;
    // Every attempt has to make the same number of tokens.
    body["max_tokens"] = completion.tokens().into();
    Ok(Question {
        model: completion.model.clone(),
        endpoint: path.to_owned(),
        body,
        until,
        ttft: Duration::from_millis(ttft_ms),
    })
}

async fn whole(
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
    answered(core, &permit);
    let mut body = whole_response(path, &completion.model, &text);
    body["usage"] = serde_json::json!({"completion_tokens": permit.tokens});
    Ok(server::json(200, &body))
}

fn answered(core: &Core, permit: &Permit) {
    core.counters.add(Count::OnlineAnswered, 1);
    core.counters.add(Count::OnlineTokens, permit.tokens.into());
}

fn stream(core: &Arc<Core>, relay: Relay, permit: Permit, first: Option<Token>) -> Response {
    let (sender, receiver) = async_channel::bounded(BUFFER);
    let task = pump(Arc::clone(core), relay, permit, first, sender);
    core.runtime.spawn(task).detach();
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("Content-Type", "text/event-stream");
    response.set_body(Body::from_reader(Chunks::new(Box::pin(receiver)), None));
    response
}

/// Passes tokens on until the answer is whole, fails, or nobody reads it.
async fn pump(
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
            Err(refusal) => {
                core.counters.code(refusal.code);
                (error_event(refusal.code, &refusal.message), false)
            }
        };
        let is_done = text == event(DONE);
        if sender.send(Ok(text.into_bytes())).await.is_err() {
            return;
        }
        permit.tokens += u32::from(more);
        if is_done {
            answered(&core, &permit);
        }
        if !more {
            return;
        }
        next = relay.next().await;
    }
}
