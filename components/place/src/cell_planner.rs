//! The placements of one owned cell.

use std::time;

use crate::{
    ask_queue, cell, cell_book, held_lease, lease_phase, message, output, owner_context,
    pending_ask, place_ask, placement, placement_policy, policy_choice, prefix_hints, refusal,
    refusal_reason, role_demand, takeover, timed_reads, work_key, workspace_shares,
};

/// Time a lease holds without news.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(12);

/// Time after which a caller may ask again who was refused for want of an owner.
const RETRY_SOON: time::Duration = time::Duration::from_millis(250);

/// Cost of a prompt token against an output token, for the shares of workspaces.
const PROMPT_TOKEN_COST: f64 = 0.02;

/// Shortest time between two tries of an ask when nothing has changed.
const TRY_INTERVAL: time::Duration = time::Duration::from_millis(1);

/// Asks tried in one go, so that one that can't go now holds back few behind it.
const TRY_LIMIT: usize = 2;

/// The placements of one owned cell.
pub struct CellPlanner {
    /// The cell.
    pub cell: cell::Cell,
    /// What is counted of the cell.
    pub cell_state: cell_book::CellBook,
    /// Asks that wait.
    pub queue: ask_queue::AskQueue,
    /// What this owner still waits to learn.
    pub takeover: Option<takeover::TakeoverWait>,
    /// What is read from the engines and when.
    pub reads: timed_reads::TimedReads,
    /// Demand for the roles.
    pub demand: role_demand::RoleDemand,
    pub(crate) policy: Box<dyn placement_policy::PlacementPolicy>,
    budget: retry::RetryBudget,
    shares: workspace_shares::WorkspaceShares,
    term: u64,
    granted: u64,
    /// Time at which a waiting ask is to be looked at again.
    pub(crate) next_try: clock::Timestamp,
}

impl CellPlanner {
    /// Takes a cell over.
    pub fn new(
        now: clock::Timestamp,
        cell: cell::Cell,
        context: &mut owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) -> Self {
        let mut cell_state = cell_book::CellBook::default();
        cell_state.set_engines(&cell.engines, &context.state);
        let seed = context.draw();
        let mut planner = Self {
            cell,
            cell_state,
            queue: ask_queue::AskQueue::default(),
            takeover: None,
            reads: timed_reads::TimedReads::new(now),
            demand: role_demand::RoleDemand::default(),
            policy: context.policy.make(seed),
            budget: retry::RetryBudget::default(),
            shares: workspace_shares::WorkspaceShares::default(),
            term: context.draw(),
            granted: 0,
            next_try: clock::Timestamp::MAX,
        };
        planner.begin_takeover(now, context, outputs);
        planner
    }

    /// Takes an ask; answers at once unless it may wait.
    pub fn take_ask(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        ask: place_ask::PlaceAsk,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let work = work_key::WorkKey {
            request: ask.request,
            attempt: ask.attempt,
        };
        if self.queue.contains(work) || self.cell_state.ended.ended_at(work).is_some() {
            return;
        }
        if let Some(key) = self.cell_state.lease_of_work(work) {
            self.send_placed(now, key, outputs);
            return;
        }
        match self.admit(now, from, ask, context) {
            Ok(pending) => {
                self.queue.push(pending);
                self.dispatch(now, context, outputs);
            }
            Err(refused) => outputs.push(output::Output::Send(
                from,
                message::Message::Refused(refused),
            )),
        }
        self.make_room(outputs);
    }

    /// Forgets an ask, or frees what was granted for it.
    pub fn withdraw(&mut self, now: clock::Timestamp, work: work_key::WorkKey) {
        if self.queue.remove(work).is_some() {
            self.cell_state.ended.insert(now, work, None);
        } else if let Some(key) = self.cell_state.lease_of_work(work) {
            self.cell_state.remove(now, key);
        } else {
            self.cell_state.ended.insert(now, work, None);
        }
    }

