//! Failures on the way of a model request, caused one by one.

use std::time;

use crate::common::{self, REQUEST};

#[test]
fn a_request_goes_from_placement_to_its_whole_answer() {
    let mut site = common::site();

    let asked = site.give(flow::Input::Arrived(common::quote()));
    let placed = site.grant(0, 1, "decode-a");
    let prefilled = site.give(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::cache()),
    ));
    let imported = site.give(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(()),
    ));
    let ended = site.give(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        80,
        Ok(border::FinishReason::Stop),
    ));

    assert!(matches!(
        common::messages(&asked)[..],
        [(common::OWNER, place::Message::Ask(_))]
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
    assert_eq!(site.table.in_flight(), 0);
}

#[test]
fn a_caller_that_leaves_during_prefill_frees_the_engine_and_the_lease() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.grant(0, 1, "decode-a");

    let outputs = site.give(flow::Input::CallerGone(REQUEST));

    assert_eq!(common::cancels(&outputs), [("prefill-a".to_owned(), 0)]);
    assert_eq!(common::phases(&outputs), [place::LeasePhase::Released]);
    assert_eq!(site.table.in_flight(), 0);
}

#[test]
fn a_caller_that_leaves_during_a_transfer_frees_both_engines() {
    let mut site = common::site();
    site.prefilled();

    let outputs = site.give(flow::Input::CallerGone(REQUEST));

    let expected = [("prefill-a".to_owned(), 0), ("decode-a".to_owned(), 0)];
    assert_eq!(common::cancels(&outputs), expected);
}

#[test]
fn a_prefill_that_ends_after_its_caller_left_is_cancelled_again() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.grant(0, 1, "decode-a");
    site.give(flow::Input::CallerGone(REQUEST));

    let outputs = site.give(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::cache()),
    ));

    assert_eq!(common::cancels(&outputs), [("prefill-a".to_owned(), 0)]);
}

#[test]
fn a_failed_transfer_moves_to_another_engine_without_a_second_prefill() {
    let mut site = common::site();
    site.prefilled();

    let failed = site.give(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Err(common::lost()),
    ));
    let moved = site.grant(1, 1, "decode-b");

    assert_eq!(common::cancels(&failed), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        &common::messages(&failed)[..],
        [(common::OWNER, place::Message::Retarget(ask))] if ask.failed.as_str() == "decode-a"
    ));
    assert!(matches!(&moved[..], [flow::Output::Import { engine, job }]
        if engine.as_str() == "decode-b" && job.kv_handle == 9));
}

#[test]
fn a_note_that_withdraws_the_prefill_engine_does_not_waste_its_result() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.grant(0, 1, "decode-a");
    let mut state = common::state();
    state.engines.remove(&"prefill-a".into());
    site.give(flow::Input::State(std::sync::Arc::new(state)));

    let outputs = site.give(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(common::cache()),
    ));

    assert!(matches!(&outputs[0], flow::Output::Import { job, .. } if job.source.port() == 7_001));
}

#[test]
fn a_transfer_that_stalls_moves_to_another_engine_inside_the_retention() {
    let mut site = common::site();
    site.prefilled();

    let stalled = site.wake_after(time::Duration::from_millis(650));

    assert_eq!(common::cancels(&stalled), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        &common::messages(&stalled)[0],
        (common::OWNER, place::Message::Retarget(ask)) if ask.retained_for.as_millis() == 150
    ));
}

#[test]
fn an_answer_of_the_transfer_that_was_moved_is_ignored() {
    let mut site = common::site();
    site.prefilled();
    site.give(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Err(common::lost()),
    ));
    site.grant(1, 1, "decode-b");

    let outputs = site.give(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(0),
        Ok(()),
    ));

    assert_eq!(common::cancels(&outputs), [("decode-a".to_owned(), 0)]);
    assert_eq!(outputs.len(), 1);
}

#[test]
fn a_silent_stream_is_resumed_behind_what_was_delivered() {
    let mut site = common::site();
    site.decoding();

    let outputs = site.give(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        31,
        Err(common::lost()),
    ));

    assert!(
        matches!(&outputs[..], [flow::Output::Decode { engine, job }]
        if engine.as_str() == "decode-a" && job.offset == 31)
    );
}

#[test]
fn a_stream_whose_engine_died_continues_elsewhere_at_its_offset() {
    let mut site = common::site();
    site.decoding();

    let ended = site.give(flow::Input::DecodeEnded(
        REQUEST,
        ids::AttemptNumber(0),
        31,
        Err(common::gone()),
    ));
    site.grant(1, 2, "decode-b");
    site.give(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(1),
        Ok(common::cache()),
    ));
    let imported = site.give(flow::Input::Imported(
        REQUEST,
        ids::AttemptNumber(1),
        Ok(()),
    ));

    assert_eq!(common::cancels(&ended), [("decode-a".to_owned(), 0)]);
    assert!(matches!(
        common::messages(&ended).last(),
        Some((_, place::Message::Ask(ask))) if ask.repeated && ask.prompt_tokens == 1_231
    ));
    assert!(matches!(&imported[0], flow::Output::Decode { engine, job }
        if engine.as_str() == "decode-b" && job.offset == 31));
}

