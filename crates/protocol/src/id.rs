//! Identifiers that cross process boundaries.
//!
//! The id of a job is a hash of its customer and of its idempotency key or
//! content, so a job that is sent again gets the same id at any daemon. The
//! ids of files and jobs contain their shard number, and the shard of a call is
//! computed from its id, so that any daemon can find the stream with their
//! records. File and job ids have a text form with a prefix, which callers see.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::hash;

/// Id of one run of a daemon: instance name and start time, so that a restarted daemon has a
/// new id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Daemon(pub CompactString);

impl Daemon {
    /// Returns the id as bytes, for hashing.
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

/// Bit that is set in the numbers of shards for engine orders.
const ORDERS_BIT: u16 = 1 << 15;

/// Number of a shard: below `log.shards` of the document for jobs and calls, 2^15 or more for
/// engine orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(pub u16);

impl Shard {
    /// Maps a hash to one of `shards` shards.
    #[must_use]
    pub fn from_hash(hash: u128, shards: u16) -> Self {
        Self((hash % u128::from(shards.max(1))) as u16)
    }

    /// Shard for the orders to the engines of a data centre.
    ///
    /// Its number is above those of all job shards, as the document allows at
    /// most 4095 of them.
    #[must_use]
    pub fn orders(data_centre: &str) -> Self {
        let hash = hash::hash_parts(&[data_centre.as_bytes()]);
        Self(ORDERS_BIT | (hash as u16 & !ORDERS_BIT))
    }

    /// Whether the shard is for engine orders.
    #[must_use]
    pub fn is_orders(self) -> bool {
        self.0 & ORDERS_BIT != 0
    }

    /// Name of the log stream with the shard's records.
    #[must_use]
    pub fn record_stream(self) -> String {
        format!("shard-{:03}", self.0)
    }

    /// Name of the log stream with the shard's batch input.
    #[must_use]
    pub fn input_stream(self) -> String {
        format!("bodies-{:03}", self.0)
    }

    /// Name of the log stream with the shard's snapshots.
    #[must_use]
    pub fn snapshot_stream(self) -> String {
        format!("snapshots-{:03}", self.0)
    }
}

/// Ownership epoch of a shard, which is also its owner's fencing token.
///
/// The epoch is the offset of the owner's claim plus 1; 0 means that the shard
/// was never claimed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

macro_rules! sharded_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name {
            /// Shard that holds the records.
            pub shard: Shard,
            /// Hash of the identified object's content or key.
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

sharded_id! {
    /// Id of a batch input file.
    File, "file-"
}
sharded_id! {
    /// Id of a batch job.
    Job, "batch_"
}

impl Job {
    /// Derives the id of a job from the customer and an idempotency key.
    ///
    /// The shard depends only on these two, so all requests with the same key
    /// reach the same shard and duplicates are detected there.
    #[must_use]
    pub fn from_idempotency_key(customer: &str, key: &str, shards: u16) -> Self {
        let hash = hash::hash_parts(&[b"job key", customer.as_bytes(), key.as_bytes()]);
        Self {
            shard: Shard::from_hash(hash, shards),
            hash,
        }
    }

    /// Derives the id of a job without an idempotency key from the customer, the input file
    /// and the API path.
    #[must_use]
    pub fn from_content(customer: &str, file: File, endpoint: &str) -> Self {
        let hash = hash::hash_parts(&[
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

/// Item of a job, identified by the position of its line in the input, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Item(pub u32);

/// Id of a call that has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call(pub u128);

impl Call {
    /// Derives the id of a call from the customer, the service and an idempotency key.
    #[must_use]
    pub fn from_idempotency_key(customer: &str, service: &str, key: &str) -> Self {
        Self(hash::hash_parts(&[
            b"call",
            customer.as_bytes(),
            service.as_bytes(),
            key.as_bytes(),
        ]))
    }

    /// Shard that holds the call's records; its owner runs the call at most once.
    #[must_use]
    pub fn shard(self, shards: u16) -> Shard {
        Shard::from_hash(self.0, shards)
    }
}
