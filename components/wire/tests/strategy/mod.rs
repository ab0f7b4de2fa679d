//! Strategies for every kind of message.

use std::{net, time};

use proptest::{collection, option, prelude::*, sample};

/// Longest list in a generated message.
const LIST_LENGTH: usize = 4;

pub fn envelope() -> impl Strategy<Value = wire::Envelope> {
    (
        (any::<u64>(), any::<u64>(), any::<u64>()),
        (any::<u64>(), any::<u64>()),
        proptest::option::of("[0-9a-f]{2}-[0-9a-f]{32}"),
        proptest::option::of(message()),
    )
        .prop_map(|(parties, counts, traceparent, message)| wire::Envelope {
            sender: ids::InstanceId(parties.0),
            incarnation: ids::Incarnation(parties.1),
            receiver: ids::InstanceId(parties.2),
            sequence: counts.0,
            acknowledged: counts.1,
            traceparent,
            message,
        })
}

pub fn message() -> impl Strategy<Value = wire::PeerMessage> {
    prop_oneof![
        member_message().prop_map(wire::PeerMessage::Member),
        spread_message().prop_map(wire::PeerMessage::Spread),
        place_message().prop_map(wire::PeerMessage::Place),
        call_message().prop_map(wire::PeerMessage::Call),
    ]
}

fn member_message() -> impl Strategy<Value = member::Message> {
    prop_oneof![
        heartbeat().prop_map(member::Message::Probe),
        heartbeat().prop_map(member::Message::Ack),
        any::<u64>().prop_map(|id| member::Message::ProbeFor(ids::InstanceId(id))),
        (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(id, incarnation, epoch)| {
            member::Message::AckFor(ids::InstanceId(id), ids::Incarnation(incarnation), epoch)
        }),
    ]
}

fn heartbeat() -> impl Strategy<Value = member::Heartbeat> {
    (
        (any::<u64>(), any::<u32>()),
        any::<bool>(),
        any::<u64>(),
        collection::vec(member_news(), 0..LIST_LENGTH),
    )
        .prop_map(|(process, leaving, sequence, news)| member::Heartbeat {
            incarnation: ids::Incarnation(process.0),
            epoch: process.1,
            leaving,
            sequence,
            updates: news,
        })
}

fn member_news() -> impl Strategy<Value = member::MemberUpdate> {
    (
        any::<u64>(),
        (any::<u64>(), any::<u32>()),
        named::<member::MemberState>(),
        proptest::option::of(instance_entry()),
    )
        .prop_map(|(instance, process, state, entry)| member::MemberUpdate {
            instance: ids::InstanceId(instance),
            incarnation: ids::Incarnation(process.0),
            epoch: process.1,
            state,
            entry,
        })
}

fn instance_entry() -> impl Strategy<Value = border::InstanceEntry> {
    (
        any::<u64>(),
        (any::<net::Ipv4Addr>(), any::<u16>()),
        (".{0,8}", ".{0,8}"),
        any::<bool>(),
    )
        .prop_map(|(id, address, names, leaving)| border::InstanceEntry {
            id: ids::InstanceId(id),
            address: address.into(),
            region: names.0.into(),
            data_centre: names.1.into(),
            leaving,
        })
}

fn spread_message() -> impl Strategy<Value = spread::Message> {
    let notes = collection::vec(logged_note(), 0..LIST_LENGTH);
    prop_oneof![
        standing().prop_map(spread::Message::StatusRequest),
        standing().prop_map(spread::Message::StatusReply),
        (standing(), notes).prop_map(|(standing, notes)| spread::Message::Notes(standing, notes)),
        (summary(), any::<u32>())
            .prop_map(|(summary, number)| spread::Message::FetchPart(summary, number)),
        state_part().prop_map(spread::Message::Part),
    ]
}

fn logged_note() -> impl Strategy<Value = spread::LoggedNote> {
    (any::<u64>(), any::<String>()).prop_map(|(revision, text)| spread::LoggedNote {
        revision: ids::Revision(revision),
        text: text.into(),
    })
}

