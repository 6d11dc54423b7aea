//! Online requests of a run: routing, tokens, failures, reports of use.

use super::{
    Attempt, Class, Decision, Duration, Event, Failure, GAP, NEAR, Number, Online, PATIENCE,
    Policy, Query, Routing, Sequence, World, hash, routing,
};

impl World<'_> {
    pub(super) fn arrive(&mut self, at: usize) {
        let arrival = self.load.arrivals[at];
        let daemon = (arrival.daemon * self.daemons.len() as f64) as usize;
        self.next += 1;
        let number = self.next;
        self.metrics.sent += 1;
        self.daemons[daemon].budget.earn();
        let online = Online {
            arrival,
            daemon,
            replica: None,
            made: 0,
            tried: Vec::new(),
            last: self.now,
            began: self.now,
            may_have_run: false,
        };
        self.online.insert(number, online);
        self.dispatch(number);
    }

    pub(super) fn dispatch(&mut self, number: Number) {
        let deadline =
            Duration::from_millis(self.model.online.as_ref().map_or(0, |o| o.deadline_ms));
        let Some(online) = self.online.get(&number) else {
            return;
        };
        let left = (online.arrival.at + deadline).saturating_sub(self.now);
        let prefix = Some(online.arrival.prefix).filter(|_| self.policy != Policy::NoAffinity);
        let query = Query {
            serves: self.model.name.as_str(),
            prefix,
            time_left: left,
            excluded: &online.tried,
        };
        let daemon = &self.daemons[online.daemon];
        let chosen = match self.policy {
            Policy::Hashing => by_hash(&daemon.routing, query),
            _ => daemon.routing.choose(self.now, query),
        };
        let Some(key) = chosen else {
            self.give_up(number);
            return;
        };
        let replica = daemon
            .keys
            .iter()
            .position(|known| *known == key)
            .unwrap_or(0);
        let can_retry = daemon.budget.can_retry();
        self.send(
            number,
            key,
            replica,
            if can_retry {
                self.bounds().ttft.mul_f64(PATIENCE)
            } else {
                left
            },
        );
    }

    pub(super) fn send(
        &mut self,
        number: Number,
        key: routing::Key,
        replica: usize,
        patience: Duration,
    ) {
        let now = self.now;
        let Some(online) = self.online.get_mut(&number) else {
            return;
        };
        online.tried.push(key);
        online.replica = Some(replica);
        online.last = now;
        online.began = now;
        let (daemon, prefix) = (online.daemon, online.arrival.prefix);
        let left = online.arrival.tokens - online.made;
        self.daemons[daemon]
            .routing
            .start(key, Class::Online, Some(prefix));
        self.tell(daemon, replica, false);
        if self.replicas[replica].dead {
            self.fail(number, Failure::Connect);
            return;
        }
        let sequence = Sequence {
            number,
            left,
            prefix,
        };
        self.replicas[replica].engine.waiting.push_back(sequence);
        self.wake(replica);
        self.at(now + patience, Event::Patience { number });
    }

    /// Tells the owner of a replica of a daemon's use, if it is due.
    pub(super) fn tell(&mut self, daemon: usize, replica: usize, late: bool) {
        let key = self.daemons[daemon].keys[replica];
        let running = self.daemons[daemon]
            .routing
            .replica(key)
            .map_or(0, |r| r.online);
        let interest = &mut self.daemons[daemon].interest;
        let level = if self.policy == Policy::Broadcast {
            Some(running)
        } else if late {
            interest
                .should_report_late(self.now, key)
                .then_some(running)
        } else {
            interest.level_to_report(self.now, key, running)
        };
        let Some(level) = level else { return };
        let owner = self.replicas[replica].owner;
        let far = self.daemons[owner].id.0.split('-').nth(1)
            != self.daemons[daemon].id.0.split('-').nth(1);
        let region = &self.experiment.document.regions[0];
        let delay = match (owner == daemon, far) {
            (true, _) => Duration::ZERO,
            (false, true) => Duration::from_secs_f64(region.one_way_ms / 1e3),
            (false, false) => NEAR,
        };
        self.metrics.messages += u64::from(owner != daemon);
        if self.policy == Policy::Broadcast {
            self.broadcast(daemon, replica);
        }
        self.at(
            self.now + delay,
            Event::Pressure {
                replica,
                daemon,
                level,
                late,
            },
        );
    }

    /// Tells the other daemons of a data centre what all use of a replica.
    pub(super) fn broadcast(&mut self, from: usize, replica: usize) {
        let each = self.experiment.daemons;
        let local = (from / each * each)..(from / each + 1) * each;
        let online = |daemon: usize| {
            let daemon = &self.daemons[daemon];
            let known = daemon.routing.replica(daemon.keys[replica]);
            known.map_or(0, |replica| replica.online)
        };
        let uses: Vec<(usize, u32)> = local.map(|daemon| (daemon, online(daemon))).collect();
        let total: u32 = uses.iter().map(|(_, running)| running).sum();
        for (to, own) in uses {
            if to == from {
                continue;
            }
            self.metrics.messages += u64::from(to != self.replicas[replica].owner);
            let heard = Event::Heard {
                replica,
                to,
                others: total - own,
            };
            self.at(self.now + NEAR, heard);
        }
    }

    pub(super) fn online_token(&mut self, number: Number, replica: usize, whole: bool) {
        let now = self.now;
        let Some(online) = self.online.get_mut(&number) else {
            return;
        };
        let first_of_all = online.made == 0;
        let first_of_attempt = online.last == online.began;
        let gap = now.saturating_sub(online.last);
        online.made += 1;
        online.last = now;
        online.may_have_run = true;
        let (daemon, arrival) = (online.daemon, online.arrival);
        self.metrics.online_tokens += 1;
        if first_of_all {
            let ttft = now.saturating_sub(arrival.at);
            self.metrics.ttft.note(ttft);
            self.recent.push_back((now, ttft));
        } else {
            self.metrics.itl.note(gap);
        }
        let key = self.daemons[daemon].keys[replica];
        if first_of_attempt {
            self.daemons[daemon].routing.record_ttft(now, key, gap);
            self.daemons[daemon].routing.record_success(key);
        }
        self.note_gap(daemon, replica, gap, first_of_attempt);
        if whole {
            self.online.remove(&number);
            self.metrics.answered += 1;
            self.metrics.whole.note(now.saturating_sub(arrival.at));
            self.daemons[daemon].routing.end(key, Class::Online);
            self.tell(daemon, replica, false);
        } else {
            self.at(now + GAP, Event::Patience { number });
        }
    }

    /// What the daemon of an online sequence does with a token's time.
    pub(super) fn note_gap(&mut self, daemon: usize, replica: usize, gap: Duration, first: bool) {
        let bounds = self.bounds();
        if self.replicas[replica].owner == daemon {
            let sharing = &mut self.replicas[replica].sharing;
            if first {
                sharing.record_ttft(self.now, gap);
            } else {
                sharing.record_itl(self.now, gap);
            }
        } else if !first && gap > bounds.itl {
            self.tell(daemon, replica, true);
        }
    }

    pub(super) fn check_patience(&mut self, number: Number) {
        let Some(online) = self.online.get(&number) else {
            return;
        };
        let waited = self.now.saturating_sub(online.last);
        let bound = if online.last == online.began {
            self.bounds().ttft.mul_f64(PATIENCE)
        } else {
            GAP
        };
        if waited >= bound && online.replica.is_some() {
            self.fail(number, Failure::Timeout);
        }
    }

    pub(super) fn fail(&mut self, number: Number, failure: Failure) {
        let now = self.now;
        let Some(online) = self.online.get_mut(&number) else {
            return;
        };
        let Some(replica) = online.replica.take() else {
            return;
        };
        online.may_have_run |= !failure.not_run();
        let (daemon, made) = (online.daemon, online.tried.len() as u32);
        self.replicas[replica].engine.cancel(number);
        let key = self.daemons[daemon].keys[replica];
        self.daemons[daemon].routing.end(key, Class::Online);
        self.daemons[daemon]
            .routing
            .record_attempt_failure(now, key);
        self.tell(daemon, replica, false);
        let attempt = Attempt {
            failure,
            repeatable: true,
            made,
            time_left: Duration::from_secs(1),
        };
        match self.daemons[daemon].budget.decide(attempt) {
            Decision::Retry => {
                self.metrics.extra += 1;
                self.at(now, Event::Retry { number });
            }
            Decision::Stop(_) => self.give_up(number),
        }
    }

    pub(super) fn give_up(&mut self, number: Number) {
        let Some(online) = self.online.remove(&number) else {
            return;
        };
        if online.may_have_run {
            self.metrics.failed += 1;
        } else {
            self.metrics.refused += 1;
        }
    }
}

/// Replica of the data centre that a prompt's prefix decides, if it is up.
fn by_hash(routing: &Routing, query: Query<'_>) -> Option<routing::Key> {
    let prefix = query.prefix.unwrap_or_default().to_le_bytes();
    let up = routing.replicas().filter(|(key, replica)| {
        replica.is_local() && replica.state == routing::State::Up && !query.excluded.contains(key)
    });
    up.max_by_key(|(_, replica)| hash::score(&prefix, replica.name.as_str().as_bytes()))
        .map(|(key, _)| key)
}
