//! Orders to engines to change stage: when they are planned and which instance gives them.

mod common;

use std::time;

use common::{at, ms};
use relay::{BackendOutcome, EngineStage};

const COST: relay::EngineCost = relay::EngineCost {
    prefill_millis: 90.0,
    decode_millis: 270.0,
};

fn planned(split: (u32, u32), millis: u64) -> Option<(EngineStage, u32)> {
    let split = relay::PoolSplit {
        prefill: split.0,
        decode: split.1,
    };
    let mut planner = relay::StagePlanner::default();
    planner.plan(at(0), split, &COST, false);
    let change = planner.plan(at(millis), split, &COST, false)?;
    Some((change.stage, change.engines))
}

#[test]
fn changes_stage_when_another_split_has_higher_throughput() {
    assert_eq!(planned((4, 4), 2_000), Some((EngineStage::Decode, 1)));
    assert_eq!(planned((1, 8), 2_000), Some((EngineStage::Prefill, 1)));
    assert_eq!(planned((2, 6), 2_000), None);
}

#[test]
fn large_pool_changes_several_engines_at_a_time() {
    assert_eq!(planned((24, 32), 2_000), Some((EngineStage::Decode, 5)));
    assert_eq!(planned((20, 36), 2_000), Some((EngineStage::Decode, 4)));
    assert_eq!(planned((17, 39), 2_000), None);
}

#[test]
fn ignores_split_that_is_better_only_briefly() {
    assert_eq!(planned((4, 4), 1_000), None);
}

#[test]
fn keeps_the_last_engine_of_a_stage() {
    assert_eq!(planned((1, 1), 60_000), None);
    assert_eq!(planned((0, 1), 60_000), None);
}

#[test]
fn waits_between_stage_changes() {
    let split = relay::PoolSplit {
        prefill: 6,
        decode: 3,
    };
    let mut planner = relay::StagePlanner::default();
    planner.plan(at(0), split, &COST, false);
    assert!(planner.plan(at(2_000), split, &COST, false).is_some());
    planner.record_change(at(2_000));

    assert!(planner.plan(at(4_000), split, &COST, false).is_none());
    assert!(planner.plan(at(10_001), split, &COST, false).is_some());
}

fn order_context(wall_millis: u64) -> relay::OrderContext {
    relay::OrderContext {
        rank: 0,
        live: 6,
        known: 6,
        silent_for: None,
        other_order_age: None,
        wall_millis,
    }
}

/// Checks a gate every 250 ms from `from` to `to`; returns the times at which it allows orders.
fn allowed_times(
    gate: &mut relay::OrderGate,
    from: u64,
    to: u64,
    context: impl Fn(u64) -> relay::OrderContext,
) -> Vec<u64> {
    (from..=to)
        .step_by(250)
        .filter(|millis| gate.allows(at(*millis), &context(*millis)))
        .collect()
}

#[test]
fn instance_of_rank_0_may_order_after_the_hold_off() {
    let mut gate = relay::OrderGate::default();

    let times = allowed_times(&mut gate, 0, 8_000, order_context);

    let first = times.first().copied().expect("the gate allows an order");
    assert!((5_000..6_000).contains(&first), "{first}");
}

#[test]
fn rejects_orders_while_a_precondition_is_unmet() {
    for change in [
        |context: &mut relay::OrderContext| context.live = 3,
        |context: &mut relay::OrderContext| context.rank = 1,
        |context: &mut relay::OrderContext| context.silent_for = Some(ms(2_000)),
        |context: &mut relay::OrderContext| context.other_order_age = Some(ms(3_000)),
    ] {
        let mut gate = relay::OrderGate::default();

        let times = allowed_times(&mut gate, 0, 30_000, |millis| {
            let mut context = order_context(millis);
            change(&mut context);
            context
        });

        assert!(times.is_empty());
    }
}

