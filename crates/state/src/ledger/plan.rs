//! Planning of appends: the records that carry out a group of operations.
//!
//! A plan is computed from a ledger at one offset and is valid only if its
//! records are appended at that offset. Within a group, too, a job is accepted
//! once, an item gets one result, result positions are consecutive, and token
//! quotas include the jobs accepted earlier in the group.

use std::collections::{HashMap, HashSet};

use compact_str::{CompactString, format_compact};

use super::entry::{ItemResult, Job, Outcome, OutputPart, Record, Submission};
use super::limits::Limits;
use super::state::{Ledger, encode, submission_records};

/// Limit of queued batch tokens of a route, or of a customer on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quota {
    /// Maximum tokens of unfinished items in the whole fleet.
    pub max_tokens: u64,
    /// Tokens of unfinished items in other shards.
    pub other_shards_tokens: u64,
    /// Host of the route.
    pub host: CompactString,
    /// Path prefix of the route.
    pub prefix: CompactString,
    /// Customer whose tokens count; `None` if those of all jobs do.
    pub customer: Option<CompactString>,
}

/// Change to a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Accept a job, if it fits in the quota.
    Accept(Submission, Option<Quota>),
    /// Record the final state of an item, by job id and item index.
    RecordResult(CompactString, u32, Outcome),
    /// Record the number of failed attempts of an item, by job id and item index.
    RecordFailures(CompactString, u32, u8),
    /// Store a part of the output of an unfinished item, by job id.
    RecordOutput(CompactString, OutputPart),
    /// Cancel a job.
    Cancel(CompactString),
    /// Delete all records of a job.
    Purge(CompactString),
}

/// Result of planning an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The plan contains the records of the operation.
    Planned,
    /// No record is needed: the job exists or is cancelled already, or the item has a result, at
    /// least as many failed attempts or another stored output.
    Unchanged,
    /// The job does not fit in the quota.
    QuotaExceeded,
    /// A job of another customer has the id.
    OtherCustomer,
    /// The job does not exist.
    UnknownJob,
    /// The store would refuse the records of the operation, as they exceed its limits.
    TooLarge,
}

/// First operation at which a plan exceeds the limits of the store.
enum Excess {
    /// Its records alone exceed them.
    Operation(usize),
    /// Its records exceed them together with those before.
    Call(usize),
}

/// Records to append, with a decision for each operation.
#[derive(Debug, Default)]
pub struct Plan {
    /// Records, in the order to append.
    pub records: Vec<Record>,
    /// Decision of each planned operation, in the order of the operations.
    pub decisions: Vec<Decision>,
    /// Customer and tokens of the jobs accepted by this plan, by job id.
    accepted_tokens: HashMap<CompactString, (Option<CompactString>, u64)>,
    /// Items that get a result by this plan.
    finished_items: HashSet<(CompactString, u32)>,
    /// Items whose output is extended by this plan, with [`OutputPart::after`].
    extended_items: HashMap<(CompactString, u32), u64>,
    /// Next free result position, by job id.
    next_positions: HashMap<CompactString, u32>,
}

/// Key of a result. The position is zero-padded, so that the order of keys in pages of newest
/// records is the order of positions.
fn result_key(id: &str, position: usize) -> CompactString {
    format_compact!("r/{id}/{position:06}")
}

/// Key of a part of an output, zero-padded like that of a result.
fn output_key(id: &str, item: u32, after: u64) -> CompactString {
    format_compact!("p/{id}/{item:06}/{after:08}")
}

/// Keys of the stored output of an item.
fn output_keys(job: &Job, item: u32) -> impl Iterator<Item = CompactString> {
    let id = &job.submission.id;
    let parts = job.progress.get(&item).into_iter().flat_map(|p| &p.parts);
    parts.map(move |after| output_key(id, item, *after))
}

