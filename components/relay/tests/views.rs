//! View of the platform: reads, copies, age and routes.

mod common;

use std::{collections, time};

use common::{at, ms};

fn listed_servers(tracker: &relay::ViewTracker) -> Vec<String> {
    let backends = &tracker.view().backends;
    backends.keys().map(ToString::to_string).collect()
}

fn announcement(revision: u64, fingerprint: u64, age: time::Duration) -> relay::ViewAnnouncement {
    relay::ViewAnnouncement {
        position: relay::ViewPosition::new(0, revision),
        fingerprint,
        config_version: 0,
        age,
    }
}

fn tracker_with(entries: &[relay::BackendEntry]) -> relay::ViewTracker {
    let mut tracker = relay::ViewTracker::default();
    let config = common::config(5, vec![common::draft_route()]);
    tracker.apply_read(at(0), at(0), common::full_view_update(10, &config, entries));
    tracker
}

#[test]
fn keeps_newer_configuration_on_read() {
    let mut tracker = tracker_with(&[]);
    let older = common::config(4, vec![]);

    tracker.apply_read(at(10), at(10), common::full_view_update(11, &older, &[]));

    assert_eq!(tracker.view().config_version(), 5);
}

#[test]
fn keeps_newer_configuration_on_copy() {
    let mut tracker = tracker_with(&[]);
    let copied = relay::SiteView {
        position: relay::ViewPosition::new(0, 99),
        config: Some(common::config(3, vec![])),
        backends: relay::BackendMap::new(),
        ..relay::SiteView::default()
    };

    tracker.apply_copy(at(100), copied, ms(1));

    assert_eq!(tracker.view().config_version(), 5);
    assert_eq!(tracker.view().position.revision, 99);
}

#[test]
fn removes_server_at_once() {
    let mut tracker = tracker_with(&[common::server("s1", "a"), common::server("s2", "b")]);

    tracker.apply_read(
        at(500),
        at(490),
        common::view_changes(11, vec![relay::ViewChange::BackendRemoved("s1".into())]),
    );

    assert_eq!(listed_servers(&tracker), ["s2"]);
}

#[test]
fn keeps_servers_that_expired_during_an_outage_for_a_grace_period() {
    let entries = [common::server("s1", "a"), common::server("s2", "b")];
    let mut tracker = tracker_with(&entries);
    let config = common::config(5, vec![]);

    tracker.apply_read(
        at(5_000),
        at(5_000),
        common::full_view_update(12, &config, &[]),
    );

    assert_eq!(listed_servers(&tracker), ["s1", "s2"]);
    tracker.apply_read(
        at(6_000),
        at(6_000),
        common::view_changes(13, vec![relay::ViewChange::Backend(entries[0].clone())]),
    );
    tracker.expire(at(6_800));
    assert_eq!(listed_servers(&tracker), ["s1"]);
}

#[test]
fn removes_server_that_was_draining_before_an_outage() {
    let mut draining = common::server("s1", "a");
    draining.leaving = true;
    let mut tracker = tracker_with(&[draining]);
    let config = common::config(5, vec![]);

    tracker.apply_read(
        at(5_000),
        at(5_000),
        common::full_view_update(12, &config, &[]),
    );

    assert!(listed_servers(&tracker).is_empty());
}

#[test]
fn entry_replaced_by_invalid_one_removes_the_server() {
    let mut tracker = tracker_with(&[common::server("s1", "a")]);

    tracker.apply_read(
        at(100),
        at(100),
        common::view_changes(
            12,
            vec![
                relay::ViewChange::Backend(common::server("s1", "a")),
                relay::ViewChange::BackendRemoved("s1".into()),
            ],
        ),
    );

    assert!(listed_servers(&tracker).is_empty());
}

#[test]
fn instance_of_rank_0_reads_twice_a_second_and_others_at_a_larger_age() {
    let tracker = tracker_with(&[]);

    let (rank_0, rank_1) = (tracker.next_read_at(0), tracker.next_read_at(1));

    assert_eq!(rank_0, at(500));
    assert!(rank_1 > at(900) && rank_1 < at(1_500), "{rank_1:?}");
}