#[test]
fn suspension_restarts_the_hold_off() {
    let mut gate = relay::OrderGate::default();
    allowed_times(&mut gate, 0, 8_000, order_context);

    // The monotonic clock stood still for four seconds while the wall clock advanced.
    let times = allowed_times(&mut gate, 8_250, 14_000, |millis| {
        order_context(millis + 4_000)
    });

    let first = times.first().copied().expect("the gate allows an order");
    assert!(first >= 13_000, "{first}");
}

#[test]
fn fencing_numbers_exceed_those_of_other_instances_and_of_refused_orders() {
    let mut entries = common::four_engines();
    entries.push(common::engine("p3", EngineStage::Prefill, "a"));
    entries.push(common::engine("p4", EngineStage::Prefill, "b"));
    let mut core = common::core_with(&entries);
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    core.release(
        at(1),
        placement.key,
        common::completion(BackendOutcome::Abandoned),
    );
    let mut other = common::instance_update(2, 1);
    other.last_fence = u64::from(u32::MAX) << 16;
    other.last_order_age = time::Duration::from_secs(30);
    let received_fence = other.last_fence;
    let mut fences = Vec::new();

    for (sequence, millis) in (0..60_000).step_by(250).enumerate() {
        let mut update = other.clone();
        update.sequence = sequence as u64 + 2;
        update.last_order_age += ms(millis);
        core.apply_update(at(millis), update);
        for order in core.due_orders(at(millis), 1_000_000 + millis) {
            assert_eq!(order.stage, EngineStage::Decode);
            fences.push(order.fence);
            core.record_fenced_order(order.fence);
        }
    }

    assert!(fences.len() >= 2, "{fences:?}");
    assert!(fences[0] > received_fence);
    assert!(fences.windows(2).all(|pair| pair[1] > pair[0]));
}

#[test]
fn orders_engines_at_once_when_a_stage_has_none() {
    assert_eq!(planned((0, 8), 0), Some((EngineStage::Prefill, 2)));
    assert!(
        planned((8, 0), 0)
            .is_some_and(|(stage, engines)| { stage == EngineStage::Decode && engines >= 5 })
    );
}

#[test]
fn large_pool_keeps_two_prefill_engines() {
    assert_eq!(planned((2, 5), 60_000), None);
    assert_eq!(planned((1, 5), 60_000), Some((EngineStage::Prefill, 1)));
}

#[test]
fn orders_prefill_engine_when_the_last_one_is_removed() {
    let mut core = common::core_with(&common::four_engines());
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    core.release(
        at(1),
        placement.key,
        common::completion(BackendOutcome::Abandoned),
    );
    let removals = ["p1", "p2"].map(|server| relay::ViewChange::BackendRemoved(server.into()));
    let mut stages = Vec::new();

    core.apply_store_read(at(10), at(10), common::view_changes(11, removals.to_vec()));
    for millis in (0..20_000).step_by(250) {
        let orders = core.due_orders(at(millis), 1_000_000 + millis);
        stages.extend(orders.into_iter().map(|order| order.stage));
    }

    assert_eq!(stages.first(), Some(&EngineStage::Prefill), "{stages:?}");
}

#[test]
fn version_without_prefill_engine_never_gets_one_beside_another_version() {
    let of_version = |version: &str, stage| relay::BackendEntry {
        software: version.into(),
        ..common::engine(&format!("{version}-{stage}"), stage, "a")
    };
    let mut entries = vec![
        of_version("v1", EngineStage::Prefill),
        of_version("v1", EngineStage::Decode),
    ];
    entries.extend((0..4).map(|number| relay::BackendEntry {
        server: format!("v2-{number}").as_str().into(),
        ..of_version("v2", EngineStage::Decode)
    }));
    let mut core = common::core_with(&entries);
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    core.release(
        at(1),
        placement.key,
        common::completion(BackendOutcome::Abandoned),
    );
    let mut orders = Vec::new();

    for millis in (0..20_000).step_by(250) {
        orders.extend(core.due_orders(at(millis), 1_000_000 + millis));
    }

    let first = orders.first().expect("an engine is ordered");
    assert_eq!(first.stage, EngineStage::Prefill);
    assert_eq!(first.entry.software, "v2".into());
}
