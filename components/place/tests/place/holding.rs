//! What an entry holds, told in short, and what happens when the owner counts otherwise.

use crate::common;

/// Time between two messages of an entry that tell what it holds, in milliseconds.
const HOLDING_MILLIS: u64 = 4_000;

fn decoding(site: &mut common::Site, request: u128) -> place::Placement {
    let mut outputs = site.place(request, 1_000);
    outputs.extend(site.pass(200));
    let placed = common::placements(&outputs).remove(0);
    site.update(placed.lease, placed.request, place::LeasePhase::Decode);
    placed
}

fn hold(site: &mut common::Site, leases: &[ids::LeaseId]) -> Vec<place::Output> {
    let digest = leases.iter().copied().collect();
    let message = place::Message::Holding(site.cell(), digest);
    site.give(place::Input::Message(common::ENTRY, message))
}

fn wants_claims(outputs: &[place::Output]) -> bool {
    outputs.iter().any(|output| {
        matches!(
            output,
            place::Output::Send(common::ENTRY, place::Message::WantClaims(_))
        )
    })
}

#[test]
fn leases_that_an_entry_holds_last_without_other_news() {
    let mut site = common::idle_owner();
    let placed = [decoding(&mut site, 1), decoding(&mut site, 2)];
    let leases = placed.map(|placement| placement.lease);

    let mut outputs = Vec::new();
    for _ in 0..20 {
        outputs.extend(site.pass(HOLDING_MILLIS));
        outputs.extend(hold(&mut site, &leases));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert!(!wants_claims(&outputs));
    assert_eq!(site.cell_state().leases().count(), 2);
}

#[test]
fn news_of_other_leases_does_not_end_a_lease_while_what_is_held_gets_lost() {
    let mut site = common::idle_owner();
    let kept = decoding(&mut site, 1);
    hold(&mut site, &[kept.lease]);

    let mut outputs = Vec::new();
    for request in 2..12 {
        outputs.extend(site.pass(1_000));
        let other = decoding(&mut site, request);
        outputs.extend(site.update(other.lease, other.request, place::LeasePhase::Released));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert_eq!(site.cell_state().leases().count(), 1);
}

#[test]
fn a_lease_whose_release_was_lost_is_found_and_ended() {
    let mut site = common::idle_owner();
    let kept = decoding(&mut site, 1);
    let lost = decoding(&mut site, 2);

    let mut outputs = Vec::new();
    let mut asked = false;
    for _ in 0..5 {
        let mut answer = site.pass(HOLDING_MILLIS);
        answer.extend(hold(&mut site, &[kept.lease]));
        if wants_claims(&answer) {
            asked = true;
            let claim = place::LeaseClaim {
                cell: site.cell(),
                placement: kept.clone(),
                phase: place::LeasePhase::Decode,
                prompt_tokens: 1_000,
                max_tokens: 200,
                generated_tokens: 20,
            };
            let claims = place::Message::Claims(site.cell(), vec![claim], true);
            site.give(place::Input::Message(common::ENTRY, claims));
        }
        outputs.extend(answer);
    }

    assert!(asked);
    let held: Vec<_> = site
        .cell_state()
        .leases()
        .map(|(_, lease)| lease.id)
        .collect();
    assert_eq!(held, [kept.lease]);
    assert!(common::cancels(&outputs).contains(&(lost.decode.to_string(), lost.request)));
}
