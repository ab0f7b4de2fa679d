//! Placing of generations on engines.

mod common;

use common::{at, ms};

#[test]
fn a_request_gets_engines_in_one_data_centre() {
    let mut core = common::core_with(&common::four_engines());

    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));

    let prefill = place.prefill.expect("a prefill engine is there").1;
    assert_eq!(prefill.data_centre, place.decode.1.data_centre);
}

#[test]
fn places_spread_over_decode_engines() {
    let mut core = common::core_with(&common::four_engines());

    let mut servers: Vec<String> = (0..2)
        .map(|_| common::placed(core.place(at(0), common::ask(at(0), 5_000))))
        .map(|place| place.decode.1.server.to_string())
        .collect();

    servers.sort();
    assert_eq!(servers, ["d1", "d2"]);
}

#[test]
fn what_other_instances_use_counts() {
    let mut core = common::core_with(&common::four_engines());
    let used = relay::EngineUsage {
        running: 12,
        prefill_tokens: 0,
        streams: vec![
            relay::StreamLoad {
                held: 7_000,
                remaining: 900,
            };
            12
        ],
    };
    let mut news = common::news(2, 1);
    news.usage = vec![(relay::server_hash(&"d1".into()), used)];
    core.heard(at(0), news);

    let place = common::placed(core.place(at(1), common::ask(at(1), 5_000)));

    assert_eq!(place.decode.1.server.to_string(), "d2");
}

#[test]
fn what_a_silent_instance_used_no_longer_counts() {
    let mut core = common::core_with(&common::four_engines());
    let load = relay::StreamLoad {
        held: 90_000,
        remaining: 100,
    };
    let used = relay::EngineUsage {
        running: 1,
        prefill_tokens: 0,
        streams: vec![load],
    };
    let mut news = common::news(2, 1);
    news.usage = vec![
        (relay::server_hash(&"d1".into()), used.clone()),
        (relay::server_hash(&"d2".into()), used),
    ];
    core.heard(at(0), news);
    let full = core.place(at(1), common::ask(at(1), 10_000));
    assert!(matches!(full, relay::PlaceAnswer::Waiting(_)), "{full:?}");

    core.refresh_usage(at(1_600));
    let answers = core.grants(at(1_600));

    assert!(matches!(
        answers.as_slice(),
        [(_, relay::PlaceAnswer::Placed(_))]
    ));
}

#[test]
fn a_full_site_lets_requests_wait_and_serves_them_when_a_stream_ends() {
    let entries = [
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ];
    let mut core = common::core_with(&entries);
    let mut places = Vec::new();
    let waiting = loop {
        match core.place(at(0), common::ask(at(0), 1_000)) {
            relay::PlaceAnswer::Placed(place) => places.push(place),
            relay::PlaceAnswer::Waiting(ticket) => break ticket,
            relay::PlaceAnswer::Refused(refusal) => panic!("{refusal:?}"),
        }
        for place in &places {
            core.prefill_ended(at(0), place.key, relay::BackendOutcome::Succeeded);
        }
    };

    core.release(
        at(50),
        places[0].key,
        common::ended(relay::BackendOutcome::Succeeded),
    );
    let answers = core.grants(at(50));

    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].0, waiting);
}

#[test]
fn a_request_that_waited_as_long_as_it_may_is_refused_with_a_time_to_come_back() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let held = core.place(at(0), common::ask(at(0), 80_000));
    assert!(matches!(held, relay::PlaceAnswer::Placed(_)));
    let mut short = common::ask(at(0), 20_000);
    short.wait_until = at(2_700);
    assert!(matches!(
        core.place(at(0), short),
        relay::PlaceAnswer::Waiting(_)
    ));

    assert!(core.grants(at(2_600)).is_empty());
    let answers = core.grants(at(2_700));

    let [(_, relay::PlaceAnswer::Refused(refusal))] = answers.as_slice() else {
        panic!("{answers:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::WaitedOut);
    assert!(refusal.retry_after > ms(500));
}

#[test]
fn without_a_decode_engine_a_request_is_refused_at_once() {
    let mut core = common::core_with(&[common::engine("p1", relay::EngineStage::Prefill, "a")]);

    let answer = core.place(at(0), common::ask(at(0), 5_000));

    let relay::PlaceAnswer::Refused(refusal) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::NoServer);
}

#[test]
fn without_a_prefill_engine_the_decode_engine_reads_the_prompt() {
    let mut core = common::core_with(&[common::engine("d1", relay::EngineStage::Decode, "a")]);

    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));

    assert!(place.prefill.is_none());
}

#[test]
fn a_leaving_engine_receives_nothing() {
    let mut entries = common::four_engines();
    for entry in &mut entries {
        entry.leaving = entry.server.to_string().ends_with('1');
    }
    let mut core = common::core_with(&entries);

    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));

    assert_eq!(place.decode.1.server.to_string(), "d2");
    assert_eq!(
        place.prefill.map(|(_, entry)| entry.server.to_string()),
        Some("p2".to_owned())
    );
}

