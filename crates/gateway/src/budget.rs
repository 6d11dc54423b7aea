//! Memory for what other processes send and a daemon keeps: bodies that are being read, events
//! and pages of results that wait for slow clients, and outputs of items.
//!
//! Small answers have a part of the budget to themselves, so that a few large ones do
//! not end the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Maximum size of a small answer, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;

/// Part of the budget that is left to small answers: one in this many bytes.
const SMALL_DIVISOR: usize = 4;

/// Bytes from which an event that waits for a client is counted by itself.
const LARGE_EVENT_BYTES: usize = 4 << 10;

/// Share of the memory of the process that answers of replicas may take: one in this many
/// bytes.
const MEMORY_DIVISOR: usize = 4;

/// Likewise for the answers of the store, and for the bodies of requests.
const CALLS_MEMORY_DIVISOR: usize = 8;

/// Share of the memory of the process that accepted jobs may take: one in this many bytes.
const JOBS_MEMORY_DIVISOR: usize = 8;

/// Memory that the items and results of jobs may take for one more to be accepted, in bytes.
#[must_use]
pub fn max_job_bytes(memory_bytes: usize) -> usize {
    memory_bytes / JOBS_MEMORY_DIVISOR
}

/// Memory that the answers, or requests, of one kind may take together.
#[derive(Clone, Debug)]
pub struct Budget {
    kept: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Budget {
    /// Budget for the answers of replicas and peers and for pages of results, in a process with
    /// a limit of its memory, in bytes.
    #[must_use]
    pub fn of_memory(memory_bytes: usize) -> Self {
        Self::new(memory_bytes / MEMORY_DIVISOR)
    }

    /// Budget for the answers of the store, or for the bodies of requests, in a process with a
    /// limit of its memory, in bytes.
    #[must_use]
    pub fn of_calls(memory_bytes: usize) -> Self {
        Self::new(memory_bytes / CALLS_MEMORY_DIVISOR)
    }

    fn new(max_bytes: usize) -> Self {
        Self {
            kept: Arc::default(),
            max_bytes,
        }
    }

    /// Bytes kept now.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.kept.load(Ordering::Relaxed)
    }

    /// Maximum of all that is kept if an answer grows to a size, in bytes.
    fn max_bytes_for(&self, size: usize) -> usize {
        match size {
            0..=SMALL_BYTES => self.max_bytes,
            _ => self.max_bytes - self.max_bytes / SMALL_DIVISOR,
        }
    }

    /// Bytes that a large answer may still take.
    #[must_use]
    pub fn room(&self) -> usize {
        self.max_bytes_for(usize::MAX).saturating_sub(self.kept())
    }

    /// Share of an answer that keeps nothing yet.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// What one answer keeps; it is given back on drop.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    bytes: usize,
}

impl Share {
    /// Sets what the answer keeps; `false` if the budget is spent. The bytes count in
    /// both cases, until the caller drops them with this share.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let kept = &self.budget.kept;
        if bytes <= self.bytes {
            kept.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let before = kept.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        let all = before + bytes - self.bytes;
        self.bytes = bytes;
        all <= self.budget.max_bytes_for(bytes)
    }

    /// Sets what the answer keeps if the budget has room; `false` if it is spent, and the share
    /// is as before.
    #[must_use]
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let before = self.bytes;
        let is_within = self.resize(bytes);
        if !is_within {
            self.resize(before);
        }
        is_within
    }

    /// Counts an event that leaves the buffer of its answer until its last use.
    #[must_use]
    pub fn hold(&self, bytes: Bytes) -> Bytes {
        if bytes.len() < LARGE_EVENT_BYTES {
            return bytes;
        }
        let mut share = self.budget.share();
        // It was counted as a part of the buffer before.
        let _is_within = share.resize(bytes.len());
        Bytes::from_owner(Held {
            bytes,
            _share: share,
        })
    }

    /// Counts a complete body until its last use.
    #[must_use]
    pub fn into_held(self, bytes: Bytes) -> Bytes {
        if bytes.len() < LARGE_EVENT_BYTES {
            return bytes;
        }
        Bytes::from_owner(Held {
            bytes,
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.kept.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with their share.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
