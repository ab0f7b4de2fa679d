//! Lease digests of an entry and the recovery when they differ from the owner's leases.

use crate::common;

/// Interval between lease digests from an entry, in milliseconds.
const DIGEST_INTERVAL_MILLIS: u64 = 4_000;

fn start_decode(fixture: &mut common::OwnerFixture, request: u128) -> place::Placement {
    let mut outputs = fixture.place(request, 1_000);
    outputs.extend(fixture.advance(200));
    let placed = common::placements(&outputs).remove(0);
    fixture.update(placed.lease, placed.request, place::LeasePhase::Decode);
    placed
}

fn send_digest(fixture: &mut common::OwnerFixture, leases: &[ids::LeaseId]) -> Vec<place::Output> {
    let digest = leases.iter().copied().collect();
    let message = place::Message::Holding(fixture.cell(), digest);
    fixture.handle(place::Input::Message(common::ENTRY, message))
}

fn requests_claims(outputs: &[place::Output]) -> bool {
    outputs.iter().any(|output| {
        matches!(
            output,
            place::Output::Send(common::ENTRY, place::Message::RequestClaims(_))
        )
    })
}

#[test]
fn matching_digests_extend_leases() {
    let mut fixture = common::idle_owner();
    let placed = [start_decode(&mut fixture, 1), start_decode(&mut fixture, 2)];
    let leases = placed.map(|placement| placement.lease);

    let mut outputs = Vec::new();
    for _ in 0..20 {
        outputs.extend(fixture.advance(DIGEST_INTERVAL_MILLIS));
        outputs.extend(send_digest(&mut fixture, &leases));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert!(!requests_claims(&outputs));
    assert_eq!(fixture.cell_state().leases().count(), 2);
}

#[test]
fn updates_of_other_leases_do_not_end_lease_while_digests_are_lost() {
    let mut fixture = common::idle_owner();
    let kept = start_decode(&mut fixture, 1);
    send_digest(&mut fixture, &[kept.lease]);

    let mut outputs = Vec::new();
    for request in 2..12 {
        outputs.extend(fixture.advance(1_000));
        let other = start_decode(&mut fixture, request);
        outputs.extend(fixture.update(other.lease, other.request, place::LeasePhase::Released));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert_eq!(fixture.cell_state().leases().count(), 1);
}

#[test]
fn ends_lease_whose_release_was_lost() {
    let mut fixture = common::idle_owner();
    let kept = start_decode(&mut fixture, 1);
    let lost = start_decode(&mut fixture, 2);

    let mut outputs = Vec::new();
    let mut has_requested = false;
    for _ in 0..5 {
        let mut response = fixture.advance(DIGEST_INTERVAL_MILLIS);
        response.extend(send_digest(&mut fixture, &[kept.lease]));
        if requests_claims(&response) {
            has_requested = true;
            let claim = place::LeaseClaim {
                cell: fixture.cell(),
                placement: kept.clone(),
                phase: place::LeasePhase::Decode,
                prompt_tokens: 1_000,
                max_tokens: 200,
                generated_tokens: 20,
            };
            let claims = place::Message::Claims(fixture.cell(), vec![claim], true);
            fixture.handle(place::Input::Message(common::ENTRY, claims));
        }
        outputs.extend(response);
    }

    assert!(has_requested);
    let held: Vec<_> = fixture
        .cell_state()
        .leases()
        .map(|(_, lease)| lease.id)
        .collect();
    assert_eq!(held, [kept.lease]);
    assert!(common::cancels(&outputs).contains(&(lost.decode.to_string(), lost.request)));
}
