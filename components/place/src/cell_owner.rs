//! The state machine that places requests on the engines of the cells that one instance owns.

use std::{collections, sync, time};

use rand::SeedableRng as _;

use crate::{
    capacity_publisher, cell, cell_map, cell_planner, input, lease_update, message, output,
    owner_context, placement_request, policy_kind, refusal, refusal_reason, region_members,
    work_key,
};

/// Interval between sweeps for abandoned leases; each also checks whether a demand sample and a
/// capacity update are due.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Retry delay returned with a refusal because this instance does not own the cell.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Places requests on the engines of the cells that this instance owns.
pub struct CellOwner {
    context: owner_context::OwnerContext,
    map: cell_map::CellMap,
    members: region_members::RegionMembers,
    owned: collections::BTreeMap<ids::CellId, cell::Cell>,
    planners: collections::BTreeMap<ids::CellId, cell_planner::CellPlanner>,
    capacity_publishers: collections::BTreeMap<ids::CellId, capacity_publisher::CapacityPublisher>,
    next_sweep: clock::Timestamp,
}

impl CellOwner {
    /// Creates an owner without cells that uses the default policy.
    #[must_use]
    pub fn new(own: ids::InstanceId, seed: u64) -> Self {
        Self::with_policy(own, seed, policy_kind::PolicyKind::default())
    }

