//! Serves an online request: sends it to a replica and returns the response.
//!
//! A slot is acquired before the request is sent; see [`admission`]. A failed attempt
//! is retried at another replica if the kind of the route, the attempt limit and the
//! deadline of the client allow it. Event streams are relayed as they arrive; a
//! resumable stream that breaks continues at another replica after the last event that
//! was relayed, and one whose end is not stated at the same replica, to confirm the end.

mod admission;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::pool::Key;
use bitterncart_coordination::fleet::quarantine::{Subject, Verdict};
use bitterncart_coordination::fleet::shutdown::Work;
use bitterncart_coordination::fleet::{
    Attempts, Build, Decision, Ends, Fingerprint, Kind, Outcome, Profile, Route, admission_queue,
};
use bitterncart_protocol::Code;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response};

use self::admission::Shortage;
use crate::answer::{Next, Summary};
use crate::body::Body;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::identity::Access;
use crate::log;
use crate::store::Store;
use crate::streams;
use crate::upstream::{self, Message, SendOptions, Slot, send, strip_hop_by_hop_headers};

/// Minimum time before the deadline at which an attempt is still made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Minimum timeout of an attempt that can be retried, as a multiple of the
/// latency objective.
const OBJECTIVES_PER_ATTEMPT: u32 = 2;

/// Bounds of the random delay after which a refused client may retry, in seconds.
const RETRY_AFTER_RANGE_S: (f64, f64) = (0.08, 0.35);

/// Bounds of that delay at a daemon that shuts down; others can serve the request at once.
const DRAINING_RETRY_AFTER_RANGE_S: (f64, f64) = (0.01, 0.05);

/// Bounds of that delay while no replica can be reached, as shares of the client's
/// remaining time: a later retry is more likely to succeed, and must leave time for it.
const LINKS_RETRY_AFTER_SHARES: (f64, f64) = (0.25, 0.33);

/// Minimum delay after which a client may retry a quarantined request; the trial
/// that is due is another request.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Short id under which public requests share the slots with customers.
const PUBLIC_CUSTOMER: u32 = 0;

/// What tells callers apart: their credentials, or the customer that took their place.
fn caller<'a>(dialect: &impl Dialect, headers: &'a HeaderMap) -> &'a [u8] {
    let names = dialect.header_names();
    let credentials = headers.get(&names.caller);
    let caller = credentials.or_else(|| headers.get(&names.customer));
    caller.map_or(&[][..], HeaderValue::as_bytes)
}

/// Profile of a client's request.
fn profile(dialect: &impl Dialect, message: &Message) -> Profile {
    let header = |name| {
        message
            .headers
            .get(name)
            .map_or(&[][..], HeaderValue::as_bytes)
    };
    let uri = &message.uri;
    Profile {
        fingerprint: Fingerprint::of(&[
            message.method.as_str().as_bytes(),
            header(&header::HOST),
            uri.path().as_bytes(),
            uri.query().unwrap_or_default().as_bytes(),
            caller(dialect, &message.headers),
            &message.body,
        ]),
        is_item: false,
        shared_parts: dialect.shared_parts(&message.headers),
    }
}

/// Uniform random duration between two bounds, in seconds.
fn random_duration((min, max): (f64, f64)) -> Duration {
    Duration::from_secs_f64(min + (max - min) * rand::random::<f64>())
}

/// Which replicas may answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Binding {
    /// All of the route: no event of a stream has reached the client.
    Free,
    /// Those of the build that began the stream.
    Build(Build),
    /// None, as it is not known which build began the stream.
    Unknown,
}

impl Binding {
    /// Binding of a stream that a replica of `build` began.
    fn of_stream(build: Option<Build>) -> Self {
        build.map_or(Self::Unknown, Self::Build)
    }
}

/// How the attempts of a request ended.
#[expect(clippy::large_enum_variant, reason = "it is taken apart at once")]
enum Exchange<S: Store, D: Dialect> {
    /// With a whole answer.
    Answered(Response<Body>),
    /// With a stream, of which this has been received.
    Begun(Slot<S, D>, upstream::Response, Next),
    /// Without an answer of a replica.
    Failed(Decision),
}

