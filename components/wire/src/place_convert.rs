//! Conversions of messages between entry instances and cell owners.

use std::time;

use crate::{field, proto, wire_error};

impl From<place::Message> for proto::PlaceMessage {
    fn from(message: place::Message) -> Self {
        let body = match message {
            place::Message::Request(ask) => proto::place_message::Body::Ask(ask.into()),
            place::Message::Placed(placement) => {
                proto::place_message::Body::Placed(placement.into())
            }
            place::Message::Refused(refusal) => proto::place_message::Body::Refused(refusal.into()),
            place::Message::Withdraw(request, attempt) => {
                proto::place_message::Body::Withdraw(proto::Withdrawal {
                    request: field::request_bytes(request),
                    attempt: attempt.0,
                })
            }
            place::Message::Updates(updates) => {
                proto::place_message::Body::Updates(proto::LeaseUpdates {
                    updates: field::list(updates),
                })
            }
            place::Message::Retarget(ask) => proto::place_message::Body::Retarget(ask.into()),
            place::Message::Claims(cell, claims, last) => {
                proto::place_message::Body::Claims(proto::LeaseClaims {
                    cell: cell.0,
                    claims: field::list(claims),
                    last,
                })
            }
            place::Message::Holding(cell, digest) => {
                let place::LeaseDigest { count, sum } = digest;
                proto::place_message::Body::Holding(proto::Holding {
                    cell: cell.0,
                    count,
                    sum,
                })
            }
            place::Message::RequestClaims(cell) => proto::place_message::Body::WantClaims(cell.0),
            place::Message::Revoked(leases) => {
                proto::place_message::Body::Revoked(proto::Revocations {
                    leases: field::list(leases),
                })
            }
            place::Message::Capacity(adverts) => {
                proto::place_message::Body::Spare(proto::SpareAdverts {
                    adverts: field::list(adverts),
                })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::PlaceMessage> for place::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::PlaceMessage) -> Result<Self, Self::Error> {
        Ok(match field::required("place message", message.body)? {
            proto::place_message::Body::Ask(ask) => Self::Request(ask.try_into()?),
            proto::place_message::Body::Placed(placement) => Self::Placed(placement.try_into()?),
            proto::place_message::Body::Refused(refusal) => Self::Refused(refusal.try_into()?),
            proto::place_message::Body::Withdraw(proto::Withdrawal { request, attempt }) => {
                Self::Withdraw(field::request_id(&request)?, ids::AttemptNumber(attempt))
            }
            proto::place_message::Body::Updates(proto::LeaseUpdates { updates }) => {
                Self::Updates(field::all(updates)?)
            }
            proto::place_message::Body::Retarget(ask) => Self::Retarget(ask.try_into()?),
            proto::place_message::Body::Claims(proto::LeaseClaims { cell, claims, last }) => {
                Self::Claims(ids::CellId(cell), field::all(claims)?, last)
            }
            proto::place_message::Body::Holding(proto::Holding { cell, count, sum }) => {
                Self::Holding(ids::CellId(cell), place::LeaseDigest { count, sum })
            }
            proto::place_message::Body::WantClaims(cell) => Self::RequestClaims(ids::CellId(cell)),
            proto::place_message::Body::Revoked(proto::Revocations { leases }) => {
                Self::Revoked(field::list(leases))
            }
            proto::place_message::Body::Spare(proto::SpareAdverts { adverts }) => {
                Self::Capacity(field::list(adverts))
            }
        })
    }
}

impl From<place::PlacementRequest> for proto::PlaceAsk {
    fn from(ask: place::PlacementRequest) -> Self {
        let place::PlacementRequest {
            cell,
            request,
            attempt,
            class,
            workspace,
            model,
            prompt_tokens,
            max_tokens,
            prefix_blocks,
            first_token_within,
            is_retry,
        } = ask;
        Self {
            cell: cell.0,
            request: field::request_bytes(request),
            attempt: attempt.0,
            class: class.to_string(),
            workspace: workspace.to_string(),
            model: model.to_string(),
            prompt_tokens,
            max_tokens,
            prefix_blocks,
            first_token_within_us: field::span_micros(first_token_within),
            repeated: is_retry,
        }
    }
}

impl TryFrom<proto::PlaceAsk> for place::PlacementRequest {
    type Error = wire_error::WireError;

    fn try_from(ask: proto::PlaceAsk) -> Result<Self, Self::Error> {
        let proto::PlaceAsk {
            cell,
            request,
            attempt,
            class,
            workspace,
            model,
            prompt_tokens,
            max_tokens,
            prefix_blocks,
            first_token_within_us,
            repeated,
        } = ask;
        Ok(Self {
            cell: ids::CellId(cell),
            request: field::request_id(&request)?,
            attempt: ids::AttemptNumber(attempt),
            class: class.into(),
            workspace: workspace.into(),
            model: model.into(),
            prompt_tokens,
            max_tokens,
            prefix_blocks,
            first_token_within: time::Duration::from_micros(first_token_within_us),
            is_retry: repeated,
        })
    }
}

impl From<place::Refusal> for proto::Refusal {
    fn from(refusal: place::Refusal) -> Self {
        let place::Refusal {
            request,
            attempt,
            reason,
            retry_after,
        } = refusal;
        Self {
            request: field::request_bytes(request),
            attempt: attempt.0,
            reason: encode_reason(reason).into(),
            retry_after_us: field::span_micros(retry_after),
        }
    }
}

impl TryFrom<proto::Refusal> for place::Refusal {
    type Error = wire_error::WireError;

    fn try_from(refusal: proto::Refusal) -> Result<Self, Self::Error> {
        let proto::Refusal {
            request,
            attempt,
            reason,
            retry_after_us,
        } = refusal;
        Ok(Self {
            request: field::request_id(&request)?,
            attempt: ids::AttemptNumber(attempt),
            reason: decode_reason(reason)?,
            retry_after: time::Duration::from_micros(retry_after_us),
        })
    }
}

impl From<place::CapacityAdvert> for proto::SpareAdvert {
    fn from(advert: place::CapacityAdvert) -> Self {
        let place::CapacityAdvert {
            cell,
            free_slots,
            free_pieces,
            prefill_wait_ms,
        } = advert;
        Self {
            cell: cell.0,
            free_slots,
            free_pieces,
            prefill_wait_ms,
        }
    }
}

impl From<proto::SpareAdvert> for place::CapacityAdvert {
    fn from(advert: proto::SpareAdvert) -> Self {
        let proto::SpareAdvert {
            cell,
            free_slots,
            free_pieces,
            prefill_wait_ms,
        } = advert;
        Self {
            cell: ids::CellId(cell),
            free_slots,
            free_pieces,
            prefill_wait_ms,
        }
    }
}

const fn encode_reason(reason: place::RefusalReason) -> proto::RefusalReason {
    match reason {
        place::RefusalReason::NotOwner => proto::RefusalReason::NotOwner,
        place::RefusalReason::TakingOver => proto::RefusalReason::TakingOver,
        place::RefusalReason::FirstTokenLate => proto::RefusalReason::FirstTokenLate,
        place::RefusalReason::PaceTooSlow => proto::RefusalReason::PaceTooSlow,
        place::RefusalReason::TooLarge => proto::RefusalReason::TooLarge,
        place::RefusalReason::QueueFull => proto::RefusalReason::QueueFull,
        place::RefusalReason::RetryBudget => proto::RefusalReason::RetryBudget,
        place::RefusalReason::NoEngine => proto::RefusalReason::NoEngine,
    }
}

fn decode_reason(found: i32) -> Result<place::RefusalReason, wire_error::WireError> {
    match proto::RefusalReason::try_from(found) {
        Ok(proto::RefusalReason::NotOwner) => Ok(place::RefusalReason::NotOwner),
        Ok(proto::RefusalReason::TakingOver) => Ok(place::RefusalReason::TakingOver),
        Ok(proto::RefusalReason::FirstTokenLate) => Ok(place::RefusalReason::FirstTokenLate),
        Ok(proto::RefusalReason::PaceTooSlow) => Ok(place::RefusalReason::PaceTooSlow),
        Ok(proto::RefusalReason::TooLarge) => Ok(place::RefusalReason::TooLarge),
        Ok(proto::RefusalReason::QueueFull) => Ok(place::RefusalReason::QueueFull),
        Ok(proto::RefusalReason::RetryBudget) => Ok(place::RefusalReason::RetryBudget),
        Ok(proto::RefusalReason::NoEngine) => Ok(place::RefusalReason::NoEngine),
        Ok(proto::RefusalReason::Unspecified) | Err(_) => {
            Err(wire_error::WireError::UnknownValue {
                field: "refusal reason",
                found,
            })
        }
    }
}
