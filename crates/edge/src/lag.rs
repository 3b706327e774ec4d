//! Detects that a peer has newer rows of the store than this entry, and for how long.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_platform::store;

/// Versions of the config and the servers that an entry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Versions {
    /// Version of the config in use; 0 without a config.
    pub(crate) config: ids::ListVersion,
    /// Store version as of which the servers' rows are known.
    pub(crate) servers: store::Version,
}

impl Versions {
    /// Whether `other` is newer in the config or the servers.
    pub(crate) fn lags_behind(&self, other: &Versions) -> bool {
        other.config > self.config || other.servers > self.servers
    }
}

/// A peer with newer rows.
#[derive(Clone, Copy, Debug)]
struct Peer {
    ip: net::IpAddr,
    versions: Versions,
    since: time::Instant,
}

/// How far this entry lags behind its peers.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    peer: Option<Peer>,
}

/// Lag behind a peer after which the store's feed counts as stalled. The feed delivers a change to
/// all entries within milliseconds, and a config change is due within 3 s.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(750);
/// Interval between reads of the whole tables while the feed stays stalled.
const REREAD_INTERVAL: time::Duration = time::Duration::from_secs(5);

impl Lag {
    /// Records the versions of a peer behind which `own` lags.
    pub(crate) fn record(
        &mut self,
        ip: net::IpAddr,
        versions: Versions,
        own: &Versions,
        now: time::Instant,
    ) {
        let current = self.peer.filter(|peer| own.lags_behind(&peer.versions));
        let since = current.map_or(now, |peer| peer.since);
        self.peer = Some(Peer { ip, versions, since });
    }

    /// Address of the peer, while `own` lags behind it.
    pub(crate) fn address(&mut self, own: &Versions) -> Option<net::IpAddr> {
        self.peer = self.peer.filter(|peer| own.lags_behind(&peer.versions));
        self.peer.map(|peer| peer.ip)
    }

    /// Whether the store's feed counts as stalled and the tables are to be read again; true once
    /// per [`REREAD_INTERVAL`] while the same lag lasts.
    pub(crate) fn check_stall(&mut self, now: time::Instant) -> bool {
        let Some(peer) = self.peer.as_mut().filter(|peer| now >= peer.since + STALL_TIMEOUT) else {
            return false;
        };
        peer.since = now + REREAD_INTERVAL - STALL_TIMEOUT;
        true
    }
}
