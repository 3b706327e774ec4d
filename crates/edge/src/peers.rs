//! Exchange of state with the peers, the other entries, by UDP.

use std::{collections, io, net, sync, time};

use tokio::{net as tokio_net, task};

use rhubarb_core::{beginnings, cells, ids, members, reports};
use rhubarb_node::clock;
use rhubarb_wire::{origins as wire_origins, share};

use crate::{directory, edge, lag, misdirected, origins, quotas, suspects as watch};

/// Interval between datagrams to the peers without changes; they are also the heartbeats.
const HEARTBEAT_PERIOD: time::Duration = time::Duration::from_millis(300);
/// Time for which an engine counts as changing its stage after a peer reported it.
const CHANGING_TTL: time::Duration = time::Duration::from_secs(1);
/// Delay in which changes are batched into one datagram; a prefill takes several times as long.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(20);
/// Delay before freed memory is reported: the next request of this entry often takes it, and the
/// report goes along with others.
const RELEASE_DELAY: time::Duration = time::Duration::from_millis(80);

/// Sends this entry's state to other entries; does not return.
pub(crate) async fn send_shares(
    edge: sync::Arc<edge::Edge>,
    socket: sync::Arc<tokio_net::UdpSocket>,
) {
    let mut seq = edge.dates.now_ms();
    let mut heartbeat_at = clock::now();
    loop {
        let is_urgent = wait_for_change(&edge, heartbeat_at).await;
        seq += 1;
        let is_heartbeat = clock::now() >= heartbeat_at;
        if is_heartbeat {
            heartbeat_at = clock::now() + HEARTBEAT_PERIOD;
            update_members(&edge);
        }
        let round = plan_round(&edge, is_heartbeat, is_urgent);
        if !round.cell.is_empty() {
            send(&edge, &socket, &round.cell, build_share(&edge, seq, is_heartbeat)).await;
        }
        if !round.others.is_empty() {
            send(&edge, &socket, &round.others, build_gossip(&edge, seq)).await;
        }
    }
}

// Waits for a change of the commitments and for others in the same batch, at most until
// `heartbeat_at`. Returns whether the change is one for the whole fleet.
async fn wait_for_change(edge: &edge::Edge, heartbeat_at: time::Instant) -> bool {
    let mut send_at = heartbeat_at;
    let mut is_urgent = false;
    loop {
        tokio::select! {
            () = edge.commitments_changed.notified() => {
                send_at = send_at.min(clock::now() + BATCH_DELAY);
            }
            () = edge.memory_freed.notified() => {
                send_at = send_at.min(clock::now() + RELEASE_DELAY);
            }
            () = edge.evidence_changed.notified() => {
                is_urgent = true;
                send_at = send_at.min(clock::now() + BATCH_DELAY);
            }
            () = tokio::time::sleep_until(send_at.into()) => return is_urgent,
        }
    }
}

async fn send(
    edge: &edge::Edge,
    socket: &tokio_net::UdpSocket,
    targets: &collections::BTreeSet<net::IpAddr>,
    mut share: share::Share,
) {
    let bytes = match share.encode() {
        Ok(bytes) => bytes,
        Err(err) => return tracing::error!(%err, "edge: state for peers not encoded"),
    };
    for ip in targets {
        match socket.send_to(&bytes, edge.peer_address(*ip)).await {
            Ok(sent) => {
                edge.counters.shares_sent.inc();
                edge.counters.bytes_sent.inc_by(sent as u64);
            }
            Err(err) => tracing::debug!(%ip, %err, "edge: state not sent to peer"),
        }
    }
}

/// Updates what depends on the members: the number of entries that share the budgets, and the cells.
pub(crate) fn update_members(edge: &edge::Edge) {
    let now = clock::now();
    let mut members = edge.members();
    members.tick(now);
    let (count, own) = (members.count(now), members.own_cell());
    let partition = members.partition().clone();
    edge.counters.peers.set(members.live(now).count() as i64);
    let members::Rank { rank, entries } = members.rank(now);
    let peers = members.in_cell(own, now).count() as u32;
    let has_source = members.has_source(now);
    drop(members);
    if has_source || !edge.is_disconnected() {
        edge.record_touch(now);
    }
    let mut allowances = edge.allowances();
    allowances.set_sizes(peers, count, now);
    allowances.set_cells(!partition.is_single());
    drop(allowances);
    let mut directory = edge.directory();
    directory.entry_count = count;
    directory.place = directory::Place { rank, entries, peers };
    directory.set_cells(&partition, own);
    // A second version may have been registered since some streams began.
    if !directory.mixed_services(now).is_empty() {
        edge.note_origins();
    }
}

