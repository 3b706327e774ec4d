//! Exchange with the peers, the other entries: commitments by UDP, snapshots of the store by TCP.

use std::{net, sync, sync::atomic, time};

use tokio::{io, net as tokio_net, sync as tokio_sync};

use rhubarb_node::clock;
use rhubarb_platform::store;
use rhubarb_wire::share;

use crate::{connections, edge, lag, watch};

/// Interval between datagrams to the peers without changes; they are also the heartbeats.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(300);
/// Time for which an engine counts as changing its stage after a peer reported it.
const CHANGING_TTL: time::Duration = time::Duration::from_secs(1);
/// Delay in which changes are batched into one datagram; a prefill takes several times as long.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(20);
/// Interval between lookups of the instances in the store, before jitter.
const DISCOVERY_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Interval between attempts to reach the seeds in the settings, which are made while fewer peers
/// are live than there are seeds, and delay after a failed discovery; both before jitter.
const SEED_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Minimum interval between fetches of snapshots.
const FETCH_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Timeout of the transfer of a snapshot.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Timeout of a call to the store.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Maximum number of snapshots that are sent at once.
const MAX_SNAPSHOTS: usize = 8;

/// Address at which the entry at `ip` listens for its peers.
pub(crate) fn address(edge: &edge::Edge, ip: net::IpAddr) -> net::SocketAddr {
    let (first, _) = edge.settings().port_range;
    net::SocketAddr::new(ip, first)
}

/// Sends this entry's commitments to its peers; does not return.
pub(crate) async fn send_shares(
    edge: sync::Arc<edge::Edge>,
    socket: sync::Arc<tokio_net::UdpSocket>,
) {
    let mut seq = 0;
    loop {
        // Wakes up after a change or at the end of the period.
        let _ = tokio::time::timeout(HEARTBEAT_PERIOD, edge.commitments_changed.notified()).await;
        tokio::time::sleep(BATCH_DELAY).await;
        seq += 1;
        let targets = update_members(&edge);
        let bytes = match build_share(&edge, seq).encode() {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!(%err, "edge: state for peers not encoded");
                continue;
            }
        };
        for ip in targets {
            match socket.send_to(&bytes, address(&edge, ip)).await {
                Ok(sent) => {
                    edge.counters.shares_sent.inc();
                    edge.counters.bytes_sent.inc_by(sent as u64);
                }
                Err(err) => tracing::debug!(%ip, %err, "edge: state not sent to peer"),
            }
        }
    }
}

fn update_members(edge: &edge::Edge) -> Vec<net::IpAddr> {
    let now = clock::now();
    let mut members = edge.members();
    let count = members.count(now);
    let targets = members.targets(now);
    edge.counters.peers.set(members.live(now).count() as i64);
    drop(members);
    edge.directory().entry_count = count;
    targets.into_iter().filter(|ip| *ip != edge.settings().ip).collect()
}

fn build_share(edge: &edge::Edge, seq: u64) -> share::Share {
    let now = clock::now();
    let peers = edge.members().announced(seq, now);
    let mut directory = edge.directory();
    let config = directory.versions().config;
    let servers = directory.rows.newest_change;
    let commitments = directory.services().flat_map(|service| service.engines.commitments(now));
    let committed = commitments
        .map(|(id, commitment)| share::EngineCommitment::new(&id, &commitment))
        .collect();
    let usage = directory
        .named_services()
        .map(|(name, service)| (name.clone(), service.engines.usage(now)));
    let usage = usage.filter(|(_, usage)| usage.prompts > 0).collect();
    drop(directory);
    let changing = edge.orders().changing(now);
    let (name, incarnation) = (edge.settings().name.clone(), edge.incarnation);
    share::Share { name, incarnation, seq, config, servers, peers, committed, usage, changing }
}

/// Receives the commitments of the peers; does not return.
pub(crate) async fn receive_shares(
    edge: sync::Arc<edge::Edge>,
    socket: sync::Arc<tokio_net::UdpSocket>,
) {
    let mut buffer = vec![0; share::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(%err, "edge: receiving a datagram failed");
                continue;
            }
        };
        match share::Share::decode(&buffer[..length]) {
            Ok(share) => handle_share(&edge, from.ip(), &share),
            Err(err) => tracing::warn!(%from, %err, "edge: invalid datagram ignored"),
        }
    }
}

fn handle_share(edge: &edge::Edge, from: net::IpAddr, share: &share::Share) {
    let now = clock::now();
    if share.incarnation == edge.incarnation {
        return;
    }
    let mut members = edge.members();
    let is_new = members.live(now).all(|ip| ip != from);
    if !members.record_heartbeat(from, share.incarnation, share.seq, now) {
        return;
    }
    for ip in &share.peers {
        members.add_candidate(*ip, now);
    }
    drop(members);
    if is_new {
        tracing::info!(peer = share.name, %from, config = share.config, "edge: peer joined");
    }
    let commitments = share.commitments();
    let mut directory = edge.directory();
    for service in directory.services() {
        service.engines.update_peer(&share.name, &commitments, now);
        for id in &share.changing {
            service.engines.set_changing(id, now + CHANGING_TTL);
        }
    }
    for (name, usage) in &share.usage {
        directory.service(name).engines.update_peer_usage(&share.name, *usage);
    }
    let own = directory.versions();
    drop(directory);
    let versions = lag::Versions { config: share.config, servers: share.servers };
    if own.lags_behind(&versions) {
        edge.lag().record(from, versions, &own, now);
        edge.lag_detected.notify_one();
    }
    edge.slot_freed.notify_waiters();
}

