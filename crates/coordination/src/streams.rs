//! Tracks the batch streams at the replicas that this daemon owns.
//!
//! A stream is the generation of one leased item. It either runs at a replica, or
//! is paused and keeps the tokens generated so far, so that a later run continues
//! from them. Each run has a number, and only the latest run of a stream may add
//! tokens or end the stream, because a token of a stopped run can arrive after the
//! next run has started.

use std::collections::BTreeMap;
use std::time::Duration;

use bitterncart_protocol::peer::{Assignment, Lease};
use bitterncart_protocol::{Name, id};
use bitterncart_state::invariant;

use crate::queue::LEASE_DURATION;
use crate::routing::Key;

/// Interval of lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which a paused stream is returned to its shard.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Number of a run; increases with each run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Run(u64);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// Number of the run.
    pub run: Run,
    /// Leased item.
    pub assignment: Assignment,
    /// Number of tokens that earlier runs generated.
    pub tokens_done: usize,
}

/// Stream that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Shard that leased the item.
    pub shard: id::Shard,
    /// Leased item.
    pub assignment: Assignment,
    /// Generated text of all runs.
    pub text: String,
}

#[derive(Debug)]
struct Stream<S> {
    shard: id::Shard,
    assignment: Assignment,
    model: Name,
    tokens: Vec<String>,
    renewed_at: Duration,
    run: Run,
    /// Replica that runs it, with the guard of the run.
    placed: Option<(Key, S)>,
    /// Start of the pause, while no replica runs the stream.
    paused_at: Duration,
}

/// Batch streams of one daemon; dropping an `S` stops its run.
#[derive(Debug)]
pub struct Streams<S> {
    streams: BTreeMap<Lease, Stream<S>>,
    last_run: u64,
}

impl<S> Default for Streams<S> {
    fn default() -> Self {
        Self {
            streams: BTreeMap::new(),
            last_run: 0,
        }
    }
}

impl<S> Streams<S> {
    /// Adds a leased item as a paused stream.
    pub fn insert(&mut self, now: Duration, shard: id::Shard, model: Name, assignment: Assignment) {
        let run = self.next_run();
        let stream = Stream {
            shard,
            model,
            tokens: Vec::new(),
            renewed_at: now,
            run,
            placed: None,
            paused_at: now,
            assignment,
        };
        self.streams.insert(stream.assignment.lease, stream);
    }

    fn next_run(&mut self) -> Run {
        self.last_run += 1;
        Run(self.last_run)
    }

    /// Starts a run at a replica; `None` if the stream no longer exists or is running.
    pub fn launch(&mut self, lease: Lease, replica: Key, stop: S) -> Option<Start> {
        let run = self.next_run();
        let stream = self
            .streams
            .get_mut(&lease)
            .filter(|stream| stream.placed.is_none())?;
        stream.placed = Some((replica, stop));
        stream.run = run;
        Some(Start {
            run,
            assignment: stream.assignment.clone(),
            tokens_done: stream.tokens.len(),
        })
    }

    /// Adds a token of a run; `false` if the run is not the current one.
    pub fn add_token(&mut self, lease: Lease, run: Run, text: String) -> bool {
        match self.running_stream(lease, run) {
            Some(stream) => {
                stream.tokens.push(text);
                true
            }
            None => false,
        }
    }

    /// Stream of a lease, if `run` is its current run and has not been stopped.
    fn running_stream(&mut self, lease: Lease, run: Run) -> Option<&mut Stream<S>> {
        let is_current = |stream: &&mut Stream<S>| stream.run == run && stream.placed.is_some();
        self.streams.get_mut(&lease).filter(is_current)
    }

    /// Ends a stream; `None` if the run is not the current one.
    pub fn end(&mut self, lease: Lease, run: Run) -> Option<Ended> {
        self.running_stream(lease, run)?;
        let stream = self.streams.remove(&lease)?;
        Some(Ended {
            shard: stream.shard,
            text: stream.tokens.concat(),
            assignment: stream.assignment,
        })
    }

