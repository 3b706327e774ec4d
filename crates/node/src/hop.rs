//! Headers that belong to one connection.

use hyper::{HeaderMap, header};

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the header `name` belongs to the connection only, be it by itself or since the
/// `Connection` header in `all` names it.
pub fn is_hop_by_hop(name: &str, all: &HeaderMap) -> bool {
    let named = all.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut named = named.flat_map(|value| value.split(','));
    HOP_BY_HOP_HEADERS.contains(&name) || named.any(|other| other.trim().eq_ignore_ascii_case(name))
}
