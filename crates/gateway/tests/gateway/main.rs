//! Integration tests of the gateway with scripted replicas and an in-memory store.

mod answers;
mod batch;
mod bounded;
mod budget;

mod crash;
mod departure;
mod discovery;
mod harness;
mod link;
mod links;
mod online;
mod oversized;
mod owner;
mod pace;
mod rate_limit;
mod relay_cost;
mod replica;
mod reservation;
mod sockets;
mod sse;
mod store;
mod versions;
