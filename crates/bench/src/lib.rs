//! Simulations, randomised tests and cost measurements of the product.
//!
//! [`sim`] and [`compare`] simulate the sharing policies in virtual time.
//! [`durable`] and [`orders`] run randomised schedules of the decision layers and
//! check their invariants. [`slope`] measures costs at several sizes.

pub mod compare;
pub mod durable;
pub mod orders;
mod schedule;
pub mod sim;
pub mod slope;
