//! A peer that knows more of the store than this entry, and since when.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_platform::store;

/// How much of the store is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Known {
    /// Version of the config in force; 0 if there is none.
    pub(crate) config: ids::ListVersion,
    /// Version of the store up to which the servers are known.
    pub(crate) servers: store::Version,
}

impl Known {
    /// Whether `other` has something that is not in this.
    pub(crate) fn lacks(&self, other: &Known) -> bool {
        other.config > self.config || other.servers > self.servers
    }
}

/// The newest that a peer has told.
#[derive(Clone, Copy, Debug)]
struct Peer {
    ip: net::IpAddr,
    known: Known,
    since: time::Instant,
}

/// The peer that is ahead, if any.
#[derive(Debug, Default)]
pub(crate) struct Ahead {
    peer: Option<Peer>,
}

/// The store's feed tells a change to all within milliseconds. Where peers have had it for this
/// long, the feed is silent; config changes are due after 3 s.
const SILENCE: time::Duration = time::Duration::from_millis(750);
/// A store that had nothing new when it was asked again is left alone for this long.
const ASK_AGAIN: time::Duration = time::Duration::from_secs(5);

impl Ahead {
    /// Notes what a peer knows, which `own` lacks.
    pub(crate) fn note(&mut self, ip: net::IpAddr, known: Known, own: &Known, now: time::Instant) {
        let still = self.peer.filter(|peer| own.lacks(&peer.known));
        let since = still.map_or(now, |peer| peer.since);
        self.peer = Some(Peer { ip, known, since });
    }

    /// Address of the peer, while `own` lacks what it knows.
    pub(crate) fn address(&mut self, own: &Known) -> Option<net::IpAddr> {
        self.peer = self.peer.filter(|peer| own.lacks(&peer.known));
        self.peer.map(|peer| peer.ip)
    }

    /// Whether the store is to be asked again, since the peer has been ahead for too long.
    pub(crate) fn is_overdue(&mut self, now: time::Instant) -> bool {
        let Some(peer) = self.peer.as_mut().filter(|peer| now >= peer.since + SILENCE) else {
            return false;
        };
        peer.since = now + ASK_AGAIN - SILENCE;
        true
    }
}
