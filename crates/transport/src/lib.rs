//! HTTP, peer and log transports.
//!
//! This crate sends and receives messages: HTTP between daemons, callers and
//! backend servers, QUIC and UDP between daemons, and the clients of the
//! platform's log and instance list. It contains no policy such as routing or
//! retries. Each request has a time limit, and its [`Error`] says whether the
//! other side may have received it, so that the caller can decide on a retry.
//! [`Runtime`] is the executor on which a daemon runs, and [`Blocklist`] simulates
//! network partitions in tests.

pub mod error;
pub mod heartbeat;
pub mod http;
pub mod instances;
pub mod log;
pub mod partition;
pub mod peer;
pub mod runtime;

pub use error::Error;
pub use partition::Blocklist;
pub use runtime::Runtime;
