//! Numbers of connections and calls for which an instance has memory.

use crate::buffer;

/// What an entry admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Capacity {
    /// Connections of callers.
    pub(crate) connections: usize,
    /// Requests in progress; further ones are refused.
    pub(crate) calls: u64,
}

impl Capacity {
    /// Memory of requests in progress, in bytes.
    pub(crate) fn call_bytes(self) -> usize {
        (self.calls * CALL_BYTES) as usize
    }

    /// Requests that may be in progress while long bodies of requests take so many bytes.
    pub(crate) fn calls_beside(self, bytes: usize) -> u64 {
        self.calls.saturating_sub((bytes as u64).div_ceil(CALL_BYTES))
    }
}

/// Largest number of connections of callers; leaves file descriptors for servers and the store.
const MAX_CONNECTIONS: u64 = 2_000;
/// Memory of the instance for each connection that is admitted, in bytes.
const CONNECTION_SHARE: u64 = 88 * 1024;
/// Memory of a connection of a caller, in bytes.
const CONNECTION_BYTES: u64 = 16 * 1024;
/// Memory of one call besides, in bytes: the buffers of the connection to its server, the request, a small
/// answer, and what the allocator keeps of it.
const CALL_BYTES: u64 = 64 * 1024;
/// Memory of a process without calls, in bytes: the config, the servers, the peers and the log.
const BASE_BYTES: u64 = 16 * 1024 * 1024;
/// Least numbers, for instances with less memory than the smallest one.
const MIN_CONNECTIONS: u64 = 200;
const MIN_CALLS: u64 = 100;

impl Capacity {
    /// Capacity of an instance with `memory` bytes, of which a tenth is kept free.
    pub(crate) fn new(memory: u64) -> Capacity {
        let connections = (memory / CONNECTION_SHARE).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        let taken =
            memory / 10 + BASE_BYTES + buffer::LARGE_BYTES as u64 + connections * CONNECTION_BYTES;
        let calls = (memory.saturating_sub(taken) / CALL_BYTES).max(MIN_CALLS);
        Capacity { connections: connections as usize, calls }
    }
}
