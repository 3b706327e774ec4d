//! HTTP server for metrics, health, status and drain.

use std::sync;

use hyper::{Method, Request, Response, StatusCode, body};
use serde_json::json;

use rhubarb_node::{clock, response, shared_settings};

use crate::agent;

/// Handles one request.
pub(crate) async fn handle(
    agent: sync::Arc<agent::Agent>,
    request: Request<body::Incoming>,
) -> Response<response::Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => agent.metrics.registry.response(),
        (&Method::GET, "/healthz") => response::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&agent),
        (&Method::GET, "/status") => response::json(StatusCode::OK, &status(&agent)),
        (&Method::POST, "/drain") => drain(&agent, request.headers()),
        _ => response::text(StatusCode::NOT_FOUND, "use /metrics, /healthz, /readyz or /status\n"),
    }
}

fn drain(agent: &agent::Agent, headers: &hyper::HeaderMap) -> Response<response::Body> {
    if !shared_settings::is_operator(&agent.settings.keys, headers) {
        return response::text(StatusCode::UNAUTHORIZED, "send the deployment's shared key\n");
    }
    agent.lock().gate.leave();
    tracing::info!("agent: draining at the request of an operator");
    response::text(StatusCode::OK, "draining\n")
}

fn ready(agent: &agent::Agent) -> Response<response::Body> {
    let state = agent.lock();
    if state.loaded && !state.gate.is_leaving() {
        response::text(StatusCode::OK, "ready\n")
    } else {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready; see /status\n")
    }
}

fn status(agent: &agent::Agent) -> serde_json::Value {
    let state = agent.lock();
    let load = state.load();
    json!({
        "server": agent.settings.server,
        "version": state.revisions.version(),
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
