//! Simulated inference engine with continuous batching.
//!
//! The engine runs in steps. Each step admits waiting sequences in arrival order
//! up to a limit and produces one token for each running sequence. The step time
//! follows from the number of running sequences, the prompts admitted, and how
//! many of those hit the prefix cache. Tokens are a hash of the prompt and the
//! position, so a test can compute the expected answer without asking an engine.
//! Load reports and cache events lag, and some cache events are missing. The
//! engine records orders and started prompts for comparison with responses.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bitterncart_protocol::engine::{
    self, CacheEvent, Load, Order, Placement, RESUME_FIELD, Role, prefix_hash,
};
use bitterncart_protocol::{Name, api, hash};
use bitterncart_transport::Runtime;
use bitterncart_transport::http::chunks::Chunks;
use bitterncart_transport::http::sse::{DONE, event};
use bitterncart_transport::http::{Body, Handler, Method, Request, Response, StatusCode};
use futures_lite::StreamExt;
use serde_json::json;

use crate::fault::{Faults, Injector};
use crate::reply;
use crate::weights::Store;

/// Marker in a prompt that makes every attempt fail with status 500.
pub const POISON_MARKER: &str = "[poison]";

/// Timing and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Maximum number of sequences in a step.
    pub max_sequences: usize,
    /// Duration of a step before the per-sequence and prefill costs.
    pub base_step: Duration,
    /// Cost of each running sequence per step.
    pub per_sequence: Duration,
    /// Cost of each admitted prompt, in the step that admits it.
    pub prefill: Duration,
    /// Share of the prefill cost that a prefix cache hit saves, from 0 to 1.
    pub cached_share: f64,
    /// Capacity of the prefix cache, in prefixes.
    pub prefixes: usize,
    /// Delay of load reports and cache events.
    pub report_lag: Duration,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            max_sequences: 32,
            base_step: Duration::from_millis(8),
            per_sequence: Duration::from_micros(500),
            prefill: Duration::from_millis(4),
            cached_share: 0.8,
            prefixes: 64,
            report_lag: Duration::from_millis(500),
            checks_fencing: true,
        }
    }
}

impl Model {
    /// Duration of a step that runs `running` sequences, of which `admitted` are
    /// new and `cached` hit the prefix cache.
    #[must_use]
    pub fn step(&self, running: usize, admitted: usize, cached: usize) -> Duration {
        let uncached = admitted as f64 - self.cached_share * cached as f64;
        self.base_step
            + self.per_sequence * running as u32
            + self.prefill.mul_f64(uncached.max(0.0))
    }
}

/// Text of the token at a position of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let seed = hash::hash_parts(&[prompt.as_bytes(), &index.to_le_bytes()]);
    format!("{:04x} ", seed as u16)
}

/// Text of the complete answer to a prompt, of a number of tokens.
#[must_use]
pub fn completion_text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Completion in progress; dropping the receiver cancels it.
#[derive(Debug)]
struct Sequence {
    prompt: String,
    next_token: u32,
    end_token: u32,
    sender: Sender<u32>,
}

#[derive(Debug, Default)]
struct State {
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Sequences that never produce another token; their streams stay open.
    frozen: Vec<Sequence>,
    /// Prefix cache, least recently used first.
    prefixes: VecDeque<u64>,
    cache_events: Vec<(Instant, CacheEvent)>,
    load_reports: VecDeque<(Instant, Load)>,
    started_prompts: HashSet<String>,
    orders: Vec<Order>,
    placement: Placement,
    load_ends_at: Option<Instant>,
    failing_versions: HashSet<Name>,
    cache_hits: u64,
    cache_misses: u64,
}

impl State {
    fn finish_load_if_due(&mut self) {
        if self.load_ends_at.is_some_and(|at| at <= Instant::now()) {
            self.load_ends_at = None;
            self.placement.loading = false;
        }
    }
}

/// Simulated engine; clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Injected faults.
    pub faults: Injector,
    model: Model,
    weight_store: Option<Store>,
    state: Arc<Mutex<State>>,
    work_queued: Sender<()>,
}

impl Engine {
    /// Starts an engine whose steps run on a runtime.
    #[must_use]
    pub fn new(runtime: &Runtime, model: Model) -> Self {
        let (work_queued, queued) = async_channel::bounded(1);
        let engine = Self {
            faults: Injector::default(),
            model,
            weight_store: None,
            state: Arc::default(),
            work_queued,
        };
        runtime.spawn(engine.clone().run_steps(queued)).detach();
        engine
    }

