//! Other entries that one entry hears, and how many share the fleet's budgets.

use std::{collections, net, time};

use crate::ids;

/// One peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    incarnation: ids::Incarnation,
    seq: u64,
    heard_at: time::Instant,
}

/// Peers of an entry.
#[derive(Clone, Debug, Default)]
pub struct Members {
    heard: collections::BTreeMap<net::IpAddr, Peer>,
    // Addresses to try, with the time until which they are tried.
    hoped: collections::BTreeMap<net::IpAddr, time::Instant>,
    counts: collections::VecDeque<(time::Instant, u32)>,
    joined_at: Option<time::Instant>,
}

/// A peer is part of the fleet for this long after it was heard.
const SILENCE: time::Duration = time::Duration::from_secs(3);
/// An address is tried for this long after it was named.
const HOPE: time::Duration = time::Duration::from_secs(10);
/// Entries that went silent may still spend: the largest number of this long counts.
const COUNT_WINDOW: time::Duration = time::Duration::from_secs(20);
/// Most peers that one entry exchanges its state with.
pub const MAX_PEERS: usize = 40;
/// Peers that one message names: with [`MAX_PEERS`] and three messages a second all are named
/// within a third of [`HOPE`].
const NAMED: usize = 4;
/// All peers are named for this long after one has joined, so that it knows soon how many share
/// the budgets: three messages.
const JOIN_TIME: time::Duration = time::Duration::from_secs(1);

impl Members {
    /// Notes that an instance may be reached at `ip`.
    pub fn add_candidate(&mut self, ip: net::IpAddr, now: time::Instant) {
        self.hoped.insert(ip, now + HOPE);
    }

    /// Takes a sign of life; false for one that is older than what was heard.
    pub fn record_heartbeat(
        &mut self,
        ip: net::IpAddr,
        incarnation: ids::Incarnation,
        seq: u64,
        now: time::Instant,
    ) -> bool {
        let known = self.heard.get(&ip);
        if known.is_some_and(|peer| peer.incarnation == incarnation && peer.seq >= seq) {
            return false;
        }
        if known.is_none_or(|peer| peer.incarnation != incarnation) {
            self.joined_at = Some(now);
        }
        self.heard.insert(ip, Peer { incarnation, seq, heard_at: now });
        true
    }

    /// Peers that were heard lately.
    pub fn live(&self, now: time::Instant) -> impl Iterator<Item = net::IpAddr> {
        let is_alive = move |peer: &Peer| now <= peer.heard_at + SILENCE;
        self.heard.iter().filter(move |(_, peer)| is_alive(peer)).map(|(ip, _)| *ip)
    }

    /// Peers to name in the message number `seq`: a few of the live ones, each in its turn, or all
    /// when one has joined.
    pub fn announced(&self, seq: u64, now: time::Instant) -> Vec<net::IpAddr> {
        let alive: Vec<_> = self.live(now).collect();
        if self.joined_at.is_some_and(|at| now <= at + JOIN_TIME) {
            return alive;
        }
        let from = (seq as usize).wrapping_mul(NAMED) % alive.len().max(1);
        alive.iter().cycle().skip(from).take(NAMED.min(alive.len())).copied().collect()
    }

    /// Addresses to send to: live peers, then those that may be some.
    pub fn targets(&self, now: time::Instant) -> collections::BTreeSet<net::IpAddr> {
        let hoped = self.hoped.iter().filter(|(_, until)| now <= **until).map(|(ip, _)| *ip);
        self.live(now).chain(hoped).take(MAX_PEERS).collect()
    }

    /// Entries that share the fleet's budgets, this one included.
    pub fn count(&mut self, now: time::Instant) -> u32 {
        let alive = self.live(now).count() as u32 + 1;
        while self.counts.front().is_some_and(|(at, _)| *at + COUNT_WINDOW < now) {
            self.counts.pop_front();
        }
        // Kept as a falling series, so that the first one is the largest.
        while self.counts.back().is_some_and(|(_, count)| *count <= alive) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, alive));
        self.heard.retain(|_, peer| now <= peer.heard_at + COUNT_WINDOW);
        self.hoped.retain(|_, until| now <= *until);
        self.counts.front().map_or(alive, |(_, count)| *count)
    }
}
