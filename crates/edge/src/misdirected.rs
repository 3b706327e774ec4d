//! Servers at whose registered addresses others answer: what responses and other entries say, and
//! checks of who answers there.

use std::{sync, time};

use hyper::{Response, StatusCode};

use rhubarb_core::{fleet, misdirected};
use rhubarb_node::clock;
use rhubarb_platform::{engine, request, response};

use crate::{directory, edge, exchange, quotas};

/// Result of a check.
enum Finding {
    /// The registered server answers; an engine also tells its stage.
    Same(Option<fleet::Stage>),
    /// Another server answers.
    Other,
    /// The response does not tell, or there is none.
    Unknown,
}

/// Timeout of a check; a server that is not full responds within milliseconds.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Checks that begin at the same time.
const MAX_CHECKS: usize = 16;
/// Time between two looks at places that are due, if there are none.
const IDLE_PERIOD: time::Duration = time::Duration::from_secs(60);

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

/// Checks who answers at the addresses of servers that are suspected, and again now and then; does not
/// return.
pub(crate) async fn check(edge: sync::Arc<edge::Edge>) {
    loop {
        let next = edge.misdirected().next_due().unwrap_or_else(|| clock::now() + IDLE_PERIOD);
        tokio::select! {
            () = edge.misdirected_changed.notified() => {}
            () = tokio::time::sleep_until(next.into()) => {}
        }
        let now = clock::now();
        let mut known = edge.misdirected();
        let due = known.take_due(MAX_CHECKS, rand::random(), now);
        for place in known.take_unconfirmed(now) {
            edge.directory().set_misdirected(place, false);
        }
        let directory = edge.directory();
        known.expire(|place| directory.target_at(place).is_some(), now);
        drop((directory, known));
        for place in due {
            tokio::spawn(check_place(edge.clone(), place));
        }
    }
}

async fn check_place(edge: sync::Arc<edge::Edge>, place: misdirected::Place) {
    let target = edge.directory().target_at(place);
    let Some(target) = target else { return };
    let finding = ask(&edge, &target).await;
    let is_other = match finding {
        Finding::Same(_) => false,
        Finding::Other => true,
        Finding::Unknown => {
            tracing::info!(server = target.id, "edge: check of an address without a result");
            return;
        }
    };
    let mut known = edge.misdirected();
    let is_new = known.record(place, is_other, clock::now());
    let mut directory = edge.directory();
    directory.set_misdirected(place, known.is_other(place));
    if is_new && let Finding::Same(Some(stage)) = finding {
        // It may have refused a request for another stage than its own.
        directory.correct_stage(&target.id, stage);
    }
    drop((directory, known));
    if is_new {
        log_finding(&target, is_other, "check", time::Duration::ZERO);
        edge.slot_freed.notify_waiters();
        edge.evidence_changed.notify_one();
    }
}

// Asks at the address of a server who answers there.
async fn ask(edge: &edge::Edge, target: &directory::Target) -> Finding {
    let id = target.id.as_str();
    let service = edge.directory().service_of(id).cloned();
    let Some(service) = service else { return Finding::Unknown };
    let is_engine = service.engine.is_some();
    let request = match service.health_path {
        _ if is_engine => engine::report_request(id),
        Some(path) => match request::health_check(&path, id) {
            Ok(request) => request,
            Err(err) => {
                tracing::warn!(path, %err, "edge: invalid path of a health check");
                return Finding::Unknown;
            }
        },
        None => return Finding::Unknown,
    };
    let fetching = exchange::fetch_at(edge, target, request, quotas::Cost::One);
    let Ok(Ok(reply)) = tokio::time::timeout(CHECK_TIMEOUT, fetching).await else {
        return Finding::Unknown;
    };
    if reply.head.status() == StatusCode::MISDIRECTED_REQUEST {
        return Finding::Other;
    }
    let body = reply.body.as_ref().filter(|_| is_engine && reply.is_success());
    if let Some(Ok(state)) = body.map(|body| engine::read_report(body)) {
        return Finding::Same(state.stage.filter(|_| !state.is_busy));
    }
    match response::instance(reply.head.headers()) {
        Some(instance) if instance == id => Finding::Same(None),
        Some(_) => Finding::Other,
        None => Finding::Unknown,
    }
}

fn log_finding(target: &directory::Target, is_other: bool, source: &str, ago: time::Duration) {
    tracing::info!(
        server = target.id,
        address = %target.address,
        is_other,
        source,
        ago_ms = ago.as_millis() as u64,
        "edge: answers at the address of a server"
    );
}
