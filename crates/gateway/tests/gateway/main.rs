//! Integration tests of the gateway with scripted replicas and an in-memory store.

mod answers;
mod batch;
mod crash;
mod departure;
mod discovery;
mod ends;
mod harness;
mod link;
mod links;
mod online;
mod owner;
mod pace;
mod rate_limit;
mod relay;
mod replica;
mod reservation;
mod sockets;
mod store;
mod versions;
