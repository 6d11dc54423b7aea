//! Load, experiments and slopes.

pub mod compare;
pub mod durable;
pub mod orders;
mod schedule;
pub mod sim;
pub mod slope;
