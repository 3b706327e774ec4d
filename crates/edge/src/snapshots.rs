//! Snapshots of the store that entries pass on to one another, by TCP.

use std::{net, sync, sync::atomic, time};

use tokio::{io, net as tokio_net, sync as tokio_sync};

use rhubarb_core::stamp;
use rhubarb_node::clock;
use rhubarb_wire::share;

use crate::{connection, edge, lag, watch};

/// Delay before changes are fetched from a peer by an entry without a feed of the store.
const RELAY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Delay before changes are fetched from a peer by an entry with a feed of the store. Longer than the
/// pause of a feed after changes, in which an entry lags behind others.
const FETCH_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Time after the fetch of a snapshot within which the store's own feed delivers the change as well,
/// unless it is stalled.
const STALL_MARGIN: time::Duration = time::Duration::from_millis(150);
/// Time within which a peer answers, and without any bytes of a snapshot.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout of the whole transfer of a snapshot.
const TRANSFER_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Bytes of a snapshot that are sent within [`FETCH_TIMEOUT`].
const CHUNK: usize = 16 * 1024;
/// Maximum number of snapshots that are sent at once.
const MAX_SNAPSHOTS: usize = 8;

/// Sends snapshots of the store to peers that request them; does not return.
pub(crate) async fn serve_snapshots(edge: sync::Arc<edge::Edge>, listener: tokio_net::TcpListener) {
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(MAX_SNAPSHOTS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let (mut stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::info!(%err, "edge: connection of a peer not accepted");
                tokio::time::sleep(FETCH_INTERVAL).await;
                continue;
            }
        };
        let edge = edge.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let transfer = send_snapshot(&edge, &mut stream);
            match tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => tracing::info!(%from, %err, "edge: sending a snapshot failed"),
                Err(_) => tracing::info!(%from, "edge: sending a snapshot timed out"),
            }
        });
    }
}

async fn send_snapshot(edge: &edge::Edge, stream: &mut tokio_net::TcpStream) -> anyhow::Result<()> {
    connection::set_options(stream)?;
    let mut request = [0; share::SnapshotRequest::BYTES];
    let reading = io::AsyncReadExt::read_exact(stream, &mut request);
    tokio::time::timeout(FETCH_TIMEOUT, reading).await??;
    let known = share::SnapshotRequest::decode(request);
    let snapshot = edge.directory().snapshot(known, clock::now()).encode()?;
    for chunk in snapshot.chunks(CHUNK) {
        let writing = io::AsyncWriteExt::write_all(stream, chunk);
        tokio::time::timeout(FETCH_TIMEOUT, writing).await??;
    }
    io::AsyncWriteExt::shutdown(stream).await?;
    Ok(())
}

/// Fetches snapshots from peers that have newer rows of the store; does not return.
pub(crate) async fn fetch_snapshots(edge: sync::Arc<edge::Edge>) {
    loop {
        edge.lag_detected.notified().await;
        let relies_on_peers = !edge.follows_store();
        let delivered = edge.feed_changes.load(atomic::Ordering::Relaxed);
        // Gives the feed of the store time to deliver the change; changes that peers pass on are
        // read together.
        let has_feed = !relies_on_peers && !edge.is_disconnected();
        let delay = if has_feed { FETCH_INTERVAL } else { RELAY_DELAY };
        tokio::time::sleep(delay).await;
        // What the store is sending need not come over the same link twice.
        while has_feed && edge.is_receiving() {
            tokio::time::sleep(RELAY_DELAY).await;
        }
        let (own, known) = known_versions(&edge);
        let Some(ip) = edge.lag().address(&own) else { continue };
        let transfer = fetch(edge.peer_address(ip), known);
        match tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await {
            Ok(Ok(snapshot)) => watch::apply_snapshot(&edge, ip, snapshot),
            Ok(Err(err)) => {
                tracing::info!(%ip, %err, "edge: fetching a snapshot from a peer failed")
            }
            Err(_) => tracing::info!(%ip, "edge: fetching a snapshot from a peer timed out"),
        }
        if has_feed && !edge.is_disconnected() {
            tokio::time::sleep(STALL_MARGIN).await;
            if edge.feed_changes.load(atomic::Ordering::Relaxed) == delivered
                && !edge.is_receiving()
                && edge.lag().check_reread(clock::now())
            {
                edge.feed_stalled.notify_waiters();
            }
        }
    }
}

// Versions in use, and what a snapshot has to add to; an entry that does not know the fleet yet
// needs all rows.
fn known_versions(edge: &edge::Edge) -> (lag::Versions, share::SnapshotRequest) {
    let directory = edge.directory();
    let versions = directory.versions();
    let servers = if directory.is_complete() { versions.servers } else { stamp::Stamp::default() };
    (versions, share::SnapshotRequest { config: versions.config, servers })
}

async fn fetch(
    from: net::SocketAddr,
    known: share::SnapshotRequest,
) -> anyhow::Result<share::Snapshot> {
    let connecting = tokio_net::TcpStream::connect(from);
    let mut stream = tokio::time::timeout(FETCH_TIMEOUT, connecting).await??;
    connection::set_options(&stream)?;
    io::AsyncWriteExt::write_all(&mut stream, &known.encode()).await?;
    let mut bytes = Vec::new();
    let mut limited = io::AsyncReadExt::take(stream, share::MAX_SNAPSHOT_BYTES as u64);
    loop {
        bytes.reserve(CHUNK);
        let reading = io::AsyncReadExt::read_buf(&mut limited, &mut bytes);
        if tokio::time::timeout(FETCH_TIMEOUT, reading).await?? == 0 {
            break;
        }
    }
    Ok(share::Snapshot::decode(&bytes)?)
}
