//! Software versions that began streams: told to other entries and asked for.
//!
//! A stream goes on only at the version that began it. An entry remembers its own streams. While the
//! servers of their service may have several versions it tells them to a few others, its keepers, and
//! an entry at which a caller takes a stream up asks all.

use std::{net, sync, time};

use tokio::net as tokio_net;

use rhubarb_core::{agreement, ids, origins as core_origins};
use rhubarb_node::clock;
use rhubarb_wire::origins;

use crate::{call, edge, histories, stream_records, uses};

/// Delay in which streams that begin are told together.
const BATCH_DELAY: time::Duration = time::Duration::from_millis(100);
/// Time after which the other entries have answered, unless their answers were lost.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(80);
/// Difference of the clocks of instances and servers that is allowed for.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(3);
/// Times that the others are asked.
const MAX_ROUNDS: u32 = 4;
/// Others asked in the first round, those of the own zone first: the balancer sends a caller to the
/// entries of its zone, so that one of them had the stream.
const FIRST_ASKED: usize = 120;

/// Records the version that began the stream of a call at a server; none if it is uncertain. Its process
/// started at `started_ms`, if it was shown to be the registered one.
pub(crate) fn record(
    call: &call::Call,
    server: &str,
    origin: Option<ids::SoftwareTag>,
    started_ms: Option<u64>,
) {
    let edge = &call.edge;
    for attempt in call.stream_tags() {
        let (service, server) = (call.service.clone(), ids::server_tag(server));
        let at = clock::now();
        let (is_told, stored) = (false, core_origins::Stored::No);
        let stream =
            core_origins::Own { attempt, service, server, started_ms, at, is_told, stored };
        edge.origins().record_own(stream, origin);
    }
    if edge.directory().needs_origins(&call.service, clock::now()) {
        edge.note_origins();
    }
}

/// Version that began the stream that a call takes up; none if it cannot be found out.
pub(crate) async fn find(call: &call::Call) -> Option<ids::SoftwareTag> {
    let (edge, service) = (&call.edge, call.service.as_str());
    let asked = clock::now();
    // The version of a service tells nothing of streams that may be another service's.
    let is_split = call.route.services().nth(1).is_some();
    let Some(attempt) = call.head.resumes.as_ref().map(|first| ids::attempt_tag(first.as_bytes()))
    else {
        let is_current = histories::refresh(edge, asked).await;
        let single = edge.directory().only_software(service, clock::now());
        let single = single.filter(|_| is_current && !is_split);
        tracing::info!(id = call.id(), single, is_current, "edge: version of a stream looked up");
        return single;
    };
    edge.answers().said.insert(attempt, agreement::Agreement::default());
    let found = ask_all(edge, attempt, service, is_split).await;
    let single = match found {
        None if !is_split => agreed(edge, attempt, service, asked).await,
        _ => None,
    };
    let older = match found.or(single) {
        None if !is_split => older(edge, attempt, service),
        _ => None,
    };
    let (stored, ended) = match found.or(single).or(older) {
        None => {
            let reading = stream_records::find(edge, attempt);
            tokio::join!(reading, uses::find(edge, attempt, service, asked, is_split))
        }
        Some(_) => (None, None),
    };
    // The store may have told that the version is uncertain.
    let ended = ended.filter(|_| !edge.origins().is_uncertain(attempt));
    let said = edge.answers().said.remove(&attempt);
    let origin = found.or(single).or(older).or(stored).or(ended);
    if origin.is_none() {
        let entries = edge.members().known_size();
        let own = edge.directory().older_streams(service, clock::now());
        tracing::info!(id = call.id(), ?said, ?own, entries, "edge: version of a stream unknown");
    }
    tracing::info!(
        id = call.id(),
        resumes = ?call.head.resumes,
        found,
        single,
        older,
        stored,
        ended,
        "edge: version of a stream looked up"
    );
    origin
}

// The version of a stream that no entry knows, as all of them say of streams that are older than their
// processes.
fn older(edge: &edge::Edge, attempt: ids::AttemptTag, service: &str) -> Option<ids::SoftwareTag> {
    if edge.origins().is_uncertain(attempt) {
        return None;
    }
    let entries = edge.members().known_size();
    let own = edge.directory().older_streams(service, clock::now());
    edge.answers().said.get(&attempt)?.older(own, entries)
}

// The only version of a service, as this entry and those that have answered know, if that is shown to
// hold at `asked` or later: by the store, or by most entries of the fleet. An entry alone may have
// stood still or been cut off while a version was added.
async fn agreed(
    edge: &edge::Edge,
    attempt: ids::AttemptTag,
    service: &str,
    asked: time::Instant,
) -> Option<ids::SoftwareTag> {
    let said = edge.answers().said.get(&attempt).cloned().unwrap_or_default();
    if said.has_dissent() {
        return None;
    }
    let is_current = histories::refresh(edge, asked).await;
    let directory = edge.directory();
    let is_shown = is_current || said.is_majority(directory.entry_count);
    let single = directory.agreed_software(service, &said.versions(), clock::now());
    single.filter(|_| is_shown)
}

