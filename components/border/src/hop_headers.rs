//! Header fields that a hop keeps to itself.

/// Header fields that concern one connection, or that each hop sets anew.
const HOP_HEADERS: [http::HeaderName; 12] = [
    http::header::CONNECTION,
    http::header::CONTENT_LENGTH,
    http::header::EXPECT,
    http::header::HOST,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::HeaderName::from_static("keep-alive"),
    http::HeaderName::from_static("proxy-connection"),
];

/// Returns the header fields that go on to the next hop.
///
/// A `Connection` field can't turn those in `kept` into fields of one connection.
#[must_use]
pub fn end_to_end(headers: &http::HeaderMap, kept: &[http::HeaderName]) -> http::HeaderMap {
    let mut passed = headers.clone();
    for name in named_by_connection(headers) {
        if !kept.contains(&name) {
            passed.remove(name);
        }
    }
    for name in &HOP_HEADERS {
        passed.remove(name);
    }
    passed
}

fn named_by_connection(headers: &http::HeaderMap) -> Vec<http::HeaderName> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
