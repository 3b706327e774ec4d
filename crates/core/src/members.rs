//! Membership: the live peers of an entry, and the number of entries that share the fleet's
//! budgets.

use std::{collections, net, time};

use crate::ids;

/// One peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: ids::Incarnation,
    seq: u64,
    seen_at: time::Instant,
}

/// Peers of an entry.
#[derive(Clone, Debug, Default)]
pub struct Members {
    peers: collections::BTreeMap<net::IpAddr, Peer>,
    // Addresses that may be peers, and when they expire.
    candidates: collections::BTreeMap<net::IpAddr, time::Instant>,
    // Numbers of live entries in the window, without those that a later one equals or exceeds; the
    // first is therefore the largest.
    counts: collections::VecDeque<(time::Instant, u32)>,
    // When the last peer joined or restarted.
    joined_at: Option<time::Instant>,
}

/// A peer is live for this long after its last heartbeat.
const PEER_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Time for which heartbeats are sent to a candidate address after it was announced.
const CANDIDATE_TTL: time::Duration = time::Duration::from_secs(10);
/// Window whose largest number of live entries shares the budgets: entries that became unresponsive
/// may still spend from them.
const COUNT_WINDOW: time::Duration = time::Duration::from_secs(20);
/// Maximum number of peers with which one entry exchanges its state.
pub const MAX_PEERS: usize = 40;
/// Peers that one message announces: with [`MAX_PEERS`] and three messages per second, all are
/// announced within about a third of [`CANDIDATE_TTL`].
const ANNOUNCED: usize = 4;
/// Time for which each message announces all peers after one has joined, about three messages. The
/// new peer thus learns early how many entries share the budgets.
const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);

impl Members {
    /// Adds an address at which a peer may be reached.
    pub fn add_candidate(&mut self, ip: net::IpAddr, now: time::Instant) {
        self.candidates.insert(ip, now + CANDIDATE_TTL);
    }

    /// Records a heartbeat; false if it is not newer than the last one of the same process.
    pub fn record_heartbeat(
        &mut self,
        ip: net::IpAddr,
        incarnation: ids::Incarnation,
        seq: u64,
        now: time::Instant,
    ) -> bool {
        let known = self.peers.get(&ip);
        if known.is_some_and(|peer| peer.incarnation == incarnation && peer.seq >= seq) {
            return false;
        }
        if known.is_none_or(|peer| peer.incarnation != incarnation) {
            self.joined_at = Some(now);
        }
        self.peers.insert(ip, Peer { incarnation, seq, seen_at: now });
        true
    }

    /// Addresses of the live peers.
    pub fn live(&self, now: time::Instant) -> impl Iterator<Item = net::IpAddr> {
        let is_live = move |peer: &Peer| now <= peer.seen_at + PEER_TIMEOUT;
        self.peers.iter().filter(move |(_, peer)| is_live(peer)).map(|(ip, _)| *ip)
    }

    /// Peers to announce in message `seq`: a few of the live ones in rotation, or all shortly after
    /// one has joined.
    pub fn announced(&self, seq: u64, now: time::Instant) -> Vec<net::IpAddr> {
        let live: Vec<_> = self.live(now).collect();
        if self.joined_at.is_some_and(|at| now <= at + JOIN_PERIOD) {
            return live;
        }
        let start = (seq as usize).wrapping_mul(ANNOUNCED) % live.len().max(1);
        live.iter().cycle().skip(start).take(ANNOUNCED.min(live.len())).copied().collect()
    }

    /// Addresses to send heartbeats to: live peers first, then candidates, at most [`MAX_PEERS`].
    pub fn targets(&self, now: time::Instant) -> collections::BTreeSet<net::IpAddr> {
        let candidates =
            self.candidates.iter().filter(|(_, until)| now <= **until).map(|(ip, _)| *ip);
        self.live(now).chain(candidates).take(MAX_PEERS).collect()
    }

    /// Number of entries that share the fleet's budgets, this one included.
    pub fn count(&mut self, now: time::Instant) -> u32 {
        let live = self.live(now).count() as u32 + 1;
        while self.counts.front().is_some_and(|(at, _)| *at + COUNT_WINDOW < now) {
            self.counts.pop_front();
        }
        while self.counts.back().is_some_and(|(_, count)| *count <= live) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, live));
        self.peers.retain(|_, peer| now <= peer.seen_at + COUNT_WINDOW);
        self.candidates.retain(|_, until| now <= *until);
        self.counts.front().map_or(live, |(_, count)| *count)
    }
}
