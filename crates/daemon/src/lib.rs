//! The entry daemon: callers' HTTP, batch, control.
//!
//! One daemon runs on each entry instance. It keeps nothing on disk; what must
//! last is in the platform's log.

pub mod admin;
pub mod answer;
pub mod batch;
pub mod callers;
pub mod config;
pub mod core;
pub mod counters;
mod daemon;
pub mod engine;
pub mod orders;
pub mod peers;
pub mod platform;
pub mod service;
pub mod shards;
pub mod status;

pub use daemon::Daemon;
