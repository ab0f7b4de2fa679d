//! Single failures at each stage of a model request.

use std::time;

use crate::common::{self, REQUEST};

#[test]
fn completes_request_from_placement_to_answer() {
    let mut fixture = common::fixture();

    let requested = fixture.handle(flow::Input::Arrived(common::request_spec()));
    let placed = fixture.grant(0, 1, "decode-a");
    let prefilled = fixture.handle(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::prefill_result()),
    ));
    let imported = fixture.handle(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(()),
    ));
    let ended = fixture.handle(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        80,
        Ok(border::FinishReason::Stop),
    ));

    assert!(matches!(
        common::messages(&requested)[..],
        [(common::OWNER, place::Message::Request(_))]
    ));
    assert!(
        matches!(&placed[..], [flow::Output::Prefill { engine, .. }] if engine.as_str() == "prefill-a")
    );
    assert!(
        matches!(&prefilled[..], [flow::Output::Import { engine, .. }] if engine.as_str() == "decode-a")
    );
    assert!(matches!(&imported[0], flow::Output::Decode { job, .. } if job.offset == 0));
    assert_eq!(
        common::outcome(&ended),
        Some(flow::FlowOutcome::Answered(border::FinishReason::Stop))
    );
    assert_eq!(common::phases(&ended), [place::LeasePhase::Released]);
    assert_eq!(common::cancels(&ended), []);
    assert_eq!(fixture.table.in_flight(), 0);
}

#[test]
fn caller_disconnect_during_prefill_frees_engine_and_lease() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.grant(0, 1, "decode-a");

    let outputs = fixture.handle(flow::Input::CallerGone(REQUEST));

    assert_eq!(common::cancels(&outputs), [("prefill-a".to_owned(), 0)]);
    assert_eq!(common::phases(&outputs), [place::LeasePhase::Released]);
    assert_eq!(fixture.table.in_flight(), 0);
}

#[test]
fn caller_disconnect_during_transfer_frees_both_engines() {
    let mut fixture = common::fixture();
    fixture.advance_to_transfer();

    let outputs = fixture.handle(flow::Input::CallerGone(REQUEST));

    let expected = [("prefill-a".to_owned(), 0), ("decode-a".to_owned(), 0)];
    assert_eq!(common::cancels(&outputs), expected);
}

#[test]
fn cancels_prefill_again_if_it_ends_after_caller_disconnect() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.grant(0, 1, "decode-a");
    fixture.handle(flow::Input::CallerGone(REQUEST));

    let outputs = fixture.handle(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::prefill_result()),
    ));

    assert_eq!(common::cancels(&outputs), [("prefill-a".to_owned(), 0)]);
}

#[test]
fn retargets_failed_transfer_without_second_prefill() {
    let mut fixture = common::fixture();
    fixture.advance_to_transfer();

    let failed = fixture.handle(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Err(common::lost_error()),
    ));
    let retargeted = fixture.grant(1, 1, "decode-b");

    assert_eq!(common::cancels(&failed), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        &common::messages(&failed)[..],
        [(common::OWNER, place::Message::Retarget(request))] if request.failed.as_str() == "decode-a"
    ));
    assert!(
        matches!(&retargeted[..], [flow::Output::Import { engine, job }]
        if engine.as_str() == "decode-b" && job.kv_handle == 9)
    );
}

#[test]
fn imports_result_of_removed_prefill_engine() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.grant(0, 1, "decode-a");
    let mut state = common::state();
    state.engines.remove(&"prefill-a".into());
    fixture.handle(flow::Input::State(std::sync::Arc::new(state)));

    let outputs = fixture.handle(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::prefill_result()),
    ));

    assert!(matches!(&outputs[0], flow::Output::Import { job, .. } if job.source.port() == 7_001));
}

#[test]
fn retargets_stalled_transfer_within_retention() {
    let mut fixture = common::fixture();
    fixture.advance_to_transfer();

    let stalled = fixture.wake_after(time::Duration::from_millis(650));

    assert_eq!(common::cancels(&stalled), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        &common::messages(&stalled)[0],
        (common::OWNER, place::Message::Retarget(request)) if request.retained_for.as_millis() == 150
    ));
}

#[test]
fn ignores_result_of_retargeted_transfer() {
    let mut fixture = common::fixture();
    fixture.advance_to_transfer();
    fixture.handle(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Err(common::lost_error()),
    ));
    fixture.grant(1, 1, "decode-b");

    let outputs = fixture.handle(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(()),
    ));

    assert_eq!(common::cancels(&outputs), [("decode-a".to_owned(), 0)]);
    assert_eq!(outputs.len(), 1);
}

#[test]
fn resumes_lost_stream_at_delivered_offset() {
    let mut fixture = common::fixture();
    fixture.advance_to_decode();

    let outputs = fixture.handle(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        31,
        Err(common::lost_error()),
    ));

    assert!(
        matches!(&outputs[..], [flow::Output::Decode { engine, job }]
        if engine.as_str() == "decode-a" && job.offset == 31)
    );
}

