//! The owner's part of placement.

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{
    cell, cell_map, cell_planner, input, lease_update, message, output, owner_context, place_ask,
    policy_kind, refusal, refusal_reason, region_members, spare_news, work_key,
};

/// Time between two sweeps over the leases.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after which a caller may ask again whose entry asked the wrong instance.
const RETRY_SOON: time::Duration = time::Duration::from_millis(250);

/// Decides placements for the cells that this instance owns.
pub struct CellOwner {
    context: owner_context::OwnerContext,
    map: cell_map::CellMap,
    members: region_members::RegionMembers,
    owned: collections::BTreeMap<ids::CellId, cell::Cell>,
    planners: collections::BTreeMap<ids::CellId, cell_planner::CellPlanner>,
    spares: collections::BTreeMap<ids::CellId, spare_news::SpareNews>,
    next_sweep: clock::Timestamp,
}

impl CellOwner {
    /// Makes an owner without cells.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self::with_policy(own, seed, policy_kind::PolicyKind::default())
    }

    /// Makes an owner without cells that places by `policy`.
    #[must_use]
    pub fn with_policy(own: ids::InstanceId, seed: u64, policy: policy_kind::PolicyKind) -> Self {
        let context = owner_context::OwnerContext {
            own,
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            news: crate::entry_news::EntryNews::default(),
            policy,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            context,
            map: cell_map::CellMap::default(),
            members: region_members::RegionMembers::default(),
            owned: collections::BTreeMap::new(),
            planners: collections::BTreeMap::new(),
            spares: collections::BTreeMap::new(),
            next_sweep: clock::Timestamp::default(),
        }
    }

    /// Returns the cells that this instance owns.
    #[must_use]
    pub const fn owned(&self) -> &collections::BTreeMap<ids::CellId, cell::Cell> {
        &self.owned
    }

    /// Returns the planner of an owned cell.
    #[must_use]
    pub fn planner(&self, cell: ids::CellId) -> Option<&cell_planner::CellPlanner> {
        self.planners.get(&cell)
    }

    /// Returns when the owner wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let planners = self.planners.values().flat_map(|planner| {
            let takeover = planner.takeover.as_ref().map(|wait| wait.until());
            [
                planner.next_try,
                planner.reads.next_wake(),
                takeover.unwrap_or(clock::Timestamp::MAX),
                self.next_sweep,
            ]
        });
        planners.min().unwrap_or(clock::Timestamp::MAX)
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
                self.context.state = sync::Arc::clone(&state);
                if self.map.update(&state) {
                    self.refresh_owned();
                }
                self.refresh_cells(now, outputs);
            }
            input::Input::View(view) => self.take_view(now, view, outputs),
            input::Input::Message(from, message) => self.take_message(now, from, message, outputs),
            input::Input::Load(name, Some(report)) => {
                self.with_engine(&name, |planner, _, key| {
                    if let Some(engine) = planner.cell_state.engine_mut(key) {
                        engine.load = Some((now, report));
                    }
                });
            }
            input::Input::Load(_, None) => {}
            input::Input::Running(name, list) => {
                self.with_engine(&name, |planner, context, key| {
                    planner.take_running(now, key, list, context, outputs);
                    planner.dispatch(now, context, outputs);
                });
            }
            input::Input::CacheEvents(name, events) => {
                self.with_engine(&name, |planner, _, key| {
                    take_events(now, planner, key, &events);
                });
            }
            input::Input::Role(name, role) => {
                self.with_engine(&name, |planner, _, key| {
                    if let Some(engine) = planner.cell_state.engine_mut(key) {
                        engine.role = role;
                    }
                });
            }
            input::Input::Drain(name, drained) => {
                self.with_engine(&name, |planner, _, key| {
                    if let Some(engine) = planner.cell_state.engine_mut(key) {
                        engine.drained = drained;
                    }
                });
            }
            input::Input::Wake => self.wake(now, outputs),
        }
    }

    fn take_view(
        &mut self,
        now: clock::Timestamp,
        view: sync::Arc<member::MemberView>,
        outputs: &mut Vec<output::Output>,
    ) {
        let refreshed = view.fresh && !self.context.view.fresh;
        let lost = has_lost(&self.context.view, &view);
        self.context.view = view;
        if refreshed {
            // Others may have owned the cells while this instance was paused.
            self.disown_all(outputs);
        }
        self.members = region_members::RegionMembers::of(&self.context.view);
        self.refresh_owned();
        self.refresh_cells(now, outputs);
        for planner in self.planners.values_mut() {
            planner.sweep(now, &mut self.context, outputs);
            planner.settle_takeover(now, &self.context);
            if lost {
                planner.read_all_running(now);
            }
        }
    }

    fn disown_all(&mut self, outputs: &mut Vec<output::Output>) {
        for planner in self.planners.values_mut() {
            planner.refuse_all(refusal_reason::RefusalReason::NotOwner, outputs);
        }
        self.planners.clear();
        self.owned.clear();
    }

    /// Finds the cells that this instance owns.
    fn refresh_owned(&mut self) {
        let own = self.context.own;
        self.owned = self
            .map
            .cells()
            .iter()
            .filter(|(_, cell)| self.members.owner(cell) == Some(own))
            .map(|(id, cell)| (*id, cell.clone()))
            .collect();
    }

    /// Gives the owned cells to their planners as they are now.
    fn refresh_cells(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let lost: Vec<ids::CellId> = self
            .planners
            .keys()
            .filter(|id| !self.owned.contains_key(id))
            .copied()
            .collect();
        for id in lost {
            if let Some(mut planner) = self.planners.remove(&id) {
                planner.refuse_all(refusal_reason::RefusalReason::NotOwner, outputs);
            }
            self.spares.remove(&id);
        }
        for (id, cell) in &self.owned {
            match self.planners.get_mut(id) {
                Some(planner) => planner.take_cell(now, cell, &self.context),
                None => {
                    let planner = cell_planner::CellPlanner::new(
                        now,
                        cell.clone(),
                        &mut self.context,
                        outputs,
                    );
                    self.planners.insert(*id, planner);
                }
            }
        }
    }

    fn take_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Ask(ask) => self.take_ask(now, from, ask, outputs),
            message::Message::Withdraw(request, attempt) => {
                let work = work_key::WorkKey { request, attempt };
                for planner in self.planners.values_mut() {
                    planner.withdraw(now, work);
                    planner.dispatch(now, &self.context, outputs);
                }
            }
            message::Message::Updates(updates) => self.take_updates(now, from, &updates, outputs),
            message::Message::Holding(cell, digest) => {
                if let Some(planner) = self.planners.get_mut(&cell) {
                    planner.take_holding(now, from, digest, &mut self.context, outputs);
                }
            }
            message::Message::Retarget(ask) => {
                let planner = self
                    .planners
                    .values_mut()
                    .find(|planner| planner.cell_state.lease_of_id(ask.lease).is_some());
                match planner {
                    Some(planner) => planner.retarget(now, from, &ask, outputs),
                    None => outputs.push(refused(
                        from,
                        ask.request,
                        ask.attempt,
                        refusal_reason::RefusalReason::NotOwner,
                    )),
                }
            }
            message::Message::Claims(cell, claims, last) => {
                if last {
                    self.context.news.note_list(now, cell, from);
                }
                if let Some(planner) = self.planners.get_mut(&cell) {
                    planner.take_claims(now, from, claims, last, &self.context);
                    planner.dispatch(now, &self.context, outputs);
                }
            }
            _ => {}
        }
    }

    fn take_ask(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        ask: place_ask::PlaceAsk,
        outputs: &mut Vec<output::Output>,
    ) {
        let planner = self.planners.get_mut(&ask.cell);
        match planner.filter(|_| self.context.view.fresh) {
            Some(planner) => planner.take_ask(now, from, ask, &self.context, outputs),
            None => outputs.push(refused(
                from,
                ask.request,
                ask.attempt,
                refusal_reason::RefusalReason::NotOwner,
            )),
        }
    }

    fn take_updates(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        updates: &[lease_update::LeaseUpdate],
        outputs: &mut Vec<output::Output>,
    ) {
        let mut unknown = false;
        for update in updates {
            let known = self
                .planners
                .values_mut()
                .any(|planner| planner.take_update(now, update, &self.context));
            let holds = update.phase < crate::LeasePhase::Released;
            if !known && holds {
                self.context.news.note_mention(now, update.request);
                unknown = true;
            }
        }
        let cells: Vec<ids::CellId> = self.planners.keys().copied().collect();
        for cell in cells.into_iter().filter(|_| unknown) {
            self.context.want_claims(now, cell, from, outputs);
        }
        for planner in self.planners.values_mut() {
            planner.dispatch(now, &self.context, outputs);
        }
    }

    fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        let sweep = now >= self.next_sweep;
        if sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        for (id, planner) in &mut self.planners {
            planner.wake(now, &self.context, outputs);
            if sweep {
                planner.sweep(now, &mut self.context, outputs);
                if let Some(count) = planner.demand.sample(now, &planner.cell_state) {
                    outputs.push(output::Output::PrefillDemand(*id, count));
                }
                // Where there is one cell only, an entry has no choice to make.
                if self.map.cells().len() > 1 {
                    let spare = self.spares.entry(*id).or_default();
                    spare.emit_due(now, planner, &self.context, outputs);
                }
            }
        }
    }

    fn with_engine(
        &mut self,
        name: &ids::ServerName,
        act: impl FnOnce(
            &mut cell_planner::CellPlanner,
            &owner_context::OwnerContext,
            crate::keys::EngineKey,
        ),
    ) {
        let found = self.planners.values_mut().find_map(|planner| {
            planner
                .cell_state
                .engine_key(name)
                .map(|key| (planner, key))
        });
        if let Some((planner, key)) = found {
            act(planner, &self.context, key);
        }
    }
}

/// Returns whether an instance that was there before is dead or gone now.
fn has_lost(before: &member::MemberView, after: &member::MemberView) -> bool {
    let is_there = |view: &member::MemberView, id: &ids::InstanceId| {
        let known = view.members.get(id);
        known.is_some_and(|member| member.state != member::MemberState::Dead)
    };
    before
        .members
        .keys()
        .any(|id| is_there(before, id) && !is_there(after, id))
}

fn take_events(
    now: clock::Timestamp,
    planner: &mut cell_planner::CellPlanner,
    key: crate::keys::EngineKey,
    events: &[border::CacheEvent],
) {
    for event in events {
        let at = now.before(time::Duration::from_millis(u64::from(event.age_ms)));
        if event.stored {
            planner.cell_state.hints.note_stored(key, event.block, at);
        } else {
            planner.cell_state.hints.note_evicted(key, event.block, at);
        }
        planner.reads.note_event(key, event.sequence);
    }
}

const fn refused(
    to: ids::InstanceId,
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
    reason: refusal_reason::RefusalReason,
) -> output::Output {
    output::Output::Send(
        to,
        message::Message::Refused(refusal::Refusal {
            request,
            attempt,
            reason,
            retry_after: RETRY_SOON,
        }),
    )
}
