//! Selection of servers for calls.

mod common;

use common::{at, ms};

#[test]
fn selects_server_with_fewest_running_calls() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut servers = Vec::new();

    for _ in 0..6 {
        let selection = core
            .select_server(at(0), &common::PLAIN_SERVICE.into(), &[])
            .expect("a server accepts work");
        servers.push(selection.entry.server.to_string());
    }

    for name in ["s1", "s2", "s3"] {
        let count = servers.iter().filter(|server| *server == name).count();
        assert_eq!(count, 2, "{servers:?}");
    }
}

#[test]
fn server_that_fails_half_of_its_calls_receives_few() {
    let mut core = common::core_with(&[
        common::server("s1", "a"),
        common::server("s2", "b"),
        common::server("s3", "c"),
    ]);
    let mut received = 0;

    for round in 0..300_u64 {
        let now = at(round * 20);
        let selection = core
            .select_server(now, &common::PLAIN_SERVICE.into(), &[])
            .expect("a server accepts work");
        let is_failing = selection.entry.server.to_string() == "s1";
        received += u32::from(is_failing);
        let outcome = if is_failing && round % 2 == 0 {
            relay::BackendOutcome::Failed
        } else {
            relay::BackendOutcome::Succeeded
        };
        core.record_call_outcome(now + ms(15), selection.key, outcome, ms(15));
    }

    assert!(received < 45, "{received}");
}

#[test]
fn tries_ejected_server_when_no_other_is_left() {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let selection = core
        .select_server(at(0), &common::PLAIN_SERVICE.into(), &[])
        .expect("the server accepts work");
    core.record_call_outcome(
        at(1),
        selection.key,
        relay::BackendOutcome::Unreachable,
        ms(1),
    );

    let again = core.select_server(at(2), &common::PLAIN_SERVICE.into(), &[]);

    assert!(again.is_ok());
}
