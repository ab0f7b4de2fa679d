//! Two owners order one engine in any order of events.

use std::{collections, sync, time};

use proptest::{collection, prelude::Strategy as _, test_runner};

use crate::common;

/// Histories that one run of the property tries.
const HISTORIES: u32 = 2_000;

/// One thing that happens between two owners and their engine.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Read(usize),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    TakeNote(usize, u64),
    Wait(u64),
}

fn any_step() -> impl proptest::strategy::Strategy<Value = Step> {
    proptest::prop_oneof![
        4 => (0..2usize).prop_map(Step::Read),
        4 => (0..6usize).prop_map(Step::Deliver),
        1 => (0..6usize).prop_map(Step::Duplicate),
        1 => (0..6usize).prop_map(Step::Lose),
        2 => (0..2usize, 1..5u64).prop_map(|(owner, revision)| Step::TakeNote(owner, revision)),
        2 => (100..20_000u64).prop_map(Step::Wait),
    ]
}

/// An engine that checks fencing numbers.
struct Engine {
    status: border::EngineStatus,
    /// Revisions of the orders that were carried out, in order.
    carried_out: Vec<ids::Revision>,
}

impl Engine {
    fn take(&mut self, order: &border::EngineOrder) -> border::OrderAnswer {
        if order.fence < self.status.fence.unwrap_or_default() {
            return border::OrderAnswer::Fenced;
        }
        self.status.fence = Some(order.fence);
        self.status.last_order = Some(order.order);
        let revision = order::FencingNumber::from_bits(order.fence).revision;
        self.carried_out.push(revision);
        match &order.action {
            border::OrderAction::LoadModel(model, version) => {
                let loaded = (model.clone(), version.clone());
                self.status.loaded.retain(|known| *known != loaded);
                self.status.loaded.push(loaded);
            }
            border::OrderAction::UnloadModel(model, version) => {
                let unloaded = (model.clone(), version.clone());
                self.status.loaded.retain(|known| *known != unloaded);
            }
            _ => {}
        }
        border::OrderAnswer::Done
    }
}

/// Two owners, each of which believes to be the only one, and their engine.
struct Dispute {
    owners: [common::Owner; 2],
    revisions: [u64; 2],
    engine: Engine,
    under_way: collections::VecDeque<(usize, border::EngineOrder)>,
}

impl Dispute {
    fn new() -> Self {
        Self {
            owners: [1, 2].map(|id| common::owner(ids::InstanceId(id))),
            revisions: [1, 1],
            engine: Engine {
                status: common::status(note::EngineRole::Decode, None),
                carried_out: Vec::new(),
            },
            under_way: collections::VecDeque::new(),
        }
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Read(owner) => self.read(*owner),
            Step::Deliver(index) => self.deliver(*index, true, true),
            Step::Duplicate(index) => self.deliver(*index, false, true),
            Step::Lose(index) => self.deliver(*index, true, false),
            Step::TakeNote(owner, revision) => {
                if *revision > self.revisions[*owner] {
                    self.revisions[*owner] = *revision;
                    let state = common::state(*revision, &revision.to_string());
                    self.owners[*owner].give(order::Input::State(sync::Arc::new(state)));
                }
            }
            Step::Wait(millis) => {
                for owner in &mut self.owners {
                    owner.pass(time::Duration::from_millis(*millis));
                }
            }
        }
    }

    fn read(&mut self, owner: usize) {
        let status = self.engine.status.clone();
        let mut outputs = self.owners[owner].status("fenced-a", &status);
        self.owners[owner].pass(time::Duration::from_millis(1));
        outputs.extend(self.owners[owner].give(order::Input::RunningCount("fenced-a".into(), 0)));
        let orders = common::orders(&outputs);
        self.under_way
            .extend(orders.into_iter().map(|order| (owner, order)));
    }

    fn deliver(&mut self, index: usize, take: bool, answered: bool) {
        if self.under_way.is_empty() {
            return;
        }
        let index = index % self.under_way.len();
        let (owner, order) = self.under_way[index].clone();
        if take {
            self.under_way.remove(index);
        }
        let answer = self.engine.take(&order);
        let answer = answered.then_some(answer);
        let input = order::Input::Answered("fenced-a".into(), order.order, answer);
        self.owners[owner].give(input);
    }
}

#[test]
fn an_engine_that_checks_numbers_never_goes_back_to_an_older_revision() {
    let config = test_runner::Config {
        cases: HISTORIES,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);

    let checked = runner.run(&collection::vec(any_step(), 1..60), |steps| {
        let mut dispute = Dispute::new();
        for step in &steps {
            dispute.play(step);
        }
        proptest::prop_assert!(dispute.engine.carried_out.is_sorted());
        Ok(())
    });

    assert_eq!(checked, Ok(()));
}

#[test]
fn two_owners_that_agree_bring_the_engine_to_the_newest_revision() {
    let mut dispute = Dispute::new();
    for owner in [0, 1] {
        dispute.play(&Step::TakeNote(owner, 3));
    }

    for round in 0..40 {
        dispute.play(&Step::Read(round % 2));
        dispute.play(&Step::Deliver(0));
        dispute.play(&Step::Wait(15_000));
    }

    let expected = [("quote-7b".into(), "3".into())];
    assert_eq!(dispute.engine.status.loaded, expected);
}
