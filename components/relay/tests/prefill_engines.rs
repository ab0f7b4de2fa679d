//! What is known of prefill engines, and which of them reads a prompt.

mod common;

use common::at;

#[test]
fn a_prompt_does_not_wait_long_at_a_prefill_engine() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
        common::engine("d2", relay::EngineStage::Decode, "a"),
    ]);
    let mut placed = 0;

    while matches!(
        core.place(at(0), common::ask(at(0), 5_000)),
        relay::PlacementOutcome::Placed(_)
    ) {
        placed += 1;
    }

    assert!((3..=5).contains(&placed), "{placed}");
}

#[test]
fn a_warm_prefill_engine_is_preferred() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("p2", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let key_of = |core: &relay::RelayCore, name: &str| {
        let mut table = core.book().table().iter();
        let found = table.find(|(_, engine)| engine.entry.server.to_string() == name);
        found.map(|(key, _)| key).expect("it is listed")
    };
    for name in ["p1", "p2"] {
        let mut ask = common::ask(at(0), 5_000);
        ask.warm_prefill = Some(key_of(&core, name));

        let place = common::placed(core.place(at(0), ask));

        let prefill = place.prefill.expect("a prefill engine is there").1;
        assert_eq!(prefill.server.to_string(), name);
        core.release(
            at(0),
            place.key,
            common::ended(relay::BackendOutcome::Abandoned),
        );
    }
}

/// Returns the key of an engine.
fn key_of(core: &relay::RelayCore, name: &str) -> relay::BackendKey {
    let mut table = core.book().table().iter();
    let found = table.find(|(_, engine)| engine.entry.server.to_string() == name);
    found.map(|(key, _)| key).expect("it is listed")
}

/// Returns the prefill engines of some requests.
fn prefills_of(core: &mut relay::RelayCore, millis: u64, count: usize) -> Vec<String> {
    (0..count)
        .map(|_| common::placed(core.place(at(millis), common::ask(at(millis), 1_000))))
        .filter_map(|place| place.prefill.map(|(_, entry)| entry.server.to_string()))
        .collect()
}

#[test]
fn a_prefill_engine_whose_results_are_lost_reads_nothing_for_a_while() {
    let mut core = common::core_with(&common::four_engines());
    let lost = key_of(&core, "p1");

    core.record_lost_result(at(0), lost);

    assert_eq!(prefills_of(&mut core, 10, 4), ["p2"; 4]);
    assert!(prefills_of(&mut core, 3_000, 6).contains(&"p1".to_owned()));
}

#[test]
fn other_instances_hear_of_an_engine_whose_results_are_lost() {
    let mut core = common::core_with(&common::four_engines());
    let mut other = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    other.apply_store_read(
        at(0),
        at(0),
        common::full_update(10, &config, &common::four_engines()),
    );
    let lost = key_of(&other, "p1");
    other.record_lost_result(at(0), lost);

    core.apply_update(at(5), other.news(at(4)));

    assert_eq!(prefills_of(&mut core, 10, 4), ["p2"; 4]);
    core.refresh_usage(at(3_000));
    assert!(prefills_of(&mut core, 3_000, 6).contains(&"p1".to_owned()));
}

#[test]
fn decode_engines_that_read_prompts_themselves_are_given_few_at_a_time() {
    let mut core = common::core_with(&[
        common::engine("d1", relay::EngineStage::Decode, "a"),
        common::engine("d2", relay::EngineStage::Decode, "a"),
    ]);
    let mut places = Vec::new();

    while let relay::PlacementOutcome::Placed(place) = core.place(at(0), common::ask(at(0), 5_000))
    {
        places.push(place.key);
    }

    assert!((2..=6).contains(&places.len()), "{}", places.len());
    for key in places {
        core.record_progress(at(300), key, 50);
    }
    let answers = core.poll_queue(at(300));
    assert!(
        matches!(
            answers.as_slice(),
            [(_, relay::PlacementOutcome::Placed(_))]
        ),
        "{answers:?}"
    );
}

#[test]
fn a_prompt_read_behind_others_does_not_make_an_engine_look_fast() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let first = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    let second = common::placed(core.place(at(90), common::ask(at(90), 5_000)));

    core.record_prefill_outcome(at(100), first.key, relay::BackendOutcome::Succeeded);
    core.record_prefill_outcome(at(200), second.key, relay::BackendOutcome::Succeeded);

    let engine = core.book().get(key_of(&core, "p1")).expect("it is listed");
    assert!(engine.prefill_rate <= 50.0, "{}", engine.prefill_rate);
}

#[test]
fn a_prompt_that_takes_long_makes_an_engine_look_slow_also_behind_others() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let first = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    let second = common::placed(core.place(at(0), common::ask(at(0), 5_000)));

    core.record_prefill_outcome(at(500), first.key, relay::BackendOutcome::Succeeded);
    core.record_prefill_outcome(at(1_000), second.key, relay::BackendOutcome::Succeeded);

    let engine = core.book().get(key_of(&core, "p1")).expect("it is listed");
    assert!(engine.prefill_rate < 40.0, "{}", engine.prefill_rate);
}

#[test]
fn other_instances_send_nothing_to_an_engine_that_was_ordered_to_change() {
    let mut entries = common::four_engines();
    entries.push(common::engine("p3", relay::EngineStage::Prefill, "a"));
    entries.push(common::engine("p4", relay::EngineStage::Prefill, "b"));
    let mut leader = common::core_with(&entries);
    let place = common::placed(leader.place(at(0), common::ask(at(0), 5_000)));
    leader.release(
        at(1),
        place.key,
        common::ended(relay::BackendOutcome::Abandoned),
    );
    let mut other = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    other.apply_store_read(at(0), at(0), common::full_update(10, &config, &entries));
    let mut ordered = None;
    let mut millis = 0;
    while ordered.is_none() && millis < 30_000 {
        millis += 250;
        ordered = leader.due_orders(at(millis), 1_000_000 + millis).pop();
    }
    let ordered = ordered
        .expect("an engine is ordered")
        .entry
        .server
        .to_string();

    other.apply_update(at(millis), leader.news(at(millis)));

    assert!(!prefills_of(&mut other, millis, 8).contains(&ordered));
}
