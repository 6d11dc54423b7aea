//! Model engine with continuous batching.
//!
//! A step takes longer with each running sequence and with the prompts that it
//! admits; each running sequence gets one token a step. The tokens are a
//! function of the prompt, so a caller can tell its own whole answer.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bitterncart_protocol::engine::{self, Cached, Load, Order, Placed, RESUME_FIELD, Role, prefix};
use bitterncart_protocol::{Name, api, hash};
use bitterncart_transport::Runtime;
use bitterncart_transport::http::chunks::Chunks;
use bitterncart_transport::http::sse::{DONE, event};
use bitterncart_transport::http::{Body, Handler, Method, Request, Response, StatusCode};
use futures_lite::StreamExt;
use serde_json::json;

use crate::fault::{Faults, Switch};
use crate::reply;
use crate::weights::Weights;

/// Text in a prompt that no attempt can complete.
pub const POISON: &str = "[poison]";

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Sequences at once.
    pub max_sequences: usize,
    /// Time of a step without sequences.
    pub base: Duration,
    /// Time that each running sequence adds to a step.
    pub each: Duration,
    /// Time that a prompt adds to the step that admits it.
    pub prefill: Duration,
    /// Share of that time that a cached prefix saves.
    pub cached: f64,
    /// Prefixes in the cache.
    pub prefixes: usize,
    /// Lag of the load report.
    pub lag: Duration,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            max_sequences: 32,
            base: Duration::from_millis(8),
            each: Duration::from_micros(500),
            prefill: Duration::from_millis(4),
            cached: 0.8,
            prefixes: 64,
            lag: Duration::from_millis(500),
            checks_fencing: true,
        }
    }
}

impl Model {
    /// Time of a step.
    #[must_use]
    pub fn step(&self, running: usize, admitted: usize, cached: usize) -> Duration {
        let fresh = admitted as f64 - self.cached * cached as f64;
        self.base + self.each * running as u32 + self.prefill.mul_f64(fresh.max(0.0))
    }
}

/// Token of an answer.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let seed = hash::parts(&[prompt.as_bytes(), &index.to_le_bytes()]);
    format!("{:04x} ", seed as u16)
}

/// Whole answer to a prompt.
#[must_use]
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

#[derive(Debug)]
struct Sequence {
    prompt: String,
    next: u32,
    end: u32,
    tokens: Sender<u32>,
}

#[derive(Debug, Default)]
struct State {
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Streams whose other end has lost track of them.
    frozen: Vec<Sequence>,
    prefixes: VecDeque<u64>,
    events: Vec<(Instant, Cached)>,
    reports: VecDeque<(Instant, Load)>,
    started: HashSet<String>,
    orders: Vec<Order>,
    placed: Placed,
    loaded_at: Option<Instant>,
    bad: HashSet<Name>,
    hits: u64,
    misses: u64,
}

impl State {
    fn end_load(&mut self) {
        if self.loaded_at.is_some_and(|at| at <= Instant::now()) {
            self.loaded_at = None;
            self.placed.loading = false;
        }
    }
}

/// Model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Faults.
    pub faults: Switch,
    model: Model,
    store: Option<Weights>,
    state: Arc<Mutex<State>>,
    wake: Sender<()>,
}

