//! Injected failures during engine orders, one per test.
//!
//! The tests guard against duplicate orders, orders by an instance that may no longer be the owner,
//! and orders that interrupt requests or exceed the load budget.

use std::{sync, time};

use crate::common::{self, OWN};

/// Role that the engines report, unless the test states another one.
const DECODE: note::EngineRole = note::EngineRole::Decode;

#[test]
fn a_missing_model_is_loaded_by_one_order() {
    let mut owner = common::owner(OWN);

    let first = owner.handle_status("fenced-a", &common::status(DECODE, None));
    let second = owner.handle_status("fenced-a", &common::status(DECODE, None));

    let actions: Vec<_> = common::orders(&first)
        .into_iter()
        .map(|order| order.action)
        .collect();
    assert_eq!(actions, [common::load("1")]);
    assert_eq!(common::orders(&second), []);
}

#[test]
fn a_lost_answer_causes_a_status_read_and_no_second_order() {
    let mut owner = common::owner(OWN);
    let order =
        common::orders(&owner.handle_status("fenced-a", &common::status(DECODE, None)))[0].clone();
    owner.handle(order::Input::Answered("fenced-a".into(), order.order, None));
    owner.advance(time::Duration::from_secs(2));

    let read = owner.handle(order::Input::Wake);
    let confirmed = owner.handle_status("fenced-a", &common::status(DECODE, Some("1")));

    assert!(read.contains(&order::Output::ReadStatus("fenced-a".into())));
    assert_eq!(common::orders(&confirmed), []);
    assert_eq!(owner.reconciler.open_orders(owner.now), []);
}

#[test]
fn an_answer_to_another_order_is_ignored() {
    let mut owner = common::owner(OWN);
    let order =
        common::orders(&owner.handle_status("fenced-a", &common::status(DECODE, None)))[0].clone();

    owner.handle(order::Input::Answered(
        "fenced-a".into(),
        order.order.wrapping_add(1),
        Some(border::OrderAnswer::Refused),
    ));

    assert_eq!(owner.reconciler.open_orders(owner.now).len(), 1);
}

