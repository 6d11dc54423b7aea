//! Body that is being read, with what it takes of a budget.
//!
//! All that is allocated counts, not only what has arrived. A body grows by half at a time,
//! and not beyond the length that it states.

use bytes::Bytes;

use crate::budget::{Budget, Share};

/// Body that is being read.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    share: Share,
    /// Stated length of the body, in bytes.
    expected: Option<usize>,
}

impl Buffer {
    /// Empty buffer for a body that states its length, or does not.
    #[must_use]
    pub fn new(budget: &Budget, expected: Option<u64>) -> Self {
        Self {
            bytes: Vec::new(),
            share: budget.share(),
            expected: expected.and_then(|length| usize::try_from(length).ok()),
        }
    }

    /// Number of bytes that have been read.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been read.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes; `false` if the budget is spent. They are not appended then.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let grown = length.max(self.bytes.len() + self.bytes.len() / 2);
            let capacity = self
                .expected
                .map_or(grown, |all| grown.min(all.max(length)));
            if !self.share.try_resize(capacity) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// The whole body, which counts until its last use.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        // It is not larger than before.
        let _is_within = self.share.resize(self.bytes.len());
        self.share.into_held(self.bytes.into())
    }
}
