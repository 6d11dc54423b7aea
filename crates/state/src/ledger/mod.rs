//! Batch jobs stored as keyed records in a compacted log.
//!
//! A [`Ledger`] is the state of one shard, computed from the records of its
//! partition. The store keeps at least the newest record of each key, so the
//! ledger can be loaded from those and then follow the log. Writers use
//! optimistic concurrency control: a [`Plan`] is computed from the ledger, and
//! its records are appended on the condition that the log still ends at the
//! offset up to which the ledger has applied it. Every change is therefore
//! based on all records before it: a job is accepted once, a result gets the
//! next free position, and a recorded result never changes.

mod build;
mod entry;
mod limits;
mod plan;
mod state;

pub use build::Build;
pub use entry::{Item, ItemResult, Job, Outcome, OutputPart, Progress, Record, Submission, Terms};
pub use limits::Limits;
pub use plan::{Decision, Op, Plan, Quota};
pub use state::{Key, Ledger};
