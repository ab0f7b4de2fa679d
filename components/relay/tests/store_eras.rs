//! Views of a store that was restored from a copy.
//!
//! The store then lists what it held when the copy was made, under revisions that it has assigned
//! before, until the operator and the servers write their data again. Its era increases.

mod common;

use std::collections;

use common::{at, ms};

const OLD_ERA: u64 = 3;
const NEW_ERA: u64 = 4;

/// Returns a complete read in an era.
fn full_read(
    era: u64,
    revision: u64,
    config_version: u64,
    entries: &[relay::BackendEntry],
) -> relay::ViewUpdate {
    let config = common::config(config_version, vec![common::order_route()]);
    relay::ViewUpdate {
        era: Some(era),
        ..common::full_view_update(revision, &config, entries)
    }
}

/// Returns a read of changes in an era.
fn changes(era: u64, revision: u64, changes: Vec<relay::ViewChange>) -> relay::ViewUpdate {
    relay::ViewUpdate {
        era: Some(era),
        ..common::view_changes(revision, changes)
    }
}

fn written(entry: &relay::BackendEntry) -> relay::ViewChange {
    relay::ViewChange::Backend(entry.clone())
}

fn draining(name: &str) -> relay::BackendEntry {
    let mut entry = common::server(name, "a");
    entry.leaving = true;
    entry
}

/// Returns a core whose last read, at 900 ms, is at revision 50 of the old era with configuration 9.
fn core_before_restoration(entries: &[relay::BackendEntry]) -> relay::RelayCore {
    instance_before_restoration(1, entries)
}

fn instance_before_restoration(number: u8, entries: &[relay::BackendEntry]) -> relay::RelayCore {
    let mut core = common::core_of(number);
    core.apply_store_read(at(900), at(900), full_read(OLD_ERA, 50, 9, entries));
    core
}

fn listed(core: &relay::RelayCore) -> collections::BTreeMap<String, bool> {
    let backends = &core.tracker().view().backends;
    backends
        .iter()
        .map(|(server, entry)| (server.to_string(), entry.leaving))
        .collect()
}

fn position(core: &relay::RelayCore) -> relay::ViewPosition {
    core.tracker().view().position
}

/// Returns the servers that receive calls.
fn called_servers(core: &mut relay::RelayCore, now: clock::Timestamp) -> Vec<String> {
    let mut avoid = Vec::new();
    let mut called = Vec::new();
    while let Ok(selection) = core.select_server(now, &common::PLAIN_SERVICE.into(), &avoid) {
        avoid.push(selection.key);
        called.push(selection.entry.server.to_string());
    }
    called.sort();
    called
}

#[test]
fn changes_of_a_new_era_lead_to_a_complete_read() {
    let mut core = core_before_restoration(&[common::server("s1", "a")]);
    let other = written(&common::server("s2", "a"));

    core.apply_store_read(at(1_400), at(1_390), changes(NEW_ERA, 52, vec![other]));

    assert_eq!(position(&core), relay::ViewPosition::new(OLD_ERA, 50));
    assert_eq!(core.tracker().read_base(), None);
    let (due, step) = core.next_view_step(at(1_400));
    assert!(due <= at(1_400));
    assert_eq!(step, relay::ViewStep::Read);
}

#[test]
fn smaller_revision_of_a_new_era_replaces_the_view() {
    let entries = [common::server("s1", "a")];
    let mut core = core_before_restoration(&entries);

    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 9, &entries));

    assert_eq!(position(&core), relay::ViewPosition::new(NEW_ERA, 31));
    assert_eq!(core.tracker().read_base(), Some(31));
}

#[test]
fn late_answer_of_an_earlier_era_is_ignored() {
    let mut core = core_before_restoration(&[common::server("s1", "a")]);
    let restored = [common::server("s1", "a"), common::server("s2", "a")];
    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 9, &restored));

    core.apply_store_read(at(1_500), at(1_300), full_read(OLD_ERA, 51, 9, &[]));

    assert_eq!(position(&core), relay::ViewPosition::new(NEW_ERA, 31));
    assert_eq!(listed(&core).len(), 2);
}