/// Online request of a client with the state of its attempts.
pub(crate) struct Request<S: Store, D: Dialect> {
    core: Core<S, D>,
    route: Route,
    message: Message,
    /// Customer in the admission queue; `None` if requests need no key.
    customer: Option<admission_queue::Customer>,
    id: String,
    /// Time at which the client stops waiting.
    deadline: Duration,
    attempts: Attempts,
    /// Whether an attempt has begun whose outcome is not recorded.
    is_in_flight: bool,
    tried_replicas: Vec<Key>,
    /// Why it is not sent.
    quarantined: Option<Verdict>,
    /// Why the latest attempt got no slot.
    shortage: Option<Shortage>,
    /// Whether the client takes up a stream that an earlier attempt began.
    is_taken_up: bool,
    binding: Binding,
    /// Ends of the stream that were not stated.
    ends: Ends,
    /// Id of the last event that was relayed, or that the client has already
    /// received.
    last_event_id: Option<u64>,
    arrived: Duration,
    /// Total time spent on acquiring slots.
    slot_wait: Duration,
    /// Time from the arrival to the first event or the complete response.
    time_to_first: Duration,
}

impl<S: Store, D: Dialect> Request<S, D> {
    pub(crate) fn new(
        core: &Core<S, D>,
        route: Route,
        mut message: Message,
        access: &Access,
        arrived: Duration,
    ) -> Self {
        let header_names = core.dialect.header_names();
        message.profile = Arc::new(profile(&core.dialect, &message));
        let text = |name| {
            message
                .headers
                .get(name)
                .and_then(|v: &HeaderValue| v.to_str().ok())
        };
        let allowed = text(&header_names.deadline)
            .and_then(|ms| ms.parse().ok())
            .map_or(route.timeout, |ms| {
                Duration::from_millis(ms).min(route.timeout)
            });
        let id = text(&header_names.attempt_id).unwrap_or("-").to_owned();
        let last_event_id = text(&header_names.last_event_id).and_then(|n| n.parse().ok());
        let customer = match access {
            Access::Any => None,
            Access::Customer(customer) => Some(admission_queue::Customer {
                id: customer.short_hash(),
                priority: customer.priority.unwrap_or(route.priority),
            }),
            Access::Public => Some(admission_queue::Customer {
                id: PUBLIC_CUSTOMER,
                priority: route.priority,
            }),
        };
        let is_taken_up = route.kind == Kind::Resumable && last_event_id.is_some_and(|id| id > 0);
        Self {
            core: core.clone(),
            route,
            message,
            customer,
            id,
            deadline: arrived + allowed,
            attempts: Attempts::default(),
            is_in_flight: false,
            tried_replicas: Vec::new(),
            quarantined: None,
            shortage: None,
            is_taken_up,
            binding: Binding::Free,
            ends: Ends::default(),
            last_event_id,
            arrived,
            slot_wait: Duration::ZERO,
            time_to_first: Duration::ZERO,
        }
    }

    fn record_answer(&self, slot: &Slot<S, D>, summary: Summary) {
        let total = clock::now().saturating_sub(self.arrived);
        let selection = &slot.selection;
        self.core
            .pool()
            .record_run_time(&selection.service, total.saturating_sub(self.slot_wait));
        let metrics = &self.core.metrics;
        metrics.request_answered(&self.route, self.attempts.sent(), self.time_to_first);
        metrics.answer_ended(summary.framing);
        let times = log::Times {
            slot_wait: self.slot_wait,
            first: self.time_to_first,
            total,
        };
        log::request_answered(&self.id, &self.route.name, selection, &times, summary);
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(clock::now())
    }

    /// Id of a stream that a client attempt begins or began, for this caller.
    fn stream_of(&self, attempt: &str) -> Fingerprint {
        let headers = &self.message.headers;
        let header = |name| headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        let caller = caller(&self.core.dialect, headers);
        Fingerprint::of(&[header(&header::HOST), caller, attempt.as_bytes()])
    }

