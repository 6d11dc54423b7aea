//! In-memory state of a ledger partition, computed from its keyed records.
//!
//! The head of a job has the key `j/{id}`, and its encoded submission is split
//! over records `b/{id}/{n}`. A job exists as soon as its head and all parts
//! have been read. Results have keys `r/{id}/{position}`, failure counts
//! `f/{id}/{item}`, cancellations `c/{id}`, and parts of the output of unfinished
//! items `p/{id}/{item}/{after}`. A partition is loaded from pages
//! of the newest record of each key, which come in the order of keys, and then
//! follows the log by offset. A record may be read both from a page and from
//! the log; reading it twice does not change the jobs. A record that cannot be
//! decoded is counted and ignored.

use std::collections::{BTreeMap, HashMap};

use compact_str::{CompactString, format_compact};
use serde::Deserialize;
use slotmap::{SlotMap, new_key_type};

use super::entry::{ItemResult, Job, OutputPart, Record, Submission, Terms};
use crate::invariant;

new_key_type! {
    /// Key of a job in the arena of its ledger.
    pub struct Key;
}

/// Maximum value size of a record that holds a part of a submission.
const PART_BYTES: usize = 200 * 1024;

/// Head of a submission, stored after its parts. Its terms follow it in the record, if
/// there are any.
#[derive(Debug, serde::Serialize, Deserialize)]
struct Head {
    parts: u32,
}

impl Head {
    /// Decodes a record; `None` if it is invalid. A job whose terms cannot be read is one
    /// without terms, as it is owed all the same.
    fn decode(value: &[u8]) -> Option<(Self, Option<Terms>)> {
        let (head, rest): (Self, &[u8]) = postcard::take_from_bytes(value).ok()?;
        Some((head, postcard::from_bytes(rest).ok()))
    }
}

/// Record that cannot be decoded.
struct Invalid;

/// Batch jobs of one shard.
#[derive(Debug, Default)]
pub struct Ledger {
    next: u64,
    invalid_records: u64,
    jobs: SlotMap<Key, Job>,
    /// Memory that the jobs take, in bytes.
    memory_bytes: usize,
    key_by_id: HashMap<CompactString, Key>,
    /// Heads and parts of submissions that are not complete yet, by record key.
    parts: HashMap<CompactString, Vec<u8>>,
    /// Results, failure counts, outputs and cancellations that were read before their job, by job
    /// id, as pages of the newest records are not in offset order.
    pending: HashMap<CompactString, Vec<(CompactString, Vec<u8>)>>,
}

impl Ledger {
    /// Offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of records that could not be decoded.
    #[must_use]
    pub fn invalid_records(&self) -> u64 {
        self.invalid_records
    }

    /// Memory that the items, results and stored outputs of all jobs take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Sets the offset of the next record to apply, after loading pages of newest records.
    pub fn set_next(&mut self, offset: u64) {
        self.next = offset;
    }

    /// Applies the record at an offset; records below [`Self::next`] are ignored.
    pub fn apply(&mut self, offset: u64, record: &Record) {
        if offset >= self.next {
            self.next = offset.saturating_add(1);
            self.apply_newest(record);
        }
    }

    /// Applies a record regardless of its offset, e.g. from a page of newest records.
    pub fn apply_newest(&mut self, record: &Record) {
        if self.apply_record(record).is_err() {
            self.invalid_records += 1;
        }
    }

