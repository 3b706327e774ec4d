//! Final answers that are not a server's.

use hyper::{Response, StatusCode, header};

use rhubarb_core::outcome;
use rhubarb_node::{metrics, response};
use rhubarb_platform::response as forms;

use outcome::{Outcome, Reason, Refusal};

use crate::{call, edge};

/// Answer to a request that is refused before it has a route.
pub(crate) fn early(
    edge: &edge::Edge,
    attempt: Option<&header::HeaderValue>,
    refusal: Refusal,
) -> Response<response::Body> {
    edge.counters.requests.refused.get_or_create(&metrics::reason_labels(refusal.reason)).inc();
    let id = attempt.and_then(|id| id.to_str().ok()).unwrap_or("-");
    let reason = refusal.reason.name();
    tracing::info!(id, reason, outcome = refusal.outcome.name(), "edge: refused");
    answer(attempt, refusal)
}

/// Answer to a request that is given up.
pub(crate) fn late(call: &call::Call, refusal: Refusal) -> Response<response::Body> {
    note(call, refusal);
    answer(call.head.attempt.as_ref(), refusal)
}

/// Counts and logs that a request is given up.
pub(crate) fn note(call: &call::Call, refusal: Refusal) {
    call.account().add(|totals| totals.count_outcome(refusal.outcome, Some(refusal.reason)));
    call.edge
        .counters
        .requests
        .refused
        .get_or_create(&metrics::reason_labels(refusal.reason))
        .inc();
    let retry_ms = refusal.retry.map(|retry| retry.as_millis() as u64);
    tracing::info!(
        id = call.id(),
        route = call.route.name,
        config = call.version,
        reason = refusal.reason.name(),
        outcome = refusal.outcome.name(),
        returned = call.returned,
        age_ms = call.age_ms(),
        retry_ms,
        "edge: refused"
    );
}

fn answer(attempt: Option<&header::HeaderValue>, refusal: Refusal) -> Response<response::Body> {
    // A time to come back is a promise that nothing ran.
    let retry = refusal.retry.filter(|_| refusal.outcome == Outcome::NotRun);
    let text = format!("{refusal}\n");
    forms::local_head(status(&refusal), attempt, retry).map(|()| response::full(text))
}

fn status(refusal: &Refusal) -> StatusCode {
    match (refusal.reason, refusal.outcome) {
        (Reason::NoService, _) => StatusCode::NOT_FOUND,
        (Reason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (Reason::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
        (_, Outcome::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (Reason::TooLate | Reason::EngineSilent, _) => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