/// Sends snapshots of the store to peers that request them; does not return.
pub(crate) async fn serve_snapshots(edge: sync::Arc<edge::Edge>, listener: tokio_net::TcpListener) {
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(MAX_SNAPSHOTS));
    loop {
        let permit = permits.clone().acquire_owned().await;
        let Ok((mut stream, from)) = listener.accept().await else {
            tokio::time::sleep(FETCH_INTERVAL).await;
            continue;
        };
        let snapshot = edge.directory().snapshot(clock::now());
        tokio::spawn(async move {
            let _permit = permit;
            let transfer = send_snapshot(&mut stream, &snapshot);
            match tokio::time::timeout(FETCH_TIMEOUT, transfer).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => tracing::info!(%from, %err, "edge: sending a snapshot failed"),
                Err(_) => tracing::info!(%from, "edge: sending a snapshot timed out"),
            }
        });
    }
}

async fn send_snapshot(
    stream: &mut tokio_net::TcpStream,
    snapshot: &share::Snapshot,
) -> anyhow::Result<()> {
    connections::set_options(stream)?;
    io::AsyncWriteExt::write_all(stream, &snapshot.encode()?).await?;
    io::AsyncWriteExt::shutdown(stream).await?;
    Ok(())
}

/// Fetches snapshots from peers that have newer rows of the store; does not return.
pub(crate) async fn fetch_snapshots(edge: sync::Arc<edge::Edge>) {
    loop {
        edge.lag_detected.notified().await;
        // Gives the feed of the store time to deliver the change.
        tokio::time::sleep(FETCH_INTERVAL).await;
        let own = edge.directory().versions();
        let Some(ip) = edge.lag().address(&own) else { continue };
        if !is_disconnected(&edge) {
            if !edge.lag().check_stall(clock::now()) {
                continue;
            }
            edge.feed_stalled.notify_waiters();
        }
        let transfer = fetch(address(&edge, ip));
        match tokio::time::timeout(FETCH_TIMEOUT, transfer).await {
            Ok(Ok(snapshot)) => watch::apply_snapshot(&edge, ip, snapshot),
            Ok(Err(err)) => {
                tracing::info!(%ip, %err, "edge: fetching a snapshot from a peer failed")
            }
            Err(_) => tracing::info!(%ip, "edge: fetching a snapshot from a peer timed out"),
        }
    }
}

fn is_disconnected(edge: &edge::Edge) -> bool {
    edge.unavailable_tables.load(atomic::Ordering::Relaxed) > 0
}

async fn fetch(from: net::SocketAddr) -> anyhow::Result<share::Snapshot> {
    let stream = tokio_net::TcpStream::connect(from).await?;
    connections::set_options(&stream)?;
    let mut bytes = Vec::new();
    let mut limited = io::AsyncReadExt::take(stream, share::MAX_SNAPSHOT_BYTES as u64);
    io::AsyncReadExt::read_to_end(&mut limited, &mut bytes).await?;
    Ok(share::Snapshot::decode(&bytes)?)
}

/// Discovers peers from the addresses in the settings and from the rows of instances in the store;
/// does not return.
pub(crate) async fn discover(edge: sync::Arc<edge::Edge>) {
    tokio::spawn(retry_seeds(edge.clone()));
    loop {
        if let Err(err) = exchange_addresses(&edge).await {
            tracing::info!(%err, "edge: peer discovery through the store failed");
            tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
            continue;
        }
        tokio::time::sleep(clock::jitter(DISCOVERY_PERIOD)).await;
    }
}

async fn retry_seeds(edge: sync::Arc<edge::Edge>) {
    loop {
        add_seeds(&edge);
        tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
    }
}

fn add_seeds(edge: &edge::Edge) {
    let now = clock::now();
    let mut members = edge.members();
    if members.live(now).count() < edge.settings().seeds.len() {
        for ip in &edge.settings().seeds {
            members.add_candidate(*ip, now);
        }
    }
}

async fn exchange_addresses(edge: &edge::Edge) -> Result<(), store::StoreError> {
    let ip = edge.settings().ip.to_string();
    let write = store::Write {
        table: store::Table::Members,
        key: &edge.settings().name,
        expected: None,
        value: ip.as_bytes(),
    };
    edge.store.write(write, STORE_TIMEOUT).await?;
    let rows = edge.store.read_all(store::Table::Members, STORE_TIMEOUT).await?;
    let now = clock::now();
    let mut members = edge.members();
    for row in rows.rows {
        let text = row.value.and_then(|value| String::from_utf8(value).ok());
        match text.map(|text| text.parse()) {
            Some(Ok(ip)) => members.add_candidate(ip, now),
            Some(Err(_)) | None => {
                tracing::warn!(key = row.key, "edge: row of an instance is not an IP address");
            }
        }
    }
    Ok(())
}
