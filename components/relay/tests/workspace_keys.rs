//! Admission of requests by their keys, while configurations spread and instances restart.

mod common;

use std::sync;

use common::{at, ms};

/// Time at which the cores of these tests have run for long.
const LATER: u64 = 10_000;

fn rule(name: &str, keys: &[&str]) -> workspace::WorkspaceRule {
    workspace::WorkspaceRule {
        name: name.into(),
        priority: Some(0),
        keys: keys
            .iter()
            .map(|key| workspace::KeyDigest::of(key.as_bytes()))
            .collect(),
        limit: None,
    }
}

/// Returns a configuration in which workspace `one` has `keys`.
fn config(version: u64, keys: &[&str]) -> sync::Arc<relay::SiteConfig> {
    let mut config = common::config(version, vec![common::draft_route(), open_route()]);
    let rules = vec![rule("one", keys), rule("none", &[])];
    sync::Arc::make_mut(&mut config).workspaces = sync::Arc::new(rules.into());
    config
}

/// Returns a route that takes requests without keys.
fn open_route() -> relay::RouteRule {
    relay::RouteRule {
        anonymous: true,
        ..common::order_route()
    }
}

fn key(text: &str) -> workspace::PresentedKey {
    workspace::PresentedKey::Present(workspace::KeyDigest::of(text.as_bytes()))
}

/// Returns a core that read a configuration at `read_at`.
fn core_at(read_at: u64, config: &sync::Arc<relay::SiteConfig>) -> relay::RelayCore {
    let mut core = common::empty_core();
    let update = common::full_view_update(10, config, &[]);
    core.apply_store_read(at(read_at), at(read_at), update);
    core
}

/// Returns the state update of another instance that has a version of the configuration.
fn announcing(number: u8, sequence: u64, version: u64) -> relay::InstanceUpdate {
    relay::InstanceUpdate {
        config_version: version,
        fingerprint: 77,
        position: relay::ViewPosition::new(0, 11),
        ..common::instance_update(number, sequence)
    }
}

/// Returns the view of another instance that has `config`.
fn view_of(config: &sync::Arc<relay::SiteConfig>) -> relay::SiteView {
    relay::SiteView {
        position: relay::ViewPosition::new(0, 11),
        config: Some(sync::Arc::clone(config)),
        ..relay::SiteView::default()
    }
}

/// Returns a view as an instance of the release before workspaces passes it on.
fn view_without_workspaces(config: &sync::Arc<relay::SiteConfig>) -> relay::SiteView {
    let mut view = serde_json::to_value(view_of(config)).expect("a view is JSON");
    let fields = view["config"].as_object_mut().expect("fields are listed");
    fields.remove("workspaces").expect("the field is sent");
    serde_json::from_value(view).expect("the view is accepted")
}

/// Returns the outcome of a request on the route `draft`: the workspace, or the refusal.
fn draft(core: &mut relay::RelayCore, now: u64, key: workspace::PresentedKey) -> String {
    outcome(core, now, "/draft/x", key)
}

fn outcome(
    core: &mut relay::RelayCore,
    now: u64,
    path: &str,
    key: workspace::PresentedKey,
) -> String {
    match core.route(at(now), "site.example", path, key) {
        relay::RouteMatch::Found { admission, .. } => admission
            .workspace()
            .map_or(format!("{admission:?}"), |rule| rule.name.to_string()),
        relay::RouteMatch::KeyRefused { refusal, .. } => refusal.to_string(),
        other => format!("{other:?}"),
    }
}

fn requests_counted(core: &mut relay::RelayCore, now: u64) -> u32 {
    let counts = core.full_update(at(now)).retries;
    counts.iter().map(|(_, count)| count.requests).sum()
}

#[test]
fn admits_the_keys_of_workspaces_alone() {
    let mut core = core_at(LATER, &config(1, &["k1"]));

    assert_eq!(draft(&mut core, LATER, key("k1")), "one");
    assert_eq!(draft(&mut core, LATER, key("k2")), "unknown_key");
    let absent = workspace::PresentedKey::Absent;
    assert_eq!(draft(&mut core, LATER, absent), "unknown_key");
    let malformed = workspace::PresentedKey::Malformed;
    assert_eq!(draft(&mut core, LATER, malformed), "unknown_key");
    assert_eq!(requests_counted(&mut core, LATER), 1);
}