    /// Grants and refuses waiting asks as far as can be decided now.
    pub fn dispatch(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        self.next_try = clock::Timestamp::MAX;
        if self.queue.is_empty() {
            return;
        }
        self.cell_state.refresh_rates(now);
        self.refuse_late(now, outputs);
        let mut skipped = 0;
        while skipped < TRY_LIMIT {
            let Some(pending) = self.queue.iter().nth(skipped) else {
                return;
            };
            let work = pending.work();
            match self.policy.choose(now, &self.cell_state, pending) {
                policy_choice::PolicyChoice::Start(plan) => {
                    if let Some(pending) = self.queue.remove(work) {
                        self.grant(now, pending, plan, context, outputs);
                    }
                }
                policy_choice::PolicyChoice::Refuse(reason) => {
                    self.refuse_waiting(work, reason, outputs);
                }
                policy_choice::PolicyChoice::Wait(until) => {
                    let until = until.max(now + TRY_INTERVAL);
                    self.next_try = self.next_try.min(until);
                    skipped += 1;
                }
            }
        }
    }

    /// Takes the changed description of the cell and of its engines.
    pub fn take_cell(
        &mut self,
        now: clock::Timestamp,
        cell: &cell::Cell,
        context: &owner_context::OwnerContext,
    ) {
        self.cell.clone_from(cell);
        self.cell_state.set_engines(&cell.engines, &context.state);
        self.reads.wake_at(now);
    }

    /// Asks for the running list of every engine.
    pub fn read_all_running(&mut self, now: clock::Timestamp) {
        let keys: Vec<crate::keys::EngineKey> =
            self.cell_state.engines().map(|(key, _)| key).collect();
        for key in keys {
            self.reads.read_running_at(key, now);
        }
    }

    /// Does what is due.
    pub fn wake(
        &mut self,
        now: clock::Timestamp,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        let interval = self.policy.report_interval();
        self.reads
            .emit_due(now, &self.cell_state, interval, outputs);
        self.settle_takeover(now, context);
        if now >= self.next_try {
            self.dispatch(now, context, outputs);
        }
    }

    /// Refuses all waiting asks.
    pub fn refuse_all(
        &mut self,
        reason: refusal_reason::RefusalReason,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some(work) = self.queue.first().map(pending_ask::PendingAsk::work) {
            self.refuse_waiting(work, reason, outputs);
        }
    }

