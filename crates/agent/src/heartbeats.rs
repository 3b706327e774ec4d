//! Replies to the heartbeats of entries with load reports, by UDP.

use std::sync;

use tokio::net;

use rhubarb_wire::datagram;

use crate::{agent, lists};

/// Replies to datagrams until the task is dropped.
pub(crate) async fn serve(agent: sync::Arc<agent::Agent>, socket: net::UdpSocket) {
    let mut buffer = [0; datagram::MAX_BYTES + 1];
    loop {
        let Ok((length, peer)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(datagram::Heartbeat::Follow(follow)) =
            datagram::decode(&agent.settings.keys, &buffer[..length])
        else {
            agent.metrics.bad_peers.inc();
            continue;
        };
        // Recorded first, so that the report says it.
        if follow.leaving {
            lists::record_leaving(&agent);
        }
        agent.lock().depends_ready |= follow.depends_ready;
        let report = datagram::Heartbeat::Report(report(&agent, &follow));
        let bytes = datagram::encode(&agent.settings.keys, &report);
        let _ = socket.send_to(&bytes, peer).await;
        if lists::is_behind(&agent, follow.version) {
            lists::request_list(&agent);
        }
    }
}

fn report(agent: &agent::Agent, follow: &datagram::Follow) -> datagram::Report {
    let pong = agent.pong(follow.seq);
    datagram::Report {
        server: agent.settings.server.clone(),
        incarnation: agent.incarnation,
        seq: pong.seq,
        version: pong.version,
        load: pong.load,
    }
}
