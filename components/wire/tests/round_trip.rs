//! Every message survives its encoding, and malformed input is an error.

mod strategy;

use proptest::prelude::*;
use prost::Message as _;

fn encode(envelope: wire::Envelope) -> Vec<u8> {
    wire::proto::Envelope::from(envelope).encode_to_vec()
}

/// Decodes bytes in the two steps of the receiver.
fn decode(bytes: &[u8]) -> Option<wire::Envelope> {
    let envelope = wire::proto::Envelope::decode(bytes).ok()?;
    wire::Envelope::try_from(envelope).ok()
}

fn probe_envelope() -> wire::Envelope {
    wire::Envelope::builder()
        .sender(ids::InstanceId(3))
        .incarnation(ids::Incarnation(1_764_800_000_000))
        .receiver(ids::InstanceId(4))
        .sequence(1)
        .acknowledged(0)
        .message(wire::PeerMessage::Member(member::Message::Probe(
            member::Heartbeat {
                incarnation: ids::Incarnation(1_764_800_000_000),
                epoch: 0,
                leaving: false,
                sequence: 7,
                updates: Vec::new(),
            },
        )))
        .build()
}

proptest! {
    #[test]
    fn any_message_decodes_to_itself(envelope in strategy::envelope()) {
        let bytes = encode(envelope.clone());

        prop_assert_eq!(decode(&bytes), Some(envelope));
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_message_with_a_changed_byte_is_decoded_or_refused(
        envelope in strategy::envelope(),
        position in any::<proptest::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut bytes = encode(envelope);
        prop_assume!(!bytes.is_empty());
        let index = position.index(bytes.len());
        bytes[index] = value;

        let _ = decode(&bytes);
    }
}

#[test]
fn a_request_of_the_wrong_length_is_refused_by_name() {
    let body = wire::proto::place_message::Body::Withdraw(wire::proto::Withdrawal {
        request: vec![1, 2, 3].into(),
        attempt: 0,
    });
    let message = wire::proto::PlaceMessage { body: Some(body) };

    let error = place::Message::try_from(message).expect_err("three bytes aren't a request");

    assert_eq!(
        error,
        wire::WireError::Length {
            field: "request",
            found: 3,
            expected: 16
        }
    );
}

#[test]
fn a_value_of_a_later_version_is_refused_by_name() {
    let heartbeat = wire::proto::Heartbeat {
        news: vec![wire::proto::MemberNews {
            state: 99,
            ..Default::default()
        }],
        ..Default::default()
    };

    let error = member::Heartbeat::try_from(heartbeat).expect_err("99 isn't a state");

    assert_eq!(
        error,
        wire::WireError::UnknownValue {
            field: "member state",
            found: 99
        }
    );
}

#[test]
fn a_heartbeat_without_news_fits_in_a_small_datagram() {
    let bytes = encode(probe_envelope());

    assert!(bytes.len() < 64, "{} bytes", bytes.len());
}