    fn apply_record(&mut self, record: &Record) -> Result<(), Invalid> {
        let mut segments = record.key.splitn(3, '/');
        let (kind, id, rest) = (
            segments.next(),
            segments.next().unwrap_or(""),
            segments.next(),
        );
        match (kind, rest, &record.value) {
            (Some("b"), Some(_), Some(value)) | (Some("j"), _, Some(value)) => {
                self.parts.insert(record.key.clone(), value.clone());
                self.assemble_job(id)
            }
            (Some("j"), _, None) => {
                self.remove_job(id);
                Ok(())
            }
            (Some("r" | "f" | "c" | "p"), _, Some(value)) => {
                let name = record.key.clone();
                if let Some(key) = self.key_by_id.get(id).copied() {
                    return self.update_job(key, &name, value);
                }
                let pending = self.pending.entry(id.into()).or_default();
                pending.push((name, value.clone()));
                Ok(())
            }
            // Other versions may write records of other kinds.
            _ => Ok(()),
        }
    }

    fn assemble_job(&mut self, id: &str) -> Result<(), Invalid> {
        let head_key = format_compact!("j/{id}");
        let Some(head) = self.parts.get(&head_key) else {
            return Ok(());
        };
        let (head, terms) = Head::decode(head).ok_or(Invalid)?;
        let keys = || (0..head.parts).map(|n| format_compact!("b/{id}/{n}"));
        if self.key_by_id.contains_key(id) || !keys().all(|k| self.parts.contains_key(&k)) {
            return Ok(());
        }
        let encoded: Vec<u8> = keys()
            .filter_map(|k| self.parts.remove(&k))
            .flatten()
            .collect();
        self.parts.remove(&head_key);
        let mut submission = Submission::decode(&encoded).ok_or(Invalid)?;
        submission.terms = terms;
        if submission.id != id {
            return Err(Invalid);
        }
        self.insert_job(submission, head.parts);
        Ok(())
    }

    fn insert_job(&mut self, submission: Submission, parts: u32) {
        let count = submission.items.len();
        self.memory_bytes += submission.memory_bytes();
        let id = submission.id.clone();
        let key = self.jobs.insert(Job {
            submission,
            results: Vec::new(),
            has_result: vec![false; count],
            failures: vec![0; count],
            progress: HashMap::new(),
            cancelled: false,
            parts,
        });
        self.key_by_id.insert(id.clone(), key);
        let mut pending = self.pending.remove(&id).unwrap_or_default();
        pending.sort_by_key(|(key, _)| trailing_number(key));
        for (name, value) in pending {
            if self.update_job(key, &name, &value).is_err() {
                self.invalid_records += 1;
            }
        }
    }

    fn update_job(&mut self, key: Key, name: &str, value: &[u8]) -> Result<(), Invalid> {
        let Some(job) = self.jobs.get_mut(key) else {
            return Ok(());
        };
        match name.as_bytes().first() {
            Some(b'c') => job.cancelled = true,
            Some(b'f') => {
                let index = trailing_number(name).ok_or(Invalid)?;
                let count = job.failures.get_mut(index as usize).ok_or(Invalid)?;
                *count = (*count).max(*value.first().ok_or(Invalid)?);
            }
            Some(b'p') => {
                let change = append_output(job, value)?;
                self.memory_bytes = self.memory_bytes.saturating_add_signed(change);
            }
            _ => {
                let change = record_result(job, trailing_number(name).ok_or(Invalid)?, value)?;
                self.memory_bytes = self.memory_bytes.saturating_add_signed(change);
            }
        }
        Ok(())
    }

    fn remove_job(&mut self, id: &str) {
        self.parts.remove(&format_compact!("j/{id}"));
        self.pending.remove(id);
        if let Some(key) = self.key_by_id.remove(id)
            && let Some(job) = self.jobs.remove(key)
        {
            self.memory_bytes = self.memory_bytes.saturating_sub(job.memory_bytes());
        }
    }

    /// Job with an id.
    #[must_use]
    pub fn job(&self, id: &str) -> Option<&Job> {
        self.key_by_id.get(id).and_then(|key| self.jobs.get(*key))
    }

    /// All jobs with their keys, in arbitrary order.
    pub fn jobs(&self) -> impl Iterator<Item = (Key, &Job)> {
        self.jobs.iter()
    }

