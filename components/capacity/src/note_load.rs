//! The cost of a release note at every instance.

use std::sync;

use crate::{cost_row, load_error, sample_site, usage_probe};

/// Sizes that are measured, in engines.
const SIZES: [usize; 3] = [1_500, 6_000, sample_site::FULL_ENGINES];

/// Notes that are folded in at each size.
const NOTES: u32 = 200;

/// Instances of the site.
const INSTANCES: usize = 380;

/// Measures the fold of a note and what the machines do with it.
pub(crate) fn measure() -> Result<Vec<cost_row::CostRow>, load_error::LoadError> {
    let mut rows = Vec::new();
    for size in SIZES {
        rows.push(fold(size)?);
        rows.push(take(size)?);
    }
    Ok(rows)
}

fn fold(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let before = usage_probe::held_kilobytes();
    let mut state = sync::Arc::new(sample_site::state(size)?);
    let held = usage_probe::held_kilobytes().saturating_sub(before);
    let mut refused = None;
    let unit_us = usage_probe::unit_micros(NOTES, || {
        for number in 0..NOTES {
            let note = change_of(number, size, state.revision);
            match state.apply(&note) {
                Ok(next) => state = sync::Arc::new(next),
                Err(reason) => refused = Some(reason),
            }
            std::hint::black_box(state.digest());
        }
    })?;
    match refused {
        Some(reason) => Err(reason.into()),
        None => Ok(cost_row::CostRow {
            part: "note: fold and digest",
            size_of: "engines",
            size,
            unit: "note",
            unit_us,
            unit_bytes: None,
            held_kilobytes: Some(held),
        }),
    }
}

fn take(size: usize) -> Result<cost_row::CostRow, load_error::LoadError> {
    let mut states = vec![sync::Arc::new(sample_site::state(size)?)];
    for number in 0..NOTES {
        let last = &states[states.len() - 1];
        let next = last.apply(&change_of(number, size, last.revision))?;
        states.push(sync::Arc::new(next));
    }
    let before = usage_probe::held_kilobytes();
    let mut machines = Machines::new();
    machines.take_state(&states[0]);
    machines.take_view(&sync::Arc::new(sample_site::view(INSTANCES, 1)));
    let held = usage_probe::held_kilobytes().saturating_sub(before);
    let unit_us = usage_probe::unit_micros(NOTES, || {
        for state in &states[1..] {
            machines.take_state(state);
        }
    })?;
    Ok(cost_row::CostRow {
        part: "note: taken by placement, requests, calls, orders",
        size_of: "engines",
        size,
        unit: "note",
        unit_us,
        unit_bytes: None,
        held_kilobytes: Some(held),
    })
}

fn change_of(number: u32, size: usize, revision: ids::Revision) -> note::ReleaseNote {
    let number = usize::try_from(number).unwrap_or(0);
    // Steps through the whole range so that notes touch different cells.
    let engine = number * 97 % size;
    sample_site::change(revision.next().0, engine, number % 2 == 0)
}

/// The machines of one instance that hold the state in force.
pub(crate) struct Machines {
    owner: place::CellOwner,
    flows: flow::FlowTable,
    keeper: call::CallManager,
    reconciler: order::OrderReconciler,
    now: clock::Timestamp,
}

impl Machines {
    /// Makes the machines of the first instance.
    pub(crate) fn new() -> Self {
        let own = ids::InstanceId(1);
        Self {
            owner: place::CellOwner::new(own, 1),
            flows: flow::FlowTable::new(own, 1),
            keeper: call::CallManager::new(own, 1),
            reconciler: order::OrderReconciler::new(own, 1),
            now: clock::Timestamp::from_millis(1_000),
        }
    }

    /// Takes a state into force on every machine.
    pub(crate) fn take_state(&mut self, state: &sync::Arc<note::StateInForce>) {
        let state = || sync::Arc::clone(state);
        self.owner
            .handle(self.now, place::Input::State(state()), &mut Vec::new());
        self.flows
            .handle(self.now, flow::Input::State(state()), &mut Vec::new());
        self.keeper
            .handle(self.now, call::Input::State(state()), &mut Vec::new());
        self.reconciler
            .handle(self.now, order::Input::State(state()), &mut Vec::new());
    }

    /// Takes a membership on every machine.
    pub(crate) fn take_view(&mut self, view: &sync::Arc<member::MemberView>) {
        let view = || sync::Arc::clone(view);
        self.owner
            .handle(self.now, place::Input::View(view()), &mut Vec::new());
        self.flows
            .handle(self.now, flow::Input::View(view()), &mut Vec::new());
        self.keeper
            .handle(self.now, call::Input::View(view()), &mut Vec::new());
        self.reconciler
            .handle(self.now, order::Input::View(view()), &mut Vec::new());
    }
}
