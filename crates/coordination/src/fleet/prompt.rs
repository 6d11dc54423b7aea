//! Parts of prompts.
//!
//! A prompt is a list of parts. Requests of many clients share parts, such as a
//! system prompt or a document; the last part belongs to the request itself.

use std::fmt;

use bitterncart_protocol::hash;
use serde::{Deserialize, Serialize};

/// Maximum number of shared parts of a request that are considered; clients
/// choose their prompts.
pub const MAX_SHARED_PARTS: usize = 32;

/// Id of a part that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Part(pub u64);

impl Part {
    /// Part with a hexadecimal id; any other id is hashed.
    #[must_use]
    pub fn from_id(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_| hash::hash_parts(&[id.as_bytes()]) as u64))
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
