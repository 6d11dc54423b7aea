//! One sequence at a model engine.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::retry::Failure;
use bitterncart_coordination::routing::{Class, Key};
use bitterncart_protocol::engine::RESUME_FIELD;
use bitterncart_protocol::peer::{Ask, Reply};
use bitterncart_transport::Error;
use bitterncart_transport::http::sse::Events;
use bitterncart_transport::http::{Client, Method};
use serde_json::Value;

use crate::core::Core;
use crate::{batch, peers};

/// Time between two tokens after which an engine is taken for silent.
pub const GAP: Duration = Duration::from_secs(1);

/// Time for telling a replica's owner of pressure.
const TELL: Duration = Duration::from_millis(500);

/// How an attempt ended before its answer was whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// The engine or the way to it failed.
    Failed(Failure),
    /// The engine refused the request as wrong, with this status and body.
    Rejected(u16, String),
}

/// Event of a sequence.
#[derive(Clone, Debug)]
pub struct Token {
    /// Event as the engine sent it, JSON.
    pub data: String,
    /// Text of the token.
    pub text: String,
}

/// Sequence to be started.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch<'a> {
    /// Replica.
    pub key: Key,
    /// Class.
    pub class: Class,
    /// Path at the engine.
    pub endpoint: &'a str,
    /// Body of the request.
    pub request: &'a Value,
    /// Tokens that were made elsewhere.
    pub done: usize,
    /// Time for the first token.
    pub patience: Duration,
}

/// Sequence that runs at an engine; dropping it cancels it there.
#[derive(Debug)]
pub struct Sequence {
    core: Arc<Core>,
    key: Key,
    class: Class,
    events: Events,
    since: Duration,
    first: bool,
    patience: Duration,
}

/// Counts a sequence in the routing table as long as it lives.
#[derive(Debug)]
struct Place {
    core: Arc<Core>,
    key: Key,
    class: Class,
    kept: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.kept {
            leave(&self.core, self.key, self.class);
        }
    }
}

fn leave(core: &Arc<Core>, key: Key, class: Class) {
    core.routing().end(key, class);
    if class == Class::Online {
        tell(core, key, false);
    }
}

impl Sequence {
    /// Sends a request to a replica.
    ///
    /// # Errors
    ///
    /// How the attempt failed; the replica is left out where it is to blame.
    pub async fn start(core: &Arc<Core>, dispatch: Dispatch<'_>) -> Result<Self, Broken> {
        let opened = Self::open(core, dispatch).await;
        if let Err(broken) = &opened {
            note_fault(core, dispatch.key, dispatch.class, broken);
        }
        opened
    }

    async fn open(core: &Arc<Core>, dispatch: Dispatch<'_>) -> Result<Self, Broken> {
        let Dispatch {
            key,
            class,
            endpoint,
            request,
            done,
            patience,
        } = dispatch;
        let address = core.routing().replica(key).map(|replica| replica.address);
        let address = address.ok_or(Broken::Failed(Failure::Connect))?;
        let prefix = request_prefix(request);
        core.routing().start(key, class, prefix);
        let mut place = Place {
            core: Arc::clone(core),
            key,
            class,
            kept: false,
        };
        if class == Class::Online {
            tell(core, key, false);
        }
        let since = core.now();
        let mut body = request.clone();
        body["stream"] = true.into();
        if done > 0 {
            body[RESUME_FIELD] = done.into();
        }
        let mut http =
            Client::request(Method::Post, address, endpoint).map_err(|e| blame(core, key, &e))?;
        http.set_body(body.to_string());
        http.insert_header("Content-Type", "application/json");
        let client = core.http.clone().head(patience);
        let mut response = client
            .send(address, http)
            .await
            .map_err(|e| blame(core, key, &e))?;
        match u16::from(response.status()) {
            200 => {}
            503 | 429 => {
                let closing = response
                    .header("Connection")
                    .is_some_and(|c| c.as_str() == "close");
                note_refusal(core, key, closing);
                return Err(Broken::Failed(Failure::Refused));
            }
            status if status >= 500 => return Err(Broken::Failed(Failure::Broken)),
            status => {
                let body = core.http.bytes(&mut response).await.unwrap_or_default();
                return Err(Broken::Rejected(
                    status,
                    String::from_utf8_lossy(&body).into_owned(),
                ));
            }
        }
        place.kept = true;
        let events = Events::new(&mut response);
        Ok(Self {
            core: Arc::clone(core),
            key,
            class,
            events,
            since,
            first: true,
            patience,
        })
    }