// Entries that get a datagram.
struct Round {
    // Those that share engines with this entry: its cell, and cells at whose engines it has
    // commitments.
    cell: collections::BTreeSet<net::IpAddr>,
    // Some others, which get a digest of the cell.
    others: collections::BTreeSet<net::IpAddr>,
}

fn plan_round(edge: &edge::Edge, is_heartbeat: bool, is_urgent: bool) -> Round {
    let now = clock::now();
    let mut directory = edge.directory();
    let mut cells = collections::BTreeSet::new();
    for service in directory.services() {
        cells.extend(service.engines.foreign_cells(now));
    }
    drop(directory);
    let mut members = edge.members();
    cells.insert(members.own_cell());
    let cell: collections::BTreeSet<_> =
        cells.into_iter().flat_map(|cell| members.in_cell(cell, now).collect::<Vec<_>>()).collect();
    let mut others = collections::BTreeSet::new();
    if is_heartbeat || is_urgent {
        others.extend(members.contacts(|bound| rand::random_range(0..bound), now));
    }
    others.extend(members.take_greetings());
    // The leader plans from the usage of all cells.
    if is_heartbeat && members.is_speaker(now) {
        others.extend(members.leader(now));
    }
    others.retain(|ip| !cell.contains(ip));
    Round { cell, others }
}

// What all datagrams have in common.
fn build_head(edge: &edge::Edge, seq: u64) -> share::Share {
    // Read before the versions, which may become newer meanwhile: an answer is told only with versions
    // that are at least as new.
    let (terms, tables) = (edge.terms(), *edge.tables());
    let now = clock::now();
    let is_heard = !edge.is_disconnected() && tables.is_heard(&terms, now);
    let directory = edge.directory();
    let (config, servers) = (directory.versions().config, directory.rows.newest_change());
    let grace = directory.fleet.grace_left(now);
    drop(directory);
    share::Share {
        format: share::FORMAT,
        name: edge.settings().name.clone(),
        incarnation: edge.incarnation,
        seq,
        zone: ids::zone_tag(&edge.settings().zone),
        config,
        servers,
        answered: tables.answered(now),
        grace_ms: grace.as_millis() as u32,
        follows: edge.follows_store() && is_heard,
        is_ready: edge.is_ready(),
        limits: share::Limit::collect(&edge.limits().quotas, seq, clock::now()),
        misdirected: share::Misdirected::collect(&edge.misdirected(), seq, clock::now()),
        evidence: share::Evidence::collect(&edge.rejected().suspects, seq, clock::now()),
        ..share::Share::default()
    }
}

// State for the entries that share engines with this one.
fn build_share(edge: &edge::Edge, seq: u64, is_heartbeat: bool) -> share::Share {
    let now = clock::now();
    let mut share = build_head(edge, seq);
    let mut members = edge.members();
    if is_heartbeat && members.partition().is_single() {
        share.members = sample_members(&mut members, now);
    }
    drop(members);
    let tells_demand = !edge.limits().quotas.is_empty();
    let mut directory = edge.directory();
    let mut committed = reports::Commitments::new();
    for (name, service) in directory.named_services() {
        if is_heartbeat {
            let requests = service.retry_budget.requests(now);
            service.demand.record_own(requests);
            if tells_demand {
                share.demand.insert(name.clone(), requests);
            }
        }
        committed.append(&mut service.engines.commitments(now));
        share.full.append(&mut service.engines.full(now));
        if let Some(urgency) = service.engines.most_urgent() {
            share.waiting.insert(name.clone(), urgency);
        }
        if is_heartbeat {
            let room = share::MAX_SPEEDS - share.speeds.len();
            let speeds = service.engines.take_speeds(room);
            share.speeds.extend(speeds.into_iter().map(share::Speed::from));
        }
        if is_heartbeat && share.kept.len() < beginnings::MAX_TOLD {
            share.kept.append(&mut service.beginnings.take_news(now));
            share.kept.truncate(beginnings::MAX_TOLD);
        }
        let usage = service.engines.usage(now);
        if usage.prompts > 0 {
            share.usage.insert(name.clone(), usage);
        }
    }
    drop(directory);
    share.committed = Some(share::Commitments::new(&committed, seq));
    if is_heartbeat {
        share.used = share::Used::collect(&mut edge.allowances(), now);
    }
    let changing = edge.orders().changing(now);
    share.changing = changing.iter().map(|id| ids::server_tag(id)).collect();
    share
}

