//! Conversions of the states of claims.

use crate::{field, proto, wire_error};

/// Encodes the state of a claim.
pub(crate) fn encode_report(
    key: call::ClaimKey,
    request: ids::RequestId,
    state: call::ClaimState,
) -> proto::ClaimReport {
    proto::ClaimReport {
        key: field::wide_bytes(key.0),
        request: field::request_bytes(request),
        state: encode_state(state).into(),
    }
}

/// Decodes the state of a claim.
pub(crate) fn decode_report(
    report: &proto::ClaimReport,
) -> Result<(call::ClaimKey, ids::RequestId, call::ClaimState), wire_error::WireError> {
    let proto::ClaimReport {
        key,
        request,
        state,
    } = report;
    Ok((
        decode_key(key)?,
        field::request_id(request)?,
        decode_state(*state)?,
    ))
}

/// Encodes a claim that passes to another witness.
pub(crate) fn encode_held(claim: call::HeldClaim) -> proto::HeldClaim {
    proto::HeldClaim {
        key: field::wide_bytes(claim.key.0),
        request: field::request_bytes(claim.request),
        fingerprint: field::wide_bytes(claim.fingerprint),
        state: encode_state(claim.state).into(),
    }
}

/// Decodes a claim that passes to another witness.
pub(crate) fn decode_held(
    claim: &proto::HeldClaim,
) -> Result<call::HeldClaim, wire_error::WireError> {
    let proto::HeldClaim {
        key,
        request,
        fingerprint,
        state,
    } = claim;
    Ok(call::HeldClaim {
        key: decode_key(key)?,
        request: field::request_id(request)?,
        fingerprint: field::wide_number("fingerprint", fingerprint)?,
        state: decode_state(*state)?,
    })
}

/// Encodes a key that may be missing.
pub(crate) fn encode_after(after: Option<call::ClaimKey>) -> Option<bytes::Bytes> {
    after.map(|key| field::wide_bytes(key.0))
}

/// Decodes a key that may be missing.
pub(crate) fn decode_after(
    after: Option<&bytes::Bytes>,
) -> Result<Option<call::ClaimKey>, wire_error::WireError> {
    after.map(decode_key).transpose()
}

/// Decodes a key.
pub(crate) fn decode_key(key: &bytes::Bytes) -> Result<call::ClaimKey, wire_error::WireError> {
    field::wide_number("key", key).map(call::ClaimKey)
}

const fn encode_state(state: call::ClaimState) -> proto::ClaimState {
    match state {
        call::ClaimState::Granted => proto::ClaimState::Granted,
        call::ClaimState::Running => proto::ClaimState::Running,
        call::ClaimState::Ran => proto::ClaimState::Ran,
        call::ClaimState::NotRun => proto::ClaimState::NotRun,
        call::ClaimState::Unknown => proto::ClaimState::Unknown,
        call::ClaimState::Mismatch => proto::ClaimState::Mismatch,
    }
}

fn decode_state(found: i32) -> Result<call::ClaimState, wire_error::WireError> {
    match proto::ClaimState::try_from(found) {
        Ok(proto::ClaimState::Granted) => Ok(call::ClaimState::Granted),
        Ok(proto::ClaimState::Running) => Ok(call::ClaimState::Running),
        Ok(proto::ClaimState::Ran) => Ok(call::ClaimState::Ran),
        Ok(proto::ClaimState::NotRun) => Ok(call::ClaimState::NotRun),
        Ok(proto::ClaimState::Unknown) => Ok(call::ClaimState::Unknown),
        Ok(proto::ClaimState::Mismatch) => Ok(call::ClaimState::Mismatch),
        Ok(proto::ClaimState::Unspecified) | Err(_) => Err(wire_error::WireError::UnknownValue {
            field: "claim state",
            found,
        }),
    }
}
