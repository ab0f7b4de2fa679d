//! Repeats, steps after failures, stages and orders.

mod common;

use std::time;

use common::{at, ms};
use relay::{BackendOutcome, EngineStage, NextStep, StreamStep};

/// Tokens that a stream generates in a millisecond.
const PACE: f64 = 1.0;

fn fleet(requests: u32, repeats: u32) -> relay::FleetCount {
    relay::FleetCount {
        count: relay::RetryCount { requests, repeats },
        live: 6,
        known: 6,
        covered: 5.0,
    }
}

fn granted(window: &mut relay::RetryWindow, now: clock::Moment, fleet: relay::FleetCount) -> u32 {
    let mut granted = 0;
    while window.allows(now, &common::bound(), fleet, 1) {
        window.count_repeats(now, 1);
        granted += 1;
    }
    granted
}

#[test]
fn one_instance_may_use_what_the_others_leave() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 0));

    // 0.2 x 100 + 52 = 72 are allowed; a part is left for news that are late.
    assert!((50..=65).contains(&granted), "{granted}");
}

#[test]
fn what_the_others_used_is_used() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(60_000), fleet(100, 50));

    assert!(granted <= 10, "{granted}");
}

#[test]
fn repeats_are_allowed_again_when_the_window_has_passed() {
    let mut window = relay::RetryWindow::default();
    let first = granted(&mut window, at(60_000), fleet(0, 0));

    let soon = granted(&mut window, at(69_000), fleet(0, 0));
    let later = granted(&mut window, at(70_001), fleet(0, 0));

    assert_eq!(soon, 0);
    assert_eq!(later, first);
}

#[test]
fn a_process_that_just_started_uses_little_of_its_share() {
    let mut window = relay::RetryWindow::default();

    let granted = granted(&mut window, at(1_000), fleet(100, 0));

    assert!(granted <= 5, "{granted}");
}

#[test]
fn instances_that_are_cut_off_from_each_other_keep_the_bound_together() {
    let half = relay::FleetCount {
        live: 3,
        known: 6,
        ..fleet(0, 0)
    };

    let mut one = relay::RetryWindow::default();
    let mut two = relay::RetryWindow::default();
    let sum = granted(&mut one, at(60_000), half) + granted(&mut two, at(60_000), half);

    assert!(f64::from(sum) <= common::bound().slack, "{sum}");
}

#[test]
fn the_core_counts_repeats_of_the_others() {
    let mut core = common::core_with(&[]);
    let mut news = common::news(2, 1);
    let count = relay::RetryCount {
        requests: 10,
        repeats: 500,
    };
    news.retries = vec![(relay::service_hash(&common::SHOP.into()), count)];
    let before = core.take_repeats(at(60_000), &common::SHOP.into(), 1);

    core.heard(at(60_000), news);
    let after = core.take_repeats(at(60_001), &common::SHOP.into(), 1);

    assert!(before && !after);
}

#[test]
fn a_fleet_that_restarts_keeps_the_bound_though_its_counts_are_lost() {
    let bound = relay::RetryBound {
        slack: 220.0,
        ..common::bound()
    };
    let mut cores: Vec<relay::RelayCore> = (1..=40)
        .map(|number| {
            let settings = relay::CoreSettings::builder()
                .address(common::instance(number))
                .incarnation(1_000 + u64::from(number))
                .data_centre("a".into())
                .seeds((1..=3).map(common::instance).collect())
                .retry_bound(bound)
                .seed(u64::from(number))
                .build();
            relay::RelayCore::new(settings)
        })
        .collect();

    let mut sent = 0;
    for step in 1..=200 {
        let now = at(step * 50);
        for core in &mut cores {
            sent += u32::from(core.take_repeats(now, &common::SHOP.into(), 1));
        }
        let news: Vec<_> = cores.iter_mut().map(|core| core.news(now)).collect();
        let targets: Vec<_> = cores.iter().map(|core| core.news_targets(now)).collect();
        for (news, targets) in news.iter().zip(targets) {
            for (core, number) in cores.iter_mut().zip(1..) {
                if targets.contains(&common::instance(number)) {
                    core.heard(now, news.clone());
                }
            }
        }

        // The processes before may have sent four fifths of what is allowed, evenly.
        let left_in_window = 1.0 - step as f64 / 200.0;
        let lost = 0.8 * bound.slack * left_in_window;
        let sum = f64::from(sent) + lost;
        assert!(sum <= bound.slack, "{sum} in the window at step {step}");
    }
    assert!(f64::from(sent) >= bound.slack / 2.0, "{sent}");
}

fn failure(step: StreamStep, outcome: BackendOutcome) -> relay::StepFailure {
    relay::StepFailure::builder()
        .step(step)
        .outcome(outcome)
        .not_run(true)
        .build()
}

#[test]
fn a_prefill_result_that_nobody_took_goes_to_another_engine() {
    let mut failed = failure(StreamStep::Decode, BackendOutcome::Unreachable);
    assert_eq!(failed.wish(), NextStep::Restart);

    failed.has_result = true;

    assert_eq!(failed.wish(), NextStep::MoveOn);
}

#[test]
fn an_engine_with_room_that_refuses_has_found_the_result_gone() {
    let mut failed = failure(StreamStep::Decode, BackendOutcome::Refused);
    failed.has_result = true;
    failed.fill = 0.3;
    assert_eq!(failed.wish(), NextStep::StayOn);

    failed.fill = 0.9;
    assert_eq!(failed.wish(), NextStep::MoveOn);

    failed.has_result = false;
    failed.stayed = true;
    assert_eq!(failed.wish(), NextStep::Restart);
}

