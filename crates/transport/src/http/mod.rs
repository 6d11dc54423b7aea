//! HTTP/1.1 by `async-h1`: server, client, server-sent events.

pub mod chunks;
pub mod client;
mod guard;
pub mod server;
pub mod sse;

pub use client::Client;
pub use server::{Handler, Server};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
