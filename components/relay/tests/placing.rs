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
    core.apply_update(at(0), news);

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
    core.apply_update(at(0), news);
    let full = core.place(at(1), common::ask(at(1), 10_000));
    assert!(
        matches!(full, relay::PlacementOutcome::Waiting(_)),
        "{full:?}"
    );

    core.refresh_usage(at(1_600));
    let answers = core.poll_queue(at(1_600));

    assert!(matches!(
        answers.as_slice(),
        [(_, relay::PlacementOutcome::Placed(_))]
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
            relay::PlacementOutcome::Placed(place) => places.push(place),
            relay::PlacementOutcome::Waiting(ticket) => break ticket,
            relay::PlacementOutcome::Refused(refusal) => panic!("{refusal:?}"),
        }
        for place in &places {
            core.record_prefill_outcome(at(0), place.key, relay::BackendOutcome::Succeeded);
        }
    };

    core.release(
        at(50),
        places[0].key,
        common::ended(relay::BackendOutcome::Succeeded),
    );
    let answers = core.poll_queue(at(50));

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
    assert!(matches!(held, relay::PlacementOutcome::Placed(_)));
    let mut short = common::ask(at(0), 20_000);
    short.wait_until = at(2_700);
    assert!(matches!(
        core.place(at(0), short),
        relay::PlacementOutcome::Waiting(_)
    ));

    assert!(core.poll_queue(at(2_600)).is_empty());
    let answers = core.poll_queue(at(2_700));

    let [(_, relay::PlacementOutcome::Refused(refusal))] = answers.as_slice() else {
        panic!("{answers:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::WaitedOut);
    assert!(refusal.retry_after > ms(500));
}

#[test]
fn without_a_decode_engine_a_request_is_refused_at_once() {
    let mut core = common::core_with(&[common::engine("p1", relay::EngineStage::Prefill, "a")]);

    let answer = core.place(at(0), common::ask(at(0), 5_000));

    let relay::PlacementOutcome::Refused(refusal) = answer else {
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
    core.record_prefill_outcome(at(90), place.key, relay::BackendOutcome::Succeeded);

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

    core.apply_store_read(
        at(10),
        at(10),
        common::changes(12, vec![relay::ViewChange::Backend(reborn)]),
    );
    let next = common::placed(core.place(at(20), common::ask(at(20), 5_000)));

    assert_ne!(next.decode.0, place.decode.0);
}
