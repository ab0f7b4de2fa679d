//! Planned stops: which requests an instance still sends on. The load is that of callers on open
//! connections whose requests become whole late in the grace period, or take long.

mod common;

use std::time;

use common::{at, ms};

/// Time from the signal to the exit.
const SPAN: time::Duration = ms(7_400);

fn plan() -> relay::DrainPlan {
    relay::DrainPlan::new(at(0), SPAN)
}

/// Returns a core that has measured calls of `latency` and stops at time 0.
fn stopping_core(latency: time::Duration) -> relay::RelayCore {
    let mut core = common::core_with(&[common::server("s1", "a")]);
    let service = common::PLAIN_SERVICE.into();
    for _ in 0..10 {
        let selection = core.select_server(at(0), &service, &[]);
        let key = selection.expect("the server is willing").key;
        core.record_call_outcome(at(0), key, relay::BackendOutcome::Succeeded, latency);
    }
    core.start_draining(plan());
    core
}

fn late_call(latency: time::Duration, now: u64, deadline: u64) -> Option<relay::RefusalReason> {
    let core = stopping_core(latency);
    let refusal = core.late_call(at(now), &common::PLAIN_SERVICE.into(), at(deadline));
    refusal.map(|refusal| refusal.reason)
}

#[test]
fn call_is_refused_that_its_deadline_ends_before_the_instance() {
    assert_eq!(late_call(ms(2_000), 5_000, 7_000), None);
}

#[test]
fn call_is_refused_that_is_expected_to_end_before_the_instance() {
    assert_eq!(late_call(ms(30), 6_000, 30_000), None);
}

#[test]
fn call_is_sent_on_that_may_take_longer_than_the_instance_lives() {
    let refused = Some(relay::RefusalReason::ShuttingDown);

    assert_eq!(late_call(ms(2_000), 5_000, 30_000), refused);
    assert_eq!(late_call(ms(30), 7_100, 30_000), refused);
    assert_eq!(late_call(ms(30), 7_200, 7_100), refused);
}

#[test]
fn instance_that_does_not_stop_refuses_calls() {
    let core = common::core_with(&[common::server("s1", "a")]);

    let refusal = core.late_call(at(60_000), &common::PLAIN_SERVICE.into(), at(90_000));

    assert_eq!(refusal, None);
}

#[test]
fn requests_are_answered_after_the_exit_or_too_early() {
    for millis in [0, 100, 1_000, 3_400, 7_400] {
        let plan = relay::DrainPlan::new(at(500), ms(millis));

        assert!(plan.answers_by >= plan.begun_at);
        assert!(plan.answers_by <= plan.streams_by);
        assert!(plan.streams_by <= plan.exits_at);
        assert_eq!(plan.exits_at, at(500 + millis));
    }
}

#[test]
fn stream_is_sent_on_that_takes_longer_than_the_instance_lives() {
    let plan = plan();

    let early = plan.admits_stream(at(1_000), ms(5_000), at(15_000));
    let late = plan.admits_stream(at(2_600), ms(5_000), at(16_600));
    let bounded = plan.admits_stream(at(2_600), ms(5_000), at(7_000));

    assert_eq!((early, late, bounded), (true, false, true));
}
