//! Log service: streams, offsets, retention, a limit on appends a second.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bitterncart_protocol::log::{Appended, Entry, Page};
use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};
use bitterncart_transport::runtime::wall_ms;

use crate::fault::Switch;
use crate::reply;

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Appends a second; more are refused.
    pub appends_per_s: u32,
    /// How long entries are kept.
    pub retention: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            appends_per_s: 300,
            retention: Duration::from_secs(7 * 24 * 3600),
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: VecDeque<Entry>,
    waiting: Vec<Sender<()>>,
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Stream>,
    window: Instant,
    in_window: u32,
    appends: u64,
    bytes: u64,
    refused: u64,
    busiest: u32,
}

/// What the service did so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Appends taken.
    pub appends: u64,
    /// Bytes appended.
    pub bytes: u64,
    /// Appends refused for the limit.
    pub refused: u64,
    /// Appends in the busiest second.
    pub busiest: u32,
}

/// Log service.
#[derive(Clone, Debug)]
pub struct Log {
    /// Faults.
    pub faults: Switch,
    limits: Limits,
    state: Arc<Mutex<State>>,
}

impl Log {
    /// Service without entries.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            streams: HashMap::new(),
            window: Instant::now(),
            in_window: 0,
            appends: 0,
            bytes: 0,
            refused: 0,
            busiest: 0,
        };
        Self {
            faults: Switch::default(),
            limits,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// What the service did so far.
    #[must_use]
    pub fn totals(&self) -> Totals {
        let state = self.lock();
        Totals {
            appends: state.appends,
            bytes: state.bytes,
            refused: state.refused,
            busiest: state.busiest,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, name: &str, payload: Vec<u8>) -> Option<u64> {
        let mut state = self.lock();
        if state.window.elapsed() >= Duration::from_secs(1) {
            state.window = Instant::now();
            state.in_window = 0;
        }
        if state.in_window >= self.limits.appends_per_s {
            state.refused += 1;
            return None;
        }
        state.in_window += 1;
        state.busiest = state.busiest.max(state.in_window);
        state.appends += 1;
        state.bytes += payload.len() as u64;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.first + stream.entries.len() as u64;
        stream.entries.push_back(Entry {
            offset,
            at_ms: wall_ms(),
            payload,
        });
        // Dropping the senders wakes the readers that wait.
        stream.waiting.clear();
        Some(offset)
    }

    fn page(&self, name: &str, from: u64, max_bytes: usize) -> Page {
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.expire(self.limits.retention);
        let next = stream.first + stream.entries.len() as u64;
        let skip = from.saturating_sub(stream.first) as usize;
        let mut bytes = 0;
        let entries = stream
            .entries
            .iter()
            .skip(skip)
            .take_while(|entry| {
                let fits = bytes == 0 || bytes + entry.payload.len() <= max_bytes;
                bytes += entry.payload.len();
                fits
            })
            .cloned()
            .collect();
        Page {
            first: stream.first,
            next,
            entries,
        }
    }

    fn wait(&self, name: &str) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.lock();
        state
            .streams
            .entry(name.to_owned())
            .or_default()
            .waiting
            .push(sender);
        receiver
    }

    async fn read(&self, request: &Request, name: &str) -> Response {
        let number = |key: &str| {
            let mut pairs = request.url().query_pairs();
            pairs
                .find(|(k, _)| k == key)
                .and_then(|(_, v)| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (from, max_bytes) = (number("from"), number("max_bytes") as usize);
        let wait = self.wait(name);
        let mut page = self.page(name, from, max_bytes);
        if page.entries.is_empty() {
            let appended = async {
                wait.recv().await.ok();
            };
            let late = async {
                smol::Timer::after(Duration::from_millis(number("wait_ms"))).await;
            };
            futures_lite::future::or(appended, late).await;
            page = self.page(name, from, max_bytes);
        }
        match postcard::to_stdvec(&page) {
            Ok(bytes) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(bytes);
                response
            }
            Err(e) => reply::text(StatusCode::InternalServerError, &e.to_string()),
        }
    }

    async fn write(&self, mut request: Request, name: &str) -> Response {
        let Ok(payload) = request.body_bytes().await else {
            return reply::text(StatusCode::BadRequest, "the body is cut off");
        };
        match self.append(name, payload) {
            Some(offset) => self.faults.deliver(reply::json(&Appended { offset })),
            None => reply::text(
                StatusCode::TooManyRequests,
                "over the limit of appends a second",
            ),
        }
    }
}

impl Stream {
    fn expire(&mut self, retention: Duration) {
        let limit = wall_ms().saturating_sub(retention.as_millis() as u64);
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.at_ms < limit)
        {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

impl Handler for Log {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.meet(&mut request).await {
            return response;
        }
        let path = request.url().path().to_owned();
        match (request.method(), path.strip_prefix("/streams/")) {
            (Method::Get, Some(name)) => self.read(&request, name).await,
            (Method::Post, Some(name)) => self.write(request, name).await,
            (Method::Get, None) if path == "/totals" => reply::json(&self.totals()),
            _ => reply::not_found(),
        }
    }
}