#[test]
fn answer_without_an_era_is_ignored_once_the_era_is_known() {
    let mut core = core_before_restoration(&[common::server("s1", "a")]);

    core.apply_store_read(
        at(1_400),
        at(1_390),
        relay::ViewUpdate {
            era: None,
            ..full_read(0, 60, 9, &[])
        },
    );

    assert_eq!(position(&core), relay::ViewPosition::new(OLD_ERA, 50));
    assert_eq!(listed(&core).len(), 1);
}

#[test]
fn server_missing_from_the_copy_stays_until_it_could_have_registered_again() {
    let entries = [common::server("s1", "a"), common::server("s2", "a")];
    let mut core = core_before_restoration(&entries);

    core.apply_store_read(
        at(1_400),
        at(1_390),
        full_read(NEW_ERA, 31, 9, &entries[..1]),
    );
    let during = called_servers(&mut core, at(1_500));
    let registered = vec![written(&entries[1])];
    core.apply_store_read(at(2_500), at(2_490), changes(NEW_ERA, 33, registered));
    core.record_read_failure(at(9_000));

    assert_eq!(during, ["s1", "s2"]);
    assert_eq!(called_servers(&mut core, at(9_000)), ["s1", "s2"]);
}

#[test]
fn server_that_does_not_register_again_is_removed() {
    let entries = [common::server("s1", "a"), common::server("s2", "a")];
    let mut core = core_before_restoration(&entries);

    core.apply_store_read(
        at(1_400),
        at(1_390),
        full_read(NEW_ERA, 31, 9, &entries[..1]),
    );
    core.apply_store_read(at(3_600), at(3_590), changes(NEW_ERA, 33, Vec::new()));

    assert_eq!(called_servers(&mut core, at(3_600)), ["s1"]);
}

#[test]
fn older_configuration_of_the_copy_is_not_applied() {
    let mut core = core_before_restoration(&[]);

    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 7, &[]));

    assert_eq!(core.tracker().view().config_version(), 9);
}

#[test]
fn acknowledged_drain_survives_the_restoration() {
    let mut core = core_before_restoration(&[common::server("s1", "a"), draining("s2")]);
    let copy = [common::server("s1", "a"), common::server("s2", "a")];

    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 9, &copy));

    assert_eq!(called_servers(&mut core, at(1_500)), ["s1"]);
}

#[test]
fn removed_server_stays_removed_until_it_registers_again() {
    let both = [common::server("s1", "a"), common::server("s2", "a")];
    let mut core = core_before_restoration(&both);
    let removal = vec![relay::ViewChange::BackendRemoved("s2".into())];
    core.apply_store_read(at(1_000), at(1_000), changes(OLD_ERA, 52, removal));

    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 9, &both));
    let during = called_servers(&mut core, at(1_500));
    let registered = vec![written(&both[1])];
    core.apply_store_read(at(2_500), at(2_490), changes(NEW_ERA, 33, registered));

    assert_eq!(during, ["s1"]);
    assert_eq!(called_servers(&mut core, at(2_600)), ["s1", "s2"]);
}

#[test]
fn restarted_server_of_the_same_name_is_not_draining() {
    let mut core = core_before_restoration(&[draining("s1")]);
    let mut restarted = common::server("s1", "a");
    restarted.born_millis += 1;

    core.apply_store_read(
        at(1_400),
        at(1_390),
        full_read(NEW_ERA, 31, 9, &[restarted]),
    );

    assert_eq!(called_servers(&mut core, at(1_500)), ["s1"]);
}

#[test]
fn entry_that_is_written_late_does_not_end_a_drain() {
    let mut core = core_before_restoration(&[common::server("s1", "a"), draining("s2")]);
    let late = vec![written(&common::server("s2", "a"))];

    core.apply_store_read(at(1_400), at(1_390), changes(OLD_ERA, 52, late));

    assert_eq!(called_servers(&mut core, at(1_500)), ["s1"]);
}

#[test]
fn instance_of_an_older_era_does_not_overwrite_a_newer_one() {
    let entries = [common::server("s1", "a")];
    let mut newer = core_before_restoration(&entries);
    newer.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 9, &entries));
    let mut older = instance_before_restoration(2, &[]);

    let behind = newer.apply_update(at(1_500), older.full_update(at(1_500)));
    let view = older.tracker().view().clone();
    newer.apply_peer_view(at(1_510), view, ms(1));

    assert!(!behind && !newer.is_behind());
    assert_eq!(position(&newer), relay::ViewPosition::new(NEW_ERA, 31));
    assert_eq!(listed(&newer).len(), 1);
}

