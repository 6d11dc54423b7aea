//! Deterministic state machines over log records.
//!
//! Every reader applies the same records in the same order and computes the
//! same state. This crate does no I/O and reads no clock: the time of a record
//! is its append time in the log, and callers pass the current time where one
//! is needed. [`Shard`] and [`Config`] are the states of a shard and of the
//! configuration in `bitterncartd`; [`ledger`] stores the batch jobs of the
//! gateway.

pub mod call;
pub mod config;
pub mod invariant;
pub mod job;
pub mod ledger;
pub mod rollout;
pub mod shard;

pub use config::Config;
pub use shard::Shard;