#[test]
fn a_prefill_that_never_left_costs_no_retry_budget() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.grant(0, 1, "decode-a");
    let error = border::BorderError::NotSent {
        detail: "connection refused".to_owned(),
    };

    let outputs = site.give(flow::Input::Prefilled(
        REQUEST,
        ids::AttemptNumber(0),
        Err(error),
    ));

    assert!(matches!(
        common::messages(&outputs).last(),
        Some((_, place::Message::Ask(ask))) if !ask.repeated
    ));
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, flow::Output::Wasted(..)))
    );
}

#[test]
fn a_refusal_reaches_the_caller_at_once() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    let refusal = place::Refusal {
        request: REQUEST,
        attempt: ids::AttemptNumber(0),
        reason: place::RefusalReason::FirstTokenLate,
        retry_after: time::Duration::from_secs(2),
    };

    let outputs = site.give(flow::Input::Place(
        common::OWNER,
        place::Message::Refused(refusal),
    ));

    assert!(matches!(
        common::outcome(&outputs),
        Some(flow::FlowOutcome::Refused { retry_after, .. }) if retry_after.as_secs() == 2
    ));
}

#[test]
fn an_owner_that_never_answers_is_given_up_when_the_request_can_wait_no_longer() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));

    let repeated = site.wake_after(time::Duration::from_millis(250));
    site.wake_after(time::Duration::from_millis(250));
    let given_up = site.wake_after(time::Duration::from_millis(510));

    assert!(matches!(
        common::messages(&repeated)[..],
        [(_, place::Message::Ask(_))]
    ));
    assert!(matches!(
        common::outcome(&given_up),
        Some(flow::FlowOutcome::Refused { .. })
    ));
    assert!(matches!(
        common::messages(&given_up)[..],
        [(_, place::Message::Withdraw(..))]
    ));
}

#[test]
fn a_placement_that_comes_too_late_is_returned() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.give(flow::Input::CallerGone(REQUEST));

    let outputs = site.grant(0, 1, "decode-a");

    assert_eq!(common::phases(&outputs), [place::LeasePhase::Released]);
    assert_eq!(outputs.len(), 1);
}

#[test]
fn a_second_grant_of_the_same_ask_is_returned_and_the_first_kept() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    site.grant(0, 1, "decode-a");

    let repeated = site.grant(0, 1, "decode-a");
    let second = site.grant(0, 2, "decode-b");

    assert_eq!(repeated.len(), 0);
    assert_eq!(common::phases(&second), [place::LeasePhase::Released]);
}

#[test]
fn leases_are_claimed_from_a_new_owner() {
    let mut site = common::site();
    site.decoding();
    let next = ids::InstanceId(3);

    let outputs = site.give(flow::Input::View(common::view(&[next])));

    assert!(matches!(
        &common::messages(&outputs)[..],
        [(to, place::Message::Claims(_, claims, true))]
            if *to == next && claims.len() == 1 && claims[0].phase == place::LeasePhase::Decode
    ));
}

#[test]
fn an_owner_that_lost_its_count_is_told_every_lease_of_the_cell() {
    let mut site = common::site();
    site.decoding();
    let cell = place::cell::cells(&common::state())[0].id;
    let wanted = place::Message::WantClaims(cell);

    let outputs = site.give(flow::Input::Place(common::OWNER, wanted));

    assert!(matches!(
        &common::messages(&outputs)[..],
        [(common::OWNER, place::Message::Claims(_, claims, true))] if claims.len() == 1
    ));
}

#[test]
fn an_instance_that_wakes_after_its_lease_expired_sends_nothing_to_the_engine() {
    let mut site = common::site();
    site.give(flow::Input::Arrived(common::quote()));
    let mut delayed = common::placement(0, 1, "decode-a");
    delayed.start_in = time::Duration::from_millis(50);
    site.give(flow::Input::Place(
        common::OWNER,
        place::Message::Placed(delayed),
    ));

    let outputs = site.wake_after(common::LEASE_DURATION + time::Duration::from_secs(1));

    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, flow::Output::Prefill { .. }))
    );
    assert!(common::phases(&outputs).contains(&place::LeasePhase::Failed));
}

#[test]
fn a_lease_revoked_twice_ends_the_work_under_it() {
    let mut site = common::site();
    site.prefilled();
    let lease = common::placement(0, 1, "decode-a").lease;
    let revoked = || flow::Input::Place(common::OWNER, place::Message::Revoked(vec![lease]));

    let first = site.give(revoked());
    let second = site.give(revoked());

    assert!(
        matches!(&common::messages(&first)[..], [(_, place::Message::Claims(_, claims, false))] if claims.len() == 1)
    );
    assert_eq!(common::cancels(&second).len(), 2);
}
