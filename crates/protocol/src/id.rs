//! Identifiers that cross process boundaries.
//!
//! A job's id is derived from its customer and its idempotency key or content,
//! so a resent job has the same id wherever it arrives. Files, jobs and keyed
//! calls carry their shard in the id, so any daemon finds the stream.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Name of a daemon's one life: instance name and start number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Daemon(pub CompactString);

impl Daemon {
    /// Bytes for hashing.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Display for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for Daemon {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

/// Bit of the shards that hold orders to engines.
const ORDERS: u16 = 1 << 15;

/// Number of a shard, below the document's `log.shards`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(pub u16);

impl Shard {
    /// Shard of a hash.
    #[must_use]
    pub fn of(hash: u128, shards: u16) -> Self {
        Self((hash % u128::from(shards.max(1))) as u16)
    }

    /// Shard of the orders to the engines of a data centre; it lies above all
    /// shards of jobs, whose number a document bounds.
    #[must_use]
    pub fn orders(data_centre: &str) -> Self {
        let hash = hash::parts(&[data_centre.as_bytes()]);
        Self(ORDERS | (hash as u16 & !ORDERS))
    }

    /// Whether it holds orders to engines.
    #[must_use]
    pub fn is_orders(self) -> bool {
        self.0 & ORDERS != 0
    }

    /// Stream of the shard's records.
    #[must_use]
    pub fn stream(self) -> String {
        format!("shard-{:03}", self.0)
    }

    /// Stream of the shard's batch input bodies.
    #[must_use]
    pub fn bodies(self) -> String {
        format!("bodies-{:03}", self.0)
    }

    /// Stream of the shard's snapshots.
    #[must_use]
    pub fn snapshots(self) -> String {
        format!("snapshots-{:03}", self.0)
    }
}

/// Offset of a claim: the shard's epoch and the fencing number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

macro_rules! sharded {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name {
            /// Shard that holds the records.
            pub shard: Shard,
            /// Hash of what the id stands for.
            pub hash: u128,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:03x}{:032x}"), self.shard.0, self.hash)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text
                    .strip_prefix($prefix)
                    .filter(|digits| digits.len() == 35 && digits.bytes().all(|b| b.is_ascii_hexdigit()))
                    .ok_or_else(|| format!("`{text}` is not an id of the form {}<35 hex digits>", $prefix))?;
                let shard = u16::from_str_radix(&digits[..3], 16).map_err(|e| e.to_string())?;
                let hash = u128::from_str_radix(&digits[3..], 16).map_err(|e| e.to_string())?;
                Ok(Self { shard: Shard(shard), hash })
            }
        }

        impl TryFrom<String> for $name {
            type Error = String;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }
    };
}

sharded! {
    /// Batch input file.
    File, "file-"
}
sharded! {
    /// Batch job.
    Job, "batch_"
}

impl Job {
    /// Id of a job under a customer's idempotency key.
    ///
    /// The shard depends on the key alone, so the same key meets itself.
    #[must_use]
    pub fn keyed(customer: &str, key: &str, shards: u16) -> Self {
        let hash = hash::parts(&[b"job key", customer.as_bytes(), key.as_bytes()]);
        Self {
            shard: Shard::of(hash, shards),
            hash,
        }
    }

    /// Id of a job without a key: customer and content decide.
    #[must_use]
    pub fn unkeyed(customer: &str, file: File, endpoint: &str) -> Self {
        let hash = hash::parts(&[
            b"job content",
            customer.as_bytes(),
            &file.hash.to_le_bytes(),
            endpoint.as_bytes(),
        ]);
        Self {
            shard: file.shard,
            hash,
        }
    }
}

/// Item of a job: position of its line in the input, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Item(pub u32);

/// Call under an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call(pub u128);

impl Call {
    /// Id of a customer's key for a service.
    #[must_use]
    pub fn keyed(customer: &str, service: &str, key: &str) -> Self {
        Self(hash::parts(&[
            b"call",
            customer.as_bytes(),
            service.as_bytes(),
            key.as_bytes(),
        ]))
    }

    /// Shard that decides the call.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        Shard::of(self.0, shards)
    }
}
