//! Requests and receives load reports by UDP from the followed servers, a bounded subset of each
//! pool.

use std::{collections, sync, time};

use tokio::net;

use rhubarb_core::{ids, subset};
use rhubarb_node::clock;
use rhubarb_wire::datagram;

use crate::{entry, lists};

/// Time between two checks for due requests.
const CHECK_PERIOD: time::Duration = time::Duration::from_millis(100);

/// Requests and receives load reports until the task is dropped.
pub(crate) async fn run(entry: sync::Arc<entry::Entry>, socket: net::UdpSocket) {
    let socket = sync::Arc::new(socket);
    tokio::spawn(receive_reports(entry.clone(), socket.clone()));
    let mut seq = 0;
    let mut requested_at = collections::BTreeMap::new();
    loop {
        tokio::time::sleep(CHECK_PERIOD).await;
        seq += 1;
        request_reports(&entry, &socket, seq, &mut requested_at).await;
    }
}

// Each server has its own request time, so that datagrams are not sent in bursts.
async fn request_reports(
    entry: &entry::Entry,
    socket: &net::UdpSocket,
    seq: u64,
    requested_at: &mut collections::BTreeMap<ids::ServerName, time::Instant>,
) {
    let now = clock::now();
    let (followed, leaving, ready, version) = {
        let view = entry.directory.view();
        (view.followed(), view.leaving(), view.depends_ready(), view.version())
    };
    let period = subset::period(followed.len());
    requested_at.retain(|name, _| followed.iter().any(|(other, _)| other == name));
    for (name, address) in followed {
        if requested_at.get(&name).is_some_and(|last| now < *last + period) {
            continue;
        }
        let follow = datagram::Follow {
            incarnation: entry.peers.incarnation(),
            seq,
            version,
            leaving: leaving.contains(&name),
            depends_ready: ready.contains(&name),
        };
        requested_at.insert(name, now);
        let bytes = datagram::encode(&entry.settings.keys, &datagram::Heartbeat::Follow(follow));
        let _ = socket.send_to(&bytes, address).await;
    }
}

async fn receive_reports(entry: sync::Arc<entry::Entry>, socket: sync::Arc<net::UdpSocket>) {
    let mut last_seqs: collections::BTreeMap<ids::ServerName, u64> = collections::BTreeMap::new();
    let mut buffer = [0; datagram::MAX_BYTES + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let keys = &entry.settings.keys;
        let Ok(datagram::Heartbeat::Report(report)) = datagram::decode(keys, &buffer[..length])
        else {
            continue;
        };
        if !last_seqs.contains_key(&report.server) {
            let followed = entry.directory.view().followed();
            last_seqs.retain(|server, _| followed.iter().any(|(name, _)| name == server));
        }
        // Delayed and duplicate datagrams must not overwrite newer loads.
        let last = last_seqs.entry(report.server.clone()).or_default();
        if report.seq <= *last {
            continue;
        }
        *last = report.seq;
        let datagram::Report { incarnation, load, .. } = report;
        entry.directory.view().update_load(&report.server, incarnation, load, clock::now());
        entry.directory.check_version(report.version);
        if entry.directory.should_push(report.version) {
            tokio::spawn(lists::push(entry.clone(), report.server, report.version));
        }
    }
}
