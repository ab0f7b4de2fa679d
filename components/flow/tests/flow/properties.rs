//! Properties of model requests under events in any order.

use std::{collections, time};

use proptest::{collection, prelude::Strategy as _, test_runner};

use crate::common::{self, REQUEST};

/// Histories that one run of the property tries.
const HISTORIES: u32 = 2_000;

/// One thing that happens to the request.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Grant {
        attempt: u32,
        lease: u64,
        second: bool,
    },
    Refuse(u32),
    Prefilled(u32, bool),
    Imported(u32, bool),
    Delivered(u32, u32),
    Ended(u32, u32, u8),
    CallerGone,
    OwnerChanges(u64),
    Revoke(u64),
    Wait(u64),
}

fn any_step() -> impl proptest::strategy::Strategy<Value = Step> {
    proptest::prop_oneof![
        4 => (0..4u32, 0..4u64, proptest::bool::ANY)
            .prop_map(|(attempt, lease, second)| Step::Grant { attempt, lease, second }),
        1 => (0..4u32).prop_map(Step::Refuse),
        4 => (0..4u32, proptest::bool::weighted(0.8)).prop_map(|(attempt, good)| Step::Prefilled(attempt, good)),
        4 => (0..4u32, proptest::bool::weighted(0.7)).prop_map(|(attempt, good)| Step::Imported(attempt, good)),
        2 => (0..4u32, 0..90u32).prop_map(|(attempt, offset)| Step::Delivered(attempt, offset)),
        3 => (0..4u32, 0..90u32, 0..3u8).prop_map(|(attempt, offset, kind)| Step::Ended(attempt, offset, kind)),
        1 => proptest::strategy::Just(Step::CallerGone),
        1 => (2..5u64).prop_map(Step::OwnerChanges),
        1 => (0..4u64).prop_map(Step::Revoke),
        3 => (1..900u64).prop_map(Step::Wait),
    ]
}

fn play(site: &mut common::Site, step: &Step) -> Vec<flow::Output> {
    let attempt_of = |attempt: &u32| ids::AttemptNumber(*attempt);
    match step {
        Step::Grant {
            attempt,
            lease,
            second,
        } => site.grant(
            *attempt,
            *lease,
            if *second { "decode-b" } else { "decode-a" },
        ),
        Step::Refuse(attempt) => {
            let refusal = place::Refusal {
                request: REQUEST,
                attempt: attempt_of(attempt),
                reason: place::RefusalReason::QueueFull,
                retry_after: time::Duration::from_millis(300),
            };
            site.give(flow::Input::Place(
                common::OWNER,
                place::Message::Refused(refusal),
            ))
        }
        Step::Prefilled(attempt, good) => {
            let result = if *good {
                Ok(common::cache())
            } else {
                Err(common::lost())
            };
            site.give(flow::Input::Prefilled(REQUEST, attempt_of(attempt), result))
        }
        Step::Imported(attempt, good) => {
            let result = if *good { Ok(()) } else { Err(common::gone()) };
            site.give(flow::Input::Imported(REQUEST, attempt_of(attempt), result))
        }
        Step::Delivered(attempt, offset) => site.give(flow::Input::Delivered(
            REQUEST,
            attempt_of(attempt),
            *offset,
        )),
        Step::Ended(attempt, offset, kind) => {
            let result = match kind {
                0 => Ok(border::FinishReason::Stop),
                1 => Err(common::lost()),
                _ => Err(common::gone()),
            };
            site.give(flow::Input::DecodeEnded(
                REQUEST,
                attempt_of(attempt),
                *offset,
                result,
            ))
        }
        Step::CallerGone => site.give(flow::Input::CallerGone(REQUEST)),
        Step::OwnerChanges(owner) => {
            site.give(flow::Input::View(common::view(&[ids::InstanceId(*owner)])))
        }
        Step::Revoke(lease) => {
            let lease = common::placement(0, *lease, "decode-a").lease;
            site.give(flow::Input::Place(
                common::OWNER,
                place::Message::Revoked(vec![lease]),
            ))
        }
        Step::Wait(millis) => site.wake_after(time::Duration::from_millis(*millis)),
    }
}

/// What engines were given and not told to end.
#[derive(Default)]
struct EngineWork {
    held: collections::BTreeSet<(String, u32)>,
    finishes: usize,
}

impl EngineWork {
    fn follow(&mut self, step: Option<&Step>, outputs: &[flow::Output]) {
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
                    if job.offset == 0 || matches!(step, Some(Step::Imported(..))) =>
                {
                    // A finished transfer frees the engine that prefilled.
                    self.held.retain(|(engine, _)| engine != "prefill-a");
                }
                flow::Output::Cancel(engine, _, attempt) => {
                    self.held.remove(&(engine.to_string(), attempt.0));
                }
                flow::Output::Finish(_, outcome) => {
                    self.finishes += 1;
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
fn every_request_ends_once_and_leaves_nothing_at_the_engines() {
    let config = test_runner::Config {
        cases: HISTORIES,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let checked = runner.run(&collection::vec(any_step(), 1..40), |steps| {
        let mut site = common::site();
        let mut work = EngineWork::default();
        let mut left = false;
        work.follow(None, &site.give(flow::Input::Arrived(common::quote())));
        for step in &steps {
            let outputs = play(&mut site, step);
            left |= matches!(step, Step::CallerGone) && work.finishes == 0;
            work.follow(Some(step), &outputs);
        }
        let gone = site.give(flow::Input::CallerGone(REQUEST));
        left |= work.finishes == 0;
        work.follow(None, &gone);

        proptest::prop_assert_eq!(site.table.in_flight(), 0);
        proptest::prop_assert_eq!(&work.held, &collections::BTreeSet::new());
        proptest::prop_assert_eq!(work.finishes, usize::from(!left));
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}
