//! Items of one shard on their way to the engines.
//!
//! The owner of a shard leases items to the owners of replicas. The job with
//! the least slack goes first. A result counts for any item that has not
//! ended, whoever brings it; a lease only limits how often work is repeated.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bitterncart_protocol::peer::{End, Lease};
use bitterncart_protocol::record::{Answer, Record};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::job::{Job, Key};
use bitterncart_state::{Shard, invariant};
use compact_str::CompactString;
use roaring::RoaringBitmap;

/// Time that a lease stands without renewal.
pub const LEASE: Duration = Duration::from_secs(15);

/// Leases of one item that may lapse before a lapse counts as an attempt.
const FREE_LAPSES: u8 = 8;

/// End of a lease whose lapse waits for the log.
const LAPSED: Duration = Duration::MAX;

/// Time that one item is expected to take a replica's slot.
const ITEM_MS: u64 = 20;

#[derive(Clone, Debug)]
struct Held {
    attempt: u8,
    custom_id: CompactString,
    until: Duration,
}

#[derive(Clone, Debug, Default)]
struct Open {
    next: u32,
    again: BTreeSet<u32>,
    held: BTreeMap<u32, Held>,
    waiting: RoaringBitmap,
}

/// Schedule of one shard at its owner.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    open: HashMap<Key, Open>,
}

impl Queue {
    /// Schedule of a shard that was just claimed.
    #[must_use]
    pub fn new(shard: &Shard) -> Self {
        let open = shard
            .jobs()
            .filter(|(_, job)| job.is_open())
            .map(|(key, _)| (key, Open::default()))
            .collect();
        Self { open }
    }

    /// Takes in a submitted job.
    pub fn submitted(&mut self, key: Key) {
        self.open.entry(key).or_default();
    }

    /// Drops a job that ended and returns the leases that no longer stand.
    pub fn ended(&mut self, key: Key, job: id::Job) -> Vec<Lease> {
        let held = self
            .open
            .remove(&key)
            .map(|open| open.held)
            .unwrap_or_default();
        held.into_iter()
            .map(|(item, held)| Lease {
                job,
                item: id::Item(item),
                attempt: held.attempt,
            })
            .collect()
    }

    /// Leases up to `count` items of a model, of the most urgent job first.
    pub fn pull(
        &mut self,
        now: Duration,
        wall_ms: u64,
        shard: &Shard,
        model: &Name,
        count: usize,
    ) -> Vec<Lease> {
        let mut jobs: Vec<(i64, Key)> = self
            .open
            .keys()
            .filter_map(|key| Some((*key, shard.job(*key)?)))
            .filter(|(_, job)| job.submit.model == *model)
            .map(|(key, job)| (slack_ms(job, wall_ms), key))
            .collect();
        jobs.sort_unstable();
        let mut leases = Vec::new();
        for (_, key) in jobs {
            let (Some(open), Some(job)) = (self.open.get_mut(&key), shard.job(key)) else {
                continue;
            };
            while leases.len() < count {
                let Some(item) = open.take(job) else { break };
                leases.push(open.lease(now, job, item));
            }
        }
        leases
    }

    /// Notes the caller's name for a leased item.
    pub fn name(&mut self, shard: &Shard, lease: Lease, custom_id: CompactString) {
        let open = shard.key(lease.job).and_then(|key| self.open.get_mut(&key));
        if let Some(held) = open.and_then(|open| open.held.get_mut(&lease.item.0)) {
            held.custom_id = custom_id;
        }
    }

    /// Judges the end of an attempt and returns the record to commit.
    pub fn finish(
        &mut self,
        shard: &Shard,
        lease: Lease,
        end: End,
        attempts: u8,
    ) -> Option<Record> {
        let key = shard.key(lease.job)?;
        let job = shard.job(key)?;
        let open = self.open.get_mut(&key)?;
        let item = lease.item.0;
        if item >= job.items() || job.done.contains(item) || open.waiting.contains(item) {
            return None;
        }
        match end {
            End::Finished(answer) => {
                open.held.remove(&item);
                open.again.remove(&item);
                open.waiting.insert(item);
                Some(Record::Done {
                    job: lease.job,
                    item: lease.item,
                    answer,
                })
            }
            // Only the holder's word counts for an attempt that failed.
            _ if open
                .held
                .get(&item)
                .is_none_or(|held| held.attempt != lease.attempt) =>
            {
                None
            }
            End::Returned => {
                open.give_back(item);
                None
            }
            End::Failed(code) => Some(open.fail(job, lease, code, attempts)),
        }
    }

    /// Extends leases and returns those that no longer stand.
    pub fn renew(&mut self, now: Duration, shard: &Shard, leases: &[Lease]) -> Vec<Lease> {
        leases
            .iter()
            .copied()
            .filter(|lease| !self.extend(now, shard, lease))
            .collect()
    }

