//! Headers that callers on the platform send, and what the headers of a response say.

use hyper::HeaderMap;

/// Header with the key of the caller's customer.
pub const KEY: &str = "x-key";
/// Header with the parts of the prompt.
pub const PROMPT: &str = "x-prompt-prefix";
/// Headers of a request whose attempt id is `attempt`.
pub fn headers(attempt: &str) -> [(&str, &str); 2] {
    [("x-attempt-id", attempt), ("x-token-usage", "100,60")]
}

/// Whether a server sent the response, and not the entry itself; only servers add a seal.
pub fn is_from_server(headers: &HeaderMap) -> bool {
    headers.contains_key("x-response-seal")
}

/// Seal of a response, as `Backend::seal` makes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seal<'a> {
    /// Id of the server that made the response.
    pub server: &'a str,
    /// Start of that server.
    pub born: u64,
    /// Attempt for which it was made.
    pub attempt: &'a str,
}

/// Seal of a response; `None` if a server did not make it.
pub fn seal(headers: &HeaderMap) -> Option<Seal<'_>> {
    let mut parts = headers.get("x-response-seal")?.to_str().ok()?.splitn(3, '/');
    let (server, born, attempt) = (parts.next()?, parts.next()?.parse().ok()?, parts.next()?);
    Some(Seal { server, born, attempt })
}

/// Attempt id that a response echoes.
pub fn echoed_attempt(headers: &HeaderMap) -> Option<&str> {
    headers.get("x-attempt-id")?.to_str().ok()
}

/// Whether a response says that its server leaves.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    headers.contains_key("server-leaving")
}
