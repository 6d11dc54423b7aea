//! Sends one request to a replica and reads the response.
//!
//! A request can reserve a slot at the replica first. Every attempt ends either
//! with a response or with an [`Outcome`] that says
//! whether the replica may have run the request. A success counts only if it
//! echoes the id of the attempt and carries the signature of a replica, as the
//! connection may deliver a stale response or reach another process.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::pool::{Class, Selection};
use bitterncart_coordination::fleet::{Build, Outcome, Profile};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, header, response,
};
use http_body::Body as _;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol::Task;

use crate::answer::{Framing, Next, Summary};
use crate::buffer::Buffer;
use crate::clock::{self, with_timeout};
use crate::connection::{Connection, Error};
use crate::core::Core;
use crate::crash::Watch;
use crate::dialect::{Dialect, HeaderNames};
use crate::log;
use crate::metrics::Metrics;
use crate::sampler::Sampler;
use crate::sse::Splitter;
use crate::store::Store;
use crate::tokens;

/// Timeout of a new connection to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a response body that is read to its end.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum size of the response to a reservation call.
const MAX_RESERVATION_BYTES: usize = 16 << 10;

/// Id of the first event of a stream.
const FIRST_EVENT_ID: u64 = 1;

/// Time before its deadline at which a replica may stop, as its clock and the time that
/// it is given are not exact.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Timeout of a reservation call.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);

/// Lifetime of a reservation; short, as the request follows immediately.
const RESERVATION_TTL: Duration = Duration::from_millis(300);

/// Guard of a slot at a replica, which is released on drop.
pub(crate) struct Slot<S: Store, D: Dialect> {
    core: Core<S, D>,
    pub selection: Selection,
    selected_at: Duration,
    class: Class,
    /// Whether the replica admitted the request. Only then does the drop free a
    /// slot at the replica, which is offered to the admission queue.
    admitted: bool,
}

impl<S: Store, D: Dialect> Slot<S, D> {
    pub(crate) fn new(core: &Core<S, D>, selection: Selection, class: Class) -> Self {
        Self {
            core: core.clone(),
            selection,
            selected_at: clock::now(),
            class,
            admitted: false,
        }
    }

    /// Selects the replica for one more request, as the pool knows it now; `None` if it is
    /// not of the build or takes no more requests.
    pub(crate) fn select_again(&self, build: Option<&Build>) -> Option<Self> {
        let (now, key) = (clock::now(), self.selection.key);
        let selection = self.core.pool().select_again(now, key, self.class, build)?;
        Some(Self::new(&self.core, selection, self.class))
    }

    /// Replaces the slot by one that [`Self::select_again`] returns; `false` if there is none.
    /// The replica's slot stays in use, and is not offered to other requests.
    pub(crate) fn renew(&mut self, build: Option<&Build>) -> bool {
        let Some(next) = self.select_again(build) else {
            return false;
        };
        self.admitted = false;
        *self = next;
        true
    }

    /// Time since the replica was selected.
    pub(crate) fn age(&self) -> Duration {
        clock::now().saturating_sub(self.selected_at)
    }

    /// Marks the request as reserved or queued at the replica.
    pub(crate) fn admitted(mut self) -> Self {
        self.set_admitted();
        self
    }

    /// See [`Self::admitted`].
    pub(crate) fn set_admitted(&mut self) {
        self.admitted = true;
    }
}

impl<S: Store, D: Dialect> Drop for Slot<S, D> {
    fn drop(&mut self) {
        self.core.pool().release(self.selection.key, self.class);
        if self.admitted {
            self.core
                .offer_slot(&self.selection.service, self.selection.key);
        }
    }
}

/// Buffered HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub method: Method,
    pub uri: Uri,
    /// End-to-end headers of the caller.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What it has in common with other requests.
    pub profile: Arc<Profile>,
}

