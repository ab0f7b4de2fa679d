//! Routing of calls by one call manager: server selection, retries, limits, queue and refusals.

use std::time;

use call::{AttemptResult, CallFailure, Input};
use common::{
    attempts, failures, handle_input, idempotent_call, manager, non_idempotent_call, server,
};

mod common;

fn draining(name: &str) -> note::ServerEntry {
    note::ServerEntry {
        leaving: true,
        ..server(name)
    }
}

fn attempt_ended(request: u128, attempt: u32, result: AttemptResult) -> Input {
    Input::AttemptEnded(ids::RequestId(request), ids::AttemptNumber(attempt), result)
}

fn single_server(concurrency: u32) -> note::ServerEntry {
    note::ServerEntry {
        concurrency,
        ..server("s1")
    }
}

#[test]
fn a_draining_server_receives_no_new_call() {
    let mut manager = manager([draining("s1"), server("s2")]);

    let outputs: Vec<_> = (0..50)
        .flat_map(|request| handle_input(&mut manager, 1, Input::Arrived(idempotent_call(request))))
        .collect();

    let servers = attempts(&outputs).into_iter().map(|(_, _, server)| server);
    assert!(servers.clone().all(|server| server == "s2"));
    assert_eq!(servers.count(), 50);
}

#[test]
fn a_queued_call_is_refused_when_its_only_server_starts_to_drain() {
    let mut manager = manager([single_server(1)]);
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(2)));

    let state = common::state([draining("s1")]);
    let outputs = handle_input(&mut manager, 2, Input::State(state));
    let later = handle_input(
        &mut manager,
        3,
        attempt_ended(1, 0, AttemptResult::Replied(200)),
    );

    let [(2, border::Outcome::NotRun, CallFailure::NoServer, Some(_))] = failures(&outputs)[..]
    else {
        panic!("the queued call must be refused immediately: {outputs:?}");
    };
    assert_eq!(attempts(&later), []);
}

#[test]
fn calls_are_held_while_the_view_is_stale() {
    let mut manager = manager([server("s1")]);
    let mut stale = common::view(1, [1]);
    stale.fresh = false;
    handle_input(&mut manager, 1, Input::View(stale.into()));

    let before = handle_input(&mut manager, 2, Input::Arrived(idempotent_call(1)));
    let after = handle_input(&mut manager, 3, Input::View(common::view(1, [1]).into()));

    assert_eq!(attempts(&before), []);
    assert_eq!(attempts(&after), [(1, 0, "s1".to_owned())]);
}

#[test]
fn an_idempotent_call_is_retried_on_another_server_after_a_lost_attempt() {
    let mut manager = manager([server("s1"), server("s2")]);
    let first = attempts(&handle_input(
        &mut manager,
        1,
        Input::Arrived(idempotent_call(1)),
    ));

    let second = attempts(&handle_input(
        &mut manager,
        5,
        attempt_ended(1, 0, common::lost()),
    ));

    assert_eq!(second.len(), 1);
    assert_eq!(second[0].1, 1);
    assert_ne!(second[0].2, first[0].2);
}

#[test]
fn a_lost_non_idempotent_call_is_not_retried_and_ends_as_unknown() {
    let mut manager = manager([server("s1"), server("s2")]);
    handle_input(&mut manager, 1, Input::Arrived(non_idempotent_call(1)));

    let outputs = handle_input(&mut manager, 5, attempt_ended(1, 0, common::lost()));

    assert_eq!(attempts(&outputs), []);
    let [(1, border::Outcome::Unknown, CallFailure::ServerLost, _)] = failures(&outputs)[..] else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_non_idempotent_call_that_provably_was_not_sent_is_retried() {
    let mut manager = manager([server("s1"), server("s2")]);
    handle_input(&mut manager, 1, Input::Arrived(non_idempotent_call(1)));

    let outputs = handle_input(&mut manager, 5, attempt_ended(1, 0, common::not_sent()));

    assert_eq!(attempts(&outputs).len(), 1);
}

#[test]
fn a_call_ends_as_unknown_unless_every_attempt_proves_that_it_did_not_run() {
    let mut manager = manager([server("s1")]);
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 2, attempt_ended(1, 0, common::lost()));
    handle_input(&mut manager, 3, attempt_ended(1, 1, common::not_sent()));
    handle_input(&mut manager, 4, attempt_ended(1, 2, common::not_sent()));

    let outputs = handle_input(&mut manager, 5, attempt_ended(1, 3, common::not_sent()));

    let [(1, border::Outcome::Unknown, CallFailure::ServerLost, _)] = failures(&outputs)[..] else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_late_or_duplicate_result_of_an_earlier_attempt_is_ignored() {
    let mut manager = manager([server("s1"), server("s2")]);
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 2, attempt_ended(1, 0, common::lost()));

    let late = handle_input(
        &mut manager,
        3,
        attempt_ended(1, 0, AttemptResult::Replied(200)),
    );
    let current = handle_input(
        &mut manager,
        4,
        attempt_ended(1, 1, AttemptResult::Replied(200)),
    );
    let again = handle_input(
        &mut manager,
        5,
        attempt_ended(1, 1, AttemptResult::Replied(200)),
    );

    assert!(late.is_empty());
    assert_eq!(current.len(), 1);
    assert!(again.is_empty());
}

