//! Records in the platform's log.
//!
//! A [`Group`] is what one append carries. Every record is idempotent under
//! the fold: appending a group again after a lost answer changes nothing.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::code::Code;
use crate::engine::Weights;
use crate::id;

/// Records of one append.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Epoch of the writing owner; `None` for records anyone may append.
    pub epoch: Option<id::Epoch>,
    /// Records in order.
    pub records: Vec<Record>,
}

impl Group {
    /// Results of a job in this group.
    pub fn into_results(self, job: id::Job) -> impl Iterator<Item = (id::Item, Answer)> {
        self.records
            .into_iter()
            .flat_map(move |record| match record {
                Record::Done {
                    job: of,
                    item,
                    answer,
                } if of == job => vec![(item, answer)],
                Record::Carry {
                    job: of, answers, ..
                } if of == job => answers,
                _ => Vec::new(),
            })
    }

    /// Encoded form.
    ///
    /// # Panics
    ///
    /// Never: the types of a group always encode.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("records encode")
    }

    /// Group of an encoded form; `None` for what no version of us wrote.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Why a shard was claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The shard never had an owner.
    Vacant,
    /// The owner released it.
    Released,
    /// The owner did not answer a challenge in the log.
    Unanswered,
}

/// Piece of a job's input: one entry of a bodies stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Shard whose bodies stream holds the entry.
    pub shard: id::Shard,
    /// Offset of the entry.
    pub offset: u64,
    /// Lines in the entry.
    pub lines: u32,
    /// Time of the append, in milliseconds since 1970.
    pub at_ms: u64,
}

/// Submission of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Derived id.
    pub job: id::Job,
    /// Customer who owns the job.
    pub customer: Name,
    /// Model of every item.
    pub model: Name,
    /// API path of every item.
    pub endpoint: CompactString,
    /// Input file.
    pub file: id::File,
    /// Where the input lies, in order.
    pub chunks: Vec<Chunk>,
    /// When the results are due, in milliseconds since 1970.
    pub due_ms: u64,
    /// How long results stay readable after the job's end, in milliseconds.
    pub keep_ms: u64,
    /// When the job was submitted, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Submit {
    /// Items of the job.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.lines).sum()
    }
}

/// Input file, whole in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Derived id.
    pub file: id::File,
    /// Customer who owns the file.
    pub customer: Name,
    /// Where the lines lie, in order.
    pub chunks: Vec<Chunk>,
    /// Size in bytes.
    pub bytes: u64,
    /// Model that every line names.
    pub model: Name,
    /// API path that every line names.
    pub endpoint: CompactString,
    /// When it was uploaded, in milliseconds since 1970.
    pub at_ms: u64,
    /// How long it stays without a job, in milliseconds.
    pub keep_ms: u64,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Caller's name for the item.
    pub custom_id: CompactString,
    /// HTTP status of the item's response.
    pub status: u16,
    /// Code of a failure.
    pub code: Option<Code>,
    /// Response body, JSON.
    pub body: String,
}

/// Outcome of a call under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: CompactString,
        /// Response body.
        body: Vec<u8>,
    },
    /// Certainly not run; the key is free again.
    NotRun(Code),
    /// May have run; never run again.
    Unknown,
}

/// Record of a shard's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon takes the shard; valid only if `supersedes` is the epoch that stands.
    Claim {
        /// Claimant.
        daemon: id::Daemon,
        /// Epoch that the claimant saw.
        supersedes: id::Epoch,
        /// Why.
        reason: Reason,
    },
    /// A daemon asks the owner of an epoch to show itself in the log.
    Challenge {
        /// Who asks.
        daemon: id::Daemon,
        /// Epoch in question.
        epoch: id::Epoch,
    },
    /// The owner shows itself (owner's record).
    Present,
    /// The owner gives the shard up (owner's record).
    Release,
    /// An input file is whole.
    File(Box<Upload>),
    /// A job is submitted.
    Submit(Box<Submit>),
    /// A job is cancelled.
    Cancel {
        /// Job.
        job: id::Job,
        /// Time of the request, in milliseconds since 1970.
        at_ms: u64,
    },
    /// An item ended (owner's record).
    Done {
        /// Job.
        job: id::Job,
        /// Item.
        item: id::Item,
        /// Result.
        answer: Answer,
    },
    /// An attempt at an item failed (owner's record).
    Tried {
        /// Job.
        job: id::Job,
        /// Item.
        item: id::Item,
        /// Number of the attempt, from 1.
        attempt: u8,
    },
    /// Results written again before their entry expires (owner's record).
    Carry {
        /// Job.
        job: id::Job,
        /// Entry that is replaced.
        from: u64,
        /// Its valid results of this job.
        answers: Vec<(id::Item, Answer)>,
    },
    /// Input written again before its entry expires (owner's record).
    Move {
        /// Job.
        job: id::Job,
        /// Index of the chunk.
        index: u32,
        /// New place.
        chunk: Chunk,
    },
    /// A keyed call is about to run (owner's record).
    Intent {
        /// Call.
        call: id::Call,
        /// Distinguishes announcements of the same call.
        nonce: u64,
        /// Hash of the request.
        request: u128,
        /// Time, in milliseconds since 1970.
        at_ms: u64,
    },
    /// A keyed call ended (owner's record).
    Outcome {
        /// Call.
        call: id::Call,
        /// Nonce of the announcement.
        nonce: u64,
        /// How.
        outcome: Outcome,
    },
    /// All replicas of a model in a data centre run these weights and hold
    /// (issuer's record).
    Good {
        /// Model.
        model: Name,
        /// Weights.
        weights: Weights,
    },
    /// The rollout of these weights was halted (issuer's record).
    Halted {
        /// Model.
        model: Name,
        /// Weights.
        weights: Weights,
    },
    /// The lease of an item lapsed (owner's record).
    Lapsed {
        /// Job.
        job: id::Job,
        /// Item.
        item: id::Item,
    },
}

/// Record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Version that the operator started from; 0 for none.
    pub base: u64,
    /// Document, byte for byte.
    pub text: String,
    /// Who published it.
    pub operator: CompactString,
    /// Set when a version is written again before its record expires.
    pub carried: Option<u64>,
    /// Distinguishes publications of the same bytes.
    pub nonce: u64,
}
