//! Tests of the soak itself.

mod framing;
mod plan;
