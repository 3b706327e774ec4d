//! Headers that callers on the platform send, and the check whether a server sent a response.

use hyper::HeaderMap;

/// Headers of a request whose attempt id is `attempt`.
pub fn headers(attempt: &str) -> [(&str, &str); 2] {
    [("x-attempt-id", attempt), ("x-token-usage", "100,60")]
}

/// Whether a server sent the response, and not the entry itself; only servers add a seal.
pub fn is_from_server(headers: &HeaderMap) -> bool {
    headers.contains_key("x-response-seal")
}
