//! State machine that reconciles engines by orders.

mod reports;
mod roles;
mod steps;

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{engine_record, input, load_budget, order_report, output, role_planner};

/// Interval of status reads of an engine that differs from the desired state.
const PENDING_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Loads per minute assumed until the weight store's limit is read.
const DEFAULT_LOADS_PER_MINUTE: u32 = 6;

/// Time before the next order after a refusal or a drain timeout.
const ORDER_BACKOFF: time::Duration = time::Duration::from_secs(10);

/// Reconciles the engines of owned cells with the desired state of the release notes.
#[derive(Clone, Debug)]
pub struct OrderReconciler {
    own: ids::InstanceId,
    rng: rand_chacha::ChaCha8Rng,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    members: place::RegionMembers,
    cells: place::CellMap,
    records: collections::BTreeMap<ids::ServerName, engine_record::EngineRecord>,
    planners: collections::BTreeMap<ids::CellId, role_planner::RolePlanner>,
    budget: load_budget::LoadBudget,
}

impl OrderReconciler {
    /// Creates a reconciler without engines.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self {
            own,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            members: place::RegionMembers::default(),
            cells: place::CellMap::default(),
            records: collections::BTreeMap::new(),
            planners: collections::BTreeMap::new(),
            budget: load_budget::LoadBudget::new(DEFAULT_LOADS_PER_MINUTE),
        }
    }

    /// Returns the orders that are not confirmed yet.
    #[must_use]
    pub fn open_orders(&self, now: clock::Timestamp) -> Vec<order_report::OrderReport> {
        self.records
            .iter()
            .filter_map(|(engine, record)| {
                record.open.as_ref().map(|open| order_report::OrderReport {
                    engine: engine.clone(),
                    order: open.number,
                    action: open.action.clone(),
                    age: now.since(open.sent_at),
                })
            })
            .collect()
    }

    /// Returns the time of the next due status read.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        self.records
            .values()
            .map(|record| record.next_poll)
            .min()
            .unwrap_or(clock::Timestamp::MAX)
    }

    /// Handles one input at `now` and appends the resulting actions to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => {
                let before = std::mem::replace(&mut self.state, state);
                if self.cells.update(&self.state) {
                    self.refresh_records(now, outputs);
                }
                self.poll_changed(now, &before);
            }
            input::Input::View(view) => {
                self.members = place::RegionMembers::of(&view);
                self.view = view;
                self.refresh_records(now, outputs);
            }
            input::Input::Status(engine, status) => {
                self.handle_status(now, &engine, status, outputs);
            }
            input::Input::Answered(engine, number, answer) => {
                self.handle_answer(now, &engine, number, answer);
            }
            input::Input::RunningCount(engine, count) => {
                self.handle_running_count(now, &engine, count, outputs)
            }
            input::Input::LoadsPerMinute(loads) => self.budget.set_limit(now, loads),
            input::Input::PrefillDemand(cell, count) => {
                self.planners
                    .entry(cell)
                    .or_default()
                    .set_demand(now, count);
            }
            input::Input::Wake => self.poll_due(now, outputs),
        }
    }

    /// Rebuilds the records for the engines of owned cells and updates the share of the load budget.
    ///
    /// Each new ownership starts a new record. The end of an ownership also ends the drain of the
    /// engine by this instance.
    fn refresh_records(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let mut records = collections::BTreeMap::new();
        let mut owned = 0;
        for cell in self.cells.cells().values() {
            if self.members.owner(cell) != Some(self.own) {
                continue;
            }
            owned += 1;
            for engine in &cell.engines {
                let record = self
                    .records
                    .remove(engine)
                    .unwrap_or_else(|| engine_record::EngineRecord::new(now, cell.id));
                records.insert(engine.clone(), record);
            }
        }
        for (engine, record) in &self.records {
            if record.draining_since.is_some() {
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
        }
        self.records = records;
        self.planners
            .retain(|cell, _| self.cells.get(*cell).is_some());
        self.budget.set_share(now, owned, self.cells.cells().len());
    }

    /// Schedules an early status read of the engines whose desired state may have changed.
    fn poll_changed(&mut self, now: clock::Timestamp, before: &note::StateInForce) {
        let soon = now + PENDING_POLL_INTERVAL;
        let after = &self.state;
        for (_, new) in before.engines.changes(&after.engines) {
            let record = new.and_then(|engine| self.records.get_mut(&engine.name));
            if let Some(record) = record {
                record.next_poll = record.next_poll.min(soon);
            }
        }
        for (_, new) in before.models.changes(&after.models) {
            let Some(model) = new else { continue };
            for (engine, record) in &mut self.records {
                let entry = after.engines.get(engine);
                if entry.is_some_and(|entry| entry.models.contains(&model.name)) {
                    record.next_poll = record.next_poll.min(soon);
                }
            }
        }
    }

    fn poll_due(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.assign_roles(now);
        for (engine, record) in &mut self.records {
            if record.next_poll > now {
                continue;
            }
            record.next_poll = now + PENDING_POLL_INTERVAL;
            outputs.push(output::Output::ReadStatus(engine.clone()));
            if record.draining_since.is_some() {
                outputs.push(output::Output::ReadRunning(engine.clone()));
            }
        }
    }
}
