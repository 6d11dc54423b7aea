//! Simulated log service: append-only streams of entries with offsets.
//!
//! All streams share one limit of appends per second; appends beyond it are
//! refused with status 429. Entries older than the retention time are removed when
//! a stream is read, so the first offset of a stream grows. A read of an empty
//! range waits for the next append or for the time that the request allows. The
//! service counts appends, bytes and refusals.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bitterncart_protocol::log::{Appended, Entry, Page};
use bitterncart_transport::http::{Handler, Method, Request, Response, StatusCode};
use bitterncart_transport::runtime::unix_time_ms;

use crate::fault::Injector;
use crate::reply;

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum appends per second over all streams.
    pub appends_per_s: u32,
    /// Time after which entries are removed.
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
    /// Offset of the oldest entry that is kept.
    first_offset: u64,
    entries: VecDeque<Entry>,
    waiters: Vec<Sender<()>>,
}

#[derive(Debug)]
struct State {
    streams: HashMap<String, Stream>,
    window_start: Instant,
    window_appends: u32,
    appends: u64,
    bytes: u64,
    refused: u64,
    busiest: u32,
}

/// Counts since the start of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Accepted appends.
    pub appends: u64,
    /// Accepted bytes.
    pub bytes: u64,
    /// Appends refused because of the rate limit.
    pub refused: u64,
    /// Accepted appends in the busiest one-second window.
    pub busiest: u32,
}

/// Log service; clones share its streams.
#[derive(Clone, Debug)]
pub struct Log {
    /// Injected faults.
    pub faults: Injector,
    limits: Limits,
    state: Arc<Mutex<State>>,
}

impl Log {
    /// Creates a service without entries.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            streams: HashMap::new(),
            window_start: Instant::now(),
            window_appends: 0,
            appends: 0,
            bytes: 0,
            refused: 0,
            busiest: 0,
        };
        Self {
            faults: Injector::default(),
            limits,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts since the start of the service.
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

    /// Appends an entry and returns its offset, or `None` over the rate limit.
    fn append(&self, name: &str, payload: Vec<u8>) -> Option<u64> {
        let mut state = self.lock();
        if state.window_start.elapsed() >= Duration::from_secs(1) {
            state.window_start = Instant::now();
            state.window_appends = 0;
        }
        if state.window_appends >= self.limits.appends_per_s {
            state.refused += 1;
            return None;
        }
        state.window_appends += 1;
        state.busiest = state.busiest.max(state.window_appends);
        state.appends += 1;
        state.bytes += payload.len() as u64;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.first_offset + stream.entries.len() as u64;
        stream.entries.push_back(Entry {
            offset,
            at_ms: unix_time_ms(),
            payload,
        });
        // Dropping the senders ends the wait of blocked readers.
        stream.waiters.clear();
        Some(offset)
    }

    /// Reads entries from an offset up to a number of bytes.
    fn read_page(&self, name: &str, from: u64, max_bytes: usize) -> Page {
        let mut state = self.lock();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.expire(self.limits.retention);
        let next = stream.first_offset + stream.entries.len() as u64;
        let skip = from.saturating_sub(stream.first_offset) as usize;
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
            first: stream.first_offset,
            next,
            entries,
        }
    }

    /// Channel that closes at the next append to a stream.
    fn subscribe(&self, name: &str) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.lock();
        state
            .streams
            .entry(name.to_owned())
            .or_default()
            .waiters
            .push(sender);
        receiver
    }

    async fn handle_read(&self, request: &Request, name: &str) -> Response {
        let query_number = |key: &str| {
            let mut pairs = request.url().query_pairs();
            pairs
                .find(|(k, _)| k == key)
                .and_then(|(_, v)| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let (from, max_bytes) = (query_number("from"), query_number("max_bytes") as usize);
        let next_append = self.subscribe(name);
        let mut page = self.read_page(name, from, max_bytes);
        if page.entries.is_empty() {
            let appended = async {
                next_append.recv().await.ok();
            };
            let timeout = async {
                smol::Timer::after(Duration::from_millis(query_number("wait_ms"))).await;
            };
            futures_lite::future::or(appended, timeout).await;
            page = self.read_page(name, from, max_bytes);
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

    async fn handle_append(&self, mut request: Request, name: &str) -> Response {
        let Ok(payload) = request.body_bytes().await else {
            return reply::text(StatusCode::BadRequest, "the body is cut off");
        };
        match self.append(name, payload) {
            Some(offset) => self.faults.maybe_lose(reply::json(&Appended { offset })),
            None => reply::text(
                StatusCode::TooManyRequests,
                "over the limit of appends a second",
            ),
        }
    }
}

impl Stream {
    fn expire(&mut self, retention: Duration) {
        let cutoff_ms = unix_time_ms().saturating_sub(retention.as_millis() as u64);
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.at_ms < cutoff_ms)
        {
            self.entries.pop_front();
            self.first_offset += 1;
        }
    }
}

impl Handler for Log {
    async fn handle(&self, mut request: Request) -> Response {
        if let Some(response) = self.faults.intercept(&mut request).await {
            return response;
        }
        let path = request.url().path().to_owned();
        match (request.method(), path.strip_prefix("/streams/")) {
            (Method::Get, Some(name)) => self.handle_read(&request, name).await,
            (Method::Post, Some(name)) => self.handle_append(request, name).await,
            (Method::Get, None) if path == "/totals" => reply::json(&self.totals()),
            _ => reply::not_found(),
        }
    }
}
