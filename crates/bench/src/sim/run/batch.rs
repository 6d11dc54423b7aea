//! Batch sequences of a run and how they give way.

use super::{LOOK, Number, Policy, Rng, Sequence, World};

impl World<'_> {
    pub(super) fn batch_token(&mut self, number: Number, replica: usize, whole: bool) {
        self.metrics.batch_tokens += 1;
        let before = self.batch_last.insert(number, self.now);
        if let Some(before) = before {
            let gap = self.now.saturating_sub(before);
            self.replicas[replica].sharing.record_itl(self.now, gap);
        }
        if whole {
            self.metrics.batch_items += 1;
            self.batch_last.remove(&number);
            self.replicas[replica]
                .batch
                .retain(|known| *known != number);
        }
    }

    /// Brings a replica's batch sequences to the number that the policy allows.
    pub(super) fn look(&mut self, replica: usize) {
        if !self.policy.has_batch() || self.replicas[replica].dead {
            return;
        }
        let allowed = self.allowed(replica);
        while self.replicas[replica].batch.len() > allowed {
            let Some(number) = self.replicas[replica].batch.pop() else {
                break;
            };
            let left = self.replicas[replica].engine.cancel(number);
            self.batch_last.remove(&number);
            self.metrics.gave_way += 1;
            let left = left.unwrap_or(1);
            self.replicas[replica].aside.push((number, left));
        }
        while self.replicas[replica].batch.len() < allowed {
            let (number, left) = match self.replicas[replica].aside.pop() {
                Some(aside) => aside,
                None => {
                    self.next += 1;
                    (self.next, self.rng.random_range(32..256))
                }
            };
            let prefix = u64::MAX - number;
            self.replicas[replica].batch.push(number);
            self.replicas[replica].engine.waiting.push_back(Sequence {
                number,
                left,
                prefix,
            });
        }
        self.wake(replica);
    }

    pub(super) fn allowed(&mut self, replica: usize) -> usize {
        let max = self.model.max_sequences as usize;
        match self.policy {
            Policy::Shared | Policy::Broadcast | Policy::NoAffinity | Policy::Hashing => {
                let owner = self.replicas[replica].owner;
                let daemon = &self.daemons[owner];
                let own = daemon
                    .routing
                    .replica(daemon.keys[replica])
                    .map_or(0, |r| r.online);
                let id = daemon.id.clone();
                let sharing = &mut self.replicas[replica].sharing;
                sharing.record_online(self.now, &id, own, false);
                sharing.batch_limit(self.now) as usize
            }
            Policy::NoRule | Policy::BatchOnly => max,
            Policy::Fixed => max / 4,
            Policy::OnlineOnly => 0,
        }
    }

    /// Notes how long batch stands in the reserve at a stretch during a burst.
    pub(super) fn note_give_way(&mut self) {
        let bounds = self.bounds();
        let in_burst = self.load.in_burst(self.now) && self.policy.has_online();
        for replica in &mut self.replicas {
            let all = replica.engine.running.len() + replica.engine.waiting.len();
            let batch = replica.batch.len();
            let taken = all.saturating_sub(batch) as u32 + bounds.reserve;
            let room = bounds.max_sequences.saturating_sub(taken);
            if !in_burst || batch as u32 <= room {
                replica.in_reserve = None;
                continue;
            }
            let since = *replica.in_reserve.get_or_insert(self.now);
            let stretch = self.now.saturating_sub(since) + LOOK;
            self.metrics.give_way = self.metrics.give_way.max(stretch);
        }
    }
}
