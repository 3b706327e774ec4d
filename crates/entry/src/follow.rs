//! Follows the load of a bounded part of each pool by UDP.

use std::{collections, sync, time};

use tokio::net;

use rhubarb_core::{ids, subset};
use rhubarb_node::clock;
use rhubarb_wire::datagram;

use crate::{entry, lists};

const TICK: time::Duration = time::Duration::from_millis(100);

/// Follows until the task is dropped.
pub(crate) async fn run(entry: sync::Arc<entry::Entry>, socket: net::UdpSocket) {
    let socket = sync::Arc::new(socket);
    tokio::spawn(hear(entry.clone(), socket.clone()));
    let mut seq = 0;
    let mut asked = collections::BTreeMap::new();
    loop {
        tokio::time::sleep(TICK).await;
        seq += 1;
        ask(&entry, &socket, seq, &mut asked).await;
    }
}

// Each server has its own turn, so that datagrams do not come in bursts.
async fn ask(
    entry: &entry::Entry,
    socket: &net::UdpSocket,
    seq: u64,
    asked: &mut collections::BTreeMap<ids::ServerName, time::Instant>,
) {
    let now = clock::now();
    let (followed, leaving, ready, version) = {
        let view = entry.directory.view();
        (view.followed(), view.leaving(), view.depends_ready(), view.version())
    };
    let period = subset::period(followed.len());
    asked.retain(|name, _| followed.iter().any(|(other, _)| other == name));
    for (name, address) in followed {
        if asked.get(&name).is_some_and(|last| now < *last + period) {
            continue;
        }
        let follow = datagram::Follow {
            incarnation: entry.peers.incarnation(),
            seq,
            version,
            leaving: leaving.contains(&name),
            depends_ready: ready.contains(&name),
        };
        asked.insert(name, now);
        let bytes = datagram::encode(&entry.settings.keys, &datagram::Heartbeat::Follow(follow));
        let _ = socket.send_to(&bytes, address).await;
    }
}

async fn hear(entry: sync::Arc<entry::Entry>, socket: sync::Arc<net::UdpSocket>) {
    let mut newest: collections::BTreeMap<ids::ServerName, u64> = collections::BTreeMap::new();
    let mut buffer = [0; datagram::MAX_BYTES + 1];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let keys = &entry.settings.keys;
        let Ok(datagram::Heartbeat::Report(report)) = datagram::decode(keys, &buffer[..length])
        else {
            continue;
        };
        // Late and repeated datagrams must not overwrite newer loads.
        let last = newest.entry(report.server.clone()).or_default();
        if report.seq <= *last {
            continue;
        }
        *last = report.seq;
        entry.directory.view().hear(&report.server, report.load, clock::now());
        entry.directory.note_version(report.version);
        if entry.directory.is_to_push(report.version) {
            tokio::spawn(lists::push(entry.clone(), report.server, report.version));
        }
    }
}
