//! Collects a body that another process sends, within a limit of its own and the memory
//! that all bodies of its kind may take together.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;

use crate::budget::Budget;
use crate::buffer::Buffer;

quick_error! {
    /// Why a body was not collected.
    #[derive(Debug)]
    pub enum Error {
        /// It exceeds its limit.
        TooLarge {
            display("the body is too large; the connection is closed")
        }
        /// The bodies that are kept leave too little memory.
        MemoryLimited {
            display("other bodies take the memory; the connection is closed, try again later")
        }
        /// It did not end as its framing says.
        Broken(error: hyper::Error) {
            from()
            display("{error}")
        }
    }
}

/// Reads a body of at most `max_bytes`, which counts until its last use.
///
/// # Errors
///
/// If it is too large, alone or together with the others of the budget, or breaks.
pub async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    budget: &Budget,
) -> Result<Bytes, Error> {
    let mut buffer = Buffer::new(budget, body.size_hint().exact());
    while let Some(frame) = body.frame().await {
        // Trailers are not passed on.
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(Error::TooLarge);
        }
        if !buffer.push(&data) {
            return Err(Error::MemoryLimited);
        }
    }
    Ok(buffer.into_bytes())
}