    /// Preempts the latest runs of a replica until at most `allowed` remain.
    ///
    /// Returns the number of preempted streams, which are paused.
    pub fn preempt(&mut self, now: Duration, replica: Key, allowed: usize) -> usize {
        let mut running: Vec<(Run, Lease)> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.is_at(replica))
            .map(|(lease, stream)| (stream.run, *lease))
            .collect();
        running.sort_unstable_by(|a, b| b.cmp(a));
        let excess = running.len().saturating_sub(allowed);
        for (_, lease) in running.iter().take(excess) {
            if let Some(stream) = self.streams.get_mut(lease) {
                stream.placed = None;
                stream.paused_at = now;
            }
        }
        invariant::check(
            self.running(replica) <= allowed,
            "preemption takes effect immediately",
        );
        excess
    }

    /// Up to `count` paused streams of a model, those with the most tokens first.
    #[must_use]
    pub fn paused(&self, model: &Name, count: usize) -> Vec<Lease> {
        let mut paused: Vec<(usize, Lease)> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.placed.is_none() && stream.model == *model)
            .map(|(lease, stream)| (stream.tokens.len(), *lease))
            .collect();
        paused.sort_unstable_by(|a, b| b.cmp(a));
        paused
            .into_iter()
            .take(count)
            .map(|(_, lease)| lease)
            .collect()
    }

    /// Number of streams that run at a replica.
    #[must_use]
    pub fn running(&self, replica: Key) -> usize {
        self.streams
            .values()
            .filter(|stream| stream.is_at(replica))
            .count()
    }

    /// Drops a stream whose lease was revoked.
    pub fn revoke(&mut self, lease: &Lease) {
        self.streams.remove(lease);
    }

    /// Drops streams whose lease may have expired, so that another daemon may hold
    /// it, and returns the leases that are due for renewal.
    pub fn leases_to_renew(&mut self, now: Duration) -> Vec<(id::Shard, Lease)> {
        self.streams
            .retain(|_, stream| now.saturating_sub(stream.renewed_at) < LEASE_DURATION);
        let is_due = |stream: &Stream<S>| now.saturating_sub(stream.renewed_at) >= RENEW_INTERVAL;
        let due = self.streams.iter().filter(|(_, stream)| is_due(stream));
        due.map(|(lease, stream)| (stream.shard, *lease)).collect()
    }

    /// Records a renewal of a lease that was requested at `requested`.
    pub fn record_renewal(&mut self, requested: Duration, lease: &Lease) {
        if let Some(stream) = self.streams.get_mut(lease) {
            stream.renewed_at = requested;
        }
    }

    /// Removes streams paused for too long and returns their leases, each with its
    /// shard, so that the items can run at another daemon's replicas.
    pub fn take_overdue(&mut self, now: Duration) -> Vec<(id::Shard, Lease)> {
        let is_overdue =
            |s: &Stream<S>| s.placed.is_none() && now.saturating_sub(s.paused_at) >= MAX_PAUSE;
        let overdue = self.streams.iter().filter(|(_, stream)| is_overdue(stream));
        let overdue: Vec<_> = overdue.map(|(lease, s)| (s.shard, *lease)).collect();
        for (_, lease) in &overdue {
            self.streams.remove(lease);
        }
        overdue
    }

    /// Removes all streams and returns their leases, each with its shard.
    pub fn take_all(&mut self) -> Vec<(id::Shard, Lease)> {
        let streams = std::mem::take(&mut self.streams);
        streams
            .into_iter()
            .map(|(lease, stream)| (stream.shard, lease))
            .collect()
    }
}

impl<S> Stream<S> {
    fn is_at(&self, replica: Key) -> bool {
        self.placed.as_ref().is_some_and(|(key, _)| *key == replica)
    }
}
