//! Detects that a peer has newer rows of the store than this entry, and for how long.

use std::{net, time};

use rhubarb_core::ids;
use rhubarb_platform::store;

use crate::tables;

/// Versions of the config and the servers that an entry has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Versions {
    /// Version of the config in use; 0 without a config.
    pub(crate) config: ids::ListVersion,
    /// Store version as of which the servers' rows are known.
    pub(crate) servers: store::Version,
}

impl Versions {
    /// Whether all that `other` has is known.
    pub(crate) fn knows(&self, other: &Versions) -> tables::Known {
        tables::Known {
            config: other.config <= self.config,
            servers: other.servers <= self.servers,
        }
    }

    /// Whether `other` is newer in the config or the servers.
    pub(crate) fn lags_behind(&self, other: &Versions) -> bool {
        let known = self.knows(other);
        !known.config || !known.servers
    }
}

/// A peer with newer rows.
#[derive(Clone, Copy, Debug)]
struct Peer {
    ip: net::IpAddr,
    versions: Versions,
}

/// How far this entry lags behind its peers.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    peer: Option<Peer>,
    // When the tables may be read again because the feed is stalled.
    reread_at: Option<time::Instant>,
}

/// Interval between reads of the whole tables while the feed stays stalled.
const REREAD_INTERVAL: time::Duration = time::Duration::from_secs(5);

impl Lag {
    /// Records the versions of a peer behind which this entry lags.
    pub(crate) fn record(&mut self, ip: net::IpAddr, versions: Versions) {
        self.peer = Some(Peer { ip, versions });
    }

    /// Address of the peer, while `own` lags behind it.
    pub(crate) fn address(&mut self, own: &Versions) -> Option<net::IpAddr> {
        self.peer = self.peer.filter(|peer| own.lags_behind(&peer.versions));
        self.peer.map(|peer| peer.ip)
    }

    /// Whether the tables are to be read again, since the feed is stalled; true once per
    /// [`REREAD_INTERVAL`].
    pub(crate) fn check_reread(&mut self, now: time::Instant) -> bool {
        let is_due = self.reread_at.is_none_or(|at| now >= at);
        if is_due {
            self.reread_at = Some(now + REREAD_INTERVAL);
        }
        is_due
    }
}
