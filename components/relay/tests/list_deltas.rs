//! Changes of the platform's list that one instance reads and tells the others.

mod common;

use common::at;

/// Returns two cores that know the same list.
fn two_cores() -> (relay::RelayCore, relay::RelayCore) {
    let entries = common::four_engines();
    let config = common::config(1, vec![common::draft_route()]);
    let [reader, listener] = [1, 2].map(|number| {
        let mut core = common::core_of(number);
        core.apply_store_read(at(0), at(0), common::full_update(10, &config, &entries));
        core
    });
    (reader, listener)
}

fn read_departure(core: &mut relay::RelayCore, now: clock::Timestamp, revision: u64, server: &str) {
    let gone = relay::ViewChange::BackendRemoved(server.into());
    core.apply_store_read(now, now, common::changes(revision, vec![gone]));
}

fn knows(core: &relay::RelayCore, server: &str) -> bool {
    core.tracker()
        .view()
        .backends
        .contains_key(&ids::ServerName::from(server))
}

#[test]
fn a_change_that_one_instance_read_is_taken_over_without_a_read() {
    let (mut reader, mut listener) = two_cores();
    let mut late = common::engine("d2", relay::EngineStage::Decode, "b");
    late.leaving = true;
    let changes = vec![
        relay::ViewChange::BackendRemoved("p1".into()),
        relay::ViewChange::Backend(late),
        relay::ViewChange::Backend(common::engine("d3", relay::EngineStage::Decode, "a")),
    ];

    reader.apply_store_read(at(500), at(500), common::changes(15, changes));
    let behind = listener.apply_update(at(510), reader.news(at(505)));

    assert!(!behind && !listener.is_behind());
    assert_eq!(
        listener.tracker().fingerprint(),
        reader.tracker().fingerprint()
    );
    assert!(knows(&listener, "d3") && !knows(&listener, "p1"));
    let leaving = listener.book().table().values();
    assert_eq!(leaving.filter(|engine| engine.entry.leaving).count(), 1);
}

#[test]
fn an_instance_that_missed_a_change_reads_for_itself() {
    let (mut reader, mut listener) = two_cores();
    read_departure(&mut reader, at(500), 15, "p1");
    let _lost = reader.news(at(505));
    read_departure(&mut reader, at(1_000), 20, "p2");

    let behind = listener.apply_update(at(1_010), reader.news(at(1_005)));

    assert!(behind);
    assert!(knows(&listener, "p1") && knows(&listener, "p2"));
}

#[test]
fn a_change_of_the_configuration_is_read_from_the_store() {
    let (mut reader, mut listener) = two_cores();
    let config = common::config(2, vec![common::order_route()]);
    let changes = vec![
        relay::ViewChange::Config(config),
        relay::ViewChange::BackendRemoved("p1".into()),
    ];

    reader.apply_store_read(at(500), at(500), common::changes(15, changes));
    let behind = listener.apply_update(at(510), reader.news(at(505)));

    assert!(behind);
    assert_eq!(listener.tracker().view().config_version(), 1);
}

#[test]
fn an_old_change_is_not_taken_over_again() {
    let (mut reader, mut listener) = two_cores();
    read_departure(&mut reader, at(500), 15, "p1");
    let old = reader.news(at(505));
    let back = relay::ViewChange::Backend(common::engine("p1", relay::EngineStage::Prefill, "a"));
    reader.apply_store_read(at(800), at(800), common::changes(20, vec![back.clone()]));
    listener.apply_store_read(at(800), at(800), common::changes(20, vec![back]));

    listener.apply_update(at(810), old);

    assert!(knows(&listener, "p1"));
}

#[test]
fn a_process_that_knows_no_list_takes_no_change_over() {
    let (mut reader, _) = two_cores();
    let mut fresh = common::core_of(3);
    read_departure(&mut reader, at(500), 15, "p1");

    fresh.apply_update(at(510), reader.news(at(505)));

    assert!(!fresh.tracker().is_known());
    assert!(fresh.tracker().view().backends.is_empty());
}
