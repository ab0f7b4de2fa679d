//! Conversions of messages between call keepers.

use std::time;

use crate::{claim_convert, field, proto, wire_error};

impl From<call::Message> for proto::CallMessage {
    fn from(message: call::Message) -> Self {
        let body = match message {
            call::Message::Claim {
                key,
                request,
                fingerprint,
                window,
            } => proto::call_message::Body::Claim(proto::Claim {
                key: field::wide_bytes(key.0),
                request: field::request_bytes(request),
                fingerprint: field::wide_bytes(fingerprint),
                window_micros: field::span_micros(window),
            }),
            call::Message::Claimed {
                key,
                request,
                state,
                confirmed,
            } => proto::call_message::Body::Claimed(proto::ClaimAnswer {
                report: Some(claim_convert::encode_report(key, request, state)),
                vouched: confirmed,
            }),
            call::Message::Settle {
                key,
                request,
                state,
            } => {
                proto::call_message::Body::Settle(claim_convert::encode_report(key, request, state))
            }
            call::Message::RequestClaims { process, after } => {
                proto::call_message::Body::Recall(proto::Recall {
                    process: process.0,
                    after: claim_convert::encode_after(after),
                })
            }
            call::Message::HandOver {
                process,
                after,
                claims,
                coverage_window,
                more,
            } => proto::call_message::Body::HandOver(proto::HandOver {
                claims: claims.into_iter().map(claim_convert::encode_held).collect(),
                process: process.map(|process| process.0),
                after: claim_convert::encode_after(after),
                known_for_micros: field::span_micros(coverage_window),
                more,
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::CallMessage> for call::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::CallMessage) -> Result<Self, Self::Error> {
        match field::required("call message", message.body)? {
            proto::call_message::Body::Claim(claim) => decode_claim(&claim),
            proto::call_message::Body::Claimed(answer) => decode_answer(answer),
            proto::call_message::Body::Settle(report) => {
                let (key, request, state) = claim_convert::decode_report(&report)?;
                Ok(Self::Settle {
                    key,
                    request,
                    state,
                })
            }
            proto::call_message::Body::Recall(recall) => Ok(Self::RequestClaims {
                process: ids::Incarnation(recall.process),
                after: claim_convert::decode_after(recall.after.as_ref())?,
            }),
            proto::call_message::Body::HandOver(page) => decode_page(&page),
        }
    }
}

fn decode_claim(claim: &proto::Claim) -> Result<call::Message, wire_error::WireError> {
    let proto::Claim {
        key,
        request,
        fingerprint,
        window_micros,
    } = claim;
    Ok(call::Message::Claim {
        key: claim_convert::decode_key(key)?,
        request: field::request_id(request)?,
        fingerprint: field::wide_number("fingerprint", fingerprint)?,
        window: time::Duration::from_micros(*window_micros),
    })
}

fn decode_answer(answer: proto::ClaimAnswer) -> Result<call::Message, wire_error::WireError> {
    let report = field::required("claim report", answer.report)?;
    let (key, request, state) = claim_convert::decode_report(&report)?;
    Ok(call::Message::Claimed {
        key,
        request,
        state,
        confirmed: answer.vouched,
    })
}

fn decode_page(page: &proto::HandOver) -> Result<call::Message, wire_error::WireError> {
    let claims = page.claims.iter().map(claim_convert::decode_held);
    Ok(call::Message::HandOver {
        process: page.process.map(ids::Incarnation),
        after: claim_convert::decode_after(page.after.as_ref())?,
        claims: claims.collect::<Result<_, _>>()?,
        coverage_window: time::Duration::from_micros(page.known_for_micros),
        more: page.more,
    })
}
