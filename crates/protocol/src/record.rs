//! Records that daemons append to the platform's log.
//!
//! Each shard has a stream of [`Group`]s, and the configuration has a stream
//! of [`Publish`] records. Daemons rebuild a shard's state by applying its
//! groups in offset order. Records marked "owner only" take effect only in a
//! group that carries the shard's current epoch; the others take effect only
//! in a group without an epoch, which any daemon may append. Appending a
//! group a second time changes nothing, so a writer may repeat an append whose
//! response was lost. The encoding is postcard, which identifies fields and
//! variants by position.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::code::Code;
use crate::engine::Weights;
use crate::id;

/// Payload of one append to a shard's stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Epoch of the owner that wrote the group; `None` for records that any daemon may append.
    pub epoch: Option<id::Epoch>,
    /// Records, in the order in which they are applied.
    pub records: Vec<Record>,
}

impl Group {
    /// Returns the results of `job` in this group, both new and carried forward.
    pub fn into_results(self, job: id::Job) -> impl Iterator<Item = (id::Item, Answer)> {
        self.records
            .into_iter()
            .flat_map(move |record| match record {
                Record::Done {
                    job: record_job,
                    item,
                    answer,
                } if record_job == job => vec![(item, answer)],
                Record::Carry {
                    job: record_job,
                    answers,
                    ..
                } if record_job == job => answers,
                _ => Vec::new(),
            })
    }

    /// Encodes the group as a log payload.
    ///
    /// # Panics
    ///
    /// Never: postcard can encode every type of a group.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("postcard encodes every record type")
    }

    /// Decodes a log payload; `None` if the bytes are not a group that this version can read.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Condition under which a daemon claims a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The shard never had an owner.
    Vacant,
    /// The previous owner released it.
    Released,
    /// The previous owner appended nothing after a [`Record::Challenge`].
    Unanswered,
}

/// Part of a job's input: one entry of a shard's input stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Shard whose input stream holds the entry.
    pub shard: id::Shard,
    /// Offset of the entry.
    pub offset: u64,
    /// Number of input lines in the entry.
    pub lines: u32,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Submission of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Id derived from the customer and the idempotency key or content.
    pub job: id::Job,
    /// Customer who owns the job.
    pub customer: Name,
    /// Model that every item requests.
    pub model: Name,
    /// API path that every item requests.
    pub endpoint: CompactString,
    /// Input file.
    pub file: id::File,
    /// Location of the input in the log, in line order.
    pub chunks: Vec<Chunk>,
    /// Deadline for the results, in milliseconds since the Unix epoch.
    pub due_ms: u64,
    /// How long results stay readable after the job ends, in milliseconds.
    pub keep_ms: u64,
    /// Submission time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl Submit {
    /// Number of items in the job.
    #[must_use]
    pub fn items(&self) -> u32 {
        self.chunks.iter().map(|chunk| chunk.lines).sum()
    }
}

/// Input file whose content is completely stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Id derived from the customer and content.
    pub file: id::File,
    /// Customer who owns the file.
    pub customer: Name,
    /// Location of the lines in the log, in line order.
    pub chunks: Vec<Chunk>,
    /// Size in bytes.
    pub bytes: u64,
    /// Model that every line requests.
    pub model: Name,
    /// API path that every line requests.
    pub endpoint: CompactString,
    /// Upload time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How long the file is kept if no job uses it, in milliseconds.
    pub keep_ms: u64,
}

/// Final result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Item id chosen by the caller.
    pub custom_id: CompactString,
    /// HTTP status of the response.
    pub status: u16,
    /// Result code if the item failed.
    pub code: Option<Code>,
    /// Response body in JSON.
    pub body: String,
}

/// Outcome of a call that has an idempotency key.
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
    /// The call was not run; the key may be used again.
    NotRun(Code),
    /// The call may have run, so it is never run again.
    Unknown,
}

/// Record of a shard's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A daemon takes ownership of the shard; ignored unless `supersedes` is the current
    /// epoch.
    Claim {
        /// New owner.
        daemon: id::Daemon,
        /// Current epoch as the claiming daemon read it.
        supersedes: id::Epoch,
        /// Condition that permits the claim.
        reason: Reason,
    },
    /// A daemon asks the shard's owner to prove, by any append under its epoch, that it is
    /// alive.
    Challenge {
        /// Daemon that asks.
        daemon: id::Daemon,
        /// Epoch of the challenged owner.
        epoch: id::Epoch,
    },
    /// The owner answers a challenge (owner only).
    Present,
    /// The owner gives up the shard (owner only).
    Release,
    /// An input file has been uploaded completely.
    File(Box<Upload>),
    /// A job was submitted.
    Submit(Box<Submit>),
    /// A job was cancelled.
    Cancel {
        /// Id of the job.
        job: id::Job,
        /// Time of the cancel request, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// An item has its final result (owner only).
    Done {
        /// Id of the job.
        job: id::Job,
        /// Position of the item in the job.
        item: id::Item,
        /// Final result.
        answer: Answer,
    },
    /// An attempt at an item failed and counts (owner only).
    Tried {
        /// Id of the job.
        job: id::Job,
        /// Position of the item in the job.
        item: id::Item,
        /// Number of the attempt, from 1.
        attempt: u8,
    },
    /// Results copied to a new entry before the old entry expires from the log (owner only).
    Carry {
        /// Id of the job.
        job: id::Job,
        /// Offset of the entry that this record replaces.
        from: u64,
        /// Valid results of this job in the replaced entry.
        answers: Vec<(id::Item, Answer)>,
    },
    /// Part of the input copied to a new entry before the old entry expires from the log
    /// (owner only).
    Move {
        /// Id of the job.
        job: id::Job,
        /// Index of the chunk.
        index: u32,
        /// New location.
        chunk: Chunk,
    },
    /// A call with an idempotency key is about to run (owner only).
    Intent {
        /// Id of the call.
        call: id::Call,
        /// Distinguishes repeated intents of the same call.
        nonce: u64,
        /// Hash of the request, to detect that a key is used for another request.
        request: u128,
        /// Time of the intent, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A call with an idempotency key ended (owner only).
    Outcome {
        /// Id of the call.
        call: id::Call,
        /// Nonce of the [`Record::Intent`].
        nonce: u64,
        /// Result of the call.
        outcome: Outcome,
    },
    /// All replicas of the model in the data centre serve these weights, so
    /// that a halted rollout can return to them (owner only).
    Good {
        /// Name of the model.
        model: Name,
        /// Weights that all replicas serve.
        weights: Weights,
    },
    /// The rollout of these weights was halted (owner only).
    Halted {
        /// Name of the model.
        model: Name,
        /// Weights of the halted rollout.
        weights: Weights,
    },
    /// The lease of an item expired (owner only).
    Lapsed {
        /// Id of the job.
        job: id::Job,
        /// Position of the item in the job.
        item: id::Item,
    },
}

/// Record of the configuration stream: one published document version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publish {
    /// Version that the operator edited; 0 for the first publication.
    pub base: u64,
    /// Text of the document, unchanged.
    pub text: String,
    /// Operator who published the document.
    pub operator: CompactString,
    /// Version number if this record repeats a version whose record is about to expire from
    /// the log.
    pub carried: Option<u64>,
    /// Distinguishes publications of the same text.
    pub nonce: u64,
}
