//! Failures that touch engine memory, each caused against the owner.

use std::{sync, time};

use crate::common;

fn granted(site: &mut common::Site, request: u128) -> place::Placement {
    let mut outputs = site.place(request, 1_000);
    outputs.extend(site.pass(200));
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

fn foreign_placement(request: u128) -> place::Placement {
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
fn leases_of_a_dead_entry_are_cancelled_at_both_engines() {
    let mut site = common::idle_owner();
    let placed = granted(&mut site, 1);
    site.update(placed.lease, placed.request, place::LeasePhase::Decode);

    let dead = common::view(member::MemberState::Dead);
    site.give(place::Input::View(sync::Arc::new(dead)));
    let outputs = site.pass(3_000);

    let cancelled = common::cancels(&outputs);
    assert!(cancelled.contains(&("prefill-a".to_owned(), placed.request)));
    assert!(cancelled.contains(&(placed.decode.to_string(), placed.request)));
    assert_eq!(site.cell_state().leases().count(), 0);
}

#[test]
fn work_that_a_live_entry_claims_is_never_cancelled() {
    let mut site = common::new_owner();
    let list = Some(vec![common::running(77)]);
    for name in ["prefill-a", "decode-b"] {
        site.give(place::Input::Running(name.into(), Some(Vec::new())));
    }
    site.give(place::Input::Running("decode-a".into(), list.clone()));
    let placement = foreign_placement(77);
    let claims = vec![claim(&placement, site.cell())];
    let message = place::Message::Claims(site.cell(), claims, true);
    site.give(place::Input::Message(common::ENTRY, message));
    let none = place::Message::Claims(site.cell(), Vec::new(), true);
    site.give(place::Input::Message(common::OWNER, none));

    let mut outputs = Vec::new();
    for _ in 0..20 {
        outputs.extend(site.pass(1_000));
        outputs.extend(site.update(
            placement.lease,
            placement.request,
            place::LeasePhase::Decode,
        ));
        outputs.extend(site.give(place::Input::Running("decode-a".into(), list.clone())));
    }

    assert_eq!(common::cancels(&outputs), []);
    assert_eq!(site.cell_state().leases().count(), 1);
}

#[test]
fn work_that_nobody_claims_is_cancelled_after_the_grace() {
    let mut site = common::idle_owner();
    let list = Some(vec![common::running(77)]);
    let mut early = site.give(place::Input::Running("decode-a".into(), list.clone()));
    early.extend(site.pass(1_000));

    let mut late = Vec::new();
    for _ in 0..4 {
        late.extend(site.pass(1_000));
        let none = place::Message::Claims(site.cell(), Vec::new(), true);
        late.extend(site.give(place::Input::Message(common::ENTRY, none)));
        late.extend(site.give(place::Input::Running("decode-a".into(), list.clone())));
    }

    assert_eq!(common::cancels(&early), []);
    let orphan = ("decode-a".to_owned(), ids::RequestId(77));
    assert!(common::cancels(&late).contains(&orphan));
}

#[test]
fn a_request_that_cannot_meet_its_target_is_refused_at_once() {
    let mut site = common::idle_owner();

    let outputs = site.place(1, 15_000);

    assert_eq!(
        common::refusals(&outputs),
        [(ids::RequestId(1), place::RefusalReason::FirstTokenLate)]
    );
    assert_eq!(site.cell_state().leases().count(), 0);
}

#[test]
fn an_owner_that_has_just_woken_refuses_to_grant() {
    let mut site = common::idle_owner();
    let mut stale = common::view(member::MemberState::Alive);
    stale.fresh = false;
    site.give(place::Input::View(sync::Arc::new(stale)));

    let outputs = site.place(1, 1_000);

    assert_eq!(
        common::refusals(&outputs),
        [(ids::RequestId(1), place::RefusalReason::NotOwner)]
    );
}

#[test]
fn a_failed_decode_engine_is_replaced_without_a_second_lease() {
    let mut site = common::idle_owner();
    let placed = granted(&mut site, 1);
    site.update(placed.lease, placed.request, place::LeasePhase::Transfer);
    let ask = place::RetargetAsk {
        lease: placed.lease,
        request: placed.request,
        attempt: placed.attempt.next(),
        failed: placed.decode.clone(),
        retained_for: time::Duration::from_millis(500),
    };

    let message = place::Message::Retarget(ask);
    let outputs = site.give(place::Input::Message(common::ENTRY, message));

    let moved = common::placements(&outputs).remove(0);
    assert_eq!(moved.lease, placed.lease);
    assert_eq!(moved.attempt, placed.attempt.next());
    assert_ne!(moved.decode, placed.decode);
    assert_eq!(site.cell_state().leases().count(), 1);
}

#[test]
fn repeats_beyond_the_budget_are_refused() {
    let mut site = common::idle_owner();

    let mut reasons = Vec::new();
    for request in 0..40 {
        let mut ask = site.ask(request, 1_000);
        ask.repeated = true;
        let message = place::Message::Ask(ask);
        let outputs = site.give(place::Input::Message(common::ENTRY, message));
        reasons.extend(
            common::refusals(&outputs)
                .into_iter()
                .map(|(_, reason)| reason),
        );
    }

    let budget = place::RefusalReason::RetryBudget;
    assert_eq!(
        reasons.iter().filter(|reason| **reason == budget).count(),
        20
    );
}

#[test]
fn a_busy_workspace_does_not_starve_another() {
    let mut site = common::idle_owner();
    let mut placed = Vec::new();
    for request in 0..200 {
        let mut ask = site.ask(request, 4_000);
        let quiet = request % 10 == 9;
        ask.workspace = if quiet { "quiet" } else { "busy" }.into();
        let message = place::Message::Ask(ask);
        let mut outputs = site.give(place::Input::Message(common::ENTRY, message));
        outputs.extend(site.pass(25));
        for placement in common::placements(&outputs) {
            placed.push(placement.request.0 % 10 == 9);
            site.update(
                placement.lease,
                placement.request,
                place::LeasePhase::Released,
            );
        }
    }

    let quiet = placed.iter().filter(|quiet| **quiet).count();
    assert!(
        quiet >= 15,
        "{quiet} of 20 asks of the quiet workspace were placed"
    );
}
