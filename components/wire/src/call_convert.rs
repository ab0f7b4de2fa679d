//! Conversions of messages between call keepers.

use crate::{claim_convert, field, proto, wire_error};

impl From<call::Message> for proto::CallMessage {
    fn from(message: call::Message) -> Self {
        use proto::call_message::Body;
        let body = match message {
            call::Message::Claim(key, request, fingerprint) => Body::Claim(proto::Claim {
                key: field::wide_bytes(key.0),
                request: field::request_bytes(request),
                fingerprint: field::wide_bytes(fingerprint),
            }),
            call::Message::Claimed(key, request, state) => {
                Body::Claimed(claim_convert::encode_report(key, request, state))
            }
            call::Message::Settle(key, request, state) => {
                Body::Settle(claim_convert::encode_report(key, request, state))
            }
            call::Message::HandOver(claims) => Body::HandOver(proto::HandOver {
                claims: claims.into_iter().map(claim_convert::encode_held).collect(),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::CallMessage> for call::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::CallMessage) -> Result<Self, Self::Error> {
        use proto::call_message::Body;
        match field::required("call message", message.body)? {
            Body::Claim(claim) => decode_claim(&claim),
            Body::Claimed(report) => {
                let (key, request, state) = claim_convert::decode_report(&report)?;
                Ok(Self::Claimed(key, request, state))
            }
            Body::Settle(report) => {
                let (key, request, state) = claim_convert::decode_report(&report)?;
                Ok(Self::Settle(key, request, state))
            }
            Body::HandOver(proto::HandOver { claims }) => {
                let claims = claims.iter().map(claim_convert::decode_held);
                Ok(Self::HandOver(claims.collect::<Result<_, _>>()?))
            }
        }
    }
}

fn decode_claim(claim: &proto::Claim) -> Result<call::Message, wire_error::WireError> {
    let proto::Claim {
        key,
        request,
        fingerprint,
    } = claim;
    Ok(call::Message::Claim(
        call::ClaimKey(field::wide_number("key", key)?),
        field::request_id(request)?,
        field::wide_number("fingerprint", fingerprint)?,
    ))
}
