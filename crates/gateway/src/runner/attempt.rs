//! One attempt to run an item at a replica: its request, its events and its end.

use std::sync::Arc;
use std::time::Duration;

use bitterncart_coordination::fleet::ends::Verdict as EndVerdict;
use bitterncart_coordination::fleet::pool::Class;
use bitterncart_coordination::fleet::preemption::Reason;
use bitterncart_coordination::fleet::{Fingerprint, Outcome, Profile};
use bitterncart_state::ledger::{self, Op, Submission};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use super::{ItemId, LEDGER_TIMEOUT, Runs, finish_item, yielding};
use crate::answer::Next;
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::jobs;
use crate::log;
use crate::store::Store;
use crate::upstream::{
    self, Message, ReserveReply, SendOptions, Slot, admit, send, strip_hop_by_hop_headers,
};

/// Idle time of a stream after which the item is retried.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Timeout of the head of a response.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Builds the request of an item; `None` if the submission has an invalid header
/// or path.
pub(super) fn item_message<S: Store, D: Dialect>(
    core: &Core<S, D>,
    submission: &Submission,
    index: u32,
    last_event_id: u64,
) -> Option<Message> {
    let item = submission.items.get(index as usize)?;
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_str(value).ok()?);
    }
    strip_hop_by_hop_headers(&mut headers);
    headers.insert(header::HOST, HeaderValue::from_str(&submission.host).ok()?);
    let header_names = core.dialect.header_names();
    // The customer is that of the job, whatever the headers of the item say.
    if core.names_customers() || submission.customer.is_some() {
        headers.remove(&header_names.caller);
        headers.remove(&header_names.customer);
    }
    if let Some(customer) = &submission.customer {
        let name = HeaderValue::from_str(customer).ok()?;
        headers.insert(header_names.customer.clone(), name);
    }
    // An item has no deadline of its own, and begins with its first event.
    headers.remove(&header_names.deadline);
    headers.remove(&header_names.last_event_id);
    headers.insert(
        header_names.attempt_id.clone(),
        HeaderValue::from_str(&item.id).ok()?,
    );
    if last_event_id > 0 {
        headers.insert(
            header_names.last_event_id.clone(),
            HeaderValue::from(last_event_id),
        );
    }
    Some(Message {
        method: Method::POST,
        uri: item.path.parse().ok()?,
        profile: Arc::new(Profile {
            fingerprint: Fingerprint::of(&[submission.id.as_bytes(), item.id.as_bytes()]),
            is_item: true,
            shared_parts: core.dialect.shared_parts(&headers),
        }),
        headers,
        body: Bytes::copy_from_slice(&item.body),
    })
}

/// Attempt to run an item at a replica.
pub(super) struct Attempt<S: Store, D: Dialect> {
    pub core: Core<S, D>,
    pub id: ItemId,
    pub item_hash: u32,
    /// Start time, and the id of the last event received before it.
    pub started: (Duration, u64),
    pub max_attempts: u32,
    /// Version of the manifest by which the replica was selected.
    pub manifest_version: u64,
    pub message: Message,
    /// Longest time for which the replica reserves a slot; zero if it does not
    /// use reservations.
    pub reserves: Duration,
    pub slot: Slot<S, D>,
}

impl<S: Store, D: Dialect> Attempt<S, D> {
    /// Runs the item until the attempt has ended.
    pub(super) async fn run(self) {
        let mut attempt = self;
        while let Some(unconfirmed) = attempt.exchange().await {
            attempt = unconfirmed;
        }
    }

    /// Sends the request and receives the output. Returns the attempt if it is to be
    /// resumed, to confirm its end.
    async fn exchange(mut self) -> Option<Self> {
        let reservation = match self.reserve_slot().await {
            Ok(reservation) => reservation,
            Err(outcome) => {
                self.record_broken(outcome);
                return None;
            }
        };
        self.slot.set_admitted();
        log::item_sent(
            &self.id.0,
            self.id.1,
            &self.slot.selection,
            self.slot.age(),
            self.manifest_version,
            upstream::last_event_id(&self.core, &self.message),
        );
        let options = SendOptions {
            remaining: None,
            objective: None,
            reservation,
            is_repeatable: true,
        };
        let response = send(
            &self.core,
            &self.slot.selection,
            &self.message,
            &options,
            HEAD_TIMEOUT,
        )
        .await;
        match response {
            Ok(response) => match response.head.status {
                status if status.is_success() => return self.receive_events(response).await,
                StatusCode::UNPROCESSABLE_ENTITY => {
                    self.finish(ledger::Outcome::GivenUp, "cannot_be_done");
                }
                StatusCode::INTERNAL_SERVER_ERROR => self.record_failed_response(),
                _ => self.record_broken(Outcome::Failed),
            },
            Err(outcome) => self.record_broken(outcome),
        }
        None
    }

