//! Acquires a slot at a replica for an online request.
//!
//! A replica that limits its rate takes a request with a token; at others that support
//! reservations, a slot is reserved. If all replicas that were asked are full, the
//! request waits in the admission queue of this daemon, and after a limit it is sent
//! without a reservation. It is refused earlier if the queue cannot start it in time.

use std::time::Duration;

use bitterncart_coordination::fleet::Outcome;
use bitterncart_coordination::fleet::admission_queue::{Customer, Ticket};
use bitterncart_coordination::fleet::manifest::Backend;
use bitterncart_coordination::fleet::pool::{Class, Key};
use http::HeaderValue;

use super::{Binding, Request};
use crate::clock::{self, with_timeout};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::store::Store;
use crate::upstream::{ReserveReply, Slot, admit};

/// Maximum number of replicas asked for a reservation before the request is
/// queued.
const MAX_REPLICAS_PER_ROUND: usize = 3;

/// Share of the latency objective that a request may spend in the queue and
/// still be expected to meet it; the rest is for producing the first event.
const QUEUE_OBJECTIVE_SHARE: f64 = 0.8;

/// Interval at which a queued request that can still meet its objective asks a
/// replica for a slot. Slots freed by this daemon's own requests are offered to
/// the queue immediately.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Poll interval of a queued request that will miss its objective; longer, so
/// that requests which can still meet theirs are served first.
const LATE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time in the admission queue.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);

/// Result of trying to acquire a slot.
#[expect(clippy::large_enum_variant, reason = "it is taken apart at once")]
enum Acquired<S: Store, D: Dialect> {
    /// A replica reserved a slot, or does not use reservations.
    Slot(Slot<S, D>, Option<HeaderValue>),
    /// No replica that was asked has a free slot.
    Full,
    /// No replica is available.
    NoReplica,
}

/// Why there is no slot for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shortage {
    /// No replica is left, or none without a rate limit.
    NoReplica,
    /// This daemon is cut off from the replicas, and no peer relays connections.
    NoLinks,
    /// More requests are queued than start in time; it is expected to take so long.
    Overload(Duration),
}

/// Guard of a request in the admission queue, which is removed from it on drop. A slot
/// that was offered to it and not used is offered to the next request.
struct QueueGuard<S: Store, D: Dialect> {
    core: Core<S, D>,
    ticket: Ticket,
}

impl<S: Store, D: Dialect> QueueGuard<S, D> {
    fn enqueue(
        core: &Core<S, D>,
        service: &str,
        objective_deadline: Duration,
        customer: Option<Customer>,
    ) -> Option<Self> {
        let ticket = core
            .admission_queue()
            .enqueue(service, objective_deadline, customer)?;
        core.metrics.reservation("wait");
        Some(Self {
            core: core.clone(),
            ticket,
        })
    }
}

impl<S: Store, D: Dialect> Drop for QueueGuard<S, D> {
    fn drop(&mut self) {
        let unused = self.core.admission_queue().remove(self.ticket);
        if let Some((service, key)) = unused {
            self.core.offer_slot(&service, key);
        }
    }
}

impl<S: Store, D: Dialect> Request<S, D> {
    /// Selects a replica that may answer, was not tried before and is not in `full`.
    fn select_slot(&self, service: &str, full: &[Key]) -> Option<Slot<S, D>> {
        let (now, tried) = (clock::now(), &self.tried_replicas);
        let mut pool = self.core.pool();
        let selection = match &self.binding {
            Binding::Free => pool.select(now, service, tried, full, rand::random),
            Binding::Build(build) => pool.select_build(now, build, tried, full, rand::random),
            Binding::Unknown => None,
        }?;
        drop(pool);
        Some(Slot::new(&self.core, selection, Class::Online))
    }

    /// Acquires a slot, with the reservation if the replica made one, and adds
    /// the time that it took to `slot_wait`. `None` if the request cannot be
    /// admitted.
    pub(super) async fn acquire_slot(&mut self) -> Option<(Slot<S, D>, Option<HeaderValue>)> {
        let begun = clock::now();
        self.quarantined = self.core.verdict(&self.message.profile);
        if self.quarantined.is_some() {
            return None;
        }
        let slot = self.find_slot().await;
        self.slot_wait += clock::now().saturating_sub(begun);
        self.shortage = slot.as_ref().err().copied();
        slot.ok()
    }