#[test]
fn no_order_is_sent_under_a_stale_view() {
    let mut owner = common::owner(OWN);
    let mut view = (*common::view(OWN, 1)).clone();
    view.fresh = false;
    owner.handle(order::Input::View(sync::Arc::new(view)));

    let outputs = owner.handle_status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn no_order_is_sent_on_the_minority_side_of_a_partition() {
    let mut owner = common::owner(OWN);
    owner.handle(order::Input::View(common::view(OWN, 0)));

    let outputs = owner.handle_status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn an_owner_paused_after_a_status_read_does_not_act_on_the_old_status() {
    let mut owner = common::owner(OWN);
    owner.handle(order::Input::LoadsPerMinute(0));
    owner.handle_status("fenced-a", &common::status(DECODE, None));
    owner.handle(order::Input::LoadsPerMinute(60));
    owner.advance(time::Duration::from_secs(30));

    let outputs = owner.handle(order::Input::RunningCount("fenced-a".into(), 0));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn a_new_owner_waits_longer_before_an_order_to_an_engine_without_fencing() {
    let mut owner = common::owner(OWN);
    owner.handle(order::Input::View(sync::Arc::default()));
    owner.handle(order::Input::View(common::view(OWN, 1)));
    owner.advance(order::FENCED_HOLD_OFF);

    let fenced = owner.handle_status("fenced-a", &common::status(DECODE, None));
    let unfenced = owner.handle_status("loose-b", &common::status(DECODE, None));
    owner.advance(order::UNFENCED_HOLD_OFF);
    let later = owner.handle_status("loose-b", &common::status(DECODE, None));

    assert_eq!(common::orders(&fenced).len(), 1);
    assert_eq!(common::orders(&unfenced), []);
    assert_eq!(common::orders(&later).len(), 1);
}

#[test]
fn a_second_owner_uses_a_higher_fencing_number_than_the_engine_has_received() {
    let mut first = common::owner(OWN);
    let mut second = common::owner(ids::InstanceId(2));
    let before =
        common::orders(&first.handle_status("fenced-a", &common::status(DECODE, None)))[0].fence;
    let mut status = common::status(DECODE, None);
    status.fence = Some(before);

    let after = common::orders(&second.handle_status("fenced-a", &status))[0].fence;

    assert!(after > before);
}

#[test]
fn no_order_is_sent_during_the_backoff_after_a_fenced_order() {
    let mut owner = common::owner(OWN);
    let order =
        common::orders(&owner.handle_status("fenced-a", &common::status(DECODE, None)))[0].clone();
    let fenced = Some(border::OrderAnswer::Fenced);
    owner.handle(order::Input::Answered(
        "fenced-a".into(),
        order.order,
        fenced,
    ));

    let during_backoff = owner.handle_status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&during_backoff), []);
}

#[test]
fn loads_do_not_exceed_the_share_of_the_weight_store_limit() {
    let mut owner = common::owner(OWN);
    owner.handle(order::Input::LoadsPerMinute(1));

    let mut orders = 0;
    for engine in ["fenced-a", "loose-b", "loose-c"] {
        orders += common::orders(&owner.handle_status(engine, &common::status(DECODE, None))).len();
    }

    assert_eq!(orders, 1);
}

#[test]
fn a_new_version_is_rolled_out_to_one_drained_engine_at_a_time() {
    let mut owner = common::owner(OWN);
    owner.handle(order::Input::State(sync::Arc::new(common::state(2, "2"))));
    let old = common::status(DECODE, Some("1"));

    let first = owner.handle_status("fenced-a", &old);
    let second = owner.handle_status("loose-b", &old);
    let busy = owner.handle(order::Input::RunningCount("fenced-a".into(), 3));
    owner.advance(time::Duration::from_millis(100));
    let idle = owner.handle(order::Input::RunningCount("fenced-a".into(), 0));

    assert_eq!(first, [order::Output::Drain("fenced-a".into(), true)]);
    assert_eq!(second, []);
    assert_eq!(common::orders(&busy), []);
    let unload = border::OrderAction::UnloadModel("quote-7b".into(), "1".into());
    assert_eq!(common::orders(&idle)[0].action, unload);
}

#[test]
fn a_role_changes_only_under_persistent_demand_and_never_at_the_last_engine_of_a_role() {
    let mut owner = common::owner(OWN);
    let cell = place::cell::cells(&common::state(1, "1"))[0].id;
    owner.handle_status("fenced-a", &common::status(DECODE, Some("1")));
    owner.handle_status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.handle_status(
        "loose-c",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );

    owner.handle(order::Input::PrefillDemand(cell, -1));
    owner.handle(order::Input::Wake);
    let early = owner.handle_status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.advance(time::Duration::from_secs(31));
    owner.handle(order::Input::Wake);
    let due = owner.handle_status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.handle(order::Input::PrefillDemand(cell, 1));
    owner.advance(time::Duration::from_secs(31));
    owner.handle(order::Input::Wake);
    let reversed = owner.handle_status("fenced-a", &common::status(DECODE, Some("1")));

    assert_eq!(early, []);
    assert_eq!(due, [order::Output::Drain("loose-b".into(), true)]);
    assert_eq!(reversed, []);
}

#[test]
fn a_release_note_causes_status_reads_of_changed_engines_only() {
    let mut owner = common::owner(OWN);
    for engine in ["fenced-a", "loose-b", "loose-c"] {
        owner.handle_status(engine, &common::status(DECODE, Some("1")));
    }
    let mut state = common::state(1, "1");
    let name = ids::ServerName::from("loose-b");
    let mut engine = (*state.engines[&name]).clone();
    engine.leaving = true;
    state.engines.insert(name, engine);

    owner.handle(order::Input::State(sync::Arc::new(state)));
    owner.advance(time::Duration::from_secs(1));
    let outputs = owner.handle(order::Input::Wake);

    assert_eq!(outputs, [order::Output::ReadStatus("loose-b".into())]);
}
