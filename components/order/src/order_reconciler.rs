//! The state machine of engine orders.

use std::{collections::BTreeMap, sync, time};

use rand::{Rng as _, SeedableRng as _};

use crate::{
    engine_plan, engine_track, fencing_number, input, load_budget, order_gate, order_report,
    output, role_planner,
};

/// Time between two readings of an engine that is as it should be.
const SETTLED_INTERVAL: time::Duration = time::Duration::from_secs(15);

/// Time between two readings of an engine that differs.
const OPEN_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Age up to which a status may be acted on.
const STATUS_SPAN: time::Duration = time::Duration::from_millis(500);

/// Time within which the first byte of an order must leave.
const ORDER_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Time after which an order that the status doesn't show is given again.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time before the next order after an engine refused one.
const REFUSAL_REST: time::Duration = time::Duration::from_secs(10);

/// Longest time for which an engine is drained before it takes work again.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(120);

/// Loads a minute that are assumed until the weight store's limit is read.
const DEFAULT_LOADS_PER_MINUTE: u32 = 6;

/// Brings the engines of owned cells to the desired state.
#[derive(Clone, Debug)]
pub struct OrderReconciler {
    own: ids::InstanceId,
    rng: rand_chacha::ChaCha8Rng,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    cells: place::CellMap,
    tracks: BTreeMap<ids::ServerName, engine_track::EngineTrack>,
    planners: BTreeMap<ids::CellId, role_planner::RolePlanner>,
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
            cells: place::CellMap::default(),
            tracks: BTreeMap::new(),
            planners: BTreeMap::new(),
            budget: load_budget::LoadBudget::new(DEFAULT_LOADS_PER_MINUTE),
        }
    }

    /// Returns the orders that aren't settled.
    #[must_use]
    pub fn open_orders(&self, now: clock::Moment) -> Vec<order_report::OrderReport> {
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
    pub fn next_wake(&self) -> clock::Moment {
        self.tracks
            .values()
            .map(|track| track.read_at)
            .min()
            .unwrap_or(clock::Moment::MAX)
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => {
                self.cells.update(&state);
                self.state = state;
                self.refresh_tracks(now, outputs);
            }
            input::Input::View(view) => {
                self.view = view;
                self.refresh_tracks(now, outputs);
            }
            input::Input::Status(engine, status) => {
                self.take_status(now, &engine, status, outputs);
            }
            input::Input::Answered(engine, number, answer) => {
                self.take_answer(now, &engine, number, answer);
            }
            input::Input::Busy(engine, count) => self.take_busy(now, &engine, count, outputs),
            input::Input::LoadsPerMinute(loads) => self.budget.set_limit(now, loads),
            input::Input::WantPrefill(cell, count) => {
                self.planners
                    .entry(cell)
                    .or_default()
                    .take_demand(now, count);
            }
            input::Input::Wake => self.read_due(now, outputs),
        }
    }

    /// Follows the cells that this instance owns; a track starts anew with ownership.
    fn refresh_tracks(&mut self, now: clock::Moment, outputs: &mut Vec<output::Output>) {
        let mut tracks = BTreeMap::new();
        let mut owned = 0;
        for cell in self.cells.cells().values() {
            if place::cell::owner(cell, &self.view) != Some(self.own) {
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
        for track in tracks.values_mut() {
            // A change may ask something of any engine, so none waits for its next reading.
            track.read_at = track.read_at.min(now + OPEN_INTERVAL);
        }
        self.tracks = tracks;
        self.planners
            .retain(|cell, _| self.cells.get(*cell).is_some());
        self.budget.set_share(now, owned, self.cells.cells().len());
    }

    fn read_due(&mut self, now: clock::Moment, outputs: &mut Vec<output::Output>) {
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

    fn take_busy(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        count: u32,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.busy = Some((now, count));
            self.advance(now, engine, outputs);
        }
    }

    fn take_status(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        status: Option<border::EngineStatus>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let Some(status) = status else {
            return;
        };
        let is_shown = track.open.as_ref().is_some_and(|open| shows(&status, open));
        let is_old = track
            .open
            .as_ref()
            .is_some_and(|open| now.since(open.sent_at) >= ORDER_TIMEOUT);
        if is_shown || is_old {
            track.open = None;
        }
        track.status = Some((now, status));
        self.advance(now, engine, outputs);
    }

    fn take_answer(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        number: u64,
        answer: Option<border::OrderAnswer>,
    ) {
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let is_open = track
            .open
            .as_ref()
            .is_some_and(|open| open.number == number);
        if !is_open {
            return;
        }
        // Only the status tells what an engine did; a lost answer says as little as no answer.
        track.read_at = now;
        track.status = None;
        match answer {
            Some(border::OrderAnswer::Fenced | border::OrderAnswer::Refused) => {
                track.open = None;
                track.rest_until = now + REFUSAL_REST;
            }
            Some(border::OrderAnswer::Done | border::OrderAnswer::Accepted) | None => {}
        }
    }

    /// Does the next step at an engine, if there is one and it is allowed.
    fn advance(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some((step, fencing)) = self.step(now, engine) else {
            return;
        };
        match step {
            engine_plan::PlanStep::Settled => self.settle(now, engine, outputs),
            engine_plan::PlanStep::Order(action) => {
                self.order(now, engine, action, fencing, outputs);
            }
            engine_plan::PlanStep::OrderDrained(action) => {
                self.order_drained(now, engine, action, fencing, outputs);
            }
        }
    }

    fn step(
        &self,
        now: clock::Moment,
        engine: &ids::ServerName,
    ) -> Option<(engine_plan::PlanStep, note::FencingSupport)> {
        let track = self.tracks.get(engine)?;
        let entry = self.state.engines.get(engine)?;
        let status = track.status_since(now.before(STATUS_SPAN))?;
        if track.open.is_some() || now < track.rest_until {
            return None;
        }
        let role = match entry.role {
            note::EngineRole::Flexible => track.wanted_role.unwrap_or(status.role),
            role => role,
        };
        let step = engine_plan::next_step(&self.state, entry, role, status);
        Some((step, entry.fencing))
    }

    fn settle(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        if let Some(track) = self.tracks.get_mut(engine) {
            track.read_at = now + SETTLED_INTERVAL;
            track.wanted_role = None;
            if track.drained_since.take().is_some() {
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
        }
    }

    /// Gives an order to an engine without requests; starts or ends its drain as needed.
    fn order_drained(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        action: border::OrderAction,
        fencing: note::FencingSupport,
        outputs: &mut Vec<output::Output>,
    ) {
        let may_begin = self.may_order(now, engine, fencing) && self.may_drain(engine);
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        match track.drained_since {
            None if may_begin => {
                track.drained_since = Some(now);
                track.read_at = now + OPEN_INTERVAL;
                outputs.push(output::Output::Drain(engine.clone(), true));
            }
            None => {}
            Some(since) if now.since(since) >= DRAIN_LIMIT => {
                track.drained_since = None;
                track.wanted_role = None;
                track.rest_until = now + REFUSAL_REST;
                outputs.push(output::Output::Drain(engine.clone(), false));
            }
            Some(_) if track.is_empty_since_drain() => {
                self.order(now, engine, action, fencing, outputs);
            }
            Some(_) => {}
        }
    }

    fn order(
        &mut self,
        now: clock::Moment,
        engine: &ids::ServerName,
        action: border::OrderAction,
        fencing: note::FencingSupport,
        outputs: &mut Vec<output::Output>,
    ) {
        let is_load = matches!(
            action,
            border::OrderAction::LoadModel(..) | border::OrderAction::LoadAdapter(..)
        );
        if !self.may_order(now, engine, fencing) || (is_load && !self.budget.take(now)) {
            return;
        }
        let incarnation = self.own_incarnation();
        let Some(track) = self.tracks.get_mut(engine) else {
            return;
        };
        let seen = track.status.as_ref().and_then(|(_, status)| status.fence);
        let fence = fencing_number::FencingNumber::following(
            seen,
            self.state.revision,
            self.own,
            incarnation,
        );
        let number = self.rng.next_u64();
        track.open = Some(engine_track::OpenOrder {
            number,
            action: action.clone(),
            sent_at: now,
        });
        track.read_at = now + OPEN_INTERVAL;
        let order = border::EngineOrder {
            order: number,
            fence: fence.to_bits(),
            action,
        };
        outputs.push(output::Output::Order(engine.clone(), order, ORDER_WINDOW));
    }

    fn may_order(
        &self,
        now: clock::Moment,
        engine: &ids::ServerName,
        fencing: note::FencingSupport,
    ) -> bool {
        let has_held = self
            .tracks
            .get(engine)
            .is_some_and(|track| now.since(track.owned_since) >= order_gate::hold_off(fencing));
        has_held && order_gate::allows_orders(&self.view)
    }

    /// Returns whether no other engine of the cell is drained.
    fn may_drain(&self, engine: &ids::ServerName) -> bool {
        let Some(track) = self.tracks.get(engine) else {
            return false;
        };
        !self.tracks.iter().any(|(name, other)| {
            name != engine && other.cell == track.cell && other.drained_since.is_some()
        })
    }

    /// Picks flexible engines for the roles that demand has asked for long enough.
    fn choose_roles(&mut self, now: clock::Moment) {
        let due: Vec<(ids::CellId, note::EngineRole)> = self
            .planners
            .iter()
            .filter_map(|(cell, planner)| Some((*cell, planner.due_role(now)?)))
            .collect();
        for (cell, role) in due {
            let Some(engine) = self.role_candidate(cell, role) else {
                continue;
            };
            if let Some(track) = self.tracks.get_mut(&engine) {
                track.wanted_role = Some(role);
                track.read_at = now;
            }
            if let Some(planner) = self.planners.get_mut(&cell) {
                planner.note_change(now);
            }
        }
    }

    /// Returns a flexible engine that may take `role` without being the last in its present one.
    fn role_candidate(&self, cell: ids::CellId, role: note::EngineRole) -> Option<ids::ServerName> {
        let others: Vec<&ids::ServerName> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.cell == cell && track.open.is_none())
            .filter(|(_, track)| {
                track
                    .status
                    .as_ref()
                    .is_some_and(|(_, status)| status.role != role)
            })
            .map(|(engine, _)| engine)
            .collect();
        if others.len() < 2 {
            return None;
        }
        others
            .into_iter()
            .find(|engine| {
                self.state
                    .engines
                    .get(*engine)
                    .is_some_and(|entry| entry.role == note::EngineRole::Flexible)
            })
            .cloned()
    }

    fn own_incarnation(&self) -> ids::Incarnation {
        self.view
            .members
            .get(&self.own)
            .map_or_else(ids::Incarnation::default, |member| member.incarnation)
    }
}

/// Returns whether a status shows that an order was carried out.
fn shows(status: &border::EngineStatus, open: &engine_track::OpenOrder) -> bool {
    if status.last_order == Some(open.number) {
        return true;
    }
    match &open.action {
        border::OrderAction::LoadModel(model, version) => {
            status.loaded.contains(&(model.clone(), version.clone()))
        }
        border::OrderAction::UnloadModel(model, version) => {
            !status.loaded.contains(&(model.clone(), version.clone()))
        }
        border::OrderAction::LoadAdapter(_, adapter) => status.adapters.contains(adapter),
        border::OrderAction::UnloadAdapter(_, adapter) => !status.adapters.contains(adapter),
        border::OrderAction::TakeRole(role) => status.role == *role,
    }
}
