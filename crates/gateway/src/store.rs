//! Interface of the store: a log of keyed records in topics.
//!
//! A topic is read from an offset, or as pages with the newest record of each
//! key. An append can be conditional on the end offset of the topic, which makes
//! concurrent writers safe. An adapter implements [`Store`] and states for each
//! failure whether the call may still take effect.

use std::fmt;
use std::time::Duration;

use bitterncart_coordination::fleet::{Manifest, Replica};
use bitterncart_state::ledger::Record;
use compact_str::CompactString;

/// Records read from an offset.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// Offset of the first record.
    pub start_offset: u64,
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
    /// Offset after the newest record of the topic.
    pub end_offset: u64,
    /// Offset of the oldest record that is kept.
    pub first_offset: u64,
}

/// Page of the newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records in the order of their keys.
    pub records: Vec<Record>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// Offset after the newest record of the topic when the page was read.
    pub end_offset: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(CompactString),
    /// The store refused the call with this status; it has no effect.
    Refused(u16),
    /// The topic does not end at the expected offset; nothing was appended.
    Conflict,
    /// The records at the offset have been deleted.
    Truncated,
    /// The response cannot be decoded; the call may have taken effect.
    Undecodable(CompactString),
    /// No valid response; the call may have taken effect or may still do so.
    OutcomeUnknown(CompactString),
}

impl Failure {
    /// Whether the call is known to have no effect.
    #[must_use]
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Self::OutcomeUnknown(_) | Self::Undecodable(_))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Conflict => f.write_str("the topic ends elsewhere"),
            Self::Truncated => f.write_str("the records are deleted"),
            Self::Undecodable(why) => write!(f, "undecodable answer: {why}"),
            Self::OutcomeUnknown(why) => write!(f, "no usable answer: {why}"),
        }
    }
}

/// Topics of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Records of the operator, with the manifest.
    Operator,
    /// Records of the replicas.
    Replicas,
    /// Registered daemons, by peer address.
    Members,
    /// Ledger of batch jobs, by shard.
    Ledger(u16),
    /// Grants for jobs on routes with a token quota.
    Quotas,
}

/// Part of a record that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defect {
    /// Name or position of the part.
    pub entry: CompactString,
    /// Why it cannot be used.
    pub why: String,
}

/// Manifest as far as it can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedManifest {
    /// Manifest without the parts that cannot be used.
    pub manifest: Manifest,
    /// Parts that cannot be used.
    pub defects: Vec<Defect>,
}

impl From<Manifest> for ParsedManifest {
    fn from(manifest: Manifest) -> Self {
        Self {
            manifest,
            defects: Vec::new(),
        }
    }
}

/// Parser of the records of the operator and of replicas.
pub trait RecordParser {
    /// Parses the manifest; `None` if the record is of another type.
    ///
    /// # Errors
    ///
    /// Why the record is invalid.
    fn parse_manifest(record: &Record) -> Result<Option<ParsedManifest>, String>;

    /// Parses a replica.
    ///
    /// # Errors
    ///
    /// Why the record does not describe a replica.
    fn parse_replica(record: &Record) -> Result<Replica, String>;
}

/// Client of the store.
pub trait Store: RecordParser + Clone + Send + Sync + 'static {
    /// Appends records within `timeout` and returns the new end offset. With
    /// `expected_end`, the append takes effect only if the topic ends at that
    /// offset.
    fn append(
        &self,
        topic: Topic,
        expected_end: Option<u64>,
        records: &[Record],
        timeout: Duration,
    ) -> impl Future<Output = Result<u64, Failure>> + Send;

    /// Reads records from an offset; waits up to `wait` if there are none yet.
    fn read(
        &self,
        topic: Topic,
        start_offset: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Read, Failure>> + Send;

    /// Reads a page with the newest record of each key that follows `after`.
    fn read_newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, Failure>> + Send;
}
