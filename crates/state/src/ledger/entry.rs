//! Jobs, items and results of the ledger, and the record that stores them.
//!
//! [`Submission`], [`Terms`], [`Item`], [`ItemResult`], [`Outcome`] and [`OutputPart`] are
//! encoded into record values; the order and types of their fields are part of the stored
//! format.
//! [`Job`] and [`Progress`] are in-memory state and are not stored.

use std::collections::HashMap;
use std::sync::Arc;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::build::Build;
use super::state::encode;

/// Maximum id of an event in a record. Ids count from 1, so none comes near it.
const MAX_EVENT_ID: u64 = 1 << 53;

/// Record of a compacted topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key; the prefix names the kind of record, e.g. `j/` for the head of a job.
    pub key: CompactString,
    /// Value; `None` deletes the key (tombstone).
    pub value: Option<Vec<u8>>,
}

/// Request of a batch job, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Client-provided id, unique within the job.
    pub id: CompactString,
    /// Path of the request.
    pub path: CompactString,
    /// Headers of the request.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request.
    pub body: Arc<[u8]>,
    /// Tokens of the prompt plus the maximum output.
    pub tokens: u64,
}

/// What a job keeps of its route from its acceptance on, as the route may be removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Version of the manifest under which the job was accepted.
    pub manifest_version: u64,
    /// Time from the submission after which an item may be abandoned, in milliseconds.
    pub give_up_ms: u64,
    /// Whether calls about the job need no key although the manifest names customers.
    pub is_public: bool,
}

/// Batch job, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Client-provided id.
    pub id: CompactString,
    /// Host that the submission was addressed to.
    pub host: CompactString,
    /// Path that the submission was sent to.
    pub path: CompactString,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Items, in the order of the submission.
    pub items: Vec<Item>,
    /// Customer that submitted the job; `None` if the deployment named no customers then.
    /// Follows the other fields in the stored form, where earlier versions do not expect
    /// it.
    #[serde(skip)]
    pub customer: Option<CompactString>,
    /// What it keeps of its route; `None` if an earlier version accepted it. Stored behind the
    /// head of the job, where earlier versions do not read on.
    #[serde(skip)]
    pub terms: Option<Terms>,
}

/// Memory of an item beside its texts and its body: its entry, and those of its headers.
const ITEM_OVERHEAD_BYTES: usize = 256;

impl Item {
    /// Memory that the item takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        let texts = self.id.len() + self.path.len() + headers.sum::<usize>();
        ITEM_OVERHEAD_BYTES + texts + self.body.len()
    }
}

impl Submission {
    /// Memory that the items take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.items.iter().map(Item::memory_bytes).sum()
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut value = encode(self);
        if let Some(customer) = &self.customer {
            value.extend(encode(customer));
        }
        value
    }

    /// Decodes the stored form; `None` if it is invalid.
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        let (mut submission, rest): (Self, &[u8]) = postcard::take_from_bytes(value).ok()?;
        if !rest.is_empty() {
            submission.customer = Some(postcard::from_bytes(rest).ok()?);
        }
        Some(submission)
    }
}

/// Final state of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Completed, with the whole output.
    Completed(Arc<str>),
    /// Abandoned without an output.
    GivenUp,
}

impl Outcome {
    /// Output; empty if there is none.
    #[must_use]
    pub fn output(&self) -> &str {
        match self {
            Self::Completed(output) => output,
            Self::GivenUp => "",
        }
    }
}

/// Result of an item, stored at a position in the result list of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Index of the item in the submission.
    pub item: u32,
    /// Final state.
    pub end: Outcome,
}

/// Part of the output of an unfinished item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutputPart {
    /// Index of the item in the submission.
    pub item: u32,
    /// Id of the last event before the part; 0 for the first part.
    pub after: u64,
    /// Id of the last event in the part.
    pub last_event_id: u64,
    /// Data of its events, separated by line feeds.
    pub text: Arc<str>,
    /// Build that wrote it, if it is known. Follows the other fields in a record, where
    /// earlier versions do not expect it.
    #[serde(skip)]
    pub build: Option<Build>,
}