#[test]
fn instance_without_eras_does_not_overwrite_or_refresh_a_view() {
    let entries = [common::server("s1", "a")];
    let mut core = core_before_restoration(&entries);
    let mut update = common::instance_update(2, 1);
    update.position = relay::ViewPosition::new(0, 9_999);
    update.fingerprint = core.tracker().fingerprint();

    let same = core.apply_update(at(1_500), update.clone());
    update.sequence = 2;
    update.fingerprint ^= 1;
    let different = core.apply_update(at(1_600), update);

    assert!(!same && !different);
    assert_eq!(position(&core), relay::ViewPosition::new(OLD_ERA, 50));
    assert_eq!(core.tracker().age(at(1_600)), Some(ms(700)));
}

#[test]
fn instance_that_was_cut_off_copies_the_view_of_the_new_era() {
    let entries = [common::server("s1", "a"), common::server("s2", "a")];
    let mut reader = core_before_restoration(&entries);
    let mut cut_off = instance_before_restoration(2, &entries);
    reader.apply_store_read(
        at(1_400),
        at(1_390),
        full_read(NEW_ERA, 31, 9, &entries[..1]),
    );
    reader.apply_store_read(
        at(9_000),
        at(8_990),
        full_read(NEW_ERA, 40, 9, &entries[..1]),
    );

    let behind = cut_off.apply_update(at(9_100), reader.full_update(at(9_100)));
    let source = cut_off.copy_source(at(9_100));
    cut_off.apply_peer_view(at(9_110), reader.tracker().view().clone(), ms(100));

    assert!(behind);
    assert_eq!(source, Some(common::instance(1)));
    assert_eq!(position(&cut_off), relay::ViewPosition::new(NEW_ERA, 40));
    assert_eq!(called_servers(&mut cut_off, at(9_200)), ["s1"]);
}

#[test]
fn instance_that_starts_during_the_restoration_takes_the_newer_configuration_of_another() {
    let entries = [common::server("s1", "a")];
    let mut reader = core_before_restoration(&entries);
    reader.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 7, &entries));
    let mut started = common::core_of(2);
    started.apply_store_read(at(1_450), at(1_440), full_read(NEW_ERA, 31, 7, &entries));

    let behind = started.apply_update(at(1_500), reader.full_update(at(1_500)));
    started.apply_peer_view(at(1_510), reader.tracker().view().clone(), ms(100));

    assert!(behind);
    assert_eq!(started.tracker().view().config_version(), 9);
    assert!(!started.is_behind());
}

#[test]
fn two_restorations_in_a_row_keep_drains_and_configuration() {
    let mut core = core_before_restoration(&[common::server("s1", "a"), draining("s2")]);
    let copy = [common::server("s1", "a"), common::server("s2", "a")];

    core.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 31, 8, &copy));
    core.apply_store_read(at(2_000), at(1_990), changes(NEW_ERA + 1, 35, Vec::new()));
    core.apply_store_read(at(2_010), at(2_005), full_read(NEW_ERA + 1, 20, 7, &copy));

    assert_eq!(position(&core), relay::ViewPosition::new(NEW_ERA + 1, 20));
    assert_eq!(core.tracker().view().config_version(), 9);
    assert_eq!(called_servers(&mut core, at(2_100)), ["s1"]);
}

#[test]
fn change_of_another_era_is_not_applied() {
    let entries = [common::server("s1", "a"), common::server("s2", "a")];
    let mut reader = core_before_restoration(&entries);
    let mut receiver = instance_before_restoration(2, &entries);
    receiver.apply_store_read(at(1_400), at(1_390), full_read(NEW_ERA, 51, 9, &entries));
    let removal = vec![relay::ViewChange::BackendRemoved("s2".into())];
    reader.apply_store_read(at(1_450), at(1_400), changes(OLD_ERA, 52, removal));

    receiver.apply_update(at(1_500), reader.full_update(at(1_490)));

    assert_eq!(listed(&receiver).len(), 2);
}
