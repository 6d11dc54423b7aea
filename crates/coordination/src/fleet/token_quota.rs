//! Quotas of queued batch tokens: how many tokens of unfinished items a route, or a customer
//! on it, may have in the whole fleet.
//!
//! The order of records in the store decides. A job is appended to its shard only after it
//! got a grant: an entry in the record of its quota, which is written on the condition that
//! nothing was written to the topic since it was read. So any two jobs are decided one after
//! the other, whatever daemons and shards they are at. The sum is that of the ledgers, as the
//! deciding daemon knows them, and of the grants whose jobs it does not see there yet. A
//! grant counts for [`GRANT_TTL`] at most; by then each daemon knows of the job, if it was
//! accepted. A job that is not accepted releases its grant before.
//!
//! While the topic cannot be written, a daemon accepts jobs up to an equal share of what is
//! left; see [`Table::decide_locally`].
//!
//! Times are of a clock that includes suspensions.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

/// Time for which a grant counts unless its job is seen in a ledger. An append without an
/// answer may take effect seconds later, and another daemon takes a shard over within three.
pub const GRANT_TTL: Duration = Duration::from_secs(15);

/// Age of a job, by the wall clock, up to which its owner names it in heartbeats: several times
/// [`GRANT_TTL`], as wall clocks differ.
pub const MAX_REPORTED_AGE: Duration = Duration::from_secs(60);

/// Age from which a job counts as reported by an owner of an earlier version, which does not
/// report the jobs that it knows: an append takes 1.8 s at most, a heartbeat 0.35 s.
const UNREPORTED_AGE: Duration = Duration::from_secs(3);

/// Maximum number of grants of a quota; with ids of 96 bytes they fit in a record.
const MAX_GRANTS: usize = 2000;

/// Permission to append a job. The order and types of the fields are part of the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Id of the job.
    pub job: CompactString,
    /// Shard of the job.
    pub shard: u16,
    /// Tokens of the job.
    pub tokens: u64,
    /// Random number of the submission that it is for. A repetition of the job takes the
    /// grant over with its own number.
    pub nonce: u32,
}

/// Submission of a job that needs a grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Short id of the quota: that of the route, or of a customer on it.
    pub quota: u32,
    /// Maximum tokens of unfinished items.
    pub max_tokens: u64,
    /// Grant that it needs.
    pub grant: Grant,
}

/// Change to the grants of a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a grant, if the job fits.
    Add(Ask),
    /// Removes the grant of a submission that has failed.
    Release(Ask),
}

impl Change {
    /// Submission that it is about.
    #[must_use]
    pub fn ask(&self) -> &Ask {
        match self {
            Self::Add(ask) | Self::Release(ask) => ask,
        }
    }
}

/// What a daemon knows of the jobs in a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Known {
    /// Tokens of the unfinished items of a quota.
    pub tokens: u64,
    /// Which jobs the tokens include.
    pub jobs: Jobs,
}

/// Jobs that a sum of tokens includes, unless they have finished.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Jobs {
    /// Not reported, by an owner of an earlier version.
    Unreported,
    /// Those with these short ids, and older ones.
    Reported(Vec<u32>),
    /// Those of these ids, out of the ones asked for.
    Read(HashSet<CompactString>),
}

impl Jobs {
    /// Whether the job of a grant is among them.
    fn include(&self, grant: &Grant, age: Duration) -> bool {
        match self {
            Self::Unreported => age >= UNREPORTED_AGE,
            Self::Reported(jobs) => jobs.contains(&job_hash(&grant.job)),
            Self::Read(jobs) => jobs.contains(&grant.job),
        }
    }
}

/// Short id of a job in heartbeats.
#[must_use]
pub fn job_hash(job: &str) -> u32 {
    super::peers::short_hash(&[job.as_bytes()])
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job may be appended.
    Granted,
    /// The job does not fit.
    Exceeded,
    /// The tokens of some shard are not known.
    Unknown,
}

impl Verdict {
    /// Name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Exceeded => "exceeded",
            Self::Unknown => "unknown",
        }
    }
}

/// Sums on which a verdict rests, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// Unfinished items in the ledgers.
    pub open: u64,
    /// Grants of jobs that are not seen there.
    pub granted: u64,
}

