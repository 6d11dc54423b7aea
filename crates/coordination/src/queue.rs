//! Schedules the batch items of one shard.
//!
//! The owner of a shard leases items to the daemons that own replicas, from the
//! job with the least slack before its deadline first. A lease expires unless it
//! is renewed, and its item is then leased again. The first result of an item
//! counts, whoever reports it; a lease only limits how often work is repeated. A
//! failed attempt or an expired lease makes its item available again only after
//! the log has the record that counts it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bitterncart_protocol::peer::{End, Lease};
use bitterncart_protocol::record::{Answer, Record};
use bitterncart_protocol::{Code, Name, id};
use bitterncart_state::job::{Job, Key};
use bitterncart_state::{Shard, invariant};
use compact_str::CompactString;
use roaring::RoaringBitmap;

/// Time after which a lease expires unless it is renewed.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);

/// Expired leases of one item after which each further one counts as an attempt.
const MAX_UNCOUNTED_EXPIRIES: u8 = 8;

/// Expiry of a lease that has expired and whose record is not in the log yet.
const EXPIRY_PENDING: Duration = Duration::MAX;

/// Expected time that one item occupies a replica slot.
const ITEM_SLOT_MS: u64 = 20;

#[derive(Clone, Debug)]
struct ActiveLease {
    attempt: u8,
    custom_id: CompactString,
    expires: Duration,
}

/// Scheduling state of a job that has not ended.
#[derive(Clone, Debug, Default)]
struct OpenJob {
    /// First item that was never leased.
    next: u32,
    requeued: BTreeSet<u32>,
    active: BTreeMap<u32, ActiveLease>,
    /// Items whose end is not in the log yet.
    uncommitted: RoaringBitmap,
}

/// Scheduling state of one shard, kept by its owner.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    jobs: HashMap<Key, OpenJob>,
}

impl Queue {
    /// Queue of a shard that was just claimed, without active leases.
    #[must_use]
    pub fn new(shard: &Shard) -> Self {
        let jobs = shard
            .jobs()
            .filter(|(_, job)| job.is_open())
            .map(|(key, _)| (key, OpenJob::default()))
            .collect();
        Self { jobs }
    }

    /// Adds a submitted job.
    pub fn add_job(&mut self, key: Key) {
        self.jobs.entry(key).or_default();
    }

    /// Removes a job that ended and returns its active leases, which are revoked.
    pub fn remove_job(&mut self, key: Key, job: id::Job) -> Vec<Lease> {
        let active = self
            .jobs
            .remove(&key)
            .map(|open| open.active)
            .unwrap_or_default();
        active
            .into_iter()
            .map(|(item, held)| Lease {
                job,
                item: id::Item(item),
                attempt: held.attempt,
            })
            .collect()
    }

    /// Leases up to `count` items of a model, from the job with the least slack first.
    pub fn pull(
        &mut self,
        now: Duration,
        wall_ms: u64,
        shard: &Shard,
        model: &Name,
        count: usize,
    ) -> Vec<Lease> {
        let mut jobs: Vec<(i64, Key)> = self
            .jobs
            .keys()
            .filter_map(|key| Some((*key, shard.job(*key)?)))
            .filter(|(_, job)| job.submit.model == *model)
            .map(|(key, job)| (slack_ms(job, wall_ms), key))
            .collect();
        jobs.sort_unstable();
        let mut leases = Vec::new();
        for (_, key) in jobs {
            let (Some(open), Some(job)) = (self.jobs.get_mut(&key), shard.job(key)) else {
                continue;
            };
            while leases.len() < count {
                let Some(item) = open.next_item(job) else {
                    break;
                };
                leases.push(open.lease(now, job, item));
            }
        }
        leases
    }

    /// Sets the client's `custom_id` of a leased item.
    pub fn set_custom_id(&mut self, shard: &Shard, lease: Lease, custom_id: CompactString) {
        let open = shard
            .job_key(lease.job)
            .and_then(|key| self.jobs.get_mut(&key));
        if let Some(held) = open.and_then(|open| open.active.get_mut(&lease.item.0)) {
            held.custom_id = custom_id;
        }
    }

    /// Handles the end of an attempt and returns the record to append, if any.
    pub fn finish(
        &mut self,
        shard: &Shard,
        lease: Lease,
        end: End,
        attempts: u8,
    ) -> Option<Record> {
        let key = shard.job_key(lease.job)?;
        let job = shard.job(key)?;
        let open = self.jobs.get_mut(&key)?;
        let item = lease.item.0;
        if item >= job.items() || job.done.contains(item) || open.uncommitted.contains(item) {
            return None;
        }
        match end {
            End::Finished(answer) => {
                open.active.remove(&item);
                open.requeued.remove(&item);
                open.uncommitted.insert(item);
                Some(Record::Done {
                    job: lease.job,
                    item: lease.item,
                    answer,
                })
            }
            // Only the current lease holder may report that an attempt did not finish.
            _ if open
                .active
                .get(&item)
                .is_none_or(|held| held.attempt != lease.attempt) =>
            {
                None
            }
            End::Returned => {
                open.requeue(item);
                None
            }
            End::Failed(code) => Some(open.fail(job, lease, code, attempts)),
        }
    }

    /// Renews leases and returns those that are no longer valid.
    pub fn renew(&mut self, now: Duration, shard: &Shard, leases: &[Lease]) -> Vec<Lease> {
        leases
            .iter()
            .copied()
            .filter(|lease| !self.renew_lease(now, shard, lease))
            .collect()
    }