    /// Sends what was granted under a lease.
    pub fn send_placed(
        &self,
        now: clock::Timestamp,
        key: crate::keys::LeaseKey,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(lease) = self.cell_state.lease(key) else {
            return;
        };
        let names = [lease.prefill, lease.decode].map(|engine| self.cell_state.engine(engine));
        let [Some(prefill), Some(decode)] = names else {
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
        ask: place_ask::PlaceAsk,
        context: &owner_context::OwnerContext,
    ) -> Result<pending_ask::PendingAsk, refusal::Refusal> {
        let class = generation_class(context, &ask.class);
        if let Some(class) = class {
            self.cell_state.guess_mut(&ask.class, class);
        }
        let refuse = |reason, retry_after| refusal::Refusal {
            request: ask.request,
            attempt: ask.attempt,
            reason,
            retry_after,
        };
        if !ask.repeated {
            self.budget.earn();
        } else if !self.budget.spend() {
            return Err(refuse(
                refusal_reason::RefusalReason::RetryBudget,
                RETRY_SOON,
            ));
        }
        let pending = self.pending(now, from, ask.clone(), class);
        let replaces = self.queue.last_over_share(&pending).is_some();
        if self.queue.is_full() && !replaces {
            return Err(refuse(refusal_reason::RefusalReason::QueueFull, RETRY_SOON));
        }
        self.cell_state.refresh_rates(now);
        let ahead = self.queue.ahead_of(&pending);
        match self.policy.admit(now, &self.cell_state, ahead, &pending) {
            policy_choice::PolicyVerdict::Admit => Ok(pending),
            policy_choice::PolicyVerdict::Refuse {
                reason,
                retry_after,
            } => Err(refuse(reason, retry_after)),
        }
    }

    fn pending(
        &self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        ask: place_ask::PlaceAsk,
        class: Option<&note::GenerationClass>,
    ) -> pending_ask::PendingAsk {
        let can_wait = class.map_or(0, |class| u64::from(class.can_wait_ms));
        let deadline = now + ask.first_token_within + time::Duration::from_millis(can_wait);
        let tokens = ask.prompt_tokens.saturating_add(ask.max_tokens);
        let cached = self
            .cell_state
            .hints
            .expected_tokens(now, &ask.prefix_blocks);
        let most_cached = cached.iter().map(|(_, tokens)| *tokens).max();
        let rest = prefix_hints::uncached(ask.prompt_tokens, most_cached.unwrap_or(0));
        let spans = self
            .cell_state
            .engines()
            .filter(|(_, engine)| engine.may_prefill());
        let span = spans.map(|(_, engine)| engine.prefill_span(rest)).min();
        pending_ask::PendingAsk::builder()
            .from(from)
            .deadline(deadline)
            .pace_ms(class.map_or(0, |class| class.token_pace_ms))
            .priority(class.map_or(0, |class| class.priority))
            .kv_pieces(tokens.div_ceil(note::KV_PIECE_TOKENS))
            .prefill_span(span.unwrap_or_default())
            .over_share(self.shares.is_over(&ask.workspace))
            .ask(ask)
            .build()
    }

    fn grant(
        &mut self,
        now: clock::Timestamp,
        pending: pending_ask::PendingAsk,
        plan: policy_choice::PlacementPlan,
        context: &owner_context::OwnerContext,
        outputs: &mut Vec<output::Output>,
    ) {
        self.granted += 1;
        let lease = held_lease::HeldLease::builder()
            .id(ids::LeaseId {
                owner: context.own,
                term: self.term,
                sequence: self.granted,
            })
            .work(pending.work())
            .entry(pending.from)
            .class(pending.ask.class.clone())
            .prefill(plan.prefill)
            .decode(plan.decode)
            .kv_pieces(pending.kv_pieces)
            .prompt_tokens(pending.ask.prompt_tokens)
            .phase(lease_phase::LeasePhase::Granted)
            .start_at(plan.start_at)
            .prefill_span(plan.prefill_span)
            .heard_at(now)
            .told_at(now)
            .build();
        let Some(key) = self.cell_state.insert(lease) else {
            return;
        };
        self.plan_link(plan);
        let stored_at = plan.start_at + plan.prefill_span;
        for block in &pending.ask.prefix_blocks {
            self.cell_state
                .hints
                .note_stored(plan.prefill, *block, stored_at);
        }
        self.charge(now, &pending, context);
        self.send_placed(now, key, outputs);
    }

    fn plan_link(&mut self, plan: policy_choice::PlacementPlan) {
        for key in [plan.prefill, plan.decode] {
            if let Some(engine) = self.cell_state.engine_mut(key) {
                engine.link_until = engine.link_until.max(plan.transfer_end);
            }
        }
    }

    fn charge(
        &mut self,
        now: clock::Timestamp,
        pending: &pending_ask::PendingAsk,
        context: &owner_context::OwnerContext,
    ) {
        let workspace = &pending.ask.workspace;
        let weight = context
            .state
            .workspaces
            .get(workspace)
            .map_or(1, |entry| entry.weight);
        let guess = self.cell_state.guess(&pending.ask.class);
        let output = guess.map_or(0.0, crate::output_guess::OutputGuess::mean);
        let cost = output + f64::from(pending.ask.prompt_tokens) * PROMPT_TOKEN_COST;
        self.shares.add(now, workspace, weight, cost);
    }

    /// Refuses, behind an ask that was let in before them, the asks that are over their share.
    fn make_room(&mut self, outputs: &mut Vec<output::Output>) {
        while self.queue.is_full() {
            let Some(work) = self.queue.last_work() else {
                return;
            };
            let reason = refusal_reason::RefusalReason::QueueFull;
            self.refuse_waiting(work, reason, outputs);
        }
    }

    fn refuse_late(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        loop {
            let late = self.queue.earliest().find(|pending| {
                pending.ask.first_token_within.is_zero() || pending.deadline <= now
            });
            let Some(work) = late.map(pending_ask::PendingAsk::work) else {
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
        let refused = refusal::Refusal {
            request: work.request,
            attempt: work.attempt,
            reason,
            retry_after: RETRY_SOON,
        };
        outputs.push(output::Output::Send(
            pending.from,
            message::Message::Refused(refused),
        ));
    }
}

/// Returns the settings of a class of model requests.
pub fn generation_class<'context>(
    context: &'context owner_context::OwnerContext,
    name: &ids::ClassName,
) -> Option<&'context note::GenerationClass> {
    match &context.state.classes.get(name)?.target {
        note::ClassTarget::Generation(class) => Some(class),
        note::ClassTarget::Call(_) => None,
    }
}
