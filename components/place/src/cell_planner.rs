//! Plans the placements of one owned cell.

use std::time;

use crate::{
    cell, cell_state, held_lease, lease_phase, lease_recovery, message, output, owner_context,
    pending_request, placement, placement_policy, placement_request, policy_decision,
    poll_schedule, prefix_hints, refusal, refusal_reason, request_queue, role_demand, work_key,
    workspace_shares,
};

/// Time after the placement within which the entry must start prefill.
///
/// The entry sends several lease digests in this time. The owner itself ends unconfirmed leases
/// after the timeouts in `orphan_cleanup`.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(12);

/// Retry delay of refusals that are not issued by the policy's admission check.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Cost of a prompt token relative to an output token in the workspace shares.
const PROMPT_TOKEN_COST: f64 = 0.02;

/// Shortest interval between policy decisions for a waiting request when nothing has changed.
const DECISION_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// Number of requests kept waiting by the policy at which a dispatch stops.
///
/// A limit above one lets a request pass the first one, which reduces head-of-line blocking.
const SKIP_LIMIT: usize = 2;

/// Plans the placements of one owned cell.
pub struct CellPlanner {
    /// Description of the cell.
    pub cell: cell::Cell,
    /// Leases and engine states of the cell.
    pub cell_state: cell_state::CellState,
    /// Queue of placement requests.
    pub queue: request_queue::RequestQueue,
    /// Progress of lease recovery after a takeover; `None` when recovery is complete.
    pub recovery: Option<lease_recovery::LeaseRecovery>,
    /// Schedule of the polls of the engines.
    pub polls: poll_schedule::PollSchedule,
    /// Demand for prefill and decode engines.
    pub demand: role_demand::RoleDemand,
    pub(crate) policy: Box<dyn placement_policy::PlacementPolicy>,
    budget: retry::RetryBudget,
    shares: workspace_shares::WorkspaceShares,
    /// Random number that distinguishes the lease ids of this planner from those of earlier ones.
    term: u64,
    granted_count: u64,
    /// Time of the next policy decision for a waiting request.
    pub(crate) next_decision: clock::Timestamp,
}

impl CellPlanner {
    /// Creates the planner of a newly owned cell and starts the recovery of its leases.
    pub fn new(
        now: clock::Timestamp,
        cell: cell::Cell,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) -> Self {
        let mut cell_state = cell_state::CellState::default();
        cell_state.set_engines(&cell.engines, &context.state);
        let seed = context.draw();
        let mut planner = Self {
            cell,
            cell_state,
            queue: request_queue::RequestQueue::default(),
            recovery: None,
            polls: poll_schedule::PollSchedule::new(now),
            demand: role_demand::RoleDemand::default(),
            policy: context.policy.create(seed),
            budget: retry::RetryBudget::default(),
            shares: workspace_shares::WorkspaceShares::default(),
            term: context.draw(),
            granted_count: 0,
            next_decision: clock::Timestamp::MAX,
        };
        planner.start_recovery(now, context, outputs);
        planner
    }

    /// Handles a placement request: grants or refuses it immediately, or queues it.
    ///
    /// A duplicate of a granted request is answered with the existing placement; a duplicate of a
    /// waiting or ended one is ignored.
    pub fn handle_request(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: placement_request::PlacementRequest,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let work = work_key::WorkKey {
            request: request.request,
            attempt: request.attempt,
        };
        if self.queue.contains(work) || self.cell_state.ended.ended_at(work).is_some() {
            return;
        }
        if let Some(key) = self.cell_state.lease_of_work(work) {
            self.send_placed(now, key, outputs);
            return;
        }
        match self.admit(now, from, request, context) {
            Ok(pending) => {
                self.queue.push(pending);
                self.dispatch(now, context, outputs);
            }
            Err(refusal) => outputs.push(output::Output::Send(
                from,
                message::Message::Refused(refusal),
            )),
        }
        self.evict_excess(outputs);
    }

    /// Cancels a placement request or releases the lease that was granted for it.
    pub fn withdraw(&mut self, now: clock::Timestamp, work: work_key::WorkKey) {
        if self.queue.remove(work).is_some() {
            self.cell_state.ended.insert(now, work, None);
        } else if let Some(key) = self.cell_state.lease_of_work(work) {
            self.cell_state.remove(now, key);
        } else {
            self.cell_state.ended.insert(now, work, None);
        }
    }

