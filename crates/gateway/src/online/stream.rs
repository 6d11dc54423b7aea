//! Relays an event stream to its client, and continues one that breaks.

use std::time::Duration;

use async_channel::Sender;
use bitterncart_coordination::fleet::ends::Verdict as EndVerdict;
use bitterncart_coordination::fleet::{Decision, Kind, Outcome};
use bitterncart_protocol::Code;
use http::Response;

use super::{Binding, Request, forwarded_headers};
use crate::answer::Next;
use crate::body::{Body, Part};
use crate::clock::{self, with_timeout};
use crate::dialect::Dialect;
use crate::log;
use crate::store::Store;
use crate::streams;
use crate::upstream::{self, Slot};
/// Idle time after which a resumable stream is continued at another replica.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of events buffered for a slow client.
const EVENT_BUFFER_LEN: usize = 8;

/// How the relay of a stream to its client ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Relayed {
    /// All events were relayed.
    Complete,
    /// The stream broke and could not be resumed.
    Broken,
    /// The client disconnected.
    ClientLeft,
}

impl<S: Store, D: Dialect> Request<S, D> {
    /// Builds a response that streams the events of a replica as they arrive.
    pub(super) fn stream_response(
        mut self,
        slot: Slot<S, D>,
        upstream: upstream::Response,
        first: Next,
    ) -> Response<Body> {
        let mut response = Response::new(());
        *response.status_mut() = upstream.head.status;
        *response.headers_mut() = forwarded_headers(upstream.head.headers.clone());
        let core = self.core.clone();
        let (sender, parts) = async_channel::bounded(EVENT_BUFFER_LEN);
        let task = core.spawn(async move {
            match self.relay_events(slot, upstream, first, &sender).await {
                Relayed::Complete => drop(sender.send(Part::End).await),
                Relayed::Broken => {
                    let (id, route) = (&self.id, &self.route.name);
                    self.core.metrics.request_refused(Code::StreamBroken);
                    log::request_refused(id, route, Code::StreamBroken, self.remaining());
                }
                Relayed::ClientLeft => {}
            }
        });
        response.map(|()| Body::events(parts, task))
    }

    /// Relays events until the stream is complete, the client disconnects, or the stream
    /// breaks and cannot be resumed.
    async fn relay_events(
        &mut self,
        slot: Slot<S, D>,
        response: upstream::Response,
        first: Next,
        sender: &Sender<Part>,
    ) -> Relayed {
        match first {
            Next::End => return Relayed::Complete,
            Next::UnstatedEnd => {}
            Next::Event(_) => self.record_begun(&slot).await,
        }
        let (mut slot, mut response) = (slot, response);
        let mut next = Some(Ok(first));
        loop {
            let outcome = match next {
                Some(Ok(Next::Event(event))) => {
                    self.record_event();
                    if sender.send(Part::Event(event.bytes)).await.is_err() {
                        return Relayed::ClientLeft;
                    }
                    None
                }
                Some(Ok(Next::UnstatedEnd)) => match self.judge_end(&response) {
                    EndVerdict::Complete => return self.complete_stream(&slot, response),
                    EndVerdict::Resume => Some(Outcome::Unconfirmed),
                    EndVerdict::Unfounded => Some(Outcome::Broken),
                },
                Some(Ok(Next::End)) => return self.complete_stream(&slot, response),
                Some(Err(outcome)) => Some(outcome),
                None => Some(Outcome::Silent),
            };
            if let Some(outcome) = outcome {
                drop(response);
                match self.go_on(slot, outcome).await {
                    Some(resumed) => (slot, response) = resumed,
                    None => return Relayed::Broken,
                }
            }
            next = with_timeout(self.idle_timeout(), response.next_event(&self.core)).await;
        }
    }

    /// Records which build began a stream, for this daemon and for those at which the
    /// client may take it up.
    async fn record_begun(&mut self, slot: &Slot<S, D>) {
        self.time_to_first = clock::now().saturating_sub(self.arrived);
        let build = slot.selection.build();
        let is_resumable = self.route.kind == Kind::Resumable;
        if let (Some(build), Some(first), true) = (&build, self.first_attempt(), is_resumable) {
            let stream = self.stream_of(first);
            streams::record(&self.core, stream, build).await;
        }
        self.binding = Binding::of_stream(build);
    }

    /// What follows an end that the answer did not state. Only a stream that can be resumed
    /// can be asked about.
    fn judge_end(&mut self, response: &upstream::Response) -> EndVerdict {
        match self.route.kind {
            Kind::Resumable => self
                .ends
                .record(self.last_event_id.unwrap_or(0), response.has_events()),
            _ => EndVerdict::Complete,
        }
    }

    fn complete_stream(&mut self, slot: &Slot<S, D>, response: upstream::Response) -> Relayed {
        self.core.pool().record_success(slot.selection.key);
        let last_event_id = self.last_event_id.unwrap_or(0);
        self.record_answer(slot, response.summary(last_event_id));
        response.release_connection(&self.core);
        Relayed::Complete
    }

    /// Continues a stream whose answer ended with an outcome: at the same replica if the
    /// end is to be confirmed, else at another one. `None` if no further attempt is
    /// allowed.
    async fn go_on(
        &mut self,
        slot: Slot<S, D>,
        outcome: Outcome,
    ) -> Option<(Slot<S, D>, upstream::Response)> {
        let (slot, outcome) = match outcome {
            Outcome::Unconfirmed => match self.resume_at_same(slot).await {
                Ok(resumed) => return Some(resumed),
                Err(failed) => failed,
            },
            outcome => (slot, outcome),
        };
        if self.record_failure(&slot, outcome) != Decision::Retry {
            return None;
        }
        drop(slot);
        self.resume().await
    }

    /// Resumes a stream at the replica whose answer did not state its end; no other
    /// replica gets to run the request for that.
    async fn resume_at_same(
        &mut self,
        slot: Slot<S, D>,
    ) -> Result<(Slot<S, D>, upstream::Response), (Slot<S, D>, Outcome)> {
        self.core.metrics.end_questioned();
        let (slot, reservation) = self.acquire_slot_again(slot).await?;
        match self.send_attempt(&slot, reservation).await {
            Ok(response) if response.head.status.is_success() => Ok((slot, response)),
            Ok(_) => Err((slot, Outcome::Failed)),
            Err(outcome) => Err((slot, outcome)),
        }
    }

    /// Maximum time to wait for the next event.
    fn idle_timeout(&self) -> Duration {
        match self.route.kind {
            Kind::Resumable => self.remaining().min(STREAM_IDLE_TIMEOUT),
            _ => self.remaining(),
        }
    }

    /// Continues the stream at another replica after the last relayed event;
    /// `None` if no further attempt is allowed.
    async fn resume(&mut self) -> Option<(Slot<S, D>, upstream::Response)> {
        loop {
            let (slot, reservation) = self.acquire_slot().await?;
            let outcome = match self.send_attempt(&slot, reservation).await {
                Ok(response) if response.head.status.is_success() => return Some((slot, response)),
                Ok(_) => Outcome::Failed,
                Err(outcome) => outcome,
            };
            if self.record_failure(&slot, outcome) != Decision::Retry {
                return None;
            }
        }
    }
}
