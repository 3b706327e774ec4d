//! Servers at whose registered addresses others answer: what responses and other entries say.

use std::time;

use hyper::{Response, StatusCode};

use rhubarb_core::misdirected;
use rhubarb_node::clock;

use crate::{directory, edge};

/// Records what a response of any kind says about who answers at the address of `target`.
pub(crate) fn observe<B>(edge: &edge::Edge, target: &directory::Target, response: &Response<B>) {
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    edge.counters.misdirected.inc();
    let mut known = edge.misdirected();
    let is_new = known.suspect(target.place(), clock::now());
    edge.directory().set_misdirected(target.place(), known.is_other(target.place()));
    drop(known);
    let (server, address) = (target.id.as_str(), target.address);
    tracing::info!(server, %address, is_new, "edge: request misdirected");
    if is_new {
        edge.misdirected_changed.notify_one();
    }
}

/// Adds what a peer knows; returns whether anything was new.
pub(crate) fn merge(edge: &edge::Edge, statements: &[misdirected::Statement], peer: &str) -> bool {
    let mut has_changed = false;
    for said in statements {
        let target = edge.directory().target_of(said.place.process);
        let Some(target) = target.filter(|target| target.place() == said.place) else { continue };
        let mut known = edge.misdirected();
        if !known.merge(*said, rand::random(), clock::now()) {
            continue;
        }
        edge.directory().set_misdirected(said.place, said.is_other);
        drop(known);
        has_changed = true;
        log_finding(&target, said.is_other, peer, said.ago);
    }
    if has_changed {
        edge.misdirected_changed.notify_one();
    }
    has_changed
}

/// Records that a row of a server at `place` was written.
pub(crate) fn register(
    known: &mut misdirected::Misdirected,
    directory: &mut directory::Directory,
    place: misdirected::Place,
) {
    known.register(place, clock::now());
    directory.set_misdirected(place, false);
}

/// Logs who answers at the address of a server, as `source` says.
pub(crate) fn log_finding(
    target: &directory::Target,
    is_other: bool,
    source: &str,
    ago: time::Duration,
) {
    tracing::info!(
        server = target.id,
        address = %target.address,
        is_other,
        source,
        ago_ms = ago.as_millis() as u64,
        "edge: answers at the address of a server"
    );
}