// Heartbeats of the fleet and a digest of the cell, for entries of other cells.
fn build_gossip(edge: &edge::Edge, seq: u64) -> share::Share {
    let now = clock::now();
    let mut share = build_head(edge, seq);
    let mut members = edge.members();
    share.members = sample_members(&mut members, now);
    let (is_single, is_speaker) = (members.partition().is_single(), members.is_speaker(now));
    drop(members);
    let changing = edge.orders().changing(now);
    share.changing = changing.iter().map(|id| ids::server_tag(id)).collect();
    if is_single {
        return share;
    }
    let mut directory = edge.directory();
    let mut committed = reports::Commitments::new();
    let mut usage = collections::BTreeMap::new();
    let entries = directory.place.peers + 1;
    for (name, service) in directory.named_services() {
        committed.append(&mut service.engines.digest(now));
        let used = service.engines.cell_usage(now);
        if is_speaker && used.prompts > 0 {
            usage.insert(name.clone(), used);
        }
    }
    drop(directory);
    let committed = share::Commitments::new(&committed, seq);
    let used = share::Used::collect_cell(&edge.allowances(), now);
    share.digest = Some(share::Digest { committed, usage, entries, used });
    share
}

fn sample_members(members: &mut members::Members, now: time::Instant) -> Vec<share::Heartbeat> {
    let sample = members.sample(|bound| rand::random_range(0..bound), now);
    sample.into_iter().map(share::Heartbeat::from).collect()
}

/// Receives the commitments of the peers; does not return.
pub(crate) async fn receive_shares(
    edge: sync::Arc<edge::Edge>,
    socket: sync::Arc<tokio_net::UdpSocket>,
) {
    let mut buffer = vec![0; share::MAX_DATAGRAM_BYTES];
    // When the socket was last found empty: a datagram may have waited since then.
    let mut empty_at = clock::now();
    loop {
        // Attempts to receive do not yield to other tasks by themselves.
        task::coop::consume_budget().await;
        let asked_at = clock::now();
        let (length, from) = match socket.try_recv_from(&mut buffer) {
            Ok(received) => received,
            Err(err) => {
                if err.kind() == io::ErrorKind::WouldBlock {
                    empty_at = asked_at;
                } else {
                    tracing::debug!(%err, "edge: receiving a datagram failed");
                }
                if let Err(err) = socket.readable().await {
                    tracing::debug!(%err, "edge: waiting for a datagram failed");
                }
                continue;
            }
        };
        if wire_origins::Message::is_one(&buffer[..length]) {
            origins::handle(&edge, &socket, from, &buffer[..length]).await;
            continue;
        }
        match share::Share::decode(&buffer[..length]) {
            Ok(share) => handle_share(&edge, from.ip(), &share, empty_at),
            Err(err) => tracing::warn!(%from, %err, "edge: invalid datagram ignored"),
        }
    }
}

