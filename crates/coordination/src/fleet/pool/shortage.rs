//! Shortages of a pool: replicas that limit their rate, and queues that its replicas
//! cannot take in time.

use std::time::Duration;

use super::{Class, Group, Key, Pool, Selection};
use crate::fleet::rate_limit;

/// Weight of the latest request in the average run time.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Lower bound of the average run time for the expected wait, in seconds.
const MIN_RUN_TIME_S: f64 = 0.001;

/// Lower bound of the rate at which queued requests are expected to start, a second.
const MIN_DRAIN_PER_S: f64 = 0.01;

impl Pool {
    /// Records for how long an online request held a slot.
    pub fn record_run_time(&mut self, service: &str, time: Duration) {
        match self.run_times.get_mut(service) {
            Some(average) => {
                *average = average.mul_f64(1.0 - RUN_TIME_WEIGHT) + time.mul_f64(RUN_TIME_WEIGHT);
            }
            None => drop(self.run_times.insert(service.into(), time)),
        }
    }

    /// Average time for which an online request of a service holds a slot; `None` if no request
    /// has been answered yet.
    #[must_use]
    pub fn run_time(&self, service: &str) -> Option<Duration> {
        self.run_times.get(service).copied()
    }

    /// Time in which the replicas of this data centre take as many online requests of
    /// a service as its daemons have queued. Batch items give way; limited replicas
    /// take requests at their rate. `None` if no request has been answered yet.
    #[must_use]
    pub fn expected_queue_wait(&self, now: Duration, service: &str) -> Option<Duration> {
        let run_time_s = self.run_times.get(service)?.as_secs_f64();
        let group = Group::new(service, &self.data_centre);
        let queued = self.backlog.requests(group);
        let local = self.entries.values().filter(|e| e.group == group);
        let usable = local.filter(|e| e.is_in_service(now) && now >= e.backoff_until);
        let per_s: f64 = usable
            .map(|e| {
                let by_slots = f64::from(e.takes_well()) / run_time_s.max(MIN_RUN_TIME_S);
                e.limit.map_or(by_slots, |limit| limit.min(by_slots))
            })
            .sum();
        let wait_s = f64::from(queued) / per_s.max(MIN_DRAIN_PER_S);
        Some(Duration::from_secs_f64(wait_s))
    }

    /// Records that a limited replica has no token for a class of requests before
    /// `retry` has passed.
    pub fn record_no_token(&mut self, now: Duration, key: Key, class: Class, retry: Duration) {
        match (self.entries.get_mut(key), class) {
            (Some(entry), Class::Online) => entry.token_at = now + retry,
            (Some(entry), Class::Batch) => entry.batch_token_at = now + retry,
            (None, _) => {}
        }
    }

    /// Records the rate limit that a selected replica named in an answer, or that it
    /// named none; returns whether that is news.
    pub fn record_limit(
        &mut self,
        now: Duration,
        selection: &Selection,
        per_s: Option<f64>,
    ) -> bool {
        let is_news = self.limits.record(now, selection.process_hash, per_s);
        if is_news {
            self.update_limits();
        }
        is_news
    }

    /// Adds the rate limits that a peer reports.
    pub fn merge_limits(&mut self, now: Duration, reports: &[rate_limit::Report]) {
        if !reports.is_empty() {
            self.limits.merge(now, reports);
            self.update_limits();
        }
    }

    /// Rate limits for the peers.
    #[must_use]
    pub fn limit_reports(&self, now: Duration) -> Vec<rate_limit::Report> {
        self.limits.reports(now)
    }

    /// Rate limit of a process, as the latest answer that is known here named it.
    #[must_use]
    pub fn limit_of(&self, process: u32) -> Option<f64> {
        self.limits.get(process)
    }

    /// Time since that answer.
    #[must_use]
    pub fn limit_age(&self, now: Duration, process: u32) -> Option<Duration> {
        self.limits.age(now, process)
    }

    fn update_limits(&mut self) {
        for entry in self.entries.values_mut() {
            entry.limit = self.limits.get(entry.process_hash);
        }
    }

    /// Replicas of a service that are in service and have named a rate limit.
    #[must_use]
    pub fn limited(&self, now: Duration, service: &str) -> Vec<Key> {
        let entries = self.entries.iter().filter(|(_, e)| {
            e.limit.is_some() && e.replica.service == service && e.is_in_service(now)
        });
        entries.map(|(key, _)| key).collect()
    }
}