    /// Sets the initial weights, and the store from which other weights load.
    #[must_use]
    pub fn with_weights(mut self, weights: Option<engine::Weights>, store: Store) -> Self {
        self.lock().placement.weights = weights;
        self.weight_store = Some(store);
        self
    }

    /// Makes every request fail while the engine runs a version of the weights.
    pub fn fail_version(&self, version: &str) {
        self.lock().failing_versions.insert(Name::from(version));
    }

    /// Current role, weights and number of sequences, without the report lag.
    #[must_use]
    pub fn placement(&self) -> Placement {
        let mut state = self.lock();
        state.finish_load_if_due();
        Placement {
            running: (state.running.len() + state.waiting.len()) as u32,
            ..state.placement.clone()
        }
    }

    fn is_leaving(&self) -> bool {
        let placement = self.placement();
        self.faults.get().leaving || placement.loading || placement.role == Role::Draining
    }

    fn runs_failing_version(&self) -> bool {
        let state = self.lock();
        let weights = state.placement.weights.as_ref();
        weights.is_some_and(|weights| state.failing_versions.contains(&weights.version))
    }

    /// Prompts for which at least one token was produced.
    #[must_use]
    pub fn started_prompts(&self) -> HashSet<String> {
        self.lock().started_prompts.clone()
    }

