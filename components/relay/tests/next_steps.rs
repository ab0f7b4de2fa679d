//! Next step after a step of a generation failed.

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
fn moves_untransferred_prefill_result_to_another_engine() {
    let mut failed = failure(StreamStep::Decode, BackendOutcome::Unreachable);
    assert_eq!(failed.preferred_step(), NextStep::Restart);

    failed.has_result = true;

    assert_eq!(failed.preferred_step(), NextStep::MoveDecode);
}

#[test]
fn refusal_by_engine_with_capacity_means_missing_prefill_result() {
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
fn broken_stream_retries_on_its_engine_and_stalled_stream_restarts() {
    let broken = failure(StreamStep::Generate, BackendOutcome::Broken);
    let stalled = failure(StreamStep::Generate, BackendOutcome::TimedOut);

    assert_eq!(broken.preferred_step(), NextStep::RetryDecode);
    assert_eq!(stalled.preferred_step(), NextStep::Restart);
}

#[test]
fn first_prefill_and_first_decode_cost_no_retry() {
    let fresh = relay::AttemptCount::default();
    let prefilled = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };
    let decoded = relay::AttemptCount {
        prefills: 1,
        decodes: 1,
    };

    assert_eq!(fresh.cost(NextStep::Restart), 0);
    assert_eq!(prefilled.cost(NextStep::MoveDecode), 0);
    assert_eq!(prefilled.cost(NextStep::Restart), 1);
    assert_eq!(decoded.cost(NextStep::RetryDecode), 1);
    assert_eq!(decoded.cost(NextStep::Restart), 2);
}

#[test]
fn restart_after_refused_prefill_costs_a_retry() {
    let refused = relay::AttemptCount {
        prefills: 1,
        decodes: 0,
    };

    assert_eq!(refused.cost(NextStep::Restart), 1);
}