impl Ledger {
    /// Plans operations on the current state, to be appended at [`Self::next`].
    #[must_use]
    pub fn plan<'a>(&self, ops: impl IntoIterator<Item = &'a Op>) -> Plan {
        let ops: Vec<&Op> = ops.into_iter().collect();
        self.plan_within(&ops, &Limits::NONE)
    }

    /// Plans the first operations whose records fit in one call, at least one; there is a
    /// decision for each of them. One that never fits is [`Decision::TooLarge`].
    #[must_use]
    pub fn plan_within(&self, ops: &[&Op], limits: &Limits) -> Plan {
        let mut ops: Vec<Option<&Op>> = ops.iter().copied().map(Some).collect();
        // Each turn leaves out an operation or ends the call earlier.
        loop {
            match self.try_plan(&ops, limits) {
                Ok(plan) => return plan,
                Err(Excess::Operation(index)) => ops[index] = None,
                Err(Excess::Call(index)) => ops.truncate(index),
            }
        }
    }

    /// Plans operations; `None` stands for one that is too large.
    fn try_plan(&self, ops: &[Option<&Op>], limits: &Limits) -> Result<Plan, Excess> {
        let mut plan = Plan::default();
        let mut call_size = 0;
        for (index, op) in ops.iter().enumerate() {
            let first = plan.records.len();
            let decision = op.map_or(Decision::TooLarge, |op| plan.plan_op(self, op));
            plan.decisions.push(decision);
            let size = limits.size(&plan.records[first..]);
            match size.filter(|size| *size <= limits.call_bytes) {
                Some(size) if call_size + size <= limits.call_bytes => call_size += size,
                Some(_) => return Err(Excess::Call(index)),
                None => return Err(Excess::Operation(index)),
            }
        }
        Ok(plan)
    }
}

impl Plan {
    fn plan_op(&mut self, ledger: &Ledger, op: &Op) -> Decision {
        match op {
            Op::Accept(submission, quota) => self.plan_accept(ledger, submission, quota.as_ref()),
            Op::RecordResult(id, item, end) => self.plan_result(ledger, id, *item, end),
            Op::RecordFailures(id, item, failures) => match ledger.job(id) {
                Some(job) if job.failures.get(*item as usize) < Some(failures) => {
                    self.push(format_compact!("f/{id}/{item}"), vec![*failures])
                }
                Some(_) => Decision::Unchanged,
                None => Decision::UnknownJob,
            },
            Op::RecordOutput(id, part) => self.plan_output(ledger, id, part),
            Op::Cancel(id) => match ledger.job(id) {
                Some(job) if job.cancelled => Decision::Unchanged,
                Some(_) => self.push(format_compact!("c/{id}"), vec![1]),
                None => Decision::UnknownJob,
            },
            Op::Purge(id) => self.plan_purge(ledger, id),
        }
    }

    fn push(&mut self, key: CompactString, value: Vec<u8>) -> Decision {
        self.records.push(Record {
            key,
            value: Some(value),
        });
        Decision::Planned
    }

    fn delete(&mut self, keys: impl IntoIterator<Item = CompactString>) {
        let tombstones = keys.into_iter().map(|key| Record { key, value: None });
        self.records.extend(tombstones);
    }

    fn plan_accept(
        &mut self,
        ledger: &Ledger,
        new: &Submission,
        quota: Option<&Quota>,
    ) -> Decision {
        let tokens = sum(new.items.iter().map(|item| item.tokens));
        let fits = quota.is_none_or(|quota| {
            let counts = |customer: &Option<CompactString>| {
                quota.customer.is_none() || quota.customer == *customer
            };
            let accepted = self.accepted_tokens.values();
            let accepted = accepted.filter(|(customer, _)| counts(customer));
            let planned = sum(accepted.map(|(_, tokens)| *tokens));
            let customer = quota.customer.as_deref();
            let queued = ledger.open_tokens(&quota.host, &quota.prefix, customer);
            sum([quota.other_shards_tokens, queued, planned, tokens]) <= quota.max_tokens
        });
        let known = ledger.job(&new.id).map(|job| &job.submission.customer);
        let accepted = self.accepted_tokens.get(&new.id);
        match known.or(accepted.map(|(customer, _)| customer)) {
            // Jobs without a customer are those from before customers were named.
            Some(Some(owner)) if new.customer.as_ref().is_some_and(|new| new != owner) => {
                return Decision::OtherCustomer;
            }
            Some(_) => return Decision::Unchanged,
            None => {}
        }
        match () {
            () if !fits => Decision::QuotaExceeded,
            () => {
                let accepted = (new.customer.clone(), tokens);
                self.accepted_tokens.insert(new.id.clone(), accepted);
                self.records.extend(submission_records(new));
                Decision::Planned
            }
        }
    }

