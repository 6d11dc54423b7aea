//! Online requests of a run: routing, tokens, failures and use reports.
//!
//! A daemon routes each request to a replica, retries failed attempts within
//! its retry budget, and fails the request when no replica or no budget is
//! left. A retry continues after the tokens already generated. Daemons report
//! their use of a replica, and late tokens, to the daemon that owns it.

use super::{
    Attempt, Class, Decision, Duration, Event, FIRST_TOKEN_TIMEOUT_SHARE, Failure, LOCAL_LATENCY,
    Policy, Query, Request, Routing, Sequence, SequenceId, Simulation, TOKEN_TIMEOUT, hash,
    routing,
};

impl Simulation<'_> {
    pub(super) fn handle_arrival(&mut self, index: usize) {
        let arrival = self.load.arrivals[index];
        let daemon = (arrival.daemon * self.daemons.len() as f64) as usize;
        self.last_id += 1;
        let id = self.last_id;
        self.metrics.sent += 1;
        self.daemons[daemon].budget.earn();
        let request = Request {
            arrival,
            daemon,
            replica: None,
            generated_tokens: 0,
            tried: Vec::new(),
            last_progress: self.now,
            attempt_start: self.now,
            may_have_run: false,
        };
        self.requests.insert(id, request);
        self.dispatch(id);
    }

    pub(super) fn dispatch(&mut self, id: SequenceId) {
        let deadline =
            Duration::from_millis(self.model.online.as_ref().map_or(0, |o| o.deadline_ms));
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let time_left = (request.arrival.at + deadline).saturating_sub(self.now);
        let prefix = Some(request.arrival.prefix).filter(|_| self.policy != Policy::NoAffinity);
        let query = Query {
            serves: self.model.name.as_str(),
            prefix,
            time_left,
            excluded: &request.tried,
        };
        let daemon = &self.daemons[request.daemon];
        let chosen = match self.policy {
            Policy::Hashing => choose_by_hash(&daemon.routing, query),
            _ => daemon.routing.choose(self.now, query),
        };
        let Some(key) = chosen else {
            self.fail_request(id);
            return;
        };
        let replica = daemon
            .keys
            .iter()
            .position(|known| *known == key)
            .unwrap_or(0);
        let can_retry = daemon.budget.can_retry();
        self.start_attempt(
            id,
            key,
            replica,
            if can_retry {
                self.bounds().ttft.mul_f64(FIRST_TOKEN_TIMEOUT_SHARE)
            } else {
                time_left
            },
        );
    }

    pub(super) fn start_attempt(
        &mut self,
        id: SequenceId,
        key: routing::Key,
        replica: usize,
        timeout: Duration,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.tried.push(key);
        request.replica = Some(replica);
        request.last_progress = now;
        request.attempt_start = now;
        let (daemon, prefix) = (request.daemon, request.arrival.prefix);
        let remaining_tokens = request.arrival.tokens - request.generated_tokens;
        self.daemons[daemon]
            .routing
            .start(key, Class::Online, Some(prefix));
        self.report_use(daemon, replica, false);
        if self.replicas[replica].dead {
            self.fail_attempt(id, Failure::Connect);
            return;
        }
        let sequence = Sequence {
            id,
            remaining_tokens,
            prefix,
        };
        self.replicas[replica].engine.waiting.push_back(sequence);
        self.start_step(replica);
        self.schedule(now + timeout, Event::Timeout { id });
    }

    /// Reports a daemon's online use of a replica to the owner, if a report is due.
    /// `late` marks a report of a late token.
    pub(super) fn report_use(&mut self, daemon: usize, replica: usize, late: bool) {
        let key = self.daemons[daemon].keys[replica];
        let running = self.daemons[daemon]
            .routing
            .replica(key)
            .map_or(0, |r| r.online);
        let use_reports = &mut self.daemons[daemon].use_reports;
        let level = if self.policy == Policy::Broadcast {
            Some(running)
        } else if late {
            use_reports
                .should_report_late(self.now, key)
                .then_some(running)
        } else {
            use_reports.level_to_report(self.now, key, running)
        };
        let Some(level) = level else { return };
        let owner = self.replicas[replica].owner;
        // The second part of a daemon's name identifies its data centre, as in `dc-0-1`.
        let is_remote = self.daemons[owner].id.0.split('-').nth(1)
            != self.daemons[daemon].id.0.split('-').nth(1);
        let region = &self.experiment.document.regions[0];
        let delay = match (owner == daemon, is_remote) {
            (true, _) => Duration::ZERO,
            (false, true) => Duration::from_secs_f64(region.one_way_ms / 1e3),
            (false, false) => LOCAL_LATENCY,
        };
        self.metrics.messages += u64::from(owner != daemon);
        if self.policy == Policy::Broadcast {
            self.broadcast_use(daemon, replica);
        }
        self.schedule(
            self.now + delay,
            Event::UseReport {
                replica,
                daemon,
                level,
                late,
            },
        );
    }

    /// Sends each other daemon of the data centre the use of a replica by all
    /// daemons but the recipient.
    pub(super) fn broadcast_use(&mut self, from: usize, replica: usize) {
        let count = self.experiment.daemons_per_data_centre;
        let local = (from / count * count)..(from / count + 1) * count;
        let use_by = |daemon: usize| {
            let daemon = &self.daemons[daemon];
            let known = daemon.routing.replica(daemon.keys[replica]);
            known.map_or(0, |replica| replica.online)
        };
        let uses: Vec<(usize, u32)> = local.map(|daemon| (daemon, use_by(daemon))).collect();
        let total: u32 = uses.iter().map(|(_, running)| running).sum();
        for (to, own_use) in uses {
            if to == from {
                continue;
            }
            self.metrics.messages += u64::from(to != self.replicas[replica].owner);
            let message = Event::UseBroadcast {
                replica,
                to,
                others: total - own_use,
            };
            self.schedule(self.now + LOCAL_LATENCY, message);
        }
    }

    pub(super) fn handle_online_token(&mut self, id: SequenceId, replica: usize, is_last: bool) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let first_of_request = request.generated_tokens == 0;
        let first_of_attempt = request.last_progress == request.attempt_start;
        let gap = now.saturating_sub(request.last_progress);
        request.generated_tokens += 1;
        request.last_progress = now;
        request.may_have_run = true;
        let (daemon, arrival) = (request.daemon, request.arrival);
        self.metrics.online_tokens += 1;
        if first_of_request {
            let ttft = now.saturating_sub(arrival.at);
            self.metrics.ttft.note(ttft);
            self.recent_ttft.push_back((now, ttft));
        } else {
            self.metrics.itl.note(gap);
        }
        let key = self.daemons[daemon].keys[replica];
        if first_of_attempt {
            self.daemons[daemon].routing.record_ttft(now, key, gap);
            self.daemons[daemon].routing.record_success(key);
        }
        self.record_token_gap(daemon, replica, gap, first_of_attempt);
        if is_last {
            self.requests.remove(&id);
            self.metrics.answered += 1;
            self.metrics
                .total_latency
                .note(now.saturating_sub(arrival.at));
            self.daemons[daemon].routing.end(key, Class::Online);
            self.report_use(daemon, replica, false);
        } else {
            self.schedule(now + TOKEN_TIMEOUT, Event::Timeout { id });
        }
    }

    /// Records the time since the previous token, or since the start of the attempt
    /// for its first token. The owner of the replica records every token itself;
    /// another daemon reports a late one to the owner.
    pub(super) fn record_token_gap(
        &mut self,
        daemon: usize,
        replica: usize,
        gap: Duration,
        is_first: bool,
    ) {
        let bounds = self.bounds();
        if self.replicas[replica].owner == daemon {
            let sharing = &mut self.replicas[replica].sharing;
            if is_first {
                sharing.record_ttft(self.now, gap);
            } else {
                sharing.record_itl(self.now, gap);
            }
        } else if !is_first && gap > bounds.itl {
            self.report_use(daemon, replica, true);
        }
    }

    pub(super) fn check_timeout(&mut self, id: SequenceId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let waited = self.now.saturating_sub(request.last_progress);
        let timeout = if request.last_progress == request.attempt_start {
            self.bounds().ttft.mul_f64(FIRST_TOKEN_TIMEOUT_SHARE)
        } else {
            TOKEN_TIMEOUT
        };
        if waited >= timeout && request.replica.is_some() {
            self.fail_attempt(id, Failure::Timeout);
        }
    }

    pub(super) fn fail_attempt(&mut self, id: SequenceId, failure: Failure) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(replica) = request.replica.take() else {
            return;
        };
        request.may_have_run |= !failure.not_run();
        let (daemon, attempts) = (request.daemon, request.tried.len() as u32);
        self.replicas[replica].engine.cancel(id);
        let key = self.daemons[daemon].keys[replica];
        self.daemons[daemon].routing.end(key, Class::Online);
        self.daemons[daemon]
            .routing
            .record_attempt_failure(now, key);
        self.report_use(daemon, replica, false);
        let attempt = Attempt {
            failure,
            repeatable: true,
            made: attempts,
            time_left: Duration::from_secs(1),
        };
        match self.daemons[daemon].budget.decide(attempt) {
            Decision::Retry => {
                self.metrics.retries += 1;
                self.schedule(now, Event::Retry { id });
            }
            Decision::Stop(_) => self.fail_request(id),
        }
    }

    /// Ends a request without an answer; counts it as refused if no attempt may have
    /// run and as failed otherwise.
    pub(super) fn fail_request(&mut self, id: SequenceId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        if request.may_have_run {
            self.metrics.failed += 1;
        } else {
            self.metrics.refused += 1;
        }
    }
}

/// Untried local replica that is up and has the highest rendezvous hash for the
/// prefix.
fn choose_by_hash(routing: &Routing, query: Query<'_>) -> Option<routing::Key> {
    let prefix = query.prefix.unwrap_or_default().to_le_bytes();
    let up = routing.replicas().filter(|(key, replica)| {
        replica.is_local() && replica.state == routing::State::Up && !query.excluded.contains(key)
    });
    up.max_by_key(|(_, replica)| hash::rendezvous_score(&prefix, replica.name.as_str().as_bytes()))
        .map(|(key, _)| key)
}
