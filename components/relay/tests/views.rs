//! What an instance knows of the platform.

mod common;

use std::time;

use common::{at, ms};

fn known_servers(tracker: &relay::ViewKeeper) -> Vec<String> {
    let backends = &tracker.view().backends;
    backends.keys().map(ToString::to_string).collect()
}

fn keeper_with(entries: &[relay::BackendEntry]) -> relay::ViewKeeper {
    let mut tracker = relay::ViewKeeper::default();
    let config = common::config(5, vec![common::draft_route()]);
    tracker.read(at(0), at(0), common::full_update(10, &config, entries));
    tracker
}

#[test]
fn a_configuration_never_goes_back() {
    let mut tracker = keeper_with(&[]);
    let older = common::config(4, vec![]);

    tracker.read(at(10), at(10), common::full_update(11, &older, &[]));

    assert_eq!(tracker.view().config_version(), 5);
}

#[test]
fn a_copied_view_with_an_older_configuration_does_not_go_back() {
    let mut tracker = keeper_with(&[]);
    let copied = relay::SiteView {
        revision: 99,
        config: Some(common::config(3, vec![])),
        backends: relay::BackendMap::new(),
    };

    tracker.copied(at(100), copied, ms(1));

    assert_eq!(tracker.view().config_version(), 5);
    assert_eq!(tracker.view().revision, 99);
}

#[test]
fn a_removed_server_is_gone_at_once() {
    let mut tracker = keeper_with(&[common::server("s1", "a"), common::server("s2", "b")]);

    tracker.read(
        at(500),
        at(490),
        common::changes(11, vec![relay::ViewChange::BackendRemoved("s1".into())]),
    );

    assert_eq!(known_servers(&tracker), ["s2"]);
}

#[test]
fn servers_that_lapsed_during_an_outage_are_kept_for_a_while_and_then_gone() {
    let entries = [common::server("s1", "a"), common::server("s2", "b")];
    let mut tracker = keeper_with(&entries);
    let config = common::config(5, vec![]);

    tracker.read(at(5_000), at(5_000), common::full_update(12, &config, &[]));

    assert_eq!(known_servers(&tracker), ["s1", "s2"]);
    tracker.read(
        at(6_000),
        at(6_000),
        common::changes(13, vec![relay::ViewChange::Backend(entries[0].clone())]),
    );
    tracker.expire(at(6_800));
    assert_eq!(known_servers(&tracker), ["s1"]);
}

#[test]
fn a_server_that_was_leaving_before_an_outage_is_not_kept() {
    let mut leaving = common::server("s1", "a");
    leaving.leaving = true;
    let mut tracker = keeper_with(&[leaving]);
    let config = common::config(5, vec![]);

    tracker.read(at(5_000), at(5_000), common::full_update(12, &config, &[]));

    assert!(known_servers(&tracker).is_empty());
}

#[test]
fn an_entry_that_is_replaced_by_one_that_is_not_valid_names_no_server() {
    let mut tracker = keeper_with(&[common::server("s1", "a")]);

    tracker.read(
        at(100),
        at(100),
        common::changes(
            12,
            vec![
                relay::ViewChange::Backend(common::server("s1", "a")),
                relay::ViewChange::BackendRemoved("s1".into()),
            ],
        ),
    );

    assert!(known_servers(&tracker).is_empty());
}

#[test]
fn the_first_in_rank_reads_twice_a_second_and_others_when_the_view_grows_old() {
    let tracker = keeper_with(&[]);

    let (first, second) = (tracker.read_at(0), tracker.read_at(1));

    assert_eq!(first, at(500));
    assert!(second > at(900) && second < at(1_500), "{second:?}");
}