/// Verdict on a change, and what it rests on; releases have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The verdict.
    pub verdict: Verdict,
    /// What is queued without the job.
    pub sums: Sums,
}

impl Decision {
    const UNKNOWN: Self = Self {
        verdict: Verdict::Unknown,
        sums: Sums {
            open: 0,
            granted: 0,
        },
    };

    fn of(fits: bool, sums: Sums) -> Self {
        let verdict = match fits {
            true => Verdict::Granted,
            false => Verdict::Exceeded,
        };
        Self { verdict, sums }
    }
}

/// Records to append, by key, and a decision for each change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Keys and values.
    pub records: Vec<(CompactString, Vec<u8>)>,
    /// Decisions, in the order of the changes.
    pub decisions: Vec<Decision>,
}

#[derive(Clone, Debug)]
struct Entry {
    grant: Grant,
    /// Time at which this daemon read or made it.
    seen_at: Duration,
}

impl Entry {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.seen_at)
    }

    /// Whether it still counts. Only the clock of this daemon decides, as wall clocks jump.
    fn counts(&self, now: Duration) -> bool {
        self.age(now) < GRANT_TTL
    }
}

/// What is known of the shards, by their number; `None` if the tokens of one are not known.
pub type Shards = Option<Vec<Known>>;

/// Grants by quota, as the records of the topic have them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    quotas: HashMap<u32, Vec<Entry>>,
    /// Grants of this daemon that are in no record.
    local: HashMap<u32, Vec<Entry>>,
}

impl Table {
    /// Applies a record; `false` if it cannot be decoded. It replaces what was known of its
    /// quota.
    pub fn apply(&mut self, now: Duration, key: &str, value: Option<&[u8]>) -> bool {
        let Ok(quota) = u32::from_str_radix(key, 16) else {
            return false;
        };
        let grants: Vec<Grant> = match value.map(postcard::from_bytes) {
            Some(Ok(grants)) => grants,
            Some(Err(_)) => return false,
            None => Vec::new(),
        };
        let before = self.quotas.remove(&quota).unwrap_or_default();
        let seen_at = |grant: &Grant| {
            let known = before.iter().find(|entry| entry.grant == *grant);
            known.map_or(now, |entry| entry.seen_at)
        };
        let entries = grants.into_iter().take(MAX_GRANTS).map(|grant| Entry {
            seen_at: seen_at(&grant),
            grant,
        });
        let entries: Vec<Entry> = entries.collect();
        if !entries.is_empty() {
            self.quotas.insert(quota, entries);
        }
        true
    }

    /// Grants of a quota that still count, also those of jobs that are seen in a ledger.
    pub fn grants(&self, now: Duration, quota: u32) -> impl Iterator<Item = &Grant> {
        self.entries(now, quota).map(|entry| &entry.grant)
    }

    fn entries(&self, now: Duration, quota: u32) -> impl Iterator<Item = &Entry> {
        let recorded = self.quotas.get(&quota).map_or(&[][..], Vec::as_slice);
        let local = self.local.get(&quota).map_or(&[][..], Vec::as_slice);
        let is_recorded = |job: &str| recorded.iter().any(|entry| entry.grant.job == job);
        let local = local
            .iter()
            .filter(move |entry| !is_recorded(&entry.grant.job));
        let counts = move |entry: &&Entry| entry.counts(now);
        recorded.iter().chain(local).filter(counts)
    }

    /// Tokens that are queued without those of a job.
    fn sums(&self, now: Duration, ask: &Ask, shards: &[Known]) -> Sums {
        let is_seen = |entry: &Entry| {
            let shard = shards.get(usize::from(entry.grant.shard));
            shard.is_some_and(|known| known.jobs.include(&entry.grant, entry.age(now)))
        };
        let others = self.entries(now, ask.quota);
        let others = others.filter(|entry| entry.grant.job != ask.grant.job);
        let unseen = others.filter(|entry| !is_seen(entry));
        Sums {
            open: sum(shards.iter().map(|known| known.tokens)),
            granted: sum(unseen.map(|entry| entry.grant.tokens)),
        }
    }

