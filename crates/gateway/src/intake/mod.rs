//! Bounds of what clients and peers send: size and time of a request head, memory for heads that
//! are not complete, and open connections.
//!
//! Heads are counted beneath the HTTP library, which buffers up to 400 KB of one and has a
//! single timeout for an idle connection and a head. When heads or connections take more than
//! their share, the connections that have been open longest without a whole request are closed.
//! A connection whose request is being served is never closed for others, unless its response
//! has been written for too long while memory is short.

pub mod capacity;
pub mod meter;
pub mod registry;
mod serve;
mod tracked;
pub mod writers;

pub use capacity::{Capacity, available_fds};
pub use meter::{Bounds, Meter, Metered, Refusal};
pub use registry::Registry;
pub(crate) use serve::listen;
pub use writers::Writers;
