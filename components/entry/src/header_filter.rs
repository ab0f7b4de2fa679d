//! Header fields that a hop keeps to itself.

/// Returns the header fields that go on to the next hop.
pub(crate) fn passed_on(headers: &http::HeaderMap) -> http::HeaderMap {
    let mut kept = border::end_to_end(headers, &[]);
    kept.remove(border::TRACE_HEADER);
    kept.remove(crate::OUTCOME_HEADER);
    kept
}