    /// Reserves the slot, so that an item never waits in the queue of a replica
    /// ahead of online requests.
    async fn reserve_slot(&self) -> Result<Option<HeaderValue>, Outcome> {
        let selection = &self.slot.selection;
        let reply = admit(
            &self.core,
            selection,
            &self.message,
            Class::Batch,
            self.reserves,
        );
        match reply.await {
            ReserveReply::Granted(name) => Ok(Some(name)),
            ReserveReply::Unsupported => Ok(None),
            ReserveReply::Unreachable(outcome) => Err(outcome),
            ReserveReply::NoToken => Err(Outcome::NotRun),
            ReserveReply::Full => {
                self.core.pool().record_full(clock::now(), selection.key);
                Err(Outcome::NotRun)
            }
        }
    }

    async fn receive_events(self, mut response: upstream::Response) -> Option<Self> {
        loop {
            match with_timeout(STREAM_IDLE_TIMEOUT, response.next_event(&self.core)).await {
                Some(Ok(Next::Event(event))) => {
                    let mut runs = self.core.runs();
                    let run = runs.runs.get_mut(&self.id)?;
                    let data = event.data();
                    if !run
                        .output
                        .fits(&data, self.core.settings.max_output_bytes())
                    {
                        drop(runs);
                        self.record_too_large();
                        return None;
                    }
                    run.output.push(&data);
                    let share = run.share.get_or_insert_with(|| self.core.budget.share());
                    if !share.resize(run.output.kept_bytes()) {
                        drop(runs);
                        self.record_too_large();
                        return None;
                    }
                    drop(runs);
                    continue;
                }
                Some(Ok(Next::UnstatedEnd)) => match self.judge_end(&response) {
                    EndVerdict::Complete => self.complete(response),
                    EndVerdict::Resume => return self.resumed(),
                    EndVerdict::Unfounded => self.record_unfounded(),
                },
                Some(Ok(Next::End)) => self.complete(response),
                Some(Err(outcome)) => self.record_cut(outcome),
                None => self.record_cut(Outcome::Silent),
            }
            return None;
        }
    }

    /// Attempt that goes on behind the last event at the same replica. If that may not be
    /// sent the item any more, the scheduler selects another one, which confirms the end as
    /// well if it is of the same build.
    fn resumed(mut self) -> Option<Self> {
        self.core.metrics.end_questioned();
        if !self.select_again() {
            self.record_broken(Outcome::Unconfirmed);
            return None;
        }
        let last_event_id = self.core.runs().runs.get(&self.id)?.output.last_event_id();
        let name = self.core.dialect.header_names().last_event_id.clone();
        self.message
            .headers
            .insert(name, HeaderValue::from(last_event_id));
        log::item_run_ended(&self.id.0, self.id.1, Outcome::Unconfirmed.name());
        Some(self)
    }

    /// Selects the replica once more; `false` if the job has ended, its route no longer
    /// leads to the service, or the replica takes no more requests.
    fn select_again(&mut self) -> bool {
        let Some(manifest) = self.core.manifest() else {
            return false;
        };
        let ledger = jobs::shard_of(&self.core, &self.id.0).ledger();
        let job = ledger.job(&self.id.0).filter(|job| job.is_open());
        let route = job.and_then(|job| jobs::route_of(&manifest, &job.submission));
        let service = &self.slot.selection.service;
        let reserves = route.and_then(|route| Some(route.backend_of(service)?.reserves));
        drop(ledger);
        let runs = self.core.runs();
        let output = runs.runs.get(&self.id).map(|run| &run.output);
        let build = output.and_then(|output| output.build().cloned());
        drop(runs);
        let Some(reserves) = reserves else {
            return false;
        };
        self.reserves = reserves;
        self.manifest_version = manifest.version;
        self.slot.renew(build.as_ref())
    }

    /// What follows an end of the item that the answer did not state.
    fn judge_end(&self, response: &upstream::Response) -> EndVerdict {
        let mut runs = self.core.runs();
        let Some(run) = runs.runs.get_mut(&self.id) else {
            return EndVerdict::Resume;
        };
        let last_event_id = run.output.last_event_id();
        run.ends.record(last_event_id, response.has_events())
    }