impl OutputPart {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut value = encode(self);
        if let Some(build) = &self.build {
            value.extend(encode(build));
        }
        value
    }

    /// Decodes a record; `None` if it is invalid.
    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        let (mut part, rest): (Self, &[u8]) = postcard::take_from_bytes(value).ok()?;
        if !rest.is_empty() {
            part.build = Some(postcard::from_bytes(rest).ok()?);
        }
        (part.last_event_id <= MAX_EVENT_ID).then_some(part)
    }
}

/// Stored output of an unfinished item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Id of the last event.
    pub last_event_id: u64,
    /// Data of the events, separated by line feeds.
    pub output: String,
    /// Build that wrote it, if it is known.
    pub build: Option<Build>,
    /// [`OutputPart::after`] of the parts.
    pub(super) parts: Vec<u64>,
}

impl Progress {
    /// Whether a part takes the place of this output: that of another build, from its
    /// beginning.
    #[must_use]
    pub fn is_replaced_by(&self, part: &OutputPart) -> bool {
        part.after == 0
            && part.last_event_id > 0
            && self.last_event_id > 0
            && part.build != self.build
    }

    /// Appends the part that follows, or begins anew with that of another build; any
    /// other part is ignored.
    pub(super) fn append(&mut self, part: &OutputPart) {
        if self.is_replaced_by(part) {
            *self = Self::default();
        }
        let is_first = self.last_event_id == 0;
        if part.after != self.last_event_id
            || part.last_event_id <= part.after
            || !(is_first || part.build == self.build)
        {
            return;
        }
        self.build.clone_from(&part.build);
        if part.after > 0 {
            self.output.push('\n');
        }
        self.output.push_str(&part.text);
        self.last_event_id = part.last_event_id;
        self.parts.push(part.after);
    }
}

/// Batch job with its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// Submission; the bodies of items with a result are emptied.
    pub submission: Submission,
    /// Results by position, in the order in which they were recorded.
    pub results: Vec<ItemResult>,
    /// Whether an item has a result, by item index.
    pub has_result: Vec<bool>,
    /// Number of failed attempts, by item index.
    pub failures: Vec<u8>,
    /// Stored output of unfinished items, by item index.
    pub progress: HashMap<u32, Progress>,
    /// Whether the client cancelled the job.
    pub cancelled: bool,
    /// Number of records that hold the submission, not counting its head.
    pub parts: u32,
}

impl Job {
    /// Memory that the items, their results and their stored outputs take, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let results = self.results.iter().map(|result| result.end.output().len());
        let outputs = self.progress.values().map(|progress| progress.output.len());
        self.submission.memory_bytes() + results.sum::<usize>() + outputs.sum::<usize>()
    }

    /// Whether the job is not cancelled and has items without a result.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.results.len() < self.submission.items.len()
    }

    /// Whether the job can be deleted: it is not open, and was submitted more
    /// than `keep_ms` (the retention of results) before `wall_ms`.
    #[must_use]
    pub fn is_expired(&self, wall_ms: u64, keep_ms: u64) -> bool {
        !self.is_open() && wall_ms.saturating_sub(self.submission.submitted_ms) > keep_ms
    }

    /// Indexes of the items without a result.
    pub fn unfinished_items(&self) -> impl Iterator<Item = u32> {
        let items = self.has_result.iter().enumerate();
        items
            .filter(|(_, has_result)| !**has_result)
            .map(|(index, _)| index as u32)
    }

    /// Id of the last event of an item whose output is stored; 0 for none.
    #[must_use]
    pub fn stored_events(&self, item: u32) -> u64 {
        self.progress
            .get(&item)
            .map_or(0, |progress| progress.last_event_id)
    }

    /// Whether the job was submitted to a host, under a path prefix.
    #[must_use]
    pub fn matches_prefix(&self, host: &str, prefix: &str) -> bool {
        self.submission.host == host && self.submission.path.starts_with(prefix)
    }

    /// Whether the job belongs to a customer; every job does if `customer` is `None`.
    #[must_use]
    pub fn is_of(&self, customer: Option<&str>) -> bool {
        customer.is_none() || self.submission.customer.as_deref() == customer
    }

    /// Tokens of the items without a result; 0 if the job is cancelled.
    #[must_use]
    pub fn open_tokens(&self) -> u64 {
        if self.cancelled {
            return 0;
        }
        let items = self.submission.items.iter().zip(&self.has_result);
        items
            .filter(|(_, has_result)| !**has_result)
            .map(|(item, _)| item.tokens)
            .fold(0, u64::saturating_add)
    }
}