    /// Id of the client attempt that brought the first event of the stream; `None` if the
    /// client takes one up and does not name it.
    fn first_attempt(&self) -> Option<&str> {
        if !self.is_taken_up {
            return Some(&self.id);
        }
        let resumes = &self.core.dialect.header_names().resumes;
        self.message.headers.get(resumes)?.to_str().ok()
    }

    /// Binds a stream that the client takes up to the build that began it.
    async fn bind(&mut self) {
        let stream = self.first_attempt().map(|id| self.stream_of(id));
        let build = streams::find(&self.core, &self.route, stream).await;
        let is_known = if build.is_some() { "known" } else { "unknown" };
        self.core.metrics.stream_taken_up(is_known);
        let last_event_id = self.last_event_id.unwrap_or(0);
        log::stream_taken_up(
            &self.id,
            self.first_attempt().unwrap_or("?"),
            last_event_id,
            build.as_ref(),
        );
        self.binding = Binding::of_stream(build);
    }

    /// Whether no replica is left that can continue the stream.
    fn is_not_resumable(&self) -> bool {
        match &self.binding {
            Binding::Free => false,
            Binding::Build(build) => {
                self.route.backend_of(&build.service).is_none()
                    || !self.core.pool().has_build(clock::now(), build)
            }
            Binding::Unknown => true,
        }
    }

    /// Whether the daemon, which may be shutting down, serves the request.
    fn is_admitted(&self) -> bool {
        if !self.core.shutdown.has_begun() {
            return true;
        }
        let pool = self.core.pool();
        let run_times = self.route.backends.iter();
        let run_times = run_times.map(|backend| pool.run_time(&backend.service));
        let usual_time = match self.route.kind {
            Kind::Idempotent => run_times.max().flatten(),
            // A stream that is cut, or a request that may have run, is not sent again.
            _ => None,
        };
        self.core.shutdown.admits(Work {
            deadline: self.deadline,
            usual_time,
        })
    }

    /// Serves the request, with retries, and returns the response for the client.
    pub(crate) async fn serve(mut self) -> Response<Body> {
        if !self.is_admitted() {
            return self.refuse_for_shutdown();
        }
        let core = self.core.clone();
        let exchange = core.shutdown.unless_ending(self.exchange()).await;
        match exchange {
            Some(Exchange::Answered(response)) => response,
            Some(Exchange::Begun(slot, upstream, first)) => {
                self.stream_response(slot, upstream, first)
            }
            Some(Exchange::Failed(decision)) => self.reject(decision),
            None => self.end_for_shutdown(),
        }
    }

    /// Sends the request to replicas until one has answered it or none is left.
    async fn exchange(&mut self) -> Exchange<S, D> {
        if self.is_taken_up {
            self.bind().await;
        }
        loop {
            let Some((slot, reservation)) = self.acquire_slot().await else {
                return Exchange::Failed(self.attempts.exhausted());
            };
            let decision = match self.send_attempt(&slot, reservation).await {
                Ok(response)
                    if self.route.kind.is_stream() && response.head.status.is_success() =>
                {
                    match self.first_event(response).await {
                        Ok((response, first)) => return Exchange::Begun(slot, response, first),
                        Err(outcome) => self.record_failure(&slot, outcome),
                    }
                }
                Ok(response) => {
                    match with_timeout(self.remaining(), response.read_to_end(&self.core)).await {
                        Some(Ok(answer)) => match self.complete(&slot, answer) {
                            Ok(response) => return Exchange::Answered(response),
                            Err(decision) => decision,
                        },
                        Some(Err(outcome)) => self.record_failure(&slot, outcome),
                        None => self.record_failure(&slot, Outcome::Silent),
                    }
                }
                Err(outcome) => self.record_failure(&slot, outcome),
            };
            if decision != Decision::Retry {
                return Exchange::Failed(decision);
            }
        }
    }

