//! Folds of log records over arenas.
//!
//! Every reader applies the same records in the same order and reaches the
//! same state. Nothing here reads a clock or does I/O: the time of a record is
//! the time at which the log took it.

pub mod call;
pub mod config;
pub mod invariant;
pub mod job;
pub mod ledger;
pub mod rollout;
pub mod shard;

pub use config::Config;
pub use shard::Shard;
