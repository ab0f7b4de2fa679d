//! What follows when a step of a generation fails.

mod common;

use relay::{BackendOutcome, NextStep, StreamStep};

fn failure(step: StreamStep, outcome: BackendOutcome) -> relay::StepFailure {
    relay::StepFailure::builder()
        .step(step)
        .outcome(outcome)
        .not_run(true)
        .build()
}

#[test]
fn a_prefill_result_that_nobody_took_goes_to_another_engine() {
    let mut failed = failure(StreamStep::Decode, BackendOutcome::Unreachable);
    assert_eq!(failed.preferred_step(), NextStep::Restart);

    failed.has_result = true;

    assert_eq!(failed.preferred_step(), NextStep::MoveDecode);
}

#[test]
fn an_engine_with_room_that_refuses_has_found_the_result_gone() {
    let mut failed = failure(StreamStep::Decode, BackendOutcome::Refused);
    failed.has_result = true;
    failed.fill = 0.3;
    assert_eq!(failed.preferred_step(), NextStep::RetryDecode);

    failed.fill = 0.9;
    assert_eq!(failed.preferred_step(), NextStep::MoveDecode);

    failed.has_result = false;
    failed.decode_retried = true;
    assert_eq!(failed.preferred_step(), NextStep::Restart);
}

#[test]
fn a_stream_that_breaks_stays_where_its_prompt_is_cached_and_one_that_stalls_leaves() {
    let broken = failure(StreamStep::Generate, BackendOutcome::Broken);
    let stalled = failure(StreamStep::Generate, BackendOutcome::TimedOut);

    assert_eq!(broken.preferred_step(), NextStep::RetryDecode);
    assert_eq!(stalled.preferred_step(), NextStep::Restart);
}

#[test]
fn the_first_prompt_and_the_first_generation_cost_no_repeat() {
    let fresh = relay::AttemptCount::default();
    let read = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };
    let run = relay::AttemptCount {
        prefills: 1,
        decodes: 1,
    };

    assert_eq!(fresh.cost(NextStep::Restart), 0);
    assert_eq!(read.cost(NextStep::MoveDecode), 0);
    assert_eq!(read.cost(NextStep::Restart), 1);
    assert_eq!(run.cost(NextStep::RetryDecode), 1);
    assert_eq!(run.cost(NextStep::Restart), 2);
}

#[test]
fn a_prompt_that_was_refused_costs_a_repeat_when_another_engine_is_given_it() {
    let refused = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };

    assert_eq!(refused.cost(NextStep::Restart), 1);
}
