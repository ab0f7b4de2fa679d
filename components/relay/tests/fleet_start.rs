//! Many instances that have just started and haven't heard of each other's choices.

mod common;

use std::collections;

use common::at;

/// Instances that start together.
const INSTANCES: u8 = 60;

/// Prefill and decode engines of each data centre.
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
    core.apply_store_read(at(0), at(0), common::full_update(10, &config, entries));
    core
}

#[test]
fn instances_that_start_together_spread_their_prompts_and_streams() {
    let entries = entries();
    let mut prompts: collections::BTreeMap<String, u32> = collections::BTreeMap::new();
    let mut streams: collections::BTreeMap<String, u32> = collections::BTreeMap::new();

    for number in 1..=INSTANCES {
        let mut core = started_core(number, &entries);
        let place = common::placed(core.place(at(100), common::ask(at(100), 5_000)));
        let (_, prefill) = place.prefill.expect("prefill engines are there");
        *prompts.entry(prefill.server.to_string()).or_default() += 1;
        *streams
            .entry(place.decode.1.server.to_string())
            .or_default() += 1;
    }

    // Twelve engines share sixty requests.
    let most = |counts: &collections::BTreeMap<String, u32>| counts.values().copied().max();
    assert!(most(&prompts) <= Some(15), "{prompts:?}");
    assert!(most(&streams) <= Some(15), "{streams:?}");
}

#[test]
fn streams_that_instances_gave_one_engine_at_once_spread_before_they_begin() {
    let mut entries = entries();
    entries.retain(|entry| !entry.server.as_str().starts_with("db"));
    let mut cores: Vec<relay::RelayCore> = (1..=8)
        .map(|number| started_core(number, &entries))
        .collect();
    // The other decode engines take no work until the places are given.
    let target = "da0";
    let hide = |core: &mut relay::RelayCore, leaving: bool| {
        let hidden = entries.iter().filter(|entry| {
            entry.stage == Some(relay::EngineStage::Decode) && entry.server.as_str() != target
        });
        let changes = hidden.cloned().map(|mut entry| {
            entry.leaving = leaving;
            relay::ViewChange::Backend(entry)
        });
        let revision = if leaving { 11 } else { 12 };
        let update = common::changes(revision, changes.collect());
        core.apply_store_read(at(100), at(100), update);
    };
    let mut keys = Vec::new();
    for core in &mut cores {
        hide(core, true);
        let place = common::placed(core.place(at(100), common::ask(at(100), 18_000)));
        assert_eq!(place.decode.1.server.as_str(), target);
        keys.push(place.key);
        hide(core, false);
    }
    let news: Vec<_> = cores.iter_mut().map(|core| core.news(at(110))).collect();
    for core in &mut cores {
        for told in &news {
            core.apply_update(at(110), told.clone());
        }
    }

    let moved = cores
        .iter_mut()
        .zip(&keys)
        .filter_map(|(core, key)| core.rebalance_decode(at(200), *key))
        .count();

    // Four of the eight have room there; it needn't be left to nobody.
    assert!((4..8).contains(&moved), "{moved}");
}