    /// Next token; `None` when the answer is whole.
    ///
    /// # Errors
    ///
    /// If the stream breaks or goes silent.
    pub async fn next(&mut self) -> Result<Option<Token>, Broken> {
        let bound = if self.first { self.patience } else { GAP };
        let event = self.events.next(bound).await.map_err(|e| {
            let broken = blame(&self.core, self.key, &e);
            note_fault(&self.core, self.key, self.class, &broken);
            broken
        })?;
        let now = self.core.now();
        let passed = now.saturating_sub(self.since);
        self.since = now;
        let Some(data) = event else { return Ok(None) };
        self.note(now, passed);
        let value: Value =
            serde_json::from_str(&data).map_err(|_| Broken::Failed(Failure::Broken))?;
        let choice = &value["choices"][0];
        let text = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str());
        let text = text.unwrap_or_default().to_owned();
        Ok(Some(Token { data, text }))
    }

    fn note(&mut self, now: Duration, passed: Duration) {
        let first = std::mem::take(&mut self.first);
        if first {
            let mut routing = self.core.routing();
            routing.first(now, self.key, passed);
            routing.alive(self.key);
        }
        match (first, self.class) {
            (true, Class::Online) => batch::first(&self.core, self.key, now, passed),
            (true, Class::Batch) => {}
            (false, _) => batch::token(&self.core, self.key, now, passed),
        }
    }
}

impl Drop for Sequence {
    fn drop(&mut self) {
        leave(&self.core, self.key, self.class);
    }
}

/// Hash of a request's prompt prefix.
#[must_use]
pub fn request_prefix(request: &Value) -> Option<u64> {
    let completion: bitterncart_protocol::api::Completion =
        serde_json::from_value(request.clone()).ok()?;
    Some(bitterncart_protocol::engine::prefix(&completion.prompt()))
}

/// Counts what speaks against the weights of a replica; a refusal does not, nor
/// does a batch item, which may itself be impossible.
fn note_fault(core: &Core, key: Key, class: Class, broken: &Broken) {
    match (class, broken) {
        (Class::Online, Broken::Failed(failure)) if *failure != Failure::Refused => {
            core.routing().fault(core.now(), key);
        }
        _ => {}
    }
}

fn note_refusal(core: &Core, key: Key, closing: bool) {
    let now = core.now();
    let mut routing = core.routing();
    if closing {
        routing.leaving(now, key);
    } else {
        routing.failed(now, key);
    }
}

fn blame(core: &Core, key: Key, error: &Error) -> Broken {
    core.routing().failed(core.now(), key);
    Broken::Failed(failure(error))
}

/// Failure of a transport error.
#[must_use]
pub fn failure(error: &Error) -> Failure {
    match error {
        Error::Connect(_) => Failure::Connect,
        Error::Refused(_) => Failure::Refused,
        Error::Silent => Failure::Silent,
        Error::Broken(_) | Error::Malformed(_) => Failure::Broken,
    }
}

/// Tells the owner of a replica of this daemon's online use, if it is due.
pub fn tell(core: &Arc<Core>, key: Key, late: bool) {
    let now = core.now();
    let Some(replica) = core.routing().replica(key).cloned() else {
        return;
    };
    let level = if late {
        core.interest().late(now, key).then_some(replica.online)
    } else {
        core.interest().note(now, key, replica.online)
    };
    let Some(level) = level else { return };
    let Some(owner) = core.replica_owner(&replica.name, &replica.data_centre) else {
        return;
    };
    if owner.daemon == core.me {
        let others = batch::pressure(core, &replica.name, &core.me, level, late);
        core.routing().others(now, key, others);
        return;
    }
    let core_of = Arc::clone(core);
    let ask = Ask::Pressure {
        replica: replica.name,
        daemon: core.me.clone(),
        running: level.try_into().unwrap_or(u16::MAX),
        late,
    };
    let task = async move {
        // A lost report is made good by the owner's own measurements.
        if let Ok(Reply::Others(others)) = peers::ask(&core_of, &owner, &ask, TELL).await {
            let now = core_of.now();
            core_of.routing().others(now, key, others.into());
        }
    };
    core.runtime.spawn(task).detach();
}
