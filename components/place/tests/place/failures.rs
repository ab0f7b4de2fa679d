//! Failures in which the owner could leak engine memory or grant a decode slot twice.

use std::{sync, time};

use crate::common;

fn grant(fixture: &mut common::OwnerFixture, request: u128) -> place::Placement {
    let mut outputs = fixture.place(request, 1_000);
    outputs.extend(fixture.advance(200));
    common::placements(&outputs).remove(0)
}

fn claim(placement: &place::Placement, cell: ids::CellId) -> place::LeaseClaim {
    place::LeaseClaim {
        cell,
        placement: placement.clone(),
        phase: place::LeasePhase::Decode,
        prompt_tokens: 1_000,
        max_tokens: 200,
        generated_tokens: 5,
    }
}

fn placement_of_former_owner(request: u128) -> place::Placement {
    place::Placement::builder()
        .request(ids::RequestId(request))
        .attempt(ids::AttemptNumber(0))
        .lease(ids::LeaseId {
            owner: ids::InstanceId(9),
            term: 3,
            sequence: 1,
        })
        .prefill("prefill-a")
        .decode("decode-a")
        .kv_pieces(1_u32)
        .start_in(time::Duration::ZERO)
        .expires_in(time::Duration::from_secs(5))
        .build()
}

#[test]
fn cancels_leases_of_dead_entry_at_both_engines() {
    let mut fixture = common::idle_owner();
    let placed = grant(&mut fixture, 1);
    fixture.update(placed.lease, placed.request, place::LeasePhase::Decode);

    let dead = common::view(member::MemberState::Dead);
    fixture.handle(place::Input::View(sync::Arc::new(dead)));
    let outputs = fixture.advance(3_000);

    let cancelled = common::cancels(&outputs);
    assert!(cancelled.contains(&("prefill-a".to_owned(), placed.request)));
    assert!(cancelled.contains(&(placed.decode.to_string(), placed.request)));
    assert_eq!(fixture.cell_state().leases().count(), 0);
}

#[test]
fn never_cancels_work_claimed_by_live_entry() {
    let mut fixture = common::new_owner();
    let list = Some(vec![common::running(77)]);
    for name in ["prefill-a", "decode-b"] {
        fixture.handle(place::Input::Running(name.into(), Some(Vec::new())));
    }
    fixture.handle(place::Input::Running("decode-a".into(), list.clone()));
    let placement = placement_of_former_owner(77);
    let claims = vec![claim(&placement, fixture.cell())];
    let message = place::Message::Claims(fixture.cell(), claims, true);
    fixture.handle(place::Input::Message(common::ENTRY, message));
    let none = place::Message::Claims(fixture.cell(), Vec::new(), true);
    fixture.handle(place::Input::Message(common::OWNER, none));

    let mut outputs = Vec::new();
    for _ in 0..20 {
        outputs.extend(fixture.advance(1_000));
        outputs.extend(fixture.update(
            placement.lease,
            placement.request,
            place::LeasePhase::Decode,
        ));
        outputs.extend(fixture.handle(place::Input::Running("decode-a".into(), list.clone())));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert_eq!(fixture.cell_state().leases().count(), 1);
}

#[test]
fn cancels_unclaimed_work_after_grace_period() {
    let mut fixture = common::idle_owner();
    let list = Some(vec![common::running(77)]);
    let mut early = fixture.handle(place::Input::Running("decode-a".into(), list.clone()));
    early.extend(fixture.advance(1_000));

    let mut late = Vec::new();
    for _ in 0..4 {
        late.extend(fixture.advance(1_000));
        let none = place::Message::Claims(fixture.cell(), Vec::new(), true);
        late.extend(fixture.handle(place::Input::Message(common::ENTRY, none)));
        late.extend(fixture.handle(place::Input::Running("decode-a".into(), list.clone())));
    }

    assert_eq!(common::cancels(&early), []);
    let orphan = ("decode-a".to_owned(), ids::RequestId(77));
    assert!(common::cancels(&late).contains(&orphan));
}

#[test]
fn refuses_request_that_cannot_meet_deadline() {
    let mut fixture = common::idle_owner();

    let outputs = fixture.place(1, 15_000);

    assert_eq!(
        common::refusals(&outputs),
        [(ids::RequestId(1), place::RefusalReason::FirstTokenLate)]
    );
    assert_eq!(fixture.cell_state().leases().count(), 0);
}

#[test]
fn refuses_requests_with_stale_view() {
    let mut fixture = common::idle_owner();
    let mut stale = common::view(member::MemberState::Alive);
    stale.fresh = false;
    fixture.handle(place::Input::View(sync::Arc::new(stale)));

    let outputs = fixture.place(1, 1_000);

    assert_eq!(
        common::refusals(&outputs),
        [(ids::RequestId(1), place::RefusalReason::NotOwner)]
    );
}

#[test]
fn retargets_failed_decode_engine_without_second_lease() {
    let mut fixture = common::idle_owner();
    let placed = grant(&mut fixture, 1);
    fixture.update(placed.lease, placed.request, place::LeasePhase::Transfer);
    let retarget_request = place::RetargetRequest {
        lease: placed.lease,
        request: placed.request,
        attempt: placed.attempt.next(),
        failed: placed.decode.clone(),
        retained_for: time::Duration::from_millis(500),
    };

    let message = place::Message::Retarget(retarget_request);
    let outputs = fixture.handle(place::Input::Message(common::ENTRY, message));

    let moved = common::placements(&outputs).remove(0);
    assert_eq!(moved.lease, placed.lease);
    assert_eq!(moved.attempt, placed.attempt.next());
    assert_ne!(moved.decode, placed.decode);
    assert_eq!(fixture.cell_state().leases().count(), 1);
}

#[test]
fn refuses_retries_beyond_budget() {
    let mut fixture = common::idle_owner();

    let mut reasons = Vec::new();
    for request in 0..40 {
        let mut placement_request = fixture.placement_request(request, 1_000);
        placement_request.is_retry = true;
        let message = place::Message::Request(placement_request);
        let outputs = fixture.handle(place::Input::Message(common::ENTRY, message));
        reasons.extend(
            common::refusals(&outputs)
                .into_iter()
                .map(|(_, reason)| reason),
        );
    }

    // The retry budget starts with 20 retries.
    let budget = place::RefusalReason::RetryBudget;
    assert_eq!(
        reasons.iter().filter(|reason| **reason == budget).count(),
        20
    );
}

#[test]
fn busy_workspace_does_not_starve_another() {
    let mut fixture = common::idle_owner();
    let mut is_quiet_flags = Vec::new();
    for request in 0..200 {
        let mut placement_request = fixture.placement_request(request, 4_000);
        let quiet = request % 10 == 9;
        placement_request.workspace = if quiet { "quiet" } else { "busy" }.into();
        let message = place::Message::Request(placement_request);
        let mut outputs = fixture.handle(place::Input::Message(common::ENTRY, message));
        outputs.extend(fixture.advance(25));
        for placement in common::placements(&outputs) {
            is_quiet_flags.push(placement.request.0 % 10 == 9);
            fixture.update(
                placement.lease,
                placement.request,
                place::LeasePhase::Released,
            );
        }
    }

    let quiet = is_quiet_flags.iter().filter(|quiet| **quiet).count();
    assert!(
        quiet >= 15,
        "{quiet} of 20 requests of the quiet workspace were placed"
    );
}
