//! Placement of generations on engines.

mod common;

use common::{at, ms};

#[test]
fn selects_engines_in_one_data_centre() {
    let mut core = common::core_with(&common::four_engines());

    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));

    let prefill = placement.prefill.expect("a prefill engine is selected").1;
    assert_eq!(prefill.data_centre, placement.decode.1.data_centre);
}

#[test]
fn spreads_placements_over_decode_engines() {
    let mut core = common::core_with(&common::four_engines());

    let mut servers: Vec<String> = (0..2)
        .map(|_| common::placed(core.place(at(0), common::request(at(0), 5_000))))
        .map(|placement| placement.decode.1.server.to_string())
        .collect();

    servers.sort();
    assert_eq!(servers, ["d1", "d2"]);
}

#[test]
fn counts_usage_by_other_instances() {
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
    let mut update = common::instance_update(2, 1);
    update.usage = vec![(relay::server_hash(&"d1".into()), used)];
    core.apply_update(at(0), update);

    let placement = common::placed(core.place(at(1), common::request(at(1), 5_000)));

    assert_eq!(placement.decode.1.server.to_string(), "d2");
}

#[test]
fn ignores_usage_by_silent_instance() {
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
    let mut update = common::instance_update(2, 1);
    update.usage = vec![
        (relay::server_hash(&"d1".into()), used.clone()),
        (relay::server_hash(&"d2".into()), used),
    ];
    core.apply_update(at(0), update);
    let while_full = core.place(at(1), common::request(at(1), 10_000));
    assert!(
        matches!(while_full, relay::PlacementOutcome::Waiting(_)),
        "{while_full:?}"
    );

    core.refresh_usage(at(1_600));
    let outcomes = core.poll_queue(at(1_600));

    assert!(matches!(
        outcomes.as_slice(),
        [(_, relay::PlacementOutcome::Placed(_))]
    ));
}

#[test]
fn queues_request_at_full_site_and_places_it_when_a_stream_ends() {
    let entries = [
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ];
    let mut core = common::core_with(&entries);
    let mut placements = Vec::new();
    let waiting = loop {
        match core.place(at(0), common::request(at(0), 1_000)) {
            relay::PlacementOutcome::Placed(placement) => placements.push(placement),
            relay::PlacementOutcome::Waiting(ticket) => break ticket,
            relay::PlacementOutcome::Refused(refusal) => panic!("{refusal:?}"),
        }
        for placement in &placements {
            core.record_prefill_outcome(at(0), placement.key, relay::BackendOutcome::Succeeded);
        }
    };

    core.release(
        at(50),
        placements[0].key,
        common::completion(relay::BackendOutcome::Succeeded),
    );
    let outcomes = core.poll_queue(at(50));

    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].0, waiting);
}

#[test]
fn refuses_expired_request_with_a_retry_delay() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let first = core.place(at(0), common::request(at(0), 80_000));
    assert!(matches!(first, relay::PlacementOutcome::Placed(_)));
    let mut queued = common::request(at(0), 20_000);
    queued.wait_until = at(2_700);
    assert!(matches!(
        core.place(at(0), queued),
        relay::PlacementOutcome::Waiting(_)
    ));

    assert!(core.poll_queue(at(2_600)).is_empty());
    let outcomes = core.poll_queue(at(2_700));

    let [(_, relay::PlacementOutcome::Refused(refusal))] = outcomes.as_slice() else {
        panic!("{outcomes:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::QueueTimeout);
    assert!(refusal.retry_after > ms(500));
}

#[test]
fn refuses_request_at_once_without_decode_engine() {
    let mut core = common::core_with(&[common::engine("p1", relay::EngineStage::Prefill, "a")]);

    let outcome = core.place(at(0), common::request(at(0), 5_000));

    let relay::PlacementOutcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(refusal.reason, relay::RefusalReason::NoServer);
}

#[test]
fn decode_engine_prefills_without_prefill_engine() {
    let mut core = common::core_with(&[common::engine("d1", relay::EngineStage::Decode, "a")]);

    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));

    assert!(placement.prefill.is_none());
}

#[test]
fn draining_engine_receives_no_requests() {
    let mut entries = common::four_engines();
    for entry in &mut entries {
        entry.leaving = entry.server.to_string().ends_with('1');
    }
    let mut core = common::core_with(&entries);

    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));

    assert_eq!(placement.decode.1.server.to_string(), "d2");
    assert_eq!(
        placement.prefill.map(|(_, entry)| entry.server.to_string()),
        Some("p2".to_owned())
    );
}

#[test]
fn ejects_unreachable_engine_for_a_limited_time() {
    let mut core = common::core_with(&common::four_engines());
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    let failed = placement.decode.1.server.clone();

    let ejected = core.release(
        at(10),
        placement.key,
        common::completion(relay::BackendOutcome::Unreachable),
    );
    let next = common::placed(core.place(at(20), common::request(at(20), 5_000)));

    assert!(ejected);
    assert_ne!(next.decode.1.server, failed);
    let usable = |core: &relay::RelayCore, now| {
        let mut table = core.backends().table().values();
        table.any(|engine| engine.entry.server == failed && engine.accepts_work(now))
    };
    assert!(!usable(&core, at(500)));
    assert!(usable(&core, at(3_500)));
}

#[test]
fn moves_prefill_result_to_another_decode_engine() {
    let mut core = common::core_with(&common::four_engines());
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    core.record_prefill_outcome(at(90), placement.key, relay::BackendOutcome::Succeeded);

    let moved = core.move_decode(at(95), placement.key, relay::BackendOutcome::Unreachable);

    let (key, _) = moved.expect("another engine has capacity");
    assert_ne!(key, placement.decode.0);
    let previous = core
        .backends()
        .get(placement.decode.0)
        .expect("the engine is listed");
    assert!(previous.own_streams.is_empty());
}

#[test]
fn restarted_engine_starts_idle_and_healthy() {
    let mut core = common::core_with(&[
        common::engine("p1", relay::EngineStage::Prefill, "a"),
        common::engine("d1", relay::EngineStage::Decode, "a"),
    ]);
    let placement = common::placed(core.place(at(0), common::request(at(0), 5_000)));
    core.release(
        at(5),
        placement.key,
        common::completion(relay::BackendOutcome::Unreachable),
    );
    let mut restarted = common::engine("d1", relay::EngineStage::Decode, "a");
    restarted.born_millis = 2;

    core.apply_store_read(
        at(10),
        at(10),
        common::view_changes(12, vec![relay::ViewChange::Backend(restarted)]),
    );
    let next = common::placed(core.place(at(20), common::request(at(20), 5_000)));

    assert_ne!(next.decode.0, placement.decode.0);
}
