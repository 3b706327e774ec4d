//! Asks engines that may have ended or started again which processes they are.

use std::{sync, time};

use hyper::StatusCode;

use rhubarb_core::backoff;
use rhubarb_node::clock;
use rhubarb_platform::engine;

use crate::{directory, doubts, edge, exchange, quotas};

/// Base of the interval between questions to an engine, which doubles with each of them, before jitter.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Longest interval between questions to an engine.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);
/// Timeout of a question.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Asks engines whose processes are in doubt; does not return.
pub(crate) async fn run(edge: sync::Arc<edge::Edge>) {
    loop {
        edge.process_doubted.notified().await;
        for target in edge.take_doubts() {
            tokio::spawn(ask(edge.clone(), target));
        }
    }
}

/// Whether the process of an engine has ended, as the engine or its closed port says. One that does not
/// answer in time is taken to go on.
pub(crate) async fn has_ended(edge: &edge::Edge, target: &directory::Target) -> bool {
    let request = engine::report_request(&target.id);
    let fetching = exchange::fetch_at(edge, target, request, quotas::Cost::One);
    match tokio::time::timeout(TIMEOUT, fetching).await {
        Ok(Ok(exchange::BufferedResponse { head, body: Some(body) })) => match head.status() {
            StatusCode::OK => !exchange::is_registered(target, &body),
            status => status == StatusCode::MISDIRECTED_REQUEST,
        },
        outcome => {
            let reason = outcome.map(|result| result.err().map(|err| err.to_string()));
            tracing::info!(
                server = target.id,
                ?reason,
                "edge: engine has not said that it goes on"
            );
            edge.connections.is_closed(target.address).await
        }
    }
}

// Asks an engine which process it is until it or a newer row says so.
async fn ask(edge: sync::Arc<edge::Edge>, target: directory::Target) {
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
            let is_registered = exchange::is_registered(&target, &report);
            tracing::info!(server = target.id, is_registered, "edge: process of an engine asked");
            if is_registered {
                edge.directory().record_row(&target.id);
                edge.slot_freed.notify_waiters();
            } else {
                doubts::record_unregistered(&edge, &target);
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
