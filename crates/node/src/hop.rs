//! Hop-by-hop headers, which a proxy does not forward.

use hyper::{HeaderMap, header};

/// Headers that are always hop-by-hop (RFC 9110, section 7.6.1).
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

/// Whether the header `name` is hop-by-hop, by definition or because the `Connection` header in
/// `all` lists it.
pub fn is_hop_by_hop(name: &str, all: &HeaderMap) -> bool {
    let values = all.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut listed = values.flat_map(|value| value.split(','));
    HOP_BY_HOP_HEADERS.contains(&name)
        || listed.any(|other| other.trim().eq_ignore_ascii_case(name))
}
