//! Small stand-ins for the systems around the daemon.
//!
//! Each answers the outside system's protocol over HTTP, keeps its own record
//! of what it did, and has faults that `POST /faults` switches on. The record
//! is what callers' answers are compared with.

pub mod engine;
pub mod fault;
pub mod instances;
pub mod log;
pub mod reply;
pub mod service;
pub mod weights;

use std::net::SocketAddr;

use bitterncart_transport::http::{Handler, Server};
use bitterncart_transport::runtime::Workers;
use bitterncart_transport::{Error, Runtime};

/// Stand-in that serves; dropping it is its death.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its worker threads.
    pub workers: Workers,
}

/// Starts a stand-in on an address.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start<H: Handler>(
    address: SocketAddr,
    make: impl FnOnce(&Runtime) -> H,
) -> Result<Running, Error> {
    let (runtime, workers) = Runtime::start("standin", 1);
    let server = smol::block_on(Server::bind(runtime.clone(), address)).map_err(Error::connect)?;
    let address = server.address().map_err(Error::connect)?;
    let handler = make(&runtime);
    runtime.spawn(server.serve(handler)).detach();
    Ok(Running { address, workers })
}
