//! Exchange with the other entries: commitments by UDP, what the store said by TCP.

use std::{net, sync, sync::atomic, time};

use tokio::{io, net as tcp, sync as lock};

use rhubarb_node::clock;
use rhubarb_platform::store;
use rhubarb_wire::share;

use crate::{ahead, connections, edge, watch};

/// Peers are told at least this often, as a sign of life.
const TELL_PERIOD: time::Duration = time::Duration::from_millis(300);
/// An engine that a peer has ordered to change counts as changing for this long after it said so.
const CHANGING_TIME: time::Duration = time::Duration::from_secs(1);
/// Changes within this time are told together; a prefill takes several times as long.
const TELL_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Instances that may be peers are looked up this often.
const DISCOVER_PERIOD: time::Duration = time::Duration::from_secs(30);
/// Addresses from the settings are tried this often, until as many peers are heard.
const SEED_PERIOD: time::Duration = time::Duration::from_secs(2);
/// A peer's news is fetched at most this often.
const FETCH_PERIOD: time::Duration = time::Duration::from_millis(250);
/// Time for one snapshot.
const FETCH_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Time for one call to the store.
const STORE_LIMIT: time::Duration = time::Duration::from_millis(1_500);
/// Snapshots that are sent at the same time.
const SNAPSHOTS: usize = 8;

/// Where the entry at `ip` listens for its peers.
pub(crate) fn address(edge: &edge::Edge, ip: net::IpAddr) -> net::SocketAddr {
    let (first, _) = edge.settings().port_range;
    net::SocketAddr::new(ip, first)
}

/// Tells the peers what this entry has given to engines.
pub(crate) async fn tell(edge: sync::Arc<edge::Edge>, socket: sync::Arc<tcp::UdpSocket>) {
    let mut seq = 0;
    loop {
        // Either what has changed or nothing within the period.
        let _ = tokio::time::timeout(TELL_PERIOD, edge.given.notified()).await;
        tokio::time::sleep(TELL_PAUSE).await;
        seq += 1;
        let targets = note_members(&edge);
        let bytes = match make_share(&edge, seq).encode() {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!(%err, "edge: state not written for peers");
                continue;
            }
        };
        for ip in targets {
            match socket.send_to(&bytes, address(&edge, ip)).await {
                Ok(sent) => {
                    edge.counters.shares.inc();
                    edge.counters.share_bytes.inc_by(sent as u64);
                }
                Err(err) => tracing::debug!(%ip, %err, "edge: state not sent to peer"),
            }
        }
    }
}

fn note_members(edge: &edge::Edge) -> Vec<net::IpAddr> {
    let now = clock::now();
    let mut members = edge.members();
    let count = members.count(now);
    let targets = members.targets(now);
    edge.counters.peers.set(members.live(now).count() as i64);
    drop(members);
    edge.directory().entries = count;
    targets.into_iter().filter(|ip| *ip != edge.settings().ip).collect()
}

fn make_share(edge: &edge::Edge, seq: u64) -> share::Share {
    let now = clock::now();
    let peers = edge.members().announced(seq, now);
    let mut directory = edge.directory();
    let config = directory.known().config;
    let servers = directory.rows.newest;
    let own = directory.services().flat_map(|service| service.engines.commitments(now));
    let given =
        own.map(|(id, commitment)| share::EngineCommitment::new(&id, &commitment)).collect();
    let usage = directory
        .named_services()
        .map(|(name, service)| (name.clone(), service.engines.usage(now)));
    let usage = usage.filter(|(_, usage)| usage.prompts > 0).collect();
    drop(directory);
    let changing = edge.orders().changing(now);
    let (name, incarnation) = (edge.settings().name.clone(), edge.incarnation);
    share::Share {
        name,
        incarnation,
        seq,
        config,
        servers,
        peers,
        committed: given,
        usage,
        changing,
    }
}

/// Takes what the peers tell.
pub(crate) async fn hear(edge: sync::Arc<edge::Edge>, socket: sync::Arc<tcp::UdpSocket>) {
    let mut buffer = vec![0; share::MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(%err, "edge: no datagram received");
                continue;
            }
        };
        match share::Share::decode(&buffer[..length]) {
            Ok(share) => take(&edge, from.ip(), &share),
            Err(err) => tracing::warn!(%from, %err, "edge: datagram dropped"),
        }
    }
}

fn take(edge: &edge::Edge, from: net::IpAddr, share: &share::Share) {
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
        tracing::info!(peer = share.name, %from, config = share.config, "edge: peer heard");
    }
    let told = share.commitments();
    let mut directory = edge.directory();
    for service in directory.services() {
        service.engines.update_peer(&share.name, &told, now);
        for id in &share.changing {
            service.engines.set_changing(id, now + CHANGING_TIME);
        }
    }
    for (name, usage) in &share.usage {
        directory.service(name).engines.update_peer_usage(&share.name, *usage);
    }
    let own = directory.known();
    drop(directory);
    let known = ahead::Known { config: share.config, servers: share.servers };
    if own.lacks(&known) {
        edge.ahead().note(from, known, &own, now);
        edge.behind.notify_one();
    }
    edge.room_freed.notify_waiters();
}

