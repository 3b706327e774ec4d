//! Choice of the subset of a pool's servers that an entry follows, which bounds the cost of load
//! reports.

use std::time;

use crate::ids;

/// A server that may be followed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: ids::ServerName,
    /// Availability zone.
    pub zone: ids::ZoneName,
}

/// Share of a subset that is kept for other availability zones, as a divisor.
const REMOTE_DIVISOR: usize = 3;
/// Bytes of a load request and its report, IP and UDP headers included.
const EXCHANGE_BYTES: u64 = 150;
/// Bytes per second that the load requests and reports of one entry may use.
const MAX_BYTES_PER_SECOND: u64 = 4_000;
/// Shortest time between two load requests to a server.
const MIN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Chooses at most `size` servers for `entry`, most of them in its availability zone.
///
/// Each entry ranks the servers by a hash of both names (rendezvous hashing), so that followers
/// spread over all servers without coordination, and few choices change when servers are added or
/// removed.
pub fn choose(
    entry: &str,
    zone: &str,
    candidates: &[Candidate],
    size: usize,
) -> Vec<ids::ServerName> {
    let weight = |name: &str| ids::digest(&[entry.as_bytes(), name.as_bytes()]);
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|candidate| candidate.zone == zone);
    local.sort_by_key(|candidate| weight(&candidate.name));
    remote.sort_by_key(|candidate| weight(&candidate.name));
    let remote_count = (size / REMOTE_DIVISOR).min(remote.len());
    let local_count = (size - remote_count).min(local.len());
    let chosen = local[..local_count].iter().chain(&remote);
    chosen.take(size).map(|candidate| candidate.name.clone()).collect()
}

/// Time between two load requests to a server, if `followed` servers are followed.
pub fn period(followed: usize) -> time::Duration {
    let millis = followed as u64 * EXCHANGE_BYTES * 1000 / MAX_BYTES_PER_SECOND;
    time::Duration::from_millis(millis).max(MIN_PERIOD)
}
