//! Batch sequences of a run and their preemption.
//!
//! The policy sets how many batch sequences a replica may run. Sequences above
//! that number are cancelled at once, newest first, and continue later with
//! their remaining tokens; free slots are filled with preempted sequences before
//! new ones. Batch work never runs out.

use super::{ADJUST_INTERVAL, Policy, Rng, Sequence, SequenceId, Simulation};

impl Simulation<'_> {
    pub(super) fn handle_batch_token(&mut self, id: SequenceId, replica: usize, is_last: bool) {
        self.metrics.batch_tokens += 1;
        let previous = self.last_batch_token.insert(id, self.now);
        if let Some(previous) = previous {
            let gap = self.now.saturating_sub(previous);
            self.replicas[replica].sharing.record_itl(self.now, gap);
        }
        if is_last {
            self.metrics.batch_items += 1;
            self.last_batch_token.remove(&id);
            self.replicas[replica].batch.retain(|known| *known != id);
        }
    }

    /// Preempts or starts batch sequences until a replica has the number that the
    /// policy allows.
    pub(super) fn adjust_batch(&mut self, replica: usize) {
        if !self.policy.has_batch() || self.replicas[replica].dead {
            return;
        }
        let slots = self.batch_slots(replica);
        while self.replicas[replica].batch.len() > slots {
            let Some(id) = self.replicas[replica].batch.pop() else {
                break;
            };
            let remaining_tokens = self.replicas[replica].engine.cancel(id);
            self.last_batch_token.remove(&id);
            self.metrics.preempted += 1;
            let remaining_tokens = remaining_tokens.unwrap_or(1);
            self.replicas[replica]
                .preempted
                .push((id, remaining_tokens));
        }
        while self.replicas[replica].batch.len() < slots {
            let (id, remaining_tokens) = match self.replicas[replica].preempted.pop() {
                Some(preempted) => preempted,
                None => {
                    self.last_id += 1;
                    (self.last_id, self.rng.random_range(32..256))
                }
            };
            // Unique to this sequence, so that batch prompts never hit the prefix cache.
            let prefix = u64::MAX - id;
            self.replicas[replica].batch.push(id);
            self.replicas[replica].engine.waiting.push_back(Sequence {
                id,
                remaining_tokens,
                prefix,
            });
        }
        self.start_step(replica);
    }

    /// Number of batch sequences that the policy allows on a replica now.
    pub(super) fn batch_slots(&mut self, replica: usize) -> usize {
        let max = self.model.max_sequences as usize;
        match self.policy {
            Policy::Shared | Policy::Broadcast | Policy::NoAffinity | Policy::Hashing => {
                let owner = self.replicas[replica].owner;
                let daemon = &self.daemons[owner];
                let own_use = daemon
                    .routing
                    .replica(daemon.keys[replica])
                    .map_or(0, |r| r.online);
                let id = daemon.id.clone();
                let sharing = &mut self.replicas[replica].sharing;
                sharing.record_online(self.now, &id, own_use, false);
                sharing.batch_limit(self.now) as usize
            }
            Policy::NoRule | Policy::BatchOnly => max,
            Policy::Fixed => max / 4,
            Policy::OnlineOnly => 0,
        }
    }

    /// Records the longest continuous time in a burst during which batch occupied
    /// the reserve of a replica.
    pub(super) fn record_reserve_use(&mut self) {
        let bounds = self.bounds();
        let in_burst = self.load.in_burst(self.now) && self.policy.has_online();
        for replica in &mut self.replicas {
            let total = replica.engine.running.len() + replica.engine.waiting.len();
            let batch = replica.batch.len();
            let taken = total.saturating_sub(batch) as u32 + bounds.reserve;
            let room = bounds.max_sequences.saturating_sub(taken);
            if !in_burst || batch as u32 <= room {
                replica.reserve_used_since = None;
                continue;
            }
            let since = *replica.reserve_used_since.get_or_insert(self.now);
            let elapsed = self.now.saturating_sub(since) + ADJUST_INTERVAL;
            self.metrics.longest_reserve_use = self.metrics.longest_reserve_use.max(elapsed);
        }
    }
}
