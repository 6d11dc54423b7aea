//! End-to-end trials of environment documents, in one process over loopback.
//!
//! A trial deploys a document with daemons and stand-ins for all external systems,
//! sends online and batch load, and injects faults. It then compares the responses
//! that clients received with the requests that the stand-ins recorded. Integration
//! tests and benchmarks use the deployment ([`Site`]) without the load.

pub mod chaos;
pub mod client;
pub mod jobs;
pub mod online;
pub mod report;
pub mod site;
pub mod trial;

pub use report::Report;
pub use site::{Partition, Site};
pub use trial::Trial;
