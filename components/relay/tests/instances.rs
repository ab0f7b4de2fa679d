//! Registry of the other instances.

mod common;

use common::at;

/// Decode rate of a stream in tokens per millisecond.
const DECODE_RATE: f64 = 1.0;

#[test]
fn accepts_update_of_restarted_process_after_its_clock_was_set_back() {
    let mut registry = relay::InstanceRegistry::new(common::instance(1), vec![]);
    let mut first = common::instance_update(2, 900);
    first.incarnation = 5_000;
    let mut second = common::instance_update(2, 1);
    second.incarnation = 3_000;
    registry.apply_update(at(0), first, DECODE_RATE);

    let accepted_early = registry.apply_update(at(100), second.clone(), DECODE_RATE);
    let accepted_late = registry.apply_update(at(1_000), second, DECODE_RATE);

    assert!(!accepted_early && accepted_late);
}

#[test]
fn discovers_instance_through_common_peer() {
    let mut registry = relay::InstanceRegistry::new(common::instance(1), vec![common::instance(9)]);
    let mut update = common::instance_update(9, 1);
    update.known = [3, 1].map(common::known_instance).to_vec();

    registry.apply_update(at(0), update, DECODE_RATE);

    let targets: Vec<_> = registry.targets(at(1)).into_iter().collect();
    assert_eq!(targets, [common::instance(3), common::instance(9)]);
}

#[test]
fn excludes_silent_and_draining_instances() {
    let mut registry = relay::InstanceRegistry::new(common::instance(5), vec![]);
    let mut draining = common::instance_update(2, 1);
    draining.leaving = true;
    registry.apply_update(at(0), draining, DECODE_RATE);
    registry.apply_update(at(0), common::instance_update(3, 1), DECODE_RATE);

    assert_eq!(
        (registry.live_count(at(100)), registry.rank(at(100))),
        (2, 1)
    );
    assert_eq!(
        (registry.live_count(at(2_000)), registry.rank(at(2_000))),
        (1, 0)
    );
}

#[test]
fn view_is_copied_in_the_own_data_centre_from_an_instance_with_an_equal_view() {
    let [near, far] = ["a", "b"].map(|name| relay::data_centre_hash(&name.into()));
    let mut registry = relay::InstanceRegistry::new(common::instance(1), vec![]);
    // The reader of the store is far away; its revision is newer, but the content is the same.
    for (number, data_centre, revision, fingerprint) in
        [(2, far, 90, 7), (3, near, 84, 7), (4, near, 80, 6)]
    {
        let mut update = common::instance_update(number, 1);
        update.data_centre = data_centre;
        update.position = relay::ViewPosition::new(0, revision);
        update.fingerprint = fingerprint;
        registry.apply_update(at(0), update, DECODE_RATE);
    }

    let sources = registry.newest_view_sources(at(10), 0, near);

    assert_eq!(sources, [common::instance(3)]);
}
