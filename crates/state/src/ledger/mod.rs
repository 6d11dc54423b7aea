//! Ledger: batch jobs as keyed records of a store.
//!
//! Every record has a key of its own, and the store keeps the newest record
//! of each key. A writer appends only at the end that it has folded, so each
//! record was decided on the whole state before it: a job is accepted once, a
//! result gets the next free position, and nothing listed changes.

mod entry;
mod fold;
mod plan;

pub use entry::{End, Item, Job, Listed, Record, Submission};
pub use fold::{Key, Ledger};
pub use plan::{Op, Plan, Quota, Verdict};
