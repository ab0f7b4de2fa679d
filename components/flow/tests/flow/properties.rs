//! Properties of model requests that hold for any order of events.

use std::{collections, time};

use proptest::{collection, prelude::Strategy as _, test_runner};

use crate::common::{self, REQUEST};

/// Number of generated histories.
const HISTORY_COUNT: u32 = 2_000;

/// One event of a generated history.
#[derive(Clone, Debug, PartialEq)]
enum HistoryStep {
    Grant {
        attempt: u32,
        lease: u64,
        on_second_engine: bool,
    },
    Refuse(u32),
    Prefilled(u32, bool),
    Imported(u32, bool),
    Delivered(u32, u32),
    Ended(u32, u32, u8),
    CallerGone,
    OwnerChanged(u64),
    Revoke(u64),
    Wait(u64),
}

fn any_step() -> impl proptest::strategy::Strategy<Value = HistoryStep> {
    proptest::prop_oneof![
        4 => (0..4u32, 0..4u64, proptest::bool::ANY)
            .prop_map(|(attempt, lease, on_second_engine)| HistoryStep::Grant { attempt, lease, on_second_engine }),
        1 => (0..4u32).prop_map(HistoryStep::Refuse),
        4 => (0..4u32, proptest::bool::weighted(0.8)).prop_map(|(attempt, succeeds)| HistoryStep::Prefilled(attempt, succeeds)),
        4 => (0..4u32, proptest::bool::weighted(0.7)).prop_map(|(attempt, succeeds)| HistoryStep::Imported(attempt, succeeds)),
        2 => (0..4u32, 0..90u32).prop_map(|(attempt, offset)| HistoryStep::Delivered(attempt, offset)),
        3 => (0..4u32, 0..90u32, 0..3u8).prop_map(|(attempt, offset, kind)| HistoryStep::Ended(attempt, offset, kind)),
        1 => proptest::strategy::Just(HistoryStep::CallerGone),
        1 => (2..5u64).prop_map(HistoryStep::OwnerChanged),
        1 => (0..4u64).prop_map(HistoryStep::Revoke),
        3 => (1..900u64).prop_map(HistoryStep::Wait),
    ]
}

fn apply_step(fixture: &mut common::TableFixture, step: &HistoryStep) -> Vec<flow::Output> {
    let attempt_of = |attempt: &u32| ids::AttemptNumber(*attempt);
    match step {
        HistoryStep::Grant {
            attempt,
            lease,
            on_second_engine,
        } => fixture.grant(
            *attempt,
            *lease,
            if *on_second_engine {
                "decode-b"
            } else {
                "decode-a"
            },
        ),
        HistoryStep::Refuse(attempt) => {
            let refusal = place::Refusal {
                request: REQUEST,
                attempt: attempt_of(attempt),
                reason: place::RefusalReason::QueueFull,
                retry_after: time::Duration::from_millis(300),
            };
            fixture.handle(flow::Input::Place(
                common::OWNER,
                place::Message::Refused(refusal),
            ))
        }
        HistoryStep::Prefilled(attempt, succeeds) => {
            let result = if *succeeds {
                Ok(common::prefill_result())
            } else {
                Err(common::lost_error())
            };
            fixture.handle(flow::Input::Prefilled(REQUEST, attempt_of(attempt), result))
        }
        HistoryStep::Imported(attempt, succeeds) => {
            let result = if *succeeds {
                Ok(())
            } else {
                Err(common::gone_error())
            };
            fixture.handle(flow::Input::Imported(REQUEST, attempt_of(attempt), result))
        }
        HistoryStep::Delivered(attempt, offset) => fixture.handle(flow::Input::Delivered(
            REQUEST,
            attempt_of(attempt),
            *offset,
        )),
        HistoryStep::Ended(attempt, offset, kind) => {
            let result = match kind {
                0 => Ok(border::FinishReason::Stop),
                1 => Err(common::lost_error()),
                _ => Err(common::gone_error()),
            };
            fixture.handle(flow::Input::DecodeEnded(
                REQUEST,
                attempt_of(attempt),
                *offset,
                result,
            ))
        }
        HistoryStep::CallerGone => fixture.handle(flow::Input::CallerGone(REQUEST)),
        HistoryStep::OwnerChanged(owner) => {
            fixture.handle(flow::Input::View(common::view(&[ids::InstanceId(*owner)])))
        }
        HistoryStep::Revoke(lease) => {
            let lease = common::placement(0, *lease, "decode-a").lease;
            fixture.handle(flow::Input::Place(
                common::OWNER,
                place::Message::Revoked(vec![lease]),
            ))
        }
        HistoryStep::Wait(millis) => fixture.wake_after(time::Duration::from_millis(*millis)),
    }
}

/// Attempts that engines hold: started and neither cancelled nor completed.
#[derive(Default)]
struct EngineTracker {
    held: collections::BTreeSet<(String, u32)>,
    finish_count: usize,
}

impl EngineTracker {
    fn record(&mut self, step: Option<&HistoryStep>, outputs: &[flow::Output]) {
        for output in outputs {
            match output {
                flow::Output::Prefill {
                    attempt, engine, ..
                } => {
                    self.held.insert((engine.to_string(), attempt.0));
                }
                flow::Output::Import { engine, job } => {
                    self.held.insert((engine.to_string(), job.attempt.0));
                }
                flow::Output::Decode { job, .. }
                    if job.offset == 0 || matches!(step, Some(HistoryStep::Imported(..))) =>
                {
                    // A completed transfer frees the prefill engine; a resumed stream follows no
                    // transfer.
                    self.held.retain(|(engine, _)| engine != "prefill-a");
                }
                flow::Output::Cancel(engine, _, attempt) => {
                    self.held.remove(&(engine.to_string(), attempt.0));
                }
                flow::Output::Finish(_, outcome) => {
                    self.finish_count += 1;
                    // The decode engines free the memory of a complete answer.
                    if let flow::FlowOutcome::Answered(_) = outcome {
                        self.held.retain(|(engine, _)| engine == "prefill-a");
                    }
                }
                _ => {}
            }
        }
    }
}

#[test]
fn every_request_ends_once_and_frees_engines() {
    let config = test_runner::Config {
        cases: HISTORY_COUNT,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let checked = runner.run(&collection::vec(any_step(), 1..40), |steps| {
        let mut fixture = common::fixture();
        let mut tracker = EngineTracker::default();
        let mut caller_disconnected = false;
        tracker.record(
            None,
            &fixture.handle(flow::Input::Arrived(common::request_spec())),
        );
        for step in &steps {
            let outputs = apply_step(&mut fixture, step);
            caller_disconnected |=
                matches!(step, HistoryStep::CallerGone) && tracker.finish_count == 0;
            tracker.record(Some(step), &outputs);
        }
        let disconnected = fixture.handle(flow::Input::CallerGone(REQUEST));
        caller_disconnected |= tracker.finish_count == 0;
        tracker.record(None, &disconnected);

        proptest::prop_assert_eq!(fixture.table.in_flight(), 0);
        proptest::prop_assert_eq!(&tracker.held, &collections::BTreeSet::new());
        proptest::prop_assert_eq!(tracker.finish_count, usize::from(!caller_disconnected));
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}
