//! Which servers of a pool an entry follows, so that its control costs stay bounded.

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
const AWAY_DIVISOR: usize = 3;
/// Bytes of a load request and its report, IP and UDP headers included.
const EXCHANGE_BYTES: u64 = 150;
/// Bytes a second that the exchanges of one entry may take.
const BYTES_A_SECOND: u64 = 4_000;
const MIN_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Chooses at most `size` servers for `entry`, those in its availability zone first.
///
/// Each entry ranks the servers by a hash of both names, so that followers spread over all
/// servers without messages, and few choices change when servers come and go.
pub fn choose(
    entry: &str,
    zone: &str,
    candidates: &[Candidate],
    size: usize,
) -> Vec<ids::ServerName> {
    let weight = |name: &str| ids::digest(&[entry.as_bytes(), name.as_bytes()]);
    let (mut near, mut away): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|candidate| candidate.zone == zone);
    near.sort_by_key(|candidate| weight(&candidate.name));
    away.sort_by_key(|candidate| weight(&candidate.name));
    let kept_away = (size / AWAY_DIVISOR).min(away.len());
    let take_near = (size - kept_away).min(near.len());
    let chosen = near[..take_near].iter().chain(&away);
    chosen.take(size).map(|candidate| candidate.name.clone()).collect()
}

/// Time between two load requests to each of `followed` servers.
pub fn period(followed: usize) -> time::Duration {
    let millis = followed as u64 * EXCHANGE_BYTES * 1000 / BYTES_A_SECOND;
    time::Duration::from_millis(millis).max(MIN_PERIOD)
}
