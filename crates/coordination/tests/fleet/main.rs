//! Tests of the decisions in a fleet: routing, retries, load balancing, admission
//! queue, shard ownership and batch scheduling.

mod admission_queue;
mod backlog;
mod builds;
mod capacity;
mod catalog;
mod checkpoint;
mod customer;
mod departure;
mod ends;
mod freshness;
mod links;
mod manifest;
mod odd_datagrams;
mod out_of_step;
mod ownership;
mod pool;
mod preemption;
mod profile;
mod quarantine;
mod rate_limit;
mod reasons;
mod request_quota;
mod retry;
mod schedule;
mod shutdown;
mod streams;
mod token_quota;
mod withdrawal;
