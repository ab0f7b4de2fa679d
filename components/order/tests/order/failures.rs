//! Failures while engines are ordered, caused one by one.

use std::{sync, time};

use crate::common::{self, OWN};

/// Role of the engine that checks fencing numbers.
const DECODE: note::EngineRole = note::EngineRole::Decode;

#[test]
fn a_missing_model_is_loaded_by_one_order() {
    let mut owner = common::owner(OWN);

    let first = owner.status("fenced-a", &common::status(DECODE, None));
    let second = owner.status("fenced-a", &common::status(DECODE, None));

    let actions: Vec<_> = common::orders(&first)
        .into_iter()
        .map(|order| order.action)
        .collect();
    assert_eq!(actions, [common::load("1")]);
    assert_eq!(common::orders(&second), []);
}

#[test]
fn a_lost_answer_leads_to_a_reading_and_not_to_a_second_order() {
    let mut owner = common::owner(OWN);
    let order = common::orders(&owner.status("fenced-a", &common::status(DECODE, None)))[0].clone();
    owner.give(order::Input::Answered("fenced-a".into(), order.order, None));
    owner.pass(time::Duration::from_secs(2));

    let read = owner.give(order::Input::Wake);
    let shown = owner.status("fenced-a", &common::status(DECODE, Some("1")));

    assert!(read.contains(&order::Output::ReadStatus("fenced-a".into())));
    assert_eq!(common::orders(&shown), []);
    assert_eq!(owner.reconciler.open_orders(owner.now), []);
}

#[test]
fn an_answer_to_an_older_order_settles_nothing() {
    let mut owner = common::owner(OWN);
    let order = common::orders(&owner.status("fenced-a", &common::status(DECODE, None)))[0].clone();

    owner.give(order::Input::Answered(
        "fenced-a".into(),
        order.order.wrapping_add(1),
        Some(border::OrderAnswer::Refused),
    ));

    assert_eq!(owner.reconciler.open_orders(owner.now).len(), 1);
}

