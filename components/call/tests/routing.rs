//! Routing of calls by one keeper: servers, retries, limits, queue and refusals.

use std::time;

use call::{AttemptResult, CallFailure, Input};
use common::{attempts, failures, give, keeper, lookup, order, server};

mod common;

fn leaving(name: &str) -> note::ServerEntry {
    note::ServerEntry {
        leaving: true,
        ..server(name)
    }
}

fn ended(request: u128, attempt: u32, result: AttemptResult) -> Input {
    Input::AttemptEnded(ids::RequestId(request), ids::AttemptNumber(attempt), result)
}

fn single(concurrency: u32) -> note::ServerEntry {
    note::ServerEntry {
        concurrency,
        ..server("s1")
    }
}

#[test]
fn a_leaving_server_gets_no_new_call() {
    let mut keeper = keeper([leaving("s1"), server("s2")]);

    let outputs: Vec<_> = (0..50)
        .flat_map(|request| give(&mut keeper, 1, Input::Arrived(lookup(request))))
        .collect();

    let servers = attempts(&outputs).into_iter().map(|(_, _, server)| server);
    assert!(servers.clone().all(|server| server == "s2"));
    assert_eq!(servers.count(), 50);
}

#[test]
fn a_call_that_was_queued_before_its_server_left_does_not_go_there() {
    let mut keeper = keeper([single(1)]);
    give(&mut keeper, 1, Input::Arrived(lookup(1)));
    give(&mut keeper, 1, Input::Arrived(lookup(2)));

    let left = common::state([leaving("s1")]);
    let outputs = give(&mut keeper, 2, Input::State(left));
    let later = give(&mut keeper, 3, ended(1, 0, AttemptResult::Replied(200)));

    let [(2, border::Outcome::NotRun, CallFailure::NoServer, Some(_))] = failures(&outputs)[..]
    else {
        panic!("the queued call must be refused at once: {outputs:?}");
    };
    assert_eq!(attempts(&later), []);
}

#[test]
fn calls_wait_while_the_view_is_too_old_to_act_on() {
    let mut keeper = keeper([server("s1")]);
    let mut stale = common::view(1, [1]);
    stale.fresh = false;
    give(&mut keeper, 1, Input::View(stale.into()));

    let before = give(&mut keeper, 2, Input::Arrived(lookup(1)));
    let after = give(&mut keeper, 3, Input::View(common::view(1, [1]).into()));

    assert_eq!(attempts(&before), []);
    assert_eq!(attempts(&after), [(1, 0, "s1".to_owned())]);
}

#[test]
fn an_idempotent_call_is_sent_again_to_another_server_after_a_loss() {
    let mut keeper = keeper([server("s1"), server("s2")]);
    let first = attempts(&give(&mut keeper, 1, Input::Arrived(lookup(1))));

    let second = attempts(&give(&mut keeper, 5, ended(1, 0, common::lost())));

    assert_eq!(second.len(), 1);
    assert_eq!(second[0].1, 1);
    assert_ne!(second[0].2, first[0].2);
}

