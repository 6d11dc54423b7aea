//! Stable hashes, which every daemon computes with the same result.
//!
//! Ids, shard numbers and the assignment of owners depend on these hashes, so
//! their values must not change between versions. Assignment uses rendezvous
//! (highest random weight) hashing: when a member joins or leaves, only the
//! keys that it gains or loses change their owner.

use blake3::Hasher;

/// Hashes several parts; a length prefix on each keeps different splits of the same bytes
/// distinct.
///
/// ```
/// use bitterncart_protocol::hash;
///
/// assert_ne!(hash::hash_parts(&[b"ab", b"c"]), hash::hash_parts(&[b"a", b"bc"]));
/// ```
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u128 {
    finish_parts(Hasher::new(), parts)
}

/// Hashes several parts like [`hash_parts`], in the domain of a key.
#[must_use]
pub fn keyed_hash_parts(key: &Key, parts: &[&[u8]]) -> u128 {
    finish_parts(Hasher::new_keyed(&key.0), parts)
}

/// Key of [`keyed_hash_parts`].
#[derive(Clone, Debug)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Key of a purpose, which no other one may use.
    #[must_use]
    pub fn for_purpose(purpose: &str) -> Self {
        Self(blake3::derive_key(purpose, &[]))
    }
}

fn finish_parts(mut hasher: Hasher, parts: &[&[u8]]) -> u128 {
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let bytes = hasher.finalize();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&bytes.as_bytes()[..16]);
    u128::from_le_bytes(truncated)
}

/// Hex digest of a text, used to compare documents and API keys.
#[must_use]
pub fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex().to_string()
}

/// Rendezvous score of a member for a key; the highest score owns the key.
#[must_use]
pub fn rendezvous_score(key: &[u8], member: &[u8]) -> u64 {
    (hash_parts(&[key, member]) >> 64) as u64
}

/// Returns the member with the highest rendezvous score for `key`; `None` without members.
pub fn rendezvous<'a, T: ?Sized + AsRef<[u8]>>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    members
        .into_iter()
        .max_by_key(|member| rendezvous_score(key, (*member).as_ref()))
}