    /// Accepted orders, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Number of prefix cache hits and misses.
    #[must_use]
    pub fn cache_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.cache_hits, state.cache_misses)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_steps(self, queued: Receiver<()>) {
        loop {
            let (admitted, cached, running) = self.admit();
            if running == 0 {
                queued.recv().await.ok();
                continue;
            }
            let faults = self.faults.get();
            if faults.freeze {
                self.freeze_streams();
                continue;
            }
            let slowdown = if faults.slow > 0.0 { faults.slow } else { 1.0 };
            let step = self.model.step(running, admitted, cached).mul_f64(slowdown);
            smol::Timer::after(step).await;
            if !faults.silent && !faults.broken {
                self.emit_tokens();
            } else if faults.broken {
                self.lock().running.clear();
            }
        }
    }

    /// Stops all open streams for good and clears the fault, so new streams work.
    fn freeze_streams(&self) {
        let mut state = self.lock();
        let running = std::mem::take(&mut state.running);
        state.frozen.extend(running);
        self.faults.set(Faults {
            freeze: false,
            ..self.faults.get()
        });
    }

    /// Admits waiting sequences in arrival order, without regard to priority.
    /// Returns the numbers of admitted sequences, of cache hits among them, and of
    /// running sequences.
    fn admit(&self) -> (usize, usize, usize) {
        let mut state = self.lock();
        let (mut admitted, mut cached) = (0, 0);
        while state.running.len() < self.model.max_sequences {
            let Some(sequence) = state.waiting.pop_front() else {
                break;
            };
            if sequence.sender.is_closed() {
                continue;
            }
            admitted += 1;
            cached += usize::from(self.access_prefix(&mut state, prefix_hash(&sequence.prompt)));
            state.running.push(sequence);
        }
        self.record_load(&mut state);
        (admitted, cached, state.running.len())
    }

    /// Marks a prefix as most recently used and evicts the least recently used one
    /// beyond the capacity. Returns whether the prefix was cached.
    fn access_prefix(&self, state: &mut State, prefix: u64) -> bool {
        let at = state.prefixes.iter().position(|known| *known == prefix);
        if let Some(at) = at {
            state.prefixes.remove(at);
            state.cache_hits += 1;
        } else {
            state.cache_misses += 1;
            state.cache_events.push((
                Instant::now(),
                CacheEvent {
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
                    CacheEvent {
                        prefix,
                        stored: false,
                    },
                )
            });
            state.cache_events.extend(event);
        }
        at.is_some()
    }

    fn record_load(&self, state: &mut State) {
        const MAX_REPORTS: usize = 4096;
        let load = Load {
            running: state.running.len() as u32,
            waiting: state.waiting.len() as u32,
            leaving: false,
        };
        state.load_reports.push_back((Instant::now(), load));
        if state.load_reports.len() > MAX_REPORTS {
            state.load_reports.pop_front();
        }
    }

    fn emit_tokens(&self) {
        let mut state = self.lock();
        let mut running = std::mem::take(&mut state.running);
        for sequence in &mut running {
            if sequence.sender.try_send(sequence.next_token).is_ok() {
                state.started_prompts.insert(sequence.prompt.clone());
                sequence.next_token += 1;
            } else if !sequence.sender.is_closed() {
                sequence.next_token = sequence.end_token;
            }
        }
        running.retain(|sequence| {
            sequence.next_token < sequence.end_token && !sequence.sender.is_closed()
        });
        state.running = running;
    }

    /// Newest load report that is at least as old as the report lag.
    fn load(&self) -> Load {
        let Some(before) = Instant::now().checked_sub(self.model.report_lag) else {
            return Load::default();
        };
        let mut state = self.lock();
        while state
            .load_reports
            .get(1)
            .is_some_and(|(at, _)| *at <= before)
        {
            state.load_reports.pop_front();
        }
        let mut load = state
            .load_reports
            .front()
            .map(|(_, load)| *load)
            .unwrap_or_default();
        drop(state);
        load.leaving = self.is_leaving();
        load
    }

    /// Removes and returns the cache events older than the report lag. Each batch
    /// omits every seventh event, to exercise consumers that miss events.
    fn cache_events(&self) -> Vec<CacheEvent> {
        const OMITTED_EVERY: usize = 7;
        let mut state = self.lock();
        let before = Instant::now().checked_sub(self.model.report_lag);
        let due = before.map_or(0, |before| {
            state
                .cache_events
                .iter()
                .take_while(|(at, _)| *at <= before)
                .count()
        });
        let events: Vec<_> = state
            .cache_events
            .drain(..due)
            .map(|(_, event)| event)
            .collect();
        events
            .into_iter()
            .enumerate()
            .filter(|(i, _)| i % OMITTED_EVERY != OMITTED_EVERY - 1)
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
        if prompt.contains(POISON_MARKER) || self.runs_failing_version() {
            return reply::text(
                StatusCode::InternalServerError,
                "the prompt breaks the engine",
            );
        }
        let tokens = self.enqueue(&prompt, &completion);
        let last_index = completion.max_tokens_or_default().saturating_sub(1);
        let chunks = tokens.map(move |index| {
            let finish = (index == last_index).then_some("length");
            let text = token(&prompt, index);
            let choice = if chat {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            } else {
                json!({"index": 0, "text": text, "finish_reason": finish})
            };
            let mut events = event(&json!({"id": "cmpl", "choices": [choice]}).to_string());
            if index == last_index {
                events.push_str(&event(DONE));
            }
            Ok::<_, std::io::Error>(events.into_bytes())
        });
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header("Content-Type", "text/event-stream");
        response.set_body(Body::from_reader(Chunks::new(Box::pin(chunks)), None));
        response
    }

    fn enqueue(&self, prompt: &str, completion: &api::Completion) -> Receiver<u32> {
        let resume = completion
            .rest
            .get(RESUME_FIELD)
            .and_then(serde_json::Value::as_u64)
            .unwrap_or(0);
        let end_token = completion.max_tokens_or_default();
        let (sender, receiver) = async_channel::bounded(end_token.max(1) as usize);
        let sequence = Sequence {
            prompt: prompt.to_owned(),
            next_token: (resume as u32).min(end_token),
            end_token,
            sender,
        };
        self.lock().waiting.push_back(sequence);
        // A full channel already holds a notification that the step loop will receive.
        self.work_queued.try_send(()).ok();
        receiver
    }

    async fn apply_order(&self, mut request: Request) -> Response {
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
        state.placement.role = order.role;
        match order.weights.clone() {
            Some(weights) if state.placement.weights.as_ref() != Some(&weights) => {
                // Changing weights restarts the engine, so all sequences are lost.
                state.running.clear();
                state.waiting.clear();
                state.prefixes.clear();
                state.placement.weights = Some(weights);
                state.placement.loading = true;
                let load_ends_at = self
                    .weight_store
                    .as_ref()
                    .map_or_else(Instant::now, Store::schedule_load);
                state.load_ends_at = Some(load_ends_at);
            }
            _ => {}
        }
        state.orders.push(order);
        Response::new(StatusCode::Ok)
    }
}

impl Handler for Engine {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.intercept(&mut request).await {
            return response;
        }
        match (request.method(), request.url().path()) {
            (Method::Post, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            (Method::Get, "/load") => reply::json(&self.load()),
            (Method::Get, "/placement") => reply::json(&self.placement()),
            (Method::Get, "/cache_events") => reply::json(&self.cache_events()),
            (Method::Post, "/orders") => self.apply_order(request).await,
            _ => reply::not_found(),
        }
    }
}
