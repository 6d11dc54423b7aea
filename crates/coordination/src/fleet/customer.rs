//! Customers of a manifest, their keys and their quotas.
//!
//! A request names its customer by a key. The keys themselves are not kept: the table
//! holds 128 bits of a cryptographic hash of each, so that neither a log line nor a dump
//! of the table shows one, and no client can make a key that equals another one here.

use std::collections::HashMap;
use std::sync::LazyLock;

use bitterncart_protocol::hash::{self, Key as HashKey};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::peers::short_hash;

static KEY: LazyLock<HashKey> =
    LazyLock::new(|| HashKey::for_purpose("bitterncart 2026 key of a customer"));

new_key_type! {
    /// Key of a customer in the table of one manifest.
    pub struct Key;
}

/// Fingerprint of a customer's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credential(u128);

impl Credential {
    /// Fingerprint of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(hash::keyed_hash_parts(&KEY, &[key]))
    }
}

/// Requests that a customer may send to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestQuota {
    /// Rate, in requests in 1,000 seconds.
    pub per_1000_s: u64,
    /// Requests beyond the rate that may be sent at once.
    pub burst: u64,
}

/// Customer of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name, as replicas get it.
    pub name: CompactString,
    /// Priority, which replaces that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Quota; `None` for no limit.
    pub quota: Option<RequestQuota>,
}

impl Customer {
    /// Short id in datagrams.
    #[must_use]
    pub fn short_hash(&self) -> u32 {
        short_hash(&[self.name.as_bytes()])
    }
}

/// Customers of one manifest, by their keys.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Customers {
    customers: SlotMap<Key, Customer>,
    by_credential: HashMap<Credential, Key>,
}

impl Customers {
    /// Adds a customer with its keys.
    ///
    /// # Errors
    ///
    /// The name of the customer that has one of the keys already.
    pub fn insert<'a>(
        &mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), CompactString> {
        let credentials: Vec<Credential> = keys
            .into_iter()
            .map(|key| Credential::of(key.as_bytes()))
            .collect();
        let taken = credentials.iter().find_map(|c| self.by_credential.get(c));
        if let Some(other) = taken {
            return Err(self.customers[*other].name.clone());
        }
        let key = self.customers.insert(customer);
        self.by_credential
            .extend(credentials.into_iter().map(|credential| (credential, key)));
        Ok(())
    }

    /// Customer that has a key.
    #[must_use]
    pub fn find(&self, credential: Credential) -> Option<&Customer> {
        self.customers.get(*self.by_credential.get(&credential)?)
    }

    /// Customer with a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Customer> {
        self.iter().find(|customer| customer.name == name)
    }

    /// All customers, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Customer> {
        self.customers.values()
    }
}

impl PartialEq for Customers {
    fn eq(&self, other: &Self) -> bool {
        let holders = |table: &Self| -> HashMap<Credential, Customer> {
            let keys = table.by_credential.iter();
            keys.map(|(credential, key)| (*credential, table.customers[*key].clone()))
                .collect()
        };
        self.customers.len() == other.customers.len() && holders(self) == holders(other)
    }
}

impl Eq for Customers {}