    fn renew_lease(&mut self, now: Duration, shard: &Shard, lease: &Lease) -> bool {
        let held = shard
            .job_key(lease.job)
            .and_then(|key| self.jobs.get_mut(&key))
            .and_then(|open| open.active.get_mut(&lease.item.0))
            .filter(|held| held.attempt == lease.attempt && held.expires != EXPIRY_PENDING);
        match held {
            Some(held) => {
                held.expires = now + LEASE_DURATION;
                true
            }
            None => false,
        }
    }

    /// Handles expired leases; returns the records to append and the number of leases.
    pub fn expire(&mut self, now: Duration, shard: &Shard, attempts: u8) -> (Vec<Record>, u32) {
        let mut records = Vec::new();
        let mut expired = 0;
        for (key, open) in &mut self.jobs {
            let Some(job) = shard.job(*key) else { continue };
            for lease in open.expired_leases(now, job.submit.job) {
                expired += 1;
                let earlier = job.lapses.get(&lease.item.0).copied().unwrap_or(0);
                records.push(if earlier < MAX_UNCOUNTED_EXPIRIES {
                    open.expire(lease)
                } else {
                    open.fail(job, lease, Code::RetryLeaseExpired, attempts)
                });
            }
        }
        (records, expired)
    }

    /// Records that the end of an item is in the log.
    pub fn commit_end(&mut self, key: Key, item: id::Item) {
        if let Some(open) = self.jobs.get_mut(&key) {
            open.uncommitted.remove(item.0);
            open.active.remove(&item.0);
            open.requeued.remove(&item.0);
        }
    }

    /// Records that a failed attempt or an expired lease is in the log, and requeues the item.
    pub fn commit_retry(&mut self, key: Key, item: id::Item) {
        if let Some(open) = self.jobs.get_mut(&key) {
            open.requeue(item.0);
        }
    }

    /// Number of leased items.
    #[must_use]
    pub fn leased(&self) -> u32 {
        self.jobs
            .values()
            .map(|open| open.active.len() as u32)
            .sum()
    }

    /// Number of items whose end is not in the log yet.
    #[must_use]
    pub fn uncommitted(&self) -> u32 {
        self.jobs
            .values()
            .map(|open| open.uncommitted.len() as u32)
            .sum()
    }
}

impl OpenJob {
    /// Returns the next item to lease: requeued items first.
    fn next_item(&mut self, job: &Job) -> Option<u32> {
        loop {
            let item = match self.requeued.pop_first() {
                Some(item) => item,
                None if self.next < job.items() => {
                    self.next += 1;
                    self.next - 1
                }
                None => return None,
            };
            let is_taken = job.done.contains(item)
                || self.uncommitted.contains(item)
                || self.active.contains_key(&item);
            if !is_taken {
                return Some(item);
            }
        }
    }

    fn lease(&mut self, now: Duration, job: &Job, item: u32) -> Lease {
        let attempt = job.tried.get(&item).copied().unwrap_or(0).saturating_add(1);
        let previous = self.active.insert(
            item,
            ActiveLease {
                attempt,
                custom_id: CompactString::default(),
                expires: now + LEASE_DURATION,
            },
        );
        invariant::check(previous.is_none(), "an item has at most one active lease");
        invariant::check(
            !job.done.contains(item),
            "an item that has ended is not leased",
        );
        Lease {
            job: job.submit.job,
            item: id::Item(item),
            attempt,
        }
    }

    fn requeue(&mut self, item: u32) {
        self.active.remove(&item);
        self.requeued.insert(item);
    }

    /// Expires the lease of a holder that stopped renewing it.
    ///
    /// The item is requeued only when the log has counted the expiry. The count
    /// then survives a change of owner, so an item whose holders always crash is
    /// given up in the end.
    fn expire(&mut self, lease: Lease) -> Record {
        if let Some(held) = self.active.get_mut(&lease.item.0) {
            held.expires = EXPIRY_PENDING;
        }
        Record::Lapsed {
            job: lease.job,
            item: lease.item,
        }
    }

    /// Handles a failed attempt, which ends the item if it was the last one allowed.
    fn fail(&mut self, job: &Job, lease: Lease, code: Code, attempts: u8) -> Record {
        let Lease {
            job: id,
            item,
            attempt,
        } = lease;
        if attempt < attempts {
            // The item is requeued when the log has counted the attempt.
            return Record::Tried {
                job: id,
                item,
                attempt,
            };
        }
        invariant::check(item.0 < job.items(), "a failed item is within its job");
        let custom_id = self
            .active
            .remove(&item.0)
            .map(|held| held.custom_id)
            .unwrap_or_default();
        self.uncommitted.insert(item.0);
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

    fn expired_leases(&self, now: Duration, job: id::Job) -> Vec<Lease> {
        self.active
            .iter()
            .filter(|(_, held)| held.expires <= now)
            .map(|(item, held)| Lease {
                job,
                item: id::Item(*item),
                attempt: held.attempt,
            })
            .collect()
    }
}

/// Time until the deadline minus the expected work of a job; may be negative.
fn slack_ms(job: &Job, wall_ms: u64) -> i64 {
    let work = u64::from(job.remaining()) * ITEM_SLOT_MS;
    job.submit.due_ms as i64 - wall_ms as i64 - work as i64
}
