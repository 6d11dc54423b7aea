//! What a request has in common with other requests.
//!
//! A client may send the same request again, and different requests may share parts
//! of their prompts. Both are the same at every daemon.

use std::fmt;
use std::sync::LazyLock;

use bitterncart_protocol::hash::{self, Key};
use serde::{Deserialize, Serialize};

use super::prompt::Part;

static KEY: LazyLock<Key> =
    LazyLock::new(|| Key::for_purpose("bitterncart 2026 fingerprint of a request"));

/// Fingerprint of a request, the same each time that its caller sends it. 128 bits of
/// a cryptographic hash, so that no client can make one that equals the fingerprint of
/// another request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Fingerprint of a request that consists of these fields, such as its method,
    /// path, caller and body.
    #[must_use]
    pub fn of(fields: &[&[u8]]) -> Self {
        Self(hash::keyed_hash_parts(&KEY, fields))
    }

    /// Short id in heartbeats.
    #[must_use]
    pub fn short_hash(self) -> u32 {
        self.0 as u32
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a request has in common with others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Profile {
    /// Fingerprint; that of a batch item is its own, whatever it sends.
    pub fingerprint: Fingerprint,
    /// Whether it is a batch item.
    pub is_item: bool,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<Part>,
}
