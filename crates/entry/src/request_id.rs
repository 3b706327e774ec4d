//! Request id, chosen by the caller or generated, which identifies a request in its response.

use hyper::{HeaderMap, header};

/// Header that carries the request id.
pub(crate) const HEADER: &str = "x-request-id";

/// Sets the request id in the headers of a response.
pub(crate) fn insert(headers: &mut HeaderMap, id: &str) {
    if let Ok(id) = header::HeaderValue::from_str(id) {
        headers.insert(HEADER, id);
    }
}