fn state_part() -> impl Strategy<Value = spread::StatePart> {
    (summary(), any::<u32>(), any::<u32>(), any::<String>()).prop_map(
        |(summary, number, count, text)| spread::StatePart {
            summary,
            number,
            count,
            text: text.into(),
        },
    )
}

fn standing() -> impl Strategy<Value = spread::ReplicaStatus> {
    (summary(), any::<bool>()).prop_map(|(summary, ready)| spread::ReplicaStatus { summary, ready })
}

fn summary() -> impl Strategy<Value = spread::Summary> {
    (any::<u64>(), any::<u128>()).prop_map(|(revision, digest)| spread::Summary {
        revision: ids::Revision(revision),
        digest: note::StateDigest(digest),
    })
}

fn place_message() -> impl Strategy<Value = place::Message> {
    prop_oneof![
        place_ask().prop_map(place::Message::Request),
        placement().prop_map(place::Message::Placed),
        refusal().prop_map(place::Message::Refused),
        (request(), attempt())
            .prop_map(|(request, attempt)| place::Message::Withdraw(request, attempt)),
        collection::vec(lease_update(), 0..LIST_LENGTH).prop_map(place::Message::Updates),
        retarget_ask().prop_map(place::Message::Retarget),
        any::<u64>().prop_map(|cell| place::Message::RequestClaims(ids::CellId(cell))),
        (any::<u64>(), any::<u32>(), any::<u64>()).prop_map(|(cell, count, sum)| {
            place::Message::Holding(ids::CellId(cell), place::LeaseDigest { count, sum })
        }),
        (
            any::<u64>(),
            collection::vec(lease_claim(), 0..LIST_LENGTH),
            any::<bool>()
        )
            .prop_map(|(cell, claims, last)| place::Message::Claims(
                ids::CellId(cell),
                claims,
                last
            )),
        collection::vec(lease_id(), 0..LIST_LENGTH).prop_map(place::Message::Revoked),
        collection::vec(spare_advert(), 0..LIST_LENGTH).prop_map(place::Message::Capacity),
    ]
}

fn place_ask() -> impl Strategy<Value = place::PlacementRequest> {
    (
        (any::<u64>(), request(), attempt()),
        (".{0,8}", ".{0,8}", ".{0,8}"),
        (any::<u32>(), any::<u32>()),
        collection::vec(any::<u64>(), 0..LIST_LENGTH),
        (span(), any::<bool>()),
    )
        .prop_map(
            |(work, names, tokens, prefix_blocks, rest)| place::PlacementRequest {
                cell: ids::CellId(work.0),
                request: work.1,
                attempt: work.2,
                class: names.0.into(),
                workspace: names.1.into(),
                model: names.2.into(),
                prompt_tokens: tokens.0,
                max_tokens: tokens.1,
                prefix_blocks,
                first_token_within: rest.0,
                is_retry: rest.1,
            },
        )
}

fn placement() -> impl Strategy<Value = place::Placement> {
    (
        (request(), attempt(), lease_id()),
        (".{0,8}", ".{0,8}"),
        (any::<u32>(), span(), span()),
    )
        .prop_map(|(work, engines, rest)| place::Placement {
            request: work.0,
            attempt: work.1,
            lease: work.2,
            prefill: engines.0.into(),
            decode: engines.1.into(),
            kv_pieces: rest.0,
            start_in: rest.1,
            expires_in: rest.2,
        })
}

fn refusal() -> impl Strategy<Value = place::Refusal> {
    (
        request(),
        attempt(),
        named::<place::RefusalReason>(),
        span(),
    )
        .prop_map(|(request, attempt, reason, retry_after)| place::Refusal {
            request,
            attempt,
            reason,
            retry_after,
        })
}

fn lease_update() -> impl Strategy<Value = place::LeaseUpdate> {
    (
        lease_id(),
        request(),
        named::<place::LeasePhase>(),
        any::<u32>(),
    )
        .prop_map(
            |(lease, request, phase, generated_tokens)| place::LeaseUpdate {
                lease,
                request,
                phase,
                generated_tokens,
            },
        )
}