#[test]
fn no_order_goes_out_under_a_stale_view() {
    let mut owner = common::owner(OWN);
    let mut view = (*common::view(OWN, 1)).clone();
    view.fresh = false;
    owner.give(order::Input::View(sync::Arc::new(view)));

    let outputs = owner.status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn no_order_goes_out_on_the_smaller_side_of_a_partition() {
    let mut owner = common::owner(OWN);
    owner.give(order::Input::View(common::view(OWN, 0)));

    let outputs = owner.status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn an_owner_that_was_paused_after_reading_a_status_does_not_order_from_it() {
    let mut owner = common::owner(OWN);
    owner.give(order::Input::LoadsPerMinute(0));
    owner.status("fenced-a", &common::status(DECODE, None));
    owner.give(order::Input::LoadsPerMinute(60));
    owner.pass(time::Duration::from_secs(30));

    let outputs = owner.give(order::Input::RunningCount("fenced-a".into(), 0));

    assert_eq!(common::orders(&outputs), []);
}

#[test]
fn a_new_owner_holds_off_longer_before_an_engine_that_checks_nothing() {
    let mut owner = common::owner(OWN);
    owner.give(order::Input::View(sync::Arc::default()));
    owner.give(order::Input::View(common::view(OWN, 1)));
    owner.pass(order::FENCED_HOLD_OFF);

    let fenced = owner.status("fenced-a", &common::status(DECODE, None));
    let loose = owner.status("loose-b", &common::status(DECODE, None));
    owner.pass(order::UNFENCED_HOLD_OFF);
    let later = owner.status("loose-b", &common::status(DECODE, None));

    assert_eq!(common::orders(&fenced).len(), 1);
    assert_eq!(common::orders(&loose), []);
    assert_eq!(common::orders(&later).len(), 1);
}

#[test]
fn a_second_owner_takes_a_higher_number_than_the_engine_has_seen() {
    let mut first = common::owner(OWN);
    let mut second = common::owner(ids::InstanceId(2));
    let before = common::orders(&first.status("fenced-a", &common::status(DECODE, None)))[0].fence;
    let mut status = common::status(DECODE, None);
    status.fence = Some(before);

    let after = common::orders(&second.status("fenced-a", &status))[0].fence;

    assert!(after > before);
}

#[test]
fn a_fenced_order_rests_before_the_next_one() {
    let mut owner = common::owner(OWN);
    let order = common::orders(&owner.status("fenced-a", &common::status(DECODE, None)))[0].clone();
    let fenced = Some(border::OrderAnswer::Fenced);
    owner.give(order::Input::Answered(
        "fenced-a".into(),
        order.order,
        fenced,
    ));

    let at_once = owner.status("fenced-a", &common::status(DECODE, None));

    assert_eq!(common::orders(&at_once), []);
}

#[test]
fn loads_keep_to_the_share_of_the_weight_store() {
    let mut owner = common::owner(OWN);
    owner.give(order::Input::LoadsPerMinute(1));

    let mut orders = 0;
    for engine in ["fenced-a", "loose-b", "loose-c"] {
        orders += common::orders(&owner.status(engine, &common::status(DECODE, None))).len();
    }

    assert_eq!(orders, 1);
}

#[test]
fn a_new_version_is_taken_by_one_drained_engine_at_a_time() {
    let mut owner = common::owner(OWN);
    owner.give(order::Input::State(sync::Arc::new(common::state(2, "2"))));
    let old = common::status(DECODE, Some("1"));

    let first = owner.status("fenced-a", &old);
    let second = owner.status("loose-b", &old);
    let busy = owner.give(order::Input::RunningCount("fenced-a".into(), 3));
    owner.pass(time::Duration::from_millis(100));
    let idle = owner.give(order::Input::RunningCount("fenced-a".into(), 0));

    assert_eq!(first, [order::Output::Drain("fenced-a".into(), true)]);
    assert_eq!(second, []);
    assert_eq!(common::orders(&busy), []);
    let unload = border::OrderAction::UnloadModel("quote-7b".into(), "1".into());
    assert_eq!(common::orders(&idle)[0].action, unload);
}

#[test]
fn a_role_changes_only_when_demand_lasts_and_never_the_last_engine_of_a_role() {
    let mut owner = common::owner(OWN);
    let cell = place::cell::cells(&common::state(1, "1"))[0].id;
    owner.status("fenced-a", &common::status(DECODE, Some("1")));
    owner.status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.status(
        "loose-c",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );

    owner.give(order::Input::PrefillDemand(cell, -1));
    owner.give(order::Input::Wake);
    let early = owner.status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.pass(time::Duration::from_secs(31));
    owner.give(order::Input::Wake);
    let due = owner.status(
        "loose-b",
        &common::status(note::EngineRole::Prefill, Some("1")),
    );
    owner.give(order::Input::PrefillDemand(cell, 1));
    owner.pass(time::Duration::from_secs(31));
    owner.give(order::Input::Wake);
    let back = owner.status("fenced-a", &common::status(DECODE, Some("1")));

    assert_eq!(early, []);
    assert_eq!(due, [order::Output::Drain("loose-b".into(), true)]);
    assert_eq!(back, []);
}

#[test]
fn a_note_leads_to_readings_of_the_engines_it_touches_alone() {
    let mut owner = common::owner(OWN);
    for engine in ["fenced-a", "loose-b", "loose-c"] {
        owner.status(engine, &common::status(DECODE, Some("1")));
    }
    let mut state = common::state(1, "1");
    let name = ids::ServerName::from("loose-b");
    let mut engine = (*state.engines[&name]).clone();
    engine.leaving = true;
    state.engines.insert(name, engine);

    owner.give(order::Input::State(sync::Arc::new(state)));
    owner.pass(time::Duration::from_secs(1));
    let outputs = owner.give(order::Input::Wake);

    assert_eq!(outputs, [order::Output::ReadStatus("loose-b".into())]);
}
