//! Invariants that are checked after each operation.
//!
//! The checks compare a fold of the whole log, the reference shard, with what
//! was acknowledged to clients. An accepted job is never lost, an acknowledged
//! cancellation stops the job, a keyed call runs at most once, and each ended
//! item has exactly one result, which stays readable and never changes.

use std::collections::BTreeMap;

use bitterncart_state::Shard;
use bitterncart_state::job::Job;
use bitterncart_state::shard::Event;

use super::defect::rewrite_page;
use super::world::{World, job_id};

impl World {
    /// Checks every invariant on a fold of the whole log.
    ///
    /// # Errors
    ///
    /// The invariant that was violated.
    pub(super) fn check_invariants(&mut self) -> Result<(), String> {
        let page = rewrite_page(
            self.defect,
            &self.reference,
            self.log.page(self.reference.next()),
        );
        let events = self.reference.apply_page(&page);
        self.check_cancelled(&events)?;
        let restored = Shard::restore(&self.reference.snapshot());
        if restored.map(|shard| shard.snapshot()) != Some(self.reference.snapshot()) {
            return Err("restoring a snapshot does not give the same state".to_owned());
        }
        for job in &self.accepted {
            if self.reference.job_by_id(job_id(*job)).is_none() {
                return Err(format!("accepted job {job} is lost"));
            }
        }
        for job in &self.cancelled {
            let job = self.reference.job_by_id(job_id(*job));
            if job.is_some_and(Job::is_open) {
                return Err("a cancelled job is still open".to_owned());
            }
        }
        if let Some((call, runs)) = self.call_runs.iter().find(|(_, runs)| **runs > 1) {
            return Err(format!("call {} ran {runs} times", call.0));
        }
        self.check_results()
    }

    /// Checks that no item of a cancelled job finished among new events.
    fn check_cancelled(&self, events: &[Event]) -> Result<(), String> {
        for event in events {
            let Event::ItemFinished(key, _) = event else {
                continue;
            };
            let job = self.reference.job(*key);
            if job.is_some_and(|job| job.cancelled_ms.is_some()) {
                return Err("an item of a cancelled job finished".to_owned());
            }
        }
        Ok(())
    }

    /// Reads the results back from the log, as a client does.
    fn check_results(&mut self) -> Result<(), String> {
        let mut found = BTreeMap::new();
        for (_, job) in self.reference.jobs() {
            let id = job.submit.job;
            for place in &job.results {
                let answers = self.log.results(id, place.offset);
                for (item, answer) in answers.ok_or("a result is no longer in the log")? {
                    if found.insert((id, item.0), answer.body).is_some() {
                        return Err(format!("item {} has two results", item.0));
                    }
                }
            }
            let read = found.keys().filter(|(of, _)| *of == id).count() as u64;
            if read != job.done.len() {
                return Err(format!(
                    "{read} results can be read for {} ended items",
                    job.done.len()
                ));
            }
        }
        for (key, body) in &self.results {
            if found.get(key) != Some(body) {
                return Err(format!(
                    "the result of item {} changed or disappeared",
                    key.1
                ));
            }
        }
        self.results = found;
        Ok(())
    }
}
