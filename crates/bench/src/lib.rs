//! Load, experiments and slopes.

pub mod durable;