/// Sends what the store said to peers that ask.
pub(crate) async fn serve_snapshots(edge: sync::Arc<edge::Edge>, listener: tcp::TcpListener) {
    let slots = sync::Arc::new(lock::Semaphore::new(SNAPSHOTS));
    loop {
        let slot = slots.clone().acquire_owned().await;
        let Ok((mut stream, from)) = listener.accept().await else {
            tokio::time::sleep(FETCH_PERIOD).await;
            continue;
        };
        let snapshot = edge.directory().snapshot(clock::now());
        tokio::spawn(async move {
            let _slot = slot;
            let sending = send_snapshot(&mut stream, &snapshot);
            match tokio::time::timeout(FETCH_LIMIT, sending).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => tracing::info!(%from, %err, "edge: snapshot not sent"),
                Err(_) => tracing::info!(%from, "edge: snapshot not sent in time"),
            }
        });
    }
}

async fn send_snapshot(
    stream: &mut tcp::TcpStream,
    snapshot: &share::Snapshot,
) -> anyhow::Result<()> {
    connections::set_options(stream)?;
    io::AsyncWriteExt::write_all(stream, &snapshot.encode()?).await?;
    io::AsyncWriteExt::shutdown(stream).await?;
    Ok(())
}

/// Fetches from peers what the store does not tell this entry.
pub(crate) async fn fetch_snapshots(edge: sync::Arc<edge::Edge>) {
    loop {
        edge.behind.notified().await;
        // The store's own feed comes first where it works.
        tokio::time::sleep(FETCH_PERIOD).await;
        let own = edge.directory().known();
        let Some(ip) = edge.ahead().address(&own) else { continue };
        if !is_turned_away(&edge) {
            if !edge.ahead().is_overdue(clock::now()) {
                continue;
            }
            edge.silent.notify_waiters();
        }
        let fetching = fetch(address(&edge, ip));
        match tokio::time::timeout(FETCH_LIMIT, fetching).await {
            Ok(Ok(snapshot)) => watch::learn_from_peer(&edge, ip, snapshot),
            Ok(Err(err)) => tracing::info!(%ip, %err, "edge: no snapshot from peer"),
            Err(_) => tracing::info!(%ip, "edge: no snapshot from peer in time"),
        }
    }
}

fn is_turned_away(edge: &edge::Edge) -> bool {
    edge.away.load(atomic::Ordering::Relaxed) > 0
}

async fn fetch(from: net::SocketAddr) -> anyhow::Result<share::Snapshot> {
    let stream = tcp::TcpStream::connect(from).await?;
    connections::set_options(&stream)?;
    let mut bytes = Vec::new();
    let mut limited = io::AsyncReadExt::take(stream, share::MAX_SNAPSHOT_BYTES as u64);
    io::AsyncReadExt::read_to_end(&mut limited, &mut bytes).await?;
    Ok(share::Snapshot::decode(&bytes)?)
}

/// Finds peers by the addresses in the settings and by the instances' rows in the store.
pub(crate) async fn discover(edge: sync::Arc<edge::Edge>) {
    tokio::spawn(try_seeds(edge.clone()));
    loop {
        if let Err(err) = exchange_rows(&edge).await {
            tracing::info!(%err, "edge: instances not looked up in the store");
            tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
            continue;
        }
        tokio::time::sleep(clock::jitter(DISCOVER_PERIOD)).await;
    }
}

async fn try_seeds(edge: sync::Arc<edge::Edge>) {
    loop {
        hope_for_seeds(&edge);
        tokio::time::sleep(clock::jitter(SEED_PERIOD)).await;
    }
}

fn hope_for_seeds(edge: &edge::Edge) {
    let now = clock::now();
    let mut members = edge.members();
    if members.live(now).count() < edge.settings().seeds.len() {
        for ip in &edge.settings().seeds {
            members.add_candidate(*ip, now);
        }
    }
}

async fn exchange_rows(edge: &edge::Edge) -> Result<(), store::StoreError> {
    let ip = edge.settings().ip.to_string();
    let write = store::Write {
        table: store::Table::Members,
        key: &edge.settings().name,
        expected: None,
        value: ip.as_bytes(),
    };
    edge.store.write(write, STORE_LIMIT).await?;
    let rows = edge.store.read_all(store::Table::Members, STORE_LIMIT).await?;
    let now = clock::now();
    let mut members = edge.members();
    for row in rows.rows {
        let text = row.value.and_then(|value| String::from_utf8(value).ok());
        match text.map(|text| text.parse()) {
            Some(Ok(ip)) => members.add_candidate(ip, now),
            Some(Err(_)) | None => {
                tracing::warn!(key = row.key, "edge: an instance's row is not an IP number");
            }
        }
    }
    Ok(())
}