#[test]
fn equal_view_refreshes_the_age_and_newer_view_is_copied() {
    let mut tracker = tracker_with(&[]);

    let same =
        tracker.apply_announcement(at(800), &announcement(15, tracker.fingerprint(), ms(100)));
    let age = tracker.age(at(800));
    let newer = tracker.apply_announcement(
        at(900),
        &announcement(16, tracker.fingerprint() ^ 1, ms(50)),
    );

    assert!(!same && newer);
    assert_eq!(age, Some(ms(100)));
    assert_eq!(tracker.next_copy_at(at(900), 0), Some(at(900)));
    assert!(tracker.read_instead_at(3) <= Some(at(1_900)));
}

#[test]
fn ignores_announcement_of_older_view() {
    let mut tracker = tracker_with(&[]);

    let behind = tracker.apply_announcement(
        at(100),
        &announcement(9, tracker.fingerprint() ^ 1, ms(5_000)),
    );

    assert!(!behind);
}

#[test]
fn delays_read_after_a_failure() {
    let mut tracker = relay::ViewTracker::default();

    tracker.record_read_failure(at(1_000));

    assert!(tracker.next_read_at(0) > at(1_200));
}

#[test]
fn matches_longest_prefix_of_the_host() {
    let mut wide = common::order_route();
    wide.prefix = "/".to_owned();
    let config = common::config(1, vec![wide, common::draft_route(), common::order_route()]);

    let name = |host, path| config.route(host, path).map(|route| route.name.clone());

    assert_eq!(name("SITE.example", "/draft/x"), Some("draft".to_owned()));
    assert_eq!(name("site.example", "/drafts"), Some("order".to_owned()));
    assert_eq!(name("other.example", "/draft/x"), None);
}

#[test]
fn splits_route_among_services_by_weight() {
    let mut route = common::draft_route();
    route.shares = vec![common::share("x", 90), common::share("y", 10)];

    let service_for = |draw| route.service_for(draw).map(ToString::to_string);

    assert_eq!(service_for(0.0), Some("x".to_owned()));
    assert_eq!(service_for(0.899), Some("x".to_owned()));
    assert_eq!(service_for(0.901), Some("y".to_owned()));
}

#[test]
fn instance_without_configuration_is_not_ready_and_matches_no_route() {
    let mut core = common::empty_core();

    let found = core.route(
        at(0),
        "site.example",
        "/draft/x",
        workspace::PresentedKey::Absent,
    );

    assert!(!core.is_ready());
    assert!(matches!(found, relay::RouteMatch::NoConfig));
}

#[test]
fn draining_instance_is_not_ready() {
    let mut core = common::core_with(&[]);
    assert!(core.is_ready());

    core.start_draining(relay::DrainPlan::new(at(0), ms(8_000)));

    assert!(!core.is_ready());
}

#[test]
fn fingerprint_is_independent_of_the_revision() {
    let entries = [common::server("s1", "a")];
    let mut one = tracker_with(&entries);
    let two = tracker_with(&entries);

    one.apply_read(at(1), at(1), common::view_changes(77, vec![]));

    assert_eq!(one.fingerprint(), two.fingerprint());
}

#[test]
fn view_ages_while_instances_only_confirm_it_to_each_other() {
    let config = common::config(1, vec![common::draft_route()]);
    let mut cores: Vec<_> = (1..=3).map(common::core_of).collect();
    for core in &mut cores {
        core.apply_store_read(at(0), at(0), common::full_view_update(10, &config, &[]));
    }

    // Each update takes 5 ms, and one of its receivers sends the next one.
    for hop in 0..400_usize {
        let now = at(5 * hop as u64);
        let update = cores[hop % 3].full_update(now);
        for receiver in [(hop + 1) % 3, (hop + 2) % 3] {
            cores[receiver].apply_update(now + ms(5), update.clone());
        }
    }

    for core in &mut cores {
        let age = core.tracker().age(at(2_000)).expect("the core has a view");
        assert!(age >= ms(1_950), "{age:?}");
        assert!(core.next_view_step(at(2_000)).0 <= at(2_000));
    }
}

