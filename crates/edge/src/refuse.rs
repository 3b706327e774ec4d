//! Refusals: responses that the entry generates itself.

use std::time;

use hyper::{Response, StatusCode, header};

use rhubarb_core::{outcome, pauses, pool};
use rhubarb_node::{clock, metrics, response};
use rhubarb_platform::response as platform_response;

use outcome::{Outcome, Reason, Refusal};

use crate::{call, edge, metrics as edge_metrics};

/// Records the refusal of a request that is not a call yet, and returns the response.
pub(crate) fn ingress_response(
    edge: &edge::Edge,
    attempt_id: Option<&header::HeaderValue>,
    refusal: Refusal,
) -> Response<response::Body> {
    edge.counters.requests.refused.get_or_create(&metrics::reason_labels(refusal.reason)).inc();
    let id = attempt_id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    let reason = refusal.reason.name();
    let (ages, outcome) = (edge.tables().ages(clock::now()), refusal.outcome.name());
    tracing::info!(id, reason, outcome, config_age_ms = ages.config, "edge: refused");
    build_response(attempt_id, refusal)
}

/// Records the refusal of a call, and returns the response.
pub(crate) fn call_response(call: &call::Call, refusal: Refusal) -> Response<response::Body> {
    record(call, refusal);
    build_response(call.head.attempt_id.as_ref(), refusal)
}

/// Counts and logs the refusal of a call.
pub(crate) fn record(call: &call::Call, refusal: Refusal) {
    if let Some(charge) = call.charge.as_ref().filter(|_| refusal.outcome == Outcome::NotRun) {
        charge.refund(&call.edge);
    }
    call.account().update(|totals| totals.count_outcome(refusal.outcome, Some(refusal.reason)));
    call.edge
        .counters
        .requests
        .refused
        .get_or_create(&metrics::reason_labels(refusal.reason))
        .inc();
    let labels = edge_metrics::RankLabels { rank: call.urgency.rank };
    call.edge.counters.refused_ranks.get_or_create(&labels).inc();
    let retry_ms = refusal.retry.map(|retry| retry.as_millis() as u64);
    let ages = call.ages();
    tracing::info!(
        id = call.id(),
        route = call.route.name,
        config = call.version,
        config_age_ms = ages.config,
        servers_age_ms = ages.servers,
        customer = call.head.customer,
        rank = call.urgency.rank,
        route_rank = call.urgency.route,
        reason = refusal.reason.name(),
        outcome = refusal.outcome.name(),
        is_retry = call.is_retry,
        is_stopping = call.edge.is_stopping(),
        age_ms = call.age_ms(),
        retry_ms,
        "edge: refused"
    );
}

/// Whether the failure of a server may be passed on to the caller as it is. The only place that decides on
/// statuses which say that a request did not run: if the server says so only by the status, a request that
/// may run once at most gets a failure of this entry instead, which leaves open whether it ran.
pub(crate) fn may_forward(
    call: &call::Call,
    server: &str,
    status: StatusCode,
    class: platform_response::HeadClass,
) -> bool {
    let is_ambiguous = class == platform_response::HeadClass::Ambiguous;
    if !is_ambiguous || call.route.kind.is_repeatable() {
        return true;
    }
    let status = status.as_u16();
    let labels = edge_metrics::StatusLabels { status };
    call.edge.counters.withheld_statuses.get_or_create(&labels).inc();
    tracing::info!(
        id = call.id(),
        server,
        status,
        age_ms = call.age_ms(),
        "edge: status of a server not passed on, as the request may have run"
    );
    false
}

/// Delay before a caller retries that found all servers paused; the first is sent to again after
/// `closed`.
pub(crate) fn pause_retry(closed: pauses::Closed) -> time::Duration {
    pauses::retry_delay(closed, rand::random(), clock::now())
}

/// Outcome to record for a server that refused a request or failed.
///
/// A server that another server has replaced at its address is ejected for a while; its row is
/// expected to change meanwhile. That a server itself is leaving is not told by its refusals but by
/// its row and its announcements.
pub(crate) fn failure_outcome(reason: Reason) -> pool::ServerOutcome {
    match reason {
        Reason::Leaving => pool::ServerOutcome::Failure(Reason::NoServer),
        reason => pool::ServerOutcome::Failure(reason),
    }
}

fn build_response(
    attempt_id: Option<&header::HeaderValue>,
    refusal: Refusal,
) -> Response<response::Body> {
    // A retry delay tells the caller that the request did not run.
    let retry = refusal.retry.filter(|_| refusal.outcome == Outcome::NotRun);
    let text = format!("{refusal}\n");
    platform_response::local_head(status(&refusal), attempt_id, retry)
        .map(|()| response::full(text))
}

fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.outcome) {
        (Reason::NoService, _) => StatusCode::NOT_FOUND,
        // Callers do not repeat a request that is answered so.
        (Reason::CrashingPrompt | Reason::CrashingRequest, _) if refusal.retry.is_none() => {
            StatusCode::BAD_REQUEST
        }
        (Reason::UnknownCaller, _) => StatusCode::UNAUTHORIZED,
        (Reason::OverRate, Outcome::NotRun) => StatusCode::TOO_MANY_REQUESTS,
        (Reason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (Reason::OldProtocol, _) => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::TooLate | Reason::EngineSilent, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