    fn extend(&mut self, now: Duration, shard: &Shard, lease: &Lease) -> bool {
        let held = shard
            .key(lease.job)
            .and_then(|key| self.open.get_mut(&key))
            .and_then(|open| open.held.get_mut(&lease.item.0))
            .filter(|held| held.attempt == lease.attempt && held.until != LAPSED);
        match held {
            Some(held) => {
                held.until = now + LEASE;
                true
            }
            None => false,
        }
    }

    /// Takes back items whose lease lapsed; returns records and the number of lapses.
    pub fn expire(&mut self, now: Duration, shard: &Shard, attempts: u8) -> (Vec<Record>, u32) {
        let mut records = Vec::new();
        let mut lapses = 0;
        for (key, open) in &mut self.open {
            let Some(job) = shard.job(*key) else { continue };
            for lease in open.lapsed(now, job.submit.job) {
                lapses += 1;
                let before = job.lapses.get(&lease.item.0).copied().unwrap_or(0);
                records.push(if before < FREE_LAPSES {
                    open.lapse(lease)
                } else {
                    open.fail(job, lease, Code::RetryLeaseExpired, attempts)
                });
            }
        }
        (records, lapses)
    }

    /// Notes that the log has the item's end.
    pub fn committed(&mut self, key: Key, item: id::Item) {
        if let Some(open) = self.open.get_mut(&key) {
            open.waiting.remove(item.0);
            open.held.remove(&item.0);
            open.again.remove(&item.0);
        }
    }

    /// Notes that the log has counted a failed attempt or a lapse; the item may run again.
    pub fn counted(&mut self, key: Key, item: id::Item) {
        if let Some(open) = self.open.get_mut(&key) {
            open.give_back(item.0);
        }
    }

    /// Items leased out.
    #[must_use]
    pub fn leased(&self) -> u32 {
        self.open.values().map(|open| open.held.len() as u32).sum()
    }

    /// Results that wait for the log.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.open
            .values()
            .map(|open| open.waiting.len() as u32)
            .sum()
    }
}

impl Open {
    fn take(&mut self, job: &Job) -> Option<u32> {
        loop {
            let item = match self.again.pop_first() {
                Some(item) => item,
                None if self.next < job.items() => {
                    self.next += 1;
                    self.next - 1
                }
                None => return None,
            };
            let taken = job.done.contains(item)
                || self.waiting.contains(item)
                || self.held.contains_key(&item);
            if !taken {
                return Some(item);
            }
        }
    }

    fn lease(&mut self, now: Duration, job: &Job, item: u32) -> Lease {
        let attempt = job.tried.get(&item).copied().unwrap_or(0).saturating_add(1);
        let before = self.held.insert(
            item,
            Held {
                attempt,
                custom_id: CompactString::default(),
                until: now + LEASE,
            },
        );
        invariant::check(before.is_none(), "an item has one lease at its owner");
        invariant::check(!job.done.contains(item), "an ended item is not leased");
        Lease {
            job: job.submit.job,
            item: id::Item(item),
            attempt,
        }
    }

    fn give_back(&mut self, item: u32) {
        self.held.remove(&item);
        self.again.insert(item);
    }

    /// Takes an item from a holder that went silent.
    ///
    /// The item comes back when the fold has counted the lapse, so that an
    /// item whose holders always die is given up whoever owns the shard.
    fn lapse(&mut self, lease: Lease) -> Record {
        if let Some(held) = self.held.get_mut(&lease.item.0) {
            held.until = LAPSED;
        }
        Record::Lapsed {
            job: lease.job,
            item: lease.item,
        }
    }

    fn fail(&mut self, job: &Job, lease: Lease, code: Code, attempts: u8) -> Record {
        let Lease {
            job: id,
            item,
            attempt,
        } = lease;
        if attempt < attempts {
            // The item comes back when the fold has counted the attempt.
            return Record::Tried {
                job: id,
                item,
                attempt,
            };
        }
        invariant::check(item.0 < job.items(), "a failed item belongs to its job");
        let custom_id = self
            .held
            .remove(&item.0)
            .map(|held| held.custom_id)
            .unwrap_or_default();
        self.waiting.insert(item.0);
        let body = format!("the item failed {attempt} times, last with {code}");
        let answer = Answer {
            custom_id,
            status: 502,
            code: Some(Code::AttemptsExhausted),
            body,
        };
        Record::Done {
            job: id,
            item,
            answer,
        }
    }

    fn lapsed(&self, now: Duration, job: id::Job) -> Vec<Lease> {
        self.held
            .iter()
            .filter(|(_, held)| held.until <= now)
            .map(|(item, held)| Lease {
                job,
                item: id::Item(*item),
                attempt: held.attempt,
            })
            .collect()
    }
}

fn slack_ms(job: &Job, wall_ms: u64) -> i64 {
    let work = u64::from(job.remaining()) * ITEM_MS;
    job.submit.due_ms as i64 - wall_ms as i64 - work as i64
}
