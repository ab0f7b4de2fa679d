//! Servers that several instances find unreachable.
//!
//! After the crash of many engines, each instance of a large fleet would otherwise have to fail at
//! each of them itself.

mod common;

use common::{at, ms};

const SHOP: &str = common::PLAIN_SERVICE;

fn core_in(number: u8, data_centre: &str) -> relay::RelayCore {
    let settings = relay::CoreSettings::builder()
        .address(common::instance(number))
        .incarnation(1_000 + u64::from(number))
        .data_centre(data_centre.into())
        .retry_bound(common::bound())
        .seed(7)
        .build();
    let mut core = relay::RelayCore::new(settings);
    let config = common::config(1, vec![common::order_route()]);
    let servers = [common::server("s1", "a"), common::server("s2", "b")];
    let view = common::full_view_update(10, &config, &servers);
    core.apply_store_read(at(0), at(0), view);
    core
}

/// Makes an instance fail to connect to a server.
fn fail_to_connect(core: &mut relay::RelayCore, now: clock::Timestamp, server: &str) {
    let avoided: Vec<relay::BackendKey> = core
        .backends()
        .table()
        .iter()
        .filter(|(_, backend)| backend.entry.server.as_str() != server)
        .map(|(key, _)| key)
        .collect();
    let selection = core
        .select_server(now, &SHOP.into(), &avoided)
        .expect("the server is listed");
    core.record_call_outcome(
        now,
        selection.key,
        relay::BackendOutcome::Unreachable,
        ms(3),
    );
}

fn accepts_work(core: &mut relay::RelayCore, now: clock::Timestamp, server: &str) -> bool {
    core.refresh_usage(now);
    let mut backends = core.backends().table().values();
    let found = backends.find(|backend| backend.entry.server.as_str() == server);
    found.is_some_and(|backend| backend.accepts_work(now))
}

#[test]
fn server_that_two_data_centres_cannot_reach_is_avoided_by_all() {
    let [mut first, mut second, mut third] =
        [(1, "a"), (2, "b"), (3, "c")].map(|(number, data_centre)| core_in(number, data_centre));

    fail_to_connect(&mut first, at(100), "s1");
    third.apply_update(at(105), first.full_update(at(104)));
    let after_one = accepts_work(&mut third, at(106), "s1");
    fail_to_connect(&mut second, at(110), "s1");
    third.apply_update(at(115), second.full_update(at(114)));
    let after_two = accepts_work(&mut third, at(116), "s1");

    assert!(after_one && !after_two);
    assert!(accepts_work(&mut third, at(116), "s2"));
}

#[test]
fn server_that_one_data_centre_cannot_reach_is_not_avoided_by_the_others() {
    let mut observer = core_in(9, "c");
    observer.apply_update(at(90), core_in(8, "b").full_update(at(90)));
    for number in 1..=5 {
        let mut core = core_in(number, "a");
        fail_to_connect(&mut core, at(100), "s1");

        observer.apply_update(at(105), core.full_update(at(104)));
    }

    assert!(accepts_work(&mut observer, at(110), "s1"));
}

#[test]
fn avoided_server_is_tried_again_once_the_reports_end() {
    let mut observer = core_in(3, "c");
    let mut reporters = [(1, "a"), (2, "b")].map(|(number, centre)| core_in(number, centre));
    for core in &mut reporters {
        fail_to_connect(core, at(100), "s1");
        observer.apply_update(at(105), core.full_update(at(104)));
    }
    let during = accepts_work(&mut observer, at(900), "s1");

    for core in &mut reporters {
        observer.apply_update(at(4_200), core.full_update(at(4_200)));
    }

    assert!(!during && accepts_work(&mut observer, at(4_201), "s1"));
}

#[test]
fn restarted_server_is_not_avoided() {
    let mut observer = core_in(3, "c");
    for (number, data_centre) in [(1, "a"), (2, "b")] {
        let mut core = core_in(number, data_centre);
        fail_to_connect(&mut core, at(100), "s1");
        observer.apply_update(at(105), core.full_update(at(104)));
    }
    let mut restarted = common::server("s1", "a");
    restarted.born_millis += 1;
    let change = relay::ViewChange::Backend(restarted);

    observer.apply_store_read(at(300), at(300), common::view_changes(12, vec![change]));

    assert!(accepts_work(&mut observer, at(301), "s1"));
}