#[test]
fn continues_stream_of_lost_engine_on_another_engine() {
    let mut fixture = common::fixture();
    fixture.advance_to_decode();

    let ended = fixture.handle(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        31,
        Err(common::gone_error()),
    ));
    fixture.grant(1, 2, "decode-b");
    fixture.handle(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(1),
        Ok(common::prefill_result()),
    ));
    let imported = fixture.handle(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(1),
        Ok(()),
    ));

    assert_eq!(common::cancels(&ended), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        common::messages(&ended).last(),
        Some((_, place::Message::Request(request))) if request.is_retry && request.prompt_tokens == 1_231
    ));
    assert!(matches!(&imported[0], flow::Output::Decode { engine, job }
        if engine.as_str() == "decode-b" && job.offset == 31));
}

#[test]
fn unsent_prefill_does_not_use_retry_budget() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.grant(0, 1, "decode-a");
    let error = border::BorderError::NotSent {
        detail: "connection refused".to_owned(),
    };

    let outputs = fixture.handle(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Err(error),
    ));

    assert!(matches!(
        common::messages(&outputs).last(),
        Some((_, place::Message::Request(request))) if !request.is_retry
    ));
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, flow::Output::Wasted(..)))
    );
}

#[test]
fn reports_owner_refusal_to_caller() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    let refusal = place::Refusal {
        request: REQUEST,
        attempt: ids::AttemptNumber(0),
        reason: place::RefusalReason::FirstTokenLate,
        retry_after: time::Duration::from_secs(2),
    };

    let outputs = fixture.handle(flow::Input::Place(
        common::OWNER,
        place::Message::Refused(refusal),
    ));

    assert!(matches!(
        common::outcome(&outputs),
        Some(flow::FlowOutcome::Refused { retry_after, .. }) if retry_after.as_secs() == 2
    ));
}

#[test]
fn refuses_request_at_deadline_if_owner_does_not_respond() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));

    let retried = fixture.wake_after(time::Duration::from_millis(250));
    fixture.wake_after(time::Duration::from_millis(250));
    let refused = fixture.wake_after(time::Duration::from_millis(510));

    assert!(matches!(
        common::messages(&retried)[..],
        [(_, place::Message::Request(_))]
    ));
    assert!(matches!(
        common::outcome(&refused),
        Some(flow::FlowOutcome::Refused { .. })
    ));
    assert!(matches!(
        common::messages(&refused)[..],
        [(_, place::Message::Withdraw(..))]
    ));
}

#[test]
fn releases_placement_received_after_caller_disconnect() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.handle(flow::Input::CallerGone(REQUEST));

    let outputs = fixture.grant(0, 1, "decode-a");

    assert_eq!(common::phases(&outputs), [place::LeasePhase::Released]);
    assert_eq!(outputs.len(), 1);
}

#[test]
fn releases_second_placement_of_same_request() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    fixture.grant(0, 1, "decode-a");

    let duplicate = fixture.grant(0, 1, "decode-a");
    let second = fixture.grant(0, 2, "decode-b");

    assert_eq!(duplicate.len(), 0);
    assert_eq!(common::phases(&second), [place::LeasePhase::Released]);
}

#[test]
fn sends_claims_to_new_owner() {
    let mut fixture = common::fixture();
    fixture.advance_to_decode();
    let new_owner = ids::InstanceId(3);

    let outputs = fixture.handle(flow::Input::View(common::view(&[new_owner])));

    assert!(matches!(
        &common::messages(&outputs)[..],
        [(to, place::Message::Claims(_, claims, true))]
            if *to == new_owner && claims.len() == 1 && claims[0].phase == place::LeasePhase::Decode
    ));
}

#[test]
fn sends_all_claims_on_request_of_owner() {
    let mut fixture = common::fixture();
    fixture.advance_to_decode();
    let cell = place::cell::cells(&common::state())[0].id;
    let request_claims = place::Message::RequestClaims(cell);

    let outputs = fixture.handle(flow::Input::Place(common::OWNER, request_claims));

    assert!(matches!(
        &common::messages(&outputs)[..],
        [(common::OWNER, place::Message::Claims(_, claims, true))] if claims.len() == 1
    ));
}

#[test]
fn does_not_start_prefill_after_lease_expiry() {
    let mut fixture = common::fixture();
    fixture.handle(flow::Input::Arrived(common::request_spec()));
    let mut delayed = common::placement(0, 1, "decode-a");
    delayed.start_in = time::Duration::from_millis(50);
    fixture.handle(flow::Input::Place(
        common::OWNER,
        place::Message::Placed(delayed),
    ));

    let outputs = fixture.wake_after(common::LEASE_DURATION + time::Duration::from_secs(1));

    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, flow::Output::Prefill { .. }))
    );
    assert!(common::phases(&outputs).contains(&place::LeasePhase::Failed));
}

#[test]
fn second_revocation_of_lease_cancels_its_work() {
    let mut fixture = common::fixture();
    fixture.advance_to_transfer();
    let lease = common::placement(0, 1, "decode-a").lease;
    let revoked = || flow::Input::Place(common::OWNER, place::Message::Revoked(vec![lease]));

    let first = fixture.handle(revoked());
    let second = fixture.handle(revoked());

    assert!(
        matches!(&common::messages(&first)[..], [(_, place::Message::Claims(_, claims, false))] if claims.len() == 1)
    );
    assert_eq!(common::cancels(&second).len(), 2);
}
