//! Header fields that a hop keeps to itself.

/// Header fields that concern one connection, or that this hop sets anew.
const HOP_HEADERS: [http::HeaderName; 11] = [
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
];

/// Returns the header fields that go on to the next hop.
pub(crate) fn passed_on(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = headers.clone();
    for name in named_by_connection(headers) {
        kept.remove(name);
    }
    for name in &HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove(border::TRACE_HEADER);
    kept.remove(crate::OUTCOME_HEADER);
    kept
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
