//! The entry daemon: HTTP API for callers, batch scheduling and control plane.
//!
//! One daemon runs on each entry instance. It routes online requests to model
//! engines and plain services, runs batch items in the capacity that online traffic
//! leaves, and rolls out model weights. The daemons coordinate through membership
//! gossip, requests to each other and the platform's log. A daemon keeps nothing on
//! disk: all durable state is in the log.

pub mod admin;
pub mod batch;
pub mod callers;
pub mod config;
pub mod core;
pub mod counters;
mod daemon;
pub mod discovery;
pub mod engine;
pub mod orders;
pub mod peers;
pub mod response_body;
pub mod service;
pub mod shards;
pub mod status;

pub use daemon::Daemon;
