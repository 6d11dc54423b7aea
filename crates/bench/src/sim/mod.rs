//! Experiments in virtual time.
//!
//! The decision layers of several daemons (routing, sharing, interest, retry
//! budget) act on modelled engines. The clock is virtual, so a run depends on
//! its seed alone and gives the same figures every time.

mod engine;
mod load;
mod metrics;
mod policy;
mod run;

pub use load::{Arrival, Load};
pub use metrics::{Metrics, Sample};
pub use policy::Policy;
pub use run::{Experiment, Fault};
