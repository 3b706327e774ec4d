//! Metrics, health and drain by HTTP.

use std::sync;

use hyper::{Method, Request, Response, StatusCode, body};
use serde_json::json;

use rhubarb_node::{answer, clock, control};

use crate::agent;

/// Answers one request.
pub(crate) async fn handle(
    agent: sync::Arc<agent::Agent>,
    request: Request<body::Incoming>,
) -> Response<answer::Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => agent.metrics.registry.answer(),
        (&Method::GET, "/healthz") => answer::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&agent),
        (&Method::GET, "/status") => answer::json(StatusCode::OK, &status(&agent)),
        (&Method::POST, "/drain") => drain(&agent, request.headers()),
        _ => answer::text(StatusCode::NOT_FOUND, "use /metrics, /healthz, /readyz or /status\n"),
    }
}

fn drain(agent: &agent::Agent, headers: &hyper::HeaderMap) -> Response<answer::Body> {
    if !control::is_operator(&agent.settings.keys, headers) {
        return answer::text(StatusCode::UNAUTHORIZED, "send the deployment's shared key\n");
    }
    agent.lock().gate.leave();
    tracing::info!("agent: an operator asked it to leave");
    answer::text(StatusCode::OK, "draining\n")
}

fn ready(agent: &agent::Agent) -> Response<answer::Body> {
    let state = agent.lock();
    if state.loaded && !state.gate.is_leaving() {
        answer::text(StatusCode::OK, "ready\n")
    } else {
        answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready; see /status\n")
    }
}

fn status(agent: &agent::Agent) -> serde_json::Value {
    let state = agent.lock();
    let load = state.load();
    json!({
        "server": agent.settings.server,
        "version": state.editions.version(),
        "fence": state.fence,
        "loaded": state.loaded,
        "registered": state.registered,
        "leaving": load.leaving,
        "rooms": load.slots,
        "held": load.held,
        "waiting": load.waiting,
        "open": state.gate.open_runs(),
        "keys": state.gate.key_count(),
        "held_back_ms": state.gate.held_back(clock::now()).as_millis() as u64,
    })
}