    async fn find_slot(&self) -> Result<(Slot<S, D>, Option<HeaderValue>), Shortage> {
        self.check_links()?;
        let backend = match &self.binding {
            Binding::Free => self.route.backend(rand::random()),
            Binding::Build(build) => self.route.backend_of(&build.service),
            Binding::Unknown => None,
        };
        let backend = backend.ok_or(Shortage::NoReplica)?;
        match self.reserve_any(backend).await {
            Acquired::Slot(slot, reservation) => Ok((slot, reservation)),
            Acquired::Full => self.wait_in_queue(backend).await,
            Acquired::NoReplica => Err(Shortage::NoReplica),
        }
    }

    /// Acquires a slot once more at the replica of one that was used, within the time of
    /// the admission queue. Returns the used slot if the replica takes no more requests.
    pub(super) async fn acquire_slot_again(
        &mut self,
        slot: Slot<S, D>,
    ) -> Result<(Slot<S, D>, Option<HeaderValue>), (Slot<S, D>, Outcome)> {
        let begun = clock::now();
        let until = begun + MAX_QUEUE_WAIT.min(self.remaining() / 2);
        let acquired = loop {
            let backend = self.route.backend_of(&slot.selection.service);
            let (Some(backend), Some(next)) = (backend, self.select_same(&slot)) else {
                return Err((slot, Outcome::Unconfirmed));
            };
            if clock::now() >= until {
                break (next.admitted(), None);
            }
            match self.reserve_at(backend, next).await {
                Acquired::Slot(next, reservation) => break (next, reservation),
                _ => drop(smol::Timer::after(POLL_INTERVAL).await),
            }
        };
        self.slot_wait += clock::now().saturating_sub(begun);
        Ok(acquired)
    }

    /// Selects the replica of a slot again, if it still accepts requests.
    fn select_same(&self, slot: &Slot<S, D>) -> Option<Slot<S, D>> {
        match &self.binding {
            Binding::Free => slot.select_again(None),
            Binding::Build(build) => slot.select_again(Some(build)),
            Binding::Unknown => None,
        }
    }

    fn check_links(&self) -> Result<(), Shortage> {
        if self.core.links.has_no_path() {
            return Err(Shortage::NoLinks);
        }
        Ok(())
    }

    /// Selects a replica that takes requests without a token.
    fn select_unlimited(&self, service: &str) -> Option<Slot<S, D>> {
        let limited = self.core.pool().limited(clock::now(), service);
        self.select_slot(service, &limited)
    }

    /// Whether a replica of a service would take the request if there were a token.
    fn may_get_token(&self, service: &str) -> bool {
        let (now, pool) = (clock::now(), self.core.pool());
        let may_answer = match &self.binding {
            Binding::Free => true,
            Binding::Build(build) => pool.has_build(now, build),
            Binding::Unknown => false,
        };
        let limited = pool.limited(now, service);
        may_answer && limited.iter().any(|key| !self.tried_replicas.contains(key))
    }

    /// Asks up to [`MAX_REPLICAS_PER_ROUND`] replicas for a reservation.
    async fn reserve_any(&self, backend: &Backend) -> Acquired<S, D> {
        let mut full: Vec<Key> = Vec::new();
        while full.len() < MAX_REPLICAS_PER_ROUND {
            let Some(slot) = self.select_slot(&backend.service, &full) else {
                break;
            };
            let key = slot.selection.key;
            match self.reserve_at(backend, slot).await {
                Acquired::Full => full.push(key),
                acquired => return acquired,
            }
        }
        if full.is_empty() && !self.may_get_token(&backend.service) {
            Acquired::NoReplica
        } else {
            Acquired::Full
        }
    }

    /// Asks one replica for a reservation; an unreachable replica counts as full.
    async fn reserve_at(&self, backend: &Backend, slot: Slot<S, D>) -> Acquired<S, D> {
        let key = slot.selection.key;
        let reply = admit(
            &self.core,
            &slot.selection,
            &self.message,
            Class::Online,
            backend.reserves,
        )
        .await;
        let now = clock::now();
        match reply {
            ReserveReply::Granted(name) => {
                self.core.metrics.reservation("place");
                Acquired::Slot(slot.admitted(), Some(name))
            }
            ReserveReply::Unsupported => Acquired::Slot(slot.admitted(), None),
            ReserveReply::NoToken => Acquired::Full,
            ReserveReply::Full => {
                self.core.metrics.reservation("full");
                self.core.pool().record_full(now, key);
                Acquired::Full
            }
            ReserveReply::Unreachable(outcome) => {
                self.core.metrics.reservation("unreachable");
                let mut pool = self.core.pool();
                match outcome {
                    Outcome::Misdirected => pool.record_misdirected(key),
                    _ => pool.record_failure(now, key),
                }
                Acquired::Full
            }
        }
    }

