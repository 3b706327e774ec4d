//! Whether the processes of engines are still those that their rows name.
//!
//! An engine may start again under its id with another version of its software, some time before its
//! row says so. Where that may have happened no begun stream goes on, until the engine itself or a
//! newer row says which process it is.

use std::{sync, time};

use bytes::Bytes;

use rhubarb_core::backoff;
use rhubarb_node::clock;
use rhubarb_platform::engine;

use crate::{directory, edge, exchange, quotas};

/// Base of the interval between questions to an engine, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longest interval between questions to an engine.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);
/// Timeout of a question.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Whether a report of an engine is of the process that is registered, which has started at `started_ms`.
/// One that does not tell is taken for it.
pub(crate) fn is_registered(target: &directory::Target, started_ms: u64, report: &Bytes) -> bool {
    match engine::read_report(report) {
        Ok(state) => state.started_ms.is_none_or(|said| said == started_ms),
        Err(err) => {
            tracing::warn!(server = target.id, %err, "edge: state of engine cannot be parsed");
            false
        }
    }
}

/// Records that the process of an engine may have ended since its row was written, and asks it.
pub(crate) fn doubt(edge: &sync::Arc<edge::Edge>, target: &directory::Target) {
    let Some(started_ms) = target.process.1 else { return };
    let mut directory = edge.directory();
    let is_engine = directory.service_of(&target.id).is_some_and(|known| known.engine.is_some());
    if !is_engine || !directory.record_down(&target.id) {
        return;
    }
    drop(directory);
    tokio::spawn(ask(edge.clone(), target.clone(), started_ms));
}

// Asks an engine which process it is until it or a newer row says so.
async fn ask(edge: sync::Arc<edge::Edge>, target: directory::Target, started_ms: u64) {
    let mut backoff = backoff::Backoff::new(RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        let request = engine::report_request(&target.id);
        let fetching = exchange::fetch_at(&edge, &target, request, quotas::Cost::One);
        let reply = tokio::time::timeout(TIMEOUT, fetching).await.ok().and_then(Result::ok);
        let reply = reply.filter(exchange::BufferedResponse::is_success);
        if !is_open(&edge, &target) {
            return;
        }
        if let Some(report) = reply.and_then(|reply| reply.body) {
            let is_registered = is_registered(&target, started_ms, &report);
            tracing::info!(server = target.id, is_registered, "edge: process of an engine asked");
            if is_registered {
                edge.directory().record_row(&target.id);
                edge.slot_freed.notify_waiters();
            }
            return;
        }
        tokio::time::sleep(clock::jitter(backoff.next_delay())).await;
    }
}

// Whether a process is in doubt and still the one that is registered.
fn is_open(edge: &edge::Edge, target: &directory::Target) -> bool {
    let directory = edge.directory();
    directory.is_unverified(&target.id)
        && directory.target(&target.id).is_some_and(|known| known.place() == target.place())
}
