//! Gateway daemon for fleets whose manifest, replicas and jobs are kept in a
//! store.
//!
//! This crate performs the I/O for the decisions of `bitterncart-coordination`
//! and the ledger of `bitterncart-state`. An adapter supplies the wire format of
//! clients and replicas as a [`Dialect`] and the client of the store as a
//! [`Store`].
//!
//! The tasks of a daemon run on one executor and share its state. A task that
//! needs several locks takes them in this order: manifest, freshness, ledgers in the order
//! of their shards, runs, peers, cut-off daemons, ownership table, pool, admission queue,
//! quarantine, streams, buckets, asks, links, idle connections. The catalog, the times of
//! list reads, the open connections of an address and the quotas are locked alone, the meter of
//! a connection before the connections that write.

mod answer;
mod availability;
mod body;
pub mod bounded;
pub mod budget;
pub mod buffer;
mod catalog;
mod checkpoint;
mod clock;
pub mod collect;
mod confirmation;
pub mod connection;
mod core;
mod crash;
mod daemon;
mod datagram;
mod forward;
mod gossip;
mod identity;
pub mod intake;
mod invalid;
mod jobs;
mod links;
mod list_reads;
mod metrics;
mod online;
mod ownership;
mod relay;
mod request_quota;
mod runner;
mod sampler;
mod server;
mod shard;
mod shutdown;
mod streams;
mod submission;
mod token_quota;
mod tokens;
mod upstream;
mod watch;

pub mod dialect;
pub mod log;
pub mod settings;
pub mod sse;
pub mod store;

pub use connection::Connector;
pub use daemon::Daemon;
pub use dialect::Dialect;
pub use settings::Settings;
pub use store::Store;
