//! Conversions of single fields.

use std::time;

use crate::wire_error;

/// Length of a field that holds a number of 128 bits, in bytes.
const WIDE_BYTES: usize = 16;

/// Encodes a number of 128 bits.
pub(crate) fn wide_bytes(number: u128) -> bytes::Bytes {
    bytes::Bytes::copy_from_slice(&number.to_be_bytes())
}

/// Decodes a number of 128 bits.
pub(crate) fn wide_number(
    field: &'static str,
    value: &bytes::Bytes,
) -> Result<u128, wire_error::WireError> {
    let array: [u8; WIDE_BYTES] =
        value
            .as_ref()
            .try_into()
            .map_err(|_| wire_error::WireError::Length {
                field,
                found: value.len(),
                expected: WIDE_BYTES,
            })?;
    Ok(u128::from_be_bytes(array))
}

/// Encodes a request.
pub(crate) fn request_bytes(request: ids::RequestId) -> bytes::Bytes {
    wide_bytes(request.0)
}

/// Decodes a request.
pub(crate) fn request_id(value: &bytes::Bytes) -> Result<ids::RequestId, wire_error::WireError> {
    wide_number("request", value).map(ids::RequestId)
}

/// Encodes a span of time, in microseconds.
pub(crate) fn span_micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a part that must be there.
pub(crate) fn required<Part>(
    field: &'static str,
    part: Option<Part>,
) -> Result<Part, wire_error::WireError> {
    part.ok_or(wire_error::WireError::Missing { field })
}

/// Decodes a list, item by item.
pub(crate) fn all<Item, Part: TryFrom<Item, Error = wire_error::WireError>>(
    items: Vec<Item>,
) -> Result<Vec<Part>, wire_error::WireError> {
    items.into_iter().map(Part::try_from).collect()
}

/// Encodes a list, item by item.
pub(crate) fn list<Item: From<Part>, Part>(parts: Vec<Part>) -> Vec<Item> {
    parts.into_iter().map(Item::from).collect()
}
