//! Batch streams of the replicas that this daemon owns.
//!
//! A stream runs at a replica, or is set aside with the tokens that it has.
//! Each run of a stream has a number, and only the newest run may add tokens
//! or end the stream: a run that was stopped can still have a token on its way
//! when the next one has begun.

use std::collections::BTreeMap;
use std::time::Duration;

use bitterncart_protocol::peer::{Lease, Work};
use bitterncart_protocol::{Name, id};
use bitterncart_state::invariant;

use crate::queue::LEASE;
use crate::routing::Key;

/// Time after which a lease is renewed.
const RENEW: Duration = Duration::from_secs(4);

/// Time after which a stream that no replica has is given back.
const ASIDE: Duration = Duration::from_secs(10);

/// Number of a run, rising.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(u64);

/// What a run needs to begin.
#[derive(Clone, Debug)]
pub struct Start {
    /// Number of the run.
    pub run: Run,
    /// What it runs.
    pub work: Work,
    /// Tokens that earlier runs made.
    pub done: usize,
}

/// Stream that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Shard that leased it.
    pub shard: id::Shard,
    /// What it ran.
    pub work: Work,
    /// Text of all runs.
    pub text: String,
}

#[derive(Debug)]
struct Stream<S> {
    shard: id::Shard,
    work: Work,
    model: Name,
    tokens: Vec<String>,
    renewed: Duration,
    run: Run,
    at: Option<(Key, S)>,
    /// Since when it is set aside, while no replica has it.
    aside: Duration,
}

/// Batch streams; `S` stops a run when it is dropped.
#[derive(Debug)]
pub struct Streams<S> {
    all: BTreeMap<Lease, Stream<S>>,
    runs: u64,
}

impl<S> Default for Streams<S> {
    fn default() -> Self {
        Self {
            all: BTreeMap::new(),
            runs: 0,
        }
    }
}

impl<S> Streams<S> {
    /// Takes a leased item in; it is set aside until it is launched.
    pub fn insert(&mut self, now: Duration, shard: id::Shard, model: Name, work: Work) {
        let run = self.next_run();
        let stream = Stream {
            shard,
            model,
            tokens: Vec::new(),
            renewed: now,
            run,
            at: None,
            aside: now,
            work,
        };
        self.all.insert(stream.work.lease, stream);
    }

    fn next_run(&mut self) -> Run {
        self.runs += 1;
        Run(self.runs)
    }

    /// Begins a run at a replica; `None` if the stream is gone or runs already.
    pub fn launch(&mut self, lease: Lease, replica: Key, stop: S) -> Option<Start> {
        let run = self.next_run();
        let stream = self
            .all
            .get_mut(&lease)
            .filter(|stream| stream.at.is_none())?;
        stream.at = Some((replica, stop));
        stream.run = run;
        Some(Start {
            run,
            work: stream.work.clone(),
            done: stream.tokens.len(),
        })
    }

    /// Adds a token of a run; `false` if the run no longer stands.
    pub fn token(&mut self, lease: Lease, run: Run, text: String) -> bool {
        match self.standing(lease, run) {
            Some(stream) => {
                stream.tokens.push(text);
                true
            }
            None => false,
        }
    }

    fn standing(&mut self, lease: Lease, run: Run) -> Option<&mut Stream<S>> {
        let stands = |stream: &&mut Stream<S>| stream.run == run && stream.at.is_some();
        self.all.get_mut(&lease).filter(stands)
    }

    /// Ends a stream by its newest run.
    pub fn end(&mut self, lease: Lease, run: Run) -> Option<Ended> {
        self.standing(lease, run)?;
        let stream = self.all.remove(&lease)?;
        Some(Ended {
            shard: stream.shard,
            text: stream.tokens.concat(),
            work: stream.work,
        })
    }

    /// Sets the newest streams of a replica aside until `allowed` run.
    ///
    /// Returns how many gave way.
    pub fn give_way(&mut self, now: Duration, replica: Key, allowed: usize) -> usize {
        let mut running: Vec<(Run, Lease)> = self
            .all
            .iter()
            .filter(|(_, stream)| stream.is_at(replica))
            .map(|(lease, stream)| (stream.run, *lease))
            .collect();
        running.sort_unstable_by(|a, b| b.cmp(a));
        let excess = running.len().saturating_sub(allowed);
        for (_, lease) in running.iter().take(excess) {
            if let Some(stream) = self.all.get_mut(lease) {
                stream.at = None;
                stream.aside = now;
            }
        }
        invariant::check(self.running(replica) <= allowed, "batch gives way at once");
        excess
    }

    /// Streams of a model that are set aside, at most `count`, those with most tokens first.
    #[must_use]
    pub fn aside(&self, model: &Name, count: usize) -> Vec<Lease> {
        let mut aside: Vec<(usize, Lease)> = self
            .all
            .iter()
            .filter(|(_, stream)| stream.at.is_none() && stream.model == *model)
            .map(|(lease, stream)| (stream.tokens.len(), *lease))
            .collect();
        aside.sort_unstable_by(|a, b| b.cmp(a));
        aside
            .into_iter()
            .take(count)
            .map(|(_, lease)| lease)
            .collect()
    }

    /// Streams that run at a replica.
    #[must_use]
    pub fn running(&self, replica: Key) -> usize {
        self.all
            .values()
            .filter(|stream| stream.is_at(replica))
            .count()
    }

    /// Drops a stream whose lease no longer stands.
    pub fn revoke(&mut self, lease: &Lease) {
        self.all.remove(lease);
    }

    /// Drops streams whose lease may be another daemon's by now, and returns
    /// the leases to renew.
    pub fn due(&mut self, now: Duration) -> Vec<(id::Shard, Lease)> {
        self.all
            .retain(|_, stream| now.saturating_sub(stream.renewed) < LEASE);
        let old = |stream: &Stream<S>| now.saturating_sub(stream.renewed) >= RENEW;
        let due = self.all.iter().filter(|(_, stream)| old(stream));
        due.map(|(lease, stream)| (stream.shard, *lease)).collect()
    }

    /// Notes that a lease stood when its renewal was asked for.
    pub fn renewed(&mut self, asked: Duration, lease: &Lease) {
        if let Some(stream) = self.all.get_mut(lease) {
            stream.renewed = asked;
        }
    }

    /// Takes out streams that were set aside for too long, with the shards that
    /// leased them: another daemon may have a replica for them.
    pub fn take_waiting(&mut self, now: Duration) -> Vec<(id::Shard, Lease)> {
        let waits = |s: &Stream<S>| s.at.is_none() && now.saturating_sub(s.aside) >= ASIDE;
        let waiting = self.all.iter().filter(|(_, stream)| waits(stream));
        let waiting: Vec<_> = waiting.map(|(lease, s)| (s.shard, *lease)).collect();
        for (_, lease) in &waiting {
            self.all.remove(lease);
        }
        waiting
    }

    /// Takes all streams out, with the shards that leased them.
    pub fn take_all(&mut self) -> Vec<(id::Shard, Lease)> {
        let all = std::mem::take(&mut self.all);
        all.into_iter()
            .map(|(lease, stream)| (stream.shard, lease))
            .collect()
    }
}

impl<S> Stream<S> {
    fn is_at(&self, replica: Key) -> bool {
        self.at.as_ref().is_some_and(|(key, _)| *key == replica)
    }
}