impl Message {
    fn request(
        &self,
        header_names: &HeaderNames,
        replica_id: &str,
        options: &SendOptions,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        if let Ok(expect) = HeaderValue::from_str(replica_id) {
            headers.insert(header_names.expected_replica.clone(), expect);
        }
        if let Some(reservation) = &options.reservation {
            headers.insert(header_names.reservation.clone(), reservation.clone());
        }
        if let Some(remaining) = options.remaining {
            headers.insert(
                header_names.deadline.clone(),
                HeaderValue::from(remaining.as_millis() as u64),
            );
        }
        request
    }
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    const HOP_BY_HOP: [header::HeaderName; 7] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ];
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Response of a replica whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct Response {
    pub head: response::Parts,
    body: Incoming,
    connection: Connection,
    splitter: Splitter,
    metrics: Arc<Metrics>,
    watch: Watch,
    framing: Framing,
    /// Second connection to the process, opened with the head of an answer that ends with
    /// its connection.
    witness: Option<Task<Option<Connection>>>,
    /// Id of the event that is due, if the answer is a stream.
    due_event_id: u64,
    /// Time at which the replica stops its work.
    deadline: Option<Duration>,
    sampler: Sampler,
}

/// Parameters of one attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendOptions {
    /// Time until the deadline of the caller; `None` for batch items.
    pub remaining: Option<Duration>,
    /// Latency objective of the route; `None` for batch items.
    pub objective: Option<Duration>,
    /// Name of the reserved slot.
    pub reservation: Option<HeaderValue>,
    /// Whether the request may be sent again if the link brings no answers.
    pub is_repeatable: bool,
}

/// Result of a reservation call.
#[derive(Debug)]
pub(crate) enum ReserveReply {
    /// The replica reserved a slot of this name.
    Granted(HeaderValue),
    /// The replica has no free slot.
    Full,
    /// The replica limits its rate, and there is no token.
    NoToken,
    /// The call failed.
    Unreachable(Outcome),
    /// The replica or the request does not use reservations.
    Unsupported,
}

/// Admits a message to a replica: with a token if the replica limits its rate, else
/// with a reservation of at most `max_reservation`, if that is not zero.
pub(crate) async fn admit<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    message: &Message,
    class: Class,
    max_reservation: Duration,
) -> ReserveReply {
    match selection.limit {
        Some(per_s) => match tokens::acquire(core, selection, per_s, class).await {
            Ok(()) => {
                core.metrics.reservation("token");
                ReserveReply::Unsupported
            }
            Err(retry) => {
                core.metrics.reservation("limited");
                let mut pool = core.pool();
                pool.record_no_token(clock::now(), selection.key, class, retry);
                ReserveReply::NoToken
            }
        },
        None if max_reservation.is_zero() => ReserveReply::Unsupported,
        None => reserve(core, selection, message, max_reservation).await,
    }
}

