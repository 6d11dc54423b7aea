//! HTTP, peer and log transports.
//!
//! This layer moves bytes and messages and decides nothing. Every wait has a
//! bound; a caller of this layer learns whether a failed request may have been
//! received.

pub mod error;
pub mod heartbeat;
pub mod http;
pub mod instances;
pub mod links;
pub mod log;
pub mod peer;
pub mod runtime;

pub use error::Error;
pub use links::Links;
pub use runtime::Runtime;
