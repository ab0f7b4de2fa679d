//! Changes of the platform's list that one instance reads and sends to the others.
//!
//! An instance must apply a change only if the result is the sender's list; after a lost update it
//! would otherwise keep a wrong list.

mod common;

use common::at;

/// Returns two cores with the same list.
fn two_cores() -> (relay::RelayCore, relay::RelayCore) {
    let entries = common::four_engines();
    let config = common::config(1, vec![common::draft_route()]);
    let [reader, receiver] = [1, 2].map(|number| {
        let mut core = common::core_of(number);
        core.apply_store_read(
            at(0),
            at(0),
            common::full_view_update(10, &config, &entries),
        );
        core
    });
    (reader, receiver)
}

fn read_removal(core: &mut relay::RelayCore, now: clock::Timestamp, revision: u64, server: &str) {
    let removal = relay::ViewChange::BackendRemoved(server.into());
    core.apply_store_read(now, now, common::view_changes(revision, vec![removal]));
}

fn has_server(core: &relay::RelayCore, server: &str) -> bool {
    core.tracker()
        .view()
        .backends
        .contains_key(&ids::ServerName::from(server))
}

#[test]
fn applies_change_read_by_another_instance() {
    let (mut reader, mut receiver) = two_cores();
    let mut draining = common::engine("d2", relay::EngineStage::Decode, "b");
    draining.leaving = true;
    let changes = vec![
        relay::ViewChange::BackendRemoved("p1".into()),
        relay::ViewChange::Backend(draining),
        relay::ViewChange::Backend(common::engine("d3", relay::EngineStage::Decode, "a")),
    ];

    reader.apply_store_read(at(500), at(500), common::view_changes(15, changes));
    let behind = receiver.apply_update(at(510), reader.full_update(at(505)));

    assert!(!behind && !receiver.is_behind());
    assert_eq!(
        receiver.tracker().fingerprint(),
        reader.tracker().fingerprint()
    );
    assert!(has_server(&receiver, "d3") && !has_server(&receiver, "p1"));
    let engines = receiver.backends().table().values();
    assert_eq!(engines.filter(|engine| engine.entry.leaving).count(), 1);
}

#[test]
fn missed_change_marks_the_view_as_behind() {
    let (mut reader, mut receiver) = two_cores();
    read_removal(&mut reader, at(500), 15, "p1");
    let _lost = reader.full_update(at(505));
    read_removal(&mut reader, at(1_000), 20, "p2");

    let behind = receiver.apply_update(at(1_010), reader.full_update(at(1_005)));

    assert!(behind);
    assert!(has_server(&receiver, "p1") && has_server(&receiver, "p2"));
}

#[test]
fn configuration_change_marks_the_view_as_behind() {
    let (mut reader, mut receiver) = two_cores();
    let config = common::config(2, vec![common::order_route()]);
    let changes = vec![
        relay::ViewChange::Config(config),
        relay::ViewChange::BackendRemoved("p1".into()),
    ];

    reader.apply_store_read(at(500), at(500), common::view_changes(15, changes));
    let behind = receiver.apply_update(at(510), reader.full_update(at(505)));

    assert!(behind);
    assert_eq!(receiver.tracker().view().config_version(), 1);
}

#[test]
fn drain_is_unknown_while_a_newer_configuration_is_missing() {
    let (mut reader, mut receiver) = two_cores();
    let config = relay::ViewChange::Config(common::config(2, vec![common::order_route()]));
    reader.apply_store_read(at(500), at(500), common::view_changes(15, vec![config]));
    receiver.apply_update(at(510), reader.full_update(at(505)));
    let mut draining = common::engine("d2", relay::EngineStage::Decode, "b");
    draining.leaving = true;
    let drain = relay::ViewChange::Backend(draining);

    reader.apply_store_read(at(1_000), at(1_000), common::view_changes(20, vec![drain]));
    let behind = receiver.apply_update(at(1_010), reader.full_update(at(1_005)));

    let engines = receiver.backends().table().values();
    assert_eq!(engines.filter(|engine| engine.entry.leaving).count(), 1);
    assert!(behind && receiver.tracker().view().config_version() == 1);
}

#[test]
fn rejects_outdated_change() {
    let (mut reader, mut receiver) = two_cores();
    read_removal(&mut reader, at(500), 15, "p1");
    let outdated = reader.full_update(at(505));
    let restored =
        relay::ViewChange::Backend(common::engine("p1", relay::EngineStage::Prefill, "a"));
    reader.apply_store_read(
        at(800),
        at(800),
        common::view_changes(20, vec![restored.clone()]),
    );
    receiver.apply_store_read(at(800), at(800), common::view_changes(20, vec![restored]));

    receiver.apply_update(at(810), outdated);

    assert!(has_server(&receiver, "p1"));
}

#[test]
fn process_without_list_applies_no_change() {
    let (mut reader, _) = two_cores();
    let mut new_core = common::core_of(3);
    read_removal(&mut reader, at(500), 15, "p1");

    new_core.apply_update(at(510), reader.full_update(at(505)));

    assert!(!new_core.tracker().is_known());
    assert!(new_core.tracker().view().backends.is_empty());
}