    /// Creates an owner without cells that uses `policy`.
    #[must_use]
    pub fn with_policy(own: ids::InstanceId, seed: u64, policy: policy_kind::PolicyKind) -> Self {
        let context = owner_context::OwnerContext {
            own,
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            entry_updates: crate::entry_updates::EntryUpdates::default(),
            policy,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            context,
            map: cell_map::CellMap::default(),
            members: region_members::RegionMembers::default(),
            owned: collections::BTreeMap::new(),
            planners: collections::BTreeMap::new(),
            capacity_publishers: collections::BTreeMap::new(),
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

    /// Returns the time at which [`Input::Wake`](input::Input::Wake) is next due.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let planners = self.planners.values().flat_map(|planner| {
            let recovery = planner
                .recovery
                .as_ref()
                .map(|recovery| recovery.deadline());
            [
                planner.next_decision,
                planner.polls.next_wake(),
                recovery.unwrap_or(clock::Timestamp::MAX),
                self.next_sweep,
            ]
        });
        planners.min().unwrap_or(clock::Timestamp::MAX)
    }

    /// Handles one input at time `now` and appends the resulting actions to `outputs`.
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
                    self.update_owned();
                }
                self.update_planners(now, outputs);
            }
            input::Input::View(view) => self.update_view(now, view, outputs),
            input::Input::Message(from, message) => {
                self.handle_message(now, from, message, outputs)
            }
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
                    planner.apply_running_list(now, key, list, context, outputs);
                    planner.dispatch(now, context, outputs);
                });
            }
            input::Input::CacheEvents(name, events) => {
                self.with_engine(&name, |planner, _, key| {
                    apply_cache_events(now, planner, key, &events);
                });
            }
            input::Input::Role(name, role) => {
                self.with_engine(&name, |planner, _, key| {
                    if let Some(engine) = planner.cell_state.engine_mut(key) {
                        engine.role = role;
                    }
                });
            }
            input::Input::Drain(name, draining) => {
                self.with_engine(&name, |planner, _, key| {
                    if let Some(engine) = planner.cell_state.engine_mut(key) {
                        engine.draining = draining;
                    }
                });
            }
            input::Input::Wake => self.wake(now, outputs),
        }
    }

    fn update_view(
        &mut self,
        now: clock::Timestamp,
        view: sync::Arc<member::MemberView>,
        outputs: &mut Vec<output::Output>,
    ) {
        let refreshed = view.fresh && !self.context.view.fresh;
        let member_lost = has_lost_member(&self.context.view, &view);
        self.context.view = view;
        if refreshed {
            // Other instances may have owned the cells while this instance was paused.
            self.release_all_cells(outputs);
        }
        self.members = region_members::RegionMembers::of(&self.context.view);
        self.update_owned();
        self.update_planners(now, outputs);
        for planner in self.planners.values_mut() {
            planner.sweep(now, &mut self.context, outputs);
            planner.update_recovery(now, &self.context);
            if member_lost {
                planner.poll_all_running_lists(now);
            }
        }
    }

    fn release_all_cells(&mut self, outputs: &mut Vec<output::Output>) {
        for planner in self.planners.values_mut() {
            planner.refuse_all(refusal_reason::RefusalReason::NotOwner, outputs);
        }
        self.planners.clear();
        self.owned.clear();
    }

    /// Recomputes which cells this instance owns.
    fn update_owned(&mut self) {
        let own = self.context.own;
        self.owned = self
            .map
            .cells()
            .iter()
            .filter(|(_, cell)| self.members.owner(cell) == Some(own))
            .map(|(id, cell)| (*id, cell.clone()))
            .collect();
    }

    /// Creates, updates and removes planners to match the owned cells.
    fn update_planners(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
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
            self.capacity_publishers.remove(&id);
        }
        for (id, cell) in &self.owned {
            match self.planners.get_mut(id) {
                Some(planner) => planner.update_cell(now, cell, &self.context),
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

    fn handle_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: message::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            message::Message::Request(request) => self.handle_request(now, from, request, outputs),
            message::Message::Withdraw(request, attempt) => {
                let work = work_key::WorkKey { request, attempt };
                for planner in self.planners.values_mut() {
                    planner.withdraw(now, work);
                    planner.dispatch(now, &self.context, outputs);
                }
            }
            message::Message::Updates(updates) => self.apply_updates(now, from, &updates, outputs),
            message::Message::Holding(cell, digest) => {
                if let Some(planner) = self.planners.get_mut(&cell) {
                    planner.apply_digest(now, from, digest, &mut self.context, outputs);
                }
            }
            message::Message::Retarget(request) => {
                let planner = self
                    .planners
                    .values_mut()
                    .find(|planner| planner.cell_state.lease_of_id(request.lease).is_some());
                match planner {
                    Some(planner) => planner.retarget(now, from, &request, outputs),
                    None => outputs.push(refusal_output(
                        from,
                        request.request,
                        request.attempt,
                        refusal_reason::RefusalReason::NotOwner,
                    )),
                }
            }
            message::Message::Claims(cell, claims, last) => {
                if last {
                    self.context.entry_updates.record_list(now, cell, from);
                }
                if let Some(planner) = self.planners.get_mut(&cell) {
                    planner.apply_claims(now, from, claims, last, &self.context);
                    planner.dispatch(now, &self.context, outputs);
                }
            }
            // All other messages are for entry instances, whose flow table handles them.
            _ => {}
        }
    }

    /// Passes a request to the planner of its cell, or refuses the request if this instance does not
    /// own the cell or its view is stale.
    fn handle_request(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: placement_request::PlacementRequest,
        outputs: &mut Vec<output::Output>,
    ) {
        let planner = self.planners.get_mut(&request.cell);
        match planner.filter(|_| self.context.view.fresh) {
            Some(planner) => planner.handle_request(now, from, request, &self.context, outputs),
            None => outputs.push(refusal_output(
                from,
                request.request,
                request.attempt,
                refusal_reason::RefusalReason::NotOwner,
            )),
        }
    }

    fn apply_updates(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        updates: &[lease_update::LeaseUpdate],
        outputs: &mut Vec<output::Output>,
    ) {
        let mut any_unknown = false;
        for update in updates {
            let is_known = self
                .planners
                .values_mut()
                .any(|planner| planner.apply_update(now, update, &self.context));
            let is_active = update.phase < crate::LeasePhase::Released;
            if !is_known && is_active {
                self.context
                    .entry_updates
                    .record_active_request(now, update.request);
                any_unknown = true;
            }
        }
        // An update does not name its cell, so the claims of all owned cells are requested.
        let cells: Vec<ids::CellId> = self.planners.keys().copied().collect();
        for cell in cells.into_iter().filter(|_| any_unknown) {
            self.context.request_claims(now, cell, from, outputs);
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
                // With a single cell, entries have no cell to select by capacity.
                if self.map.cells().len() > 1 {
                    let capacity_publisher = self.capacity_publishers.entry(*id).or_default();
                    capacity_publisher.emit_due(now, planner, &self.context, outputs);
                }
            }
        }
    }

    fn with_engine(
        &mut self,
        name: &ids::ServerName,
        action: impl FnOnce(
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
            action(planner, &self.context, key);
        }
    }
}

/// Returns whether a live instance of `before` is dead or missing in `after`.
fn has_lost_member(before: &member::MemberView, after: &member::MemberView) -> bool {
    let is_alive = |view: &member::MemberView, id: &ids::InstanceId| {
        let member = view.members.get(id);
        member.is_some_and(|member| member.state != member::MemberState::Dead)
    };
    before
        .members
        .keys()
        .any(|id| is_alive(before, id) && !is_alive(after, id))
}

fn apply_cache_events(
    now: clock::Timestamp,
    planner: &mut cell_planner::CellPlanner,
    key: crate::keys::EngineKey,
    events: &[border::CacheEvent],
) {
    for event in events {
        let at = now.before(time::Duration::from_millis(u64::from(event.age_ms)));
        if event.stored {
            planner.cell_state.hints.record_stored(key, event.block, at);
        } else {
            planner
                .cell_state
                .hints
                .record_evicted(key, event.block, at);
        }
        planner.polls.record_event(key, event.sequence);
    }
}

const fn refusal_output(
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
            retry_after: RETRY_DELAY,
        }),
    )
}