/// Reserves a slot at a replica for a message, for at most `max_reservation`.
/// Repeats the call once on a new connection if an idle one broke.
async fn reserve<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    message: &Message,
    max_reservation: Duration,
) -> ReserveReply {
    let target = core
        .dialect
        .encode_reservation(&message.headers, RESERVATION_TTL.min(max_reservation));
    let Some((uri, body)) = target else {
        return ReserveReply::Unsupported;
    };
    let message = Message {
        method: Method::POST,
        uri,
        headers: HeaderMap::new(),
        body,
        profile: Arc::default(),
    };
    let attempt = async |connection: Result<Connection, Error>| {
        let mut connection = connection?;
        connection.set_abortable(true);
        let request = message.request(
            core.dialect.header_names(),
            &selection.id,
            &SendOptions::default(),
        );
        let (head, body) = connection.send(request).await?.into_parts();
        check_departure(core, selection, &head);
        let ids = head
            .headers
            .get_all(&core.dialect.header_names().attempt_id);
        if ids.iter().any(|id| !id.is_empty()) {
            // The call has no id that its response could echo.
            return Err(Error::Broken("late response to an earlier request".into()));
        }
        // Only answers to requests show that there is no limit.
        if let Some(per_s) = named_limit(core, &head) {
            record_limit(core, selection, Some(per_s));
        }
        let body = Limited::new(body, MAX_RESERVATION_BYTES).collect().await;
        let body = body.map_err(|e| Error::Broken(e.to_string()))?;
        core.connector.release(connection);
        Ok((head.status, body.to_bytes()))
    };
    let reply = async {
        match attempt(core.links.acquire(selection, CONNECT_TIMEOUT).await).await {
            // The replica may have closed the idle connection.
            Err(Error::Broken(_) | Error::LinkLost) => {
                core.connector.close_idle(selection.address);
                attempt(core.links.open(selection, CONNECT_TIMEOUT).await).await
            }
            reply => reply,
        }
    };
    let reply = with_timeout(RESERVE_TIMEOUT, reply).await;
    if reply.is_none() {
        core.connector.close_idle(selection.address);
        core.links.record_failure(selection.address);
    }
    let reply = reply.unwrap_or_else(|| Err(Error::Broken("silence".into())));
    if let Err(e) = &reply {
        record_connection_error(core, selection, "reservation", e);
    }
    match reply {
        Ok((StatusCode::OK, body)) => match core.dialect.parse_reservation(&body) {
            Some(name) => ReserveReply::Granted(name),
            None => ReserveReply::Unsupported,
        },
        Ok((StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _)) => {
            ReserveReply::Full
        }
        Ok((StatusCode::MISDIRECTED_REQUEST, _)) => ReserveReply::Unreachable(Outcome::Misdirected),
        Ok((status, _)) => {
            log::reservation_unsupported(&selection.id, status.as_u16());
            ReserveReply::Unsupported
        }
        Err(_) => ReserveReply::Unreachable(Outcome::NotSent),
    }
}

/// Sends a message to a replica and reads the head of the response.
///
/// # Errors
///
/// How the attempt failed: not sent, not run, answered by another process, no
/// valid response, or no response within `timeout`.
pub(crate) async fn send<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    message: &Message,
    options: &SendOptions,
    timeout: Duration,
) -> Result<Response, Outcome> {
    let header_names = core.dialect.header_names();
    let mut connection = core
        .links
        .acquire(selection, CONNECT_TIMEOUT.min(timeout))
        .await
        .map_err(|e| {
            record_connection_error(core, selection, "request", &e);
            error_outcome(&e)
        })?;
    if !core.admits(&message.profile) {
        core.connector.release(connection);
        return Err(Outcome::Quarantined);
    }
    connection.set_abortable(options.is_repeatable);
    let request = message.request(header_names, &selection.id, options);
    let attempt = message.headers.get(&header_names.attempt_id);
    let attempt_id = attempt.map_or(&[][..], HeaderValue::as_bytes);
    let watch = core.crashes.watch(selection, &message.profile, attempt_id);
    let deadline = options.remaining.map(|remaining| clock::now() + remaining);
    let class = if message.profile.is_item {
        Class::Batch
    } else {
        Class::Online
    };
    let sampler = Sampler::start(selection.key, class, options.objective);
    let response = match with_timeout(timeout, connection.send(request)).await {
        Some(Ok(response)) => response,
        Some(Err(e)) => {
            record_connection_error(core, selection, "request", &e);
            let outcome = error_outcome(&e);
            if outcome == Outcome::Broken {
                watch.record_broken();
            }
            return Err(outcome);
        }
        None => return Err(Outcome::Silent),
    };
    let (head, body) = response.into_parts();
    check_departure(core, selection, &head);
    let echo = sole_value(&head.headers, &header_names.attempt_id);
    let signed = head.headers.contains_key(&header_names.signature);
    let framing = Framing::of(&head, &body);
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_misdirected || head.headers.contains_key(&header_names.not_run);
    if echo == attempt && !is_misdirected {
        record_limit(core, selection, named_limit(core, &head));
    }
    match head.status {
        // Without an id it may be the second copy of the answer to a reservation call.
        _ if echo != attempt => Err(Outcome::Broken),
        _ if is_misdirected => Err(Outcome::Misdirected),
        _ if is_not_run => Err(Outcome::NotRun),
        _ if head.headers.contains_key(header::CONTENT_ENCODING) => Err(Outcome::Broken),
        status if status.is_success() && !(signed && echo.is_some()) => Err(Outcome::Broken),
        status if !signed && !status.is_server_error() => Err(Outcome::Broken),
        _ => Ok(Response {
            framing,
            witness: (framing == Framing::Connection).then(|| {
                let (id, origin) = (selection.id.clone(), connection.origin());
                core.spawn(core.links.clone().open_witness(id, origin))
            }),
            head,
            body,
            connection,
            splitter: Splitter::new(core.budget.share()),
            metrics: Arc::clone(&core.metrics),
            watch,
            due_event_id: last_event_id(core, message).saturating_add(1),
            deadline,
            sampler,
        }),
    }
}