#[test]
fn news_of_the_same_view_keep_it_fresh_and_news_of_a_newer_one_have_it_read() {
    let mut tracker = keeper_with(&[]);

    let same = tracker.apply_update(at(800), 15, tracker.fingerprint(), ms(100));
    let age = tracker.age(at(800));
    let newer = tracker.apply_update(at(900), 16, tracker.fingerprint() ^ 1, ms(50));

    assert!(!same && newer);
    assert_eq!(age, Some(ms(100)));
    assert!(tracker.read_at(3) <= at(900));
}

#[test]
fn news_of_a_view_that_is_older_are_not_followed() {
    let mut tracker = keeper_with(&[]);

    let behind = tracker.apply_update(at(100), 9, tracker.fingerprint() ^ 1, ms(5_000));

    assert!(!behind);
}

#[test]
fn a_failed_read_is_not_repeated_at_once() {
    let mut tracker = relay::ViewKeeper::default();

    tracker.record_read_failure(at(1_000));

    assert!(tracker.read_at(0) > at(1_200));
}

#[test]
fn the_longest_prefix_of_the_host_is_the_route() {
    let mut wide = common::order_route();
    wide.prefix = "/".to_owned();
    let config = common::config(1, vec![wide, common::draft_route(), common::order_route()]);

    let name = |host, path| config.route(host, path).map(|route| route.name.clone());

    assert_eq!(name("SITE.example", "/draft/x"), Some("draft".to_owned()));
    assert_eq!(name("site.example", "/drafts"), Some("order".to_owned()));
    assert_eq!(name("other.example", "/draft/x"), None);
}

#[test]
fn a_split_route_sends_each_service_its_share() {
    let mut route = common::draft_route();
    route.shares = vec![common::share("x", 90), common::share("y", 10)];

    let of = |draw| route.service_for(draw).map(ToString::to_string);

    assert_eq!(of(0.0), Some("x".to_owned()));
    assert_eq!(of(0.899), Some("x".to_owned()));
    assert_eq!(of(0.901), Some("y".to_owned()));
}

#[test]
fn an_instance_without_a_configuration_is_not_ready_and_names_no_route() {
    let mut core = common::empty_core();

    let found = core.route(at(0), "site.example", "/draft/x");

    assert!(!core.is_ready());
    assert!(matches!(found, relay::RouteMatch::NoConfig));
}

#[test]
fn an_instance_that_leaves_is_not_ready() {
    let mut core = common::core_with(&[]);
    assert!(core.is_ready());

    core.start_draining();

    assert!(!core.is_ready());
}

#[test]
fn equal_views_have_equal_fingerprints_whatever_the_revision() {
    let entries = [common::server("s1", "a")];
    let mut one = keeper_with(&entries);
    let two = keeper_with(&entries);

    one.read(at(1), at(1), common::changes(77, vec![]));

    assert_eq!(one.fingerprint(), two.fingerprint());
}

#[test]
fn a_view_grows_old_while_instances_only_tell_each_other_of_it() {
    let config = common::config(1, vec![common::draft_route()]);
    let mut cores: Vec<_> = (1..=3).map(common::core_of).collect();
    for core in &mut cores {
        core.apply_store_read(at(0), at(0), common::full_update(10, &config, &[]));
    }

    // Each news takes 5 ms, and leads to news of the one that hears it.
    for hop in 0..400_usize {
        let now = at(5 * hop as u64);
        let news = cores[hop % 3].news(now);
        for listener in [(hop + 1) % 3, (hop + 2) % 3] {
            cores[listener].apply_update(now + ms(5), news.clone());
        }
    }

    for core in &cores {
        let age = core.tracker().age(at(2_000)).expect("a view is known");
        assert!(age >= ms(1_950), "{age:?}");
        assert!(core.next_read(at(2_000)) <= at(2_000));
    }
}

#[test]
fn a_newer_revision_is_followed_whoever_tells_of_it() {
    let mut tracker = keeper_with(&[]);

    let behind = tracker.apply_update(at(100), 11, tracker.fingerprint() ^ 1, time::Duration::MAX);

    assert!(behind);
}
