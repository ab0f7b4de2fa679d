//! State of prefill engines, and selection of the prefill engine of a prompt.

mod common;

use common::{at, ms};

#[test]
fn limits_wait_for_prefill() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
        common::engine("d2", relay::EngineStage::Decode, "a"),
    ]);
    let mut placed = 0;

    while matches!(
        core.place(at(0), common::request(at(0), 5_000)),
        relay::PlacementOutcome::Placed(_)
    ) {
        placed += 1;
    }

    assert!((3..=5).contains(&placed), "{placed}");
}

#[test]
fn prefers_prefill_engine_with_cached_prompt() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("p2", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let key_of = |core: &relay::RelayCore, name: &str| {
        let mut table = core.backends().table().iter();
        let found = table.find(|(_, engine)| engine.entry.server.to_string() == name);
        found.map(|(key, _)| key).expect("the engine is listed")
    };
    for name in ["p1", "p2"] {
        let mut request = common::request(at(0), 5_000);
        request.warm_prefill = Some(key_of(&core, name));

        let placement = common::placed(core.place(at(0), request));

        let prefill = placement.prefill.expect("a prefill engine is selected").1;
        assert_eq!(prefill.server.to_string(), name);
        core.release(
            at(0),
            placement.key,
            common::completion(relay::BackendOutcome::Abandoned),
        );
    }
}

/// Returns the key of an engine.
fn key_of(core: &relay::RelayCore, name: &str) -> relay::BackendKey {
    let mut table = core.backends().table().iter();
    let found = table.find(|(_, engine)| engine.entry.server.to_string() == name);
    found.map(|(key, _)| key).expect("the engine is listed")
}

/// Places `count` requests and returns the names of their prefill engines.
fn prefills_of(core: &mut relay::RelayCore, millis: u64, count: usize) -> Vec<String> {
    (0..count)
        .map(|_| common::placed(core.place(at(millis), common::request(at(millis), 1_000))))
        .filter_map(|placement| placement.prefill.map(|(_, entry)| entry.server.to_string()))
        .collect()
}

#[test]
fn pauses_prefill_engine_that_lost_results() {
    let mut core = common::core_with(&common::four_engines());
    let lost = key_of(&core, "p1");

    core.record_lost_result(at(0), lost);

    assert_eq!(prefills_of(&mut core, 10, 4), ["p2"; 4]);
    assert!(prefills_of(&mut core, 3_000, 6).contains(&"p1".to_owned()));
}

#[test]
fn pause_after_lost_results_applies_to_other_instances() {
    let mut core = common::core_with(&common::four_engines());
    let mut other = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    other.apply_store_read(
        at(0),
        at(0),
        common::full_view_update(10, &config, &common::four_engines()),
    );
    let lost = key_of(&other, "p1");
    other.record_lost_result(at(0), lost);

    core.apply_update(at(5), other.full_update(at(4)));

    assert_eq!(prefills_of(&mut core, 10, 4), ["p2"; 4]);
    core.refresh_usage(at(3_000));
    assert!(prefills_of(&mut core, 3_000, 6).contains(&"p1".to_owned()));
}

#[test]
fn decode_engines_that_prefill_receive_few_prompts_at_a_time() {
    let mut core = common::core_with(&[
        common::engine("d1", relay::EngineStage::Decode, "a"),
        common::engine("d2", relay::EngineStage::Decode, "a"),
    ]);
    let mut placements = Vec::new();

    while let relay::PlacementOutcome::Placed(placement) =
        core.place(at(0), common::request(at(0), 5_000))
    {
        placements.push(placement.key);
    }

    assert!((2..=6).contains(&placements.len()), "{}", placements.len());
    for key in placements {
        core.record_progress(at(300), key, 50);
    }
    let outcomes = core.poll_queue(at(300));
    assert!(
        matches!(
            outcomes.as_slice(),
            [(_, relay::PlacementOutcome::Placed(_))]
        ),
        "{outcomes:?}"
    );
}

#[test]
fn queued_prefill_does_not_raise_the_prefill_rate() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let first = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    let second = common::placed(core.place(at(90), common::request(at(90), 5_000)));

    core.record_prefill_outcome(at(100), first.key, relay::BackendOutcome::Succeeded);
    core.record_prefill_outcome(at(200), second.key, relay::BackendOutcome::Succeeded);

    let engine = core
        .backends()
        .get(key_of(&core, "p1"))
        .expect("the engine is listed");
    // The duration at 50 tokens per millisecond, the rate without measurements.
    let duration = engine.prefill_duration(5_000);
    assert!(duration >= ms(100), "{duration:?}");
}

#[test]
fn slow_queued_prefill_lowers_the_prefill_rate() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let first = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    let second = common::placed(core.place(at(0), common::request(at(0), 5_000)));

    core.record_prefill_outcome(at(500), first.key, relay::BackendOutcome::Succeeded);
    core.record_prefill_outcome(at(1_000), second.key, relay::BackendOutcome::Succeeded);

    let engine = core
        .backends()
        .get(key_of(&core, "p1"))
        .expect("the engine is listed");
    // The duration at 40 tokens per millisecond.
    let duration = engine.prefill_duration(5_000);
    assert!(duration > ms(125), "{duration:?}");
}

#[test]
fn stage_change_pauses_engine_for_other_instances() {
    let mut entries = common::four_engines();
    entries.push(common::engine("p3", relay::EngineStage::Prefill, "a"));
    entries.push(common::engine("p4", relay::EngineStage::Prefill, "b"));
    let mut leader = common::core_with(&entries);
    let placement = common::placed(leader.place(at(0), common::request(at(0), 5_000)));
    leader.release(
        at(1),
        placement.key,
        common::completion(relay::BackendOutcome::Abandoned),
    );
    let mut other = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    other.apply_store_read(
        at(0),
        at(0),
        common::full_view_update(10, &config, &entries),
    );
    let mut ordered = None;
    let mut millis = 0;
    while ordered.is_none() && millis < 30_000 {
        millis += 250;
        ordered = leader.due_orders(at(millis), 1_000_000 + millis).pop();
    }
    let ordered = ordered
        .expect("an engine is ordered to change stage")
        .entry
        .server
        .to_string();

    other.apply_update(at(millis), leader.full_update(at(millis)));

    assert!(!prefills_of(&mut other, millis, 8).contains(&ordered));
}
