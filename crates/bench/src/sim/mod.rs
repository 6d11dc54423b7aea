//! Simulation of the sharing policies in virtual time.
//!
//! Each simulated daemon makes its decisions with the real routing, batch
//! sharing, use reporting and retry budget; the engines and the network between
//! the daemons are models. The input is an environment document, a policy, a
//! seed and the duration of the run, and the result is the latency and throughput
//! of online and batch work. The clock is virtual, so the figures depend on
//! these inputs and not on the speed of the machine.

mod engine;
mod load;
mod metrics;
mod policy;
mod run;

pub use load::{Arrival, Load};
pub use metrics::{Metrics, Sample};
pub use policy::Policy;
pub use run::{Experiment, Fault};
