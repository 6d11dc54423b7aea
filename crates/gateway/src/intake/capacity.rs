//! Number of connections, and memory of incomplete heads, that an address may have.

use rustix::process::{Resource, getrlimit};

/// Descriptors that are left for files, listening sockets and the datagram socket.
pub const RESERVED_FDS: usize = 200;

/// Memory that an open connection takes without its head: buffers of the HTTP library and the
/// state of its task, rounded up.
const CONNECTION_BYTES: usize = 32 << 10;

/// Part of the memory of the process that connections may take: one in this many bytes.
const CONNECTIONS_MEMORY_DIVISOR: usize = 4;

/// Part of the memory of the process that incomplete heads may take, likewise.
const HEADS_MEMORY_DIVISOR: usize = 16;

/// Minimum memory for incomplete heads, so that a few of any permitted size fit.
const MIN_HEADS_BYTES: usize = 1 << 20;

/// Minimum number of connections from clients and from peers.
const MIN_CONNECTIONS: usize = 16;

/// Number of connections for readiness checks, and for metrics.
const CHECK_CONNECTIONS: usize = 32;

/// Maximum number of connections from clients and from peers.
const MAX_CONNECTIONS: usize = 4000;

/// Capacity of one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of all incomplete heads together, in bytes.
    pub head_bytes: usize,
}

impl Capacity {
    /// Capacity for clients: three eighths of the descriptors that are left for sockets, as a
    /// request may need another one for its replica.
    #[must_use]
    pub fn of_clients(memory_bytes: usize, max_fds: usize) -> Self {
        Self::of_share(memory_bytes, max_fds, 3)
    }

    /// Capacity for peers: one eighth, as each of their connections may be relayed.
    #[must_use]
    pub fn of_peers(memory_bytes: usize, max_fds: usize) -> Self {
        Self::of_share(memory_bytes, max_fds, 1)
    }

    /// Capacity for readiness checks or metrics.
    #[must_use]
    pub fn of_checks() -> Self {
        Self {
            connections: CHECK_CONNECTIONS,
            head_bytes: MIN_HEADS_BYTES,
        }
    }

    fn of_share(memory_bytes: usize, max_fds: usize, eighths: usize) -> Self {
        let by_fds = max_fds.saturating_sub(RESERVED_FDS) * eighths / 8;
        let by_memory = memory_bytes / CONNECTIONS_MEMORY_DIVISOR / CONNECTION_BYTES;
        Self {
            connections: by_fds
                .min(by_memory)
                .clamp(MIN_CONNECTIONS, MAX_CONNECTIONS),
            head_bytes: (memory_bytes / HEADS_MEMORY_DIVISOR).max(MIN_HEADS_BYTES),
        }
    }
}

/// Descriptors that the process may have: the setting, or less if the system permits less.
#[must_use]
pub fn available_fds(max_fds: usize) -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let limit = limit.and_then(|limit| usize::try_from(limit).ok());
    limit.map_or(max_fds, |limit| limit.min(max_fds))
}