// Asks the other entries for the version that began a stream, until one knows it. Stops early if this
// entry or another knows of one version only, unless the route `is_split` between services.
async fn ask_all(
    edge: &edge::Edge,
    attempt: ids::AttemptTag,
    service: &str,
    is_split: bool,
) -> Option<ids::SoftwareTag> {
    for round in 0..MAX_ROUNDS {
        if let Some(software) = edge.origins().get(attempt) {
            return Some(software);
        }
        let peers = edge.members().nearest(clock::now());
        let wanted = if round == 0 { peers.len().min(FIRST_ASKED) } else { peers.len() };
        let count = edge.answers().questions.take(wanted, clock::now());
        if count < wanted && edge.log_limit().allows("origins asked", clock::now()) {
            tracing::warn!(wanted, count, "edge: too many streams taken up to ask for all");
        }
        let asked = origins::Content::Asked { attempt, service: service.to_string() };
        send(edge, peers.into_iter().take(count), &origins::Message::new(asked)).await;
        let until = clock::now() + ANSWER_TIME;
        loop {
            let learned = edge.origin_learned.notified();
            if let Some(software) = edge.origins().get(attempt) {
                return Some(software);
            }
            if tokio::time::timeout_at(until.into(), learned).await.is_err() {
                break;
            }
        }
        let said = edge.answers().said.get(&attempt).cloned().unwrap_or_default();
        let only = edge.directory().only_software(service, clock::now());
        let is_shown =
            said.has_answer() || only.is_some() || older(edge, attempt, service).is_some();
        if !is_split && is_shown {
            return None;
        }
    }
    None
}

/// Makes the streams uncertain that a server has begun since its process was started, now that its row
/// names another version than before.
pub(crate) fn retract(edge: &edge::Edge, server: &str, started_ms: Option<u64>) {
    let age = started_ms.map(|started_ms| {
        time::Duration::from_millis(edge.dates.now_ms().saturating_sub(started_ms))
    });
    let since = age.and_then(|age| clock::now().checked_sub(age + CLOCK_MARGIN));
    let streams = edge.origins().retract(ids::server_tag(server), started_ms, since);
    tracing::info!(server, ?age, streams, "edge: version of a server changed");
    edge.directory().record_replaced(server, clock::now());
    edge.note_origins();
}

/// Tells the keepers which version has begun streams of this entry; does not return.
pub(crate) async fn tell(edge: sync::Arc<edge::Edge>) {
    loop {
        edge.origin_begun.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        loop {
            let needed = edge.directory().mixed_services(clock::now());
            let is_needed = |service: &str| needed.contains(service);
            let told = edge.origins().take_untold(origins::MAX_TOLD, is_needed);
            if told.is_empty() {
                break;
            }
            let keepers = edge.members().keepers(clock::now());
            send(&edge, keepers.into_iter(), &origins::Message::tell(&told)).await;
        }
    }
}

async fn send(
    edge: &edge::Edge,
    targets: impl Iterator<Item = net::IpAddr>,
    message: &origins::Message,
) {
    let Some(socket) = edge.socket() else { return };
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(err) => return tracing::error!(%err, "edge: origins of streams not encoded"),
    };
    for ip in targets {
        match socket.send_to(&bytes, edge.peer_address(ip)).await {
            Ok(sent) => {
                edge.counters.shares_sent.inc();
                edge.counters.bytes_sent.inc_by(sent as u64);
            }
            Err(err) => tracing::debug!(%ip, %err, "edge: origins of streams not sent to peer"),
        }
    }
}

/// Handles a datagram of another entry.
pub(crate) async fn handle(
    edge: &edge::Edge,
    socket: &tokio_net::UdpSocket,
    from: net::SocketAddr,
    bytes: &[u8],
) {
    let content = match origins::Message::decode(bytes) {
        Ok(message) => message.content,
        Err(err) => return tracing::warn!(%from, %err, "edge: invalid datagram ignored"),
    };
    match content {
        origins::Content::Told(told) => {
            let mut known = edge.origins();
            for (origin, attempts) in told {
                let attempts = attempts.into_iter().map(ids::AttemptTag::from_be_bytes);
                attempts.for_each(|attempt| _ = known.record_told(attempt, origin));
            }
            drop(known);
            edge.origin_learned.notify_waiters();
        }
        origins::Content::Asked { attempt, service } => {
            let origin = edge.origins().get(attempt);
            let only = edge.directory().only_software(&service, clock::now());
            let is_mixed = edge.directory().has_several(&service, clock::now());
            let older = edge.directory().older_streams(&service, clock::now());
            let message = match (origin, only) {
                // The store may name a version that has become uncertain since.
                (None, None) if edge.origins().is_uncertain(attempt) => {
                    origins::Message::tell(&[(attempt, None)])
                }
                (None, None) if !is_mixed => return,
                _ => origins::Message::new(origins::Content::Answered {
                    attempt,
                    origin,
                    only,
                    older,
                    process: edge.incarnation,
                    is_replaced: edge.directory().has_replaced(&service, clock::now()),
                }),
            };
            match message.encode() {
                Ok(bytes) => {
                    if let Err(err) = socket.send_to(&bytes, from).await {
                        tracing::debug!(%from, %err, "edge: origin of a stream not answered");
                    }
                }
                Err(err) => tracing::error!(%err, "edge: origins of streams not encoded"),
            }
        }
        origins::Content::Answered { attempt, origin, only, older, process, is_replaced } => {
            if origin.is_some() {
                edge.origins().record_told(attempt, origin);
            }
            if let Some(said) = edge.answers().said.get_mut(&attempt)
                && origin.is_none()
            {
                said.record(from.ip(), only);
                said.record_older(from.ip(), older);
                said.record_process(process, is_replaced);
            }
            edge.origin_learned.notify_waiters();
        }
    }
}