// Applies a datagram that did not arrive before `arrived_at`.
fn handle_share(
    edge: &edge::Edge,
    from: net::IpAddr,
    share: &share::Share,
    arrived_at: time::Instant,
) {
    let now = clock::now();
    if share.incarnation == edge.incarnation {
        return;
    }
    let heartbeat = members::Heartbeat { ip: from, zone: share.zone, seq: share.seq };
    let mut members = edge.members();
    let is_new = !members.is_live(from, now);
    if !members.record_heartbeat(heartbeat, share.incarnation, now) {
        return;
    }
    let relayed: Vec<_> = share.members.iter().copied().map(Into::into).collect();
    members.record_relayed(&relayed, now);
    if share.follows {
        members.record_following(from, now);
    }
    members.record_ready(from, share.is_ready, now);
    let (cell, own_cell) = (members.cell(from), members.own_cell());
    drop(members);
    let evidence: Vec<_> = share.evidence.iter().map(Into::into).collect();
    let limits: Vec<_> = share.limits.iter().map(Into::into).collect();
    let misdirected: Vec<_> = share.misdirected.iter().map(Into::into).collect();
    let is_news = quotas::merge(edge, &limits, &share.name)
        | misdirected::merge(edge, &misdirected, &share.name)
        | watch::merge(edge, &evidence);
    if is_news && cell != Some(own_cell) {
        // The sender has reached only a few entries of this cell.
        edge.evidence_changed.notify_one();
    }
    if let Some(used) = share.used.as_ref().filter(|_| cell == Some(own_cell)) {
        edge.allowances().record(&share.name, &used.statements(), used.is_complete, now);
    }
    if let (Some(digest), Some(cell)) = (&share.digest, cell.filter(|cell| *cell != own_cell))
        && let Some(used) = &digest.used
    {
        let (said, entries) = (used.statements(), digest.entries);
        edge.allowances().record_cell(cell, entries, &said, used.is_complete, now);
    }
    if is_new {
        edge.commitments_changed.notify_one();
        let is_near = cell == Some(own_cell);
        tracing::info!(peer = share.name, %from, is_near, "edge: peer joined");
    }
    if apply_share(edge, share, cell, own_cell, now) {
        edge.slot_freed.notify_waiters();
    }
    let own = edge.directory().versions();
    let versions = lag::Versions { config: share.config, servers: share.servers };
    let grace = time::Duration::from_millis(share.grace_ms.into());
    let misses_store =
        edge.is_disconnected() || edge.tables().servers.may_follow_outage(&edge.terms(), now);
    if misses_store && !grace.is_zero() {
        edge.directory().fleet.adopt_grace(grace, now);
    }
    edge.tables().record_told(from, &share.answered, &own.knows(&versions), arrived_at);
    edge.table_learned.notify_waiters();
    if own.lags_behind(&versions) {
        edge.lag().record(from, versions);
        edge.lag_detected.notify_one();
    }
}

// Applies the commitments and the usage in a datagram from an entry of `cell`; returns whether a
// waiting request may be served now.
fn apply_share(
    edge: &edge::Edge,
    share: &share::Share,
    cell: Option<cells::CellId>,
    own_cell: cells::CellId,
    now: time::Instant,
) -> bool {
    let committed = share.committed.as_ref().map(share::Commitments::report);
    let digest = share.digest.as_ref().map(|digest| digest.committed.report());
    let mut may_serve = false;
    let mut directory = edge.directory();
    for (name, service) in directory.named_services() {
        if let Some(requests) = share.demand.get(name)
            && cell == Some(own_cell)
        {
            service.demand.record(&share.name, *requests, now);
        }
        let engines = &mut service.engines;
        if let Some(report) = &committed {
            may_serve |= engines.update_peer(&share.name, report, now) && engines.has_queue();
            let waiting = share.waiting.get(name).filter(|_| cell == Some(own_cell));
            engines.set_peer_waiting(&share.name, waiting.copied());
        }
        if let (Some(report), Some(cell)) = (&digest, cell) {
            engines.update_digest(cell, report, now);
        }
        for tag in &share.full {
            engines.set_full_for_peer(*tag, now);
        }
        for place in share.kept.iter().take(beginnings::MAX_TOLD) {
            service.beginnings.record_told(*place, now);
        }
        if cell == Some(own_cell) {
            for speed in share.speeds.iter().take(share::MAX_SPEEDS) {
                engines.merge_speed((*speed).into());
            }
        }
        for tag in &share.changing {
            if let Some(id) = engines.name(*tag).cloned() {
                engines.set_changing(&id, now + CHANGING_TTL);
            }
        }
    }
    if cell == Some(own_cell) {
        for (name, usage) in &share.usage {
            directory.service(name).engines.update_peer_usage(&share.name, *usage);
        }
    }
    let digest = share.digest.iter().flat_map(|digest| &digest.usage);
    for ((name, usage), cell) in digest.zip(cell.into_iter().cycle()) {
        directory.service(name).engines.update_cell_usage(cell, *usage);
    }
    may_serve
}