#[test]
fn newer_revision_of_any_age_marks_the_view_as_behind() {
    let mut tracker = tracker_with(&[]);

    let behind = tracker.apply_announcement(
        at(100),
        &announcement(11, tracker.fingerprint() ^ 1, time::Duration::MAX),
    );

    assert!(behind);
}

#[test]
fn change_read_by_another_instance_keeps_the_grace_periods_of_other_servers() {
    let entries = [common::server("s1", "a"), common::server("s2", "b")];
    let mut tracker = tracker_with(&entries);
    let config = common::config(5, vec![]);
    // Both servers expired during an outage of the store.
    tracker.apply_read(
        at(5_000),
        at(5_000),
        common::full_view_update(12, &config, &[]),
    );
    let mut sender_view = tracker.view().clone();
    let added = common::server("s3", "a");
    let delta = relay::ListDelta {
        base: 12,
        revision: 13,
        written: vec![added],
        ..relay::ListDelta::default()
    };
    delta.apply(&mut sender_view);
    let announced = relay::ViewAnnouncement {
        config_version: 5,
        ..announcement(13, sender_view.fingerprint(), ms(5))
    };

    let applied = tracker.apply_delta(at(5_500), &delta, &announced);
    tracker.expire(at(6_800));

    assert!(applied);
    assert_eq!(listed_servers(&tracker), ["s3"]);
}

/// Returns a core without a view, in a data centre of instances of the given capacities that all
/// have the same view. The numbers of the instances start at 10.
fn core_beside(capacities: &[u32]) -> relay::RelayCore {
    let mut core = common::core_of(1);
    for (number, capacity) in (10..).zip(capacities) {
        let update = relay::InstanceUpdate {
            capacity: *capacity,
            data_centre: relay::data_centre_hash(&"a".into()),
            config_version: 5,
            fingerprint: 77,
            position: relay::ViewPosition::new(0, 10),
            ..common::instance_update(number, 1)
        };
        core.apply_update(at(0), update);
    }
    core
}

#[test]
fn copies_fill_the_links_of_small_instances() {
    let mut core = core_beside(&[1, 500, 2, 400, 1, 1, 2]);
    core.next_view_step(at(10));

    let sources: collections::BTreeSet<_> =
        (0..60).filter_map(|_| core.copy_source(at(10))).collect();

    assert_eq!(
        sources,
        collections::BTreeSet::from([common::instance(11), common::instance(13)])
    );
}

#[test]
fn failed_copy_is_repeated_from_the_same_instance() {
    let mut core = core_beside(&[500, 400, 1]);
    core.next_view_step(at(10));
    let failed = core.copy_source(at(10)).expect("there are sources");

    core.record_copy_failure(at(10), failed);

    let sources: Vec<_> = (0..60).filter_map(|_| core.copy_source(at(20))).collect();
    assert_eq!(sources.len(), 60);
    assert!(!sources.contains(&failed));
}

#[test]
fn list_events_name_each_server_that_comes_drains_or_goes() {
    let mut tracker = tracker_with(&[common::server("s1", "a"), common::server("s2", "b")]);
    let mut draining = common::server("s1", "a");
    draining.leaving = true;

    let first = tracker.take_list_events();
    tracker.apply_read(
        at(500),
        at(490),
        common::view_changes(
            12,
            vec![
                relay::ViewChange::Backend(draining),
                relay::ViewChange::Backend(common::server("s2", "b")),
                relay::ViewChange::Backend(common::server("s3", "b")),
                relay::ViewChange::BackendRemoved("s2".into()),
            ],
        ),
    );

    let events: Vec<(String, String)> = tracker
        .take_list_events()
        .into_iter()
        .map(|event| (event.server.to_string(), event.change.to_string()))
        .collect();
    assert!(first.is_empty());
    let expected = [("s1", "draining"), ("s3", "listed"), ("s2", "removed")];
    assert_eq!(
        events,
        expected.map(|(server, change)| (server.to_owned(), change.to_owned()))
    );
}
