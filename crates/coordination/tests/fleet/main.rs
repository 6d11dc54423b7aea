//! Tests of the decisions in a fleet: routing, retries, load balancing, admission
//! queue, shard ownership and batch scheduling.

mod attempt;
mod line;
mod manifest;
mod owners;
mod pool;
mod work;