    /// Refuses the request, which has not run, as the daemon shuts down.
    fn refuse_for_shutdown(&self) -> Response<Body> {
        let code = Code::Draining;
        self.core.metrics.request_refused(code);
        log::request_refused(&self.id, &self.route.name, code, self.remaining());
        error_response(&self.core, code)
    }

    /// Answers the request, whose attempts are given up, as the shutdown ends.
    fn end_for_shutdown(&mut self) -> Response<Body> {
        let decision = if self.is_in_flight {
            self.attempts.record(&self.route, Outcome::Silent, false)
        } else {
            self.attempts.exhausted()
        };
        match decision {
            Decision::Refuse => self.refuse_for_shutdown(),
            decision => self.reject(decision),
        }
    }

    async fn send_attempt(
        &mut self,
        slot: &Slot<S, D>,
        reservation: Option<HeaderValue>,
    ) -> Result<upstream::Response, Outcome> {
        self.tried_replicas.push(slot.selection.key);
        let remaining = self.remaining();
        if remaining < MIN_ATTEMPT_TIME {
            return Err(Outcome::NotSent);
        }
        if let Some(last) = self.last_event_id {
            let name = self.core.dialect.header_names().last_event_id.clone();
            self.message.headers.insert(name, HeaderValue::from(last));
            log::stream_resumed(&self.id, &slot.selection, last);
        }
        self.is_in_flight = true;
        send(
            &self.core,
            &slot.selection,
            &self.message,
            &SendOptions {
                remaining: Some(remaining),
                objective: Some(self.route.objective),
                reservation,
                is_repeatable: self.route.kind.is_repeatable(),
            },
            self.attempt_timeout(remaining),
        )
        .await
    }

    /// Timeout of one attempt: the remaining time if the request cannot be repeated
    /// or this is the last attempt, otherwise less, to leave time for a retry.
    fn attempt_timeout(&self, remaining: Duration) -> Duration {
        if self.route.kind.is_repeatable() && !self.attempts.is_last(&self.route) {
            remaining.min((self.route.objective * OBJECTIVES_PER_ATTEMPT).max(remaining / 3))
        } else {
            remaining
        }
    }

    /// Waits for the first event, or the end of a stream without one.
    async fn first_event(
        &self,
        mut response: upstream::Response,
    ) -> Result<(upstream::Response, Next), Outcome> {
        let timeout = self.attempt_timeout(self.remaining());
        match with_timeout(timeout, response.next_event(&self.core)).await {
            Some(Ok(first)) => Ok((response, first)),
            Some(Err(outcome)) => Err(outcome),
            None => Err(Outcome::Silent),
        }
    }

    /// Records that the next event was relayed.
    fn record_event(&mut self) {
        let last = self.last_event_id.unwrap_or(0);
        self.last_event_id = Some(last.saturating_add(1));
    }

    /// Records a failed attempt and decides what follows.
    fn record_failure(&mut self, slot: &Slot<S, D>, outcome: Outcome) -> Decision {
        self.is_in_flight = false;
        let now = clock::now();
        let mut pool = self.core.pool();
        match outcome {
            Outcome::Misdirected => pool.record_misdirected(slot.selection.key),
            Outcome::NotRun
            | Outcome::Failed
            | Outcome::Quarantined
            | Outcome::LinkLost
            | Outcome::NoMemory
            | Outcome::Unconfirmed => {}
            _ => pool.record_failure(now, slot.selection.key),
        }
        drop(pool);
        if matches!(outcome, Outcome::Broken | Outcome::Silent) {
            self.core.links.record_failure(slot.selection.address);
        }
        if outcome == Outcome::Quarantined {
            self.quarantined = self.core.verdict(&self.message.profile);
        }
        let has_time = self.remaining() > MIN_ATTEMPT_TIME;
        let decision = self.attempts.record(&self.route, outcome, has_time);
        self.core.metrics.attempt_failed(outcome, decision);
        log::attempt_failed(
            &self.id,
            &self.route,
            &slot.selection,
            outcome,
            decision,
            self.remaining(),
            &self.message.profile,
        );
        decision
    }

