//! Error responses that the entry makes itself.

use std::time;

use hyper::{Response, StatusCode, header};
use serde_json::json;

use rhubarb_core::outcome;
use rhubarb_node::response;

use outcome::{Outcome, Reason, Refusal};

/// Header that reports whether the request ran.
pub(crate) const OUTCOME_HEADER: &str = "rhubarb-outcome";

/// Builds the error response of a refusal; `detail` precedes the advice to the caller.
pub(crate) fn error_response(refusal: Refusal, detail: Option<&str>) -> Response<response::Body> {
    let mut response = response::json(status(&refusal), &error_body(refusal, detail));
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(refusal.outcome.name()));
    if let Some(retry) = refusal.retry {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(whole_seconds(retry)));
    }
    response
}

/// Builds the JSON error object of a refusal, which is also the last event of an aborted stream.
pub(crate) fn error_body(refusal: Refusal, detail: Option<&str>) -> serde_json::Value {
    let remedy = refusal.reason.remedy();
    let message = detail.map_or(remedy.to_string(), |detail| format!("{detail}; {remedy}"));
    json!({
        "error": {
            "type": refusal.reason.name(),
            "message": message,
            "outcome": refusal.outcome.name(),
            "retry_after_ms": refusal.retry.map(|retry| retry.as_micros().div_ceil(1000) as u64),
        }
    })
}

/// Adjusts a refusal that the entry decides without an agent.
///
/// With an idempotency key the outcome is unknown, because an earlier copy of the request may have
/// run.
pub(crate) fn local_refusal(refusal: Refusal, keyed: bool) -> Refusal {
    if keyed { Refusal { outcome: Outcome::Unknown, ..refusal } } else { refusal }
}

fn whole_seconds(retry: time::Duration) -> u64 {
    retry.as_millis().div_ceil(1000).max(1) as u64
}

fn status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::OldProtocol => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        Reason::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
        Reason::KeyMissing => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::UnknownCaller => StatusCode::UNAUTHORIZED,
        Reason::Forbidden => StatusCode::FORBIDDEN,
        Reason::NoService => StatusCode::NOT_FOUND,
        Reason::OverRate | Reason::OverShare | Reason::OverConcurrent => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::KeyRunning => StatusCode::CONFLICT,
        Reason::EngineSilent => StatusCode::GATEWAY_TIMEOUT,
        Reason::TooLate if refusal.outcome == Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Reason::EngineFailed | Reason::LostContact if refusal.outcome == Outcome::Unknown => {
            StatusCode::BAD_GATEWAY
        }
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
