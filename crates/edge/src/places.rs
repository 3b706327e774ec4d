//! Checks of who answers at the addresses of servers that may have moved.

use std::{sync, time};

use hyper::StatusCode;

use rhubarb_core::{fleet, misdirected as core_misdirected};
use rhubarb_node::clock;
use rhubarb_platform::{engine, request, response};

use crate::{directory, edge, exchange, misdirected, quotas};

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

/// Checks who answers at the addresses of servers that are suspected, and again now and then; does not
/// return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
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

async fn check_place(edge: sync::Arc<edge::Edge>, place: core_misdirected::Place) {
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
        misdirected::log_finding(&target, is_other, "check", time::Duration::ZERO);
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