#[test]
fn an_engine_that_can_not_be_reached_is_ejected_and_tried_again() {
    let mut core = common::core_with(&common::four_engines());
    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    let failed = place.decode.1.server.clone();

    let ejected = core.release(
        at(10),
        place.key,
        common::ended(relay::BackendOutcome::Unreachable),
    );
    let next = common::placed(core.place(at(20), common::ask(at(20), 5_000)));

    assert!(ejected);
    assert_ne!(next.decode.1.server, failed);
    let usable = |core: &relay::RelayCore, now| {
        let mut table = core.book().table().values();
        table.any(|engine| engine.entry.server == failed && engine.takes_work(now))
    };
    assert!(!usable(&core, at(500)));
    assert!(usable(&core, at(3_500)));
}

#[test]
fn a_prefill_result_moves_to_another_decode_engine() {
    let mut core = common::core_with(&common::four_engines());
    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    core.prefill_ended(at(90), place.key, relay::BackendOutcome::Succeeded);

    let moved = core.move_decode(at(95), place.key, relay::BackendOutcome::Unreachable);

    let (key, _) = moved.expect("another engine has room");
    assert_ne!(key, place.decode.0);
    let left = core.book().get(place.decode.0).expect("it is listed");
    assert!(left.own_streams.is_empty());
}

#[test]
fn a_restarted_engine_starts_unused_and_without_its_past() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let place = common::placed(core.place(at(0), common::ask(at(0), 5_000)));
    core.release(
        at(5),
        place.key,
        common::ended(relay::BackendOutcome::Unreachable),
    );
    let mut reborn = common::engine("d1", relay::EngineStage::Decode, "a");
    reborn.born_millis = 2;

    core.view_read(
        at(10),
        at(10),
        common::changes(12, vec![relay::ViewChange::Backend(reborn)]),
    );
    let next = common::placed(core.place(at(20), common::ask(at(20), 5_000)));

    assert_ne!(next.decode.0, place.decode.0);
}

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
        relay::PlaceAnswer::Placed(_)
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

#[test]
fn memory_is_foretold_from_what_streams_hold_and_add() {
    let load = |held, remaining| relay::StreamLoad { held, remaining };

    assert_eq!(relay::peak_tokens([]), 0);
    assert_eq!(relay::peak_tokens([load(100, 50)]), 150);
    // The second one is over before the first one has grown.
    assert_eq!(relay::peak_tokens([load(100, 1_000), load(500, 10)]), 1_100);
    assert_eq!(relay::peak_tokens([load(100, 10), load(500, 10)]), 620);
    assert_eq!(relay::peak_tokens([load(100, 200), load(500, 100)]), 800);
}

#[test]
fn a_guess_lies_between_the_hint_and_the_mean() {
    let mut guess = relay::LengthGuess::new(6_500);
    for _ in 0..400 {
        guess.learn(3_000);
    }

    let plain = guess.expected(None, 6_500);
    let long = guess.expected(Some(6_000), 6_500);
    let short = guess.expected(Some(500), 6_500);

    assert!((2_900..3_400).contains(&plain), "{plain}");
    assert!(long > plain && long < 6_000, "{long}");
    assert!(short < plain && short > 500, "{short}");
    assert_eq!(guess.expected(Some(60_000), 400), 400);
}

#[test]
fn an_answer_beyond_its_guess_is_expected_to_go_on_up_to_its_limit() {
    assert_eq!(relay::remaining_tokens(3_000, 1_000, 6_500), 2_000);
    assert_eq!(relay::remaining_tokens(3_000, 4_000, 6_500), 600);
    assert_eq!(relay::remaining_tokens(3_000, 6_400, 6_500), 100);
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

    core.result_lost(at(0), lost);

    assert_eq!(prefills_of(&mut core, 10, 4), ["p2"; 4]);
    assert!(prefills_of(&mut core, 3_000, 6).contains(&"p1".to_owned()));
}

#[test]
fn other_instances_hear_of_an_engine_whose_results_are_lost() {
    let mut core = common::core_with(&common::four_engines());
    let mut other = common::core_of(2);
    let config = common::config(1, vec![common::draft_route()]);
    other.view_read(
        at(0),
        at(0),
        common::full_update(10, &config, &common::four_engines()),
    );
    let lost = key_of(&other, "p1");
    other.result_lost(at(0), lost);

    core.heard(at(5), other.news(at(4)));

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

    while let relay::PlaceAnswer::Placed(place) = core.place(at(0), common::ask(at(0), 5_000)) {
        places.push(place.key);
    }

    assert!((2..=6).contains(&places.len()), "{}", places.len());
    for key in places {
        core.progressed(at(300), key, 50);
    }
    let answers = core.grants(at(300));
    assert!(
        matches!(answers.as_slice(), [(_, relay::PlaceAnswer::Placed(_))]),
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

    core.prefill_ended(at(100), first.key, relay::BackendOutcome::Succeeded);
    core.prefill_ended(at(200), second.key, relay::BackendOutcome::Succeeded);

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

    core.prefill_ended(at(500), first.key, relay::BackendOutcome::Succeeded);
    core.prefill_ended(at(1_000), second.key, relay::BackendOutcome::Succeeded);

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
    other.view_read(at(0), at(0), common::full_update(10, &config, &entries));
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

    other.heard(at(millis), leader.news(at(millis)));

    assert!(!prefills_of(&mut other, millis, 8).contains(&ordered));
}