#[test]
fn admits_requests_without_a_key_on_an_anonymous_route() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    let mut order = |key| outcome(&mut core, LATER, "/order/x", key);

    assert_eq!(order(workspace::PresentedKey::Absent), "Anonymous");
    assert_eq!(order(key("k1")), "one");
    assert_eq!(order(key("k2")), "unknown_key");
}

#[test]
fn needs_no_keys_without_workspaces() {
    let mut core = core_at(LATER, &common::config(1, vec![common::draft_route()]));

    for key in [workspace::PresentedKey::Absent, key("k1")] {
        assert_eq!(draft(&mut core, LATER, key), "NotNeeded");
    }
}

#[test]
fn refuses_for_good_only_by_a_fresh_view() {
    let mut core = core_at(LATER, &config(1, &["k1"]));

    assert_eq!(draft(&mut core, LATER + 1_500, key("k2")), "unknown_key");
    assert_eq!(draft(&mut core, LATER + 1_501, key("k2")), "keys_not_known");
    assert_eq!(draft(&mut core, LATER + 60_000, key("k1")), "one");
}

#[test]
fn refuses_nobody_for_good_while_another_instance_has_a_newer_configuration() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    core.apply_update(at(LATER), announcing(2, 1, 2));

    assert_eq!(draft(&mut core, LATER, key("k2")), "keys_not_known");
    core.apply_peer_view(at(LATER + 50), view_of(&config(2, &["k1", "k2"])), ms(1));
    assert_eq!(draft(&mut core, LATER + 50, key("k2")), "one");
}

#[test]
fn stops_admitting_by_an_outdated_configuration() {
    let mut core = core_at(LATER, &config(1, &["k1"]));

    core.apply_update(at(LATER), announcing(2, 1, 2));

    assert_eq!(draft(&mut core, LATER + 1_999, key("k1")), "one");
    assert_eq!(draft(&mut core, LATER + 2_000, key("k1")), "keys_not_known");
}

#[test]
fn process_that_was_paused_stops_admitting_once_it_hears_of_a_newer_configuration() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    let woken = LATER + 20_000;

    core.apply_update(at(woken), announcing(2, 1, 2));

    assert_eq!(draft(&mut core, woken, key("k1")), "keys_not_known");
    let newer = view_of(&config(2, &["k1"]));
    core.apply_peer_view(at(woken + 50), newer, ms(1));
    assert_eq!(draft(&mut core, woken + 50, key("k1")), "one");
}

#[test]
fn goes_on_admitting_while_configurations_follow_each_other() {
    let mut core = core_at(LATER, &config(1, &["k1"]));

    for version in 2..40 {
        let now = LATER + version * 200;
        core.apply_update(at(now), announcing(2, version, version + 1));
        core.apply_update(at(now), announcing(3, version, version + 2));
        assert_eq!(draft(&mut core, now + 100, key("k1")), "one");
        let copied = view_of(&config(version, &["k1"]));
        core.apply_peer_view(at(now + 150), copied, ms(1));
    }
}

#[test]
fn never_admits_a_withdrawn_key_again() {
    let mut core = core_at(LATER, &config(2, &["k2"]));
    let older = config(1, &["k1"]);

    core.apply_peer_view(at(LATER + 10), view_of(&older), ms(1));
    let restored = relay::ViewUpdate {
        era: Some(1),
        ..common::full_view_update(5, &older, &[])
    };
    core.apply_store_read(at(LATER + 20), at(LATER + 20), restored);
    core.apply_peer_view(
        at(LATER + 30),
        view_without_workspaces(&config(3, &[])),
        ms(1),
    );

    assert_eq!(draft(&mut core, LATER + 40, key("k1")), "unknown_key");
    assert_eq!(draft(&mut core, LATER + 40, key("k2")), "one");
}

#[test]
fn key_moves_between_workspaces() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    let mut moved = config(2, &[]);
    let rules = vec![rule("one", &[]), rule("two", &["k1"])];
    sync::Arc::make_mut(&mut moved).workspaces = sync::Arc::new(rules.into());

    core.apply_peer_view(at(LATER + 10), view_of(&moved), ms(1));

    assert_eq!(draft(&mut core, LATER + 10, key("k1")), "two");
}

