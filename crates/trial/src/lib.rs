//! Daemons, stand-ins and callers in one process over loopback.
//!
//! The trial runs an environment document as it would run in production, with
//! faults, and compares what callers hold with what the stand-ins saw.

pub mod chaos;
pub mod client;
pub mod jobs;
pub mod online;
pub mod report;
pub mod site;
pub mod trial;

pub use report::Report;
pub use site::{Cut, Site};
pub use trial::Trial;
