//! Decision logic of the daemon.
//!
//! Every type here is a state machine: it takes the current time and an event, and
//! returns a decision or actions. Nothing performs I/O or reads a clock, so the
//! daemon, the tests and the benchmarks run the same code. `now` is the time since
//! the process started, from a monotonic clock.

pub mod admission;
pub mod append_rate;
pub mod batch_limit;
pub mod bucket;
pub mod call;
pub mod fleet;
pub mod issuer;
pub mod load_report;
pub mod log_health;
pub mod membership;
pub mod ownership;
pub mod participant;
pub mod placement;
pub mod queue;
pub mod retention;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod streams;

pub use admission::Admission;
pub use bucket::Bucket;
pub use issuer::Issuer;
pub use membership::Membership;
pub use ownership::Ownership;
pub use participant::Participant;
pub use placement::Placement;
pub use queue::Queue;
pub use retention::Retention;
pub use rollout::Rollout;
pub use routing::Routing;
pub use streams::Streams;