/// Value of a header that occurs once. The heads of two answers that run together have two
/// ids, of which the second may be that of the body.
fn sole_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).into_iter();
    values.next().filter(|_| values.next().is_none())
}

/// Id of the event behind which a stream is resumed; 0 for none.
pub(crate) fn last_event_id<S: Store, D: Dialect>(core: &Core<S, D>, message: &Message) -> u64 {
    let id = message
        .headers
        .get(&core.dialect.header_names().last_event_id);
    let id = id.and_then(|id| id.to_str().ok()?.parse().ok());
    id.unwrap_or(0)
}

/// Takes a replica out of the pool if it says in a response that it is leaving.
/// A misdirected request was answered by another process.
fn check_departure<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    head: &response::Parts,
) {
    let is_leaving = head
        .headers
        .contains_key(&core.dialect.header_names().leaving)
        && head.status != StatusCode::MISDIRECTED_REQUEST;
    if is_leaving && core.pool().record_departing(clock::now(), selection) {
        log::replica_departing(&selection.id, selection.born_ms);
    }
}

/// Rate limit that a response names, in requests a second.
fn named_limit<S: Store, D: Dialect>(core: &Core<S, D>, head: &response::Parts) -> Option<f64> {
    let text = head.headers.get(&core.dialect.header_names().rate_limit)?;
    let per_s: f64 = text.to_str().ok()?.trim().parse().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some(per_s)
}

fn record_limit<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    per_s: Option<f64>,
) {
    if core.pool().record_limit(clock::now(), selection, per_s) {
        log::replica_limit_changed(&selection.id, selection.born_ms, per_s);
    }
}

/// Counts and logs why a call to a replica has no response.
fn record_connection_error<S: Store, D: Dialect>(
    core: &Core<S, D>,
    selection: &Selection,
    call: &str,
    error: &Error,
) {
    core.metrics.connection_failed(call, error.name());
    log::connection_failed(&selection.id, call, error);
}

fn error_outcome(error: &Error) -> Outcome {
    match error {
        Error::NotSent(_) => Outcome::NotSent,
        Error::Broken(_) | Error::HeadTooLarge | Error::OddStatus(_) => Outcome::Broken,
        Error::LinkLost => Outcome::LinkLost,
    }
}

impl Response {
    /// Reads the whole body and returns the connection to the idle ones.
    ///
    /// # Errors
    ///
    /// If the connection broke or was given up, the body exceeds [`MAX_RESPONSE_BYTES`], or it
    /// needs more than what is left of the memory for answers.
    pub(crate) async fn read_to_end<S: Store, D: Dialect>(
        mut self,
        core: &Core<S, D>,
    ) -> Result<(response::Parts, Bytes, Summary), Outcome> {
        let mut buffer = Buffer::new(&core.budget, self.body.size_hint().exact());
        while let Some(data) = self.next_data().await? {
            if buffer.len() + data.len() > MAX_RESPONSE_BYTES {
                self.metrics.answer_too_large("body");
                return Err(Outcome::Broken);
            }
            while !buffer.push(&data) {
                if !core.make_room().await {
                    self.metrics.answer_too_large("no_memory");
                    return Err(Outcome::NoMemory);
                }
            }
        }
        let is_empty = self.framing == Framing::Connection && buffer.is_empty();
        let lacks_body = is_empty && self.head.status.is_success();
        if lacks_body || !self.is_whole(core).await {
            return Err(self.record_broken());
        }
        if self.head.status.is_success() {
            self.watch.record_complete();
            self.sampler.record_answer(core);
        }
        let summary = self.summary(0);
        core.connector.release(self.connection);
        Ok((self.head, buffer.into_bytes(), summary))
    }

