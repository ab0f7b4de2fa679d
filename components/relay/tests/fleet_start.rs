//! Selections of many instances that start together.
//!
//! Before the first state updates arrive, each instance computes its selection from the same state.
//! Without jitter and rebalancing all would select the same engines and overload them.

mod common;

use std::collections;

use common::at;

/// Number of instances that start together.
const INSTANCES: u8 = 60;

/// Number of prefill engines, and of decode engines, in each data centre.
const ENGINES: u8 = 6;

fn entries() -> Vec<relay::BackendEntry> {
    let numbers = 0..ENGINES;
    let engines = numbers.flat_map(|number| {
        ["a", "b"].map(|centre| {
            let prefill = format!("p{centre}{number}");
            let decode = format!("d{centre}{number}");
            [
                common::engine(&prefill, relay::EngineStage::Prefill, centre),
                common::engine(&decode, relay::EngineStage::Decode, centre),
            ]
        })
    });
    engines.flatten().collect()
}

fn started_core(number: u8, entries: &[relay::BackendEntry]) -> relay::RelayCore {
    let settings = relay::CoreSettings::builder()
        .address(common::instance(number))
        .incarnation(1_000 + u64::from(number))
        .data_centre("a".into())
        .seeds((1..=3).map(common::instance).collect())
        .retry_bound(common::bound())
        .seed(u64::from(number))
        .build();
    let mut core = relay::RelayCore::new(settings);
    let config = common::config(1, vec![common::draft_route()]);
    core.apply_store_read(at(0), at(0), common::full_view_update(10, &config, entries));
    core
}

#[test]
fn instances_that_start_together_spread_prompts_and_streams() {
    let entries = entries();
    let mut prompts: collections::BTreeMap<String, u32> = collections::BTreeMap::new();
    let mut streams: collections::BTreeMap<String, u32> = collections::BTreeMap::new();

    for number in 1..=INSTANCES {
        let mut core = started_core(number, &entries);
        let placement = common::placed(core.place(at(100), common::request(at(100), 5_000)));
        let (_, prefill) = placement.prefill.expect("a prefill engine is selected");
        *prompts.entry(prefill.server.to_string()).or_default() += 1;
        *streams
            .entry(placement.decode.1.server.to_string())
            .or_default() += 1;
    }

    // Sixty requests spread over twelve engines of each stage.
    let max_count = |counts: &collections::BTreeMap<String, u32>| counts.values().copied().max();
    assert!(max_count(&prompts) <= Some(15), "{prompts:?}");
    assert!(max_count(&streams) <= Some(15), "{streams:?}");
}

#[test]
fn rebalances_streams_that_several_instances_placed_on_one_engine() {
    let mut entries = entries();
    entries.retain(|entry| !entry.server.as_str().starts_with("db"));
    let mut cores: Vec<relay::RelayCore> = (1..=8)
        .map(|number| started_core(number, &entries))
        .collect();
    // The other decode engines are not listed until all streams are placed.
    let target = "da0";
    let set_listed = |core: &mut relay::RelayCore, listed: bool| {
        let other_decodes = entries.iter().filter(|entry| {
            entry.stage == Some(relay::EngineStage::Decode) && entry.server.as_str() != target
        });
        let changes = other_decodes.cloned().map(|entry| {
            if listed {
                relay::ViewChange::Backend(entry)
            } else {
                relay::ViewChange::BackendRemoved(entry.server)
            }
        });
        let revision = if listed { 12 } else { 11 };
        let update = common::view_changes(revision, changes.collect());
        core.apply_store_read(at(100), at(100), update);
    };
    let mut keys = Vec::new();
    for core in &mut cores {
        set_listed(core, false);
        let placement = common::placed(core.place(at(100), common::request(at(100), 18_000)));
        assert_eq!(placement.decode.1.server.as_str(), target);
        keys.push(placement.key);
        set_listed(core, true);
    }
    let updates: Vec<_> = cores
        .iter_mut()
        .map(|core| core.full_update(at(110)))
        .collect();
    for core in &mut cores {
        for update in &updates {
            core.apply_update(at(110), update.clone());
        }
    }

    let moved = cores
        .iter_mut()
        .zip(&keys)
        .filter_map(|(core, key)| core.rebalance_decode(at(200), *key))
        .count();

    // The engine has capacity for four of the eight streams; some streams must stay.
    assert!((4..8).contains(&moved), "{moved}");
}
