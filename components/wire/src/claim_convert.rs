//! Conversions of the states of claims.

use crate::{field, proto, wire_error};

/// A claim as a key owner holds it: key, request, fingerprint and state.
type HeldClaim = (call::ClaimKey, ids::RequestId, u128, call::ClaimState);

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
        call::ClaimKey(field::wide_number("key", key)?),
        field::request_id(request)?,
        decode_state(*state)?,
    ))
}

/// Encodes a claim that passes to the next key owner.
pub(crate) fn encode_held((key, request, fingerprint, state): HeldClaim) -> proto::HeldClaim {
    proto::HeldClaim {
        key: field::wide_bytes(key.0),
        request: field::request_bytes(request),
        fingerprint: field::wide_bytes(fingerprint),
        state: encode_state(state).into(),
    }
}

/// Decodes a claim that passes to the next key owner.
pub(crate) fn decode_held(claim: &proto::HeldClaim) -> Result<HeldClaim, wire_error::WireError> {
    let proto::HeldClaim {
        key,
        request,
        fingerprint,
        state,
    } = claim;
    Ok((
        call::ClaimKey(field::wide_number("key", key)?),
        field::request_id(request)?,
        field::wide_number("fingerprint", fingerprint)?,
        decode_state(*state)?,
    ))
}

const fn encode_state(state: call::ClaimState) -> proto::ClaimState {
    match state {
        call::ClaimState::Granted => proto::ClaimState::Granted,
        call::ClaimState::Running => proto::ClaimState::Running,
        call::ClaimState::Ran => proto::ClaimState::Ran,
        call::ClaimState::NotRun => proto::ClaimState::NotRun,
        call::ClaimState::Unknown => proto::ClaimState::Unknown,
    }
}

fn decode_state(found: i32) -> Result<call::ClaimState, wire_error::WireError> {
    match proto::ClaimState::try_from(found) {
        Ok(proto::ClaimState::Granted) => Ok(call::ClaimState::Granted),
        Ok(proto::ClaimState::Running) => Ok(call::ClaimState::Running),
        Ok(proto::ClaimState::Ran) => Ok(call::ClaimState::Ran),
        Ok(proto::ClaimState::NotRun) => Ok(call::ClaimState::NotRun),
        Ok(proto::ClaimState::Unknown) => Ok(call::ClaimState::Unknown),
        Ok(proto::ClaimState::Unspecified) | Err(_) => Err(wire_error::WireError::UnknownValue {
            field: "claim state",
            found,
        }),
    }
}