    /// Grants and refuses waiting requests as far as the policy can decide now.
    pub fn dispatch(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next_decision = clock::Timestamp::MAX;
        if self.queue.is_empty() {
            return;
        }
        self.cell_state.refresh_rates(now);
        self.refuse_overdue(now, outputs);
        let mut skipped = 0;
        while skipped < SKIP_LIMIT {
            let Some(pending) = self.queue.iter().nth(skipped) else {
                return;
            };
            let work = pending.work();
            match self.policy.decide(now, &self.cell_state, pending) {
                policy_decision::PolicyDecision::Start(plan) => {
                    if let Some(pending) = self.queue.remove(work) {
                        self.grant(now, pending, plan, context, outputs);
                    }
                }
                policy_decision::PolicyDecision::Refuse(reason) => {
                    self.refuse_waiting(work, reason, outputs);
                }
                policy_decision::PolicyDecision::Wait(until) => {
                    let until = until.max(now + DECISION_INTERVAL);
                    self.next_decision = self.next_decision.min(until);
                    skipped += 1;
                }
            }
        }
    }

    /// Applies a changed description of the cell and of its engines.
    pub fn update_cell(
        &mut self,
        now: clock::Timestamp,
        cell: &cell::Cell,
        context: &owner_context::OwnerContext,
    ) {
        self.cell.clone_from(cell);
        self.cell_state.set_engines(&cell.engines, &context.state);
        self.polls.wake_at(now);
    }

    /// Schedules a poll of the running list of every engine.
    pub fn poll_all_running_lists(&mut self, now: clock::Timestamp) {
        let keys: Vec<crate::keys::EngineKey> =
            self.cell_state.engines().map(|(key, _)| key).collect();
        for key in keys {
            self.polls.poll_running_at(key, now);
        }
    }

    /// Runs the polls, recovery steps and policy decisions that are due.
    pub fn wake(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let interval = self.policy.report_interval();
        self.polls
            .emit_due(now, &self.cell_state, interval, outputs);
        self.update_recovery(now, context);
        if now >= self.next_decision {
            self.dispatch(now, context, outputs);
        }
    }

    /// Refuses all waiting requests.
    pub fn refuse_all(
        &mut self,
        reason: refusal_reason::RefusalReason,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some(work) = self
            .queue
            .first()
            .map(pending_request::PendingRequest::work)
        {
            self.refuse_waiting(work, reason, outputs);
        }
    }

    /// Sends the placement of a lease to its entry instance.
    pub fn send_placed(
        &self,
        now: clock::Timestamp,
        key: crate::keys::LeaseKey,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(lease) = self.cell_state.lease(key) else {
            return;
        };
        let engines = [lease.prefill, lease.decode].map(|engine| self.cell_state.engine(engine));
        let [Some(prefill), Some(decode)] = engines else {
            return;
        };
        let placement = placement::Placement::builder()
            .request(lease.work.request)
            .attempt(lease.work.attempt)
            .lease(lease.id)
            .prefill(prefill.entry.name.clone())
            .decode(decode.entry.name.clone())
            .kv_pieces(lease.kv_pieces)
            .start_in(lease.start_at.since(now))
            .expires_in(LEASE_DURATION)
            .build();
        outputs.push(output::Output::Send(
            lease.entry,
            message::Message::Placed(placement),
        ));
    }

    fn admit(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: placement_request::PlacementRequest,
        context: &owner_context::OwnerContext,
    ) -> Result<pending_request::PendingRequest, refusal::Refusal> {
        let class = generation_class(context, &request.class);
        if let Some(class) = class {
            self.cell_state.output_estimator_mut(&request.class, class);
        }
        let refuse = |reason, retry_after| refusal::Refusal {
            request: request.request,
            attempt: request.attempt,
            reason,
            retry_after,
        };
        if !request.is_retry {
            self.budget.earn();
        } else if !self.budget.spend() {
            return Err(refuse(
                refusal_reason::RefusalReason::RetryBudget,
                RETRY_DELAY,
            ));
        }
        let pending = self.create_pending(now, from, request.clone(), class);
        let replaces = self.queue.replaceable_by(&pending).is_some();
        if self.queue.is_full() && !replaces {
            return Err(refuse(
                refusal_reason::RefusalReason::QueueFull,
                RETRY_DELAY,
            ));
        }
        self.cell_state.refresh_rates(now);
        let ahead = self.queue.backlog_ahead(&pending);
        match self.policy.admit(now, &self.cell_state, ahead, &pending) {
            policy_decision::AdmissionDecision::Admit => Ok(pending),
            policy_decision::AdmissionDecision::Refuse {
                reason,
                retry_after,
            } => Err(refuse(reason, retry_after)),
        }
    }

