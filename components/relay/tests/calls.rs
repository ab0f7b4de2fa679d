//! The choice of servers for calls.

mod common;

use common::{at, ms};
use relay::BackendOutcome;

#[test]
fn calls_go_to_the_server_with_the_shortest_way_through() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut servers = Vec::new();

    for _ in 0..6 {
        let pick = core
            .select_server(at(0), &common::SHOP.into(), &[])
            .expect("servers are there");
        servers.push(pick.entry.server.to_string());
    }

    for name in ["s1", "s2", "s3"] {
        let count = servers.iter().filter(|server| *server == name).count();
        assert_eq!(count, 2, "{servers:?}");
    }
}

#[test]
fn a_server_that_fails_half_of_its_calls_receives_few() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut received = 0;

    for round in 0..300_u64 {
        let now = at(round * 20);
        let pick = core
            .select_server(now, &common::SHOP.into(), &[])
            .expect("servers are there");
        let bad = pick.entry.server.to_string() == "s1";
        received += u32::from(bad);
        let outcome = if bad && round % 2 == 0 {
            BackendOutcome::Failed
        } else {
            BackendOutcome::Succeeded
        };
        core.record_call_outcome(now + ms(15), pick.key, outcome, ms(15));
    }

    assert!(received < 45, "{received}");
}

#[test]
fn the_least_bad_server_is_tried_when_none_is_well() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let pick = core
        .select_server(at(0), &common::SHOP.into(), &[])
        .expect("it is there");
    core.record_call_outcome(at(1), pick.key, BackendOutcome::Unreachable, ms(1));

    let again = core.select_server(at(2), &common::SHOP.into(), &[]);

    assert!(again.is_ok());
}
