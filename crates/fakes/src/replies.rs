//! Responses that fake backend servers share.

use std::io;

use hyper::{HeaderMap, Response, StatusCode, header};
use tokio::sync::mpsc;

use rhubarb_node::response;

/// Header with the id of the caller's attempt.
pub(crate) const ATTEMPT_ID: &str = "x-attempt-id";

/// Rejection that reports that the request was not executed.
pub(crate) fn not_run(status: StatusCode) -> Response<response::Body> {
    let mut reply = response::text(status, "");
    reply.headers_mut().insert("x-not-executed", header_value("1"));
    reply
}

/// Rejection by a server that is full.
pub(crate) fn shed() -> Response<response::Body> {
    not_run(StatusCode::SERVICE_UNAVAILABLE)
}

/// Answer of the server `id` to a health check.
pub(crate) fn healthy(id: &str) -> Response<response::Body> {
    let mut reply = response::text(StatusCode::OK, "");
    reply.headers_mut().insert("x-instance-id", header_value(id));
    reply
}

/// Rejection by another server that now has the address.
pub(crate) fn misdirected() -> Response<response::Body> {
    let mut reply = not_run(StatusCode::MISDIRECTED_REQUEST);
    reply.headers_mut().insert("x-instance-id", header_value("i-other"));
    reply
}

/// Response whose connection is aborted before its body.
pub(crate) fn reset() -> Response<response::Body> {
    let (sender, receiver) = mpsc::channel(1);
    let _ = sender.try_send(Err(io::Error::other("reset")));
    Response::new(response::stream(receiver))
}

/// Marks a response as made by the server with this seal and load, which ran the request.
pub(crate) fn seal(headers: &mut HeaderMap, seal: &str, load: &str) {
    headers.insert("x-response-seal", header_value(seal));
    headers.insert("x-server-load", header_value(load));
}

/// Status with this number; 500 if it is none.
pub(crate) fn status(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Text of a header; empty if it is missing.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

/// Header value of `text`; empty if it is no valid value.
pub(crate) fn header_value(text: &str) -> header::HeaderValue {
    header::HeaderValue::from_str(text).unwrap_or(header::HeaderValue::from_static(""))
}
