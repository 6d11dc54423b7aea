//! Stand-ins (test doubles) for the external systems that a daemon depends on.
//!
//! The stand-ins are a log service, an instance list, an inference engine, a plain
//! service and a weight store. Each implements the HTTP protocol of the system it
//! replaces and keeps a record of what took effect. Tests compare this record with
//! the responses that clients received. Faults are injected through
//! `POST /faults` or, in the same process, through [`fault::Injector`].

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

/// Running stand-in server; dropping it stops the server like a crash.
#[derive(Debug)]
pub struct Handle {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Worker threads of the server.
    pub workers: Workers,
}

/// Starts a stand-in on an address; `make` creates it on the runtime of the server.
///
/// # Errors
///
/// If the address cannot be bound.
pub fn start<H: Handler>(
    address: SocketAddr,
    make: impl FnOnce(&Runtime) -> H,
) -> Result<Handle, Error> {
    let (runtime, workers) = Runtime::start("standin", 1);
    let server = smol::block_on(Server::bind(runtime.clone(), address)).map_err(Error::connect)?;
    let address = server.address().map_err(Error::connect)?;
    let handler = make(&runtime);
    runtime.spawn(server.serve(handler)).detach();
    Ok(Handle { address, workers })
}
