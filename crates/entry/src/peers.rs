//! Connections to agents, one for each server, opened on first use.

use std::{collections, net, sync, sync::atomic};

use rhubarb_core::ids;
use rhubarb_node::locks;
use rhubarb_wire::message;

use crate::{connector, directory, peer};

/// Connections of the entry to agents.
#[derive(Debug)]
pub(crate) struct Peers {
    identity: sync::Arc<connector::Identity>,
    directory: sync::Arc<directory::Directory>,
    peers: sync::Mutex<collections::BTreeMap<ids::ServerName, peer::Peer>>,
    next_seq: atomic::AtomicU64,
}

impl Peers {
    pub(crate) fn new(
        identity: connector::Identity,
        directory: sync::Arc<directory::Directory>,
    ) -> Peers {
        Peers {
            identity: sync::Arc::new(identity),
            directory,
            peers: sync::Mutex::default(),
            next_seq: atomic::AtomicU64::new(1),
        }
    }

    pub(crate) fn incarnation(&self) -> ids::Incarnation {
        self.identity.incarnation
    }

    /// Returns the id of a new run.
    pub(crate) fn next_run_id(&self) -> ids::RunId {
        ids::run_id(self.incarnation(), self.next_seq.fetch_add(1, atomic::Ordering::Relaxed))
    }

    /// Returns the connection to the agent of `server`; `None` if its address is not known.
    pub(crate) fn get(&self, server: &str) -> Option<peer::Peer> {
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

    /// Drops the connections to servers that are no longer in the instance list.
    pub(crate) fn drop_unlisted(&self) {
        let listed: collections::BTreeSet<_> =
            self.directory.view().instances.keys().cloned().collect();
        locks::lock(&self.peers).retain(|name, _| listed.contains(name));
    }

    /// Requests the service list from the agent at `address`.
    pub(crate) async fn fetch_list(&self, address: net::SocketAddr) -> Option<message::ListCopy> {
        connector::fetch_list(&self.identity, address).await
    }
}