    /// Removes the grant of a submission that has failed, if it is in no record.
    pub fn release_local(&mut self, ask: &Ask) {
        if let Some(local) = self.local.get_mut(&ask.quota) {
            local.retain(|entry| entry.grant != ask.grant);
        }
    }

    /// Plans changes on the grants as they were read; `shards` tells what is known of the
    /// ledgers for a quota. The plan holds if its records are appended where the reading
    /// ended.
    pub fn plan<'a>(
        &self,
        now: Duration,
        changes: impl IntoIterator<Item = &'a Change>,
        shards: impl Fn(u32) -> &'a Shards,
    ) -> Plan {
        let mut table = self.clone();
        let mut plan = Plan::default();
        let mut changed: Vec<u32> = Vec::new();
        for change in changes {
            let quota = change.ask().quota;
            let before = table.grants(now, quota).cloned().collect::<Vec<_>>();
            let decision = table.change(now, change, shards(quota));
            plan.decisions.push(decision);
            let is_changed = !table.grants(now, quota).eq(&before);
            if is_changed && !changed.contains(&quota) {
                changed.push(quota);
            }
        }
        plan.records = changed
            .into_iter()
            .map(|quota| {
                let entries = table.quotas.get(&quota).into_iter().flatten();
                let counting = entries.filter(|entry| entry.counts(now));
                let grants: Vec<&Grant> = counting.map(|entry| &entry.grant).collect();
                let value = postcard::to_stdvec(&grants).unwrap_or_default();
                (format_compact!("{quota:08x}"), value)
            })
            .collect();
        plan
    }

    /// Carries out a change.
    fn change(&mut self, now: Duration, change: &Change, shards: &Shards) -> Decision {
        match change {
            Change::Add(ask) => self.add(now, ask, shards),
            Change::Release(ask) => {
                let entries = self.quotas.entry(ask.quota).or_default();
                entries.retain(|entry| entry.grant != ask.grant);
                Decision::of(true, Sums::default())
            }
        }
    }

    fn add(&mut self, now: Duration, ask: &Ask, shards: &Shards) -> Decision {
        let Some(shards) = shards else {
            return Decision::UNKNOWN;
        };
        let sums = self.sums(now, ask, shards);
        let queued = sum([sums.open, sums.granted, ask.grant.tokens]);
        let entries = self.quotas.entry(ask.quota).or_default();
        let fits = queued <= ask.max_tokens && entries.len() < MAX_GRANTS;
        if fits && !entries.iter().any(|entry| entry.grant == ask.grant) {
            entries.retain(|entry| entry.grant.job != ask.grant.job);
            entries.push(Entry {
                grant: ask.grant.clone(),
                seen_at: now,
            });
        }
        Decision::of(fits, sums)
    }

    /// Decides while the topic cannot be written: the job fits if it takes, together with all
    /// others that this daemon granted so within [`GRANT_TTL`], no more than one in `daemons`
    /// of what is left. So all daemons together keep to the quota, also before they know of
    /// each other's jobs.
    pub fn decide_locally(
        &mut self,
        now: Duration,
        ask: &Ask,
        shards: &Shards,
        daemons: usize,
    ) -> Decision {
        let Some(shards) = shards else {
            return Decision::UNKNOWN;
        };
        let mut local = self.local.remove(&ask.quota).unwrap_or_default();
        local.retain(|entry| entry.grant.job != ask.grant.job && entry.counts(now));
        let sums = self.sums(now, ask, shards);
        let queued = sum([sums.open, sums.granted]);
        let share = ask.max_tokens.saturating_sub(queued) / daemons.max(1) as u64;
        let taken = sum(local.iter().map(|entry| entry.grant.tokens));
        let fits = sum([taken, ask.grant.tokens]) <= share && local.len() < MAX_GRANTS;
        if fits {
            local.push(Entry {
                grant: ask.grant.clone(),
                seen_at: now,
            });
        }
        self.local.insert(ask.quota, local);
        Decision::of(fits, sums)
    }
}

/// Sum of counts that clients choose.
fn sum(counts: impl IntoIterator<Item = u64>) -> u64 {
    counts.into_iter().fold(0, u64::saturating_add)
}