impl Engine {
    /// Engine that steps on a runtime.
    #[must_use]
    pub fn new(runtime: &Runtime, model: Model) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        let engine = Self {
            faults: Switch::default(),
            model,
            store: None,
            state: Arc::default(),
            wake,
        };
        runtime.spawn(engine.clone().step_forever(woken)).detach();
        engine
    }

    /// Engine that runs weights and loads others from a store.
    #[must_use]
    pub fn with_weights(mut self, weights: Option<engine::Weights>, store: Weights) -> Self {
        self.lock().placed.weights = weights;
        self.store = Some(store);
        self
    }

    /// Lets all requests fail that meet a version.
    pub fn break_version(&self, version: &str) {
        self.lock().bad.insert(Name::from(version));
    }

    /// What it runs.
    #[must_use]
    pub fn placed(&self) -> Placed {
        let mut state = self.lock();
        state.end_load();
        Placed {
            running: (state.running.len() + state.waiting.len()) as u32,
            ..state.placed.clone()
        }
    }

    fn is_leaving(&self) -> bool {
        let placed = self.placed();
        self.faults.get().leaving || placed.loading || placed.role == Role::Draining
    }

    fn is_bad(&self) -> bool {
        let state = self.lock();
        let weights = state.placed.weights.as_ref();
        weights.is_some_and(|weights| state.bad.contains(&weights.version))
    }

    /// Prompts of which at least one token was made.
    #[must_use]
    pub fn started(&self) -> HashSet<String> {
        self.lock().started.clone()
    }

    /// Orders taken, in order.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Prefix cache hits and misses.
    #[must_use]
    pub fn cache(&self) -> (u64, u64) {
        let state = self.lock();
        (state.hits, state.misses)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn step_forever(self, woken: Receiver<()>) {
        loop {
            let (admitted, cached, running) = self.admit();
            if running == 0 {
                woken.recv().await.ok();
                continue;
            }
            let faults = self.faults.get();
            if faults.freeze {
                self.freeze();
                continue;
            }
            let slow = if faults.slow > 0.0 { faults.slow } else { 1.0 };
            let step = self.model.step(running, admitted, cached).mul_f64(slow);
            smol::Timer::after(step).await;
            if !faults.silent && !faults.broken {
                self.emit();
            } else if faults.broken {
                self.lock().running.clear();
            }
        }
    }

    /// Lets the open streams go silent and takes the fault back.
    fn freeze(&self) {
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        state.frozen.extend(running);
        self.faults.set(Faults {
            freeze: false,
            ..self.faults.get()
        });
    }

    /// Admits waiting sequences in order of arrival, whatever their class.
    fn admit(&self) -> (usize, usize, usize) {
        let mut state = self.lock();
        let (mut admitted, mut cached) = (0, 0);
        while state.running.len() < self.model.max_sequences {
            let Some(sequence) = state.waiting.pop_front() else {
                break;
            };
            if sequence.tokens.is_closed() {
                continue;
            }
            admitted += 1;
            cached += usize::from(self.touch(&mut state, prefix(&sequence.prompt)));
            state.running.push(sequence);
        }
        self.note_load(&mut state);
        (admitted, cached, state.running.len())
    }

    /// Looks a prefix up and keeps it; the oldest is evicted.
    fn touch(&self, state: &mut State, prefix: u64) -> bool {
        let at = state.prefixes.iter().position(|known| *known == prefix);
        if let Some(at) = at {
            state.prefixes.remove(at);
            state.hits += 1;
        } else {
            state.misses += 1;
            state.events.push((
                Instant::now(),
                Cached {
                    prefix,
                    stored: true,
                },
            ));
        }
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > self.model.prefixes {
            let evicted = state.prefixes.pop_front();
            let event = evicted.map(|prefix| {
                (
                    Instant::now(),
                    Cached {
                        prefix,
                        stored: false,
                    },
                )
            });
            state.events.extend(event);
        }
        at.is_some()
    }

    fn note_load(&self, state: &mut State) {
        const KEPT: usize = 4096;
        let load = Load {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            leaving: false,
        };
        state.reports.push_back((Instant::now(), load));
        if state.reports.len() > KEPT {
            state.reports.pop_front();
        }
    }

    fn emit(&self) {
        let mut state = self.lock();
        let mut running = std::mem::take(&mut state.running);
        for sequence in &mut running {
            if sequence.tokens.try_send(sequence.next).is_ok() {
                state.started.insert(sequence.prompt.clone());
                sequence.next += 1;
            } else if !sequence.tokens.is_closed() {
                sequence.next = sequence.end;
            }
        }
        running.retain(|sequence| sequence.next < sequence.end && !sequence.tokens.is_closed());
        state.running = running;
    }

    fn load(&self) -> Load {
        let Some(before) = Instant::now().checked_sub(self.model.lag) else {
            return Load::default();
        };
        let mut state = self.lock();
        while state.reports.get(1).is_some_and(|(at, _)| *at <= before) {
            state.reports.pop_front();
        }
        let mut load = state
            .reports
            .front()
            .map(|(_, load)| *load)
            .unwrap_or_default();
        drop(state);
        load.leaving = self.is_leaving();
        load
    }

    /// Cache events, late, and every seventh missing.
    fn cache_events(&self) -> Vec<Cached> {
        const GAP: usize = 7;
        let mut state = self.lock();
        let late = Instant::now().checked_sub(self.model.lag);
        let due = late.map_or(0, |late| {
            state
                .events
                .iter()
                .take_while(|(at, _)| *at <= late)
                .count()
        });
        let events: Vec<_> = state.events.drain(..due).map(|(_, event)| event).collect();
        events
            .into_iter()
            .enumerate()
            .filter(|(i, _)| i % GAP != GAP - 1)
            .map(|(_, e)| e)
            .collect()
    }

    async fn complete(&self, mut request: Request) -> Response {
        if self.is_leaving() {
            let mut response = reply::text(StatusCode::ServiceUnavailable, "leaving");
            response.insert_header("Connection", "close");
            return response;
        }
        let chat = request.url().path().ends_with("/chat/completions");
        let Ok(completion) = request.body_json::<api::Completion>().await else {
            return reply::text(StatusCode::BadRequest, "send a completion");
        };
        let prompt = completion.prompt();
        if prompt.contains(POISON) || self.is_bad() {
            return reply::text(
                StatusCode::InternalServerError,
                "the prompt breaks the engine",
            );
        }
        let tokens = self.enqueue(&prompt, &completion);
        let last = completion.tokens().saturating_sub(1);
        let text = tokens.map(move |index| {
            let finish = (index == last).then_some("length");
            let text = token(&prompt, index);
            let choice = if chat {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            } else {
                json!({"index": 0, "text": text, "finish_reason": finish})
            };
            let mut events = event(&json!({"id": "cmpl", "choices": [choice]}).to_string());
            if index == last {
                events.push_str(&event(DONE));
            }
            Ok::<_, std::io::Error>(events.into_bytes())
        });
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("Content-Type", "text/event-stream");
        response.set_body(Body::from_reader(Chunks::new(Box::pin(text)), None));
        response
    }

    fn enqueue(&self, prompt: &str, completion: &api::Completion) -> Receiver<u32> {
        let resume = completion
            .rest
            .get(RESUME_FIELD)
            .and_then(serde_json::Value::as_u64)
            .unwrap_or(0);
        let end = completion.tokens();
        let (sender, receiver) = async_channel::bounded(end.max(1) as usize);
        let sequence = Sequence {
            prompt: prompt.to_owned(),
            next: (resume as u32).min(end),
            end,
            tokens: sender,
        };
        self.lock().waiting.push_back(sequence);
        // A full channel means that a wake-up is on its way already.
        self.wake.try_send(()).ok();
        receiver
    }

    async fn order(&self, mut request: Request) -> Response {
        let Ok(order) = request.body_json::<Order>().await else {
            return reply::text(StatusCode::BadRequest, "send an order");
        };
        let mut state = self.lock();
        let newest = state
            .orders
            .iter()
            .map(|order| order.fencing)
            .max()
            .unwrap_or(0);
        if self.model.checks_fencing && order.fencing < newest {
            return reply::text(StatusCode::Conflict, "old fencing number");
        }
        state.placed.role = order.role;
        match order.weights.clone() {
            Some(weights) if state.placed.weights.as_ref() != Some(&weights) => {
                // What runs is lost, as with an engine that is started anew.
                state.running.clear();
                state.waiting.clear();
                state.prefixes.clear();
                state.placed.weights = Some(weights);
                state.placed.loading = true;
                let turn = self.store.as_ref().map_or_else(Instant::now, Weights::turn);
                state.loaded_at = Some(turn);
            }
            _ => {}
        }
        state.orders.push(order);
        Response::new(StatusCode::Ok)
    }
}

impl Handler for Engine {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.meet(&mut request).await {
            return response;
        }
        match (request.method(), request.url().path()) {
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            (Method::Get, "/load") => reply::json(&self.load()),
            (Method::Get, "/placement") => reply::json(&self.placed()),
            (Method::Get, "/cache_events") => reply::json(&self.cache_events()),
            (Method::Post, "/orders") => self.order(request).await,
            _ => reply::not_found(),
        }
    }
}
