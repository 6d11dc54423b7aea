//! Decisions of a daemon in a fleet whose routes and replicas are published in a
//! store.
//!
//! The inputs are the current manifest, the listed replicas, and the heartbeats
//! in which the peers report their load. From these a daemon selects a replica
//! for each request, queues requests while all replicas are full, decides
//! whether a failed attempt is retried, and determines which shards of the
//! ledger it owns and which batch items it starts. The modules perform no I/O:
//! the caller passes in time and randomness.

pub mod admission_queue;
pub mod backlog;
pub mod capacity;
pub mod catalog;
pub mod checkpoint;
pub mod customer;
mod datagram;
pub mod demand;
pub mod ends;
pub mod freshness;
pub mod links;
pub mod manifest;
pub mod ownership;
pub mod peers;
pub mod pool;
pub mod preemption;
pub mod profile;
pub mod prompt;
pub mod quarantine;
pub mod rate_limit;
pub mod reasons;
mod recent;
pub mod replica;
pub mod request_quota;
pub mod retry;
pub mod schedule;
pub mod shutdown;
pub mod streams;
pub mod token_quota;
pub mod withdrawal;

pub use backlog::{Backlog, Group, Queued};
pub use catalog::Catalog;
pub use customer::{Customer, Customers, RequestQuota};
pub use demand::Demand;
pub use ends::Ends;
pub use freshness::Freshness;
pub use links::Links;
pub use manifest::{Batch, Kind, Limits, Manifest, Route};
pub use ownership::{Candidate, CutOff, Member, View};
pub use peers::{Heartbeat, Peers};
pub use pool::{Class, Pool};
pub use profile::{Fingerprint, Profile};
pub use prompt::Part;
pub use quarantine::Quarantine;
pub use replica::{Build, Replica, Stage};
pub use retry::{Attempts, Decision, Outcome};
pub use schedule::{Eligibility, Estimator, proportional_share};
pub use shutdown::Shutdown;
pub use streams::Streams;