#[test]
fn a_call_queued_for_half_its_time_ends_as_not_run() {
    let mut manager = manager([single_server(1)]);
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 1, Input::Arrived(non_idempotent_call(2)));

    let wake = manager.next_wake();
    let outputs = handle_input(&mut manager, 1_001, Input::Wake);

    assert_eq!(wake, clock::Timestamp::from_millis(1_001));
    let [(2, border::Outcome::NotRun, CallFailure::DeadlinePassed, Some(_))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_sent_call_ends_as_unknown_at_its_deadline() {
    let mut manager = manager([server("s1")]);
    handle_input(&mut manager, 1, Input::Arrived(idempotent_call(1)));

    let wake = manager.next_wake();
    let outputs = handle_input(&mut manager, 2_001, Input::Wake);

    assert_eq!(wake, clock::Timestamp::from_millis(2_001));
    let [(1, border::Outcome::Unknown, CallFailure::DeadlinePassed, Some(_))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
    assert_eq!(manager.in_flight(), 0);
}

#[test]
fn a_call_that_would_wait_too_long_in_the_queue_is_refused_on_arrival() {
    let mut manager = manager([single_server(1)]);
    for request in 0..40 {
        handle_input(&mut manager, 0, Input::Arrived(idempotent_call(request)));
    }
    handle_input(
        &mut manager,
        900,
        attempt_ended(0, 0, AttemptResult::Replied(200)),
    );

    let short = common::idempotent_call(100);
    let short = call::CallSpec {
        time_left: time::Duration::from_millis(50),
        ..short
    };
    let outputs = handle_input(&mut manager, 901, Input::Arrived(short));

    let [(100, border::Outcome::NotRun, CallFailure::QueueFull, Some(after))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
    assert!(after >= time::Duration::from_secs(1));
}

#[test]
fn a_full_queue_drops_calls_of_the_workspace_with_the_most_queued_calls() {
    let config = call::CallConfig::builder()
        .own(ids::InstanceId(1))
        .seed(1)
        .queue_limit(10)
        .build();
    let mut manager = call::CallManager::with_config(config);
    handle_input(
        &mut manager,
        0,
        Input::State(common::state([single_server(1)])),
    );
    for request in 0..11 {
        handle_input(&mut manager, 0, Input::Arrived(idempotent_call(request)));
    }
    let other = call::CallSpec {
        workspace: "addis".into(),
        ..idempotent_call(100)
    };

    let outputs = handle_input(&mut manager, 0, Input::Arrived(other));
    let next = handle_input(
        &mut manager,
        1,
        attempt_ended(0, 0, AttemptResult::Replied(200)),
    );
    let second = handle_input(
        &mut manager,
        2,
        attempt_ended(1, 0, AttemptResult::Replied(200)),
    );

    assert_eq!(failures(&outputs)[0].0, 10);
    assert_eq!(attempts(&next)[0].0, 1);
    assert_eq!(attempts(&second)[0].0, 100);
}

#[test]
fn a_call_of_higher_priority_is_sent_first() {
    let mut manager = manager([single_server(1)]);
    handle_input(&mut manager, 0, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 0, Input::Arrived(idempotent_call(2)));
    let urgent = call::CallSpec {
        priority: 5,
        ..idempotent_call(3)
    };
    handle_input(&mut manager, 0, Input::Arrived(urgent));

    let outputs = handle_input(
        &mut manager,
        1,
        attempt_ended(1, 0, AttemptResult::Replied(200)),
    );

    assert_eq!(attempts(&outputs)[0].0, 3);
}

#[test]
fn a_queued_call_is_removed_when_its_caller_disconnects() {
    let mut manager = manager([single_server(1)]);
    handle_input(&mut manager, 0, Input::Arrived(idempotent_call(1)));
    handle_input(&mut manager, 0, Input::Arrived(non_idempotent_call(2)));

    handle_input(&mut manager, 1, Input::CallerGone(ids::RequestId(2)));
    let outputs = handle_input(
        &mut manager,
        2,
        attempt_ended(1, 0, AttemptResult::Replied(200)),
    );

    assert_eq!(attempts(&outputs), []);
    assert_eq!(manager.in_flight(), 0);
}

#[test]
fn a_failing_server_is_ejected_and_readmitted_gradually() {
    let mut manager = manager([server("s1"), server("s2")]);
    let calls_to_first =
        |manager: &mut call::CallManager, from: u128, millis: u64, succeeds: bool| {
            let mut to_first = 0;
            for request in from..from + 40 {
                let outputs = handle_input(
                    manager,
                    millis,
                    Input::Arrived(non_idempotent_call(request)),
                );
                let (_, _, server) = attempts(&outputs)[0].clone();
                to_first += usize::from(server == "s1");
                let result = if succeeds || server == "s2" {
                    AttemptResult::Replied(200)
                } else {
                    common::lost()
                };
                handle_input(manager, millis, attempt_ended(request, 0, result));
            }
            to_first
        };

    let failing = calls_to_first(&mut manager, 0, 1, false);
    let ejected = calls_to_first(&mut manager, 100, 500, true);
    let readmitted = calls_to_first(&mut manager, 200, 20_000, true);

    assert_eq!(failing, 5);
    assert_eq!(ejected, 0);
    assert!(readmitted > 5);
}

#[test]
fn a_server_that_is_slow_without_load_is_ejected() {
    let mut manager = manager([server("s1"), server("s2"), server("s3")]);
    let mut sent = Vec::new();
    for request in 0..2_000 {
        let start = u64::try_from(request).expect("the request number must fit in u64") * 500;
        let outputs = handle_input(
            &mut manager,
            start,
            Input::Arrived(idempotent_call(request)),
        );
        let (_, _, server) = attempts(&outputs)[0].clone();
        let latency = if server == "s1" { 400 } else { 20 };
        sent.push(server);
        let end = attempt_ended(request, 0, AttemptResult::Replied(200));
        handle_input(&mut manager, start + latency, end);
    }

    let slow = sent.iter().filter(|server| *server == "s1").count();

    assert!(slow < 400, "{slow} of 2,000 calls went to the slow server");
}
