//! The state machine of engine orders.

mod news;
mod roles;
mod steps;

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{engine_track, input, load_budget, order_report, output, role_planner};

/// Time between two readings of an engine that differs.
const OPEN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Loads a minute that are assumed until the weight store's limit is read.
const DEFAULT_LOADS_PER_MINUTE: u32 = 6;

/// Time before the next order after an engine refused one.
const REFUSAL_REST: time::Duration = time::Duration::from_secs(10);

/// Brings the engines of owned cells to the desired state.
#[derive(Clone, Debug)]
pub struct OrderReconciler {
    own: ids::InstanceId,
    rng: rand_chacha::ChaCha8Rng,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    members: place::RegionMembers,
    cells: place::CellMap,
    tracks: collections::BTreeMap<ids::ServerName, engine_track::EngineTrack>,
    planners: collections::BTreeMap<ids::CellId, role_planner::RolePlanner>,
    budget: load_budget::LoadBudget,
}

impl OrderReconciler {
    /// Makes a reconciler without engines.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self {
            own,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            members: place::RegionMembers::default(),
            cells: place::CellMap::default(),
            tracks: collections::BTreeMap::new(),
            planners: collections::BTreeMap::new(),
            budget: load_budget::LoadBudget::new(DEFAULT_LOADS_PER_MINUTE),
        }
    }

    /// Returns the orders that aren't settled.
    #[must_use]
    pub fn open_orders(&self, now: clock::Timestamp) -> Vec<order_report::OrderReport> {
        self.tracks
            .iter()
            .filter_map(|(engine, track)| {
                track.open.as_ref().map(|open| order_report::OrderReport {
                    engine: engine.clone(),
                    order: open.number,
                    action: open.action.clone(),
                    age: now.since(open.sent_at),
                })
            })
            .collect()
    }

    /// Returns when the reconciler wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        self.tracks
            .values()
            .map(|track| track.read_at)
            .min()
            .unwrap_or(clock::Timestamp::MAX)
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
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
                    self.refresh_tracks(now, outputs);
                }
                self.read_changed(now, &before);
            }
            input::Input::View(view) => {
                self.members = place::RegionMembers::of(&view);
                self.view = view;
                self.refresh_tracks(now, outputs);
            }
            input::Input::Status(engine, status) => {
                self.take_status(now, &engine, status, outputs);
            }
            input::Input::Answered(engine, number, answer) => {
                self.take_answer(now, &engine, number, answer);
            }
            input::Input::RunningCount(engine, count) => {
                self.take_busy(now, &engine, count, outputs)
            }
            input::Input::LoadsPerMinute(loads) => self.budget.set_limit(now, loads),
            input::Input::PrefillDemand(cell, count) => {
                self.planners
                    .entry(cell)
                    .or_default()
                    .take_demand(now, count);
            }
            input::Input::Wake => self.read_due(now, outputs),
        }
    }

    /// Follows the cells that this instance owns; a track starts anew with ownership.
    fn refresh_tracks(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let mut tracks = collections::BTreeMap::new();
        let mut owned = 0;
        for cell in self.cells.cells().values() {
            if self.members.owner(cell) != Some(self.own) {
                continue;
            }
            owned += 1;
            for engine in &cell.engines {
                let track = self
                    .tracks
                    .remove(engine)
                    .unwrap_or_else(|| engine_track::EngineTrack::new(now, cell.id));
                tracks.insert(engine.clone(), track);
            }
        }
        for (engine, track) in &self.tracks {
            if track.drained_since.is_some() {
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
        }
        self.tracks = tracks;
        self.planners
            .retain(|cell, _| self.cells.get(*cell).is_some());
        self.budget.set_share(now, owned, self.cells.cells().len());
    }

    /// Reads soon the engines of which a note may ask something else than before.
    fn read_changed(&mut self, now: clock::Timestamp, before: &note::StateInForce) {
        let soon = now + OPEN_INTERVAL;
        let after = &self.state;
        for (_, new) in before.engines.changes(&after.engines) {
            let track = new.and_then(|engine| self.tracks.get_mut(&engine.name));
            if let Some(track) = track {
                track.read_at = track.read_at.min(soon);
            }
        }
        for (_, new) in before.models.changes(&after.models) {
            let Some(model) = new else { continue };
            for (engine, track) in &mut self.tracks {
                let entry = after.engines.get(engine);
                if entry.is_some_and(|entry| entry.models.contains(&model.name)) {
                    track.read_at = track.read_at.min(soon);
                }
            }
        }
    }

    fn read_due(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        self.choose_roles(now);
        for (engine, track) in &mut self.tracks {
            if track.read_at > now {
                continue;
            }
            track.read_at = now + OPEN_INTERVAL;
            outputs.push(output::Output::ReadStatus(engine.clone()));
            if track.drained_since.is_some() {
                outputs.push(output::Output::ReadRunning(engine.clone()));
            }
        }
    }
}
