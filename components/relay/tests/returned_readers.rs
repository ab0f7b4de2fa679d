//! Instances that didn't hear of the store for a while, and what they make of entries that were removed
//! meanwhile.

mod common;

use common::{at, ms};

/// Returns the cores of a reader, of an instance that is told by it, and of a third one, with the servers
/// `s1` and `s2`.
fn three_cores() -> [relay::RelayCore; 3] {
    let config = common::config(1, vec![common::order_route()]);
    [1, 2, 3].map(|number| {
        let mut core = common::core_of(number);
        let view = common::full_view_update(10, &config, &both_servers());
        core.apply_store_read(at(0), at(0), view);
        core
    })
}

fn both_servers() -> [relay::BackendEntry; 2] {
    [common::server("s1", "a"), common::server("s2", "a")]
}

fn read(core: &mut relay::RelayCore, now: u64, revision: u64, removed: &[&str]) {
    let removals = removed
        .iter()
        .map(|server| relay::ViewChange::BackendRemoved((*server).into()));
    let update = common::view_changes(revision, removals.collect());
    core.apply_store_read(at(now), at(now), update);
}

/// Tells an instance of the view of another one, which it copies if it is newer.
fn tell(from: &mut relay::RelayCore, to: &mut relay::RelayCore, now: u64) {
    if to.apply_update(at(now), from.full_update(at(now))) {
        to.apply_peer_view(at(now + 1), from.tracker().view().clone(), ms(1));
    }
}

/// Returns the servers that receive calls.
fn called_servers(core: &mut relay::RelayCore, now: u64) -> Vec<String> {
    let mut avoid = Vec::new();
    let mut called = Vec::new();
    while let Ok(selection) = core.select_server(at(now), &common::PLAIN_SERVICE.into(), &avoid) {
        avoid.push(selection.key);
        called.push(selection.entry.server.to_string());
    }
    called.sort();
    called
}

#[test]
fn reader_that_was_away_lists_a_removed_server_for_all_again() {
    let [mut returned, mut reader, mut other] = three_cores();
    for now in [500, 1_000, 1_500, 2_000, 2_500, 3_000] {
        read(&mut reader, now, 10 + now / 500, &[]);
        tell(&mut reader, &mut other, now + 5);
    }
    read(&mut reader, 3_200, 20, &["s1"]);
    tell(&mut reader, &mut other, 3_205);

    read(&mut returned, 3_500, 21, &["s1"]);
    tell(&mut returned, &mut reader, 3_510);
    tell(&mut returned, &mut other, 3_510);

    assert_eq!(called_servers(&mut reader, 3_520), ["s2"]);
    assert_eq!(called_servers(&mut other, 3_520), ["s2"]);
}

#[test]
fn removal_that_a_returned_reader_tells_of_is_delayed_for_all() {
    let [mut returned, mut reader, mut other] = three_cores();
    for now in [500, 1_000, 1_500, 2_000, 2_500, 3_000] {
        read(&mut reader, now, 10 + now / 500, &[]);
        tell(&mut reader, &mut other, now + 5);
    }

    read(&mut returned, 3_300, 21, &["s1"]);
    tell(&mut returned, &mut other, 3_310);

    assert_eq!(called_servers(&mut other, 3_320), ["s2"]);
}

#[test]
fn instances_that_heard_of_no_read_keep_expired_servers_for_the_grace_period() {
    let [mut reader, mut other, mut late] = three_cores();
    read(&mut reader, 6_000, 21, &["s1"]);
    tell(&mut reader, &mut other, 6_010);
    // The update with the change is lost.
    read(&mut reader, 6_500, 22, &[]);
    tell(&mut reader, &mut late, 6_510);

    let during: Vec<Vec<String>> = [&mut reader, &mut other, &mut late]
        .map(|core| called_servers(core, 7_600))
        .to_vec();
    let after: Vec<Vec<String>> = [&mut reader, &mut other, &mut late]
        .map(|core| called_servers(core, 8_300))
        .to_vec();

    assert_eq!(during, [["s1", "s2"]; 3]);
    assert_eq!(after, [["s2"]; 3]);
}

#[test]
fn expired_server_stays_in_use_while_the_store_fails_again() {
    let [mut reader, _, _] = three_cores();
    read(&mut reader, 6_000, 21, &["s1"]);

    reader.record_read_failure(at(7_900));

    assert_eq!(called_servers(&mut reader, 7_910), ["s2"]);
}

#[test]
fn server_that_registers_again_is_removed_when_its_grace_period_ends() {
    let [mut reader, mut other, _] = three_cores();
    read(&mut reader, 6_000, 21, &["s1"]);
    tell(&mut reader, &mut other, 6_010);
    let written = relay::ViewChange::Backend(common::server("s1", "a"));
    reader.apply_store_read(
        at(6_800),
        at(6_790),
        common::view_changes(25, vec![written]),
    );
    tell(&mut reader, &mut other, 6_810);

    assert_eq!(called_servers(&mut reader, 9_000), ["s1", "s2"]);
    assert_eq!(called_servers(&mut other, 9_000), ["s1", "s2"]);
}
