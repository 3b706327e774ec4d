//! What callers on the platform send, and how they tell a server's answer.

use hyper::HeaderMap;

/// Headers of a request with the id `attempt`.
pub fn headers(attempt: &str) -> [(&str, &str); 2] {
    [("x-attempt-id", attempt), ("x-token-usage", "100,60")]
}

/// Whether a server made the answer.
pub fn is_servers(headers: &HeaderMap) -> bool {
    headers.contains_key("x-response-seal")
}