#[test]
fn a_stream_that_breaks_stays_where_its_prompt_is_cached_and_one_that_stalls_leaves() {
    let broken = failure(StreamStep::Generate, BackendOutcome::Broken);
    let stalled = failure(StreamStep::Generate, BackendOutcome::Silent);

    assert_eq!(broken.wish(), NextStep::StayOn);
    assert_eq!(stalled.wish(), NextStep::Restart);
}

#[test]
fn the_first_prompt_and_the_first_generation_cost_no_repeat() {
    let fresh = relay::AttemptCount::default();
    let read = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };
    let run = relay::AttemptCount {
        prefills: 1,
        decodes: 1,
    };

    assert_eq!(fresh.cost(NextStep::Restart), 0);
    assert_eq!(read.cost(NextStep::MoveOn), 0);
    assert_eq!(read.cost(NextStep::Restart), 1);
    assert_eq!(run.cost(NextStep::StayOn), 1);
    assert_eq!(run.cost(NextStep::Restart), 2);
}

const COST: relay::EngineCost = relay::EngineCost {
    prefill_millis: 90.0,
    decode_millis: 270.0,
};

fn planned(share: (u32, u32), millis: u64) -> Option<(EngineStage, u32)> {
    let share = relay::EngineShare {
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
    let share = relay::EngineShare {
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
        core.heard(at(millis), news);
        for order in core.due_orders(at(millis), 1_000_000 + millis) {
            assert_eq!(order.stage, EngineStage::Decode);
            fences.push(order.fence);
            core.order_fenced(order.fence);
        }
    }

    assert!(fences.len() >= 2, "{fences:?}");
    assert!(fences[0] > seen);
    assert!(fences.windows(2).all(|pair| pair[1] > pair[0]));
}

#[test]
fn news_of_a_restarted_process_are_taken_though_its_clock_was_set_back() {
    let mut book = relay::InstanceBook::new(common::instance(1), vec![]);
    let mut first = common::news(2, 900);
    first.incarnation = 5_000;
    let mut second = common::news(2, 1);
    second.incarnation = 3_000;
    book.heard(at(0), first, PACE);

    let early = book.heard(at(100), second.clone(), PACE);
    let late = book.heard(at(1_000), second, PACE);

    assert!(!early && late);
}

#[test]
fn instances_find_each_other_through_one_that_both_know() {
    let mut book = relay::InstanceBook::new(common::instance(1), vec![common::instance(9)]);
    let mut news = common::news(9, 1);
    news.known = vec![common::instance(3), common::instance(1)];

    book.heard(at(0), news, PACE);

    let targets: Vec<_> = book.targets(at(1)).into_iter().collect();
    assert_eq!(targets, [common::instance(3), common::instance(9)]);
}

#[test]
fn an_instance_that_is_silent_or_leaves_is_not_counted() {
    let mut book = relay::InstanceBook::new(common::instance(5), vec![]);
    let mut leaving = common::news(2, 1);
    leaving.leaving = true;
    book.heard(at(0), leaving, PACE);
    book.heard(at(0), common::news(3, 1), PACE);

    assert_eq!((book.live_count(at(100)), book.rank(at(100))), (2, 1));
    assert_eq!((book.live_count(at(2_000)), book.rank(at(2_000))), (1, 0));
}

#[test]
fn calls_go_to_the_server_with_the_shortest_way_through() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut servers = Vec::new();

    for _ in 0..6 {
        let pick = core
            .pick_server(at(0), &common::SHOP.into(), &[])
            .expect("servers are there");
        servers.push(pick.entry.server.to_string());
    }

    for name in ["s1", "s2", "s3"] {
        let count = servers.iter().filter(|server| *server == name).count();
        assert_eq!(count, 2, "{servers:?}");
    }
}

#[test]
fn a_server_that_fails_half_of_its_calls_receives_few() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut received = 0;

    for round in 0..300_u64 {
        let now = at(round * 20);
        let pick = core
            .pick_server(now, &common::SHOP.into(), &[])
            .expect("servers are there");
        let bad = pick.entry.server.to_string() == "s1";
        received += u32::from(bad);
        let outcome = if bad && round % 2 == 0 {
            BackendOutcome::Failed
        } else {
            BackendOutcome::Succeeded
        };
        core.call_ended(now + ms(15), pick.key, outcome, ms(15));
    }

    assert!(received < 45, "{received}");
}

#[test]
fn the_least_bad_server_is_tried_when_none_is_well() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let pick = core
        .pick_server(at(0), &common::SHOP.into(), &[])
        .expect("it is there");
    core.call_ended(at(1), pick.key, BackendOutcome::Unreachable, ms(1));

    let again = core.pick_server(at(2), &common::SHOP.into(), &[]);

    assert!(again.is_ok());
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
    let gone = ["p1", "p2"].map(|server| relay::ViewChange::BackendGone(server.into()));
    let mut stages = Vec::new();

    core.view_read(at(10), at(10), common::changes(11, gone.to_vec()));
    for millis in (0..20_000).step_by(250) {
        let orders = core.due_orders(at(millis), 1_000_000 + millis);
        stages.extend(orders.into_iter().map(|order| order.stage));
    }

    assert_eq!(stages.first(), Some(&EngineStage::Prefill), "{stages:?}");
}

#[test]
fn a_prompt_that_was_refused_costs_a_repeat_when_another_engine_is_given_it() {
    let refused = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };

    assert_eq!(refused.cost(NextStep::Restart), 1);
}