    fn complete(self, response: upstream::Response) {
        let (output, last_event_id) = self.completed_output();
        let summary = response.summary(last_event_id);
        let (job, index) = &self.id;
        log::item_completed(job, *index, &self.slot.selection, summary);
        self.core.metrics.answer_ended(summary.framing);
        response.release_connection(&self.core);
        self.core.pool().record_success(self.slot.selection.key);
        self.finish(ledger::Outcome::Completed(output), "completed");
    }

    /// Returns the output of a completed item with its last event id, and records its
    /// run time.
    fn completed_output(&self) -> (Arc<str>, u64) {
        let mut runs = self.core.runs();
        let Runs {
            runs, estimator, ..
        } = &mut *runs;
        let Some(run) = runs.get(&self.id) else {
            return (Arc::default(), 0);
        };
        let (started, last_event_before) = self.started;
        let last_event_id = run.output.last_event_id();
        estimator.record_run(
            last_event_id - last_event_before,
            clock::now().saturating_sub(started),
        );
        estimator.record_finished(last_event_id);
        (Arc::from(run.output.text()), last_event_id)
    }

    fn finish(self, outcome: ledger::Outcome, reason: &str) {
        finish_item(&self.core, self.id, self.item_hash, outcome, reason);
    }

    /// Counts a failure response in the ledger, for the daemon that runs the item
    /// next. Gives the item up if its attempts are exhausted.
    fn record_failed_response(self) {
        let (job, index) = &self.id;
        let shard = jobs::shard_of(&self.core, job);
        let recorded = shard.ledger().job(job).map(|j| j.failures[*index as usize]);
        let mut runs = self.core.runs();
        let Some(run) = runs.runs.get_mut(&self.id) else {
            return;
        };
        run.failures = run.failures.max(recorded.unwrap_or(0)).saturating_add(1);
        let failures = run.failures;
        drop(runs);
        if u32::from(failures) >= self.max_attempts {
            return self.finish(ledger::Outcome::GivenUp, "attempts_exhausted");
        }
        log::item_run_ended(job, *index, "failed");
        let op = Op::RecordFailures(job.clone(), *index, failures);
        let core = self.core.clone();
        let job = job.clone();
        let write = async move {
            // If the write fails, the next daemon makes one more attempt.
            let _recorded = jobs::shard_of(&core, &job)
                .submit(op, clock::now() + LEDGER_TIMEOUT)
                .await;
        };
        self.core.spawn(write).detach();
        self.schedule_retry();
    }

    /// Records an attempt whose output exceeds its bound. The item begins anew, as the
    /// events of the item cannot be told from those that follow them.
    fn record_too_large(self) {
        let max_bytes = self.core.settings.max_output_bytes();
        let (job, index) = &self.id;
        log::output_too_large(job, *index, &self.slot.selection, max_bytes);
        self.core.metrics.answer_too_large("item");
        if let Some(run) = self.core.runs().runs.get_mut(&self.id) {
            run.restart();
        }
        self.record_broken(Outcome::Broken);
    }

    /// Records that no answer behind the stored output confirms its end. The item begins
    /// anew, for answers that bring its events and end behind the last one.
    fn record_unfounded(self) {
        if let Some(run) = self.core.runs().runs.get_mut(&self.id) {
            run.restart();
        }
        self.record_broken(Outcome::Unconfirmed);
    }

    /// Records an attempt whose stream broke.
    fn record_cut(self, outcome: Outcome) {
        if matches!(outcome, Outcome::Broken | Outcome::Silent) {
            yielding::record_end(&self.core, &self.id, Reason::ReplicaFailed, 0);
        }
        self.record_broken(outcome);
    }

    /// Records an attempt that ended without a response or with a broken stream.
    fn record_broken(self, outcome: Outcome) {
        let mut pool = self.core.pool();
        match outcome {
            Outcome::Misdirected => pool.record_misdirected(self.slot.selection.key),
            Outcome::NotRun | Outcome::Quarantined | Outcome::LinkLost | Outcome::Unconfirmed => {}
            _ => pool.record_failure(clock::now(), self.slot.selection.key),
        }
        drop(pool);
        if matches!(outcome, Outcome::Broken | Outcome::Silent) {
            self.core.links.record_failure(self.slot.selection.address);
        }
        log::item_run_ended(&self.id.0, self.id.1, outcome.name());
        self.core.metrics.item_run(outcome.name());
        self.schedule_retry();
    }

    fn schedule_retry(&self) {
        let mut runs = self.core.runs();
        if let Some(run) = runs.runs.get_mut(&self.id) {
            run.retry_at = clock::now() + run.retry_delay();
            run.replica = None;
            // This is called from the task itself, which is about to end.
            if let Some(task) = run.task.take() {
                task.detach();
            }
        }
    }
}
