//! Promises that are checked after each step.

use std::collections::BTreeMap;

use bitterncart_state::Shard;
use bitterncart_state::job::Job;
use bitterncart_state::shard::Event;

use super::broken::rewrite;
use super::world::{World, job_id};

impl World {
    /// Checks every promise on a fold of the whole log.
    ///
    /// # Errors
    ///
    /// The promise that was broken.
    pub(super) fn check(&mut self) -> Result<(), String> {
        let page = rewrite(
            self.broken,
            &self.reference,
            self.log.page(self.reference.next()),
        );
        let events = self.reference.apply_page(&page);
        self.check_cancelled(&events)?;
        let restored = Shard::restore(&self.reference.snapshot());
        if restored.map(|shard| shard.snapshot()) != Some(self.reference.snapshot()) {
            return Err("a snapshot does not restore the state".to_owned());
        }
        for job in &self.accepted {
            if self.reference.job_by_id(job_id(*job)).is_none() {
                return Err(format!("the accepted job {job} is lost"));
            }
        }
        for job in &self.cancelled {
            let job = self.reference.job_by_id(job_id(*job));
            if job.is_some_and(Job::is_open) {
                return Err("a cancelled job goes on".to_owned());
            }
        }
        if let Some((call, runs)) = self.call_runs.iter().find(|(_, runs)| **runs > 1) {
            return Err(format!("the call {} ran {runs} times", call.0));
        }
        self.check_results()
    }

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

    /// Reads results back from the entries as a caller would.
    fn check_results(&mut self) -> Result<(), String> {
        let mut seen = BTreeMap::new();
        for (_, job) in self.reference.jobs() {
            let id = job.submit.job;
            for place in &job.results {
                let answers = self.log.results(id, place.offset);
                for (item, answer) in answers.ok_or("a result is no longer in the log")? {
                    if seen.insert((id, item.0), answer.body).is_some() {
                        return Err(format!("item {} has two results", item.0));
                    }
                }
            }
            let read = seen.keys().filter(|(of, _)| *of == id).count() as u64;
            if read != job.done.len() {
                return Err(format!(
                    "{read} results of {} ended items can be read",
                    job.done.len()
                ));
            }
        }
        for (key, body) in &self.results {
            if seen.get(key) != Some(body) {
                return Err(format!("the result of item {} changed or went", key.1));
            }
        }
        self.results = seen;
        Ok(())
    }
}