#[test]
fn a_lost_non_idempotent_call_is_not_sent_again_and_ends_as_unknown() {
    let mut keeper = keeper([server("s1"), server("s2")]);
    give(&mut keeper, 1, Input::Arrived(order(1)));

    let outputs = give(&mut keeper, 5, ended(1, 0, common::lost()));

    assert_eq!(attempts(&outputs), []);
    let [(1, border::Outcome::Unknown, CallFailure::ServerLost, _)] = failures(&outputs)[..] else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_non_idempotent_call_that_provably_did_not_leave_is_sent_again() {
    let mut keeper = keeper([server("s1"), server("s2")]);
    give(&mut keeper, 1, Input::Arrived(order(1)));

    let outputs = give(&mut keeper, 5, ended(1, 0, common::not_sent()));

    assert_eq!(attempts(&outputs).len(), 1);
}

#[test]
fn a_call_is_not_run_only_when_every_attempt_proves_it() {
    let mut keeper = keeper([server("s1")]);
    give(&mut keeper, 1, Input::Arrived(lookup(1)));
    give(&mut keeper, 2, ended(1, 0, common::lost()));
    give(&mut keeper, 3, ended(1, 1, common::not_sent()));
    give(&mut keeper, 4, ended(1, 2, common::not_sent()));

    let outputs = give(&mut keeper, 5, ended(1, 3, common::not_sent()));

    let [(1, border::Outcome::Unknown, CallFailure::ServerLost, _)] = failures(&outputs)[..] else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_late_or_repeated_end_of_an_earlier_attempt_is_dropped() {
    let mut keeper = keeper([server("s1"), server("s2")]);
    give(&mut keeper, 1, Input::Arrived(lookup(1)));
    give(&mut keeper, 2, ended(1, 0, common::lost()));

    let late = give(&mut keeper, 3, ended(1, 0, AttemptResult::Replied(200)));
    let current = give(&mut keeper, 4, ended(1, 1, AttemptResult::Replied(200)));
    let again = give(&mut keeper, 5, ended(1, 1, AttemptResult::Replied(200)));

    assert!(late.is_empty());
    assert_eq!(current.len(), 1);
    assert!(again.is_empty());
}

#[test]
fn a_call_that_has_waited_for_half_its_time_is_told_not_run_at_once() {
    let mut keeper = keeper([single(1)]);
    give(&mut keeper, 1, Input::Arrived(lookup(1)));
    give(&mut keeper, 1, Input::Arrived(order(2)));

    let wake = keeper.next_wake();
    let outputs = give(&mut keeper, 1_001, Input::Wake);

    assert_eq!(wake, clock::Timestamp::from_millis(1_001));
    let [(2, border::Outcome::NotRun, CallFailure::DeadlinePassed, Some(_))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
}

#[test]
fn a_sent_call_is_told_unknown_at_its_deadline() {
    let mut keeper = keeper([server("s1")]);
    give(&mut keeper, 1, Input::Arrived(lookup(1)));

    let wake = keeper.next_wake();
    let outputs = give(&mut keeper, 2_001, Input::Wake);

    assert_eq!(wake, clock::Timestamp::from_millis(2_001));
    let [(1, border::Outcome::Unknown, CallFailure::DeadlinePassed, Some(_))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
    assert_eq!(keeper.in_flight(), 0);
}

#[test]
fn a_call_whose_time_would_pass_in_the_queue_is_refused_on_arrival() {
    let mut keeper = keeper([single(1)]);
    for request in 0..40 {
        give(&mut keeper, 0, Input::Arrived(lookup(request)));
    }
    give(&mut keeper, 900, ended(0, 0, AttemptResult::Replied(200)));

    let late = common::lookup(100);
    let late = call::CallSpec {
        time_left: time::Duration::from_millis(50),
        ..late
    };
    let outputs = give(&mut keeper, 901, Input::Arrived(late));

    let [(100, border::Outcome::NotRun, CallFailure::QueueFull, Some(after))] =
        failures(&outputs)[..]
    else {
        panic!("{outputs:?}");
    };
    assert!(after >= time::Duration::from_secs(1));
}

#[test]
fn a_workspace_that_floods_the_queue_loses_its_own_calls_and_no_others() {
    let config = call::CallConfig::builder()
        .own(ids::InstanceId(1))
        .seed(1)
        .queue_limit(10)
        .build();
    let mut keeper = call::CallManager::with_config(config);
    give(&mut keeper, 0, Input::State(common::state([single(1)])));
    for request in 0..11 {
        give(&mut keeper, 0, Input::Arrived(lookup(request)));
    }
    let other = call::CallSpec {
        workspace: "addis".into(),
        ..lookup(100)
    };

    let outputs = give(&mut keeper, 0, Input::Arrived(other));
    let next = give(&mut keeper, 1, ended(0, 0, AttemptResult::Replied(200)));
    let second = give(&mut keeper, 2, ended(1, 0, AttemptResult::Replied(200)));

    assert_eq!(failures(&outputs)[0].0, 10);
    assert_eq!(attempts(&next)[0].0, 1);
    assert_eq!(attempts(&second)[0].0, 100);
}

#[test]
fn a_higher_priority_goes_first() {
    let mut keeper = keeper([single(1)]);
    give(&mut keeper, 0, Input::Arrived(lookup(1)));
    give(&mut keeper, 0, Input::Arrived(lookup(2)));
    let urgent = call::CallSpec {
        priority: 5,
        ..lookup(3)
    };
    give(&mut keeper, 0, Input::Arrived(urgent));

    let outputs = give(&mut keeper, 1, ended(1, 0, AttemptResult::Replied(200)));

    assert_eq!(attempts(&outputs)[0].0, 3);
}

#[test]
fn a_call_whose_caller_is_gone_leaves_the_queue() {
    let mut keeper = keeper([single(1)]);
    give(&mut keeper, 0, Input::Arrived(lookup(1)));
    give(&mut keeper, 0, Input::Arrived(order(2)));

    give(&mut keeper, 1, Input::CallerGone(ids::RequestId(2)));
    let outputs = give(&mut keeper, 2, ended(1, 0, AttemptResult::Replied(200)));

    assert_eq!(attempts(&outputs), []);
    assert_eq!(keeper.in_flight(), 0);
}

#[test]
fn a_failing_server_is_ejected_and_comes_back_gradually() {
    let mut keeper = keeper([server("s1"), server("s2")]);
    let sent = |keeper: &mut call::CallManager, from: u128, millis: u64, good: bool| {
        let mut to_first = 0;
        for request in from..from + 40 {
            let outputs = give(keeper, millis, Input::Arrived(order(request)));
            let (_, _, server) = attempts(&outputs)[0].clone();
            to_first += usize::from(server == "s1");
            let result = if good || server == "s2" {
                AttemptResult::Replied(200)
            } else {
                common::lost()
            };
            give(keeper, millis, ended(request, 0, result));
        }
        to_first
    };

    let failing = sent(&mut keeper, 0, 1, false);
    let ejected = sent(&mut keeper, 100, 500, true);
    let returned = sent(&mut keeper, 200, 20_000, true);

    assert_eq!(failing, 5);
    assert_eq!(ejected, 0);
    assert!(returned > 5);
}

#[test]
fn a_server_that_is_slow_without_load_is_ejected() {
    let mut keeper = keeper([server("s1"), server("s2"), server("s3")]);
    let mut sent = Vec::new();
    for request in 0..2_000 {
        let start = u64::try_from(request).expect("a small number") * 500;
        let outputs = give(&mut keeper, start, Input::Arrived(lookup(request)));
        let (_, _, server) = attempts(&outputs)[0].clone();
        let latency = if server == "s1" { 400 } else { 20 };
        sent.push(server);
        let end = ended(request, 0, AttemptResult::Replied(200));
        give(&mut keeper, start + latency, end);
    }

    let slow = sent.iter().filter(|server| *server == "s1").count();

    assert!(slow < 400, "{slow} of 2,000 calls went to the slow server");
}