    fn create_pending(
        &self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        request: placement_request::PlacementRequest,
        class: Option<&note::GenerationClass>,
    ) -> pending_request::PendingRequest {
        let can_wait = class.map_or(0, |class| u64::from(class.can_wait_ms));
        let deadline = now + request.first_token_within + time::Duration::from_millis(can_wait);
        let tokens = request.prompt_tokens.saturating_add(request.max_tokens);
        let cached = self
            .cell_state
            .hints
            .expected_tokens(now, &request.prefix_blocks);
        let most_cached = cached.iter().map(|(_, tokens)| *tokens).max();
        let uncached = prefix_hints::uncached(request.prompt_tokens, most_cached.unwrap_or(0));
        let prefill_engines = self
            .cell_state
            .engines()
            .filter(|(_, engine)| engine.may_prefill());
        let duration = prefill_engines
            .map(|(_, engine)| engine.prefill_duration(uncached))
            .min();
        pending_request::PendingRequest::builder()
            .from(from)
            .deadline(deadline)
            .pace_ms(class.map_or(0, |class| class.token_pace_ms))
            .priority(class.map_or(0, |class| class.priority))
            .kv_pieces(tokens.div_ceil(note::KV_PIECE_TOKENS))
            .prefill_duration(duration.unwrap_or_default())
            .over_share(self.shares.is_over(&request.workspace))
            .request(request)
            .build()
    }

    fn grant(
        &mut self,
        now: clock::Timestamp,
        pending: pending_request::PendingRequest,
        plan: policy_decision::PlacementPlan,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        self.granted_count += 1;
        let lease = held_lease::HeldLease::builder()
            .id(ids::LeaseId {
                owner: context.own,
                term: self.term,
                sequence: self.granted_count,
            })
            .work(pending.work())
            .entry(pending.from)
            .class(pending.request.class.clone())
            .prefill(plan.prefill)
            .decode(plan.decode)
            .kv_pieces(pending.kv_pieces)
            .prompt_tokens(pending.request.prompt_tokens)
            .phase(lease_phase::LeasePhase::Granted)
            .start_at(plan.start_at)
            .prefill_duration(plan.prefill_duration)
            .confirmed_at(now)
            .progress_at(now)
            .build();
        let Some(key) = self.cell_state.insert(lease) else {
            return;
        };
        self.reserve_link(plan);
        let stored_at = plan.start_at + plan.prefill_duration;
        for block in &pending.request.prefix_blocks {
            self.cell_state
                .hints
                .record_stored(plan.prefill, *block, stored_at);
        }
        self.charge_workspace(now, &pending, context);
        self.send_placed(now, key, outputs);
    }

    fn reserve_link(&mut self, plan: policy_decision::PlacementPlan) {
        for key in [plan.prefill, plan.decode] {
            if let Some(engine) = self.cell_state.engine_mut(key) {
                engine.link_until = engine.link_until.max(plan.transfer_end);
            }
        }
    }

    fn charge_workspace(
        &mut self,
        now: clock::Timestamp,
        pending: &pending_request::PendingRequest,
        context: &owner_context::OwnerContext,
    ) {
        let workspace = &pending.request.workspace;
        let weight = context
            .state
            .workspaces
            .get(workspace)
            .map_or(1, |entry| entry.weight);
        let output_estimator = self.cell_state.output_estimator(&pending.request.class);
        let output = output_estimator.map_or(0.0, crate::output_estimator::OutputEstimator::mean);
        let cost = output + f64::from(pending.request.prompt_tokens) * PROMPT_TOKEN_COST;
        self.shares.add(now, workspace, weight, cost);
    }

    /// Refuses the last requests until the queue is below its limit.
    fn evict_excess(&mut self, outputs: &mut Vec<output::Output>) {
        while self.queue.is_full() {
            let Some(work) = self.queue.last_work() else {
                return;
            };
            let reason = refusal_reason::RefusalReason::QueueFull;
            self.refuse_waiting(work, reason, outputs);
        }
    }

    /// Refuses the first requests of the bands while their deadline has passed.
    ///
    /// A request that was sent at or after its first-token deadline is refused even if its class
    /// allows a longer wait.
    fn refuse_overdue(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        loop {
            let overdue = self.queue.first_of_bands().find(|pending| {
                pending.request.first_token_within.is_zero() || pending.deadline <= now
            });
            let Some(work) = overdue.map(pending_request::PendingRequest::work) else {
                return;
            };
            let reason = refusal_reason::RefusalReason::FirstTokenLate;
            self.refuse_waiting(work, reason, outputs);
        }
    }

    fn refuse_waiting(
        &mut self,
        work: work_key::WorkKey,
        reason: refusal_reason::RefusalReason,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(pending) = self.queue.remove(work) else {
            return;
        };
        let refusal = refusal::Refusal {
            request: work.request,
            attempt: work.attempt,
            reason,
            retry_after: RETRY_DELAY,
        };
        outputs.push(output::Output::Send(
            pending.from,
            message::Message::Refused(refusal),
        ));
    }
}

/// Returns the settings of a request class if it targets a model.
pub fn generation_class<'context>(
    context: &'context owner_context::OwnerContext,
    name: &ids::ClassName,
) -> Option<&'context note::GenerationClass> {
    match &context.state.classes.get(name)?.target {
        note::ClassTarget::Generation(class) => Some(class),
        note::ClassTarget::Call(_) => None,
    }
}
