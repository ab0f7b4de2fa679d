//! Tests of the engine model.

use std::time;

use proptest::prelude::*;

use crate::engine_model;

fn engine(role: note::EngineRole) -> engine_model::EngineModel {
    let figures = engine_model::EngineFigures::builder()
        .role(role)
        .decode_slots(4)
        .kv_pieces(12)
        .prefill_tokens_per_second(10_000)
        .link_tokens_per_second(100_000)
        .full_batch_token_us(40_000)
        .lone_token_us(20_000)
        .retention(time::Duration::from_millis(800))
        .build();
    engine_model::EngineModel::new(figures)
}

fn key(number: u128) -> engine_model::WorkKey {
    engine_model::WorkKey {
        request: ids::RequestId(number),
        attempt: ids::AttemptNumber(0),
    }
}

fn prompt(number: u128, tokens: u32, blocks: &[u64]) -> engine_model::PrefillWork {
    engine_model::PrefillWork::builder()
        .key(key(number))
        .entry(ids::InstanceId(1))
        .prompt_tokens(tokens)
        .blocks(blocks.to_vec())
        .build()
}

fn import(number: u128, pieces: u32) -> engine_model::ImportWork {
    engine_model::ImportWork::builder()
        .key(key(number))
        .entry(ids::InstanceId(1))
        .kv_handle(1)
        .prompt_tokens(1_000)
        .kv_pieces(pieces)
        .build()
}

fn answer(number: u128, tokens: u32) -> engine_model::DecodeWork {
    engine_model::DecodeWork::builder()
        .key(key(number))
        .output_tokens(tokens)
        .max_tokens(1_000)
        .build()
}

const fn at(millis: u64) -> clock::Timestamp {
    clock::Timestamp::from_millis(millis)
}

#[test]
fn a_result_that_nobody_imports_is_dropped_after_the_retention() {
    let mut engine = engine(note::EngineRole::Prefill);
    let mut events = Vec::new();
    engine
        .prefill(at(0), prompt(1, 1_000, &[]), &mut events)
        .unwrap();

    engine.advance(at(2_000), &mut events);

    assert!(matches!(
        events.as_slice(),
        [
            engine_model::EngineEvent::Prefilled(..),
            engine_model::EngineEvent::Dropped(_)
        ]
    ));
    assert_eq!(engine.held_pieces(), 0);
    let gone = engine.export(at(2_000), 1, &mut events);
    assert_eq!(gone, Err(engine_model::ModelError::Gone));
}

#[test]
fn a_shared_prefix_is_read_once() {
    let mut engine = engine(note::EngineRole::Prefill);
    let mut events = Vec::new();
    engine
        .prefill(at(0), prompt(1, 1_000, &[7, 8]), &mut events)
        .unwrap();
    engine
        .prefill(at(0), prompt(2, 1_000, &[7, 8]), &mut events)
        .unwrap();

    engine.advance(at(400), &mut events);

    let cached: Vec<u32> = events
        .iter()
        .filter_map(|event| match event {
            engine_model::EngineEvent::Prefilled(_, result) => Some(result.cached_tokens),
            _ => None,
        })
        .collect();
    assert_eq!(cached, [0, 512]);
}

#[test]
fn an_import_beyond_the_slots_waits_until_one_is_free() {
    let mut engine = engine(note::EngineRole::Decode);
    let mut events = Vec::new();
    for number in 0..5 {
        engine
            .import(at(0), import(number, 2), &mut events)
            .unwrap();
    }
    let pulled = events.len();

    engine.cancel(at(1), key(0), &mut events);

    assert_eq!(pulled, 4);
    assert_eq!(
        events.last(),
        Some(&engine_model::EngineEvent::Pull(key(4), 1))
    );
}

#[test]
fn a_full_batch_generates_at_the_full_batch_pace() {
    let mut engine = engine(note::EngineRole::Decode);
    let mut events = Vec::new();
    for number in 0..4 {
        engine
            .import(at(0), import(number, 2), &mut events)
            .unwrap();
        engine.source_sent(at(100), key(number), &mut events);
    }
    for number in 0..4 {
        engine
            .decode(at(100), &answer(number, 10), &mut events)
            .unwrap();
    }
    events.clear();

    engine.advance(at(2_000), &mut events);

    let last = events
        .iter()
        .filter(|event| {
            matches!(
                event,
                engine_model::EngineEvent::Token {
                    finish: Some(_),
                    ..
                }
            )
        })
        .count();
    assert_eq!(last, 4);
    assert_eq!(events.len(), 40);
    assert_eq!(engine.held_pieces(), 0);
}

#[test]
fn a_load_report_tells_the_past() {
    let mut engine = engine(note::EngineRole::Decode);
    let mut events = Vec::new();
    engine.advance(at(1_000), &mut events);
    engine.import(at(1_000), import(1, 2), &mut events).unwrap();

    let early = engine.load(at(1_400));
    let late = engine.load(at(1_600));

    assert_eq!(early.decoding, 0);
    assert_eq!(late.decoding, 1);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn memory_and_slots_stay_in_bounds_and_come_back(
        steps in prop::collection::vec((0_u8..5, 0_u128..12, 1_u32..5, 0_u64..200), 1..120),
    ) {
        let mut engine = engine(note::EngineRole::Flexible);
        let mut events = Vec::new();
        let mut now = 0;

        for (action, number, pieces, pause) in steps {
            now += pause;
            match action {
                0 => drop(engine.prefill(at(now), prompt(number, pieces * 900, &[1]), &mut events)),
                1 => drop(engine.import(at(now), import(number, pieces), &mut events)),
                2 => engine.source_sent(at(now), key(number), &mut events),
                3 => drop(engine.decode(at(now), &answer(number, 5), &mut events)),
                _ => engine.cancel(at(now), key(number), &mut events),
            }
            prop_assert!(engine.held_pieces() <= 12);
            let decoding = engine
                .running(at(now))
                .iter()
                .filter(|entry| entry.kv_pieces > 0 && entry.phase == border::RunningPhase::Decode)
                .count();
            prop_assert!(decoding <= 4);
        }
        for number in 0..12 {
            engine.cancel(at(now), key(number), &mut events);
        }

        prop_assert_eq!(engine.held_pieces(), 0);
        prop_assert!(engine.running(at(now)).is_empty());
    }
}
