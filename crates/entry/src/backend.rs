//! How a server is reached: one connection to the agent of each, opened on first use.

use std::{collections, net, sync, sync::atomic};

use rhubarb_core::ids;
use rhubarb_node::locks;
use rhubarb_wire::message;

use crate::{connector, directory, peer};

/// Connections of an entry to agents.
#[derive(Debug)]
pub(crate) struct Backend {
    identity: sync::Arc<connector::Identity>,
    directory: sync::Arc<directory::Directory>,
    peers: sync::Mutex<collections::BTreeMap<ids::ServerName, peer::Peer>>,
    seq: atomic::AtomicU64,
}

impl Backend {
    pub(crate) fn new(
        identity: connector::Identity,
        directory: sync::Arc<directory::Directory>,
    ) -> Backend {
        Backend {
            identity: sync::Arc::new(identity),
            directory,
            peers: sync::Mutex::default(),
            seq: atomic::AtomicU64::new(1),
        }
    }

    pub(crate) fn incarnation(&self) -> ids::Incarnation {
        self.identity.incarnation
    }

    /// Id for a new attempt.
    pub(crate) fn next_run(&self) -> ids::RunId {
        ids::run_id(self.incarnation(), self.seq.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Connection to the agent of `server`; `None` if its address is not known.
    pub(crate) fn peer(&self, server: &str) -> Option<peer::Peer> {
        let address = self.directory.view().address(server)?;
        let mut peers = locks::lock(&self.peers);
        if let Some(peer) = peers.get(server).filter(|peer| peer.address == address) {
            return Some(peer.clone());
        }
        let (identity, directory) = (self.identity.clone(), self.directory.clone());
        let peer = peer::Peer::open(identity, directory, server, address);
        peers.insert(server.to_string(), peer.clone());
        Some(peer)
    }

    /// Drops the connections to the agents of servers that are no longer listed.
    pub(crate) fn drop_old(&self) {
        let known: collections::BTreeSet<_> =
            self.directory.view().instances.keys().cloned().collect();
        locks::lock(&self.peers).retain(|name, _| known.contains(name));
    }

    /// Asks the agent at `address` for its service list.
    pub(crate) async fn fetch_list(&self, address: net::SocketAddr) -> Option<message::ListCopy> {
        connector::fetch_list(&self.identity, address).await
    }
}
