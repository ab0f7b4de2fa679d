//! When engines change stage, and who orders it.

mod common;

use std::time;

use common::{at, ms};
use relay::{BackendOutcome, EngineStage};

const COST: relay::EngineCost = relay::EngineCost {
    prefill_millis: 90.0,
    decode_millis: 270.0,
};

fn planned(share: (u32, u32), millis: u64) -> Option<(EngineStage, u32)> {
    let share = relay::PoolSplit {
        prefill: share.0,
        decode: share.1,
    };
    let mut planner = relay::StagePlanner::default();
    planner.plan(at(0), share, &COST);
    let change = planner.plan(at(millis), share, &COST)?;
    Some((change.stage, change.engines))
}

#[test]
fn an_engine_changes_stage_when_another_share_serves_more() {
    assert_eq!(planned((4, 4), 2_000), Some((EngineStage::Decode, 1)));
    assert_eq!(planned((1, 8), 2_000), Some((EngineStage::Prefill, 1)));
    assert_eq!(planned((2, 6), 2_000), None);
}

#[test]
fn a_large_pool_changes_several_engines_at_a_time() {
    assert_eq!(planned((24, 32), 2_000), Some((EngineStage::Decode, 5)));
    assert_eq!(planned((20, 36), 2_000), Some((EngineStage::Decode, 4)));
    assert_eq!(planned((17, 39), 2_000), None);
}

#[test]
fn a_share_that_looks_better_for_a_moment_changes_nothing() {
    assert_eq!(planned((4, 4), 1_000), None);
}

#[test]
fn the_last_engine_of_a_stage_stays() {
    assert_eq!(planned((1, 1), 60_000), None);
    assert_eq!(planned((0, 1), 60_000), None);
}

#[test]
fn engines_change_one_after_the_other() {
    let share = relay::PoolSplit {
        prefill: 6,
        decode: 3,
    };
    let mut planner = relay::StagePlanner::default();
    planner.plan(at(0), share, &COST);
    assert!(planner.plan(at(2_000), share, &COST).is_some());
    planner.note_change(at(2_000));

    assert!(planner.plan(at(4_000), share, &COST).is_none());
    assert!(planner.plan(at(10_001), share, &COST).is_some());
}

fn calm_view(wall_millis: u64) -> relay::OrderView {
    relay::OrderView {
        rank: 0,
        live: 6,
        known: 6,
        silent_for: None,
        other_order_age: None,
        wall_millis,
    }
}

/// Asks a gate four times a second from `from` to `to`; returns the moments at which it opens.
fn opened(
    gate: &mut relay::OrderGate,
    from: u64,
    to: u64,
    view: impl Fn(u64) -> relay::OrderView,
) -> Vec<u64> {
    (from..=to)
        .step_by(250)
        .filter(|millis| gate.allows(at(*millis), &view(*millis)))
        .collect()
}

#[test]
fn the_first_in_rank_orders_after_a_while() {
    let mut gate = relay::OrderGate::default();

    let moments = opened(&mut gate, 0, 8_000, calm_view);

    let first = moments.first().copied().expect("it opens");
    assert!((5_000..6_000).contains(&first), "{first}");
}

#[test]
fn a_minority_and_a_second_in_rank_never_order() {
    for change in [
        |view: &mut relay::OrderView| view.live = 3,
        |view: &mut relay::OrderView| view.rank = 1,
        |view: &mut relay::OrderView| view.silent_for = Some(ms(2_000)),
        |view: &mut relay::OrderView| view.other_order_age = Some(ms(3_000)),
    ] {
        let mut gate = relay::OrderGate::default();

        let moments = opened(&mut gate, 0, 30_000, |millis| {
            let mut view = calm_view(millis);
            change(&mut view);
            view
        });

        assert!(moments.is_empty());
    }
}

#[test]
fn an_instance_that_was_suspended_waits_again() {
    let mut gate = relay::OrderGate::default();
    opened(&mut gate, 0, 8_000, calm_view);

    // The steady clock stood still for four seconds, the time of day did not.
    let moments = opened(&mut gate, 8_250, 14_000, |millis| calm_view(millis + 4_000));

    let first = moments.first().copied().expect("it opens");
    assert!(first >= 13_000, "{first}");
}

#[test]
fn fencing_numbers_grow_also_past_those_of_others_and_past_a_refusal() {
    let mut entries = common::four_engines();
    entries.push(common::engine("p3", EngineStage::Prefill, "a"));
    entries.push(common::engine("p4", EngineStage::Prefill, "b"));
    let mut core = common::core_with(&entries);
    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    core.release(at(1), place.key, common::ended(BackendOutcome::Abandoned));
    let mut other = common::news(2, 1);
    other.last_fence = u64::from(u32::MAX) << 16;
    other.last_order_age = time::Duration::from_secs(30);
    let seen = other.last_fence;
    let mut fences = Vec::new();

    for (sequence, millis) in (0..60_000).step_by(250).enumerate() {
        let mut news = other.clone();
        news.sequence = sequence as u64 + 2;
        news.last_order_age += ms(millis);
        core.apply_update(at(millis), news);
        for order in core.due_orders(at(millis), 1_000_000 + millis) {
            assert_eq!(order.stage, EngineStage::Decode);
            fences.push(order.fence);
            core.record_fenced_order(order.fence);
        }
    }

    assert!(fences.len() >= 2, "{fences:?}");
    assert!(fences[0] > seen);
    assert!(fences.windows(2).all(|pair| pair[1] > pair[0]));
}

#[test]
fn a_site_without_prefill_engines_orders_some_at_once() {
    assert_eq!(planned((0, 8), 0), Some((EngineStage::Prefill, 2)));
    assert!(
        planned((8, 0), 0)
            .is_some_and(|(stage, engines)| { stage == EngineStage::Decode && engines >= 5 })
    );
}

#[test]
fn a_pool_of_some_size_keeps_two_prefill_engines() {
    assert_eq!(planned((2, 5), 60_000), None);
    assert_eq!(planned((1, 5), 60_000), Some((EngineStage::Prefill, 1)));
}

#[test]
fn the_core_orders_a_prefill_engine_when_the_last_one_has_left() {
    let mut core = common::core_with(&common::four_engines());
    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    core.release(at(1), place.key, common::ended(BackendOutcome::Abandoned));
    let gone = ["p1", "p2"].map(|server| relay::ViewChange::BackendRemoved(server.into()));
    let mut stages = Vec::new();

    core.apply_store_read(at(10), at(10), common::changes(11, gone.to_vec()));
    for millis in (0..20_000).step_by(250) {
        let orders = core.due_orders(at(millis), 1_000_000 + millis);
        stages.extend(orders.into_iter().map(|order| order.stage));
    }

    assert_eq!(stages.first(), Some(&EngineStage::Prefill), "{stages:?}");
}
