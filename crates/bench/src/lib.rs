//! Load, experiments and slopes.

pub mod compare;
pub mod durable;
pub mod sim;
pub mod slope;