    /// Job with a key.
    #[must_use]
    pub fn get(&self, key: Key) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Tokens of items without a result in jobs that a customer, or anyone, submitted to a
    /// host under a path prefix.
    #[must_use]
    pub fn open_tokens(&self, host: &str, prefix: &str, customer: Option<&str>) -> u64 {
        let matching = self
            .jobs
            .values()
            .filter(|job| job.matches_prefix(host, prefix) && job.is_of(customer));
        matching.map(Job::open_tokens).fold(0, u64::saturating_add)
    }

    /// Tokens of items without a result in jobs submitted to a host under a path prefix, by
    /// customer. Jobs without a customer are left out.
    #[must_use]
    pub fn open_tokens_by_customer(
        &self,
        host: &str,
        prefix: &str,
    ) -> BTreeMap<CompactString, u64> {
        let mut tokens: BTreeMap<CompactString, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if let Some(customer) = &job.submission.customer
                && job.matches_prefix(host, prefix)
            {
                let sum = tokens.entry(customer.clone()).or_default();
                *sum = sum.saturating_add(job.open_tokens());
            }
        }
        tokens
    }
}

/// Difference of two sizes, in bytes.
fn change(before: usize, after: usize) -> isize {
    after.cast_signed() - before.cast_signed()
}

/// Appends a part of the output of an item; by how many bytes the memory of the job changes.
fn append_output(job: &mut Job, value: &[u8]) -> Result<isize, Invalid> {
    let part = OutputPart::decode(value).ok_or(Invalid)?;
    match job.has_result.get(part.item as usize) {
        Some(false) => {
            let progress = job.progress.entry(part.item).or_default();
            let before = progress.output.len();
            progress.append(&part);
            Ok(change(before, progress.output.len()))
        }
        // A page may still hold parts of an item that has ended.
        Some(true) => Ok(0),
        None => Err(Invalid),
    }
}

/// Records the result of an item, which needs its body and its stored output no more; by how
/// many bytes the memory of the job changes.
fn record_result(job: &mut Job, position: u32, value: &[u8]) -> Result<isize, Invalid> {
    let result = postcard::from_bytes::<ItemResult>(value).map_err(|_| Invalid)?;
    let index = result.item as usize;
    let has_result = *job.has_result.get(index).ok_or(Invalid)?;
    if (position as usize) < job.results.len() {
        // A page of newest records and the log may both contain it.
        invariant::check(
            job.results[position as usize] == result,
            "a result keeps its position",
        );
        return Ok(0);
    }
    invariant::check(
        position as usize == job.results.len(),
        "result positions have no gap",
    );
    invariant::check(!has_result, "an item has one result");
    job.has_result[index] = true;
    let stored = job.progress.remove(&result.item);
    let body = std::mem::replace(&mut job.submission.items[index].body, [].into());
    let before = body.len() + stored.map_or(0, |stored| stored.output.len());
    let after = result.end.output().len();
    job.results.push(result);
    Ok(change(before, after))
}

/// Number in the last segment of a key: the position of a result or the index of
/// an item; `None` if it is no number.
fn trailing_number(name: &str) -> Option<u32> {
    name.rsplit('/').next()?.parse().ok()
}

/// Records of a submission: its parts, followed by its head.
pub(super) fn submission_records(submission: &Submission) -> Vec<Record> {
    let id = &submission.id;
    let encoded = submission.encode();
    let mut records: Vec<Record> = encoded
        .chunks(PART_BYTES)
        .enumerate()
        .map(|(n, part)| Record {
            key: format_compact!("b/{id}/{n}"),
            value: Some(part.to_vec()),
        })
        .collect();
    let head = Head {
        parts: records.len() as u32,
    };
    let mut head = encode(&head);
    if let Some(terms) = &submission.terms {
        head.extend(encode(terms));
    }
    records.push(Record {
        key: format_compact!("j/{id}"),
        value: Some(head),
    });
    records
}

pub(super) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}