    /// Waits for what follows in the stream.
    ///
    /// # Errors
    ///
    /// If the connection broke or was given up, or the stream ended inside an event or
    /// before it was whole, or its bytes are not the event that is due or exceed the size
    /// limit of one.
    pub(crate) async fn next_event<S: Store, D: Dialect>(
        &mut self,
        core: &Core<S, D>,
    ) -> Result<Next, Outcome> {
        let mut waited_since = None;
        loop {
            match self.splitter.next_event() {
                Some(event) if event.id == Some(self.due_event_id) => {
                    self.due_event_id = self.due_event_id.saturating_add(1);
                    self.watch.record_event();
                    self.sampler.record_event(core, waited_since);
                    return Ok(Next::Event(event));
                }
                Some(_) => return Err(Outcome::Broken),
                None => {}
            }
            waited_since.get_or_insert_with(clock::now);
            let Some(data) = self.next_data().await? else {
                break;
            };
            self.splitter.push(&data);
            if self.splitter.is_oversized() {
                self.metrics.answer_too_large("event");
                return Err(Outcome::Broken);
            }
        }
        let end = match self.framing {
            Framing::Connection => Next::UnstatedEnd,
            Framing::Length | Framing::Chunks => Next::End,
        };
        let lacks_events = end == Next::UnstatedEnd && self.due_event_id == FIRST_EVENT_ID;
        if self.splitter.has_partial_event() || lacks_events || !self.is_whole(core).await {
            return Err(self.record_broken());
        }
        self.watch.record_complete();
        Ok(end)
    }

    /// Reads on in the body; `None` at its end.
    async fn next_data(&mut self) -> Result<Option<Bytes>, Outcome> {
        while let Some(frame) = self.body.frame().await {
            let Ok(frame) = frame else {
                return Err(self.record_broken());
            };
            self.connection.record_answer();
            // Trailers are not forwarded.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }

    /// Whether an answer whose body has ended in order is whole. One that has neither a
    /// length nor chunks may be that of a process, or relay, that ended, that stopped at the
    /// deadline, or that breaks the connection while the request is still sent.
    async fn is_whole<S: Store, D: Dialect>(&mut self, core: &Core<S, D>) -> bool {
        if self.connection.is_aborted() {
            return false;
        }
        let now = clock::now() + DEADLINE_MARGIN;
        let is_stopped = || self.deadline.is_some_and(|deadline| now >= deadline);
        match self.witness.take() {
            None => true,
            Some(_) if is_stopped() || self.connection.is_sending() => false,
            Some(witness) => match witness.await {
                Some(witness) => core.links.is_confirmed_by(witness).await,
                None => false,
            },
        }
    }

    /// Records that the answer is not whole, and says why.
    fn record_broken(&self) -> Outcome {
        if self.connection.is_aborted() {
            return Outcome::LinkLost;
        }
        self.watch.record_broken();
        Outcome::Broken
    }

    /// Describes the answer once it is complete.
    pub(crate) fn summary(&self, last_event_id: u64) -> Summary {
        Summary {
            framing: self.framing,
            last_event_id,
            is_relayed: self.connection.relay().is_some(),
        }
    }

    /// Whether the answer has brought an event.
    pub(crate) fn has_events(&self) -> bool {
        self.watch.has_events()
    }

    /// Returns the connection to the idle ones; the body must have been read to
    /// its end.
    pub(crate) fn release_connection<S: Store, D: Dialect>(self, core: &Core<S, D>) {
        core.connector.release(self.connection);
    }
}
