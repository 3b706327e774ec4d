//! The id by which a caller can name its request.

use hyper::{HeaderMap, header};

/// Header of the id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Sets the id of a request in its answer.
pub(crate) fn insert(headers: &mut HeaderMap, id: &str) {
    if let Ok(id) = header::HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
}
