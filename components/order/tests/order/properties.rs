//! Random event sequences between two owners that send orders to one engine.
//!
//! They guard against an engine that executes an order of an older revision after one of a newer
//! revision, as can happen when two instances act as the owner at the same time.

use std::{collections, sync, time};

use proptest::{collection, prelude::Strategy as _, test_runner};

use crate::common;

/// Number of event sequences that the property test runs.
const SEQUENCES: u32 = 2_000;

/// Step of an event sequence; owners and orders in flight are given by index.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// An owner reads the engine's status and sends the resulting order.
    Read(usize),
    /// The engine receives an order and its answer reaches the owner.
    Deliver(usize),
    /// As `Deliver`, but the order stays in flight and may be received again.
    Duplicate(usize),
    /// The engine receives an order and its answer is lost.
    LoseAnswer(usize),
    /// A release note of this revision comes into force at an owner.
    ApplyNote(usize, u64),
    /// Milliseconds pass.
    Wait(u64),
}

fn any_step() -> impl proptest::strategy::Strategy<Value = Step> {
    proptest::prop_oneof![
        4 => (0..2usize).prop_map(Step::Read),
        4 => (0..6usize).prop_map(Step::Deliver),
        1 => (0..6usize).prop_map(Step::Duplicate),
        1 => (0..6usize).prop_map(Step::LoseAnswer),
        2 => (0..2usize, 1..5u64).prop_map(|(owner, revision)| Step::ApplyNote(owner, revision)),
        2 => (100..20_000u64).prop_map(Step::Wait),
    ]
}

/// Engine that checks fencing numbers.
struct FencedEngine {
    status: border::EngineStatus,
    /// Revisions of the executed orders, in execution order.
    executed_revisions: Vec<ids::Revision>,
}

impl FencedEngine {
    fn execute(&mut self, order: &border::EngineOrder) -> border::OrderAnswer {
        if order.fence < self.status.fence.unwrap_or_default() {
            return border::OrderAnswer::Fenced;
        }
        self.status.fence = Some(order.fence);
        self.status.last_order = Some(order.order);
        let revision = order::FencingNumber::from_bits(order.fence).revision;
        self.executed_revisions.push(revision);
        match &order.action {
            border::OrderAction::LoadModel(model, version) => {
                let loaded = (model.clone(), version.clone());
                self.status.loaded.retain(|other| *other != loaded);
                self.status.loaded.push(loaded);
            }
            border::OrderAction::UnloadModel(model, version) => {
                let unloaded = (model.clone(), version.clone());
                self.status.loaded.retain(|other| *other != unloaded);
            }
            _ => {}
        }
        border::OrderAnswer::Done
    }
}

/// Two instances that both act as the owner, and their engine.
struct OwnerConflict {
    owners: [common::OwnerFixture; 2],
    revisions: [u64; 2],
    engine: FencedEngine,
    in_flight: collections::VecDeque<(usize, border::EngineOrder)>,
}

impl OwnerConflict {
    fn new() -> Self {
        Self {
            owners: [1, 2].map(|id| common::owner(ids::InstanceId(id))),
            revisions: [1, 1],
            engine: FencedEngine {
                status: common::status(note::EngineRole::Decode, None),
                executed_revisions: Vec::new(),
            },
            in_flight: collections::VecDeque::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Read(owner) => self.read(*owner),
            Step::Deliver(index) => self.deliver(*index, true, true),
            Step::Duplicate(index) => self.deliver(*index, false, true),
            Step::LoseAnswer(index) => self.deliver(*index, true, false),
            Step::ApplyNote(owner, revision) => {
                if *revision > self.revisions[*owner] {
                    self.revisions[*owner] = *revision;
                    let state = common::state(*revision, &revision.to_string());
                    self.owners[*owner].handle(order::Input::State(sync::Arc::new(state)));
                }
            }
            Step::Wait(millis) => {
                for owner in &mut self.owners {
                    owner.advance(time::Duration::from_millis(*millis));
                }
            }
        }
    }

    fn read(&mut self, owner: usize) {
        let status = self.engine.status.clone();
        let mut outputs = self.owners[owner].handle_status("fenced-a", &status);
        self.owners[owner].advance(time::Duration::from_millis(1));
        outputs.extend(self.owners[owner].handle(order::Input::RunningCount("fenced-a".into(), 0)));
        let orders = common::orders(&outputs);
        self.in_flight
            .extend(orders.into_iter().map(|order| (owner, order)));
    }

    /// Passes an order in flight to the engine; `is_removed` removes the order from flight, and
    /// `is_answered` returns the engine's answer to the owner instead of losing it.
    fn deliver(&mut self, index: usize, is_removed: bool, is_answered: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let (owner, order) = self.in_flight[index].clone();
        if is_removed {
            self.in_flight.remove(index);
        }
        let answer = self.engine.execute(&order);
        let answer = is_answered.then_some(answer);
        let input = order::Input::Answered("fenced-a".into(), order.order, answer);
        self.owners[owner].handle(input);
    }
}

#[test]
fn an_engine_with_fencing_never_returns_to_an_older_revision() {
    let config = test_runner::Config {
        cases: SEQUENCES,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let checked = runner.run(&collection::vec(any_step(), 1..60), |steps| {
        let mut conflict = OwnerConflict::new();
        for step in &steps {
            conflict.apply(step);
        }
        proptest::prop_assert!(conflict.engine.executed_revisions.is_sorted());
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

#[test]
fn two_owners_with_the_same_revision_load_its_model_version() {
    let mut conflict = OwnerConflict::new();
    for owner in [0, 1] {
        conflict.apply(&Step::ApplyNote(owner, 3));
    }

    for round in 0..40 {
        conflict.apply(&Step::Read(round % 2));
        conflict.apply(&Step::Deliver(0));
        conflict.apply(&Step::Wait(15_000));
    }

    let expected = [("quote-7b".into(), "3".into())];
    assert_eq!(conflict.engine.status.loaded, expected);
}