    fn plan_result(
        &mut self,
        ledger: &Ledger,
        id: &CompactString,
        item: u32,
        end: &Outcome,
    ) -> Decision {
        let Some(job) = ledger.job(id) else {
            return Decision::UnknownJob;
        };
        let has_result = job.has_result.get(item as usize).copied().unwrap_or(true);
        if has_result || !self.finished_items.insert((id.clone(), item)) {
            return Decision::Unchanged;
        }
        let position = self
            .next_positions
            .entry(id.clone())
            .or_insert(job.results.len() as u32);
        let key = result_key(id, *position as usize);
        *position += 1;
        let end = end.clone();
        let planned = self.extended_items.get(&(id.clone(), item)).copied();
        self.delete(output_keys(job, item).chain(planned.map(|after| output_key(id, item, after))));
        self.push(key, encode(&ItemResult { item, end }))
    }

    /// A part is stored only behind the stored output: an item may run at two
    /// daemons, and the output must not be joined from both runs. The output of another
    /// build takes its place if it is longer.
    fn plan_output(&mut self, ledger: &Ledger, id: &CompactString, part: &OutputPart) -> Decision {
        let Some(job) = ledger.job(id) else {
            return Decision::UnknownJob;
        };
        let item = (id.clone(), part.item);
        let is_open = !job.cancelled
            && job.has_result.get(part.item as usize) == Some(&false)
            && !self.finished_items.contains(&item);
        let stored = job.progress.get(&part.item);
        let stored_events = job.stored_events(part.item);
        let is_next = stored_events == part.after
            && stored.is_none_or(|stored| part.after == 0 || stored.build == part.build);
        let is_longer = part.last_event_id > stored_events;
        let replaces = is_longer && stored.is_some_and(|stored| stored.is_replaced_by(part));
        if !is_open
            || !(is_next || replaces)
            || part.last_event_id <= part.after
            || self.extended_items.contains_key(&item)
        {
            return Decision::Unchanged;
        }
        self.extended_items.insert(item, part.after);
        if replaces {
            self.delete(output_keys(job, part.item));
        }
        self.push(output_key(id, part.item, part.after), part.encode())
    }

    fn plan_purge(&mut self, ledger: &Ledger, id: &CompactString) -> Decision {
        let Some(job) = ledger.job(id) else {
            return Decision::UnknownJob;
        };
        let parts = (0..job.parts).map(|n| format_compact!("b/{id}/{n}"));
        let results = (0..job.results.len()).map(|n| result_key(id, n));
        let failures = (0..job.failures.len())
            .filter(|n| job.failures[*n] > 0)
            .map(|n| format_compact!("f/{id}/{n}"));
        let keys: Vec<CompactString> = parts
            .chain(results)
            .chain(failures)
            .chain(job.progress.keys().flat_map(|item| output_keys(job, *item)))
            .chain(job.cancelled.then(|| format_compact!("c/{id}")))
            .chain([format_compact!("j/{id}")])
            .collect();
        self.delete(keys);
        Decision::Planned
    }
}

/// Sum of counts that clients choose.
fn sum(counts: impl IntoIterator<Item = u64>) -> u64 {
    counts.into_iter().fold(0, u64::saturating_add)
}