fn retarget_ask() -> impl Strategy<Value = place::RetargetRequest> {
    (lease_id(), request(), attempt(), ".{0,8}", span()).prop_map(
        |(lease, request, attempt, failed, retained_for)| place::RetargetRequest {
            lease,
            request,
            attempt,
            failed: failed.into(),
            retained_for,
        },
    )
}

fn lease_claim() -> impl Strategy<Value = place::LeaseClaim> {
    (
        any::<u64>(),
        placement(),
        named::<place::LeasePhase>(),
        (any::<u32>(), any::<u32>(), any::<u32>()),
    )
        .prop_map(|(cell, placement, phase, tokens)| place::LeaseClaim {
            cell: ids::CellId(cell),
            placement,
            phase,
            prompt_tokens: tokens.0,
            max_tokens: tokens.1,
            generated_tokens: tokens.2,
        })
}

fn spare_advert() -> impl Strategy<Value = place::CapacityAdvert> {
    (any::<u64>(), any::<u32>(), any::<u32>(), any::<u32>()).prop_map(
        |(cell, free_slots, free_pieces, prefill_wait_ms)| place::CapacityAdvert {
            cell: ids::CellId(cell),
            free_slots,
            free_pieces,
            prefill_wait_ms,
        },
    )
}

fn call_message() -> impl Strategy<Value = call::Message> {
    let report = || (claim_key(), request(), named::<call::ClaimState>());
    prop_oneof![
        (claim_key(), request(), any::<u128>(), span()).prop_map(
            |(key, request, fingerprint, window)| call::Message::Claim {
                key,
                request,
                fingerprint,
                window,
            }
        ),
        (report(), any::<bool>()).prop_map(|((key, request, state), confirmed)| {
            call::Message::Claimed {
                key,
                request,
                state,
                confirmed,
            }
        }),
        report().prop_map(|(key, request, state)| call::Message::Settle {
            key,
            request,
            state,
        }),
        (any::<u64>(), option::of(claim_key())).prop_map(|(process, after)| {
            call::Message::RequestClaims {
                process: ids::Incarnation(process),
                after,
            }
        }),
        hand_over(),
    ]
}

fn hand_over() -> impl Strategy<Value = call::Message> {
    (
        option::of(any::<u64>()),
        option::of(claim_key()),
        collection::vec(held_claim(), 0..LIST_LENGTH),
        span(),
        any::<bool>(),
    )
        .prop_map(
            |(process, after, claims, coverage_window, more)| call::Message::HandOver {
                process: process.map(ids::Incarnation),
                after,
                claims,
                coverage_window,
                more,
            },
        )
}

fn held_claim() -> impl Strategy<Value = call::HeldClaim> {
    (
        claim_key(),
        request(),
        any::<u128>(),
        named::<call::ClaimState>(),
    )
        .prop_map(|(key, request, fingerprint, state)| call::HeldClaim {
            key,
            request,
            fingerprint,
            state,
        })
}

fn claim_key() -> impl Strategy<Value = call::ClaimKey> {
    any::<u128>().prop_map(call::ClaimKey)
}

fn lease_id() -> impl Strategy<Value = ids::LeaseId> {
    (any::<u64>(), any::<u64>(), any::<u64>()).prop_map(|(owner, term, sequence)| ids::LeaseId {
        owner: ids::InstanceId(owner),
        term,
        sequence,
    })
}

fn request() -> impl Strategy<Value = ids::RequestId> {
    any::<u128>().prop_map(ids::RequestId)
}

fn attempt() -> impl Strategy<Value = ids::AttemptNumber> {
    any::<u32>().prop_map(ids::AttemptNumber)
}

/// Spans have whole microseconds, as the wire carries them.
fn span() -> impl Strategy<Value = time::Duration> {
    any::<u64>().prop_map(time::Duration::from_micros)
}

/// Takes any value of an enum that has names.
fn named<Named: strum::IntoEnumIterator + std::fmt::Debug + Clone + 'static>()
-> impl Strategy<Value = Named> {
    sample::select(Named::iter().collect::<Vec<_>>())
}
