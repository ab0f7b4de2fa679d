//! Conversions of placements and of leases.

use std::time;

use crate::{field, proto, wire_error};

impl From<ids::LeaseId> for proto::LeaseId {
    fn from(lease: ids::LeaseId) -> Self {
        let ids::LeaseId {
            owner,
            term,
            sequence,
        } = lease;
        Self {
            owner: owner.0,
            term,
            sequence,
        }
    }
}

impl From<proto::LeaseId> for ids::LeaseId {
    fn from(lease: proto::LeaseId) -> Self {
        let proto::LeaseId {
            owner,
            term,
            sequence,
        } = lease;
        Self {
            owner: ids::InstanceId(owner),
            term,
            sequence,
        }
    }
}

impl From<place::Placement> for proto::Placement {
    fn from(placement: place::Placement) -> Self {
        let place::Placement {
            request,
            attempt,
            lease,
            prefill,
            decode,
            kv_pieces,
            start_in,
            expires_in,
        } = placement;
        Self {
            request: field::request_bytes(request),
            attempt: attempt.0,
            lease: Some(lease.into()),
            prefill: prefill.to_string(),
            decode: decode.to_string(),
            kv_pieces,
            start_in_us: field::span_micros(start_in),
            expires_in_us: field::span_micros(expires_in),
        }
    }
}

impl TryFrom<proto::Placement> for place::Placement {
    type Error = wire_error::WireError;

    fn try_from(placement: proto::Placement) -> Result<Self, Self::Error> {
        let proto::Placement {
            request,
            attempt,
            lease,
            prefill,
            decode,
            kv_pieces,
            start_in_us,
            expires_in_us,
        } = placement;
        Ok(Self {
            request: field::request_id(&request)?,
            attempt: ids::AttemptNumber(attempt),
            lease: field::required("lease", lease)?.into(),
            prefill: prefill.into(),
            decode: decode.into(),
            kv_pieces,
            start_in: time::Duration::from_micros(start_in_us),
            expires_in: time::Duration::from_micros(expires_in_us),
        })
    }
}

impl From<place::LeaseUpdate> for proto::LeaseUpdate {
    fn from(update: place::LeaseUpdate) -> Self {
        let place::LeaseUpdate {
            lease,
            request,
            phase,
            generated_tokens,
        } = update;
        Self {
            lease: Some(lease.into()),
            request: field::request_bytes(request),
            phase: encode_phase(phase).into(),
            generated_tokens,
        }
    }
}

impl TryFrom<proto::LeaseUpdate> for place::LeaseUpdate {
    type Error = wire_error::WireError;

    fn try_from(update: proto::LeaseUpdate) -> Result<Self, Self::Error> {
        let proto::LeaseUpdate {
            lease,
            request,
            phase,
            generated_tokens,
        } = update;
        Ok(Self {
            lease: field::required("lease", lease)?.into(),
            request: field::request_id(&request)?,
            phase: decode_phase(phase)?,
            generated_tokens,
        })
    }
}

impl From<place::RetargetRequest> for proto::RetargetAsk {
    fn from(ask: place::RetargetRequest) -> Self {
        let place::RetargetRequest {
            lease,
            request,
            attempt,
            failed,
            retained_for,
        } = ask;
        Self {
            lease: Some(lease.into()),
            request: field::request_bytes(request),
            attempt: attempt.0,
            failed: failed.to_string(),
            retained_for_us: field::span_micros(retained_for),
        }
    }
}

impl TryFrom<proto::RetargetAsk> for place::RetargetRequest {
    type Error = wire_error::WireError;

    fn try_from(ask: proto::RetargetAsk) -> Result<Self, Self::Error> {
        let proto::RetargetAsk {
            lease,
            request,
            attempt,
            failed,
            retained_for_us,
        } = ask;
        Ok(Self {
            lease: field::required("lease", lease)?.into(),
            request: field::request_id(&request)?,
            attempt: ids::AttemptNumber(attempt),
            failed: failed.into(),
            retained_for: time::Duration::from_micros(retained_for_us),
        })
    }
}

impl From<place::LeaseClaim> for proto::LeaseClaim {
    fn from(claim: place::LeaseClaim) -> Self {
        let place::LeaseClaim {
            cell,
            placement,
            phase,
            prompt_tokens,
            max_tokens,
            generated_tokens,
        } = claim;
        Self {
            cell: cell.0,
            placement: Some(placement.into()),
            phase: encode_phase(phase).into(),
            prompt_tokens,
            max_tokens,
            generated_tokens,
        }
    }
}

impl TryFrom<proto::LeaseClaim> for place::LeaseClaim {
    type Error = wire_error::WireError;

    fn try_from(claim: proto::LeaseClaim) -> Result<Self, Self::Error> {
        let proto::LeaseClaim {
            cell,
            placement,
            phase,
            prompt_tokens,
            max_tokens,
            generated_tokens,
        } = claim;
        Ok(Self {
            cell: ids::CellId(cell),
            placement: field::required("placement", placement)?.try_into()?,
            phase: decode_phase(phase)?,
            prompt_tokens,
            max_tokens,
            generated_tokens,
        })
    }
}

const fn encode_phase(phase: place::LeasePhase) -> proto::LeasePhase {
    match phase {
        place::LeasePhase::Granted => proto::LeasePhase::Granted,
        place::LeasePhase::Prefill => proto::LeasePhase::Prefill,
        place::LeasePhase::Transfer => proto::LeasePhase::Transfer,
        place::LeasePhase::Decode => proto::LeasePhase::Decode,
        place::LeasePhase::Released => proto::LeasePhase::Released,
        place::LeasePhase::Failed => proto::LeasePhase::Failed,
    }
}

fn decode_phase(found: i32) -> Result<place::LeasePhase, wire_error::WireError> {
    match proto::LeasePhase::try_from(found) {
        Ok(proto::LeasePhase::Granted) => Ok(place::LeasePhase::Granted),
        Ok(proto::LeasePhase::Prefill) => Ok(place::LeasePhase::Prefill),
        Ok(proto::LeasePhase::Transfer) => Ok(place::LeasePhase::Transfer),
        Ok(proto::LeasePhase::Decode) => Ok(place::LeasePhase::Decode),
        Ok(proto::LeasePhase::Released) => Ok(place::LeasePhase::Released),
        Ok(proto::LeasePhase::Failed) => Ok(place::LeasePhase::Failed),
        Ok(proto::LeasePhase::Unspecified) | Err(_) => Err(wire_error::WireError::UnknownValue {
            field: "lease phase",
            found,
        }),
    }
}