#[test]
fn restarted_process_admits_nobody_by_a_restored_store_while_others_have_a_newer_configuration() {
    let mut core = core_at(5, &config(1, &["k1"]));

    core.apply_update(at(10), announcing(2, 1, 2));

    assert_eq!(draft(&mut core, 11, key("k1")), "keys_not_known");
    assert_eq!(draft(&mut core, 2_900, key("k1")), "keys_not_known");
    core.apply_peer_view(at(2_900), view_of(&config(2, &["k2"])), ms(1));
    assert_eq!(draft(&mut core, 2_900, key("k1")), "keys_not_known");
    assert_eq!(draft(&mut core, 2_900, key("k2")), "one");
}

#[test]
fn restarted_process_waits_for_the_first_word_of_another_instance() {
    let settings = relay::CoreSettings::builder()
        .address(common::instance(1))
        .incarnation(1)
        .data_centre("a".into())
        .seeds(vec![common::instance(1), common::instance(2)])
        .retry_bound(common::bound())
        .build();
    let mut core = relay::RelayCore::new(settings);
    let update = common::full_view_update(10, &config(1, &["k1"]), &[]);
    core.apply_store_read(at(5), at(5), update);

    assert_eq!(draft(&mut core, 299, key("k1")), "keys_not_known");
    assert_eq!(draft(&mut core, 300, key("k1")), "one");
}

#[test]
fn view_of_an_earlier_release_opens_the_site_to_nobody() {
    let mut core = common::empty_core();

    core.apply_update(at(5), announcing(2, 1, 1));
    core.apply_peer_view(at(10), view_without_workspaces(&config(1, &["k1"])), ms(1));

    assert!(!core.is_ready());
    assert_eq!(
        draft(&mut core, 20, workspace::PresentedKey::Absent),
        "NoConfig"
    );
    assert_eq!(core.next_view_step(at(20)).1, relay::ViewStep::Read);
    let read = common::full_view_update(11, &config(1, &["k1"]), &[]);
    core.apply_store_read(at(30), at(25), read);
    assert_eq!(draft(&mut core, 30, key("k1")), "one");
}

#[test]
fn view_of_an_earlier_release_makes_an_instance_read_the_store_at_most_once_a_second() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    core.apply_update(at(LATER), announcing(2, 1, 2));

    core.apply_peer_view(
        at(LATER + 50),
        view_without_workspaces(&config(2, &[])),
        ms(1),
    );

    assert_eq!(draft(&mut core, LATER + 60, key("k1")), "one");
    let (due, step) = core.next_view_step(at(LATER + 60));
    assert_eq!(step, relay::ViewStep::Read);
    assert!(due <= at(LATER + 1_000), "{due:?}");
    assert_eq!(core.tracker().read_base(), None);
}

#[test]
fn site_without_workspaces_takes_the_view_of_an_earlier_release() {
    let settings = relay::CoreSettings::builder()
        .address(common::instance(1))
        .incarnation(1)
        .data_centre("a".into())
        .may_have_workspaces(false)
        .retry_bound(common::bound())
        .build();
    let mut core = relay::RelayCore::new(settings);

    core.apply_peer_view(at(10), view_without_workspaces(&config(1, &["k1"])), ms(1));

    assert!(core.is_ready());
    let absent = workspace::PresentedKey::Absent;
    assert_eq!(draft(&mut core, 20, absent), "NotNeeded");
}

#[test]
fn version_that_nobody_has_any_more_stops_counting_once_the_store_is_read() {
    let mut core = core_at(LATER, &config(1, &["k1"]));
    core.apply_update(at(LATER), announcing(2, 1, 2));
    let much_later = LATER + 20_000;

    assert_eq!(draft(&mut core, much_later, key("k1")), "keys_not_known");
    let read = common::full_view_update(12, &config(1, &["k1"]), &[]);
    core.apply_store_read(at(much_later), at(much_later), read);

    assert_eq!(draft(&mut core, much_later, key("k1")), "one");
}

#[test]
fn workspace_counts_as_the_caller_of_a_request_that_comes_again() {
    let identity = |caller: u8| {
        let parts = relay::RequestParts::builder()
            .method("POST")
            .host("site.example")
            .target("/draft/x")
            .caller(std::net::Ipv4Addr::new(10, 0, 0, caller).into())
            .body(b"body")
            .build();
        relay::RequestIdentity::new(&parts)
    };

    let (one, two) = ("one".into(), "two".into());

    assert_ne!(identity(1), identity(2));
    assert_eq!(
        identity(1).of_workspace(&one),
        identity(2).of_workspace(&one)
    );
    assert_ne!(
        identity(1).of_workspace(&one),
        identity(1).of_workspace(&two)
    );
}
