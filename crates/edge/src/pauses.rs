//! Pauses that servers have asked for: what their responses say, and whether a request may be sent.

use std::{sync, time};

use hyper::{Response, StatusCode};

use rhubarb_core::pauses;
use rhubarb_node::clock;
use rhubarb_platform::response;

use crate::{connections, directory, edge};

/// Interval between checks for pauses that have ended.
const REPORT_PERIOD: time::Duration = time::Duration::from_millis(200);

/// Records a request that is about to be sent to a server, unless the server is paused.
pub(crate) fn permit(
    edge: &edge::Edge,
    target: &directory::Target,
) -> Result<(), connections::SendError> {
    let now = clock::now();
    let mut pauses = edge.pauses();
    if pauses.is_empty() {
        return Ok(());
    }
    let is_allowed = pauses.try_send(&target.process, now);
    close(edge, target, &pauses, now);
    if is_allowed {
        return Ok(());
    }
    edge.counters.withheld.inc();
    Err(connections::SendError::Paused)
}

/// Whether a server has asked for a pause that has not ended.
pub(crate) fn is_paused(edge: &edge::Edge, target: &directory::Target) -> bool {
    edge.pauses().closed(&target.process, clock::now()).is_some()
}

/// Records what a response of any kind says about a pause of its server.
pub(crate) fn observe<B>(edge: &edge::Edge, target: &directory::Target, response: &Response<B>) {
    let (server, now) = (target.id.as_str(), clock::now());
    let response::PauseNotice { length, unexpected } = response::pause_notice(response);
    let is_bounded = length.is_some_and(|length| length > pauses::MAX_PAUSE);
    if let Some(value) = unexpected.or_else(|| is_bounded.then(|| format!("{length:?}")))
        && edge.log_limit().allows(&format!("pause {server}"), now)
    {
        tracing::warn!(server, value, "edge: invalid pause of a server");
    }
    let mut pauses = edge.pauses();
    let Some(length) = length else {
        // A server that is full still gets few requests.
        let has_room = response.status() != StatusCode::SERVICE_UNAVAILABLE;
        if has_room && !pauses.is_empty() && pauses.answered(&target.process, now) {
            close(edge, target, &pauses, now);
        }
        return;
    };
    let returning = returning(edge, target);
    let used = pauses.record(&target.process, length, returning, now);
    close(edge, target, &pauses, now);
    drop(pauses);
    if let Some(used) = used {
        edge.counters.pauses.inc();
        let (asked_s, used_s) = (length.as_secs_f64(), used.as_secs_f64());
        tracing::info!(server, asked_s, used_s, "edge: server paused");
    }
}

/// Reports pauses that have ended; does not return.
pub(crate) async fn report(edge: sync::Arc<edge::Edge>) {
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        let ended = edge.pauses().expire(clock::now());
        for pauses::Ended { server, withheld } in ended {
            tracing::info!(server, withheld, "edge: pause of server ended");
        }
    }
}

// How this entry returns to a server after a pause.
fn returning(edge: &edge::Edge, target: &directory::Target) -> pauses::Return {
    let directory = edge.directory();
    pauses::Return {
        slots: directory.fleet.get(&target.id).map_or(0, |instance| instance.slots),
        // As many as there can be while the number is unknown.
        entries: directory.entry_count.unwrap_or(u32::MAX),
        draw: rand::random(),
    }
}

// Tells the services in which time a server is not chosen.
fn close(
    edge: &edge::Edge,
    target: &directory::Target,
    pauses: &pauses::Pauses,
    now: time::Instant,
) {
    let closed = pauses.closed(&target.process, now);
    let mut directory = edge.directory();
    // Not for a later process under the same id.
    if directory.target(&target.id).is_none_or(|current| current.process != target.process) {
        return;
    }
    for service in directory.services() {
        service.pool.set_paused(&target.id, closed);
        service.engines.set_paused(&target.id, closed);
    }
}