    /// Waits in the admission queue for a slot. After [`MAX_QUEUE_WAIT`], or half
    /// of the remaining time, selects a replica without a reservation, where the
    /// request may be queued. A request that is late is refused if it cannot be
    /// expected to start within that limit.
    async fn wait_in_queue(
        &self,
        backend: &Backend,
    ) -> Result<(Slot<S, D>, Option<HeaderValue>), Shortage> {
        let is_resumed = !self.time_to_first.is_zero();
        let since = if is_resumed {
            clock::now()
        } else {
            self.arrived
        };
        let objective_deadline = since + self.route.objective.mul_f64(QUEUE_OBJECTIVE_SHARE);
        let until = clock::now() + MAX_QUEUE_WAIT.min(self.remaining() / 2);
        if !self.may_use_offers() {
            return self.poll_for_slot(backend, until).await;
        }
        let (core, service) = (&self.core, &backend.service);
        let queued = QueueGuard::enqueue(core, service, objective_deadline, self.customer)
            .ok_or(Shortage::NoReplica)?;
        while clock::now() < until {
            self.check_links()?;
            let slot_offered = self.core.slot_offered.listen();
            let offer = self.core.admission_queue().take_offer(queued.ticket);
            let slot = match offer {
                Some(key) => {
                    let (now, mut pool) = (clock::now(), self.core.pool());
                    let selection = match &self.binding {
                        // Another version may have come since the request was queued.
                        Binding::Build(build) => pool.select_build_at(now, key, build),
                        _ => pool.select_at(now, key),
                    };
                    drop(pool);
                    let Some(selection) = selection else {
                        continue;
                    };
                    Slot::new(&self.core, selection, Class::Online)
                }
                None => {
                    let interval = if clock::now() < objective_deadline {
                        POLL_INTERVAL
                    } else {
                        LATE_POLL_INTERVAL
                    };
                    if with_timeout(interval, slot_offered).await.is_some() {
                        continue;
                    }
                    let now = clock::now();
                    let wait = self.core.pool().expected_queue_wait(now, &backend.service);
                    if let Some(wait) = wait
                        && now >= objective_deadline
                        && !is_resumed
                        && wait > until.saturating_sub(now)
                    {
                        return Err(Shortage::Overload(wait));
                    }
                    match self.select_slot(&backend.service, &[]) {
                        Some(slot) => slot,
                        None if self.may_get_token(&backend.service) => continue,
                        None => return Err(Shortage::NoReplica),
                    }
                }
            };
            if let Acquired::Slot(slot, reservation) = self.reserve_at(backend, slot).await {
                return Ok((slot, reservation));
            }
        }
        drop(queued);
        let slot = self.select_unlimited(&backend.service);
        Ok((slot.ok_or(Shortage::NoReplica)?.admitted(), None))
    }

    /// Whether any replica that frees a slot may answer.
    fn may_use_offers(&self) -> bool {
        match &self.binding {
            Binding::Free => true,
            Binding::Build(build) => self.core.pool().is_sole_build(clock::now(), build),
            Binding::Unknown => false,
        }
    }

    /// Waits like [`Self::wait_in_queue`] for a slot of a replica that may answer. The
    /// slots that are offered to the queue may be of others.
    async fn poll_for_slot(
        &self,
        backend: &Backend,
        until: Duration,
    ) -> Result<(Slot<S, D>, Option<HeaderValue>), Shortage> {
        while clock::now() < until {
            smol::Timer::after(POLL_INTERVAL).await;
            self.check_links()?;
            match self.select_slot(&backend.service, &[]) {
                Some(slot) => {
                    if let Acquired::Slot(slot, reservation) = self.reserve_at(backend, slot).await
                    {
                        return Ok((slot, reservation));
                    }
                }
                None if self.may_get_token(&backend.service) => {}
                None => return Err(Shortage::NoReplica),
            }
        }
        let slot = self.select_unlimited(&backend.service);
        Ok((slot.ok_or(Shortage::NoReplica)?.admitted(), None))
    }

    /// Whether replicas of the route would take the request if there were tokens.
    pub(super) fn is_limited(&self) -> bool {
        let backends = self.route.backends.iter();
        backends
            .map(|backend| &backend.service)
            .any(|service| self.may_get_token(service))
    }
}
