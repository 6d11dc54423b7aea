//! Randomised trials of daemons as processes, with faults injected from outside.

mod answer;
pub mod cli;
mod client;
mod commands;
mod content;
mod endless;
pub mod fleet;
mod http;
mod jobs;
mod log;
pub mod plan;
pub mod process;
pub mod replica;
mod runs;
pub mod soak;
pub mod store;
pub mod verdict;

pub use answer::{FRAMINGS, Framing};
