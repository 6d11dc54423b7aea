//! HTTP/1.1 on `async-h1`: server, client, streamed bodies and server-sent events.

pub mod chunks;
pub mod client;
mod deadline;
mod head_limit;
pub mod memory;
pub mod server;
pub mod sse;

pub use client::Client;
pub use memory::Memory;
pub use server::{Handler, Server};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
