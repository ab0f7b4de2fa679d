//! Conversions of where an instance is.

use crate::{proto, wire_error};

/// Encodes where an instance is.
pub(crate) fn encode_entry(entry: border::InstanceEntry) -> proto::InstanceEntry {
    let border::InstanceEntry {
        id,
        address,
        region,
        data_centre,
        leaving,
    } = entry;
    proto::InstanceEntry {
        id: id.0,
        address: address.to_string(),
        region: region.to_string(),
        data_centre: data_centre.to_string(),
        leaving,
    }
}

/// Decodes where an instance is.
pub(crate) fn decode_entry(
    entry: proto::InstanceEntry,
) -> Result<border::InstanceEntry, wire_error::WireError> {
    let proto::InstanceEntry {
        id,
        address,
        region,
        data_centre,
        leaving,
    } = entry;
    Ok(border::InstanceEntry {
        id: ids::InstanceId(id),
        address: address
            .parse()
            .map_err(|_| wire_error::WireError::Address)?,
        region: region.into(),
        data_centre: data_centre.into(),
        leaving,
    })
}