    /// Builds the response for the client, or returns the decision on what follows
    /// if the replica answered with a server error.
    fn complete(
        &mut self,
        slot: &Slot<S, D>,
        (head, bytes, summary): (response::Parts, Bytes, Summary),
    ) -> Result<Response<Body>, Decision> {
        if head.status.is_server_error() {
            match self.record_failure(slot, Outcome::Failed) {
                Decision::Retry => return Err(Decision::Retry),
                _ if head
                    .headers
                    .contains_key(&self.core.dialect.header_names().signature) => {}
                _ => return Err(Decision::Fail),
            }
        } else {
            self.core.pool().record_success(slot.selection.key);
        }
        let mut response = Response::new(Body::full(bytes));
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded_headers(head.headers);
        self.time_to_first = clock::now().saturating_sub(self.arrived);
        self.record_answer(slot, summary);
        Ok(response)
    }

    fn reject(&self, decision: Decision) -> Response<Body> {
        if let Some(verdict) = &self.quarantined {
            log::request_quarantined(&self.id, &self.route.name, verdict);
        }
        let code = match decision {
            Decision::Refuse if let Some(verdict) = &self.quarantined => match verdict.subject {
                Subject::Request(_) => Code::RequestQuarantined,
                Subject::Part(_) => Code::PromptQuarantined,
            },
            Decision::Refuse if matches!(self.shortage, Some(Shortage::Overload(_))) => {
                Code::QueueExpired
            }
            Decision::Refuse if self.shortage == Some(Shortage::NoLinks) => Code::LinksLost,
            Decision::Refuse if self.is_not_resumable() => Code::StreamNotResumable,
            Decision::Refuse if self.is_limited() => Code::ReplicasLimited,
            Decision::Refuse => Code::NoReplica,
            Decision::TimeOut => Code::BackendTimeout,
            _ => Code::OutcomeUnknown,
        };
        self.core.metrics.request_refused(code);
        log::request_refused(&self.id, &self.route.name, code, self.remaining());
        let retry_after = match (&self.quarantined, self.shortage) {
            (Some(verdict), _) => verdict.trial_in.max(MIN_QUARANTINE_RETRY_AFTER),
            // Spread, so that the requests of one peak do not all come back together.
            (None, Some(Shortage::Overload(wait))) => wait.mul_f64(0.5 + rand::random::<f64>()),
            (None, Some(Shortage::NoLinks)) => {
                let (min, max) = LINKS_RETRY_AFTER_SHARES;
                self.remaining()
                    .mul_f64(min + (max - min) * rand::random::<f64>())
            }
            (None, _) => random_duration(RETRY_AFTER_RANGE_S),
        };
        error_response_after(&self.core, code, retry_after)
    }
}

/// Headers of a replica that are forwarded to the client.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip_hop_by_hop_headers(&mut headers);
    headers
}

/// Error response with the number and name of a code. Statuses 429 and 503 get
/// a `Retry-After` header.
pub(crate) fn error_response<S: Store, D: Dialect>(
    core: &Core<S, D>,
    code: Code,
) -> Response<Body> {
    let range = match code {
        Code::Draining => DRAINING_RETRY_AFTER_RANGE_S,
        _ => RETRY_AFTER_RANGE_S,
    };
    error_response_after(core, code, random_duration(range))
}

/// Error response like [`error_response`], after which a client may retry in a given time.
pub(crate) fn error_response_after<S: Store, D: Dialect>(
    core: &Core<S, D>,
    code: Code,
    retry_after: Duration,
) -> Response<Body> {
    let text = format!(
        "{{\"code\":{},\"name\":\"{}\"}}",
        code.number(),
        code.name()
    );
    let mut response = Response::new(Body::full(Bytes::from(text)));
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    ) {
        let delay = core.dialect.retry_after(retry_after);
        if let Ok(delay) = HeaderValue::from_str(&delay) {
            headers.insert(header::RETRY_AFTER, delay);
        }
    }
    response
}
